"""Tests of calls between hosts whose configurations differ."""

import asyncio
from dataclasses import replace

import msgspec

from monsoongap.coordination.config_fetch import MAX_FETCHES
from monsoongap.coordination.host import Host
from monsoongap.errors import AnswerKind
from monsoongap.protocol.messages import (
    ConfigCall,
    Configuration,
    Job,
    JobReply,
    LendCall,
    LendReply,
    LendResult,
    QueueRule,
    Resources,
    Step,
    TaskId,
    UpstreamRule,
)
from monsoongap.standin.runner_model import TaskPlan
from tests.coordination.test_host import run_virtual
from tests.host_world import QUEUE, UPSTREAM, World

ADDED_QUEUE = "added"
OTHER_UPSTREAM = "other"


def config_with_added_queue(world: World) -> Configuration:
    rule = QueueRule(ADDED_QUEUE, "h", "/added/", UPSTREAM, 1.5, 0, 2)
    return replace(world.config, version=2, queues=(*world.config.queues, rule))


def config_with_moved_queue(world: World) -> Configuration:
    """Return a configuration that has the queue served by another upstream."""
    rule = replace(world.config.queues[0], upstream=OTHER_UPSTREAM)
    upstreams = (*world.config.upstreams, UpstreamRule(OTHER_UPSTREAM, True))
    return replace(world.config, version=2, queues=(rule,), upstreams=upstreams)


def apply(host: Host, config: Configuration) -> None:
    host.directory.accept_text(msgspec.json.encode(config), "test")


def job(queue: str, id_: str = "a" * 16) -> Job:
    plan = TaskPlan(50.0)
    payload = msgspec.json.encode(plan).decode()
    return Job(id_, queue, payload, (Step(1, Resources(1000, 64), 0.05),))


async def open_pair() -> tuple[World, str, str]:
    """Return a world of one data centre, its owner, and a host that calls it."""
    world = World({"ibk": 2})
    await world.start()
    await asyncio.sleep(1.0)
    owner = world.owner("ibk")
    return world, owner, next(name for name in world.hosts if name != owner)


def mute_announcements(world: World, owner: str, caller: str) -> None:
    """Lose the caller's heartbeats, so that the owner hears of no version."""
    world.heartbeats_lost.add((caller, owner))


# Issue 22: an owner that had not heard of the caller's version answered 404 for a queue
# that the operator had added.
def test_an_owner_behind_its_caller_serves_a_queue_that_was_added() -> None:
    async def main() -> None:
        world, owner, caller = await open_pair()
        mute_announcements(world, owner, caller)
        apply(world.hosts[caller], config_with_added_queue(world))
        reply = await world.submit_job(caller, job(ADDED_QUEUE))
        assert reply.kind is AnswerKind.COMPLETED
        world.check()

    run_virtual(main())


# Issue 22: after half a second an owner went on by its older configuration, and ran the
# job on the upstream that the operator had moved the queue away from.
def test_an_owner_that_cannot_get_its_callers_configuration_runs_nothing() -> None:
    async def main() -> None:
        world, owner, caller = await open_pair()
        mute_announcements(world, owner, caller)
        world.call_types_lost.add(ConfigCall)
        apply(world.hosts[caller], config_with_moved_queue(world))
        async with asyncio.timeout(5):
            reply = await world.submit_job(caller, job(QUEUE))
        assert reply.kind in (AnswerKind.BROKEN, AnswerKind.REFUSED)
        assert world.ledger == []

    run_virtual(main())


# Issue 22: a lender that was behind the borrower ran the task by its own configuration.
# A refused call that is repeated, or late, must not run either.
def test_a_lender_that_cannot_get_the_borrowers_configuration_runs_nothing() -> None:
    async def main() -> None:
        world, owner, caller = await open_pair()
        mute_announcements(world, owner, caller)
        world.call_types_lost.add(ConfigCall)
        lender = world.hosts[owner]
        claim = next(iter(lender.ownership.claims.values()))
        borrower_claim = msgspec.structs.replace(
            claim, share=msgspec.structs.replace(claim.share, dc="kuf")
        )
        payload = job(QUEUE).payload
        call = LendCall(
            TaskId("a" * 16, 0, 0),
            1,
            payload,
            Resources(1000, 64),
            QUEUE,
            2,
            caller,
            borrower_claim,
        )
        reply = await lender.calls.answer(call)
        assert reply == LendReply(LendResult.NO_ROOM, 1, lender.card.boot_ms)
        apply(lender, config_with_added_queue(world))
        assert await lender.calls.answer(call) == reply
        await asyncio.sleep(0.5)
        assert world.ledger == []

    run_virtual(main())


# Issue 22: a job was handed over without the configuration that it was accepted by, and
# the next owner answered 404 for a job that had run.
def test_the_next_owner_of_a_job_uses_the_configuration_it_was_accepted_by() -> None:
    async def main() -> None:
        world, owner, other = await open_pair()
        world.call_types_lost.add(ConfigCall)
        apply(world.hosts[owner], config_with_added_queue(world))
        long_job = replace(job(ADDED_QUEUE), steps=(Step(1, Resources(1000, 64), 1.0),))
        plan = msgspec.json.encode(TaskPlan(1000.0)).decode()
        answer = asyncio.create_task(
            world.submit_job(owner, replace(long_job, payload=plan))
        )
        await asyncio.sleep(0.3)
        world.hosts[owner].leave()
        await asyncio.sleep(0.2)
        world.call_types_lost.clear()
        reply: JobReply = await answer
        assert reply.kind is AnswerKind.COMPLETED
        world.check()

    run_virtual(main())


# Guards against an owner whose link is filled by fetches from all hosts that call it
# while it is behind.
def test_an_owner_behind_many_callers_fetches_from_a_few() -> None:
    async def main() -> None:
        world = World({"ibk": 12})
        await world.start()
        await asyncio.sleep(1.0)
        owner = world.owner("ibk")
        callers = [name for name in world.hosts if name != owner]
        for caller in callers:
            mute_announcements(world, owner, caller)
            apply(world.hosts[caller], config_with_added_queue(world))
        replies = await asyncio.gather(
            *(
                world.submit_job(caller, job(ADDED_QUEUE, f"{i:016x}"))
                for i, caller in enumerate(callers)
            )
        )
        assert {reply.kind for reply in replies} == {AnswerKind.COMPLETED}
        assert world.calls_delivered[ConfigCall] <= MAX_FETCHES
        world.check()

    run_virtual(main())
