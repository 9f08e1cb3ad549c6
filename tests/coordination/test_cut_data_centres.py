"""Tests that a job does not run on both sides of a cut between data centres.

Each builds one way in which the owner on one side starts a job whose run goes on at the
other side. Callers send a job again 1.3 s after their connection broke or the host had
no result. All on virtual time.
"""

import asyncio

import pytest

from monsoongap.errors import AnswerKind
from tests.coordination.test_host import run_virtual
from tests.coordination.test_lost_entry_hosts import RESEND_S, runs, submit
from tests.coordination.test_settling_races import isolate, other_host
from tests.host_world import World

# Until no previous owner is in doubt.
SETTLED_S = 5.0
# The owner has noticed by then that a data centre is out of touch.
NOTICED_S = 1.5


async def open_world(a: int = 2, b: int = 2, c: int = 0) -> World:
    """Start up to three data centres, and wait until no previous owner is in doubt."""
    counts = {"a": a, "b": b, "c": c}
    world = World(
        {dc: count for dc, count in counts.items() if count},
        handlers_outlive_calls=True,
    )
    await world.start()
    await asyncio.sleep(SETTLED_S)
    return world


async def call_patiently(world: World, host: str) -> None:
    """Send the job to a host again and again until it has a result."""
    while host in world.hosts:
        reply = await submit(world, host)
        if reply.kind is not AnswerKind.BROKEN:
            return
        await asyncio.sleep(RESEND_S)


async def begin_unheard(world: World) -> str:
    """Begin a job in data centre a while it is cut off from b; return its entry host.

    The owner of b does not hear of the job.
    """
    world.cut_off("a", "b")
    await asyncio.sleep(NOTICED_S)
    entry = other_host(world, "a", world.owner("a"))
    submit(world, entry)
    await asyncio.sleep(1)
    assert len(runs(world)) == 1
    return entry


async def check_one_at_a_time(world: World, expected_runs: int = 2) -> None:
    """Check that a job ran again, and never twice at one time."""
    await asyncio.sleep(4)
    assert len(runs(world)) >= expected_runs
    world.check()


# Guards against a run that goes on for a former owner that handed its job over, and
# whose own caller was at an owner that died on the other side.
def test_a_job_held_by_a_former_owner_ends_before_the_other_side_starts_it() -> None:
    async def main() -> None:
        world = await open_world(a=3)
        former = world.owner("a")
        first = other_host(world, "a", former)
        submit(world, first)
        await asyncio.sleep(1)
        world.kill(first)
        await asyncio.sleep(RESEND_S)
        owner_b = world.owner("b")
        entry = other_host(world, "b", owner_b)
        caller = asyncio.create_task(call_patiently(world, entry))
        await asyncio.sleep(0.2)
        next_owner = other_host(world, "a", former)
        isolate(world, next_owner)
        await asyncio.sleep(SETTLED_S)
        world.cut.clear()
        await asyncio.sleep(SETTLED_S)
        assert world.owner("a") == next_owner
        world.cut_off("a", "b")
        await asyncio.sleep(0.7)
        world.kill(owner_b)
        await asyncio.sleep(8)
        world.check()
        assert not caller.done()

    run_virtual(main())


# Guards against a second start at an owner where the job has ended, by a call that is
# forwarded there before the owner hears that another one runs the job.
@pytest.mark.parametrize("called_after_s", [0.0, 0.1, 0.2, 1.0])
def test_a_call_forwarded_to_an_owner_where_the_job_ended_starts_no_second_run(
    called_after_s: float,
) -> None:
    async def main() -> None:
        world = await open_world(c=2)
        for name in (n for n in world.hosts if n.startswith("b")):
            for other in (n for n in world.hosts if n.startswith("c")):
                world.heartbeats_lost.add((name, other))
        entry = await begin_unheard(world)
        world.kill(entry)
        await asyncio.sleep(RESEND_S)
        submit(world, other_host(world, "b", world.owner("b")))
        await asyncio.sleep(0.5)
        assert [run.how for run in runs(world)] == ["stopped", ""]
        world.cut.clear()
        await asyncio.sleep(called_after_s)
        # The connection to the host of b broke, but that host has not noticed.
        submit(world, other_host(world, "c", world.owner("c")))
        await check_one_at_a_time(world)

    run_virtual(main())


# Guards against a host that takes its share over while it is cut off from everyone, and
# places a job that waited before it hears the former owner, which runs it.
@pytest.mark.parametrize("cut_s", [6.0, 7.0, 8.0, 9.0])
def test_an_isolated_host_places_nothing_before_it_hears_the_former_owner(
    cut_s: float,
) -> None:
    async def main() -> None:
        world = await open_world()
        lone = other_host(world, "a", world.owner("a"))
        asyncio.create_task(call_patiently(world, lone))
        await asyncio.sleep(1)
        isolate(world, lone)
        await asyncio.sleep(cut_s)
        assert world.hosts[lone].owns("a")
        world.cut.clear()
        await asyncio.sleep(4)
        world.check()

    run_virtual(main())


