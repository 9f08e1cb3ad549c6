"""The scheduler: admits jobs and binds each task late to a free slot.

Tasks queue here, at the entry host, and never at a worker: a task is bound only
when a slot is free for it, so no task waits behind a long one that happens to
share its worker.
"""

import asyncio
import logging
from collections import Counter

from monsoongap.coordination.admission import Admission, check_size
from monsoongap.coordination.credits_book import CreditBook
from monsoongap.coordination.credits_lending import Lending
from monsoongap.coordination.credits_messages import Need
from monsoongap.coordination.estimates import Estimator
from monsoongap.coordination.parts import (
    SETTLE_CONNECTIONS,
    Directory,
    HostIdentity,
    Slot,
    SlotEnd,
    SlotResult,
    TeamDirectory,
    Ticket,
)
from monsoongap.coordination.ports import PeerPort
from monsoongap.coordination.queues import TaskQueues, Waiting
from monsoongap.coordination.quotas import TeamShares
from monsoongap.coordination.scheduler_hosts import WorkerPool
from monsoongap.coordination.scheduler_jobs import JobTable, Running
from monsoongap.coordination.scheduler_order import TaskOrder
from monsoongap.coordination.scheduler_view import (
    SchedulerView,
    view_queues,
    view_workers,
)
from monsoongap.coordination.shares import LongShare
from monsoongap.coordination.worker_health import Health, KindName, WorkerHealth
from monsoongap.errors import DispatchError, ErrorKind
from monsoongap.protocol.messages import JobRequest, Refusal
from monsoongap.protocol.peer import PeerHandlers
from monsoongap.settings import PlacementSection
from monsoongap.timers import Subscription, TimerService

log = logging.getLogger(__name__)

TICK_S = 0.02
IDLE_TICK_S = 0.25
REFRESH_S = 1.0
MAX_PASSED_OVER = 8


