"""Model of a runner: fence, lease, capacity, runs and their ends.

The stand-in serves it over HTTP and tests call it directly, so both behave alike. The
payload of a task is the JSON text of a `TaskPlan`. Every run is recorded in a ledger,
in which `overlapping_runs` finds tasks that had two runs at the same time.
"""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field, replace

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
    """How the tasks of a job behave on the stand-in.

    If `works_ms` is given, it holds the work of each task by index; otherwise the work
    of every task is `work_ms`.
    """

    work_ms: float = 50.0
    cpu_milli: int = 1000
    mem_mb: int = 64
    fails: bool = False
    works_ms: tuple[float, ...] = ()

    def work_s(self, task: TaskId) -> float:
        """Return the time in seconds that a task takes at normal speed."""
        work_ms = self.works_ms[task.index] if self.works_ms else self.work_ms
        return work_ms / MS_PER_S


@dataclass(slots=True)
class LedgerEntry:
    """One run, recorded by its runner; times are of the clock of `RunnerModel`.

    `labels` are those of the runner as the run began.
    """

    task: TaskId
    run: int
    runner: str
    began_at: float
    ended_at: float | None = None
    how: str = ""
    labels: tuple[str, ...] = ()


@dataclass(slots=True, eq=False)
class _Run:
    task: TaskId
    number: int
    plan: TaskPlan
    entry: LedgerEntry
    remaining_s: float
    updated_at: float


@dataclass(slots=True)
class RunnerFaults:
    """Injected faults of a runner; `slow` multiplies the time of each task, 1 is none.

    Requests are performed `late_s` later and never answered, or, with `loses_answers`,
    performed without a reply.
    """

    dark: bool = False
    slow: float = 1.0
    hangs: bool = False
    fails: bool = False
    late_s: float = 0.0
    loses_answers: bool = False


