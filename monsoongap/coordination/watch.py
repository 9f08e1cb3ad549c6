"""Finds starts whose connection went silent, at a bounded cost in messages.

A start's reply comes when its task ends, so a long wait alone proves nothing.
Two rules decide when to ask on a fresh connection what became of a task:

- Quiet worker: it has starts outstanding that have lasted longer than their kind
  usually does, and replied to none for `QUIET_AFTER_S`. One task is asked about
  at once; when its reply turns out to be lost, the others are asked about too.
- Quiet connection: a single start waits for longer than `OVERDUE_AFTER_S` while
  the worker replies to others. Such checks are paid from a budget that is a share
  of recent starts, so a healthy system spends little on them.

A silent connection is no evidence against its worker: only a fresh connection that
fails too is reported.
"""

import asyncio
import logging
from collections import defaultdict
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

from monsoongap.coordination.parts import Directory
from monsoongap.coordination.ports import WorkerPort
from monsoongap.errors import StartAmbiguous, WorkerUnreachable
from monsoongap.protocol.messages import (
    TaskReport,
    TaskStart,
    TaskState,
    WorkerUsage,
)
from monsoongap.settings import WorkersSection
from monsoongap.timers import Subscription, TimerService
from monsoongap.util.interrupt import Interrupted, Interruptible

log = logging.getLogger(__name__)

MS_PER_S = 1000
SCAN_S = 0.25
QUIET_AFTER_S = 1.0
OVERDUE_AFTER_S = 1.0
SETTLED_AGE_S = 0.5
USUAL_MARGIN_S = 0.5
USUAL_WEIGHT = 0.2
USUAL_KINDS_MAX = 2048
REPLY_GRACE_S = 0.1
CHECK_SHARE = 0.02
CHECK_BUDGET_MAX = 10.0
BACKOFF_MAX_S = 4.0


@dataclass(slots=True, eq=False)
class _Outstanding:
    """A start that waits for its reply; times are on the timer clock."""

    worker: str
    task: str
    sent_at: float
    aged_at: float
    check_at: float
    wait: Interruptible
    ended: bool = False
    verdict: TaskReport | StartAmbiguous | None = None


@dataclass(slots=True)
class _WorkerWatch:
    """What is known of one worker's replies."""

    heard_at: float
    quiet_check_at: float = 0.0
    failing_since: float | None = None
    checking: bool = False


class _UsualRunTimes:
    """Moving average of run time in seconds per (team, kind), bounded."""

    def __init__(self) -> None:
        self._seconds: dict[tuple[str, str], float] = {}

    def get(self, kind: tuple[str, str]) -> float:
        """Return the usual run time, 0 for a kind not seen before."""
        return self._seconds.get(kind, 0.0)

    def learn(self, kind: tuple[str, str], seconds: float) -> None:
        """Take one run time into the average."""
        if kind not in self._seconds and len(self._seconds) >= USUAL_KINDS_MAX:
            del self._seconds[next(iter(self._seconds))]
        usual = self._seconds.get(kind, seconds)
        self._seconds[kind] = usual + USUAL_WEIGHT * (seconds - usual)


