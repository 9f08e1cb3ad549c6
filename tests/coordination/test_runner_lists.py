"""Tests of owners whose list of runners lacks some that an earlier owner used."""

import asyncio

import msgspec
import pytest

from monsoongap.errors import AnswerKind
from monsoongap.protocol.messages import Job, Resources, Step, SubmitCall, TaskId
from monsoongap.standin.runner_model import TaskPlan
from tests.coordination.test_host import run_virtual
from tests.host_world import QUEUE, World

# Each of four cores: a job of six tasks of one core takes both runners.
BOTH_RUNNERS = 6
LONG_MS = 1200.0


def next_owner(world: World, dc: str) -> str:
    """Return a host of a data centre that owns none of its runners."""
    return next(
        n for n, h in world.hosts.items() if n.startswith(dc) and not h.owns(dc)
    )


# Guards against a takeover with an old list: the killed owner had tasks on a runner
# that its successor does not know yet.
@pytest.mark.parametrize("left_out", [("a-r0",), ("a-r0", "a-r1")])
def test_a_killed_owner_s_runs_on_unlisted_runners_are_not_begun_again(
    left_out: tuple[str, ...],
) -> None:
    async def main() -> None:
        world = World({"a": 2, "b": 1})
        await world.start()
        successor = next_owner(world, "a")
        world.send_runner_list(world.hosts[successor], *left_out)
        job = asyncio.create_task(
            world.submit(successor, f"{1:016x}", BOTH_RUNNERS, LONG_MS)
        )
        await asyncio.sleep(0.3)
        world.kill(world.owner("a"))
        await asyncio.sleep(1.0)
        world.send_runner_list(world.hosts[successor])
        assert (await job).kind is AnswerKind.COMPLETED
        world.check()

    run_virtual(main())


# Guards against a job that is handed on twice while its runs go on at a runner that
# neither the second nor the third owner knows.
def test_a_job_handed_on_twice_is_not_begun_again() -> None:
    async def main() -> None:
        world = World({"a": 3, "b": 1})
        await world.start()
        first = world.owner("a")
        for name, host in world.hosts.items():
            if name != first:
                world.send_runner_list(host, "a-r0")
        job = asyncio.create_task(
            world.submit(first, f"{2:016x}", BOTH_RUNNERS, LONG_MS)
        )
        await asyncio.sleep(0.3)
        world.hosts[first].leave()
        await asyncio.sleep(0.2)
        second = world.owner("a")
        assert second != first
        world.hosts[second].leave()
        assert (await job).kind in (AnswerKind.COMPLETED, AnswerKind.BROKEN)
        world.check()

    run_virtual(main())


# Guards against a lender's successor that calls a job's runs over without knowing the
# runner that they are on.
@pytest.mark.parametrize("leaves", [True, False])
def test_a_lent_task_on_an_unlisted_runner_is_not_begun_again(leaves: bool) -> None:
    async def main() -> None:
        world = World({"a": 2, "b": 2})
        await world.start()
        await asyncio.sleep(5)
        lender = world.owner("b")
        successor = next_owner(world, "b")
        world.send_runner_list(world.hosts[successor], "b-r0", "b-r1")
        job = asyncio.create_task(
            world.submit(world.owner("a"), f"{4:016x}", 14, LONG_MS)
        )
        await asyncio.sleep(0.3)
        assert any(entry.runner.startswith("b") for entry in world.ledger)
        world.send_runner_list(world.hosts[successor], "b-r0")
        if leaves:
            world.hosts[lender].leave()
        else:
            world.kill(lender)
        await asyncio.sleep(1.0)
        world.send_runner_list(world.hosts[successor])
        assert (await job).kind is AnswerKind.COMPLETED
        world.check()

    run_virtual(main())


# Guards against a new owner that does not ask a data centre's owner for what it runs
# of a job, since the list names no runner there.
def test_owners_of_a_data_centre_without_listed_runners_are_asked() -> None:
    async def main() -> None:
        world = World({"a": 2, "b": 1})
        await world.start()
        await asyncio.sleep(5)
        successor = next_owner(world, "a")
        world.send_runner_list(world.hosts[successor], "b-r0", "b-r1")
        # The last four tasks find room with the lender only, and last longer.
        plan = TaskPlan(works_ms=(100.0,) * 8 + (1600.0,) * 4)
        step = Step(12, Resources(plan.cpu_milli, plan.mem_mb), 0.4)
        payload = msgspec.json.encode(plan).decode()
        job = asyncio.create_task(
            world.submit_job(successor, Job(f"{5:016x}", QUEUE, payload, (step,)))
        )
        await asyncio.sleep(0.2)
        assert any(entry.runner.startswith("b") for entry in world.ledger)
        world.kill(world.owner("a"))
        world.cut_off(successor, "b")
        await asyncio.sleep(1.2)
        world.cut.clear()
        assert (await job).kind in (AnswerKind.COMPLETED, AnswerKind.BROKEN)
        world.check()

    run_virtual(main())


