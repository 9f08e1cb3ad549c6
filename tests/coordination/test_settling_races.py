"""Tests that what an owner does not know of is never taken to be over.

Owners that hand over, lend, lose sight of each other or of runners, on virtual time.
"""

import asyncio
from dataclasses import replace

import pytest

from monsoongap.errors import AnswerKind
from tests.coordination.test_host import open_world, run_virtual
from tests.host_world import World

JOB = "ab" * 8
OTHER_JOB = "cd" * 8


def other_host(world: World, dc: str, *but: str) -> str:
    """Return a host of a data centre that is none of the named ones."""
    return next(n for n in world.hosts if n.startswith(dc) and n not in but)


def isolate(world: World, name: str, *kept: str) -> None:
    """Cut a host from every host and runner but those kept."""
    for place in (*world.hosts, *world.models):
        if place != name and place not in kept:
            world.cut_off(name, place)


# It claims the share while nobody hears it; four seconds later its doubt was over.
@pytest.mark.parametrize("alone_s", [3.0, 3.5, 5.0, 7.0, 9.0])
def test_jobs_handed_to_an_owner_that_was_isolated_run_once(alone_s: float) -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        owner = world.owner("ibk")
        lone = other_host(world, "ibk", owner)
        isolate(world, lone)
        await asyncio.sleep(alone_s)
        call = asyncio.create_task(world.submit(owner, JOB, 6, work_ms=1500))
        await asyncio.sleep(0.3)
        world.cut.clear()
        reply = await asyncio.wait_for(call, 20)
        assert reply.kind in (AnswerKind.COMPLETED, AnswerKind.BROKEN)
        world.check()

    run_virtual(main())


# Another data centre owns the share after 8 s of a cut; its doubt is over by 12 s.
@pytest.mark.parametrize("cut_s", [13.0, 14.5, 17.1, 20.0, 25.0])
def test_jobs_of_a_data_centre_owned_from_outside_run_once(cut_s: float) -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        for other in ("kuf", "lnz"):
            world.cut_off("ibk", other)
        await asyncio.sleep(cut_s)
        call = asyncio.create_task(world.submit("ibk-h0", JOB, 6, work_ms=1500))
        await asyncio.sleep(0.3)
        world.cut.clear()
        reply = await asyncio.wait_for(call, 20)
        assert reply.kind in (AnswerKind.COMPLETED, AnswerKind.BROKEN)
        world.check()

    run_virtual(main())


# A runner is listed under its id at a new address while its old process lives on.
def test_runs_at_a_runner_s_former_address_are_not_over_at_once() -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        call = asyncio.create_task(world.submit("ibk-h0", JOB, 4, work_ms=900))
        await asyncio.sleep(0.1)
        moved = world.ledger[0].runner
        world.join_runner("ibk", moved, f"{moved}b")
        world.unlisted.add(moved)
        world.tell_all()
        reply = await asyncio.wait_for(call, 10)
        assert reply.kind is AnswerKind.COMPLETED
        world.check()

    run_virtual(main())


# The entry of a runner lapses before the new owner's first look at it is answered.
def test_a_runner_that_leaves_the_list_before_its_first_look_is_not_settled() -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        owner = world.owner("ibk")
        other = other_host(world, "ibk", owner)
        call = asyncio.create_task(world.submit(other, JOB, 4, work_ms=1500))
        await asyncio.sleep(0.2)
        used = world.ledger[0].runner
        # The next owner has no way to the runner for a while.
        world.cut_off(other, used)
        world.kill(owner)
        while not world.hosts[other].owns("ibk"):
            await asyncio.sleep(0.01)
        world.tell_runners(world.hosts[other], used)
        await asyncio.wait_for(call, 10)
        world.check()

    run_virtual(main())