class WatchedWorkers:
    """A `ports.WorkerPort` that settles starts whose reply was lost."""

    def __init__(
        self,
        cfg: WorkersSection,
        port: WorkerPort,
        directory: Directory,
        timers: TimerService,
    ) -> None:
        self.checks = 0
        self.found_silent = 0
        self._cfg = cfg
        self._port = port
        self._directory = directory
        self._timers = timers
        self._outstanding: defaultdict[str, set[_Outstanding]] = defaultdict(set)
        self._watches: dict[str, _WorkerWatch] = {}
        self._usual = _UsualRunTimes()
        self._budget = CHECK_BUDGET_MAX
        self._tasks: set[asyncio.Task[None]] = set()
        self._subscription: Subscription | None = None

    def begin(self) -> None:
        """Begin watching."""
        self._subscription = self._timers.every(SCAN_S, self._scan, "reply-watch")

    def close(self) -> None:
        """Stop watching; outstanding starts go on unwatched."""
        if self._subscription is not None:
            self._subscription.cancel()
        for task in self._tasks:
            task.cancel()

    async def start(self, worker: str, start: TaskStart) -> TaskReport:
        """Start a task and wait for its end, whichever connection tells it."""
        now = self._timers.now()
        watch = self._watches.setdefault(worker, _WorkerWatch(heard_at=now))
        outstanding = self._outstanding[worker]
        if not outstanding:
            watch.heard_at = now
        kind = (start.team, start.kind)
        aged_at = now + max(SETTLED_AGE_S, self._usual.get(kind) + USUAL_MARGIN_S)
        check_at = max(aged_at, now + OVERDUE_AFTER_S)
        wait = Interruptible()
        entry = _Outstanding(worker, start.task, now, aged_at, check_at, wait)
        outstanding.add(entry)
        self._budget = min(CHECK_BUDGET_MAX, self._budget + CHECK_SHARE)
        try:
            with wait:
                report = await self._port.start(worker, start)
        except Interrupted:
            return _verdict(entry)
        finally:
            entry.ended = True
            outstanding.discard(entry)
        self._heard(worker, watch)
        if report.run_ms is not None:
            self._usual.learn(kind, report.run_ms / MS_PER_S)
        return report

    async def inspect(self, worker: str, task: str, wait_ms: int) -> TaskReport:
        """Ask for a task's state."""
        return await self._port.inspect(worker, task, wait_ms)

    async def revoke(self, worker: str, task: str, fence: int) -> TaskReport:
        """Cancel a task, or bar its start."""
        return await self._port.revoke(worker, task, fence)

    async def usage(self, worker: str) -> WorkerUsage:
        """Ask for size, load, boot and clock."""
        return await self._port.usage(worker)

    def _heard(self, worker: str, watch: _WorkerWatch) -> None:
        watch.heard_at = self._timers.now()
        watch.quiet_check_at = 0.0
        if watch.failing_since is not None:
            watch.failing_since = None
            self._directory.report_alive(worker)

    def _scan(self) -> None:
        now = self._timers.now()
        for worker, outstanding in self._outstanding.items():
            watch = self._watches[worker]
            if not outstanding or watch.checking:
                continue
            if self._quiet(watch, now):
                aged = [entry for entry in outstanding if now >= entry.aged_at]
                if aged and now >= watch.quiet_check_at:
                    self._spawn(self._check_quiet(watch, aged))
                continue
            overdue = [entry for entry in outstanding if now >= entry.check_at]
            if overdue and self._budget >= 1:
                self._budget -= 1
                newest = max(overdue, key=lambda entry: entry.sent_at)
                self._spawn(self._check_overdue(watch, newest))

    def _quiet(self, watch: _WorkerWatch, now: float) -> bool:
        return now - watch.heard_at >= QUIET_AFTER_S

    def _spawn(self, check: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(check)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check_quiet(self, watch: _WorkerWatch, aged: list[_Outstanding]) -> None:
        """Ask about the newest start, then about the rest if it was lost."""
        watch.checking = True
        try:
            aged.sort(key=lambda entry: entry.sent_at, reverse=True)
            if await self._check(watch, aged[0]):
                await asyncio.gather(*(self._check(watch, e) for e in aged[1:]))
            now = self._timers.now()
            watch.quiet_check_at = now + min(now - watch.heard_at, BACKOFF_MAX_S)
        finally:
            watch.checking = False

    async def _check_overdue(self, watch: _WorkerWatch, entry: _Outstanding) -> None:
        """Ask about one start; one lost reply casts doubt on the others too."""
        watch.checking = True
        try:
            if await self._check(watch, entry):
                now = self._timers.now()
                others = self._outstanding[entry.worker]
                aged = [e for e in others if now - e.sent_at >= SETTLED_AGE_S]
                await asyncio.gather(*(self._check(watch, e) for e in aged))
        finally:
            watch.checking = False

    async def _check(self, watch: _WorkerWatch, entry: _Outstanding) -> bool:
        """Ask what became of a start; tells whether its reply was lost."""
        self.checks += 1
        now = self._timers.now()
        entry.check_at = now + (now - entry.sent_at)
        try:
            report = await self._port.inspect(entry.worker, entry.task, 0)
        except (WorkerUnreachable, StartAmbiguous) as exc:
            self._check_failed(watch, entry, exc)
            return False
        if watch.failing_since is not None:
            watch.failing_since = None
            self._directory.report_alive(entry.worker)
        if report.state is TaskState.RUNNING:
            return False
        # The reply may be on its way: it crossed the question.
        await self._timers.sleep(REPLY_GRACE_S)
        if entry.ended:
            return False
        self.found_silent += 1
        if report.state in (TaskState.DONE, TaskState.FAILED):
            self._end(entry, report, "reply lost, answer taken on a new connection")
        else:
            lost = StartAmbiguous(f"{entry.task}: {report.state} at {entry.worker}")
            self._end(entry, lost, f"start lost, worker says {report.state}")
        return True

    def _check_failed(
        self, watch: _WorkerWatch, entry: _Outstanding, exc: Exception
    ) -> None:
        now = self._timers.now()
        if watch.failing_since is None:
            watch.failing_since = now
            self._directory.report_silent(entry.worker)
        if now - watch.failing_since < self._cfg.lease_s:
            return
        for other in list(self._outstanding[entry.worker]):
            lost = StartAmbiguous(f"{other.task}: worker unreachable: {exc}")
            self._end(other, lost, "worker unreachable past its lease")

    def _end(
        self,
        entry: _Outstanding,
        verdict: TaskReport | StartAmbiguous,
        reason: str,
    ) -> None:
        """End the wait for a reply, which retires its connection."""
        entry.verdict = verdict
        entry.wait.fire()
        log.info(
            "silent connection retired",
            extra={"task": entry.task, "upstream": entry.worker, "reason": reason},
        )


def _verdict(entry: _Outstanding) -> TaskReport:
    """Return the report found by a check; raises `StartAmbiguous` without one."""
    match entry.verdict:
        case TaskReport() as found:
            return found
        case StartAmbiguous() as lost:
            raise lost
    raise StartAmbiguous(f"{entry.task}: wait ended without a verdict")
