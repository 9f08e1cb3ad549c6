"""A runner as a model: fence, lease, room, runs, ends.

The stand-in serves it over HTTP and tests call it straight, so both tell the same.
Payloads are JSON texts that say what a task does, see `TaskPlan`. Every run is put
into a ledger, from which `twice` finds tasks that ran twice at one time.
"""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from monsoongap.coordination.ports import HigherFence
from monsoongap.protocol.messages import (
    EndKind,
    NotStarted,
    Refusal,
    Resources,
    RunEnd,
    RunnerInfo,
    RunnerView,
    RunRow,
    Started,
    StartRequest,
    TaskId,
)
from monsoongap.timers import MS_PER_S


@dataclass(frozen=True, slots=True)
class TaskPlan:
    """What the tasks of a job do on the stand-in.

    `works_ms` gives each task its own time, by its index; else all take `work_ms`.
    """

    work_ms: float = 50.0
    cpu_milli: int = 1000
    mem_mb: int = 64
    fails: bool = False
    works_ms: tuple[float, ...] = ()

    def work_s(self, task: TaskId) -> float:
        """Return the time that a task takes, in seconds."""
        work_ms = self.works_ms[task.index] if self.works_ms else self.work_ms
        return work_ms / MS_PER_S


@dataclass(slots=True)
class LedgerEntry:
    """One run as the runner saw it; times are of the caller's clock."""

    task: TaskId
    run: int
    runner: str
    began_at: float
    ended_at: float | None = None
    how: str = ""


@dataclass(slots=True, eq=False)
class _Run:
    task: TaskId
    number: int
    plan: TaskPlan
    entry: LedgerEntry
    left_s: float
    at: float


@dataclass(slots=True)
class RunnerFaults:
    """What is wrong with a runner now. `slow` times the usual time; 1 is none.

    Orders are carried out `late_s` later without an answer, or their answers are lost.
    """

    dark: bool = False
    slow: float = 1.0
    hangs: bool = False
    fails: bool = False
    late_s: float = 0.0
    loses_answers: bool = False


