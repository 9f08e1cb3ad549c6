"""Tests that what an owner does not know of is never taken to be over.

Owners that hand over, lend, lose sight of each other or of runners, on virtual time.
"""

import asyncio
import random
from collections.abc import Coroutine
from dataclasses import dataclass, field, replace
from typing import Any

import pytest

from monsoongap.coordination.host import Host
from monsoongap.errors import AnswerKind
from tests.coordination.test_host import open_world, run_virtual
from tests.host_world import RequestFaults, World

JOB = "ab" * 8
OTHER_JOB = "cd" * 8


def other_host(world: World, dc: str, *but: str) -> str:
    """Return a host of a data centre that is none of the named ones."""
    return next(n for n in world.hosts if n.startswith(dc) and n not in but)


async def owned(host: Host, dc: str) -> None:
    """Wait until a host owns a data centre."""
    for _ in range(500):
        if host.owns(dc):
            return
        await asyncio.sleep(0.01)
    raise TimeoutError(f"{host.card.name} doesn't own {dc}")


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
        world.send_runner_lists()
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
        await owned(world.hosts[other], "ibk")
        world.send_runner_list(world.hosts[other], used)
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
        world.send_runner_lists()
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
        world.call_delay_s[pair] = late_s
        call = asyncio.create_task(world.submit("kuf-h0", JOB, 6, work_ms=900))
        await asyncio.sleep(0.05)
        world.cut_off("ibk", "kuf")
        await asyncio.sleep(3.2)
        world.call_delay_s.clear()
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


# The owner was killed before a heartbeat told of the job; the next one adopts its
# runs and tells nobody, while the caller comes to another data centre.
@pytest.mark.parametrize("lived_s", [0.02, 0.06, 0.3])
def test_a_job_that_a_killed_owner_told_nobody_of_is_not_begun_elsewhere(
    lived_s: float,
) -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5.05)
        owner = world.owner("ibk")
        call = asyncio.create_task(world.submit(owner, JOB, 4, work_ms=2000))
        await asyncio.sleep(lived_s)
        world.kill(owner)
        await call
        await asyncio.sleep(1.3)
        await world.submit("kuf-h1", JOB, 4, work_ms=2000)
        world.check()

    run_virtual(main())


# Jobs are told of for 0.35 s after they begin; who is cut off then never hears.
def test_a_job_begun_during_a_cut_is_known_elsewhere_after_it() -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        for other in ("kuf", "lnz"):
            world.cut_off("ibk", other)
        await asyncio.sleep(1)
        first = asyncio.create_task(world.submit("ibk-h0", JOB, 2, work_ms=6000))
        await asyncio.sleep(1)
        world.cut.clear()
        await asyncio.sleep(2.5)
        await world.submit("kuf-h1", JOB, 2, work_ms=6000)
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
        world.send_runner_lists()
        await asyncio.sleep(3)
        world.unlisted.clear()
        world.send_runner_lists()
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
        world.send_runner_list(world.hosts[other], "ibk-r0")
        # Replies of another owner take their time: a long way for old connections.
        far = world.owner("kuf")
        world.cut_off(other, far)
        world.kill(owner)
        await owned(world.hosts[other], "ibk")
        await asyncio.sleep(joins_ms / 1000)
        world.send_runner_list(world.hosts[other])
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
        world.request_faults.late_share = 0.5
        owner = world.owner("ibk")
        calls = [
            asyncio.create_task(world.submit(owner, f"{i:016x}", 3, work_ms=2500))
            for i in range(3)
        ]
        await asyncio.sleep(0.002 * seed)
        world.hosts[owner].leave()
        await asyncio.sleep(0.5)
        world.request_faults.late_share = 0.0
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
        world.pause(owner)
        await asyncio.sleep(frozen_s)
        world.resume(owner)
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
        world.pause(other)
        await asyncio.sleep(frozen_s)
        call = asyncio.create_task(world.submit(owner, JOB, 12, work_ms=1500))
        await asyncio.sleep(0.2)
        world.resume(other)
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
        world.send_runner_lists()
        await asyncio.sleep(0.2)
        world.unlisted.add(gone)
        world.send_runner_lists()
        await asyncio.sleep(gone_s)
        world.unlisted.clear()
        world.send_runner_lists()
        reply = await asyncio.wait_for(call, 20)
        assert reply.kind is AnswerKind.COMPLETED
        assert len(world.ledger) == 4
        world.check()

    run_virtual(main())


