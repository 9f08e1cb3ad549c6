"""Tests of leaving on virtual time."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from monsoongap.coordination.leaving import (
    END_LIMIT_S,
    MIN_UNREADY_S,
    LeaveEnd,
    LeaveHooks,
    LeaveResult,
    Leaving,
)
from monsoongap.coordination.parts import DrainState
from monsoongap.settings import LimitsSection
from monsoongap.timers import TimerService
from tests.clock import run_virtual

DRAIN_S = 10.0


class Host:
    """Jobs in flight that end at given times, and what leaving asked for."""

    def __init__(self, ends_at: list[float]) -> None:
        self.ends_at = ends_at
        self.drain = DrainState()
        self.asked: list[tuple[str, float, bool]] = []
        self.credits: Callable[[], Awaitable[None]] = self._return
        self.stubborn = 0
        self.timers = TimerService()
        self.listening = True
        hooks = LeaveHooks(
            lambda: self.credits(), self._stop_listening, self.in_flight, self._end
        )
        cfg = LimitsSection(drain_s=DRAIN_S)
        self.leaving = Leaving(cfg, self.drain, hooks, self.timers)

    def in_flight(self) -> int:
        """Count the jobs that have not ended."""
        return sum(end > self.timers.now() for end in self.ends_at)

    def _stop_listening(self) -> None:
        self.listening = False

    async def send_until_refused(self) -> None:
        """Add a job each 10 ms for as long as the host listens."""
        while self.listening:
            self.ends_at.append(self.timers.now() + 0.1)
            await asyncio.sleep(0.01)

    def _note(self, what: str) -> None:
        self.asked.append((what, self.timers.now(), self.drain.draining))

    async def _return(self) -> None:
        self._note("credits")

    async def _end(self) -> None:
        self._note("end")
        # Jobs tell their outcome a moment later, but for the stubborn ones.
        told_at = self.timers.now() + 1.0
        ends = sorted(self.ends_at, reverse=True)
        rest = [min(end, told_at) for end in ends[self.stubborn :]]
        self.ends_at = ends[: self.stubborn] + rest


async def _fails() -> None:
    raise RuntimeError("peer is gone")


async def _hangs() -> None:
    await asyncio.sleep(1000)


@pytest.mark.parametrize(
    ("ends_at", "hurry_at", "stubborn", "expected", "took_s", "ended_at"),
    [
        ([], None, 0, LeaveResult(LeaveEnd.FINISHED, 0, 0), MIN_UNREADY_S, None),
        ([1.0] * 200, None, 0, LeaveResult(LeaveEnd.FINISHED, 200, 0), 2.0, None),
        ([1, 8.0], None, 0, LeaveResult(LeaveEnd.FINISHED, 2, 0), 8.0, None),
        ([1, 50.0], None, 0, LeaveResult(LeaveEnd.LIMIT, 2, 0), 11.0, DRAIN_S),
        ([50.0] * 3, 4.0, 0, LeaveResult(LeaveEnd.SECOND_SIGNAL, 3, 0), 5.0, 4.0),
        ([50.0] * 3, 4.0, 2, LeaveResult(LeaveEnd.SECOND_SIGNAL, 3, 2), 9.0, 4.0),
    ],
)
def test_leaving_waits_for_what_is_in_flight_within_its_bounds(
    ends_at: list[float],
    hurry_at: float | None,
    stubborn: int,
    expected: LeaveResult,
    took_s: float,
    ended_at: float | None,
) -> None:
    async def main() -> None:
        host = Host(ends_at)
        host.stubborn = stubborn
        if hurry_at is not None:
            asyncio.get_running_loop().call_later(hurry_at, host.leaving.hurry)
        assert await host.leaving.leave() == expected
        assert host.timers.now() == pytest.approx(took_s, abs=0.1)
        # Draining comes first, so that nothing is admitted while credits go.
        assert host.asked[0] == ("credits", 0.0, True)
        ends = [at for what, at, _ in host.asked if what == "end"]
        assert ends == ([] if ended_at is None else [pytest.approx(ended_at, abs=0.1)])

    run_virtual(main())


@pytest.mark.parametrize("credits_hook", [_fails, _hangs])
def test_a_step_that_fails_or_hangs_does_not_stop_the_leaving(
    credits_hook: Callable[[], Awaitable[None]],
) -> None:
    async def main() -> None:
        host = Host([4.0])
        host.credits = credits_hook
        result = await host.leaving.leave()
        assert result == LeaveResult(LeaveEnd.FINISHED, 1, 0)
        assert host.timers.now() < 4.0 + END_LIMIT_S / 10

    run_virtual(main())


def test_callers_that_are_sent_all_the_same_do_not_keep_the_host() -> None:
    async def main() -> None:
        host = Host([])
        callers = asyncio.create_task(host.send_until_refused())
        await asyncio.sleep(0.5)
        began_at = host.timers.now()
        result = await host.leaving.leave()
        assert result.end is LeaveEnd.FINISHED
        assert host.timers.now() - began_at <= MIN_UNREADY_S + 0.2
        await callers

    run_virtual(main())