# The lender's data centre is divided anew as it is replaced: its share's new owner
# holds other runners than those on which it had lent.
@pytest.mark.parametrize("killed_s", [0.3, 0.42, 0.5, 0.85])
def test_a_lent_task_runs_once_when_the_lender_s_share_is_divided(
    killed_s: float,
) -> None:
    async def main() -> None:
        # Four runners make a share.
        world = World({"ibk": 3, "kuf": 1}, runners_per_dc=4, cores=0.16)
        await world.start()
        await asyncio.sleep(5)
        for i in range(4, 8):
            world.join_runner("ibk", f"ibk-r{i}")
        world.tell_all()
        await asyncio.sleep(1)
        lender = world.owner("ibk")
        assert len(world.hosts[lender].ownership.shares_of("ibk")) == 1
        call = asyncio.create_task(world.submit("kuf-h0", JOB, 40, work_ms=3000))
        await asyncio.sleep(killed_s)
        assert any(e.runner.startswith("ibk") for e in world.ledger)
        world.kill(lender)
        await asyncio.wait_for(call, 30)
        assert len(world.hosts["kuf-h0"].ownership.shares_of("ibk")) == 2
        world.check()

    run_virtual(main())


# The call waits in a connection that the borrower gave up; its settling came first.
@pytest.mark.parametrize("late_s", [3.3, 3.7, 4.0, 4.5])
def test_a_lent_task_s_late_call_begins_nothing_after_it_was_settled(
    late_s: float,
) -> None:
    async def main() -> None:
        world = World({"ibk": 1, "kuf": 1}, runners_per_dc=1)
        await world.start()
        await asyncio.sleep(5)
        pair = frozenset(("ibk-h0", "kuf-h0"))
        world.held_s[pair] = late_s
        call = asyncio.create_task(world.submit("kuf-h0", JOB, 6, work_ms=900))
        await asyncio.sleep(0.05)
        world.cut_off("ibk", "kuf")
        await asyncio.sleep(3.2)
        world.held_s.clear()
        world.cut.clear()
        await asyncio.wait_for(call, 30)
        await asyncio.sleep(3)
        world.check()

    run_virtual(main())


# A data centre that is cut off goes on with its job for longer than any doubt lasts.
def test_a_long_job_of_a_cut_off_home_is_not_begun_elsewhere() -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        first = asyncio.create_task(world.submit("ibk-h0", JOB, 2, work_ms=9000))
        await asyncio.sleep(0.5)
        for other in ("kuf", "lnz"):
            world.cut_off("ibk", other)
        await asyncio.sleep(1.3)
        for _ in range(4):
            await world.submit("kuf-h1", JOB, 2, work_ms=9000)
            await asyncio.sleep(0.6)
        await first
        world.check()

    run_virtual(main())


# The second try was told "not run", for the first one's record knew better.
def test_a_job_of_a_cut_off_home_is_never_called_not_run() -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        first = asyncio.create_task(world.submit("ibk-h0", JOB, 2, work_ms=4000))
        await asyncio.sleep(0.5)
        for other in ("kuf", "lnz"):
            world.cut_off("ibk", other)
        await asyncio.sleep(1.3)
        for _ in range(2):
            reply = await world.submit("kuf-h1", JOB, 2, work_ms=4000)
            assert reply.kind is not AnswerKind.REFUSED
        await first
        world.check()

    run_virtual(main())


# The next owner of a data centre does not know what others began before its time.
def test_a_long_job_elsewhere_is_known_to_the_next_owner() -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        first = asyncio.create_task(world.submit("ibk-h0", JOB, 2, work_ms=9000))
        await asyncio.sleep(0.5)
        world.kill(world.owner("kuf"))
        await asyncio.sleep(6)
        await world.submit(other_host(world, "kuf"), JOB, 2, work_ms=9000)
        await first
        world.check()

    run_virtual(main())


# Runs that are being stopped as the share is released leave their job never cleared.
def test_a_job_cancelled_as_its_share_is_released_can_be_sent_again() -> None:
    async def main() -> None:
        world = World({"ibk": 2})
        await world.start()
        await asyncio.sleep(5)
        owner = world.owner("ibk")
        other = other_host(world, "ibk", owner)
        host = world.hosts[owner]
        call = asyncio.create_task(world.submit(owner, JOB, 4, work_ms=1500))
        await asyncio.sleep(0.1)
        model = world.models[world.ledger[0].runner]
        model.faults.dark = True
        host.jobs.cancel(JOB)
        assert (await call).kind is AnswerKind.BROKEN
        host.leave()
        await asyncio.sleep(0.5)
        assert world.owner("ibk") == other
        model.faults.dark = False
        host.leaving = host.ownership.leaving = False
        world.kill(other)
        await asyncio.sleep(5)
        assert host.owns("ibk")
        again = asyncio.create_task(world.submit(owner, JOB, 4, work_ms=100))
        reply = await asyncio.wait_for(again, 3)
        assert reply.kind is AnswerKind.COMPLETED
        world.check()

    run_virtual(main())


