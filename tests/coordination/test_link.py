"""Tests of the link to one runner."""

import asyncio

from monsoongap.coordination.link import Link, LinkState
from monsoongap.coordination.ports import NoAnswer, RunnerPort
from monsoongap.coordination.work import Run, RunOutcome
from monsoongap.protocol.messages import (
    NotStarted,
    Resources,
    RunnerInfo,
    RunnerView,
    RunRow,
    ShareId,
    Started,
    StartRequest,
    TaskId,
)
from monsoongap.settings import BoundsSection
from monsoongap.timers import TimerService
from tests.coordination.test_host import run_virtual

INFO = RunnerInfo("r0", "u", "r0", "a", False, Resources(4000, 4096), (), 1)


class UnresponsiveRunner:
    """Replies to the first poll; fails the second one when `gate` is set."""

    def __init__(self) -> None:
        self.gate = asyncio.Event()
        self.polls = 0
        self.requests: list[StartRequest] = []

    async def poll(self, *_: object) -> RunnerView:
        """Reply once, then wait for the gate and fail."""
        self.polls += 1
        if self.polls > 1:
            await self.gate.wait()
            raise NoAnswer("late")
        return RunnerView(1000, 1, (), ())

    async def start(
        self, runner: RunnerInfo, request: StartRequest
    ) -> Started | NotStarted:
        """Record the request and never reply."""
        self.requests.append(request)
        await asyncio.Event().wait()
        raise NoAnswer("never")

    async def stop(self, runner: RunnerInfo, task: TaskId, run: int, fence: int) -> int:
        """Fail without a reply."""
        raise NoAnswer("never")

    def disconnect(self, runner: RunnerInfo) -> None:
        """Do nothing."""


def open_link(runner: RunnerPort) -> Link:
    link = Link(
        BoundsSection(),
        INFO,
        ShareId("a", 0),
        1,
        runner,
        TimerService(),
        on_fenced=lambda link: None,
        on_capacity_change=lambda: None,
        checks_capacity=lambda upstream: True,
    )
    link.open()
    return link


# Guards against ending a run before its start request is sent: the owner resumes after
# a pause longer than a lease, places the run, and then an earlier poll fails.
def test_a_run_placed_while_an_earlier_poll_fails_is_not_lost() -> None:
    async def main() -> None:
        runner = UnresponsiveRunner()
        link = open_link(runner)
        await asyncio.sleep(0.01)
        assert link.state is LinkState.HELD
        ends: list[tuple[int, RunOutcome]] = []
        first, second = (
            Run(TaskId("1" * 16, 0, i), 1, Resources(1000, 64), None) for i in range(2)
        )
        first.on_end = second.on_end = lambda run, outcome: ends.append(
            (run.task.index, outcome)
        )
        link.start(first, "")
        await asyncio.sleep(3.0)
        runner.gate.set()
        link.start(second, "")
        await asyncio.sleep(0.01)
        assert len(runner.requests) == 2
        assert (1, RunOutcome.LOST) not in ends
        link.close()

    run_virtual(main())


class OddRunner(UnresponsiveRunner):
    """Raises an unexpected error for the first poll, then replies."""

    async def poll(self, *_: object) -> RunnerView:
        """Raise once, then reply."""
        self.polls += 1
        if self.polls == 1:
            raise OverflowError("odd")
        return RunnerView(1000, 1, (), ())


# Issue 22: a runner was never polled again after a reply that raised an error of a type
# that nothing expects.
def test_a_runner_is_polled_again_after_an_unexpected_error() -> None:
    async def main() -> None:
        link = open_link(OddRunner())
        await asyncio.sleep(1.0)
        assert link.state is LinkState.HELD
        link.close()

    run_virtual(main())


class SilentRunner(UnresponsiveRunner):
    """Replies to nothing."""

    async def poll(self, *_: object) -> RunnerView:
        """Fail without a reply."""
        raise NoAnswer("never")


# Issue 22: an entry with a large capacity, at whose address nobody answers, counted as
# capacity for as long as it stood: jobs were accepted that could not be served.
def test_a_runner_that_never_answered_is_no_capacity() -> None:
    async def main() -> None:
        link = open_link(SilentRunner())
        await asyncio.sleep(0.1)
        assert link.serves
        await asyncio.sleep(3.0)
        assert not link.serves
        link.close()

    run_virtual(main())


class MuteRunner(UnresponsiveRunner):
    """Begins each run that is requested, and loses the reply."""

    async def poll(self, *_: object) -> RunnerView:
        """List all runs, after a while."""
        self.polls += 1
        await asyncio.sleep(0.02)
        rows = (RunRow(request.task, request.run, 0) for request in self.requests)
        return RunnerView(1000 + self.polls, 1, tuple(rows), ())

    async def start(
        self, runner: RunnerInfo, request: StartRequest
    ) -> Started | NotStarted:
        """Begin the run and fail without a reply."""
        self.requests.append(request)
        await asyncio.sleep(0.3)
        raise NoAnswer("lost")


# Guards against a run whose lease is not renewed and whose end is never read: a probe
# found it before the reply to its start was given up, and nothing woke the polls.
def test_a_run_that_a_probe_found_is_polled() -> None:
    async def main() -> None:
        runner = MuteRunner()
        link = open_link(runner)
        await asyncio.sleep(1.0)
        link.lost_replies.record(link.timers.now())
        link.start(Run(TaskId("1" * 16, 0, 0), 1, Resources(1000, 64), None), "")
        await asyncio.sleep(0.4)
        polls = runner.polls
        await asyncio.sleep(1.0)
        assert runner.polls > polls
        link.close()

    run_virtual(main())
