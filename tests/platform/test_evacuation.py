"""Evacuations of a data centre under load and faults, from the store to the runners.

The load is small jobs at every host. The ledger of the runners tells what was started.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

import msgspec
import pytest

from monsoongap.errors import AnswerKind
from monsoongap.platform.feeds import Feeds
from monsoongap.protocol.messages import (
    FindCall,
    Job,
    JobReply,
    LendCall,
    Resources,
    Step,
)
from monsoongap.settings import BoundsSection
from monsoongap.standin.runner_model import TaskPlan
from tests.coordination.test_host import run_virtual
from tests.host_world import QUEUE, World
from tests.platform.test_silent_outage import put_runner
from tests.store_world import ModelStore, open_feed

BOUNDS = BoundsSection(evac_ms=5000)
LIMIT_S = BOUNDS.evac_s
RUNNERS = 3
# Longer than any fault, and its end, takes to be over.
SETTLED_S = 6.0
JOB = "ab" * 8


@dataclass(slots=True)
class Site:
    """Three data centres with hosts that follow the store."""

    world: World
    store: ModelStore = field(default_factory=ModelStore)
    feeds: dict[str, Feeds] = field(default_factory=dict)
    calls: list[asyncio.Task[JobReply]] = field(default_factory=list)
    _jobs: int = 0

    async def start(self) -> None:
        await self.world.start()
        for dc in self.world.dcs:
            for i in range(RUNNERS):
                put_runner(self.store, self.world, f"{dc}-r{i}", "ready")
        self.store.put_config(replace(self.world.config, version=5))
        for name in self.world.hosts:
            self.follow_store(name)
        # Longer than previous owners are in doubt.
        await asyncio.sleep(6.0)

    def follow_store(self, name: str) -> None:
        host = self.world.hosts[name]
        self.feeds[name] = open_feed(self.world, self.store, BOUNDS, name, host)

    async def restart(self, name: str) -> None:
        """Kill a host, and start it without any state."""
        self.feeds[name].close()
        self.world.kill(name)
        await asyncio.sleep(0.3)
        self.world.start_host(name, listed=False)
        self.follow_store(name)

    def evacuate(self, *dcs: str) -> float:
        for dc in dcs:
            self.store.server.topic("keyed.op").append(f"evacuate/{dc}", b"{}")
        return now()

    async def evacuate_after(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        self.evacuate("a")

    def end(self, dc: str) -> float:
        self.store.server.topic("keyed.op").append(f"evacuate/{dc}", b"")
        return now()

    async def load(self, seconds: float, work_ms: float = 40.0) -> None:
        until = now() + seconds
        while now() < until:
            self._jobs += 1
            names = sorted(self.world.hosts)
            name = names[self._jobs % len(names)]
            job = self.world.submit(name, f"{self._jobs:016x}", 2, work_ms)
            self.calls.append(asyncio.create_task(job))
            await asyncio.sleep(0.02)

    def hosts_of(self, dc: str) -> list[str]:
        """Return the hosts of a data centre, the owner first."""
        owner = self.world.owner(dc)
        names = sorted(n for n in self.world.hosts if n.startswith(dc))
        return [owner, *(n for n in names if n != owner)]

    def starts(self, dc: str, since: float, until: float = float("inf")) -> int:
        """Return the number of runs that began in a data centre."""
        own = [e for e in self.world.ledger if e.runner.startswith(f"{dc}-")]
        return sum(since <= entry.began_at < until for entry in own)

    def outcomes(self) -> set[AnswerKind]:
        return {r.kind for replies in self.world.replies.values() for r in replies}


def now() -> float:
    return asyncio.get_running_loop().time()


def run_on_site(test: Callable[[Site], Awaitable[None]]) -> None:
    async def main() -> None:
        site = Site(World({"a": 3, "b": 2, "c": 2}, 0, evac_ms=BOUNDS.evac_ms))
        await site.start()
        await test(site)
        await asyncio.sleep(SETTLED_S)
        site.world.check()

    run_virtual(main())


# Faults that begin 0.5 s before the evacuation of "a", which lasts 20 s.


async def no_fault(site: Site) -> None:
    pass


async def only_one_host_is_served(site: Site) -> None:
    site.store.turned_away |= set(site.world.hosts) - {"c-h1"}


async def hosts_restart_during_an_outage(site: Site) -> None:
    await asyncio.sleep(1.5)
    site.store.silent = True
    for name in site.hosts_of("a"):
        await site.restart(name)
        await asyncio.sleep(2.0)
    await asyncio.sleep(5.0)
    # Other hosts told them the configuration, the runners and the evacuation.
    assert all(site.world.hosts[name].ready for name in site.hosts_of("a"))
    site.store.silent = False


async def the_end_is_written_before_an_outage_ends(site: Site) -> None:
    await asyncio.sleep(12.0)
    site.store.silent = True
    await asyncio.sleep(10.0)
    site.store.silent = False


async def the_owner_leaves(site: Site) -> None:
    await asyncio.sleep(0.49)
    site.world.hosts[site.world.owner("a")].leave()


async def the_owner_is_killed(site: Site) -> None:
    await asyncio.sleep(0.7)
    await site.restart(site.world.owner("a"))


async def the_owner_is_paused(site: Site) -> None:
    owner = site.world.owner("a")
    site.world.pause(owner)
    await asyncio.sleep(7.0)
    site.world.resume(owner)


async def every_host_is_paused_over_the_end(site: Site) -> None:
    await asyncio.sleep(18.0)
    names = list(site.world.hosts)
    for name in names:
        site.world.pause(name)
    await asyncio.sleep(5.0)
    # The records are gone: a host finds the end only by the key that is missing.
    site.store.server.topic("keyed.op").expire()
    for name in names:
        site.world.resume(name)


async def the_data_centre_is_cut_off(site: Site) -> None:
    for other in ("b", "c", "store"):
        site.world.cut_off("a", other)
    await asyncio.sleep(4.0)
    site.world.cut.clear()


FAULTS = (
    no_fault,
    only_one_host_is_served,
    hosts_restart_during_an_outage,
    the_end_is_written_before_an_outage_ends,
    the_owner_leaves,
    the_owner_is_killed,
    the_owner_is_paused,
    every_host_is_paused_over_the_end,
    the_data_centre_is_cut_off,
)


# Guards against hosts that start tasks by a state that they should know to be replaced,
# and against those that go on without the data centre when it is back.
@pytest.mark.parametrize("fault", FAULTS)
def test_nothing_starts_in_an_evacuated_data_centre(
    fault: Callable[[Site], Awaitable[None]],
) -> None:
    async def test(site: Site) -> None:
        load = asyncio.create_task(site.load(35.0))
        await asyncio.sleep(1.0)
        trouble = asyncio.create_task(fault(site))
        await asyncio.sleep(0.5)
        begun_at = site.evacuate("a")
        await asyncio.sleep(20.0)
        ended_at = site.end("a")
        await asyncio.gather(load, trouble, *site.calls)
        in_touch_at = begun_at + (3.5 if fault is the_data_centre_is_cut_off else 0.0)
        assert site.starts("a", 0.0, begun_at) > 0
        assert site.starts("a", in_touch_at + LIMIT_S, ended_at) == 0
        assert site.starts("a", ended_at + LIMIT_S + SETTLED_S) > 0
        if fault in (no_fault, only_one_host_is_served):
            assert site.outcomes() == {AnswerKind.COMPLETED}
            # In touch, a change takes a heartbeat instead of the whole limit.
            assert site.starts("a", begun_at + 1.0, ended_at) == 0

    run_on_site(test)


# Jobs of an evacuated data centre must not depend on what its owner can borrow.
def test_new_jobs_are_submitted_to_all_other_data_centres_without_lending() -> None:
    async def test(site: Site) -> None:
        begun_at = site.evacuate("a")
        await asyncio.sleep(1.0)
        site.world.call_types_lost.add(LendCall)
        await site.load(4.0)
        await asyncio.gather(*site.calls)
        assert site.outcomes() == {AnswerKind.COMPLETED}
        assert site.starts("a", begun_at) == 0
        shares = [site.starts(dc, begun_at) for dc in "bc"]
        assert min(shares) > 0.8 * max(shares)
        assert all(site.world.hosts[name].ready for name in site.hosts_of("a"))

    run_on_site(test)


# A host without a share hears owners elsewhere only each 2 s. In a soak, such hosts
# refused jobs for 2.6 s, as no owner elsewhere was known.
def test_a_host_that_hears_no_owner_elsewhere_finds_them_at_once() -> None:
    async def test(site: Site) -> None:
        entry = site.hosts_of("a")[1]
        lost = {(name, entry) for name in site.hosts_of("b") + site.hosts_of("c")}
        site.world.heartbeats_lost |= lost
        await site.restart(entry)
        # Longer than the others take it for live without a heartbeat.
        await asyncio.sleep(7.3)
        site.evacuate("a")
        site.world.heartbeats_lost -= lost
        await asyncio.sleep(0.1)
        site.world.call_types_lost.add(LendCall)
        calls = []
        for i in range(40):
            calls.append(asyncio.create_task(site.world.submit(entry, f"{i:016x}")))
            await asyncio.sleep(0.05)
        await asyncio.gather(*calls)
        assert site.outcomes() == {AnswerKind.COMPLETED}

    run_on_site(test)


# A repetition goes to another data centre than the job, which is in progress.
@pytest.mark.parametrize("ends_again", [False, True])
def test_a_repeated_submission_joins_the_job_that_is_in_progress(
    ends_again: bool,
) -> None:
    async def test(site: Site) -> None:
        owner, entry = site.hosts_of("a")[:2]
        if ends_again:
            site.evacuate("a")
            await asyncio.sleep(1.0)
        first = asyncio.create_task(site.world.submit(entry, JOB, 3, 4000.0))
        await asyncio.sleep(1.0)
        if ends_again:
            site.end("a")
        else:
            site.evacuate("a")
        await asyncio.sleep(1.0)
        again = await site.world.submit(entry, JOB, 3, 4000.0)
        assert {again.kind, (await first).kind} == {AnswerKind.COMPLETED}
        assert len(site.world.ledger) == 3
        assert site.world.calls_delivered[FindCall] == 0

    run_on_site(test)


# Tasks of a job that waits when the evacuation begins are lent to other owners.
def test_waiting_tasks_run_elsewhere_while_runs_end_normally() -> None:
    async def test(site: Site) -> None:
        entry = site.hosts_of("a")[1]
        cores = 4 * RUNNERS
        await asyncio.gather(
            site.world.submit(site.hosts_of("b")[0], "b" * 16, cores, 1000.0),
            site.world.submit(site.hosts_of("c")[0], "c" * 16, cores, 1000.0),
            site.world.submit(entry, JOB, 2 * cores, 1500.0),
            site.evacuate_after(0.3),
        )
        assert site.outcomes() == {AnswerKind.COMPLETED}
        assert {e.how for e in site.world.ledger} == {"done"}
        assert site.starts("a", 0.0) == cores

    run_on_site(test)


# Runs of a lost owner must be adopted by the next one, and not begun elsewhere.
@pytest.mark.parametrize("leaves", [False, True])
def test_a_job_stays_with_its_runs_when_their_owner_is_lost(leaves: bool) -> None:
    async def test(site: Site) -> None:
        owner, entry = site.hosts_of("a")[:2]
        first = asyncio.create_task(site.world.submit(entry, JOB, 3, 3000.0))
        await asyncio.sleep(0.5)
        site.evacuate("a")
        await asyncio.sleep(0.2)
        if leaves:
            site.world.hosts[owner].leave()
        else:
            await site.restart(owner)
        assert (await first).kind is AnswerKind.COMPLETED
        assert [entry.how for entry in site.world.ledger] == ["done"] * 3

    run_on_site(test)


# The borrower counts on room that was advertised before the evacuation.
def test_a_lender_in_the_evacuated_data_centre_starts_nothing() -> None:
    async def test(site: Site) -> None:
        lender, borrower = site.hosts_of("a")[0], site.hosts_of("b")[0]
        await asyncio.sleep(1.0)
        site.world.heartbeats_lost.add((lender, borrower))
        site.evacuate("a")
        await asyncio.sleep(0.1)
        reply = await site.world.submit(borrower, JOB, 8 * RUNNERS + 2, 200.0)
        assert reply.kind is AnswerKind.COMPLETED
        assert site.world.calls_delivered[LendCall] > 4 * RUNNERS
        assert site.starts("a", 0.0) == 0

    run_on_site(test)


# Guards against one that ends another, and against a state that goes back.
def test_evacuations_overlap_and_one_is_set_again() -> None:
    async def test(site: Site) -> None:
        load = asyncio.create_task(site.load(32.0, 20.0))
        begun_at = site.evacuate("a")
        await asyncio.sleep(6.0)
        b_begun_at = site.evacuate("b")
        await asyncio.sleep(6.0)
        a_ended_at = site.end("a")
        await asyncio.sleep(6.0)
        a_again_at = site.evacuate("a")
        await asyncio.sleep(6.0)
        b_ended_at = site.end("b")
        await load
        await asyncio.gather(*site.calls)
        assert site.starts("a", begun_at + LIMIT_S, a_ended_at) == 0
        assert site.starts("b", b_begun_at + LIMIT_S, b_ended_at) == 0
        assert site.starts("a", a_ended_at, a_again_at) > 0
        assert site.starts("a", a_again_at + LIMIT_S) == 0
        assert site.starts("b", b_ended_at) > 0
        assert site.outcomes() == {AnswerKind.COMPLETED}

    run_on_site(test)


# A start that was placed in time was sent when its connection was open at last.
def test_a_start_that_waits_for_a_connection_is_withheld() -> None:
    async def test(site: Site) -> None:
        owner, entry = site.hosts_of("a")[:2]
        site.world.connect_s[owner] = 0.8
        first = asyncio.create_task(site.world.submit(entry, JOB, 2, 50.0))
        await asyncio.sleep(0.2)
        site.evacuate("a")
        assert (await first).kind is AnswerKind.COMPLETED
        assert site.starts("a", 0.0) == 0
        counts = site.world.hosts[owner].directory.evacuation.counts
        assert counts.starts_withheld == 2

    run_on_site(test)


# An owner that woke placed the tasks of lapsed runs again by the state of before.
def test_an_owner_that_wakes_waits_for_its_state_to_be_confirmed() -> None:
    async def test(site: Site) -> None:
        owner = site.world.owner("a")
        for name in site.hosts_of("a")[1:]:
            site.feeds[name].close()
            site.world.kill(name)
        payload = msgspec.json.encode(TaskPlan(3000.0)).decode()
        job = Job(JOB, QUEUE, payload, (Step(1, Resources(1000, 64), 3.0),))
        first = asyncio.create_task(site.world.hosts[owner].submit(job, 30.0))
        await asyncio.sleep(0.5)
        site.world.pause(owner)
        # The first that it reads after the pause are heartbeats, and not at once.
        lost = {(name, owner) for name in site.world.hosts}
        site.world.heartbeats_lost |= lost
        site.store.silence_connections()
        begun_at = site.evacuate("a")
        await asyncio.sleep(LIMIT_S + 1.0)
        site.world.resume(owner)
        host = site.world.hosts[owner]
        # The list of runners comes from another host.
        host.set_runners(host.directory.runners, now())
        await asyncio.sleep(0.2)
        site.world.heartbeats_lost -= lost
        assert (await first).kind is AnswerKind.COMPLETED
        assert site.starts("a", begun_at) == 0

    run_on_site(test)


# Without a host that may start a task, a job must not wait for its deadline.
def test_a_job_is_refused_at_once_if_all_data_centres_are_evacuated() -> None:
    async def test(site: Site) -> None:
        running = asyncio.create_task(
            site.world.submit(site.hosts_of("a")[1], "c" * 16, 1, 5000.0)
        )
        await asyncio.sleep(0.2)
        site.evacuate("a", "b", "c")
        await asyncio.sleep(1.0)
        asked_at = now()
        for dc in "abc":
            reply = await site.world.submit(site.hosts_of(dc)[1], dc * 15 + "0", 2)
            assert reply.kind is AnswerKind.REFUSED
            assert site.world.hosts[site.hosts_of(dc)[1]].ready
        assert now() - asked_at < 0.1
        # A job in progress is joined and not refused.
        again = await site.world.submit(site.hosts_of("b")[0], "c" * 16, 1, 5000.0)
        assert (again.kind, (await running).kind) == (AnswerKind.COMPLETED,) * 2
        assert len(site.world.ledger) == 1

    run_on_site(test)


# Without the state, a host that has just started could start tasks anywhere.
def test_a_host_without_the_state_starts_nothing_and_is_not_ready() -> None:
    async def main() -> None:
        world = World({"a": 2}, evac_ms=5000)
        await world.start()
        assert not any(host.ready for host in world.hosts.values())
        reply = await world.submit("a-h0", JOB)
        assert (reply.kind, world.ledger) == (AnswerKind.REFUSED, [])
        world.hosts["a-h1"].directory.evacuation.accept((), 0)
        await asyncio.sleep(1.0)
        assert all(host.ready for host in world.hosts.values())
        assert (await world.submit("a-h0", "c" * 16)).kind is AnswerKind.COMPLETED
        world.check()

    run_virtual(main())