@dataclass(slots=True, eq=False)
class RunnerModel:
    """One runner over all its incarnations."""

    info: RunnerInfo
    clock: Callable[[], float]
    ledger: list[LedgerEntry]
    lease_max_s: float = 1.0
    faults: RunnerFaults = field(default_factory=RunnerFaults)
    fence: int = 0
    polls: int = 0
    _started_at: float = 0.0
    _lease_until_ms: float = 0.0
    _runs: dict[tuple[TaskId, int], _Run] = field(default_factory=dict)
    _rejected_runs: dict[TaskId, int] = field(default_factory=dict)
    _ends: list[RunEnd] = field(default_factory=list)
    _last_end_seq: int = 0
    _runs_changed: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self.info = replace(self.info, born_ms=self._born_ms())

    def clock_ms(self) -> int:
        """Return the runner's clock in ms, which starts at 0 with each incarnation."""
        return int((self.clock() - self._started_at) * MS_PER_S)

    def start(self, request: StartRequest) -> Started | NotStarted:
        """Start a run, or return why it is refused; raise `HigherFence`."""
        self._check_fence(request.fence)
        self.advance()
        clock = self.clock_ms()
        self._extend_lease(request.lease_until_ms)
        if (request.task, request.run) in self._runs:
            return Started(clock)
        if self._rejected_runs.get(request.task, 0) >= request.run:
            return NotStarted(Refusal.OLD_RUN, clock)
        if request.lease_until_ms <= clock:
            return NotStarted(Refusal.LEASE_OVER, clock)
        plan = msgspec.json.decode(request.payload, type=TaskPlan)
        if not self.free().can_fit(Resources(plan.cpu_milli, plan.mem_mb)):
            return NotStarted(Refusal.NO_ROOM, clock)
        now = self.clock()
        entry = LedgerEntry(
            request.task, request.run, self.info.id, now, labels=self.info.labels
        )
        self.ledger.append(entry)
        work_s = plan.work_s(request.task)
        self._runs[request.task, request.run] = _Run(
            request.task, request.run, plan, entry, work_s, now
        )
        # A waiting poll has to consider the end of this run too.
        self._runs_changed.set()
        return Started(clock)

    def stop(self, task: TaskId, run: int, fence: int) -> int:
        """Stop a run and reject later starts of it; return the clock in ms.

        Raises `HigherFence`.
        """
        self._check_fence(fence)
        self.advance()
        self._rejected_runs[task] = max(self._rejected_runs.get(task, 0), run)
        for current in list(self._runs.values()):
            if current.task == task and current.number <= run:
                self._end_run(current, EndKind.STOPPED, self.clock())
        return self.clock_ms()

    def poll(
        self, fence: int, last_seen_seq: int, lease_until_ms: int | None
    ) -> RunnerView:
        """Extend the lease, drop ends up to `last_seen_seq` and return runs and ends.

        Raises `HigherFence`.
        """
        self._check_fence(fence)
        self.advance()
        self.polls += 1
        if lease_until_ms is not None:
            self._extend_lease(lease_until_ms)
        self._ends = [end for end in self._ends if end.seq > last_seen_seq]
        rows = tuple(
            RunRow(run.task, run.number, self._progress(run))
            for run in self._runs.values()
        )
        return RunnerView(self.clock_ms(), self._born_ms(), rows, tuple(self._ends))

    async def wait_for_end(self, wait_s: float) -> None:
        """Wait until an end is listed, at most `wait_s` seconds."""
        deadline = self.clock() + wait_s
        while not self._ends and (remaining := deadline - self.clock()) > 0:
            delay_s = min([remaining, *self._remaining_s()])
            self._runs_changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(delay_s, 0.001)):
                    await self._runs_changed.wait()
            self.advance()

    def free(self) -> Resources:
        """Return the resources that no run uses."""
        free = self.info.room
        for run in self._runs.values():
            free = free.minus(Resources(run.plan.cpu_milli, run.plan.mem_mb))
        return free

    def advance(self) -> None:
        """End the runs whose work is done or whose lease has lapsed."""
        now = self.clock()
        lapse_at = self._started_at + self._lease_until_ms / MS_PER_S
        for run in list(self._runs.values()):
            speed = 0.0 if self.faults.hangs else 1 / self.faults.slow
            done_at = (
                run.updated_at + run.remaining_s / speed if speed else float("inf")
            )
            if done_at <= min(now, lapse_at):
                failed = run.plan.fails or self.faults.fails
                self._end_run(run, EndKind.FAILED if failed else EndKind.DONE, done_at)
            elif lapse_at <= now:
                self._end_run(run, EndKind.LAPSED, lapse_at)
            else:
                run.remaining_s -= (now - run.updated_at) * speed
                run.updated_at = now

    def crash(self) -> None:
        """End all runs, drop all state and stop answering until `restart`."""
        self.advance()
        now = self.clock()
        for run in self._runs.values():
            run.entry.ended_at, run.entry.how = now, "crashed"
        self._runs.clear()
        self._ends.clear()
        self.faults.dark = True

    def restart(self, labels: tuple[str, ...] | None = None) -> None:
        """Start a new incarnation with the same id and without any earlier state.

        `labels` are those of the new incarnation, None for the same as before.
        """
        self.fence = 0
        self._last_end_seq = 0
        self._rejected_runs.clear()
        self._lease_until_ms = 0.0
        self._started_at = self.clock()
        self.faults = RunnerFaults()
        labels = self.info.labels if labels is None else labels
        self.info = replace(self.info, labels=labels, born_ms=self._born_ms())

    def _born_ms(self) -> int:
        return 1_000_000 + int(self._started_at * MS_PER_S)

    def _remaining_s(self) -> list[float]:
        if self.faults.hangs:
            return []
        now = self.clock()
        return [
            run.updated_at + run.remaining_s * self.faults.slow - now
            for run in self._runs.values()
        ]

    def _progress(self, run: _Run) -> int:
        work_s = run.plan.work_s(run.task)
        return int(100 * (1 - run.remaining_s / work_s)) if work_s else 100

    def _check_fence(self, fence: int) -> None:
        if fence < self.fence:
            raise HigherFence
        self.fence = fence

    def _extend_lease(self, until_ms: int) -> None:
        limit_ms = self.clock_ms() + self.lease_max_s * MS_PER_S
        self._lease_until_ms = max(self._lease_until_ms, min(until_ms, limit_ms))

    def _end_run(self, run: _Run, kind: EndKind, ended_at: float) -> None:
        del self._runs[run.task, run.number]
        self._rejected_runs[run.task] = max(
            self._rejected_runs.get(run.task, 0), run.number
        )
        self._last_end_seq += 1
        self._ends.append(RunEnd(self._last_end_seq, run.task, run.number, kind))
        run.entry.ended_at, run.entry.how = ended_at, kind.value


def overlapping_runs(
    ledger: list[LedgerEntry],
) -> list[tuple[LedgerEntry, LedgerEntry]]:
    """Return the pairs of runs of one task that overlap in time."""
    by_task: dict[TaskId, list[LedgerEntry]] = {}
    for entry in ledger:
        by_task.setdefault(entry.task, []).append(entry)
    pairs = []
    for entries in by_task.values():
        entries.sort(key=lambda run: run.began_at)
        for i, first in enumerate(entries):
            end = first.ended_at if first.ended_at is not None else float("inf")
            pairs += [(first, run) for run in entries[i + 1 :] if run.began_at < end]
    return pairs