# Guards against a host that is cut off from all hosts, but not from runners, and starts
# a job by time, though the owner elsewhere takes itself to be in touch with its share.
def test_a_host_cut_off_from_hosts_only_starts_no_job_that_runs_elsewhere() -> None:
    async def main() -> None:
        world = await open_world()
        lone = other_host(world, "b", world.owner("b"))
        for name in world.hosts:
            if name != lone:
                world.cut_off(lone, name)
        await asyncio.sleep(SETTLED_S)
        entry = other_host(world, "a", world.owner("a"))
        submit(world, entry)
        await asyncio.sleep(1)
        world.kill(entry)
        await asyncio.sleep(RESEND_S)
        submit(world, lone)
        await asyncio.sleep(4)
        world.check()

    run_virtual(main())


# Guards against the silence of an entry host without power that its owner notices later
# than its caller.
@pytest.mark.parametrize("age_s", [1.0, 1.15, 1.3, 1.45])
def test_a_job_of_an_entry_host_without_power_ends_in_time(age_s: float) -> None:
    async def main() -> None:
        world = await open_world()
        entry = await begin_unheard(world)
        await asyncio.sleep(age_s - 1.0)
        world.power_off(entry)
        await asyncio.sleep(RESEND_S)
        submit(world, world.owner("b"))
        await check_one_at_a_time(world)

    run_virtual(main())


# Guards against a run that is kept past the deadline of its caller, which gave up
# unnoticed and sends the job to a data centre that is out of touch.
def test_a_run_ends_before_its_caller_comes_again_after_its_deadline() -> None:
    async def main() -> None:
        world = await open_world()
        owner_b, entry = world.owner("b"), other_host(world, "a", world.owner("a"))
        world.cut_off("a", "b")
        await asyncio.sleep(NOTICED_S)
        submit(world, entry, wait_s=3.0)
        await asyncio.sleep(3.0 + RESEND_S)
        submit(world, owner_b)
        await check_one_at_a_time(world)

    run_virtual(main())


# Guards against a loss of the last caller that is dated at the end of a pause of the
# owner instead of its beginning.
@pytest.mark.parametrize("paused_s", [0.3, 0.45, 0.6])
def test_a_pause_of_the_owner_does_not_prolong_a_run_without_callers(
    paused_s: float,
) -> None:
    async def main() -> None:
        world = await open_world()
        entry = await begin_unheard(world)
        owner = world.owner("a")
        world.pause(owner)
        world.kill(entry)
        await asyncio.sleep(paused_s)
        world.resume(owner)
        await asyncio.sleep(RESEND_S - paused_s)
        submit(world, world.owner("b"))
        await check_one_at_a_time(world)

    run_virtual(main())


# Guards against an owner that takes itself to be in touch with one that it hears, but
# that does not hear it, and so sends it heartbeats only now and then.
@pytest.mark.parametrize("begins_after_s", [0.5, 1.0, 2.5])
@pytest.mark.parametrize("calls_work", [True, False])
def test_an_owner_that_is_not_heard_ends_a_job_without_callers_in_time(
    calls_work: bool, begins_after_s: float
) -> None:
    async def main() -> None:
        world = await open_world()
        owner_b, entry = world.owner("b"), other_host(world, "a", world.owner("a"))
        pairs = [
            (x, y) for x in world.hosts for y in world.hosts if x[0] + y[0] == "ab"
        ]
        world.heartbeats_lost.update(pairs)
        if not calls_work:
            world.calls_lost.update(map(frozenset, pairs))
        await asyncio.sleep(begins_after_s)
        submit(world, entry)
        await asyncio.sleep(1)
        world.kill(entry)
        await asyncio.sleep(RESEND_S)
        submit(world, owner_b)
        await check_one_at_a_time(world)

    run_virtual(main())


# Guards against a lent run that outlives the cancel of its borrower: the cut between
# them begins after the entry host died, so its lender gives up later than the borrower.
@pytest.mark.parametrize("cut_after_s", [0.0, 0.2, 0.5, 0.8])
def test_a_lent_run_ends_before_its_caller_comes_to_a_third_data_centre(
    cut_after_s: float,
) -> None:
    async def main() -> None:
        world = await open_world(c=2)
        world.cut_off("a", "c")
        world.cut_off("b", "c")
        await asyncio.sleep(NOTICED_S)
        owner = world.owner("a")
        for model in world.models.values():
            if model.info.dc == "a":
                world.cut_off(owner, model.info.id)
        await asyncio.sleep(NOTICED_S)
        entry = other_host(world, "a", owner)
        submit(world, entry)
        await asyncio.sleep(1)
        assert [run.runner[0] for run in runs(world)] == ["b"]
        world.kill(entry)
        await asyncio.sleep(cut_after_s)
        world.cut_off("a", "b")
        await asyncio.sleep(RESEND_S - cut_after_s)
        submit(world, world.owner("c"))
        await check_one_at_a_time(world)

    run_virtual(main())


# Guards against a run that goes on until its lease lapses: its owner loses contact with
# the runner before it stops the run for lack of callers.
@pytest.mark.parametrize("cut_after_s", [0.0, 0.5, 0.85])
def test_a_run_that_cannot_be_stopped_ends_before_its_caller_comes_again(
    cut_after_s: float,
) -> None:
    async def main() -> None:
        world = await open_world()
        entry = await begin_unheard(world)
        (run,) = runs(world)
        world.kill(entry)
        await asyncio.sleep(cut_after_s)
        world.cut_off(world.owner("a"), run.runner)
        await asyncio.sleep(RESEND_S - cut_after_s)
        submit(world, world.owner("b"))
        await check_one_at_a_time(world)

    run_virtual(main())
