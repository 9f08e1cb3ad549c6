"""Tests that no task is started again while an unknown run of it may go on.

Owners hand over and lend, and lose contact with each other or with runners; all on
virtual time.
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


def other_host(world: World, dc: str, *excluded: str) -> str:
    """Return a host of a data centre other than the named ones."""
    return next(n for n in world.hosts if n.startswith(dc) and n not in excluded)


async def wait_until_owned(host: Host, dc: str) -> None:
    """Wait until a host owns a data centre."""
    for _ in range(500):
        if host.owns(dc):
            return
        await asyncio.sleep(0.01)
    raise TimeoutError(f"{host.card.name} doesn't own {dc}")


def isolate(world: World, name: str, *kept: str) -> None:
    """Partition a host from every other host and runner except those in `kept`."""
    for other in (*world.hosts, *world.models):
        if other != name and other not in kept:
            world.cut_off(name, other)


# The isolated host claims the share without being heard. After 4 s it considered
# previous runs ended, while the other owner had started more.
@pytest.mark.parametrize("isolated_s", [3.0, 3.5, 5.0, 7.0, 9.0])
def test_jobs_handed_to_an_owner_that_was_isolated_run_once(isolated_s: float) -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        owner = world.owner("ibk")
        lone = other_host(world, "ibk", owner)
        isolate(world, lone)
        await asyncio.sleep(isolated_s)
        call = asyncio.create_task(world.submit(owner, JOB, 6, work_ms=1500))
        await asyncio.sleep(0.3)
        world.cut.clear()
        reply = await asyncio.wait_for(call, 20)
        assert reply.kind in (AnswerKind.COMPLETED, AnswerKind.BROKEN)
        world.check()

    run_virtual(main())


# A host of another data centre owns the share after 8 s of the network partition, and
# considers previous runs ended after 12 s; the owner behind the partition continues.
@pytest.mark.parametrize("partition_s", [13.0, 14.5, 17.1, 20.0, 25.0])
def test_jobs_of_a_data_centre_owned_from_outside_run_once(partition_s: float) -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        for other in ("kuf", "lnz"):
            world.cut_off("ibk", other)
        await asyncio.sleep(partition_s)
        call = asyncio.create_task(world.submit("ibk-h0", JOB, 6, work_ms=1500))
        await asyncio.sleep(0.3)
        world.cut.clear()
        reply = await asyncio.wait_for(call, 20)
        assert reply.kind in (AnswerKind.COMPLETED, AnswerKind.BROKEN)
        world.check()

    run_virtual(main())


# A runner is listed under its id at a new address while its old process still runs.
def test_runs_at_the_previous_address_of_a_runner_do_not_count_as_ended() -> None:
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


# The runner's list entry expires before the new owner's first poll of it is answered.
def test_a_runner_unlisted_before_its_first_poll_is_not_reconciled() -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        owner = world.owner("ibk")
        other = other_host(world, "ibk", owner)
        call = asyncio.create_task(world.submit(other, JOB, 4, work_ms=1500))
        await asyncio.sleep(0.2)
        used = world.ledger[0].runner
        # The next owner cannot reach the runner for a while.
        world.cut_off(other, used)
        world.kill(owner)
        await wait_until_owned(world.hosts[other], "ibk")
        world.send_runner_list(world.hosts[other], used)
        await asyncio.wait_for(call, 10)
        world.check()

    run_virtual(main())


# As the lender is replaced, its data centre is split into more shares: the new owner of
# its share holds other runners than those that run the lent tasks.
@pytest.mark.parametrize("killed_after_s", [0.3, 0.42, 0.5, 0.85])
def test_a_lent_task_runs_once_when_the_lender_s_data_centre_is_split(
    killed_after_s: float,
) -> None:
    async def main() -> None:
        # Four runners make up one share.
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
        await asyncio.sleep(killed_after_s)
        assert any(e.runner.startswith("ibk") for e in world.ledger)
        world.kill(lender)
        await asyncio.wait_for(call, 30)
        assert len(world.hosts["kuf-h0"].ownership.shares_of("ibk")) == 2
        world.check()

    run_virtual(main())


# The lend call is delayed in a connection that the borrower gave up, and arrives after
# the borrower has reconciled the task.
@pytest.mark.parametrize("delay_s", [3.3, 3.7, 4.0, 4.5])
def test_a_late_lend_call_starts_nothing_after_its_task_was_reconciled(
    delay_s: float,
) -> None:
    async def main() -> None:
        world = World({"ibk": 1, "kuf": 1}, runners_per_dc=1)
        await world.start()
        await asyncio.sleep(5)
        pair = frozenset(("ibk-h0", "kuf-h0"))
        world.call_delay_s[pair] = delay_s
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


# A data centre behind a network partition continues its job for longer than other
# owners keep the job marked as in doubt.
def test_a_long_job_behind_a_partition_is_not_started_elsewhere() -> None:
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


# The second submission was refused as not run, although the record of the first one
# said that the job may have started.
def test_a_job_behind_a_partition_is_never_refused_as_not_run() -> None:
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


# The next owner of a data centre has not received the announcements of jobs that other
# owners started before it took over.
def test_the_next_owner_knows_of_long_jobs_at_other_owners() -> None:
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


# The owner is killed before a heartbeat announces the job; the next one adopted its
# runs without announcing them, and the caller submits the job to another data centre.
@pytest.mark.parametrize("killed_after_s", [0.02, 0.06, 0.3])
def test_a_job_that_a_killed_owner_never_announced_is_not_started_elsewhere(
    killed_after_s: float,
) -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5.05)
        owner = world.owner("ibk")
        call = asyncio.create_task(world.submit(owner, JOB, 4, work_ms=2000))
        await asyncio.sleep(killed_after_s)
        world.kill(owner)
        await call
        await asyncio.sleep(1.3)
        await world.submit("kuf-h1", JOB, 4, work_ms=2000)
        world.check()

    run_virtual(main())


# A job is announced for 0.35 s after its start; a host behind a network partition
# misses all of these heartbeats.
def test_a_job_started_during_a_partition_is_known_elsewhere_after_it() -> None:
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


# Runs that are being stopped as the share is released are dropped without an end, and a
# later submission of their job waited for that end forever.
def test_a_job_cancelled_as_its_share_is_released_can_be_submitted_again() -> None:
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


# A runner whose list entry expired while it ran a task never got another task.
def test_a_runner_that_is_listed_again_gets_tasks_again() -> None:
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


# A repeated submission of a cancelled job forgot that the job had run.
def test_a_job_that_ran_before_it_was_cancelled_is_never_refused_as_not_run() -> None:
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
        host.jobs.admission_control.lag_s = 1.0
        reply = await world.submit("ibk-h0", JOB, 2, work_ms=900)
        assert reply.kind is not AnswerKind.REFUSED
        world.check()

    run_virtual(main())


# During the calls that reconcile a job, a runner with a run of the job joins the list.
@pytest.mark.parametrize("joins_after_ms", [0, 10, 50, 100, 200, 300])
def test_a_runner_listed_during_reconciliation_is_polled_first(
    joins_after_ms: int,
) -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        owner = world.owner("ibk")
        other = other_host(world, "ibk", owner)
        call = asyncio.create_task(world.submit(other, JOB, 8, work_ms=2500))
        await asyncio.sleep(0.2)
        world.send_runner_list(world.hosts[other], "ibk-r0")
        # The replies of another owner are delayed.
        far = world.owner("kuf")
        world.cut_off(other, far)
        world.kill(owner)
        await wait_until_owned(world.hosts[other], "ibk")
        await asyncio.sleep(joins_after_ms / 1000)
        world.send_runner_list(world.hosts[other])
        await asyncio.sleep(0.001)
        world.cut.clear()
        await asyncio.wait_for(call, 20)
        world.check()

    run_virtual(main())


# Requests that the previous owner sent before it released the share may arrive after
# the handover.
def test_requests_in_flight_as_an_owner_releases_start_no_overlapping_runs() -> None:
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


# A paused owner resumes with its old claims and jobs, and then gets the calls that were
# sent to it meanwhile.
@pytest.mark.parametrize("paused_s", [0.5, 0.9, 1.5, 3.0, 6.0])
def test_a_paused_owner_starts_no_overlapping_runs(paused_s: float) -> None:
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
        await asyncio.sleep(paused_s)
        world.resume(owner)
        await asyncio.wait(calls, timeout=40)
        assert all(call.done() for call in calls)
        await asyncio.sleep(3)
        world.check()

    run_virtual(main())


# A paused host that owns nothing resumes, has not received a heartbeat yet, and claims
# a share that another host owns.
@pytest.mark.parametrize("paused_s", [1.0, 3.0, 8.0])
def test_a_paused_host_that_claims_an_owned_share_starts_no_overlapping_runs(
    paused_s: float,
) -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        owner = world.owner("ibk")
        other = other_host(world, "ibk", owner)
        world.pause(other)
        await asyncio.sleep(paused_s)
        call = asyncio.create_task(world.submit(owner, JOB, 12, work_ms=1500))
        await asyncio.sleep(0.2)
        world.resume(other)
        await asyncio.wait_for(call, 20)
        await asyncio.sleep(3)
        world.check()

    run_virtual(main())


# A clock that is behind yields a fence below that of the previous owner.
@pytest.mark.parametrize("step_ms", [-60_000, -1500, 1500, 60_000])
def test_a_wrong_clock_causes_no_overlapping_runs(step_ms: int) -> None:
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


# The owner keeps one of its runners behind a network partition; other hosts replace it.
def test_runs_behind_a_partition_inside_a_data_centre_are_not_started_again() -> None:
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


# A runner that is draining or busy leaves the list, but its runs go on.
@pytest.mark.parametrize("absent_s", [0.5, 2.6, 4.0])
def test_runs_on_an_unlisted_runner_do_not_count_as_ended(absent_s: float) -> None:
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
        await asyncio.sleep(absent_s)
        world.unlisted.clear()
        world.send_runner_lists()
        reply = await asyncio.wait_for(call, 20)
        assert reply.kind is AnswerKind.COMPLETED
        assert len(world.ledger) == 4
        world.check()

    run_virtual(main())


@dataclass(slots=True)
class FaultScenario:
    """A scenario of load and faults that are drawn from a seed."""

    world: World
    rng: random.Random
    faults: tuple[str, ...]
    events: list[str] = field(default_factory=list)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def run(self, length_s: float) -> None:
        """Run the scenario, end all faults, and wait for every caller."""
        callers = asyncio.create_task(self._load(length_s))
        loop = asyncio.get_running_loop()
        until = loop.time() + length_s
        while loop.time() < until:
            fault = self.rng.choice(self.faults)
            self._spawn(getattr(self, f"_{fault}")())
            await asyncio.sleep(self.rng.uniform(0.2, 1.2))
        await callers
        await asyncio.wait(self._tasks, timeout=40)
        self.world.request_faults = RequestFaults()
        await asyncio.sleep(8)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)

    def _record(self, text: str) -> None:
        self.events.append(f"{asyncio.get_running_loop().time():.2f} {text}")

    async def _load(self, length_s: float) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + length_s
        while loop.time() < until:
            self._spawn(self._submit(f"{self.rng.getrandbits(64):016x}"))
            await asyncio.sleep(self.rng.uniform(0.05, 0.3))

    async def _submit(self, id_: str) -> None:
        """Submit a job, and repeat it after a pause if it broke off, as callers do."""
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

    def _pick_host(self) -> str:
        """Draw a host, preferably an owner."""
        names = sorted(self.world.hosts)
        owners = [n for n in names if self.world.hosts[n].ownership.claims]
        return self.rng.choice(owners if owners and self.rng.random() < 0.6 else names)

    async def _roll(self) -> None:
        """Have a host leave as for an upgrade, and restart it."""
        name = self._pick_host()
        self._record(f"{name} leaves")
        self.world.hosts[name].leave()
        await asyncio.sleep(self.rng.uniform(0.3, 3.0))
        await self._restart(name)

    async def _kill(self) -> None:
        name = self._pick_host()
        await self._restart(name)

    async def _restart(self, name: str) -> None:
        if name not in self.world.hosts:
            return
        self._record(f"{name} is killed")
        self.world.kill(name)
        await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        if name in self.world.hosts:
            return
        self._record(f"{name} starts")
        host = self.world.start_host(name, listed=False)
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        if self.world.hosts.get(name) is host:
            self.world.send_runner_list(host)

    async def _partition(self) -> None:
        """Partition a data centre from the others for a while."""
        dc = self.rng.choice(sorted(self.world.dcs))
        others = [other for other in self.world.dcs if other != dc]
        self._record(f"{dc} is partitioned")
        for other in others:
            self.world.cut_off(dc, other)
        await asyncio.sleep(self.rng.uniform(0.5, 6.0))
        self._record(f"{dc} is connected again")
        for other in others:
            self.world.cut.discard(frozenset((dc, other)))

    async def _omit_runners(self) -> None:
        """Omit some runners from the list of one host for a while."""
        name = self._pick_host()
        host = self.world.hosts[name]
        runners = sorted(self.world.models)
        gone = self.rng.sample(runners, self.rng.randint(1, len(runners) // 2))
        self._record(f"{name} gets a list without {gone}")
        self.world.send_runner_list(host, *gone)
        await asyncio.sleep(self.rng.uniform(0.2, 4.0))
        if self.world.hosts.get(name) is host:
            self._record(f"{name} gets the full list")
            self.world.send_runner_list(host)

    async def _join(self) -> None:
        """Start one more runner; hosts get the new list one after the other."""
        dc = self.rng.choice(sorted(self.world.dcs))
        self.world.join_runner(dc, f"{dc}-r{len(self.world.models)}")
        for name in sorted(self.world.hosts):
            await asyncio.sleep(self.rng.uniform(0.0, 0.4))
            if name in self.world.hosts:
                self.world.send_runner_list(self.world.hosts[name])

    async def _request_faults(self) -> None:
        """Lose some replies of runners, and deliver some requests to them late."""
        self._record("requests to runners fail or are delayed")
        self.world.request_faults = RequestFaults(lost_reply_share=0.1, late_share=0.1)
        await asyncio.sleep(self.rng.uniform(0.3, 2.0))
        self._record("requests to runners succeed again")
        self.world.request_faults = RequestFaults()

    async def _mute(self) -> None:
        """Lose the calls or the replies on the open connections between two hosts."""
        if len(self.world.hosts) < 2:
            return
        pair = frozenset(self.rng.sample(sorted(self.world.hosts), 2))
        kind = self.rng.choice((self.world.calls_lost, self.world.replies_lost))
        self._record(f"{sorted(pair)} lose calls or replies")
        kind.add(pair)
        await asyncio.sleep(self.rng.uniform(0.5, 4.0))
        kind.discard(pair)

    async def _pause(self) -> None:
        name = self._pick_host()
        host = self.world.hosts[name]
        self._record(f"{name} is paused")
        self.world.pause(name)
        await asyncio.sleep(self.rng.uniform(0.3, 4.0))
        if self.world.hosts.get(name) is host:
            self._record(f"{name} resumes")
            self.world.resume(name)

    async def _isolate(self) -> None:
        """Partition one host from everything for a while."""
        name = self._pick_host()
        pairs = {
            frozenset((name, other))
            for other in (*self.world.hosts, *self.world.models)
            if other != name
        } - self.world.cut
        self._record(f"{name} is isolated")
        self.world.cut |= pairs
        await asyncio.sleep(self.rng.uniform(0.5, 8.0))
        self._record(f"{name} is connected again")
        self.world.cut -= pairs


# The faults of each scenario, by its name; a failed check lists the events before it.
SCENARIOS = {
    "rolls": ("roll", "roll", "kill"),
    "cuts": ("partition", "kill", "roll"),
    "orders": ("request_faults", "roll", "kill", "mute"),
    "frozen": ("pause", "roll", "mute"),
    "joins": ("join", "kill", "roll"),
    "gaps": ("omit_runners", "kill", "roll"),
    "alone": ("isolate", "roll"),
    "all": (
        "roll",
        "kill",
        "partition",
        "omit_runners",
        "join",
        "request_faults",
        "mute",
        "pause",
    ),
}


def run_scenario(name: str, seed: int, length_s: float = 8.0) -> None:
    """Run a scenario and check it; a failure lists the events of the scenario."""

    async def main() -> None:
        world = World({"ibk": 3, "kuf": 2, "lnz": 2}, runners_per_dc=3, seed=seed)
        await world.start()
        await asyncio.sleep(3)
        scenario = FaultScenario(world, random.Random(seed), SCENARIOS[name])
        await scenario.run(length_s)
        try:
            world.check()
        except AssertionError as exc:
            raise AssertionError(f"{exc}\n" + "\n".join(scenario.events)) from exc

    run_virtual(main())


# Combinations of faults that no other test covers.
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
def test_random_faults_cause_no_overlapping_runs(name: str, seed: int) -> None:
    run_scenario(name, seed)


# Guards against overlapping runs of a lent task whose borrower takes over the share of
# the lender: the run goes on at this host, and no other owner is asked to stop it.
def test_a_borrower_that_takes_over_its_lender_s_share_adopts_the_lent_runs() -> None:
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