@dataclass(slots=True)
class Day:
    """A day of load and faults, drawn from a seed."""

    world: World
    rng: random.Random
    faults: tuple[str, ...]
    story: list[str] = field(default_factory=list)
    _left: set[asyncio.Task[None]] = field(default_factory=set)

    async def play(self, length_s: float) -> None:
        """Play the day, heal what is broken, and wait for every caller."""
        callers = asyncio.create_task(self._load(length_s))
        loop = asyncio.get_running_loop()
        until = loop.time() + length_s
        while loop.time() < until:
            fault = self.rng.choice(self.faults)
            self._begin(getattr(self, f"_{fault}")())
            await asyncio.sleep(self.rng.uniform(0.2, 1.2))
        await callers
        await asyncio.wait(self._left, timeout=40)
        self.world.request_faults = RequestFaults()
        await asyncio.sleep(8)

    def _begin(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._left.add(task)

    def _note(self, text: str) -> None:
        self.story.append(f"{asyncio.get_running_loop().time():.2f} {text}")

    async def _load(self, length_s: float) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + length_s
        while loop.time() < until:
            self._begin(self._call(f"{self.rng.getrandbits(64):016x}"))
            await asyncio.sleep(self.rng.uniform(0.05, 0.3))

    async def _call(self, id_: str) -> None:
        """Submit a job, again after a while if it was lost, as callers do."""
        rng = random.Random(id_)
        tasks = rng.choice((1, 2, 4, 8, 14))
        work_ms = rng.choice((50.0, 200.0, 600.0, 1500.0))
        for _ in range(3):
            hosts = sorted(self.world.hosts)
            if hosts:
                host = rng.choice(hosts)
                reply = await self.world.submit(host, id_, tasks, work_ms)
                if reply.kind is not AnswerKind.BROKEN:
                    return
            await asyncio.sleep(1.3)

    def _host(self) -> str:
        """Draw a host, owners first."""
        names = sorted(self.world.hosts)
        owners = [n for n in names if self.world.hosts[n].ownership.claims]
        return self.rng.choice(owners if owners and self.rng.random() < 0.6 else names)

    async def _roll(self) -> None:
        """Stop a host as an upgrade does, and start it again."""
        name = self._host()
        self._note(f"{name} leaves")
        self.world.hosts[name].leave()
        await asyncio.sleep(self.rng.uniform(0.3, 3.0))
        await self._restart(name)

    async def _kill(self) -> None:
        name = self._host()
        await self._restart(name)

    async def _restart(self, name: str) -> None:
        if name not in self.world.hosts:
            return
        self._note(f"{name} is killed")
        self.world.kill(name)
        await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        if name in self.world.hosts:
            return
        self._note(f"{name} starts")
        host = self.world.start_host(name, listed=False)
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        if self.world.hosts.get(name) is host:
            self.world.send_runner_list(host)

    async def _cut(self) -> None:
        """Cut a data centre off for a while."""
        dc = self.rng.choice(sorted(self.world.dcs))
        others = [other for other in self.world.dcs if other != dc]
        self._note(f"{dc} is cut off")
        for other in others:
            self.world.cut_off(dc, other)
        await asyncio.sleep(self.rng.uniform(0.5, 6.0))
        self._note(f"{dc} is back")
        for other in others:
            self.world.cut.discard(frozenset((dc, other)))

    async def _gap(self) -> None:
        """Leave some runners out of one host's list for a while."""
        name = self._host()
        host = self.world.hosts[name]
        runners = sorted(self.world.models)
        gone = self.rng.sample(runners, self.rng.randint(1, len(runners) // 2))
        self._note(f"{name} is not told of {gone}")
        self.world.send_runner_list(host, *gone)
        await asyncio.sleep(self.rng.uniform(0.2, 4.0))
        if self.world.hosts.get(name) is host:
            self._note(f"{name} is told of all runners")
            self.world.send_runner_list(host)

    async def _join(self) -> None:
        """Start one more runner; hosts hear of it one after the other."""
        dc = self.rng.choice(sorted(self.world.dcs))
        self.world.join_runner(dc, f"{dc}-r{len(self.world.models)}")
        for name in sorted(self.world.hosts):
            await asyncio.sleep(self.rng.uniform(0.0, 0.4))
            if name in self.world.hosts:
                self.world.send_runner_list(self.world.hosts[name])

    async def _orders(self) -> None:
        """Lose some answers to orders and carry some orders out late."""
        self._note("orders go wrong")
        self.world.request_faults = RequestFaults(lost_reply_share=0.1, late_share=0.1)
        await asyncio.sleep(self.rng.uniform(0.3, 2.0))
        self._note("orders go well")
        self.world.request_faults = RequestFaults()

    async def _mute(self) -> None:
        """Lose the replies on the open connections between two hosts."""
        if len(self.world.hosts) < 2:
            return
        pair = frozenset(self.rng.sample(sorted(self.world.hosts), 2))
        kind = self.rng.choice((self.world.calls_lost, self.world.replies_lost))
        self._note(f"{sorted(pair)} lose calls or replies")
        kind.add(pair)
        await asyncio.sleep(self.rng.uniform(0.5, 4.0))
        kind.discard(pair)

    async def _freeze(self) -> None:
        name = self._host()
        host = self.world.hosts[name]
        self._note(f"{name} freezes")
        self.world.pause(name)
        await asyncio.sleep(self.rng.uniform(0.3, 4.0))
        if self.world.hosts.get(name) is host:
            self._note(f"{name} goes on")
            self.world.resume(name)

    async def _isolate(self) -> None:
        """Cut one host from everything for a while."""
        name = self._host()
        pairs = {
            frozenset((name, place))
            for place in (*self.world.hosts, *self.world.models)
            if place != name
        } - self.world.cut
        self._note(f"{name} is alone")
        self.world.cut |= pairs
        await asyncio.sleep(self.rng.uniform(0.5, 8.0))
        self._note(f"{name} is not alone")
        self.world.cut -= pairs


# What a day of any of these faults may show; the story tells what led to it.
DAYS = {
    "rolls": ("roll", "roll", "kill"),
    "cuts": ("cut", "kill", "roll"),
    "orders": ("orders", "roll", "kill", "mute"),
    "frozen": ("freeze", "roll", "mute"),
    "joins": ("join", "kill", "roll"),
    "gaps": ("gap", "kill", "roll"),
    "alone": ("isolate", "roll"),
    "all": ("roll", "kill", "cut", "gap", "join", "orders", "mute", "freeze"),
}


def play_day(name: str, seed: int, length_s: float = 8.0) -> None:
    """Play a day and check it; a failure names its faults."""

    async def main() -> None:
        world = World({"ibk": 3, "kuf": 2, "lnz": 2}, runners_per_dc=3, seed=seed)
        await world.start()
        await asyncio.sleep(3)
        day = Day(world, random.Random(seed), DAYS[name])
        await day.play(length_s)
        try:
            world.check()
        except AssertionError as exc:
            raise AssertionError(f"{exc}\n" + "\n".join(day.story)) from exc

    run_virtual(main())


# Faults that come together as no one thought of.
@pytest.mark.parametrize(
    ("name", "seed"),
    [
        ("rolls", 0),
        ("cuts", 3),
        ("orders", 0),
        ("frozen", 0),
        ("joins", 21),
        ("gaps", 0),
        ("alone", 20),
        ("all", 0),
    ],
)
def test_a_day_of_faults_runs_nothing_twice(name: str, seed: int) -> None:
    play_day(name, seed)


# Guards against a lent task that runs twice, since its borrower takes over the share of
# the lender: the run goes on here, and nobody is asked to stop it.
def test_a_borrower_that_takes_over_its_lender_s_share_adopts_what_it_lent() -> None:
    async def main() -> None:
        world = World({"a": 2}, runners_per_dc=4, cores=0.08)
        await world.start()
        await asyncio.sleep(5)
        assert all(len(h.ownership.claims) == 1 for h in world.hosts.values())
        first, second = world.hosts
        job = asyncio.create_task(world.submit(first, f"{1:016x}", 14, 1200.0))
        await asyncio.sleep(0.3)
        assert len(world.ledger) == 14
        home = next(n for n, h in world.hosts.items() if h.jobs.in_flight)
        world.hosts[second if home == first else first].leave()
        assert (await job).kind is AnswerKind.COMPLETED
        world.check()
        assert len(world.ledger) == 14

    run_virtual(main())
