"""Tests of hosts that were paused and wake; all on virtual time.

While a host is paused, its callers send their jobs to other hosts. What waits in its
sockets when it wakes may be an older copy of a job that runs elsewhere.
"""

import asyncio

import pytest

from monsoongap.errors import AnswerKind
from monsoongap.timers import Pause
from tests.coordination.test_host import open_world, run_virtual
from tests.host_world import World

JOB = "ab" * 8
CALLER_WAIT_S = 1.5
RESEND_S = 1.3


def pause_dc(world: World, dc: str) -> list[str]:
    """Pause every host of a data centre, and return their names."""
    names = [name for name in world.hosts if name.startswith(dc)]
    for name in names:
        world.pause(name)
    return names


# An owner that wakes starts the copy of a job that it reads from its socket, while the
# repeated one runs in another data centre. The end of the first caller's connection has
# not arrived yet.
@pytest.mark.parametrize("at_owner", [True, False])
@pytest.mark.parametrize("paused_s", [3.0, 4.0, 6.0])
def test_a_copy_read_after_a_pause_is_not_started_beside_the_repeated_one(
    at_owner: bool, paused_s: float
) -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(6)
        owner = world.owner("ibk")
        first = next(
            n for n in world.hosts if n[:3] == "ibk" and (n == owner) is at_owner
        )
        paused = pause_dc(world, "ibk")
        calls = [asyncio.create_task(world.submit(first, JOB, 2, work_ms=3000))]
        await asyncio.sleep(CALLER_WAIT_S + RESEND_S)
        calls.append(asyncio.create_task(world.submit("kuf-h0", JOB, 2, work_ms=3000)))
        await asyncio.sleep(paused_s - CALLER_WAIT_S - RESEND_S)
        for name in paused:
            world.resume(name)
        await asyncio.wait(calls, timeout=30)
        assert calls[1].result().kind is AnswerKind.COMPLETED
        await asyncio.sleep(3)
        world.check()

    run_virtual(main())


# A caller gave up while its job waited for room at an owner that was paused.
def test_a_job_whose_caller_gave_up_during_a_pause_is_not_placed_after_it() -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(6)
        owner = world.owner("ibk")
        busy = [
            asyncio.create_task(world.submit(owner, f"{i:016x}", 24, work_ms=900))
            for i in range(3)
        ]
        await asyncio.sleep(0.1)
        call = asyncio.create_task(world.submit(owner, JOB, 2))
        await asyncio.sleep(0.02)
        assert not any(entry.task.job == JOB for entry in world.ledger)
        paused = pause_dc(world, "ibk")
        await asyncio.sleep(4)
        for name in paused:
            world.resume(name)
        await asyncio.wait([call, *busy], timeout=30)
        await asyncio.sleep(1)
        assert not any(entry.task.job == JOB for entry in world.ledger)
        assert (await call).kind in (AnswerKind.BROKEN, AnswerKind.REFUSED)
        world.check()

    run_virtual(main())


# A job that comes to a sound deployment must not pay for the check.
def test_a_job_without_a_pause_asks_no_other_owner() -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(6)
        before = world.calls_delivered.copy()
        reply = await world.submit(world.owner("ibk"), JOB, 2)
        assert reply.kind is AnswerKind.COMPLETED
        assert world.calls_delivered == before

    run_virtual(main())


def test_a_pause_is_told_once_and_before_anything_else_acts() -> None:
    async def main() -> None:
        world = await open_world()
        owner = world.owner("ibk")
        timers, pauses = world.hosts[owner].timers, list[Pause]()
        timers.watch_pauses(pauses.append)
        world.pause(owner)
        await asyncio.sleep(2)
        world.resume(owner)
        resumed_at = timers.now()
        await timers.read_first()
        assert timers.now() > resumed_at
        await asyncio.sleep(1)
        assert [round(pause.length_s) for pause in pauses] == [2]
        assert timers.read_first_s == 0

    run_virtual(main())