class Scheduler:
    """Implements `parts.Slots` for one entry host."""

    def __init__(
        self,
        cfg: PlacementSection,
        identity: HostIdentity,
        directory: Directory,
        teams: TeamDirectory,
        peers: PeerPort,
        handlers: PeerHandlers,
        timers: TimerService,
    ) -> None:
        self._cfg = cfg
        self._directory = directory
        self._timers = timers
        self._book = CreditBook()
        self._health = WorkerHealth(cfg)
        self._pool = WorkerPool(cfg, identity, directory, self._book, self._health)
        self._urgent_shares = TeamShares(teams)
        self._normal_shares = TeamShares(teams)
        self._queues = TaskQueues(self._urgent_shares, self._normal_shares)
        self._estimator = Estimator(cfg)
        self._long_share = LongShare()
        self._jobs = JobTable(
            self._queues,
            self._urgent_shares,
            self._normal_shares,
            self._long_share,
            self._estimator,
        )
        self._order = TaskOrder(self._book, self._queues, self._jobs, self._long_share)
        self._admission = Admission(
            cfg,
            teams,
            self._urgent_shares,
            self._normal_shares,
            self._queues,
            self._estimator,
        )
        self._lending = Lending(
            cfg,
            identity,
            self._book,
            peers,
            handlers,
            timers,
            self._need,
            self._wake,
        )
        self._subscriptions: list[Subscription] = []
        self._ticking: Subscription | None = None
        self._tick_s = 0.0
        self._serial = 0
        self._woken = False
        self._started = False
        self._closed = False
        self._counts: Counter[str] = Counter()
        directory.subscribe(self._directory_changed)

    def start(self) -> None:
        """Begin periodic work; needs a running loop."""
        self._started = True
        self._directory_changed()
        refresh = self._timers.every(
            REFRESH_S, self._directory_changed, "placement hosts"
        )
        self._subscriptions = [refresh]
        self._tick_every(TICK_S)

    async def close(self) -> None:
        """Stop periodic work and give borrowed credits back."""
        self._closed = True
        for subscription in self._subscriptions:
            subscription.cancel()
        if self._ticking is not None:
            self._ticking.cancel()
        await self._lending.close()

    async def return_idle_credits(self) -> None:
        """Give back what this host borrowed and does not use; it goes on placing."""
        self._lending.return_idle()

    def admit(self, req: JobRequest, deadline_at: float) -> None:
        """Reserve room for a whole job or raise `DispatchError`."""
        now = self._timers.now()
        pool = self._book.pool or 1
        self._admission.admit(req, self._pool.shapes, pool, deadline_at - now)

    def withdraw(self, submission: str, team: str, tasks: int) -> None:
        """Give back the room of a job that ended."""
        if not self._jobs.withdraw(submission):
            self._admission.arrived(team, tasks)
        self._admission.room.give_back(team, tasks)

    async def acquire(self, ticket: Ticket) -> Slot:
        """Wait for a slot; cancel the coroutine to give up the wait."""
        if self._pool.shapes:
            check_size(ticket.cpus, ticket.memory_mb, self._pool.shapes)
        if ticket.submission not in self._jobs:
            self._admission.arrived(ticket.team, ticket.job_size)
        waiting = self._jobs.queue(ticket, self._timers.now())
        self._wake()
        try:
            async with asyncio.timeout_at(ticket.deadline_at):
                return await waiting.fut
        except TimeoutError:
            self._take_back(waiting)
            raise _deadline_passed() from None
        except asyncio.CancelledError:
            self._take_back(waiting)
            raise

    def release(self, slot: Slot, ticket: Ticket, result: SlotResult) -> None:
        """Give a slot back and learn from how its use ended."""
        now = self._timers.now()
        run_s = None
        if result.end is SlotEnd.DONE and result.report is not None:
            run_s = (result.report.run_ms or 0.0) / 1000.0
        running = self._jobs.end(slot, now, run_s)
        if running is None:
            return
        self._book.give_back(slot.worker, slot.lender)
        self._judge(running, result, now)
        self._pool.reopen(slot.worker, now)
        self._counts[result.end.value] += 1
        self._wake()

    def view(self) -> SchedulerView:
        """Return what each worker's credits and the queues look like."""
        now = self._timers.now()
        return SchedulerView(
            workers=view_workers(self._book, self._health, now),
            queues=view_queues(self._queues),
            long_limit=self._order.long_limit(now),
            long_busy=self._jobs.long_busy,
            reserve=self._order.reserve(now),
            split_ms=1000.0 * self._estimator.split_s,
        )

    def counters(self) -> dict[str, int]:
        """Return running totals for metrics."""
        totals = {f"ended_{end}": count for end, count in self._counts.items()}
        refused = self._admission.refused.items()
        totals.update({f"refused_{kind}": count for kind, count in refused})
        totals["placed"] = self._serial
        totals["overruns"] = self._jobs.overrun_count
        totals["credit_calls"] = self._lending.calls
        totals["credits_borrowed"] = self._lending.borrowed
        totals["ejections"] = self._health.ejections
        totals["probes"] = self._health.probes
        return totals

    def connections(self, worker: str) -> int:
        """Return how many connections to a worker this host may hold."""
        account = self._book.accounts.get(worker)
        starts = account.limit if account is not None else 1
        return starts + SETTLE_CONNECTIONS

    def _judge(self, running: Running, result: SlotResult, now: float) -> None:
        """Tell worker health and the directory how a use of a slot ended."""
        worker, ticket = running.slot.worker, running.ticket
        kind = KindName(ticket.team, ticket.kind)
        match result:
            case SlotResult(end=SlotEnd.DONE):
                self._health.succeeded(worker, kind, running.placed_at)
                return
            case SlotResult(end=SlotEnd.TASK_FAILED | SlotEnd.UNREACHABLE):
                self._health.failed(worker, kind, now)
                return
            case SlotResult(end=SlotEnd.REFUSED, report=report) if report:
                if report.refusal is Refusal.BUSY:
                    self._health.refused_busy(worker, now)
                elif report.refusal is Refusal.DRAINING:
                    self._directory.report_draining(worker)
            case _:
                pass
        self._health.abandon_probe(worker, now)

    def _take_back(self, waiting: Waiting) -> None:
        """Undo a wait that ended without its caller getting the slot."""
        self._jobs.give_up(waiting)
        fut = waiting.fut
        if fut.done() and not fut.cancelled() and fut.exception() is None:
            self.release(fut.result(), waiting.ticket, SlotResult(SlotEnd.UNUSED))

    def _wake(self) -> None:
        """Place tasks after everything else that is ready now has run."""
        if not self._woken and not self._closed:
            self._woken = True
            if self._started:
                self._tick_every(TICK_S)
            asyncio.get_running_loop().call_soon(self._place_all)

    def _tick(self) -> None:
        now = self._timers.now()
        self._lending.expire(now)
        self._jobs.check_overruns(now)
        for name in self._health.reopened(now) + self._health.due_probes(now):
            self._pool.reopen(name, now)
        if len(self._queues) or self._book.lease_ends:
            self._wake()
        elif not self._jobs.running:
            self._tick_every(IDLE_TICK_S)

    def _tick_every(self, period_s: float) -> None:
        """Set the pace of `_tick`; an idle host must cost next to nothing."""
        if self._tick_s == period_s:
            return
        if self._ticking is not None:
            self._ticking.cancel()
        self._tick_s = period_s
        self._ticking = self._timers.every(period_s, self._tick, "placement")

    def _place_all(self) -> None:
        self._woken = False
        now = self._timers.now()
        self._book.lapse(now)
        self._jobs.check_overruns(now)
        self._lending.heed_recalls(now)
        passed_over: list[Waiting] = []
        for waiting in self._order.next_tasks(now, self._lending):
            if _hopeless(waiting, now):
                self._drop(waiting)
                continue
            if self._place(waiting, now):
                continue
            passed_over.append(waiting)
            if len(passed_over) >= MAX_PASSED_OVER:
                break
        for waiting in passed_over:
            self._queues.push_back(waiting, now)
        self._order.note_drain(now, self._admission)
        self._lending.review(now)

    def _place(self, waiting: Waiting, now: float) -> bool:
        ticket = waiting.ticket
        account = self._pool.find(ticket)
        if account is None:
            return False
        worker = account.info.name
        lender = self._book.take(account)
        self._serial += 1
        lease_s = self._cfg.credit_lease_s
        until = self._book.lease_ends[lender] if lender else now + lease_s
        slot = Slot(self._serial, worker, until, lender)
        self._jobs.place(waiting, slot, now)
        self._admission.note_start(waiting)
        if self._health.health(worker, now) is Health.EJECTED:
            self._health.begin_probe(worker, ticket.task)
            self._pool.reopen(worker, now)
        waiting.fut.set_result(slot)
        log.info(
            "placed",
            extra={
                "submission": ticket.submission,
                "task": ticket.task,
                "upstream": worker,
                "reason": waiting.level.name.lower(),
                "lender": lender,
                "waited_ms": round(1000.0 * (now - waiting.since), 1),
            },
        )
        return True

    def _drop(self, waiting: Waiting) -> None:
        ticket = waiting.ticket
        if not waiting.fut.done():
            waiting.fut.set_exception(_deadline_passed())
        log.info(
            "dropped before start",
            extra={
                "submission": ticket.submission,
                "task": ticket.task,
                "upstream": None,
                "reason": ErrorKind.DEADLINE_BEFORE_START.value,
            },
        )

    def _need(self) -> Need:
        now = self._timers.now()
        return self._order.need(now, self._lending.lacked_by_peers(now))

    def _directory_changed(self) -> None:
        if not self._started or self._closed:
            return
        self._pool.refresh(self._timers.now())
        self._urgent_shares.refresh()
        self._normal_shares.refresh()
        self._lending.follow(self._pool.peers)
        self._wake()


def _hopeless(waiting: Waiting, now: float) -> bool:
    """Return whether a task can't end by its deadline even if started now."""
    return now + waiting.estimate.short_s > waiting.ticket.deadline_at


def _deadline_passed() -> DispatchError:
    return DispatchError(
        ErrorKind.DEADLINE_BEFORE_START, "the deadline would pass before the end"
    )
