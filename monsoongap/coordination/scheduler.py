"""The scheduler: admits jobs and binds each task late to a free slot.

Tasks queue here, at the entry host, and never at a worker: a task is bound only
when a slot is free for it, so no task waits behind a long one that happens to
share its worker.
"""

import asyncio
import logging
from collections import Counter, deque
from dataclasses import dataclass

from monsoongap.coordination.credits import divide
from monsoongap.coordination.parts import (
    Directory,
    HostIdentity,
    PeerStatus,
    Slot,
    SlotEnd,
    SlotResult,
    TeamDirectory,
    Ticket,
    WorkerInfo,
    WorkerStatus,
)
from monsoongap.coordination.ports import PeerPort
from monsoongap.errors import DispatchError, ErrorKind
from monsoongap.protocol.messages import JobRequest, Refusal
from monsoongap.protocol.peer import PeerHandlers
from monsoongap.settings import PlacementSection
from monsoongap.timers import TimerService

log = logging.getLogger(__name__)

OWN_CREDIT_S = 2.0


@dataclass(frozen=True, slots=True)
class WorkerView:
    """What this host holds of one worker."""

    worker: str
    own: int
    borrowed: int
    lent: int
    busy: int
    health: str


@dataclass(frozen=True, slots=True)
class SchedulerView:
    """The scheduler's state for operators; `queues` maps class/team to length."""

    workers: tuple[WorkerView, ...]
    queues: dict[str, int]


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
        self._identity = identity
        self._directory = directory
        self._teams = teams
        self._timers = timers
        self._busy: Counter[str] = Counter()
        self._reserved: Counter[str] = Counter()
        self._waiting: deque[tuple[Ticket, asyncio.Future[Slot]]] = deque()
        self._serial = 0
        directory.subscribe(self._pump)

    def start(self) -> None:
        """Begin periodic work."""

    async def close(self) -> None:
        """Stop periodic work."""

    def admit(self, req: JobRequest, deadline_at: float) -> None:
        """Reserve room for a whole job or raise `DispatchError`."""
        limits = self._teams.limits(req.team)
        if limits is None:
            raise DispatchError(ErrorKind.FORBIDDEN, f"no team {req.team!r}")
        for task in req.tasks:
            if not any(
                task.cpus <= worker.cpus and task.memory_mb <= worker.memory_mb
                for worker in self._directory.workers()
            ):
                raise DispatchError(ErrorKind.NO_FIT, "no worker is large enough")
        if self._reserved[req.team] + len(req.tasks) > limits.max_tasks:
            raise DispatchError(ErrorKind.OVER_QUOTA, f"team {req.team!r}", 1000)
        self._reserved[req.team] += len(req.tasks)

    def withdraw(self, submission: str, team: str, tasks: int) -> None:
        """Give back the room of a job that ended."""
        self._reserved[team] -= tasks

    async def acquire(self, ticket: Ticket) -> Slot:
        """Wait for a slot; raises `deadline_before_start`."""
        fut: asyncio.Future[Slot] = asyncio.get_running_loop().create_future()
        self._waiting.append((ticket, fut))
        self._pump()
        try:
            async with asyncio.timeout_at(ticket.deadline_at):
                return await fut
        except TimeoutError:
            raise DispatchError(
                ErrorKind.DEADLINE_BEFORE_START, "the deadline passed in the queue"
            ) from None
        except asyncio.CancelledError:
            if fut.done() and not fut.cancelled():
                self.release(fut.result(), ticket, SlotResult(SlotEnd.UNUSED))
            raise
        finally:
            fut.cancel()

    def release(self, slot: Slot, ticket: Ticket, result: SlotResult) -> None:
        """Give a slot back."""
        self._busy[slot.worker] -= 1
        report = result.report
        if report is not None and report.refusal is Refusal.DRAINING:
            self._directory.report_draining(slot.worker)
        self._pump()

    def view(self) -> SchedulerView:
        """Return what each worker's credits and the queues look like."""
        workers = tuple(
            WorkerView(w.name, self._own(w), 0, 0, self._busy[w.name], "ok")
            for w in self._directory.workers()
        )
        return SchedulerView(workers, {"all": len(self._waiting)})

    def counters(self) -> dict[str, int]:
        """Return running totals for metrics."""
        return {"placed": self._serial}

    def _own(self, worker: WorkerInfo) -> int:
        hosts = [
            peer.name
            for peer in self._directory.peers()
            if peer.dc == self._identity.dc and peer.status is not PeerStatus.LEAVING
        ]
        shares = divide(worker.slots, worker.name, [*hosts, self._identity.name])
        return shares[self._identity.name]

    def _pump(self) -> None:
        while self._waiting:
            ticket, fut = self._waiting[0]
            if fut.done():
                self._waiting.popleft()
                continue
            worker = self._choose(ticket)
            if worker is None:
                return
            self._waiting.popleft()
            self._busy[worker.name] += 1
            self._serial += 1
            usable_until = self._timers.now() + OWN_CREDIT_S
            fut.set_result(Slot(self._serial, worker.name, usable_until))

    def _choose(self, ticket: Ticket) -> WorkerInfo | None:
        fitting = [
            worker
            for worker in self._directory.workers()
            if worker.status is WorkerStatus.LIVE
            and worker.name not in ticket.avoid
            and ticket.cpus <= worker.cpus
            and ticket.memory_mb <= worker.memory_mb
            and self._busy[worker.name] < self._own(worker)
        ]
        return min(fitting, key=lambda w: self._busy[w.name], default=None)
