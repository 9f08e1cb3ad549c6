"""A model of a worker: a runner with slots, on the running loop's clock.

The model holds no socket. The stand-in serves it over HTTP, and tests call it on
virtual time.
"""

import asyncio
import logging
from dataclasses import dataclass, replace
from typing import Annotated

from msgspec import Meta

from monsoongap.protocol.messages import (
    Refusal,
    TaskReport,
    TaskStart,
    TaskState,
    WorkerUsage,
)
from monsoongap.standin.faults import (
    Die,
    Pause,
    WorkerFault,
    concerns,
)
from monsoongap.standin.ledger import LOST, StartLedger
from monsoongap.standin.standing_faults import RunPlan, StandingFaults
from monsoongap.standin.task_table import KnownTask, LaggingGauge, TaskTable

log = logging.getLogger(__name__)


class WorkerGone(Exception):
    """The worker's process is dead: the connection is refused or reset."""


@dataclass(frozen=True, slots=True)
class WorkerShape:
    """Size and habits of a worker.

    Ended tasks and tombstones are kept for `keep_s` seconds and at most
    `keep_tasks` of them. `usage_lag_s` is how old the usage figures are.
    `clock_offset_s` sets the worker's monotonic clock apart from all others.
    """

    name: str
    slots: Annotated[int, Meta(ge=1, le=1024)] = 8
    connections: Annotated[int, Meta(ge=1, le=1024)] = 64
    cpus: float = 16.0
    memory_mb: int = 32_768
    accelerators: int = 0
    keep_tasks: int = 20_000
    keep_s: float = 600.0
    usage_lag_s: float = 1.0
    clock_offset_s: float = 0.0


