"""Tests of runners that return under their id as another kind; on virtual time.

An owner learns of the new incarnation from a poll, and of its labels only from the next
list of runners. Until then it must not start anything there.
"""

import asyncio
from collections.abc import Callable

import msgspec
import pytest

from monsoongap.errors import AnswerKind
from monsoongap.protocol.messages import Job, Resources, Step
from monsoongap.standin.runner_model import TaskPlan
from tests.coordination.test_host import run_virtual
from tests.coordination.test_removed_queues import kill, leave
from tests.host_world import QUEUE, World

OLD, NEW = "a", "b"
DOWN_S = 3.0


def job(number: int, label: str = OLD, work_s: float = 0.1) -> Job:
    payload = msgspec.json.encode(TaskPlan(work_s * 1000)).decode()
    step = Step(2, Resources(1000, 64), work_s, label=label)
    return Job(f"{number:016x}", QUEUE, payload, (step,))


def keep(world: World, owner: str) -> None:
    """Lose nothing."""


async def restart_as_other_kind(world: World, id_: str) -> None:
    world.crash_runner(id_)
    await asyncio.sleep(DOWN_S)
    world.models[id_].restart((NEW,))


def wrong_starts(world: World, label: str = OLD) -> list[str]:
    """Return the runners on which tasks that need a label began without it."""
    return [e.runner for e in world.ledger if label not in e.labels]


# The owner, or the one that takes over with the same old list, goes by the old labels.
@pytest.mark.parametrize("is_busy", [True, False])
@pytest.mark.parametrize("lose", [keep, leave, kill])
def test_a_runner_back_as_another_kind_gets_no_task_by_its_old_labels(
    lose: Callable[[World, str], None], is_busy: bool
) -> None:
    async def main() -> None:
        world = World({"ibk": 2}, runners_per_dc=1)
        await world.start()
        await asyncio.sleep(5)
        owner = world.owner("ibk")
        if is_busy:
            asyncio.create_task(world.submit_job(owner, job(1000, work_s=2.0)))
            await asyncio.sleep(0.3)
        await restart_as_other_kind(world, "ibk-r0")
        lose(world, owner)
        for number in range(20):
            asyncio.create_task(world.submit_job(next(iter(world.hosts)), job(number)))
            await asyncio.sleep(0.04)
        assert wrong_starts(world) == []
        world.send_runner_lists()
        await asyncio.sleep(1.5)
        assert wrong_starts(world) == []
        # It serves again, as what it is now.
        host = next(name for name, each in world.hosts.items() if each.owns("ibk"))
        reply = await world.submit_job(host, job(2000, NEW))
        assert reply.kind is AnswerKind.COMPLETED

    run_virtual(main())


# Its new entry was read before the poll that tells of the restart.
def test_a_runner_that_returns_is_used_again_by_its_new_entry() -> None:
    async def main() -> None:
        world = World({"ibk": 1}, runners_per_dc=1)
        await world.start()
        await asyncio.sleep(1)
        world.models["ibk-r0"].crash()
        world.models["ibk-r0"].restart((NEW,))
        world.send_runner_lists()
        reply = await world.submit_job("ibk-h0", job(1, NEW))
        assert reply.kind is AnswerKind.COMPLETED
        assert wrong_starts(world, NEW) == []

    run_virtual(main())


async def lose_power(world: World, id_: str) -> None:
    """Restart a runner as another kind; no connection is closed."""
    world.models[id_].crash()
    world.models[id_].restart((NEW,))


# No connection was closed and no poll was answered since: the owner goes by its record
# of the former incarnation, and the start would be the first request of the new one.
@pytest.mark.parametrize("is_lent", [True, False])
@pytest.mark.parametrize("lose", [keep, leave, kill])
def test_a_restart_that_no_poll_has_told_of_gets_no_task_by_old_labels(
    lose: Callable[[World, str], None], is_lent: bool
) -> None:
    async def main() -> None:
        world = World({"ibk": 2, "lnz": 2}, runners_per_dc=1)
        await world.start()
        await asyncio.sleep(5)
        owner = world.owner("ibk")
        if is_lent:
            # Fills the runner of the data centre, so that the next tasks are lent.
            size = Resources(world.models["ibk-r0"].info.room.cpu_milli, 64)
            payload = msgspec.json.encode(TaskPlan(800.0)).decode()
            step = Step(1, size, 0.8)
            full = Job(f"{999:016x}", QUEUE, payload, (step,))
            asyncio.create_task(world.submit_job(owner, full))
            await asyncio.sleep(0.2)
        await lose_power(world, "lnz-r0" if is_lent else "ibk-r0")
        lose(world, owner)
        host = next(iter(world.hosts))
        for number in range(20):
            asyncio.create_task(world.submit_job(host, job(number)))
            await asyncio.sleep(0.04)
        by_old_labels = [
            e
            for e in world.ledger
            if e.labels == (NEW,) and e.task.job != f"{999:016x}"
        ]
        assert by_old_labels == []

    run_virtual(main())
