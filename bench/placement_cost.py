"""What one placement costs in processor time, on a real event loop."""

import asyncio
import time
from collections import deque
from dataclasses import dataclass

from bench.placement_world import World
from monsoongap.coordination.parts import Slot, SlotEnd, SlotResult, Ticket
from monsoongap.coordination.scheduler import Scheduler
from monsoongap.errors import DispatchError
from monsoongap.protocol.messages import JobRequest, TaskReport, TaskSpec, TaskState
from monsoongap.settings import PlacementSection

WORKERS = 178
QUEUED_TASKS = 5000
JOB_SIZE = 8
BATCH = 8
TEAMS = 2
KINDS = 16


@dataclass(frozen=True, slots=True)
class Cost:
    """Placements per second of processor time, with the queue that waited."""

    tasks: int
    cpu_s: float
    queued: int

    @property
    def tasks_per_s(self) -> float:
        """Return placements per second of one core."""
        return self.tasks / self.cpu_s


class _Load:
    """Keeps a number of tasks waiting and ends the running ones in turn."""

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self._running: deque[tuple[Slot, Ticket]] = deque()
        self._left: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._jobs = 0
        self.ended = 0

    def add_job(self) -> None:
        """Admit a job and queue its tasks."""
        self._jobs += 1
        submission = f"s{self._jobs}"
        team, kind = "ab"[self._jobs % TEAMS], f"kind{self._jobs % KINDS}"
        deadline_at = asyncio.get_running_loop().time() + 600.0
        req = JobRequest(team, kind, (TaskSpec(),) * JOB_SIZE, 600_000)
        self._scheduler.admit(req, deadline_at)
        self._left[submission] = JOB_SIZE
        for index in range(JOB_SIZE):
            ticket = Ticket(
                f"{submission}/{index}",
                submission,
                team,
                kind,
                1.0,
                64,
                100,
                deadline_at,
                JOB_SIZE,
            )
            task = asyncio.create_task(self._hold(ticket))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _hold(self, ticket: Ticket) -> None:
        slot = await self._scheduler.acquire(ticket)
        self._running.append((slot, ticket))

    def end(self, count: int) -> None:
        """End the tasks that have run longest."""
        for _ in range(min(count, len(self._running))):
            slot, ticket = self._running.popleft()
            report = TaskReport(ticket.task, TaskState.DONE, 1, 0, run_ms=100.0)
            result = SlotResult(SlotEnd.DONE, report)
            self._scheduler.release(slot, ticket, result)
            self.ended += 1
            self._left[ticket.submission] -= 1
            if not self._left[ticket.submission]:
                del self._left[ticket.submission]
                self._scheduler.withdraw(ticket.submission, ticket.team, JOB_SIZE)

    def stop(self) -> None:
        """Give up the tasks that still wait."""
        for task in self._tasks:
            task.cancel()


async def measure_cost(tasks: int = 20_000) -> Cost:
    """Place, end and replace `tasks` tasks while thousands more wait."""
    cfg = PlacementSection(queue_tasks=100_000, queue_wait_s=600.0)
    world = World(1, WORKERS, cfg=cfg)
    world.start()
    scheduler = world.hosts[0].scheduler
    load = _Load(scheduler)
    try:
        while world.queued() < QUEUED_TASKS:
            load.add_job()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
    except DispatchError as exc:
        raise RuntimeError("the load was not admitted") from exc
    queued = world.queued()
    load.ended = 0
    started_s = time.process_time()
    while load.ended < tasks:
        load.end(BATCH)
        for _ in range(BATCH // JOB_SIZE):
            load.add_job()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
    cpu_s = time.process_time() - started_s
    load.stop()
    await world.close()
    return Cost(load.ended, cpu_s, queued)