# A runner whose entry lapsed while it worked was never given work again.
def test_a_runner_back_on_the_list_gets_work_again() -> None:
    async def main() -> None:
        world = World({"ibk": 1}, runners_per_dc=1)
        await world.start()
        await asyncio.sleep(5)
        call = asyncio.create_task(world.submit("ibk-h0", JOB, 1, work_ms=5000))
        await asyncio.sleep(0.1)
        world.unlisted.add("ibk-r0")
        world.join_runner("kuf", "kuf-r0")
        world.models["kuf-r0"].faults.dark = True
        world.tell_all()
        await asyncio.sleep(3)
        world.unlisted.clear()
        world.tell_all()
        assert (await call).kind is AnswerKind.COMPLETED
        reply = await asyncio.wait_for(world.submit("ibk-h0", OTHER_JOB), 3)
        assert reply.kind is AnswerKind.COMPLETED
        world.check()

    run_virtual(main())


# What ran before its caller left was forgotten as the job came again.
def test_a_job_that_ran_before_it_was_cancelled_is_never_called_not_run() -> None:
    async def main() -> None:
        world = World({"ibk": 1})
        await world.start()
        await asyncio.sleep(5)
        host = world.hosts["ibk-h0"]
        call = asyncio.create_task(world.submit("ibk-h0", JOB, 2, work_ms=900))
        await asyncio.sleep(0.1)
        host.cancel(JOB)
        assert (await call).kind is AnswerKind.BROKEN
        await asyncio.sleep(0.3)
        assert len(world.ledger) == 2
        host.jobs.triage.lag_s = 1.0
        reply = await world.submit("ibk-h0", JOB, 2, work_ms=900)
        assert reply.kind is not AnswerKind.REFUSED
        world.check()

    run_virtual(main())


# While others are asked about a job, a runner joins the list with a run of it.
@pytest.mark.parametrize("joins_ms", [0, 10, 50, 100, 200, 300])
def test_a_runner_that_is_listed_while_a_job_is_settled_is_looked_at(
    joins_ms: int,
) -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        owner = world.owner("ibk")
        other = other_host(world, "ibk", owner)
        call = asyncio.create_task(world.submit(other, JOB, 8, work_ms=2500))
        await asyncio.sleep(0.2)
        world.tell_runners(world.hosts[other], "ibk-r0")
        # Replies of another owner take their time: a long way for old connections.
        far = world.owner("kuf")
        world.cut_off(other, far)
        world.kill(owner)
        while not world.hosts[other].owns("ibk"):
            await asyncio.sleep(0.01)
        await asyncio.sleep(joins_ms / 1000)
        world.tell_runners(world.hosts[other])
        await asyncio.sleep(0.001)
        world.cut.clear()
        await asyncio.wait_for(call, 20)
        world.check()

    run_virtual(main())


# Orders that the former owner sent before it released may come after the hand-over.
def test_orders_in_flight_as_an_owner_releases_begin_nothing_twice() -> None:
    async def main(seed: int) -> None:
        world = await open_world(seed=seed)
        await asyncio.sleep(5)
        world.orders.late = 0.5
        owner = world.owner("ibk")
        calls = [
            asyncio.create_task(world.submit(owner, f"{i:016x}", 3, work_ms=2500))
            for i in range(3)
        ]
        await asyncio.sleep(0.002 * seed)
        world.hosts[owner].leave()
        await asyncio.sleep(0.5)
        world.orders.late = 0.0
        await asyncio.wait(calls, timeout=60)
        await asyncio.sleep(6)
        world.check()

    for seed in range(8):
        run_virtual(main(seed))


