"""Tests of the timer service on virtual time."""

import asyncio

from monsoongap.timers import TimerService
from tests.clock import run_virtual


def test_subscriber_is_called_each_period_also_after_an_exception() -> None:
    async def main() -> list[float]:
        timers = TimerService()
        call_times: list[float] = []

        def tick() -> None:
            call_times.append(timers.now())
            if len(call_times) == 1:
                raise ValueError("first call fails")

        timers.every(2.0, tick, "tick")
        await asyncio.sleep(7.0)
        timers.close()
        return call_times

    assert run_virtual(main()) == [2.0, 4.0, 6.0]


def test_cancelled_subscription_is_removed() -> None:
    async def main() -> int:
        timers = TimerService()
        for _ in range(3):
            timers.every(1.0, lambda: None, "tick").cancel()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return timers.active_count()

    assert run_virtual(main()) == 0
