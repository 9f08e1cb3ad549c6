"""Tests of the table of runs, compared with the runner's lists."""

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

INFO = RunnerInfo("r1", "u", "a:1", "a", False, Resources(4000, 4096, 1), (), 7)
TASK = TaskId("ab" * 8, 0, 0)


class ManualTimers(TimerService):
    """A clock that the test sets."""

    def __init__(self) -> None:
        super().__init__()
        self.at = 100.0

    def now(self) -> float:
        return self.at


class TableFixture:
    """A table of runs, with the outcomes that it reported and the stops requested."""

    def __init__(self) -> None:
        self.timers = ManualTimers()
        self.stopped: list[Run] = []
        self.outcomes: list[RunOutcome] = []
        self.checks_capacity = True
        self.table = RunTable(
            INFO, self.timers, 2.0, self.stopped.append, lambda: self.checks_capacity
        )
        self.poll()

    def poll(
        self,
        running: tuple[RunRow, ...] = (),
        ends: tuple[RunEnd, ...] = (),
        born_ms: int = 7,
    ) -> bool:
        view = RunnerView(1, born_ms, running, ends)
        return self.table.apply(view, self.timers.at, self.table.last_seen_seq)

    def run(self, confirmed: bool = True) -> Run:
        run = Run(
            TASK,
            1,
            Resources(1000, 64),
            lambda _, outcome: self.outcomes.append(outcome),
        )
        self.table.add(run)
        if confirmed:
            run.state = RunState.RUNNING
            run.confirmed_at = self.timers.at - 1
        return run


def test_an_end_listed_twice_frees_capacity_once() -> None:
    fixture = TableFixture()
    fixture.run()
    end = RunEnd(1, TASK, 1, EndKind.DONE)
    fixture.poll(ends=(end,))
    fixture.poll(ends=(end,))
    assert fixture.outcomes == [RunOutcome.DONE]
    assert fixture.table.free == INFO.room


def test_a_run_that_no_later_list_names_is_lost() -> None:
    fixture = TableFixture()
    fixture.run()
    fixture.poll()
    assert fixture.outcomes == [RunOutcome.LOST]


def test_an_unconfirmed_run_missing_from_a_list_is_not_lost() -> None:
    fixture = TableFixture()
    fixture.run(confirmed=False)
    fixture.poll()
    assert fixture.outcomes == []


def test_an_unconfirmed_run_is_kept_when_the_runner_restarts() -> None:
    fixture = TableFixture()
    run = fixture.run(confirmed=False)
    assert fixture.poll(born_ms=9)
    assert fixture.outcomes == [] and fixture.table.has(run)


def test_confirmed_runs_are_lost_when_the_runner_restarts() -> None:
    fixture = TableFixture()
    fixture.run()
    assert fixture.poll(born_ms=9)
    assert fixture.outcomes == [RunOutcome.LOST]


def test_ends_after_a_restart_are_not_acknowledged_before_they_are_seen() -> None:
    fixture = TableFixture()
    fixture.poll(ends=(RunEnd(5, TASK, 1, EndKind.DONE),))
    assert fixture.table.last_seen_seq == 5
    fixture.table.update(RunnerInfo("r1", "u", "a:1", "a", False, INFO.room, (), 9))
    assert fixture.table.last_seen_seq == 0


def test_an_orphan_run_is_kept_for_its_caller_and_then_stopped() -> None:
    fixture = TableFixture()
    fixture.poll((RunRow(TASK, 3, 10),))
    assert fixture.table.free.cpu_milli == 2000
    fixture.timers.at += 1.0
    fixture.poll((RunRow(TASK, 3, 40),))
    assert fixture.stopped == []
    fixture.timers.at += 1.5
    fixture.poll((RunRow(TASK, 3, 90),))
    assert [run.number for run in fixture.stopped] == [3]


def test_a_run_without_progress_is_stopped() -> None:
    fixture = TableFixture()
    run = fixture.run()
    run.estimate_s = 0.1
    for _ in range(10):
        fixture.poll((RunRow(TASK, 1, 40),))
        fixture.timers.at += 0.1
    assert fixture.stopped and fixture.stopped[0] is run


# Guards against tasks that need no processors and are placed beside an orphan run that
# has the runner's memory or its only accelerator.
def test_a_runner_that_checks_no_capacity_has_none_beside_an_orphan_run() -> None:
    fixture = TableFixture()
    fixture.checks_capacity = False
    fixture.poll((RunRow(TASK, 3, 10),))
    assert fixture.table.free == Resources(0, 0, 0)
    (run,) = fixture.table.runs.values()
    # Its job adopts it, and tells its size.
    fixture.table.resize(run, Resources(0, 1024, 1))
    assert fixture.table.free == Resources(4000, 3072, 0)
