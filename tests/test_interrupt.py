"""Tests of interruptible waits: who ended the wait is always told apart."""

import asyncio

import pytest

from monsoongap.util.interrupt import Interrupted, InterruptedBy, Interruptible
from tests.clock import run_virtual


def test_fire_ends_the_wait_and_the_task_goes_on() -> None:
    async def main() -> None:
        wait = Interruptible()
        asyncio.get_running_loop().call_later(1.0, wait.fire)
        with pytest.raises(Interrupted), wait:
            await asyncio.sleep(10)
        await asyncio.sleep(1)
        assert asyncio.get_running_loop().time() == 2.0
        wait.fire()
        await asyncio.sleep(1)

    run_virtual(main())


@pytest.mark.parametrize("stop_first", [True, False])
def test_a_cancelled_task_stays_cancelled(stop_first: bool) -> None:
    async def main() -> None:
        stop: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        async def waits() -> None:
            with InterruptedBy(stop):
                await asyncio.sleep(10)

        task = asyncio.create_task(waits())
        await asyncio.sleep(1)
        if stop_first:
            stop.set_result(None)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    run_virtual(main())


def test_nested_waits_end_at_their_own_level() -> None:
    async def main() -> str:
        stop: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        inner = Interruptible()
        asyncio.get_running_loop().call_later(1.0, inner.fire)
        asyncio.get_running_loop().call_later(1.0, stop.set_result, None)
        try:
            with InterruptedBy(stop):
                try:
                    with inner:
                        await asyncio.sleep(10)
                except Interrupted:
                    await asyncio.sleep(10)
                    return "inner only"
        except Interrupted:
            return "outer"
        return "none"

    assert run_virtual(main()) == "outer"


def test_a_future_that_is_done_ends_the_block_before_it_begins() -> None:
    async def main() -> None:
        stop: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        stop.set_result(None)
        with pytest.raises(Interrupted), InterruptedBy(stop):
            raise AssertionError("the block must not run")

    run_virtual(main())
