"""The load of membership alone: 96 hosts in 6 data centres, few of them strong.

Guards against costs that grow with the square of the hosts, and against takeovers that
depend on heartbeats between hosts that own nothing.
"""

import asyncio
from collections.abc import Iterator

import pytest

from monsoongap.coordination.host import Host
from monsoongap.protocol.messages import PrepareCall
from tests.clock import run_virtual
from tests.host_world import World

DCS = {f"z{i}": 16 for i in range(6)}
# The targets of the large deployment, for all hosts and for each.
MAX_HEARTBEATS_PER_S = 3000
MAX_BYTES_PER_S = 21_000
MEASURED_S = 5.0
DATAGRAM_HEADER_BYTES = 28


def large_world() -> World:
    return World(DCS, runners_per_dc=45, cores=0.516, strong_per_dc=3)


def owners(world: World, dc: str = "") -> Iterator[tuple[str, Host]]:
    for name, host in world.hosts.items():
        if any(share.dc == dc or not dc for share in host.ownership.claims):
            yield name, host


def owned_shares(world: World, dc: str) -> list[int]:
    return sorted(
        share.index for _, host in owners(world, dc) for share in host.ownership.claims
    )


def test_idle_hosts_send_few_heartbeats() -> None:
    async def main() -> None:
        world = large_world()
        await world.start()
        await asyncio.sleep(2.0)
        before = {n: _traffic(h) for n, h in world.hosts.items()}
        await asyncio.sleep(MEASURED_S)
        rates = {
            name: tuple(
                (now - then) / MEASURED_S
                for now, then in zip(_traffic(host), before[name], strict=True)
            )
            for name, host in world.hosts.items()
        }
        assert sum(sent for sent, _ in rates.values()) <= MAX_HEARTBEATS_PER_S
        assert max(size for _, size in rates.values()) <= MAX_BYTES_PER_S
        assert len(list(owners(world))) == len(DCS)

    run_virtual(main())


def _traffic(host: Host) -> tuple[int, int]:
    counts = host.members.counts
    return counts.sent, counts.bytes_sent + DATAGRAM_HEADER_BYTES * counts.sent


def test_the_strongest_hosts_own_the_shares() -> None:
    async def main() -> None:
        world = large_world()
        await world.start()
        assert {name[-1] for name, _ in owners(world)} <= {"0", "1", "2"}
        assert all(owned_shares(world, dc) == [0] for dc in DCS)

    run_virtual(main())


def test_a_killed_owner_is_replaced_within_a_second() -> None:
    async def main() -> None:
        world = large_world()
        await world.start()
        await asyncio.sleep(3.0)
        former = world.owner("z0")
        world.kill(former)
        await asyncio.sleep(1.0)
        assert [name for name, _ in owners(world, "z0")] != []

    run_virtual(main())


def test_the_next_owner_may_be_lost_with_the_owner() -> None:
    async def main() -> None:
        world = large_world()
        await world.start()
        await asyncio.sleep(3.0)
        for i in range(3):
            world.kill(f"z0-h{i}")
        await asyncio.sleep(2.5)
        shares = owned_shares(world, "z0")
        # Weaker hosts divide the runners into more shares, each owned once.
        assert len(shares) > 1 and shares == list(range(len(shares)))
        assert owned_shares(world, "z1") == [0]

    run_virtual(main())


def test_weaker_hosts_share_the_runners_of_strong_ones_that_leave() -> None:
    async def main() -> None:
        world = large_world()
        await world.start()
        await asyncio.sleep(3.0)
        for i in range(3):
            world.hosts[f"z0-h{i}"].leave()
        await asyncio.sleep(1.0)
        shares = owned_shares(world, "z0")
        assert len(shares) > 1 and shares == list(range(len(shares)))
        assert {name for name, _ in owners(world, "z0")}.isdisjoint(
            {"z0-h0", "z0-h1", "z0-h2"}
        )

    run_virtual(main())


# One strong host that is left carries the share, but has no spare: the share was
# divided, and all jobs waited until every lease had lapsed.
@pytest.mark.parametrize("leaves", [True, False])
def test_the_number_of_shares_is_kept_while_the_hosts_that_stay_carry_them(
    leaves: bool,
) -> None:
    async def main() -> None:
        world = World({"a": 8}, runners_per_dc=20, cores=0.387, strong_per_dc=2)
        await world.start()
        await asyncio.sleep(5)
        name = world.owner("a")
        # Without a handover, the hosts choose among themselves.
        world.call_types_unknown.add(PrepareCall)
        if leaves:
            world.hosts[name].leave()
        else:
            world.kill(name)
        other = "a-h1" if name == "a-h0" else "a-h0"
        await asyncio.sleep(2.0)
        assert [name for name, _ in owners(world)] == [other]
        claims = world.hosts[other].ownership.claims.values()
        assert [claim.share_count for claim in claims] == [1]

    run_virtual(main())


def test_an_owner_that_other_hosts_hear_is_not_replaced() -> None:
    async def main() -> None:
        world = large_world()
        await world.start()
        await asyncio.sleep(3.0)
        owner = world.owner("z0")
        for deaf in (f"z0-h{i}" for i in range(6)):
            world.heartbeats_lost.add((owner, deaf))
        await asyncio.sleep(4.0)
        assert [name for name, _ in owners(world, "z0")] == [owner]
        assert world.hosts[owner].ownership.counts.acquired == 1

    run_virtual(main())


def test_hosts_that_own_nothing_hear_of_a_new_host_through_the_owner() -> None:
    async def main() -> None:
        world = large_world()
        await world.start()
        await asyncio.sleep(3.0)
        world.kill("z0-h9")
        await asyncio.sleep(3.0)
        watcher = world.hosts["z0-h8"]
        assert not watcher.members.is_live("z0-h9")
        world.start_host("z0-h9")
        await asyncio.sleep(3.0)
        assert watcher.members.is_live("z0-h9")

    run_virtual(main())
