"""Tests of jobs at work whose queue the operator removes.

A job that was accepted is seen through, whichever owner it comes to, and never answered
as not run once a task of it may have run. All on virtual time.
"""

import asyncio
from collections.abc import Callable
from dataclasses import replace

import msgspec
import pytest

from monsoongap.errors import AnswerKind
from monsoongap.protocol.messages import Configuration, Job, Resources, Step
from monsoongap.standin.runner_model import TaskPlan
from tests.coordination.test_config_versions import apply
from tests.coordination.test_host import open_world, run_virtual
from tests.host_world import QUEUE, World

JOB = "ab" * 8


def remove_queue(world: World) -> None:
    """Apply a configuration without queues on every host, and on those to come."""
    world.config = Configuration(world.config.version + 1, (), world.config.upstreams)
    for host in world.hosts.values():
        apply(host, world.config)


def job_of(steps: int, tasks: int, work_s: float) -> Job:
    """Return a job of equal steps, each after the one before."""
    size = Resources(1000, 64)
    payload = msgspec.json.encode(TaskPlan(work_s * 1000)).decode()
    first = Step(tasks, size, work_s)
    later = (replace(first, after=(number - 1,)) for number in range(1, steps))
    return Job(JOB, QUEUE, payload, (first, *later))


def leave(world: World, owner: str) -> None:
    world.hosts[owner].leave()


def kill(world: World, owner: str) -> None:
    world.kill(owner)


def pause(world: World, owner: str) -> None:
    world.pause(owner)


def release(world: World, owner: str) -> None:
    """Give the share back, as when a runner obeys another owner."""
    host = world.hosts[owner]
    for share in list(host.ownership.claims):
        host.ownership.yield_to_fence(share)


# The next owner answered 404 for a job that had run.
@pytest.mark.parametrize("lose", [leave, kill, pause, release])
@pytest.mark.parametrize("steps", [1, 3])
def test_a_job_at_work_is_seen_through_by_the_next_owner_without_its_queue(
    lose: Callable[[World, str], None], steps: int
) -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        owner = world.owner("ibk")
        caller = next(n for n in world.hosts if n[:3] == "ibk" and n != owner)
        job = job_of(steps, 2, 1.2)
        call = asyncio.create_task(world.submit_job(caller, job))
        await asyncio.sleep(0.3)
        assert world.ledger
        remove_queue(world)
        await asyncio.sleep(0.3)
        lose(world, owner)
        reply = await asyncio.wait_for(call, 20)
        # A share that was given back has no owner for a second.
        allowed = {AnswerKind.COMPLETED, *([AnswerKind.BROKEN] * (lose is release))}
        assert reply.kind in allowed
        world.check()

    run_virtual(main())


# Tasks of a later step waited for ever, here and at lenders, once their queue was gone.
@pytest.mark.parametrize("tasks", [2, 20])
def test_later_steps_run_after_their_queue_was_removed(tasks: int) -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        host = world.owner("ibk")
        job = job_of(2, tasks, 0.5)
        call = asyncio.create_task(world.submit_job(host, job))
        await asyncio.sleep(0.2)
        remove_queue(world)
        reply = await asyncio.wait_for(call, 6)
        assert reply.kind is AnswerKind.COMPLETED
        lent = {e.runner[:3] for e in world.ledger if e.task.step == 1} - {"ibk"}
        assert bool(lent) is (tasks > 8)
        world.check()

    run_virtual(main())


# A job that broke off here is submitted again by a host that still has the queue.
def test_a_job_that_broke_off_is_not_answered_as_not_run() -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        owner = world.owner("ibk")
        call = asyncio.create_task(world.submit_job(owner, job_of(1, 2, 1.2)))
        await asyncio.sleep(0.3)
        world.hosts[owner].cancel(JOB)
        assert (await call).kind is AnswerKind.BROKEN
        apply(world.hosts[owner], Configuration(2, (), world.config.upstreams))
        reply = await world.submit_job(owner, job_of(1, 2, 1.2))
        assert reply.kind is AnswerKind.BROKEN
        world.check()

    run_virtual(main())


# Nothing of the job has run, and its queue is gone: the caller may rely on that.
def test_a_new_job_of_a_removed_queue_is_answered_as_not_run() -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        remove_queue(world)
        reply = await world.submit_job("ibk-h0", job_of(1, 2, 1.2))
        assert reply.kind is AnswerKind.UNKNOWN_QUEUE
        assert world.ledger == []

    run_virtual(main())