@dataclass(slots=True, eq=False)
class RunnerModel:
    """One runner over all its lives."""

    info: RunnerInfo
    clock: Callable[[], float]
    ledger: list[LedgerEntry]
    lease_max_s: float = 1.0
    faults: RunnerFaults = field(default_factory=RunnerFaults)
    fence: int = 0
    looks: int = 0
    _life_began: float = 0.0
    _lease_until_ms: float = 0.0
    _runs: dict[TaskId, _Run] = field(default_factory=dict)
    _barred: dict[TaskId, int] = field(default_factory=dict)
    _ends: list[RunEnd] = field(default_factory=list)
    _counted: int = 0
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def clock_ms(self) -> int:
        """Return the runner's clock, which starts anew with each life."""
        return int((self.clock() - self._life_began) * MS_PER_S)

    def start(self, order: StartRequest) -> Started | NotStarted:
        """Begin a run, or say why not."""
        self._check_fence(order.fence)
        self.advance()
        clock = self.clock_ms()
        self._extend(order.lease_until_ms)
        present = self._runs.get(order.task)
        if present is not None and present.number == order.run:
            return Started(clock)
        if present is not None or self._barred.get(order.task, 0) >= order.run:
            return NotStarted(Refusal.OLD_RUN, clock)
        if order.lease_until_ms <= clock:
            return NotStarted(Refusal.LEASE_OVER, clock)
        plan = msgspec.json.decode(order.payload, type=TaskPlan)
        if not self.free().can_fit(Resources(plan.cpu_milli, plan.mem_mb)):
            return NotStarted(Refusal.NO_ROOM, clock)
        now = self.clock()
        entry = LedgerEntry(order.task, order.run, self.info.id, now)
        self.ledger.append(entry)
        work_s = plan.work_s(order.task)
        self._runs[order.task] = _Run(order.task, order.run, plan, entry, work_s, now)
        # A look that waits has to count with this run's end too.
        self._changed.set()
        return Started(clock)

    def stop(self, task: TaskId, run: int, fence: int) -> int:
        """Stop a run, or bar it from beginning."""
        self._check_fence(fence)
        self.advance()
        self._barred[task] = max(self._barred.get(task, 0), run)
        present = self._runs.get(task)
        if present is not None and present.number <= run:
            self._end(present, EndKind.STOPPED, self.clock())
        return self.clock_ms()

    def poll(self, fence: int, seen: int, lease_until_ms: int | None) -> RunnerView:
        """Extend the lease, forget ends up to `seen`, tell what runs."""
        self._check_fence(fence)
        self.advance()
        self.looks += 1
        if lease_until_ms is not None:
            self._extend(lease_until_ms)
        self._ends = [end for end in self._ends if end.seq > seen]
        rows = tuple(
            RunRow(run.task, run.number, self._progress(run))
            for run in self._runs.values()
        )
        return RunnerView(self.clock_ms(), self._born_ms(), rows, tuple(self._ends))

    async def wait_for_end(self, wait_s: float) -> None:
        """Wait until a run ends, at most `wait_s`."""
        until = self.clock() + wait_s
        while not self._ends and (left := until - self.clock()) > 0:
            due = min([left, *self._due_in()])
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(due, 0.001)):
                    await self._changed.wait()
            self.advance()

    def free(self) -> Resources:
        """Return the room that no run takes."""
        free = self.info.room
        for run in self._runs.values():
            free = free.minus(Resources(run.plan.cpu_milli, run.plan.mem_mb))
        return free

    def advance(self) -> None:
        """End the runs whose work is done or whose lease has lapsed."""
        now = self.clock()
        lapse_at = self._life_began + self._lease_until_ms / MS_PER_S
        for run in list(self._runs.values()):
            speed = 0.0 if self.faults.hangs else 1 / self.faults.slow
            done_at = run.at + run.left_s / speed if speed else float("inf")
            if done_at <= min(now, lapse_at):
                bad = run.plan.fails or self.faults.fails
                self._end(run, EndKind.FAILED if bad else EndKind.DONE, done_at)
            elif lapse_at <= now:
                self._end(run, EndKind.LAPSED, lapse_at)
            else:
                run.left_s -= (now - run.at) * speed
                run.at = now

    def crash(self) -> None:
        """Lose everything and answer nothing until `begin_life`."""
        self.advance()
        now = self.clock()
        for run in self._runs.values():
            run.entry.ended_at, run.entry.how = now, "crashed"
        self._runs.clear()
        self._ends.clear()
        self.faults.dark = True

    def restart(self) -> None:
        """Start again under the same id, knowing nothing of before."""
        self.fence = 0
        self._counted = 0
        self._barred.clear()
        self._lease_until_ms = 0.0
        self._life_began = self.clock()
        self.faults = RunnerFaults()

    def _born_ms(self) -> int:
        return 1_000_000 + int(self._life_began * MS_PER_S)

    def _due_in(self) -> list[float]:
        if self.faults.hangs:
            return []
        now = self.clock()
        return [r.at + r.left_s * self.faults.slow - now for r in self._runs.values()]

    def _progress(self, run: _Run) -> int:
        whole = run.plan.work_s(run.task)
        return int(100 * (1 - run.left_s / whole)) if whole else 100

    def _check_fence(self, fence: int) -> None:
        if fence < self.fence:
            raise HigherFence
        self.fence = fence

    def _extend(self, until_ms: int) -> None:
        longest = self.clock_ms() + self.lease_max_s * MS_PER_S
        self._lease_until_ms = max(self._lease_until_ms, min(until_ms, longest))

    def _end(self, run: _Run, kind: EndKind, at: float) -> None:
        del self._runs[run.task]
        self._barred[run.task] = max(self._barred.get(run.task, 0), run.number)
        self._counted += 1
        self._ends.append(RunEnd(self._counted, run.task, run.number, kind))
        run.entry.ended_at, run.entry.how = at, kind.value


def overlapping_runs(
    ledger: list[LedgerEntry],
) -> list[tuple[LedgerEntry, LedgerEntry]]:
    """Return the pairs of runs of one task that overlap in time."""
    by_task: dict[TaskId, list[LedgerEntry]] = {}
    for entry in ledger:
        by_task.setdefault(entry.task, []).append(entry)
    pairs = []
    for entries in by_task.values():
        entries.sort(key=lambda e: e.began_at)
        for i, first in enumerate(entries):
            end = first.ended_at if first.ended_at is not None else float("inf")
            pairs += [(first, e) for e in entries[i + 1 :] if e.began_at < end]
    return pairs