class WorkerModel:
    """Starts, reports and revokes tasks as the worker interface says.

    Every request raises `WorkerGone` when the process is dead or dies before the
    reply, and `ReplyDropped` when a fault takes the reply.
    """

    def __init__(self, shape: WorkerShape, ledger: StartLedger, boot: int = 1) -> None:
        self.shape = shape
        self.boot = boot
        self.alive = True
        self.draining = False
        self._ledger = ledger
        self._tasks = TaskTable(shape.keep_tasks, shape.keep_s)
        self._busy_seen = LaggingGauge(shape.usage_lag_s)
        self._faults = StandingFaults(shape.name)
        self._frozen_until = 0.0
        self._thawed = asyncio.Event()
        self._thawed.set()

    # Requests

    async def start(self, start: TaskStart) -> TaskReport:
        """Start a task and wait for its end, or refuse it.

        A task that is known already is joined, or its kept answer returned.
        """
        boot = await self._awake(self.boot)
        known = self._tasks.find(start.task)
        if known is None or not known.started:
            refusal = self._refusal(start, known)
            if refusal is not None:
                refused = self._refused(start, refusal)
                return await self._reply(refused, boot, is_start=True)
            known = self._begin(start)
        await self._wait_end(known, None)
        return await self._reply(self._report(known), boot, is_start=True)

    async def inspect(self, task: str, wait_ms: int = 0) -> TaskReport:
        """Tell a task's state, waiting up to `wait_ms` milliseconds for its end."""
        boot = await self._awake(self.boot)
        known = self._tasks.find(task)
        if known is None:
            return await self._reply(self._blank(task, TaskState.UNKNOWN), boot)
        if wait_ms > 0:
            await self._wait_end(known, wait_ms / 1000)
        return await self._reply(self._report(known), boot)

    async def revoke(self, task: str, fence: int) -> TaskReport:
        """Cancel a running task, or bar the start of one never seen."""
        boot = await self._awake(self.boot)
        known = self._tasks.find(task)
        if known is None:
            known = KnownTask(task, TaskState.REVOKED, fence, ended_at=_now())
            self._tasks.keep(known)
        elif known.state is TaskState.RUNNING:
            known.stop()
            self._end(known, TaskState.CANCELLED)
        known.fence = max(known.fence, fence)
        return await self._reply(self._report(known), boot)

    async def usage(self) -> WorkerUsage:
        """Tell size, lagging load, boot number and clock."""
        await self._awake(self.boot)
        return WorkerUsage(
            worker=self.shape.name,
            boot=self.boot,
            clock_ms=self._clock_ms(),
            slots=self.shape.slots,
            busy=self._busy_seen.get(_now()),
            cpus=self.shape.cpus,
            memory_mb=self.shape.memory_mb,
            draining=self._leaving(),
            accelerators=self.shape.accelerators,
        )

    # Control

    def set_faults(self, faults: tuple[WorkerFault, ...]) -> None:
        """Replace the standing faults and carry out the single ones."""
        mine = tuple(fault for fault in faults if concerns(fault, self.shape.name))
        self._faults.replace(mine)
        for fault in mine:
            match fault:
                case Pause(pause_s):
                    self.pause(pause_s)
                case Die(_, restart_s):
                    self.die(restart_s)
                case _:
                    pass

    def pause(self, pause_s: float) -> None:
        """Freeze the process for `pause_s` seconds."""
        self._frozen_until = max(self._frozen_until, _now() + pause_s)
        self._thawed.clear()
        asyncio.get_running_loop().call_later(pause_s, self._thaw)

    def die(self, restart_s: float | None = None) -> None:
        """Kill the process; it restarts empty after `restart_s`, or never."""
        self.alive = False
        for known in self._tasks.running.values():
            known.stop()
            known.state = TaskState.UNKNOWN
            known.ended.set()
            self._ledger.record_end(known.serial, LOST)
        self._tasks.clear()
        self._busy_seen.set(_now(), 0)
        self._thawed.set()
        if restart_s is not None:
            asyncio.get_running_loop().call_later(restart_s, self.restart)

    def restart(self) -> None:
        """Bring a dead process back, knowing nothing, with a new boot number."""
        if self.alive:
            return
        self.alive = True
        self.boot += 1
        self._frozen_until = 0.0

    async def close(self) -> None:
        """Stop all running tasks, at the end of a test or of the stand-in."""
        running = self._tasks.running.values()
        runners = [known.runner for known in running if known.runner is not None]
        self.die()
        await asyncio.gather(*runners, return_exceptions=True)

    @property
    def busy(self) -> int:
        """Return the number of taken slots, without lag."""
        return len(self._tasks.running)

    # Starting and ending

    def _refusal(self, start: TaskStart, tombstone: KnownTask | None) -> Refusal | None:
        if start.lease.boot != self.boot:
            return Refusal.FENCED
        if tombstone is not None and start.fence <= tombstone.fence:
            return Refusal.FENCED
        if self._clock_ms() > start.lease.until_ms:
            return Refusal.LEASE_EXPIRED
        if self._leaving():
            return Refusal.DRAINING
        if start.cpus > self.shape.cpus or start.memory_mb > self.shape.memory_mb:
            return Refusal.TOO_LARGE
        if self.busy >= self.shape.slots:
            return Refusal.BUSY
        return None

    def _begin(self, start: TaskStart) -> KnownTask:
        name = self.shape.name
        serial = self._ledger.record_start(start.task, start.submission, name)
        known = KnownTask(start.task, TaskState.RUNNING, start.fence, serial, _now())
        self._tasks.add_running(known)
        self._busy_seen.set(_now(), self.busy)
        run = self._run(known, self._faults.plan(start))
        known.runner = asyncio.create_task(run, name=f"run:{start.task}")
        return known

    async def _run(self, known: KnownTask, plan: RunPlan) -> None:
        await asyncio.sleep(plan.run_s)
        await self._thawed.wait()
        if plan.error is None:
            known.answer = plan.answer
            self._end(known, TaskState.DONE)
        else:
            known.error = plan.error
            self._end(known, TaskState.FAILED)

    def _end(self, known: KnownTask, state: TaskState) -> None:
        known.state = state
        known.ended_at = _now()
        self._tasks.keep(known)
        self._ledger.record_end(known.serial, state)
        self._busy_seen.set(_now(), self.busy)
        known.ended.set()

    async def _wait_end(self, known: KnownTask, wait_s: float | None) -> None:
        if known.state is not TaskState.RUNNING:
            return
        try:
            async with asyncio.timeout(wait_s):
                await known.ended.wait()
        except TimeoutError:
            return

    # Replies

    def _report(self, known: KnownTask) -> TaskReport:
        ended = known.started and known.state is not TaskState.RUNNING
        run_ms = (known.ended_at - known.started_at) * 1000 if ended else None
        return replace(
            self._blank(known.task, known.state),
            answer=known.answer,
            error=known.error,
            run_ms=run_ms,
            fence=known.fence,
        )

    def _refused(self, start: TaskStart, refusal: Refusal) -> TaskReport:
        blank = self._blank(start.task, TaskState.REFUSED)
        return replace(blank, refusal=refusal, fence=start.fence)

    def _blank(self, task: str, state: TaskState) -> TaskReport:
        return TaskReport(task, state, self.boot, self._clock_ms())

    async def _reply(
        self, report: TaskReport, boot: int, is_start: bool = False
    ) -> TaskReport:
        await self._awake(boot)
        report = await self._faults.disturb(report, is_start)
        await self._awake(boot)
        return report

    # State of the process

    async def _awake(self, boot: int) -> int:
        """Wait while the process is frozen; raise when `boot` is over."""
        if self.alive:
            await self._thawed.wait()
        if not self.alive or boot != self.boot:
            raise WorkerGone(self.shape.name)
        return boot

    def _thaw(self) -> None:
        if _now() >= self._frozen_until:
            self._thawed.set()

    def _leaving(self) -> bool:
        return self.draining or self._faults.drained

    def _clock_ms(self) -> int:
        return int((_now() + self.shape.clock_offset_s) * 1000)


def _now() -> float:
    return asyncio.get_running_loop().time()
