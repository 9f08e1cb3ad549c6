"""Tests of the lines and counters that tell what a host believed as it decided."""

import asyncio
import json
import logging
from collections.abc import Coroutine
from typing import Any

import pytest

from monsoongap.logs import JsonFormatter
from tests import clock
from tests.host_world import World

LIMIT_S = 60.0


def run_virtual(main: Coroutine[Any, Any, None]) -> None:
    async def limited() -> None:
        async with asyncio.timeout(LIMIT_S):
            await main

    clock.run_virtual(limited())


class Told:
    """The lines of all hosts of a world, by event."""

    def __init__(self, caplog: pytest.LogCaptureFixture) -> None:
        caplog.set_level(logging.INFO, "monsoongap")
        self._caplog = caplog

    def clear(self) -> None:
        self._caplog.clear()

    def lines(self, event: str) -> list[dict[str, Any]]:
        formatter = JsonFormatter("any")
        lines = (json.loads(formatter.format(rec)) for rec in self._caplog.records)
        return [line for line in lines if line["event"] == event]


@pytest.fixture
def told(caplog: pytest.LogCaptureFixture) -> Told:
    return Told(caplog)


def other_of(world: World, owner: str) -> str:
    """Return the other host of an owner's data centre."""
    dc = owner.partition("-")[0]
    return next(n for n in world.hosts if n.startswith(dc) and n != owner)


def test_an_owner_tells_how_many_runners_it_knew_and_since_when(told: Told) -> None:
    async def main() -> None:
        world = World({"a": 2, "b": 1}, runners_per_dc=3)
        await world.start()
        owner = world.owner("a")
        other = other_of(world, owner)
        world.tell_runners(world.hosts[other], "a-r1")
        await asyncio.sleep(2.0)
        told.clear()
        world.hosts[owner].leave()
        await asyncio.sleep(0.5)
        (line,) = told.lines("ownership acquired")
        assert (line["dc"], line["runners"]) == ("a", 2)
        assert 2000 <= line["list_age_ms"] <= 2500

    run_virtual(main())


def test_a_list_of_runners_is_told_when_its_ids_change(told: Told) -> None:
    async def main() -> None:
        world = World({"a": 2}, runners_per_dc=8)
        await world.start()
        host = world.hosts["a-h0"]
        first = told.lines("runners listed")[0]
        assert (first["added"], first["removed"], first["by_dc"]) == (8, 0, {"a": 8})
        told.clear()
        for _ in range(5):
            world.tell_runners(host)
        assert told.lines("runners listed") == []
        world.tell_runners(host, "a-r1", "a-r3")
        (line,) = told.lines("runners listed")
        assert (line["source"], line["age_ms"]) == ("store", 0)
        assert (line["runners"], line["added"], line["removed"]) == (6, 0, 2)
        assert line["gone"] == ["a-r1", "a-r3"]
        counts = host.directory.runners_counts
        assert (counts.added, counts.removed, counts.lists_from_peers) == (8, 2, 0)

    run_virtual(main())


def test_a_list_of_a_peer_names_the_peer_and_its_age(told: Told) -> None:
    async def main() -> None:
        world = World({"a": 2}, runners_per_dc=8)
        await world.start()
        fresh = world.start_host("a-h1", listed=False)
        await asyncio.sleep(1.0)
        told.clear()
        assert await fresh.calls.fetch_runners()
        (line,) = told.lines("runners listed")
        assert line["source"] == "host a-h0"
        assert 2400 <= line["age_ms"] <= 3000
        assert fresh.directory.runners_counts.lists_from_peers == 1
        world.tell_runners(fresh, *(f"a-r{i}" for i in range(8)))
        assert len(told.lines("runners listed")[-1]["gone"]) == 6

    run_virtual(main())