# Guards against a hand-over that teaches nothing, since another host's call for its
# job came first: what the former owner saw end would run again.
def test_a_hand_over_that_joins_a_job_tells_what_is_done() -> None:
    async def main() -> None:
        world = World({"a": 2, "b": 1})
        await world.start()
        host = world.hosts[world.owner("a")]
        (share,) = host.ownership.claims
        # With the other data centre out of sight, its past is not settled.
        world.cut_off("a", "b")
        host.jobs.in_doubt_since[share] = host.timers.now()
        step = Step(2, Resources(1000, 64), 0.1)
        payload = msgspec.json.encode(TaskPlan(100.0)).decode()
        job = Job(f"{6:016x}", QUEUE, payload, (step,))
        done = (TaskId(job.id, 0, 0),)
        runs = ((TaskId(job.id, 0, 1), 3),)
        forwarded = SubmitCall(job, "a-h1", 1, share, again=True)
        handed_on = SubmitCall(job, "", 0, share, done=done, runs=runs, again=True)
        first = asyncio.create_task(host.execute(forwarded))
        await asyncio.sleep(0.05)
        second = asyncio.create_task(host.execute(handed_on))
        await asyncio.sleep(0.2)
        world.cut.clear()
        replies = await asyncio.gather(first, second)
        assert [r.kind for r in replies] == [AnswerKind.COMPLETED] * 2
        assert [(e.task.index, e.run) for e in world.ledger] == [(1, 4)]
        world.check()

    run_virtual(main())


# Guards against "not run" said of a job that a lost owner began, because its next owner
# had refused the same job to another host a moment before.
def test_a_refusal_is_no_promise_to_a_host_whose_owner_may_have_begun_the_job() -> None:
    async def main() -> None:
        world = World({"a": 2, "b": 1})
        await world.start()
        await asyncio.sleep(5)
        host = world.hosts[world.owner("a")]
        (share,) = host.ownership.claims
        job = Job(f"{7:016x}", QUEUE, "{}", (Step(1, Resources(1000, 64), 0.1),))
        host.jobs.admission_control.lag_s = 1.0
        refused = await host.execute(SubmitCall(job, "a-h1", 1, share, number=1))
        assert refused.kind is AnswerKind.REFUSED
        again = SubmitCall(job, "b-h0", 1, share, again=True, number=1)
        assert (await host.execute(again)).kind is not AnswerKind.REFUSED

    run_virtual(main())


# Guards against a share that stays in doubt, since a hand-over's call is repeated while
# its job is under way.
def test_a_repeated_hand_over_does_not_renew_the_doubt() -> None:
    async def main() -> None:
        world = World({"a": 2})
        await world.start()
        await asyncio.sleep(5)
        host = world.hosts[world.owner("a")]
        (share,) = host.ownership.claims
        payload = msgspec.json.encode(TaskPlan(2000.0)).decode()
        job = Job(f"{8:016x}", QUEUE, payload, (Step(1, Resources(1000, 64), 0.1),))
        call = SubmitCall(job, "", 0, share, again=True)
        first = asyncio.create_task(host.execute(call))
        await asyncio.sleep(0.01)
        handed_on_at = host.jobs.in_doubt_since[share]
        assert host.timers.now() - handed_on_at < 0.02
        await asyncio.sleep(0.9)
        assert (await host.execute(call)).kind is AnswerKind.COMPLETED
        assert host.jobs.in_doubt_since[share] == handed_on_at
        assert (await first).kind is AnswerKind.COMPLETED

    run_virtual(main())


# Issue 22: a host without the store asked one host after the other for its list, and
# waited 1 s for each whose connection had gone silent.
def test_a_list_of_runners_is_fetched_over_silent_connections_in_time() -> None:
    async def main() -> None:
        world = World({"ibk": 6})
        await world.start()
        await asyncio.sleep(1.0)
        without, *others = world.hosts
        for other in others[:-1]:
            world.silent_connections[without, other] = 8
        await asyncio.sleep(1.0)
        world.send_runner_list(world.hosts[others[-1]])
        started_at = asyncio.get_running_loop().time()
        host = world.hosts[without]
        for _ in range(len(others)):
            if await host.calls.fetch_runners():
                break
        assert asyncio.get_running_loop().time() - started_at < 1.5

    run_virtual(main())
