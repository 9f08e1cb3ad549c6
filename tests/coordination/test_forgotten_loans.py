"""Tests of refusals by a lender that knows, or knew, of a run that the call is for."""

import asyncio
from dataclasses import replace

import msgspec
import pytest

from monsoongap.errors import AnswerKind
from monsoongap.protocol.messages import (
    LendCall,
    LendReply,
    LendResult,
    Resources,
    TaskId,
)
from monsoongap.standin.runner_model import TaskPlan
from tests.coordination.test_host import run_virtual
from tests.coordination.test_restarted_hosts import (
    JOB,
    open_lending_world,
    restart,
    submit,
)
from tests.host_world import QUEUE, UPSTREAM, World


def lend_call(world: World, run_s: float) -> LendCall:
    """Return a call of the owner of a for a task that runs for `run_s`."""
    borrower = world.hosts[world.owner("a")]
    plan = TaskPlan(run_s * 1000)
    return LendCall(
        TaskId(JOB, 0, 0),
        1,
        msgspec.json.encode(plan).decode(),
        Resources(plan.cpu_milli, plan.mem_mb),
        QUEUE,
        borrower.directory.version,
        borrower.card.name,
        next(iter(borrower.ownership.claims.values())),
        upstream=UPSTREAM,
    )


# Guards against a job that is refused as not run although its lender ran it, because
# its replies were lost until it had forgotten the run, and has no room by then.
def test_a_lender_that_has_forgotten_a_run_does_not_deny_it() -> None:
    async def main() -> None:
        world, lender = await open_lending_world()
        borrower = world.owner("a")
        world.replies_lost.add(frozenset((borrower, lender)))
        call = submit(world, borrower, JOB, 0.3)
        await asyncio.sleep(0.5)
        world.call_types_lost.add(LendCall)
        submit(world, lender, "ef" * 8, 90.0, tasks=8)
        await asyncio.sleep(45)
        world.call_types_lost.clear()
        world.replies_lost.clear()
        await asyncio.wait({call}, timeout=8)
        assert not call.done() or call.result().kind is not AnswerKind.REFUSED

    run_virtual(main())


@pytest.mark.parametrize("is_late", [True, False])
def test_a_call_that_was_first_sent_long_ago_begins_nothing(is_late: bool) -> None:
    async def main() -> None:
        world, lender = await open_lending_world()
        call = replace(lend_call(world, 0.1), elapsed_s=31.0 if is_late else 29.0)
        reply: LendReply = await world.hosts[lender].calls.answer(call)
        expected = LendResult.LEFT_RUNNING if is_late else LendResult.DONE
        assert reply.result is expected
        assert await world.hosts[lender].calls.answer(call) == reply

    run_virtual(main())


# Guards against a replaced borrower that learns that a run has never begun, although
# the lender is only about to stop it.
def test_a_replaced_borrower_is_not_told_that_its_run_never_began() -> None:
    async def main() -> None:
        world, name = await open_lending_world()
        lender = world.hosts[name]
        call = lend_call(world, 5.0)
        first = asyncio.create_task(lender.calls.answer(call))
        await asyncio.sleep(0.2)
        (run,) = [e for e in world.ledger if e.task.job == JOB]
        world.cut_off(name, run.runner)
        claim = msgspec.structs.replace(call.claim, fence=call.claim.fence + 1)
        lender.lending.record_claims((claim,))
        second = asyncio.create_task(lender.calls.answer(call))
        await asyncio.wait({first, second}, timeout=10)
        assert first.result() == second.result()
        assert first.result().result is not LendResult.NO_ROOM

    run_virtual(main())


# Guards against "never began" for a run that a runner has had before. The call is of a
# host of an earlier version, which does not name the process that it is for.
def test_a_run_that_a_runner_rejects_as_old_counts_as_begun() -> None:
    async def main() -> None:
        world, name = await open_lending_world(1)
        call = lend_call(world, 0.1)
        reply = await world.hosts[name].calls.answer(call)
        assert reply.result is LendResult.DONE
        (run,) = [e for e in world.ledger if e.task.job == JOB]
        (other,) = {"b-r0", "b-r1"} - {run.runner}
        world.crash_runner(other)
        lender = await restart(world, name, 0.2)
        await asyncio.sleep(6)
        reply = await lender.calls.answer(call)
        assert reply.result is LendResult.GONE

    run_virtual(main())
