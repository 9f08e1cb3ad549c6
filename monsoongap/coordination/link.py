"""The connection of an owner to one of its runners: fence, lease, requests, polls.

One task per runner polls it while anything runs there. Each poll extends the lease of
all its runs, acknowledges their ends and waits for the next end.
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any

from monsoongap.coordination.lease import CLOCK_DRIFT, RunnerLease, longest_lease_s
from monsoongap.coordination.lost_replies import (
    LOST_REPLY_SILENCE_S,
    MAX_PROBE_INTERVAL_S,
    MIN_PROBE_INTERVAL_S,
    RENEW_WITHIN_S,
    START_OVERDUE_S,
    LostReplies,
    Responses,
    probe_delay_s,
)
from monsoongap.coordination.ports import (
    HigherFence,
    NoAnswer,
    NotSent,
    RunnerPort,
    Withheld,
    WrongInstance,
)
from monsoongap.coordination.runs import RunTable
from monsoongap.coordination.work import OUTCOME_OF_REFUSAL, Run, RunOutcome, RunState
from monsoongap.protocol.messages import (
    NotStarted,
    RunnerInfo,
    RunnerView,
    ShareId,
    Started,
    StartRequest,
)
from monsoongap.settings import BoundsSection
from monsoongap.state.evacuation import Evacuation
from monsoongap.state.job_locations import JobLocation, location_fields
from monsoongap.timers import MS_PER_S, TimerService
from monsoongap.util.background import BackgroundTasks

log = logging.getLogger(__name__)

# A runner holds a poll open this long for an end to report. Polls renew the lease, so
# this is well below the lease.
POLL_WAIT_S = 0.4
# Where a lease is short, polls follow each other sooner.
MIN_POLL_WAIT_S = 0.05
RENEW_MARGIN_S = 0.15
RETRY_S = 0.1
FIRST_POLL_S = 0.02
# After a refusal: the runner has less capacity than its owner counts, or is unhealthy.
REFUSED_PAUSE_S = 0.06
# Ends on an idle runner are acknowledged after this, or with the poll after a start.
IDLE_ACK_S = 0.5
# A cold runner takes this many times as long for a task, by the platform's settings.
COLD_FACTOR = 1.5


class GivenUp(NoAnswer):
    """A reply was not waited for any longer; it may be late and not lost."""


class LinkState(Enum):
    """Whether the runner answers its owner."""

    NEW = auto()
    HELD = auto()
    SILENT = auto()
    CLOSED = auto()


@dataclass(slots=True, eq=False)
class Link:
    """A runner that this host owns; no run is placed on it before `avoid_until`."""

    cfg: BoundsSection
    info: RunnerInfo
    share: ShareId
    fence: int
    runners: RunnerPort
    timers: TimerService
    on_fenced: Callable[["Link"], None]
    on_capacity_change: Callable[[], None]
    checks_capacity: Callable[[str], bool]
    on_orphan_found: Callable[[str], None] = lambda job: None
    lost_replies: LostReplies = field(default_factory=LostReplies)
    evacuation: Evacuation = field(default_factory=Evacuation)
    location_of: Callable[[str], JobLocation | None] = lambda job: None
    orphan_limit_s: Callable[[], float] | None = None
    permitted_until: Callable[[Iterable[Run]], float] = lambda runs: float("inf")
    table: RunTable = field(init=False)
    state: LinkState = LinkState.NEW
    polls: int = 0
    starts: int = 0
    avoid_until: float = 0.0
    cold_until: float = 0.0
    _may_have_restarted: bool = False
    _lease: RunnerLease = field(init=False)
    _responses: Responses = field(default_factory=Responses)
    _poll_failed: bool = False
    _silent_since: float = 0.0
    _granted_until: float = 0.0
    _probe_interval_s: float = MIN_PROBE_INTERVAL_S
    _wake: asyncio.Event = field(default_factory=asyncio.Event)
    _background: BackgroundTasks = field(default_factory=BackgroundTasks)

    def __post_init__(self) -> None:
        cfg = self.cfg
        lapsed_at = self.timers.now() + cfg.lease_s / CLOCK_DRIFT
        self._lease = RunnerLease(cfg.lease_s, lapsed_at)
        self._set_cold(self.info)
        self.table = RunTable(
            self.info,
            self.timers,
            cfg.orphan_s,
            self.stop,
            lambda: self.checks_capacity(self.info.upstream),
            self.on_orphan_found,
            self.orphan_limit_s,
        )

    def open(self) -> None:
        """Start polling the runner."""
        self._background.spawn(self._poll_loop(), f"runner:{self.info.id}")

    def close(self) -> None:
        """Stop polling the runner; its runs stay on it for the next owner."""
        self.state = LinkState.CLOSED
        self._background.cancel_all()
        self.runners.disconnect(self.info)

    def update(self, info: RunnerInfo) -> None:
        """Apply a new record of the runner."""
        if info != self.info:
            self._set_cold(info)
        self.info = info
        self.table.update(info)
        if self.table.is_other_incarnation:
            # The runner has restarted; a poll tells whether this record is its newest.
            self._wake.set()

    def _set_cold(self, info: RunnerInfo) -> None:
        left_s = info.cold_left_ms / MS_PER_S
        self.cold_until = self.timers.now() + left_s if left_s else 0.0

    def is_cold(self, now: float) -> bool:
        """Return whether the runner has just started and is slower than others."""
        return now < self.cold_until

    def expected_s(self, estimate_s: float) -> float:
        """Return how long a task with an estimate should take if it starts here now."""
        cold = self.is_cold(self.timers.now())
        return estimate_s * COLD_FACTOR if cold else estimate_s

    def check_incarnation(self) -> None:
        """Poll the runner before the next start: its idle connection was closed."""
        if self.state is LinkState.HELD and not self.table.runs:
            self._may_have_restarted = True
            self._wake.set()

    def mark_in_doubt(self) -> None:
        """Assume that the previous owner renewed the lease until now."""
        if self.state is LinkState.NEW:
            lapsed_at = self.timers.now() + longest_lease_s(self.cfg.lease_s)
            self._lease.lapsed_at = max(self._lease.lapsed_at, lapsed_at)

    def confirm_unowned(self, since: float) -> None:
        """Count a previous owner's lease from `since` if the runner is not reached."""
        if self.state is LinkState.NEW:
            lapsed_at = since + longest_lease_s(self.cfg.lease_s)
            self._lease.lapsed_at = min(self._lease.lapsed_at, lapsed_at)

    def is_placeable(self, now: float) -> bool:
        """Return whether new runs may be placed here.

        The record of another incarnation may have other labels and capacity.
        """
        return (
            self.state is LinkState.HELD
            and not self.info.draining
            and now >= self.avoid_until
            and not self._may_have_restarted
            and not self.table.is_other_incarnation
            and self.evacuation.allows_start(self.info.dc, now)
        )

    @property
    def serves(self) -> bool:
        """Return whether the runner counts as capacity for the backlog.

        A new one does until a lease has passed without an answer.
        """
        if self.info.draining or self.info.dc in self.evacuation.dcs:
            return False
        starting = self.state is LinkState.NEW and not self.is_reconciled
        return starting or self.state is LinkState.HELD

    @property
    def is_reconciled(self) -> bool:
        """Return whether all runs of previous owners are known or have ended."""
        held = self.state is not LinkState.NEW
        return held or self.timers.now() >= self._lease.lapsed_at

    @property
    def in_doubt_s(self) -> float:
        """Expected time for which previous owners may have unknown runs here.

        The first poll is answered within milliseconds unless the runner is cut off.
        """
        if self.is_reconciled:
            return 0.0
        left_s = max(self._lease.lapsed_at - self.timers.now(), 0.0)
        return left_s if self.polls > 1 else min(left_s, FIRST_POLL_S)

    def start(self, run: Run, payload: str) -> None:
        """Request a start; `run.on_end` is called when the run has ended."""
        self.starts += 1
        # Extended before the request is sent: a poll sent earlier that fails now would
        # otherwise find the lease lapsed and end the run.
        until_ms = self._extend_lease(self.timers.now(), run)
        self.table.add(run)
        # A poll may tell of a restart before the request is sent.
        born_ms = self.table.born_ms
        request = StartRequest(
            run.task,
            run.number,
            payload,
            until_ms,
            self.fence,
            born_ms,
            self._may_send_start,
        )
        self._background.spawn(self._request_start(run, request), "start")

    def stop(self, run: Run) -> None:
        """Stop a run; `run.on_end` is called once its end is certain."""
        match run.state:
            case RunState.RUNNING:
                run.state = RunState.STOPPING
            case RunState.STARTING:
                run.state = RunState.IN_DOUBT
            case _:
                return
        # Both this owner and another one have had the job as theirs.
        is_own = run.work is not None and run.work.share is not None
        location = self.location_of(run.task.job) if is_own else None
        log.log(
            logging.INFO if location is None else logging.WARNING,
            "stop requested",
            extra={
                "job": run.task.job,
                "task": f"{run.task.step}.{run.task.index}",
                "run": run.number,
                "runner": self.info.id,
                "fence": self.fence,
                "after_callers_ms": self._after_callers_ms(run),
                **location_fields(location),
            },
        )
        self._background.spawn(self._request_stop(run), "stop")

    async def _request_start(self, run: Run, request: StartRequest) -> None:
        if run.state is not RunState.STARTING:
            # Stopped before the request was sent, which must not be sent any more.
            self.table.end(run, RunOutcome.STOPPED)
            return
        sent_at = self.timers.now()
        try:
            result = await self._send_start(run, request)
        except HigherFence:
            self.on_fenced(self)
            return
        except Withheld:
            self.evacuation.counts.starts_withheld += 1
            self.table.end(run, RunOutcome.NO_ROOM)
            return
        except WrongInstance:
            self.table.end(run, RunOutcome.UNHEALTHY)
            self._mark_unresponsive("start request not sent")
            return
        except NotSent:
            self.table.end(run, RunOutcome.UNHEALTHY)
            self._handle_lost_reply("start request not sent", sent_at)
            return
        except NoAnswer as exc:
            if not isinstance(exc, GivenUp):
                self._handle_lost_reply("no reply to start request", sent_at)
            if run.state is RunState.STARTING:
                run.state = RunState.IN_DOUBT
                await self._request_stop(run)
            # A probe may have found the run, which needs its lease renewed.
            self._wake.set()
            return
        now = self.timers.now()
        self._responses.record(sent_at)
        if request.born_ms == self.table.born_ms:
            self._lease.record_clock(result.clock_ms, now)
        if isinstance(result, NotStarted):
            self.avoid_until = now + REFUSED_PAUSE_S
            if run.state in (RunState.STARTING, RunState.IN_DOUBT):
                outcome = OUTCOME_OF_REFUSAL.get(result.reason, RunOutcome.UNHEALTHY)
                self.table.end(run, outcome)
            return
        run.confirmed_at = now
        if run.state is RunState.STARTING:
            run.state = RunState.RUNNING
        self._wake.set()

    async def _send_start(
        self, run: Run, request: StartRequest
    ) -> Started | NotStarted:
        """Send a start request; raises `NoAnswer` early if the reply is probably lost.

        A poll then tells whether the run is there. If it is not, the request may still
        be carried out later, so the caller stops the run.
        """
        if not self.lost_replies.is_likely(self.timers.now()):
            return await self.runners.start(self.info, request)
        sent_at = self.timers.now()
        call = asyncio.ensure_future(self.runners.start(self.info, request))
        try:
            await asyncio.wait({call}, timeout=START_OVERDUE_S)
            if not call.done():
                probe = self._background.spawn(self._probe(), "probe")
                await asyncio.wait({call, probe}, return_when=asyncio.FIRST_COMPLETED)
                is_unlisted = run.state is RunState.STARTING
                answers = self._responses.any_since(sent_at)
                if is_unlisted and answers and not call.done():
                    raise GivenUp("not listed by a later poll")
            return await call
        finally:
            _discard(call)

    def _extend_lease(self, now: float, *started: Run) -> int:
        """Extend the lease as far as all runs may go on; return its end.

        `started` are runs that are not in the table yet.
        """
        until = self.permitted_until((*self.table.runs.values(), *started))
        self._granted_until = min(until, now + self.cfg.lease_s)
        return self._lease.extend(now, until)

    def _may_send_start(self) -> bool:
        """Return whether a start may still be sent.

        An evacuation may have begun since the task was placed, also during a pause of
        this process. After a pause the state may be too old to be relied on.
        """
        if not self.evacuation.is_enabled:
            return True
        self.timers.last_pause()
        return self.evacuation.allows_start(self.info.dc, self.timers.now())

    async def _request_stop(self, run: Run) -> None:
        """Repeat a stop until it is confirmed; the run has ended or is listed then."""
        while self.table.has(run) and self.state is not LinkState.CLOSED:
            sent_at = self.timers.now()
            try:
                clock_ms = await self.runners.stop(
                    self.info, run.task, run.number, self.fence
                )
            except HigherFence:
                self.on_fenced(self)
                return
            except (NotSent, WrongInstance, NoAnswer) as exc:
                reason = type(exc).__name__
                log.info(
                    "stop not confirmed; retrying",
                    extra={
                        "runner": self.info.id,
                        "job": run.task.job,
                        "reason": reason,
                        "after_callers_ms": self._after_callers_ms(run),
                    },
                )
                await self.timers.sleep(RETRY_S)
                continue
            now = self.timers.now()
            self._log_late_stop(run, sent_at)
            self._responses.record(sent_at)
            self._lease.record_clock(clock_ms, now)
            run.confirmed_at = min(run.confirmed_at, now)
            was_in_doubt = run.state is RunState.IN_DOUBT
            run.state = RunState.STOPPING
            self._wake.set()
            if was_in_doubt:
                # A run that never began has no end: the pending poll would wait.
                await self._probe()
            return

    def _after_callers_ms(self, run: Run) -> int | None:
        """Return for how long the callers of a run's job no longer wait, if so."""
        until = None if run.work is None else run.work.callers_until
        return None if until is None else round((self.timers.now() - until) * MS_PER_S)

    def _log_late_stop(self, run: Run, sent_at: float) -> None:
        """Log when a run was stopped whose job was ended for want of callers."""
        after_callers_ms = self._after_callers_ms(run)
        if after_callers_ms is None:
            return
        log.info(
            "stop confirmed",
            extra={
                "job": run.task.job,
                "task": f"{run.task.step}.{run.task.index}",
                "run": run.number,
                "runner": self.info.id,
                "took_ms": round((self.timers.now() - sent_at) * MS_PER_S),
                "after_callers_ms": after_callers_ms,
            },
        )

    async def _poll_loop(self) -> None:
        while self.state is not LinkState.CLOSED:
            if self._may_idle():
                self._wake.clear()
                try:
                    async with asyncio.timeout(IDLE_ACK_S):
                        await self._wake.wait()
                    continue
                except TimeoutError:
                    # Nothing was placed: stay idle if all ends are acknowledged.
                    if self.table.all_acknowledged and not self.table.runs:
                        await self._wake.wait()
                        continue
            try:
                await self._poll()
            except Exception:
                log.exception(
                    "poll raised; polling again", extra={"runner": self.info.id}
                )
                await self.timers.sleep(RETRY_S)

    def _may_idle(self) -> bool:
        held = self.state is LinkState.HELD
        return held and not self.table.runs and not self._wake.is_set()

    async def _poll(self) -> None:
        self._wake.clear()
        held = self.state is LinkState.HELD
        # After a poll without a reply, the next one is to tell at once if the runner
        # answers, and renews no lease: it may be gone.
        waits = held and self.table.runs and not self._poll_failed
        wait_s = POLL_WAIT_S if waits else 0.0
        sent_at = self.timers.now()
        # An unresponsive runner's lease is not renewed: once it has lapsed, its runs
        # have certainly ended.
        extends = held and self._lease.clock_known and not self._poll_failed
        until_ms = self._extend_lease(sent_at) if extends else None
        if extends:
            # The next poll renews the lease before it ends.
            left_s = self._granted_until - sent_at - RENEW_MARGIN_S
            wait_s = min(wait_s, max(left_s, MIN_POLL_WAIT_S))
        self.polls += 1
        acknowledged = self.table.last_seen_seq if held else 0
        call = self.runners.poll(
            self.info,
            self.fence,
            acknowledged,
            until_ms,
            int(wait_s * MS_PER_S),
            self.state is LinkState.SILENT,
        )
        try:
            view = await (self._with_probes(call) if wait_s else call)
        except HigherFence:
            self.on_fenced(self)
            await self.timers.sleep(RETRY_S)
        except (NotSent, NoAnswer, WrongInstance) as exc:
            self._handle_lost_reply(f"poll failed: {type(exc).__name__}", sent_at)
            if self.timers.now() >= self._lease.lapsed_at:
                self.table.end_all()
            self._poll_failed = True
            took_s = self.timers.now() - sent_at
            if self.state is not LinkState.HELD or took_s < RETRY_S:
                await self.timers.sleep(RETRY_S)
        else:
            self._poll_failed = False
            self._apply(view, sent_at, acknowledged)

    async def _with_probes(self, call: Coroutine[Any, Any, RunnerView]) -> RunnerView:
        """Await a poll, with further polls if ends are overdue and replies get lost."""
        now = self.timers.now()
        slowness = self.table.health.slowness
        delay_s = probe_delay_s(self.table.runs.values(), slowness, now)
        if delay_s is None or not self.lost_replies.is_likely(now):
            return await call
        task = asyncio.ensure_future(call)
        try:
            while True:
                delay_s = max(delay_s, self._probe_interval_s)
                await asyncio.wait({task}, timeout=delay_s)
                if task.done():
                    return await task
                self._background.spawn(self._probe(), "probe")
                delay_s = 0.0
                self._probe_interval_s = min(
                    2 * self._probe_interval_s, MAX_PROBE_INTERVAL_S
                )
        finally:
            _discard(task)

    async def _probe(self) -> None:
        """Poll at once, beside the poll that is under way; ignore a failure."""
        if self.state is LinkState.CLOSED:
            return
        self.lost_replies.probes += 1
        sent_at = self.timers.now()
        held = self.state is LinkState.HELD
        acknowledged = self.table.last_seen_seq if held else 0
        # The lease runs out if a poll and its renewal were lost. That of a runner which
        # answers nothing is not renewed.
        answers = self._responses.any_since(sent_at - RENEW_WITHIN_S)
        renews = held and answers and self._lease.clock_known
        until_ms = self._extend_lease(sent_at) if renews else None
        try:
            view = await self.runners.poll(
                self.info, self.fence, acknowledged, until_ms, 0, False
            )
        except HigherFence:
            self.on_fenced(self)
        except (NotSent, NoAnswer, WrongInstance):
            return
        else:
            self._apply(view, sent_at, acknowledged)

    def _handle_lost_reply(self, reason: str, sent_at: float) -> None:
        """Handle a request without a reply: the runner may be gone, or only the reply.

        A runner that has answered a later request stays in use.
        """
        if self._responses.any_since(sent_at):
            self.lost_replies.record(self.timers.now())
        else:
            self._mark_unresponsive(reason)

    def _mark_unresponsive(self, reason: str) -> None:
        if self.state is LinkState.HELD:
            self.state = LinkState.SILENT
            self._silent_since = self.timers.now()
            log.warning(
                "runner unresponsive", extra={"runner": self.info.id, "reason": reason}
            )
        self._wake.set()

    def _apply(self, view: RunnerView, sent_at: float, acknowledged: int) -> None:
        if self.state is LinkState.CLOSED or self.table.is_outdated(view, sent_at):
            return
        self._responses.record(sent_at)
        first = self.state is LinkState.NEW
        self._may_have_restarted = False
        if self.state is not LinkState.HELD:
            if not first:
                log.info("runner responds again", extra={"runner": self.info.id})
                now = self.timers.now()
                if now - self._silent_since <= LOST_REPLY_SILENCE_S:
                    self.lost_replies.record(now)
            self.state = LinkState.HELD
        runs_before = len(self.table.runs)
        if self.table.apply(view, sent_at, acknowledged):
            self._lease.forget_clock()
        self._lease.record_clock(view.clock_ms, self.timers.now())
        if len(self.table.runs) < runs_before:
            self._probe_interval_s = MIN_PROBE_INTERVAL_S
        if first or len(self.table.runs) < runs_before:
            self.on_capacity_change()


def _discard(call: "asyncio.Future[Any]") -> None:
    """Cancel a call whose result is not used, or retrieve its exception."""
    if not call.done():
        call.cancel()
    elif not call.cancelled():
        call.exception()
