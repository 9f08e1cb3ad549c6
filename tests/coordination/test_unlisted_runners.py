"""Tests of owners whose list lacks runners on which an earlier owner's tasks run.

The entries of living runners lapse in the store when their data centre is cut off from
it, and a host that owns nothing reads the list seldom.
"""

import asyncio

import pytest

from monsoongap.protocol.messages import JobReply
from tests.coordination.test_host import open_world, run_virtual
from tests.host_world import World

JOB = "5" * 16
# Longer than a lease, so that a run is there still when an owner thinks it over.
LONG_MS = 1200
BOTH = ("ibk-r0", "ibk-r1")
# A caller that lost its host sends the job again after this.
RESEND_S = 1.3


def others(world: World, owner: str) -> list[str]:
    """Return the other hosts of an owner's data centre."""
    dc = owner.partition("-")[0]
    return [n for n in world.hosts if n.startswith(dc) and n != owner]


def leave_out(world: World, runners: tuple[str, ...], owner: str = "") -> None:
    """Give every host but the owner a list that lacks runners."""
    for name, host in world.hosts.items():
        if name != owner:
            world.send_runner_list(host, *runners)


async def submit_beside(
    world: World, owner: str, work_ms: float = LONG_MS
) -> asyncio.Task[JobReply]:
    """Have another host forward a job that fills both runners; wait till it runs."""
    job = world.submit(others(world, owner)[-1], JOB, 8, work_ms=work_ms)
    call = asyncio.create_task(job)
    await asyncio.sleep(0.1)
    assert len(world.ledger) == 8
    return call


async def check_later(world: World, call: asyncio.Task[JobReply]) -> None:
    await call
    await asyncio.sleep(2)
    world.check()


@pytest.mark.parametrize("left_out", [BOTH[1:], BOTH], ids=["one", "all"])
@pytest.mark.parametrize("end", ["killed", "leaving"])
def test_the_next_owner_never_heard_of_a_runner(
    end: str, left_out: tuple[str, ...]
) -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        owner = world.owner("ibk")
        leave_out(world, left_out, owner)
        call = await submit_beside(world, owner)
        if end == "killed":
            world.kill(owner)
        else:
            world.hosts[owner].leave()
        await check_later(world, call)

    run_virtual(main())


@pytest.mark.parametrize("end", ["killed", "leaving"])
def test_lapsed_entries_come_back_one_by_one_as_the_owner_is_replaced(end: str) -> None:
    async def main(first_s: float, second_s: float) -> None:
        world = await open_world()
        await asyncio.sleep(5)
        owner = world.owner("ibk")
        leave_out(world, BOTH)
        call = await submit_beside(world, owner)
        if end == "killed":
            world.kill(owner)
        else:
            world.hosts[owner].leave()
        await asyncio.sleep(first_s)
        leave_out(world, BOTH[1:])
        await asyncio.sleep(second_s)
        leave_out(world, ())
        await check_later(world, call)

    for first_s in (0.1, 0.3, 0.5, 0.7):
        for second_s in (0.05, 0.3, 0.6):
            run_virtual(main(first_s, second_s))


def test_a_second_leaving_owner_tells_what_the_first_one_told() -> None:
    async def main(gap_s: float) -> None:
        world = World({"ibk": 3, "kuf": 2, "lnz": 2})
        await world.start()
        await asyncio.sleep(5)
        owner = world.owner("ibk")
        leave_out(world, BOTH[1:], owner)
        call = await submit_beside(world, owner)
        world.hosts[owner].leave()
        await asyncio.sleep(gap_s)
        second = next(n for n in others(world, owner) if world.hosts[n].owns("ibk"))
        world.hosts[second].leave()
        await check_later(world, call)

    for gap_s in (0.2, 0.5, 0.8):
        run_virtual(main(gap_s))


@pytest.mark.parametrize("end", ["killed", "leaving"])
def test_the_next_lender_never_heard_of_a_runner(end: str) -> None:
    async def main(wait_s: float) -> None:
        world = World({"ibk": 2, "lnz": 2})
        await world.start()
        await asyncio.sleep(5)
        borrower, lender = world.owner("ibk"), world.owner("lnz")
        host = others(world, borrower)[0]
        job = world.submit(host, JOB, 16, work_ms=LONG_MS)
        call = asyncio.create_task(job)
        await asyncio.sleep(0.1)
        assert {e.runner for e in world.ledger} == set(world.models)
        leave_out(world, ("lnz-r1",), lender)
        await asyncio.sleep(wait_s)
        if end == "killed":
            world.kill(lender)
        else:
            world.hosts[lender].leave()
        await check_later(world, call)

    for wait_s in (0.05, 0.3, 0.9):
        run_virtual(main(wait_s))


def test_a_leaving_owner_that_does_not_hear_the_next_one() -> None:
    async def main(cut_s: float) -> None:
        world = await open_world()
        await asyncio.sleep(5)
        owner = world.owner("ibk")
        leave_out(world, BOTH[1:], owner)
        call = await submit_beside(world, owner, work_ms=2500)
        world.hosts[owner].leave()
        await asyncio.sleep(0.005)
        world.cut_off(owner, others(world, owner)[0])
        await asyncio.sleep(cut_s)
        world.cut.clear()
        await check_later(world, call)

    for cut_s in (0.1, 0.5, 1.0, 2.0):
        run_virtual(main(cut_s))


@pytest.mark.parametrize("end", ["killed", "leaving"])
def test_a_job_sent_again_where_its_data_centre_is_not_listed(end: str) -> None:
    async def main(wait_s: float) -> None:
        world = World({"ibk": 3, "kuf": 2, "lnz": 2})
        await world.start()
        await asyncio.sleep(5)
        owner = world.owner("ibk")
        call = await submit_beside(world, owner, work_ms=2500)
        world.kill(others(world, owner)[-1])
        await asyncio.sleep(RESEND_S - wait_s)
        for name, host in world.hosts.items():
            if not name.startswith("ibk"):
                world.send_runner_list(host, *BOTH)
        if end == "killed":
            world.kill(owner)
        else:
            world.hosts[owner].leave()
        await asyncio.sleep(wait_s)
        again = asyncio.create_task(world.submit("lnz-h0", JOB, 8, work_ms=2500))
        await asyncio.gather(call, again)
        await asyncio.sleep(2)
        world.check()

    for wait_s in (0.02, 0.05, 0.1, 0.2, 0.4, 0.6):
        run_virtual(main(wait_s))
