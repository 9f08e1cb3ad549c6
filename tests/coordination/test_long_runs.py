"""Tests that a job that outlives its caller's wait runs once, and ends with the wait.

Its callers send it again, to any host, after a pause; no host notices that they have
left. All on virtual time.
"""

import asyncio

import msgspec
import pytest

from monsoongap.errors import AnswerKind
from monsoongap.protocol.messages import CancelCall, Job, JobReply, Resources, Step
from monsoongap.standin.runner_model import LedgerEntry, TaskPlan
from tests.coordination.test_host import run_virtual
from tests.coordination.test_settling_races import other_host
from tests.host_world import QUEUE, World

JOB = "ab" * 8
FILLING_JOB = "cd" * 8
RUN_S = 38.0
WAIT_S = 1.5
# Past the 30 s after which a call to an owner is given up, and the job is sent again.
PAST_CALLS_S = 35.0
# Runs are kept for 2 s, for a caller that submits the job again, and then stopped.
KEPT_S = 2.0
STOP_LIMIT_S = KEPT_S + 1.0


async def open_world(outlive_calls: bool = False) -> World:
    """Start two data centres, and wait until no previous owner is in doubt."""
    world = World({"a": 2, "b": 2}, handlers_outlive_calls=outlive_calls)
    await world.start()
    await asyncio.sleep(5)
    return world


def submit(
    world: World, host: str, wait_s: float, id_: str = JOB, tasks: int = 1
) -> asyncio.Task[JobReply]:
    """Submit a job of long tasks, as a caller whose leaving goes unnoticed."""
    payload = msgspec.json.encode(TaskPlan(RUN_S * 1000)).decode()
    job = Job(id_, QUEUE, payload, (Step(tasks, Resources(1000, 64), RUN_S),))
    return asyncio.create_task(world.submit_job(host, job, wait_s))


def host_of_b(world: World, role: str) -> str:
    """Return the owner of data centre b, or its other host."""
    owner = world.owner("b")
    return owner if role == "owner" else other_host(world, "b", owner)


async def submit_twice(
    world: World, gap_s: float, role: str, wait_s: float
) -> list[LedgerEntry]:
    """Submit a job at a and, after a gap, at b; return its runs after both calls."""
    submit(world, world.owner("a"), wait_s)
    await asyncio.sleep(gap_s)
    submit(world, host_of_b(world, role), wait_s)
    await asyncio.sleep(PAST_CALLS_S)
    for model in world.models.values():
        model.advance()
    return [entry for entry in world.ledger if entry.task.job == JOB]


# Guards against a second run after other owners forget where the job is (15 s), or
# after the call that waits for its answer ends (30 s).
@pytest.mark.parametrize("outlive_calls", [False, True], ids=["cancelled", "outlive"])
@pytest.mark.parametrize("wait_s", [0.0, WAIT_S], ids=["no-wait", "wait"])
@pytest.mark.parametrize("role", ["owner", "other"])
@pytest.mark.parametrize("gap_s", [2.8, 16.0, 33.0])
def test_a_long_job_sent_again_elsewhere_is_not_run_twice_at_a_time(
    gap_s: float, role: str, wait_s: float, outlive_calls: bool
) -> None:
    async def main() -> None:
        world = await open_world(outlive_calls)
        assert await submit_twice(world, gap_s, role, wait_s)
        world.check()

    run_virtual(main())


# Guards against a second run by a call that is repeated 50 ms after it was given up,
# while the handler of the first one, which began later, still waits for the job.
@pytest.mark.parametrize("late_s", [0.1, 0.35])
def test_a_call_repeated_before_its_handler_ends_begins_no_second_run(
    late_s: float,
) -> None:
    async def main() -> None:
        world = await open_world(outlive_calls=True)
        submit(world, world.owner("a"), 0.0)
        await asyncio.sleep(2.8)
        owner = world.owner("b")
        world.pause(owner)
        submit(world, other_host(world, "b", owner), 0.0)
        await asyncio.sleep(late_s)
        world.resume(owner)
        await asyncio.sleep(PAST_CALLS_S)
        world.check()

    run_virtual(main())


# Guards against runs whose results nobody waits for any more.
@pytest.mark.parametrize("role", ["owner", "other"])
@pytest.mark.parametrize("gap_s", [1.3, 2.8, 16.0])
def test_runs_end_with_the_wait_of_the_last_caller(gap_s: float, role: str) -> None:
    async def main() -> None:
        world = await open_world()
        sent_at = asyncio.get_running_loop().time()
        runs = await submit_twice(world, gap_s, role, WAIT_S)
        assert runs
        for run in runs:
            limit = sent_at + WAIT_S + STOP_LIMIT_S
            if gap_s <= WAIT_S + KEPT_S or run.began_at >= sent_at + gap_s:
                limit += gap_s
            assert run.ended_at and run.ended_at <= limit, run

    run_virtual(main())


# Guards against a lent run that goes on because its lender was not told to stop it.
@pytest.mark.parametrize("cancel_lost", [False, True], ids=["told", "cancel-lost"])
def test_lent_runs_end_with_the_wait_of_the_caller(cancel_lost: bool) -> None:
    async def main() -> None:
        world = await open_world()
        if cancel_lost:
            world.call_types_lost.add(CancelCall)
        submit(world, world.owner("a"), 0.0, FILLING_JOB, tasks=8)
        await asyncio.sleep(0.5)
        sent_at = asyncio.get_running_loop().time()
        submit(world, world.owner("a"), WAIT_S)
        await asyncio.sleep(10)
        runs = [entry for entry in world.ledger if entry.task.job == JOB]
        assert [run.runner[0] for run in runs] == ["b"]
        limit = sent_at + WAIT_S + STOP_LIMIT_S
        assert runs[0].ended_at and runs[0].ended_at <= limit, runs

    run_virtual(main())


# Guards against a forwarded copy that stops the job when its call times out (30 s).
@pytest.mark.parametrize("role", ["owner", "other"])
def test_a_long_job_that_is_joined_elsewhere_completes_for_both_callers(
    role: str,
) -> None:
    async def main() -> None:
        world = await open_world(outlive_calls=True)
        runs = await submit_twice(world, 2.8, role, 0.0)
        await asyncio.sleep(RUN_S - PAST_CALLS_S + 1)
        assert [reply.kind for reply in world.replies[JOB]] == [
            AnswerKind.COMPLETED,
            AnswerKind.COMPLETED,
        ]
        assert len(runs) == 1

    run_virtual(main())


# Guards against a job of which nobody hears since its first announcements were lost, by
# a loss of heartbeats too short to be noticed.
@pytest.mark.parametrize("wait_s", [0.0, WAIT_S], ids=["no-wait", "wait"])
def test_a_job_whose_first_announcements_are_lost_is_announced_again(
    wait_s: float,
) -> None:
    async def main() -> None:
        world = await open_world()
        pairs = {(x, y) for x in world.hosts for y in world.hosts if x[0] != y[0]}
        world.heartbeats_lost |= pairs
        submit(world, world.owner("a"), wait_s)
        await asyncio.sleep(0.4)
        world.heartbeats_lost -= pairs
        await asyncio.sleep(2.4)
        submit(world, world.owner("b"), wait_s)
        await asyncio.sleep(3)
        world.check()

    run_virtual(main())
