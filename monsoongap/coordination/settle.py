"""Settling of starts whose fate is unknown, and the ends a task can have.

A start that got no clear reply is never sent elsewhere before its worker told
what became of it: it is inspected and, when the worker has not seen it, revoked,
which leaves a tombstone that bars a late arrival of the start.
"""

import asyncio
import logging
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any, TypeVar

from monsoongap.coordination.dispatch_leases import LeaseTable
from monsoongap.coordination.parts import Directory
from monsoongap.coordination.ports import WorkerPort
from monsoongap.errors import ErrorKind, StartAmbiguous, WorkerUnreachable
from monsoongap.protocol.messages import TaskReport, TaskState
from monsoongap.settings import WorkersSection
from monsoongap.timers import TimerService
from monsoongap.util.interrupt import Interrupted, InterruptedBy

log = logging.getLogger(__name__)

T = TypeVar("T")

MAX_REVOKES = 16
INSPECT_WAIT_MS = 2_000
FIRST_BACKOFF_S = 0.05
MIN_FAILURES = 3


@dataclass(frozen=True, slots=True)
class Answered:
    """The task ended with an answer."""

    value: Any


@dataclass(frozen=True, slots=True)
class Broken:
    """The task started and will give no answer."""

    detail: str


@dataclass(frozen=True, slots=True)
class NeverStarted:
    """No start of the task took effect and none will."""

    kind: ErrorKind
    detail: str
    retry_after_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Unsettled:
    """It can't be proved whether the task started.

    Another host may have got its answer, even when its worker restarted since.
    """

    detail: str


@dataclass(frozen=True, slots=True)
class Barred:
    """One attempt is proved without effect; another may follow."""

    detail: str


TaskEnd = Answered | Broken | NeverStarted | Unsettled


def never_answers(end: TaskEnd) -> bool:
    """Tell whether no host has or can ever get this task's answer."""
    return isinstance(end, Broken | NeverStarted)


@dataclass(frozen=True, slots=True)
class Attempt:
    """One start that was sent. `boot` is the worker's, as its lease names it."""

    worker: str
    submission: str
    task: str
    fence: int
    boot: int


def read_report(report: TaskReport) -> Answered | Broken | Barred | None:
    """Return what a report proves of a task, or None when it proves nothing."""
    match report.state:
        case TaskState.DONE:
            return Answered(report.answer)
        case TaskState.FAILED:
            return Broken(report.error or "the task failed")
        case TaskState.CANCELLED:
            return Broken("the task was cancelled while it ran")
        case TaskState.REVOKED:
            return Barred("revoked before it started")
    return None


class Settler:
    """Finds out what became of starts, over fresh connections."""

    def __init__(
        self,
        cfg: WorkersSection,
        workers: WorkerPort,
        leases: LeaseTable,
        directory: Directory,
        timers: TimerService,
    ) -> None:
        self._cfg = cfg
        self._workers = workers
        self._leases = leases
        self._directory = directory
        self._timers = timers
        self._revokes = asyncio.Semaphore(MAX_REVOKES)
        self.inspected = 0
        self.revoked = 0

    async def settle(
        self, attempt: Attempt, stop: asyncio.Future[Any]
    ) -> Answered | Broken | Barred | Unsettled:
        """Return what became of an attempt.

        Waits for the end of a running task until `stop` is done, then cancels
        it. Gives up when the worker restarted, or did not answer for longer than
        the lease of the start.
        """
        heard_at = self._timers.now()
        failures = 0
        revoking = False
        while failures < MIN_FAILURES or self._within_lease(heard_at):
            report = await self._ask(attempt, stop, revoking)
            if report is None:
                await self._timers.sleep(FIRST_BACKOFF_S * 2 ** min(failures, 4))
                failures += 1
                continue
            if report.boot != attempt.boot:
                return self._end(attempt, Unsettled("the worker restarted"))
            end = read_report(report)
            if end is not None:
                return self._end(attempt, end)
            heard_at = self._timers.now()
            failures = 0
            if revoking or report.state is TaskState.RUNNING:
                await self._timers.sleep(FIRST_BACKOFF_S)
            revoking = report.state is not TaskState.RUNNING
        self._directory.report_silent(attempt.worker)
        return self._end(attempt, Unsettled("the worker does not answer"))

    def _within_lease(self, heard_at: float) -> bool:
        return self._timers.now() - heard_at <= self._cfg.lease_s

    async def inspect(self, attempt: Attempt, wait_ms: int) -> TaskReport | None:
        """Ask once for an attempt's state; None without a usable answer."""
        self.inspected += 1
        limit_s = wait_ms / 1000 + self._cfg.connect_timeout_s
        return await self._checked(
            attempt,
            self._workers.inspect(attempt.worker, attempt.task, wait_ms),
            limit_s,
        )

    async def revoke(self, attempt: Attempt) -> TaskReport | None:
        """Cancel or bar an attempt once; None without a usable answer."""
        async with self._revokes:
            self.revoked += 1
            return await self._checked(
                attempt,
                self._workers.revoke(attempt.worker, attempt.task, attempt.fence),
                self._cfg.connect_timeout_s,
            )

    async def _ask(
        self, attempt: Attempt, stop: asyncio.Future[Any], revoking: bool
    ) -> TaskReport | None:
        if revoking or stop.done():
            return await self.revoke(attempt)
        try:
            with InterruptedBy(stop):
                return await self.inspect(attempt, INSPECT_WAIT_MS)
        except Interrupted:
            return await self.revoke(attempt)

    async def _checked(
        self,
        attempt: Attempt,
        call: Coroutine[Any, Any, TaskReport],
        limit_s: float,
    ) -> TaskReport | None:
        """Return the reply to `call` if it came in time and is about this task."""
        try:
            async with asyncio.timeout(limit_s):
                report = await call
        except (TimeoutError, WorkerUnreachable, StartAmbiguous):
            return None
        if report.task != attempt.task:
            return None
        self._leases.note(attempt.worker, report.boot, report.clock_ms)
        return report

    def _end(self, attempt: Attempt, end: T) -> T:
        log.info(
            "settled",
            extra={
                "submission": attempt.submission,
                "task": attempt.task,
                "upstream": attempt.worker,
                "reason": type(end).__name__.lower(),
            },
        )
        return end
