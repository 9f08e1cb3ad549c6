"""Tests of the questions to other hosts until when they owned a share."""

import asyncio

import pytest

from monsoongap.coordination.coverage import Coverage
from monsoongap.coordination.ownership import CLAIM_HEARD_S
from monsoongap.protocol.messages import Claim, ShareId, UnownedCall
from monsoongap.timers import TimerService
from tests.coordination.test_host import run_virtual
from tests.coordination.test_takeover_doubts import until
from tests.host_world import World


async def owner_in_doubt(world: World) -> str:
    """Kill the owner of `a` whose successor lacks runners; return the successor."""
    owner = world.owner("a")
    for name, host in world.hosts.items():
        if name != owner:
            world.send_runner_list(host, "a-r0")
    world.kill(owner)
    await until(lambda: any(h.owns("a") for h in world.hosts.values()))
    return world.owner("a")


# Guards against a shortened wait while a host has not answered: it is down, cut off,
# paused, or of an earlier version, and may have owned the share until the claim.
@pytest.mark.parametrize("case", ["down", "cut", "paused", "earlier version"])
def test_a_host_that_does_not_answer_leaves_the_wait_as_it_was(case: str) -> None:
    async def main() -> None:
        world = World({"a": 3, "b": 2})
        await world.start()
        await asyncio.sleep(5)
        if case == "cut":
            world.cut_off("a", "b-h1")
        elif case == "paused":
            world.pause("b-h1")
        elif case == "earlier version":
            world.call_types_lost.add(UnownedCall)
        elif case == "down":
            world.power_off("b-h1")
        owner = await owner_in_doubt(world)
        host = world.hosts[owner]
        claimed_at = asyncio.get_running_loop().time()
        (share,) = host.ownership.claims
        assert not host.pool.is_reconciled(share)
        await until(lambda: host.pool.is_reconciled(share))
        assert asyncio.get_running_loop().time() - claimed_at > 1.2
        assert host.prior_owners.counts.asked > 0
        assert host.prior_owners.counts.confirmed == 0
        world.resume("b-h1")

    run_virtual(main())


# Guards against a wait from the claim when the earlier owner has started anew, and was
# asked: nobody can have granted a lease since.
def test_a_host_that_started_anew_after_its_ownership_shortens_the_wait() -> None:
    async def main() -> None:
        world = World({"a": 3, "b": 2})
        await world.start()
        await asyncio.sleep(5)
        former = world.owner("a")
        for name, host in world.hosts.items():
            if name != former:
                world.send_runner_list(host, "a-r0")
        world.kill(former)
        started_at = asyncio.get_running_loop().time()
        # It answers, and leaves the share to another host.
        world.start_host(former).leave()
        await until(lambda: any(h.owns("a") for h in world.hosts.values()))
        host = world.hosts[world.owner("a")]
        (share,) = host.ownership.claims
        await until(lambda: host.pool.is_reconciled(share))
        assert host.prior_owners.counts.confirmed == 1
        took_s = asyncio.get_running_loop().time() - started_at
        assert 1.0 < took_s < 1.2

    run_virtual(main())


# Guards against a host that answers and acquires the share itself right after, because
# the claimant's heartbeats are lost.
def test_a_host_that_answered_does_not_acquire_the_share_at_once() -> None:
    async def main() -> None:
        world = World({"a": 2})
        await world.start()
        await asyncio.sleep(3)
        owner = world.owner("a")
        other = next(name for name in world.hosts if name != owner)
        host = world.hosts[other]
        (claim,) = world.hosts[owner].ownership.claims.values()
        newer = Claim(claim.share, claim.share_count, claim.fence + 1024)
        reply = await host.calls.answer(UnownedCall(newer))
        assert reply.unowned_ms == pytest.approx(3000 + 1500, abs=10)
        answered_at = asyncio.get_running_loop().time()
        world.kill(owner)
        host.members.mark_down(owner)
        await until(lambda: host.owns("a"))
        assert asyncio.get_running_loop().time() - answered_at >= CLAIM_HEARD_S
        assert host.ownership.claims[claim.share].fence > newer.fence

    run_virtual(main())


# Guards against a wait for leases that counts the imports of the slowest host, up to a
# second, although its earlier process had ended before them.
def test_a_host_that_never_owned_a_share_names_the_start_of_its_process() -> None:
    class Timers(TimerService):
        def now(self) -> float:
            return 100.0

    coverage = Coverage(Timers(process_started_at=99.2), lease_s=1.0)
    claim = Claim(ShareId("a", 0), 1, 7)
    assert coverage.unowned_since(claim) == 99.2
