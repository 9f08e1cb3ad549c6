"""Tests that a lent task that runs for long is run once, and to its end.

A lender keeps a run going as long as it hears the borrower. All on virtual time.
"""

import asyncio

import msgspec
import pytest

from monsoongap.errors import AnswerKind
from monsoongap.protocol.messages import (
    CancelCall,
    FindCall,
    Job,
    JobReply,
    LendCall,
    Resources,
    Step,
)
from monsoongap.standin.runner_model import TaskPlan
from tests.coordination.test_host import run_virtual
from tests.host_world import QUEUE, World

JOB = "ab" * 8
FILLING_JOB = "cd" * 8


def submit(
    world: World, id_: str, work_s: float, tasks: int = 1, wait_s: float = 0.0
) -> asyncio.Task[JobReply]:
    """Submit a job at the owner of data centre a."""
    payload = msgspec.json.encode(TaskPlan(work_s * 1000)).decode()
    job = Job(id_, QUEUE, payload, (Step(tasks, Resources(1000, 64), 1.0),))
    return asyncio.create_task(world.submit_job(world.owner("a"), job, wait_s))


async def open_lending_world(
    lent_s: float, full_s: float = 200.0, wait_s: float = 0.0
) -> tuple[World, asyncio.Task[JobReply]]:
    """Let data centre a, full for `full_s`, borrow room of b for a task of `lent_s`."""
    world = World({"a": 2, "b": 2}, handlers_outlive_calls=True)
    await world.start()
    await asyncio.sleep(3)
    submit(world, FILLING_JOB, full_s, tasks=8)
    await asyncio.sleep(0.5)
    call = submit(world, JOB, lent_s, wait_s=wait_s)
    await asyncio.sleep(0.5)
    assert [e.runner[0] for e in world.ledger if e.task.job == JOB] == ["b"]
    return world, call


# Guards against a long lent run that is begun again when the call for it times out.
@pytest.mark.parametrize("lent_s", [25.0, 40.0, 65.0])
def test_a_long_lent_task_runs_to_its_end(lent_s: float) -> None:
    async def main() -> None:
        world, call = await open_lending_world(lent_s)
        reply = await asyncio.wait_for(call, lent_s + 2)
        assert reply.kind is AnswerKind.COMPLETED
        assert len([e for e in world.ledger if e.task.job == JOB]) == 1
        world.check()

    run_virtual(main())


# Guards against a second run beside that of a lender whose heartbeats arrive while
# calls to it get no reply.
def test_a_task_is_not_placed_again_while_its_lender_is_live() -> None:
    async def main() -> None:
        world, _ = await open_lending_world(100.0, full_s=35.0)
        world.call_types_lost |= {FindCall, LendCall}
        await asyncio.sleep(60)
        world.check()
        assert len([e for e in world.ledger if e.task.job == JOB]) == 1

    run_virtual(main())


# Guards against a call that a lender received long ago and carries out once more.
def test_a_late_copy_of_a_lend_call_does_not_start_a_run_that_has_ended() -> None:
    async def main() -> None:
        world, call = await open_lending_world(25.0)
        lender = world.hosts[world.owner("b")]
        borrower = world.hosts[world.owner("a")]
        lent = next(iter(lender.lending._lent.values()))
        copy = LendCall(
            *(lent.work.task, lent.work.run_number, lent.work.payload),
            *(lent.work.size, QUEUE, 1, borrower.card.name, lent.claim),
            upstream=lent.work.upstream,
        )
        await asyncio.wait_for(call, 30)
        await asyncio.sleep(10)
        # The runner itself would reject a run that has ended there.
        runner = world.ledger[-1].runner
        lender.pool.links[runner].avoid_until = float("inf")
        await lender.calls.answer(copy)
        assert len([e for e in world.ledger if e.task.job == JOB]) == 1

    run_virtual(main())


# Guards against a lender that stops a run at the end of the first caller's wait, though
# the caller has come again and waits.
def test_a_lent_task_runs_on_for_a_caller_that_comes_again() -> None:
    async def main() -> None:
        world, _ = await open_lending_world(7.0, wait_s=1.5)
        for _ in range(3):
            await asyncio.sleep(2.3)
            call = submit(world, JOB, 7.0, wait_s=1.5)
            await asyncio.sleep(0.5)
        assert (await asyncio.wait_for(call, 2)).kind is AnswerKind.COMPLETED
        assert len([e for e in world.ledger if e.task.job == JOB]) == 1

    run_virtual(main())


# Guards against a cancelled run that goes on for as long as its lender is live.
def test_a_lent_run_ends_though_its_cancel_call_is_lost() -> None:
    async def main() -> None:
        world, _ = await open_lending_world(100.0)
        world.call_types_lost.add(CancelCall)
        world.hosts[world.owner("a")].cancel(JOB)
        await asyncio.sleep(32)
        (run,) = [e for e in world.ledger if e.task.job == JOB]
        assert run.how == "stopped"

    run_virtual(main())


# Guards against a host that asks for ever what became of a task whose job it has not.
def test_a_lent_task_is_not_settled_for_a_share_that_was_released() -> None:
    async def main() -> None:
        world, _ = await open_lending_world(100.0)
        borrower = world.hosts[world.owner("a")]
        world.call_types_lost |= {CancelCall, FindCall, LendCall}
        borrower.cancel(JOB)
        await asyncio.sleep(32)
        assert borrower.reconciler._background._tasks
        borrower.leave()
        await asyncio.sleep(4)
        assert not borrower.reconciler._background._tasks

    run_virtual(main())
