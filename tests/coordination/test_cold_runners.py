"""Runners that have just started and are slower for a while, as after an evacuation."""

import asyncio
from dataclasses import replace

import msgspec
import pytest

from monsoongap.errors import AnswerKind
from monsoongap.platform import wire
from tests.coordination.test_host import run_virtual
from tests.host_world import World

COLD_MS = 6000.0


async def open_world(cold: set[str], dcs: dict[str, int]) -> World:
    """Return a world, some of whose runners are cold for another `COLD_MS`."""
    world = World(dcs)
    await world.start()
    await asyncio.sleep(5)
    for id_ in cold:
        model = world.models[id_]
        model.info = replace(model.info, cold_left_ms=COLD_MS)
        model.faults.slow = 1.5
    world.send_runner_lists()
    # A list that is read again, unchanged, does not make a runner cold for longer.
    await asyncio.sleep(1)
    world.send_runner_lists()
    await asyncio.sleep(1)
    return world


def runners_used(world: World) -> set[str]:
    return {entry.runner for entry in world.ledger}


def test_the_time_for_which_a_runner_is_cold_is_read_from_its_entry() -> None:
    entry = {"service": "s", "address": "10.0.0.1:1", "zone": "a", "state": "ready"}
    entry |= {"capacity": {"cpu": 1, "memMb": 1}}  # type: ignore[dict-item]
    infos = [
        wire.decode_runner("r", msgspec.json.encode(entry | more))
        for more in ({}, {"coldLeftMs": 1500})
    ]
    assert [info.cold_left_ms for info in infos] == [0.0, 1500.0]


# Returning capacity took a surge of tasks as long as it was cold, while warm was free.
@pytest.mark.parametrize("cold", [{"a-r0"}, {"a-r1"}])
def test_a_cold_runner_is_used_when_no_warm_one_has_free_capacity(
    cold: set[str],
) -> None:
    async def main() -> None:
        world = await open_world(cold, {"a": 2})
        reply = await world.submit("a-h0", "a" * 16, 4, 100.0)
        assert reply.kind is AnswerKind.COMPLETED
        assert not runners_used(world) & cold
        reply = await world.submit("a-h0", "b" * 16, 8, 100.0)
        assert reply.kind is AnswerKind.COMPLETED
        assert runners_used(world) >= cold
        world.check()

    run_virtual(main())


def test_warm_runners_of_other_owners_are_used_before_own_cold_ones() -> None:
    async def main() -> None:
        cold = {"a-r0", "a-r1", "b-r0"}
        world = await open_world(cold, {"a": 2, "b": 2})
        reply = await world.submit("a-h0", "a" * 16, 4, 100.0)
        assert reply.kind is AnswerKind.COMPLETED
        assert runners_used(world) == {"b-r1"}
        reply = await world.submit("a-h0", "b" * 16, 16, 100.0)
        assert reply.kind is AnswerKind.COMPLETED
        assert runners_used(world) >= cold
        await asyncio.sleep(COLD_MS / 1000)
        world.ledger.clear()
        await world.submit("a-h0", "c" * 16, 4, 100.0)
        assert all(runner.startswith("a") for runner in runners_used(world))
        world.check()

    run_virtual(main())


# Guards against runners that count as slow for the time after they were cold.
def test_a_cold_runner_is_not_judged_by_the_time_that_a_warm_one_takes() -> None:
    async def main() -> None:
        world = await open_world({"a-r0", "a-r1"}, {"a": 1})
        for i in range(4):
            await world.submit("a-h0", f"{i:016x}", 8, 400.0)
        links = world.hosts["a-h0"].pool.links.values()
        assert all(0.8 < link.table.health.slowness < 1.2 for link in links)

    run_virtual(main())
