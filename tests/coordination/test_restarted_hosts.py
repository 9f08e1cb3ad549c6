"""Tests of calls that are open to a host while it loses power and starts again.

Nothing closes such a call: it is repeated, and the repetition reaches a process that
knows nothing of the first copy. All on virtual time.
"""

import asyncio

import msgspec
import pytest

from monsoongap.coordination.host import Host
from monsoongap.errors import AnswerKind
from monsoongap.protocol.messages import Job, JobReply, Resources, Step
from monsoongap.standin.runner_model import TaskPlan
from tests.coordination.test_host import run_virtual
from tests.coordination.test_settling_races import other_host
from tests.host_world import QUEUE, World

JOB = "ab" * 8
FILLING_JOB = "cd" * 8
# The first copy of a call for a task of 0.1 s is repeated after 0.9 s.
ESTIMATE_S = 0.1


def submit(
    world: World,
    host: str,
    id_: str,
    work_s: float,
    tasks: int = 1,
    estimate_s: float = ESTIMATE_S,
) -> asyncio.Task[JobReply]:
    """Submit a job of tasks that run for `work_s` and are declared shorter."""
    payload = msgspec.json.encode(TaskPlan(work_s * 1000)).decode()
    job = Job(id_, QUEUE, payload, (Step(tasks, Resources(1000, 64), estimate_s),))
    return asyncio.create_task(world.submit_job(host, job))


async def open_lending_world(hosts: int = 2) -> tuple[World, str]:
    """Return a world whose data centre a has no room, and the lender in b."""
    world = World({"a": 2, "b": hosts})
    await world.start()
    await asyncio.sleep(3)
    submit(world, world.owner("a"), FILLING_JOB, 60.0, tasks=8)
    await asyncio.sleep(0.5)
    return world, world.owner("b")


async def restart(world: World, name: str, dark_s: float) -> Host:
    """Cut a host's power for a while; connections to it stay silent."""
    world.power_off(name)
    await asyncio.sleep(dark_s)
    return world.start_host(name)


# Guards against a job that is refused as not run although a lender began it, because
# the lender lost power and its next process has no room for the repeated call.
@pytest.mark.parametrize("hosts", [1, 2])
@pytest.mark.parametrize("run_s", [0.3, 3.0])
def test_a_restarted_lender_does_not_deny_the_run_of_its_earlier_process(
    hosts: int, run_s: float
) -> None:
    async def main() -> None:
        world, lender = await open_lending_world(hosts)
        borrower = world.owner("a")
        call = submit(world, borrower, JOB, run_s)
        await asyncio.sleep(0.2)
        assert [e.runner[0] for e in world.ledger if e.task.job == JOB] == ["b"]
        # The borrower learns of no room in b before it would refuse the job.
        world.heartbeats_lost.add((lender, borrower))
        await restart(world, lender, 0.4)
        await asyncio.sleep(6)
        world.heartbeats_lost.clear()
        reply = await asyncio.wait_for(call, 10)
        assert reply.kind in (AnswerKind.COMPLETED, AnswerKind.BROKEN)
        world.check()

    run_virtual(main())


# Guards against a second run that a restarted lender begins beside the one of its
# earlier process, whose runner it does not reach.
def test_a_restarted_lender_begins_nothing_for_a_call_to_its_earlier_process() -> None:
    async def main() -> None:
        world, lender = await open_lending_world(1)
        borrower = world.owner("a")
        call = submit(world, borrower, JOB, 5.0, estimate_s=1.0)
        await asyncio.sleep(0.2)
        (run,) = [e for e in world.ledger if e.task.job == JOB]
        world.cut_off(lender, run.runner)
        world.heartbeats_lost.add((lender, borrower))
        await restart(world, lender, 0.1)
        await asyncio.sleep(4)
        assert len([e for e in world.ledger if e.task.job == JOB]) == 1
        world.cut.clear()
        world.heartbeats_lost.clear()
        await asyncio.wait_for(call, 30)
        world.check()

    run_virtual(main())


# Guards against a refusal in doubt where the process that was called first says, on a
# new connection, that it has no room.
def test_a_refusal_of_the_process_that_was_called_first_is_final() -> None:
    async def main() -> None:
        world, lender = await open_lending_world()
        borrower = world.owner("a")
        world.silent_connections[borrower, lender] = 1
        call = submit(world, borrower, JOB, 0.3)
        await asyncio.sleep(0.1)
        submit(world, lender, "ef" * 8, 60.0, tasks=8)
        reply = await asyncio.wait_for(call, 10)
        assert reply.kind is AnswerKind.REFUSED
        assert all(e.task.job != JOB for e in world.ledger)
        world.check()

    run_virtual(main())


# Guards against trust in a refusal of a repeated call by a host of an earlier version,
# which does not name its process; the refusal of a first copy is final. A job in doubt
# that finds no room ends as soon as another one, but without the promise.
@pytest.mark.parametrize("is_repeated", [True, False])
def test_an_earlier_version_s_refusal_of_a_repeated_call_is_in_doubt(
    is_repeated: bool,
) -> None:
    async def main() -> None:
        world, lender = await open_lending_world()
        borrower = world.owner("a")
        world.nameless.add(lender)
        world.silent_connections[borrower, lender] = int(is_repeated)
        # Full before the first call arrives, or before the second.
        filling = submit(world, lender, "ef" * 8, 60.0, tasks=8)
        call = submit(world, borrower, JOB, 0.3)
        reply = await asyncio.wait_for(call, 10)
        kind = AnswerKind.BROKEN if is_repeated else AnswerKind.REFUSED
        assert reply.kind is kind
        assert not filling.done()
        world.check()

    run_virtual(main())


# Guards against a job that is refused as not run although its owner began it, because
# the owner lost power and its next process declines the repeated call.
@pytest.mark.parametrize("is_heard", [True, False])
def test_a_restarted_owner_does_not_deny_the_job_of_its_earlier_process(
    is_heard: bool,
) -> None:
    async def main() -> None:
        world = World({"a": 2})
        await world.start()
        await asyncio.sleep(3)
        owner = world.owner("a")
        entry = other_host(world, "a", owner)
        call = submit(world, entry, JOB, 3.0)
        await asyncio.sleep(0.2)
        assert len(world.ledger) == 1
        if not is_heard:
            world.heartbeats_lost.add((owner, entry))
        restarting = asyncio.create_task(restart(world, owner, 0.4))
        for runner in list(world.models):
            world.crash_runner(runner)
        reply = await asyncio.wait_for(call, 20)
        await restarting
        assert reply.kind is AnswerKind.BROKEN
        world.check()

    run_virtual(main())


# Guards against calls that wait on an idle connection to the earlier process of a host
# although heartbeats have told that it has restarted.
def test_a_call_to_a_restarted_host_goes_out_on_a_new_connection() -> None:
    async def main() -> None:
        world = World({"a": 2})
        await world.start()
        await asyncio.sleep(3)
        owner = world.owner("a")
        entry = other_host(world, "a", owner)
        await restart(world, owner, 0.2)
        await asyncio.sleep(3)
        began_at = asyncio.get_running_loop().time()
        for i, name in enumerate((owner, entry)):
            reply = await submit(world, name, f"{i:016x}", 0.05)
            assert reply.kind is AnswerKind.COMPLETED
        assert asyncio.get_running_loop().time() - began_at < 0.5
        world.check()

    run_virtual(main())
