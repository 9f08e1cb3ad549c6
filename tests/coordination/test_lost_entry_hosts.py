"""Tests that a job whose entry host is lost does not run beside its repetition.

Callers wait for as long as their jobs take. One whose connection breaks, or who gets no
result, sends the job again 1.3 s later, to any host. All on virtual time.
"""

import asyncio

import msgspec
import pytest

from monsoongap.errors import AnswerKind
from monsoongap.protocol.messages import Job, JobReply, Resources, Step
from monsoongap.standin.runner_model import LedgerEntry, TaskPlan
from tests.coordination.test_host import run_virtual
from tests.coordination.test_settling_races import other_host
from tests.host_world import QUEUE, World

JOB = "ab" * 8
RUN_S = 38.0
WAIT_S = 150.0
RESEND_S = 1.3
# A run is kept for 2 s for a caller that sends its job again, and then stopped.
KEPT_S = 2.2
# Longer than owners remember a job that nobody announces, and than calls used to last.
PAST_MEMORY_S = 31.7


async def open_world() -> World:
    """Start two data centres, and wait until no previous owner is in doubt."""
    world = World({"a": 2, "b": 2}, handlers_outlive_calls=True)
    await world.start()
    await asyncio.sleep(5)
    return world


def submit(
    world: World, host: str, run_s: float = RUN_S, wait_s: float = WAIT_S
) -> asyncio.Task[JobReply]:
    """Submit a job of one task, as a caller that waits for it."""
    payload = msgspec.json.encode(TaskPlan(run_s * 1000)).decode()
    job = Job(JOB, QUEUE, payload, (Step(1, Resources(1000, 64), run_s),))
    return asyncio.create_task(world.submit_job(host, job, wait_s))


def runs(world: World) -> list[LedgerEntry]:
    """Return all runs of the job, with those that have ended by now."""
    for model in world.models.values():
        model.advance()
    return [entry for entry in world.ledger if entry.task.job == JOB]


# Guards against a second run in a data centre that was cut off as the job began, whose
# owner cannot know of it: the first run ends before the caller comes there.
@pytest.mark.parametrize("role", ["owner", "other"])
@pytest.mark.parametrize("age_s", [0.2, 1.0, 3.0])
def test_a_job_of_a_lost_entry_host_is_not_run_beside_its_copy_over_a_cut(
    age_s: float, role: str
) -> None:
    async def main() -> None:
        world = await open_world()
        owner_b = world.owner("b")
        world.cut_off("a", "b")
        await asyncio.sleep(1.5)
        entry = other_host(world, "a", world.owner("a"))
        submit(world, entry)
        await asyncio.sleep(age_s)
        world.kill(entry)
        await asyncio.sleep(RESEND_S)
        submit(world, owner_b if role == "owner" else other_host(world, "b", owner_b))
        await asyncio.sleep(4)
        assert len(runs(world)) == 2
        world.check()

    run_virtual(main())


# Guards against a second run elsewhere 33 s after the first one, which goes on though
# its entry host is gone.
def test_a_long_job_of_a_lost_entry_host_is_joined_by_its_copy() -> None:
    async def main() -> None:
        world = await open_world()
        entry = other_host(world, "a", world.owner("a"))
        submit(world, entry)
        await asyncio.sleep(PAST_MEMORY_S)
        world.kill(entry)
        await asyncio.sleep(RESEND_S)
        copy = submit(world, other_host(world, "b", world.owner("b")))
        await asyncio.sleep(RUN_S - PAST_MEMORY_S)
        assert (await copy).kind is AnswerKind.COMPLETED
        assert len(runs(world)) == 1
        world.check()

    run_virtual(main())


# Guards against runs for a caller that does not come again after its host was lost.
def test_a_job_that_nobody_sends_again_ends() -> None:
    async def main() -> None:
        world = await open_world()
        entry = other_host(world, "a", world.owner("a"))
        submit(world, entry)
        await asyncio.sleep(3)
        world.kill(entry)
        await asyncio.sleep(KEPT_S + 0.1)
        assert [run.how for run in runs(world)] == ["stopped"]

    run_virtual(main())


