"""Tests of the timer service on virtual time."""

import asyncio

from monsoongap.timers import TimerService
from tests.clock import run_virtual


def test_subscriber_runs_each_period_and_survives_an_error() -> None:
    async def main() -> list[float]:
        timers = TimerService()
        seen: list[float] = []

        def tick() -> None:
            seen.append(timers.now())
            if len(seen) == 1:
                raise ValueError("first call fails")

        timers.every(2.0, tick, "tick")
        await asyncio.sleep(7.0)
        timers.close()
        return seen

    assert run_virtual(main()) == [2.0, 4.0, 6.0]


def test_a_cancelled_subscription_is_forgotten() -> None:
    async def main() -> int:
        timers = TimerService()
        for _ in range(3):
            timers.every(1.0, lambda: None, "tick").cancel()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return timers.active()

    assert run_virtual(main()) == 0
