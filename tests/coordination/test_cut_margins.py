"""Tests of what keeps two sides of a cut apart where one failure more is added.

A caller whose host ended sends its job again 1.3 s later, to a data centre that is out
of touch. All on virtual time.
"""

import asyncio

import pytest

from tests.coordination.test_cut_data_centres import check_one_at_a_time, open_world
from tests.coordination.test_host import run_virtual
from tests.coordination.test_lost_entry_hosts import RESEND_S, submit
from tests.coordination.test_settling_races import other_host


# Guards against leases that are granted in full between the beginning of a cut and the
# time at which it is noticed: the owner dies before it stops the run.
@pytest.mark.parametrize("killed_after_s", [0.6, 0.8])
def test_a_lease_granted_before_a_cut_is_noticed_does_not_prolong_a_run(
    killed_after_s: float,
) -> None:
    async def main() -> None:
        world = await open_world(a=3)
        owner = world.owner("a")
        entry = other_host(world, "a", owner)
        world.cut_off("a", "b")
        await asyncio.sleep(0.1)
        submit(world, entry)
        await asyncio.sleep(0.1)
        world.kill(entry)
        await asyncio.sleep(killed_after_s - 0.2)
        world.kill(owner)
        await asyncio.sleep(RESEND_S + 0.2 - killed_after_s)
        submit(world, world.owner("b"))
        await check_one_at_a_time(world)

    run_virtual(main())


# Guards against a new owner that counts itself as in touch with one that has never
# received its heartbeats, and so cannot name it as one that it no longer hears.
def test_a_new_owner_that_was_never_heard_is_out_of_touch() -> None:
    async def main() -> None:
        world = await open_world(a=3)
        owner_b = world.owner("b")
        for sender in world.hosts:
            if sender.startswith("a"):
                lost = ((sender, x) for x in world.hosts if x.startswith("b"))
                world.heartbeats_lost.update(lost)
        await asyncio.sleep(0.3)
        world.kill(world.owner("a"))
        await asyncio.sleep(6)
        entry = other_host(world, "a", world.owner("a"))
        submit(world, entry)
        await asyncio.sleep(1)
        world.kill(entry)
        await asyncio.sleep(RESEND_S)
        submit(world, owner_b)
        await check_one_at_a_time(world)

    run_virtual(main())
