"""Tests of what runs on one runner, against the runner's own lists."""

from monsoongap.coordination.runs import RunTable
from monsoongap.coordination.work import Run, RunOutcome, RunState
from monsoongap.protocol.messages import (
    EndKind,
    Resources,
    RunEnd,
    RunnerInfo,
    RunnerView,
    RunRow,
    TaskId,
)
from monsoongap.timers import TimerService

INFO = RunnerInfo("r1", "u", "a:1", "a", False, Resources(4000, 4096), (), 7)
TASK = TaskId("ab" * 8, 0, 0)


class StillTimers(TimerService):
    """A clock that the test sets."""

    def __init__(self) -> None:
        super().__init__()
        self.at = 100.0

    def now(self) -> float:
        return self.at


class Bench:
    """A table, and what it told."""

    def __init__(self) -> None:
        self.timers = StillTimers()
        self.stopped: list[Run] = []
        self.overs: list[RunOutcome] = []
        self.guards = True
        self.table = RunTable(
            INFO, self.timers, 2.0, self.stopped.append, lambda: self.guards
        )
        self.poll()

    def poll(
        self,
        running: tuple[RunRow, ...] = (),
        ends: tuple[RunEnd, ...] = (),
        born_ms: int = 7,
    ) -> bool:
        view = RunnerView(1, born_ms, running, ends)
        return self.table.absorb(view, self.timers.at)

    def run(self, confirmed: bool = True) -> Run:
        run = Run(TASK, 1, Resources(1000, 64), lambda _, over: self.overs.append(over))
        self.table.begin(run)
        if confirmed:
            run.state = RunState.RUNNING
            run.confirmed_at = self.timers.at - 1
        return run


def test_a_listed_end_frees_the_room_once() -> None:
    bench = Bench()
    bench.run()
    end = RunEnd(1, TASK, 1, EndKind.DONE)
    bench.poll(ends=(end,))
    bench.poll(ends=(end,))
    assert bench.overs == [RunOutcome.DONE]
    assert bench.table.free == INFO.room


def test_a_run_that_no_later_list_names_is_lost() -> None:
    bench = Bench()
    bench.run()
    bench.poll()
    assert bench.overs == [RunOutcome.LOST]


def test_a_run_that_was_ordered_and_not_confirmed_is_not_lost_by_a_list() -> None:
    bench = Bench()
    bench.run(confirmed=False)
    bench.poll()
    assert bench.overs == []


def test_an_order_on_its_way_outlives_the_runner_s_former_life() -> None:
    bench = Bench()
    run = bench.run(confirmed=False)
    assert bench.poll(born_ms=9)
    assert bench.overs == [] and bench.table.has(run)


def test_the_runs_of_a_former_life_are_lost() -> None:
    bench = Bench()
    bench.run()
    assert bench.poll(born_ms=9)
    assert bench.overs == [RunOutcome.LOST]


def test_ends_of_another_life_are_not_noted_before_they_were_seen() -> None:
    bench = Bench()
    bench.poll(ends=(RunEnd(5, TASK, 1, EndKind.DONE),))
    assert bench.table.seen_here == 5
    bench.table.update(RunnerInfo("r1", "u", "a:1", "a", False, INFO.room, (), 9))
    assert bench.table.seen_here == 0


def test_an_unclaimed_run_is_kept_for_its_caller_and_then_stopped() -> None:
    bench = Bench()
    bench.poll((RunRow(TASK, 3, 10),))
    assert bench.table.free.cpu_milli == 2000
    bench.timers.at += 1.0
    bench.poll((RunRow(TASK, 3, 40),))
    assert bench.stopped == []
    bench.timers.at += 1.5
    bench.poll((RunRow(TASK, 3, 90),))
    assert [run.number for run in bench.stopped] == [3]


def test_a_run_that_stands_still_is_stopped() -> None:
    bench = Bench()
    run = bench.run()
    run.estimate_s = 0.1
    for _ in range(10):
        bench.poll((RunRow(TASK, 1, 40),))
        bench.timers.at += 0.1
    assert bench.stopped and bench.stopped[0] is run


def test_a_runner_without_a_guard_gets_nothing_beside_a_run_of_unknown_size() -> None:
    bench = Bench()
    bench.guards = False
    bench.poll((RunRow(TASK, 3, 10),))
    assert bench.table.free.cpu_milli == 0