# A frozen owner wakes with its claims, its jobs and the calls that waited for it.
@pytest.mark.parametrize("frozen_s", [0.5, 0.9, 1.5, 3.0, 6.0])
def test_an_owner_that_was_frozen_runs_nothing_twice(frozen_s: float) -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        owner = world.owner("ibk")
        other = other_host(world, "ibk", owner)
        calls = [
            asyncio.create_task(world.submit(h, f"{i:016x}", 6, work_ms=1500))
            for i, h in enumerate((owner, other, "kuf-h0", other))
        ]
        await asyncio.sleep(0.2)
        world.freeze(owner)
        await asyncio.sleep(frozen_s)
        world.thaw(owner)
        await asyncio.wait(calls, timeout=40)
        assert all(call.done() for call in calls)
        await asyncio.sleep(3)
        world.check()

    run_virtual(main())


# A host that owns nothing wakes, hears nobody yet and claims what others hold.
@pytest.mark.parametrize("frozen_s", [1.0, 3.0, 8.0])
def test_a_host_that_was_frozen_takes_no_share_s_jobs_twice(frozen_s: float) -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        owner = world.owner("ibk")
        other = other_host(world, "ibk", owner)
        world.freeze(other)
        await asyncio.sleep(frozen_s)
        call = asyncio.create_task(world.submit(owner, JOB, 12, work_ms=1500))
        await asyncio.sleep(0.2)
        world.thaw(other)
        await asyncio.wait_for(call, 20)
        await asyncio.sleep(3)
        world.check()

    run_virtual(main())


# A clock that runs behind gives a fence below that of the former owner.
@pytest.mark.parametrize("step_ms", [-60_000, -1500, 1500, 60_000])
def test_a_clock_that_is_wrong_lets_nothing_run_twice(step_ms: int) -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        owner = world.owner("ibk")
        other = other_host(world, "ibk", owner)
        call = asyncio.create_task(world.submit(other, JOB, 12, work_ms=1500))
        await asyncio.sleep(0.2)
        world.kill(other)
        call.cancel()
        host = world.start_host(other)
        host.timers.step_ms = step_ms  # type: ignore[attr-defined]
        await asyncio.sleep(0.4)
        world.kill(owner)
        await asyncio.sleep(1.0)
        await asyncio.wait_for(world.submit(other, JOB, 12, work_ms=1500), 20)
        await asyncio.sleep(3)
        world.check()

    run_virtual(main())


# The owner goes on behind a split with one of its runners; the others replace it.
def test_runs_behind_a_split_inside_a_data_centre_are_not_begun_again() -> None:
    async def main() -> None:
        world = World({"ibk": 3, "kuf": 1})
        await world.start()
        await asyncio.sleep(5)
        owner = world.owner("ibk")
        other = other_host(world, "ibk", owner)
        call = asyncio.create_task(world.submit(other, JOB, 8, work_ms=4000))
        await asyncio.sleep(0.2)
        isolate(world, owner, "ibk-r0")
        for name in world.hosts:
            if name != owner:
                world.cut_off(name, "ibk-r0")
        await asyncio.wait_for(call, 20)
        world.check()

    run_virtual(main())


# A runner is not told any more while it drains or works: its runs are not over.
@pytest.mark.parametrize("gone_s", [0.5, 2.6, 4.0])
def test_runs_on_a_runner_that_left_the_list_are_not_over(gone_s: float) -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        owner = world.owner("ibk")
        call = asyncio.create_task(world.submit(owner, JOB, 4, work_ms=5000))
        await asyncio.sleep(0.1)
        gone = world.ledger[0].runner
        model = world.models[gone]
        model.info = replace(model.info, draining=True)
        world.tell_all()
        await asyncio.sleep(0.2)
        world.unlisted.add(gone)
        world.tell_all()
        await asyncio.sleep(gone_s)
        world.unlisted.clear()
        world.tell_all()
        reply = await asyncio.wait_for(call, 20)
        assert reply.kind is AnswerKind.COMPLETED
        assert len(world.ledger) == 4
        world.check()

    run_virtual(main())
