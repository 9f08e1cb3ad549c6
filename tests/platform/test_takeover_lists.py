"""A takeover by a host whose list of runners is old, while the store answers.

Hosts that own nothing read the list seldom. Guards against a new owner that starts work
on a runner that has been draining, or gone, for longer than the limit.
"""

import asyncio
from collections.abc import Callable

import pytest

from monsoongap.errors import AnswerKind
from monsoongap.settings import BoundsSection
from tests.coordination.test_host import run_virtual
from tests.host_world import World
from tests.platform.test_silent_outage import address_of, darkened_site, put_runner
from tests.store_world import ModelStore

BOUNDS = BoundsSection()


@pytest.mark.parametrize("leaves_s", [2.2, 5.0, 9.0])
def test_a_new_owner_starts_nothing_on_a_runner_that_drains(leaves_s: float) -> None:
    async def main() -> None:
        world, store = await darkened_site(0.0)
        await asyncio.sleep(1.0)
        put_runner(store, world, "ibk-r0", "draining")
        await asyncio.sleep(leaves_s)
        former = world.owner("ibk")
        entry = next(n for n in world.hosts if n.startswith("ibk") and n != former)
        killed_at = asyncio.get_running_loop().time()
        world.kill(former)
        jobs = [
            asyncio.create_task(world.submit(entry, f"{i:016x}", 2, 20.0))
            for i in range(50, 58)
        ]
        replies = await asyncio.gather(*jobs)
        assert {reply.kind for reply in replies} <= {
            AnswerKind.COMPLETED,
            AnswerKind.BROKEN,
        }
        started = {run.runner for run in world.ledger if run.began_at >= killed_at}
        assert started and "ibk-r0" not in started
        assert address_of("ibk-r0") not in started

    run_virtual(main())


async def full_site() -> tuple[World, ModelStore]:
    """Return a site of one data centre; one of its two runners is full for seconds."""
    world, store = await darkened_site(0.0, ("ibk",))
    await asyncio.sleep(1.0)
    put_runner(store, world, "ibk-r0", "draining")
    # The owner has read the list and places tasks on the other runner only.
    await asyncio.sleep(BOUNDS.drain_s + 0.5)
    world.models[address_of("ibk-r1")].faults.slow = 60.0
    asyncio.create_task(world.submit(world.owner("ibk"), "f" * 16, 4, 200.0))
    await asyncio.sleep(0.2)
    return world, store


def leave(world: World, owner: str) -> None:
    world.hosts[owner].leave()


def kill(world: World, owner: str) -> None:
    world.kill(owner)


def pause(world: World, owner: str) -> None:
    world.pause(owner)


def cut_off(world: World, owner: str) -> None:
    for name in world.hosts:
        if name != owner:
            world.cut_off(owner, name)


def started_on(world: World, runner: str, since: float) -> bool:
    return any(
        e.runner in (runner, address_of(runner)) and e.began_at >= since
        for e in world.ledger
    )


# The next owner's list is seconds old, and the other runners are full.
@pytest.mark.parametrize("lose", [leave, kill, pause, cut_off])
def test_a_new_owner_without_other_room_starts_nothing_on_a_runner_that_drains(
    lose: Callable[[World, str], None],
) -> None:
    async def main() -> None:
        world, _ = await full_site()
        since = asyncio.get_running_loop().time()
        owner = world.owner("ibk")
        lose(world, owner)
        for i in range(40):
            entry = next(name for name in world.hosts if name != owner)
            asyncio.create_task(world.submit(entry, f"{i:016x}", 2, 20.0))
            await asyncio.sleep(0.05)
        assert not started_on(world, "ibk-r0", since)

    run_virtual(main())


# An owner that wakes acts by the list of before its pause.
@pytest.mark.parametrize("paused_s", [2.5, 4.0])
def test_an_owner_that_wakes_starts_nothing_on_a_runner_that_began_to_drain(
    paused_s: float,
) -> None:
    async def main() -> None:
        world, store = await darkened_site(0.0, ("ibk",))
        await asyncio.sleep(2.0)
        for name in world.hosts:
            world.pause(name)
        put_runner(store, world, "ibk-r0", "draining")
        put_runner(store, world, "ibk-r1", "draining")
        await asyncio.sleep(paused_s)
        since = asyncio.get_running_loop().time()
        calls = [
            asyncio.create_task(world.submit(name, f"{i:016x}", 2, 20.0))
            for i, name in enumerate(world.hosts)
        ]
        for name in world.hosts:
            world.resume(name)
        await asyncio.wait(calls, timeout=5)
        assert not started_on(world, "ibk-r0", since)
        assert not started_on(world, "ibk-r1", since)

    run_virtual(main())


# The store does not answer: the last list stays in use, and callers do not wait for it.
@pytest.mark.parametrize("outage_s", [0.05, 4.0])
def test_a_new_owner_serves_by_its_old_list_while_the_store_is_silent(
    outage_s: float,
) -> None:
    async def main() -> None:
        world, store = await darkened_site(0.0, ("ibk",))
        await asyncio.sleep(5.0)
        store.silent = True
        await asyncio.sleep(outage_s)
        owner = world.owner("ibk")
        world.kill(owner)
        entry = next(iter(world.hosts))
        began_at = asyncio.get_running_loop().time()
        reply = await world.submit(entry, "a" * 16, 2, 20.0)
        assert reply.kind is AnswerKind.COMPLETED
        assert asyncio.get_running_loop().time() - began_at < 1.5

    run_virtual(main())
