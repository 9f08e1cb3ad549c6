"""Tests that a job without callers ends in time over a cut though its owner changes.

A caller whose host ended sends its job again 1.3 s later, to a data centre that is out
of touch. All on virtual time.
"""

import asyncio

import msgspec
import pytest

from monsoongap.protocol.messages import FindCall
from tests.coordination.test_cut_data_centres import (
    begin_unheard,
    check_one_at_a_time,
    open_world,
)
from tests.coordination.test_host import run_virtual
from tests.coordination.test_lost_entry_hosts import JOB, RESEND_S, runs, submit
from tests.coordination.test_settling_races import other_host

# After this, a share without hosts is owned from another data centre.
OUTSIDE_S = 10.0


# Guards against a hand-over by which the time since the last caller was lost is counted
# anew, first by the former owner and then by the next one.
@pytest.mark.parametrize("left_after_s", [-0.1, 0.1, 0.5, 0.8, 0.944])
def test_a_hand_over_does_not_prolong_a_run_without_callers(
    left_after_s: float,
) -> None:
    async def main() -> None:
        world = await open_world(a=3)
        entry = await begin_unheard(world)
        owner = world.hosts[world.owner("a")]
        if left_after_s < 0:
            owner.leave()
            await asyncio.sleep(-left_after_s)
        world.kill(entry)
        if left_after_s >= 0:
            await asyncio.sleep(left_after_s)
            owner.leave()
        await asyncio.sleep(RESEND_S - max(left_after_s, 0.0))
        submit(world, world.owner("b"))
        await check_one_at_a_time(world)

    run_virtual(main())


# Guards against a run that outlives its owner, which died before it ended the job for
# lack of callers: until the lease lapses, or until the next owner has taken over.
@pytest.mark.parametrize("killed_after_s", [0.0, 0.3, 0.5, 0.8])
@pytest.mark.parametrize("hosts", [2, 3])
def test_the_death_of_the_owner_does_not_prolong_a_run_without_callers(
    hosts: int, killed_after_s: float
) -> None:
    async def main() -> None:
        world = await open_world(a=hosts)
        entry = await begin_unheard(world)
        owner = world.owner("a")
        world.kill(entry)
        await asyncio.sleep(killed_after_s)
        world.kill(owner)
        await asyncio.sleep(RESEND_S - killed_after_s)
        submit(world, world.owner("b"))
        await check_one_at_a_time(world)

    run_virtual(main())


# Guards against a stop that is not confirmed when the share is handed over: the next
# owner finds the run, and keeps it for a repetition of the job.
def test_a_hand_over_does_not_drop_the_stop_of_a_run_without_callers() -> None:
    async def main() -> None:
        world = await open_world(a=3)
        entry = await begin_unheard(world)
        (run,) = runs(world)
        owner = world.owner("a")
        world.kill(entry)
        await asyncio.sleep(0.9)
        world.cut_off(owner, run.runner)
        await asyncio.sleep(0.1)
        world.hosts[owner].leave()
        await asyncio.sleep(RESEND_S - 1.0)
        submit(world, world.owner("b"))
        await check_one_at_a_time(world)

    run_virtual(main())


# Guards against an owner that takes itself to be in touch with a data centre because
# its share is owned from outside, while the hosts there serve on behind the cut.
def test_a_share_owned_from_outside_does_not_count_as_in_touch() -> None:
    async def main() -> None:
        world = await open_world(c=2)
        inner = world.owner("b")
        world.cut_off("a", "b")
        world.cut_off("b", "c")
        await asyncio.sleep(OUTSIDE_S)
        outer = [n for n, host in world.hosts.items() if n != inner and host.owns("b")]
        assert outer
        entry = other_host(world, "a", world.owner("a"))
        submit(world, entry)
        await asyncio.sleep(1)
        world.kill(entry)
        await asyncio.sleep(RESEND_S)
        submit(world, inner)
        await check_one_at_a_time(world)

    run_virtual(main())


# Guards against the end of a job whose caller waits, for an owner that was replaced and
# is told that nothing is settled.
def test_a_replaced_owner_ends_no_job() -> None:
    async def main() -> None:
        world = await open_world()
        owner, asker = world.owner("a"), world.owner("b")
        submit(world, other_host(world, "a", owner))
        await asyncio.sleep(1)
        (claim,) = world.hosts[asker].ownership.claims.values()
        (share,) = world.hosts[owner].ownership.claims
        old = msgspec.structs.replace(claim, fence=claim.fence - 1)
        call = FindCall(JOB, share, old, home=asker)
        reply = await world.deliver_call(asker, owner, call)
        await asyncio.sleep(1)
        assert not reply.settled
        assert [run.how for run in runs(world)] == [""]

    run_virtual(main())