# Guards against a run that goes on for the earlier process of a host that lost power:
# its connections were never closed, and its callers notice when it is back.
def test_a_job_of_an_entry_host_that_returns_is_not_run_beside_its_copy() -> None:
    async def main() -> None:
        world = await open_world()
        owner_b = world.owner("b")
        world.cut_off("a", "b")
        await asyncio.sleep(1.5)
        entry = other_host(world, "a", world.owner("a"))
        submit(world, entry)
        await asyncio.sleep(1)
        world.power_off(entry)
        await asyncio.sleep(0.3)
        world.start_host(entry)
        await asyncio.sleep(RESEND_S)
        submit(world, owner_b)
        await asyncio.sleep(4)
        assert len(runs(world)) == 2
        world.check()

    run_virtual(main())


# Guards against a job that ends although another of its callers still waits.
def test_a_job_goes_on_while_one_of_its_entry_hosts_is_left() -> None:
    async def main() -> None:
        world = await open_world()
        entry = other_host(world, "a", world.owner("a"))
        submit(world, entry, run_s=8.0)
        await asyncio.sleep(1)
        joined = submit(world, other_host(world, "b", world.owner("b")), run_s=8.0)
        await asyncio.sleep(1)
        world.kill(entry)
        assert (await joined).kind is AnswerKind.COMPLETED
        assert len(runs(world)) == 1

    run_virtual(main())


# Guards against a run that goes on for a host that is cut off from its owner, and has
# told its caller so: no connection is closed.
def test_a_job_of_an_entry_host_that_is_cut_off_is_not_run_beside_its_copy() -> None:
    async def main() -> None:
        world = await open_world()
        owner_b = world.owner("b")
        world.cut_off("a", "b")
        await asyncio.sleep(1.5)
        entry = other_host(world, "a", world.owner("a"))
        call = submit(world, entry)
        await asyncio.sleep(1)
        world.cut_off(entry, world.owner("a"))
        for runner in world.models:
            world.cut_off(entry, runner)
        assert (await call).kind is AnswerKind.BROKEN
        await asyncio.sleep(RESEND_S)
        submit(world, owner_b)
        await asyncio.sleep(4)
        assert len(runs(world)) == 2
        world.check()

    run_virtual(main())


# Guards against runs that a successor keeps for a caller whose host was the lost owner,
# until that caller has come to a data centre that is cut off.
@pytest.mark.parametrize("is_power_loss", [False, True], ids=["killed", "power"])
def test_orphan_runs_do_not_go_on_beside_a_copy_over_a_cut(is_power_loss: bool) -> None:
    async def main() -> None:
        world = await open_world()
        owner, owner_b = world.owner("a"), world.owner("b")
        world.cut_off("a", "b")
        await asyncio.sleep(1.5)
        submit(world, owner)
        await asyncio.sleep(1)
        (world.power_off if is_power_loss else world.kill)(owner)
        await asyncio.sleep(RESEND_S)
        submit(world, owner_b)
        await asyncio.sleep(4)
        assert len(runs(world)) == 2
        world.check()

    run_virtual(main())


# Guards against a job that goes on at its next owner for a caller that had come by the
# former one, and is gone.
def test_a_job_that_was_handed_over_ends_with_its_caller_at_the_former_owner() -> None:
    async def main() -> None:
        world = await open_world()
        former = world.owner("a")
        submit(world, former)
        await asyncio.sleep(1)
        world.hosts[former].leave()
        await asyncio.sleep(1)
        assert world.owner("a") != former
        world.kill(former)
        await asyncio.sleep(KEPT_S + 0.1)
        assert [run.how for run in runs(world)] == ["stopped"]

    run_virtual(main())
