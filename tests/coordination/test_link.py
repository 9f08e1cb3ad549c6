"""Tests of one runner as its owner holds it."""

import asyncio

from monsoongap.coordination.link import Link, LinkState
from monsoongap.coordination.ports import NoAnswer
from monsoongap.coordination.work import Run, RunOutcome
from monsoongap.protocol.messages import (
    NotStarted,
    Resources,
    RunnerInfo,
    RunnerView,
    ShareId,
    Started,
    StartRequest,
    TaskId,
)
from monsoongap.settings import BoundsSection
from monsoongap.timers import TimerService
from tests.coordination.test_host import run_virtual

INFO = RunnerInfo("r0", "u", "r0", "a", False, Resources(4000, 4096), (), 1)


class HungRunner:
    """Answers the first look, and fails the second one when it is told to."""

    def __init__(self) -> None:
        self.gate = asyncio.Event()
        self.looks = 0
        self.orders: list[StartRequest] = []

    async def poll(self, *_: object) -> RunnerView:
        """Answer once, then wait for the gate and fail."""
        self.looks += 1
        if self.looks > 1:
            await self.gate.wait()
            raise NoAnswer("late")
        return RunnerView(1000, 1, (), ())

    async def start(
        self, runner: RunnerInfo, request: StartRequest
    ) -> Started | NotStarted:
        """Keep the order, and answer nothing."""
        self.orders.append(request)
        await asyncio.Event().wait()
        raise NoAnswer("never")

    async def stop(self, runner: RunnerInfo, task: TaskId, run: int, fence: int) -> int:
        """Answer nothing."""
        raise NoAnswer("never")

    def disconnect(self, runner: RunnerInfo) -> None:
        """Take no note."""


# Guards against a run called over before its order is sent: its owner wakes from a
# freeze longer than a lease, places it, and then hears that an old look failed.
def test_a_run_placed_as_an_old_look_fails_is_not_over() -> None:
    async def main() -> None:
        timers, runner = TimerService(), HungRunner()
        link = Link(
            BoundsSection(),
            INFO,
            ShareId("a", 0),
            1,
            runner,
            timers,
            on_fenced=lambda link: None,
            on_capacity_change=lambda: None,
            checks_capacity=lambda upstream: True,
        )
        link.open()
        await asyncio.sleep(0.01)
        assert link.state is LinkState.HELD
        ends: list[tuple[int, RunOutcome]] = []
        first, second = (
            Run(TaskId("1" * 16, 0, i), 1, Resources(1000, 64), None) for i in range(2)
        )
        first.on_end = second.on_end = lambda run, over: ends.append(
            (run.task.index, over)
        )
        link.start(first, "")
        await asyncio.sleep(3.0)
        runner.gate.set()
        link.start(second, "")
        await asyncio.sleep(0.01)
        assert len(runner.orders) == 2
        assert (1, RunOutcome.LOST) not in ends
        link.close()

    run_virtual(main())
