"""Calls made in the last moments of a silent outage of the store.

Such a call gets no answer, although the store answers those made right after it. Guards
against hosts that wait for it while the next change has to take effect.
"""

import asyncio
from dataclasses import replace

import msgspec
import pytest

from monsoongap.platform.feeds import RUNNERS_TOPIC
from monsoongap.settings import BoundsSection
from tests.coordination.test_host import run_virtual
from tests.host_world import UPSTREAM, World
from tests.store_world import ModelStore, open_feeds

BOUNDS = BoundsSection()
# The time after a disturbance from which limits have to be kept.
CONTACT_S = 3.0
# Ends of the outage at different moments of the hosts' reads.
OUTAGES_S = [2.6, 2.9, 3.1, 3.3, 3.45]


def address_of(id_: str) -> str:
    dc, _, number = id_.partition("-r")
    return f"10.{ord(dc[0])}.9.{number}:80"


def put_runner(store: ModelStore, world: World, id_: str, state: str) -> None:
    """Write a runner's entry; start the runner if it is new."""
    dc, address = id_.partition("-")[0], address_of(id_)
    if address not in world.models:
        world.join_runner(dc, id_, address)
    info = world.models[address].info
    room = info.room
    entry = {
        "service": UPSTREAM,
        "address": address,
        "zone": dc,
        "state": state,
        "capacity": {"cpu": room.cpu_milli, "memMb": room.mem_mb},
        "labels": ["a"],
        "born": info.born_ms,
    }
    store.server.topic(RUNNERS_TOPIC).append(id_, msgspec.json.encode(entry))


async def darkened_site(
    outage_s: float, dcs: tuple[str, ...] = ("ibk", "kuf", "lnz")
) -> tuple[World, ModelStore]:
    """Return a site whose store has just begun to answer again."""
    world = World({dc: 3 if dc == "ibk" else 2 for dc in dcs}, runners_per_dc=0)
    await world.start()
    store = ModelStore()
    for dc in world.dcs:
        for i in range(2):
            put_runner(store, world, f"{dc}-r{i}", "ready")
    store.put_config(replace(world.config, version=5))
    open_feeds(world, store, BOUNDS)
    await asyncio.sleep(2.0)
    store.silent = True
    await asyncio.sleep(outage_s)
    store.silent = False
    return world, store


@pytest.mark.parametrize("outage_s", OUTAGES_S)
def test_a_configuration_written_as_the_outage_ends_is_in_force_in_time(
    outage_s: float,
) -> None:
    async def main() -> None:
        world, store = await darkened_site(outage_s)
        store.put_config(replace(world.config, version=9))
        await asyncio.sleep(BOUNDS.config_s)
        assert {host.directory.version for host in world.hosts.values()} == {9}

    run_virtual(main())


@pytest.mark.parametrize("outage_s", OUTAGES_S)
def test_runners_replaced_after_the_outage_are_known_to_owners_in_time(
    outage_s: float,
) -> None:
    async def main() -> None:
        world, store = await darkened_site(outage_s)
        await asyncio.sleep(CONTACT_S)
        for dc in ("ibk", "kuf"):
            put_runner(store, world, f"{dc}-r0", "draining")
            put_runner(store, world, f"{dc}-r9", "ready")
        await asyncio.sleep(BOUNDS.drain_s)
        for dc in ("ibk", "kuf"):
            links = world.hosts[world.owner(dc)].pool.links
            assert links[f"{dc}-r0"].info.draining
            assert f"{dc}-r9" in links

    run_virtual(main())


@pytest.mark.parametrize("outage_s", OUTAGES_S)
def test_a_host_that_becomes_owner_as_the_outage_ends_learns_of_new_runners(
    outage_s: float,
) -> None:
    async def main() -> None:
        world, store = await darkened_site(outage_s)
        put_runner(store, world, "ibk-r9", "ready")
        world.kill(world.owner("ibk"))
        await asyncio.sleep(CONTACT_S)
        assert "ibk-r9" in world.hosts[world.owner("ibk")].pool.links

    run_virtual(main())
