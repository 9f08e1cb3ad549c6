"""Tests of membership on virtual time: several hosts, faults between them."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import replace
from random import Random
from typing import Any

import pytest

from monsoongap.coordination.host_list import HostListWatch
from monsoongap.coordination.membership import Membership
from monsoongap.coordination.membership_messages import NEWS, News, WorkerLeaving
from monsoongap.coordination.parts import (
    DrainState,
    HostIdentity,
    PeerStatus,
    WorkerStatus,
)
from monsoongap.errors import LogUnavailable, WorkerUnreachable
from monsoongap.protocol.messages import HostEntry, HostList, HostRole, WorkerUsage
from monsoongap.protocol.peer import PeerHandlers
from monsoongap.settings import EntrySettings, HostSection, ListenSection, PeersSection
from monsoongap.timers import TimerService
from tests.clock import run_virtual
from tests.fakes_peers import FakeNetwork

# A worker that is leaving gets no new start after 3 s. The list takes up to 2.4 s to
# reach the first host; news then reach the others at once, or by heartbeat.
NEWS_LOST_S = 2.0
LIST_LAG_S = 10.0


class World:
    """Hosts, workers and one host list per host, so that lists can lag."""

    def __init__(self, hosts: dict[str, str], workers: int = 4) -> None:
        """Take the data centre of each host; each has `workers` workers."""
        self.network = FakeNetwork()
        self.nodes: dict[str, Membership] = {}
        self.drains: dict[str, DrainState] = {}
        self.timers: dict[str, TimerService] = {}
        self.changes: dict[str, list[float]] = {}
        self.dcs = hosts
        self.boots = dict.fromkeys(hosts, 1)
        self.usages: dict[str, WorkerUsage] = {}
        entries = [_entry(name, HostRole.ENTRY, dc) for name, dc in hosts.items()]
        for dc in sorted(set(hosts.values())):
            for number in range(workers):
                name = f"{dc}-w{number}"
                entries.append(_entry(name, HostRole.WORKER, dc))
                self.usages[name] = WorkerUsage(name, 1, 0, 8, 0, 16, 32_000)
        self.truth = HostList(1, tuple(entries))
        self.lists: dict[str, HostList | None] = dict.fromkeys(hosts, self.truth)

    def publish(
        self, change: Callable[[HostEntry], HostEntry | None], *at: str
    ) -> None:
        """Change the true list; only the hosts `at` see it, all when none."""
        kept = (change(entry) for entry in self.truth.hosts)
        hosts = tuple(entry for entry in kept if entry is not None)
        self.truth = HostList(self.truth.version + 1, hosts)
        self.lists.update(dict.fromkeys(at or self.lists, self.truth))

    async def start(self, *names: str, **peers: Any) -> None:
        """Start hosts, anew with a higher boot when they had run before."""
        for name in names or tuple(self.dcs):
            await self._start_one(name, PeersSection(**peers))

    async def _start_one(self, name: str, section: PeersSection) -> None:
        handlers, drain, timers = PeerHandlers(), DrainState(), TimerService()
        cfg = EntrySettings(
            HostSection(name, self.dcs[name]),
            ListenSection(peer=_address(name)),
            peers=section,
        )
        identity = HostIdentity(name, self.dcs[name], self.boots[name])
        link = self.network.join(name, self.dcs[name], handlers)
        node = Membership(
            cfg, identity, _List(self, name), link, handlers, drain, timers
        )
        node.use_probe(self.probe)
        self.nodes[name], self.drains[name], self.timers[name] = node, drain, timers
        await node.start()

    async def probe(self, worker: str) -> WorkerUsage:
        """Answer for a worker; one without usage is dead."""
        await asyncio.sleep(0.001)
        if worker not in self.usages:
            raise WorkerUnreachable(worker)
        return self.usages[worker]

    def kill(self, name: str) -> None:
        """Stop a host's process."""
        self.network.kill(name)
        self.nodes.pop(name).stop()
        self.timers[name].close()
        self.boots[name] += 1

    def peer(self, at: str, name: str) -> PeerStatus:
        """Return what `at` thinks of the host `name`."""
        info = self.nodes[at].peer(name)
        assert info is not None
        return info.status

    def worker(self, at: str, name: str) -> WorkerStatus | None:
        """Return what `at` thinks of a worker, None when it is not listed."""
        info = self.nodes[at].worker(name)
        return info.status if info is not None else None

    def seen(self, worker: str) -> set[WorkerStatus | None]:
        """Return what all running hosts of the worker's data centre think."""
        dc = worker.split("-")[0]
        return {self.worker(at, worker) for at in self.nodes if self.dcs[at] == dc}


class _List:
    """The host list as one host sees it; None is an outage."""

    def __init__(self, world: World, name: str) -> None:
        self._world = world
        self._name = name

    async def fetch(self) -> HostList:
        """Return the host's list."""
        listed = self._world.lists[self._name]
        if listed is None:
            raise LogUnavailable("host list is out")
        return listed


def _entry(name: str, role: HostRole, dc: str) -> HostEntry:
    return HostEntry(name, role, dc, _address(name), slots=8, cpus=16, memory_mb=32_000)


def _address(name: str) -> str:
    return f"127.0.0.1:{sum(name.encode()) + 1000}"


def _mark_leaving(*names: str, leaving: bool = True) -> Callable[..., HostEntry]:
    return lambda one: replace(one, leaving=leaving) if one.name in names else one


def _drop(*names: str) -> Callable[[HostEntry], HostEntry | None]:
    return lambda one: None if one.name in names else one


IBK = {"a": "ibk", "b": "ibk", "c": "ibk"}
TWO_DCS = {**IBK, "k": "kuf", "l": "kuf", "m": "kuf"}
FOUR_DCS = {
    f"{dc}{number}": dc for dc in ("ibk", "kuf", "lnz", "ldk") for number in range(6)
}


def virtual(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """Run a coroutine test on a fresh virtual loop."""

    def run(**arguments: Any) -> None:
        run_virtual(test(**arguments))

    run.__doc__ = test.__doc__
    run.__name__ = test.__name__
    return run


@virtual
async def test_hosts_meet_and_notice_a_death_a_cut_and_a_new_boot() -> None:
    world = World(IBK)
    await world.start()
    await asyncio.sleep(3)
    assert {world.peer(x, y) for x in IBK for y in IBK if x != y} == {PeerStatus.LIVE}
    boots: list[int] = []
    world.nodes["a"].subscribe(lambda: boots.append(world.nodes["a"].peer("b").boot))
    world.kill("b")
    await asyncio.sleep(3)
    assert world.peer("a", "b") is world.peer("c", "b") is PeerStatus.SUSPECT
    await world.start("b")
    await asyncio.sleep(3)
    assert world.peer("a", "b") is PeerStatus.LIVE
    assert boots[-1] == 2, "a new boot is told to subscribers"
    world.network.cut("a", "b")
    await asyncio.sleep(3)
    assert world.peer("a", "b") is world.peer("b", "a") is PeerStatus.SUSPECT
    world.network.heal("a", "b")
    await asyncio.sleep(3)
    assert world.peer("a", "b") is world.peer("b", "a") is PeerStatus.LIVE
    # One stream per pair, whatever happened before.
    assert sum(len(node._beats._served) for node in world.nodes.values()) == 3


@virtual
async def test_a_message_of_an_older_boot_is_ignored() -> None:
    world = World(IBK)
    world.boots["b"] = 5
    await world.start()
    await asyncio.sleep(2)
    late = News("b", 4, True, (WorkerLeaving("ibk-w0"),))
    await world.network._ports["c"].call("a", NEWS, late, 1.0)
    assert world.peer("a", "b") is PeerStatus.LIVE
    assert world.worker("a", "ibk-w0") is WorkerStatus.LIVE
    world.boots["b"] = 3  # a process of the past comes back to life
    await world.start("b")
    world.nodes["b"].report_draining("ibk-w0")
    await asyncio.sleep(25)
    assert world.peer("a", "b") is PeerStatus.SUSPECT
    assert world.worker("a", "ibk-w0") is WorkerStatus.LIVE
    # The newer one stays silent: the clock of the host was put back.
    await asyncio.sleep(10)
    assert world.peer("a", "b") is PeerStatus.LIVE


async def _learned_from_list(world: World) -> None:
    world.publish(_mark_leaving("ibk-w0"), "b")


async def _learned_from_refusal(world: World) -> None:
    world.nodes["b"].report_draining("ibk-w0")


async def _learned_from_usage(world: World) -> None:
    world.nodes["b"].observe_usage(world.usages["ibk-w0"])


async def _while_news_are_lost(world: World) -> None:
    for host in "ac":
        world.network.lose_replies(host, NEWS.name)
    world.network.cut("a", "b")
    world.nodes["b"].report_draining("ibk-w0")
    await asyncio.sleep(0.5)
    world.network.heal("a", "b")


@pytest.mark.parametrize(
    "learn",
    [
        _learned_from_list,
        _learned_from_refusal,
        _learned_from_usage,
        _while_news_are_lost,
    ],
)
def test_a_leaving_worker_is_known_in_the_data_centre_while_lists_lag(
    learn: Callable[[World], Coroutine[Any, Any, None]],
) -> None:
    async def main() -> None:
        world = World(TWO_DCS)
        await world.start()
        await asyncio.sleep(3)
        world.usages["ibk-w0"] = replace(world.usages["ibk-w0"], draining=True)
        learned = asyncio.Event()
        world.nodes["b"].subscribe(learned.set)
        await learn(world)
        await learned.wait()
        await asyncio.sleep(NEWS_LOST_S if learn is _while_news_are_lost else 0.1)
        for _ in range(int(LIST_LAG_S)):
            assert world.seen("ibk-w0") == {WorkerStatus.LEAVING}
            await asyncio.sleep(1)
        world.publish(_mark_leaving("ibk-w0"))
        await asyncio.sleep(60)
        assert world.seen("ibk-w0") == {WorkerStatus.LEAVING}
        assert world.seen("ibk-w1") == {WorkerStatus.LIVE}
        # It restarts: a new boot ends it, also while the list lags behind.
        world.usages["ibk-w0"] = replace(world.usages["ibk-w0"], boot=2, draining=False)
        world.publish(_mark_leaving("ibk-w0", leaving=False))
        await asyncio.sleep(10)
        assert world.seen("ibk-w0") == {WorkerStatus.LIVE}
        assert not any(node.status().leaving_news for node in world.nodes.values())

    run_virtual(main())


@virtual
async def test_a_false_report_of_leaving_ends_and_does_not_come_back() -> None:
    world = World(IBK)
    await world.start()
    await asyncio.sleep(3)
    world.nodes["b"].report_draining("ibk-w0")
    await asyncio.sleep(1)
    assert world.seen("ibk-w0") == {WorkerStatus.LEAVING}
    await asyncio.sleep(64)
    for _ in range(200):
        assert world.seen("ibk-w0") == {WorkerStatus.LIVE}
        await asyncio.sleep(1)


@virtual
async def test_a_restarted_worker_takes_starts_before_the_list_says_so() -> None:
    world = World(IBK)
    await world.start()
    await asyncio.sleep(3)
    world.nodes["a"].report_draining("ibk-w0", boot=1)
    await asyncio.sleep(0.1)
    assert world.seen("ibk-w0") == {WorkerStatus.LEAVING}
    world.usages["ibk-w0"] = replace(world.usages["ibk-w0"], boot=2)
    await asyncio.sleep(6)
    assert world.seen("ibk-w0") == {WorkerStatus.LIVE}


@pytest.mark.parametrize("fault", ["empty", "out", "older", "shrunk"])
def test_a_faulty_list_does_not_empty_the_routing_table(fault: str) -> None:
    async def main() -> None:
        world = World(TWO_DCS, workers=20)
        world.publish(lambda one: one)
        await world.start()
        await asyncio.sleep(3)
        gone = [f"ibk-w{number}" for number in range(2, 20)] + ["b", "k"]
        shrunk = HostList(9, tuple(x for x in world.truth.hosts if x.name not in gone))
        older = HostList(0, shrunk.hosts)
        faults = {
            "empty": HostList(9, ()),
            "out": None,
            "older": older,
            "shrunk": shrunk,
        }
        world.lists = dict.fromkeys(world.lists, faults[fault])
        del world.usages["ibk-w19"]  # one that is missing is dead indeed
        for _ in range(25):
            await asyncio.sleep(1)
            live = [one for one in world.nodes["a"].workers() if one.name != "ibk-w19"]
            assert len(live) == 19
            assert {one.status for one in live} == {WorkerStatus.LIVE}
            assert world.peer("a", "b") is world.peer("a", "k") is PeerStatus.LIVE
        expected = None if fault == "shrunk" else WorkerStatus.LIVE
        assert world.worker("a", "ibk-w19") is expected

    run_virtual(main())


@virtual
async def test_many_workers_that_vanish_are_removed_a_few_per_refresh() -> None:
    world = World(IBK, workers=40)
    await world.start()
    dead = [f"ibk-w{number}" for number in range(30)]
    for name in dead:
        del world.usages[name]
    world.publish(_drop(*dead))
    sizes = []
    for _ in range(60):
        await asyncio.sleep(1)
        sizes.append(len(world.nodes["a"].workers()))
    assert sizes[-1] == 10
    assert max(a - b for a, b in zip(sizes, sizes[1:], strict=False)) <= 4


@virtual
async def test_a_platform_that_lost_its_version_is_believed_in_the_end() -> None:
    world = World(IBK)
    world.truth = HostList(50, world.truth.hosts)
    world.publish(lambda one: one)
    await world.start()
    world.truth = HostList(1, world.truth.hosts)
    world.publish(_mark_leaving("ibk-w0"))
    await asyncio.sleep(20)
    assert world.seen("ibk-w0") == {WorkerStatus.LIVE}
    await asyncio.sleep(20)
    assert world.seen("ibk-w0") == {WorkerStatus.LEAVING}


@pytest.mark.parametrize(("whole", "least", "most"), [(True, 2, 5), (False, 45, 55)])
def test_whole_lists_are_fetched_at_the_pace_that_their_bytes_allow(
    whole: bool, least: int, most: int
) -> None:
    async def main() -> None:
        entries = [_entry(f"w{n}", HostRole.WORKER, "kuf") for n in range(950)]
        world = World(IBK)
        world.lists["a"] = HostList(2, tuple(entries))
        fetches: list[HostList] = []

        class Port:
            async def fetch(self) -> HostList:
                listed = world.lists["a"]
                assert listed is not None
                fetches.append(replace(listed) if whole else listed)
                return fetches[-1]

        # 950 entries of 160 bytes at 4,000 bytes/s are one list in 38 s.
        watch = HostListWatch(
            PeersSection(), Port(), lambda _: None, TimerService(), Random(1)
        )
        polling = asyncio.create_task(watch.run())
        await asyncio.sleep(100)
        polling.cancel()
        assert least <= len(fetches) <= most

    run_virtual(main())


@virtual
async def test_many_workers_that_fall_silent_cost_few_looks_at_the_table() -> None:
    world = World(IBK, workers=890)
    await world.start()
    node = world.nodes["a"]
    looks: list[int] = []

    def look() -> None:
        looks.append(sum(one.status is WorkerStatus.SILENT for one in node.workers()))

    node.subscribe(look)
    await asyncio.sleep(1)
    looks.clear()
    names = [one.name for one in node.workers()]
    world.usages.clear()
    for name in names:
        node.report_silent(name)
        await asyncio.sleep(0.0005)
    await asyncio.sleep(0.1)
    assert looks[0] == 1, "the first change is told at once"
    assert looks[-1] == 890, "and the last one too"
    assert len(looks) <= 15


@virtual
async def test_a_fault_while_taking_a_list_does_not_end_the_polling() -> None:
    world = World(IBK)
    await world.start()
    world.lists["a"] = HostList(2, (None,))  # type: ignore[arg-type]
    await asyncio.sleep(5)
    world.publish(_mark_leaving("ibk-w0"))
    await asyncio.sleep(3)
    assert world.worker("a", "ibk-w0") is WorkerStatus.LEAVING


@virtual
async def test_a_silent_worker_gets_no_start_until_it_answers() -> None:
    world = World(IBK)
    await world.start()
    usage = world.usages.pop("ibk-w0")
    node = world.nodes["a"]
    node.report_silent("ibk-w0")
    assert world.worker("a", "ibk-w0") is WorkerStatus.SILENT
    assert world.worker("b", "ibk-w0") is WorkerStatus.LIVE, "each host sees for itself"
    await asyncio.sleep(30)
    assert world.worker("a", "ibk-w0") is WorkerStatus.SILENT
    world.usages["ibk-w0"] = usage
    await asyncio.sleep(6)
    assert world.worker("a", "ibk-w0") is WorkerStatus.LIVE
    node.report_silent("ibk-w0")
    node.report_alive("ibk-w0")
    assert world.worker("a", "ibk-w0") is WorkerStatus.LIVE


@virtual
async def test_a_fresh_host_starts_from_peers_with_the_platform_out() -> None:
    world = World({**TWO_DCS, "d": "ibk"})
    await world.start(*TWO_DCS)
    world.nodes["a"].report_draining("ibk-w0")
    await asyncio.sleep(2)
    world.lists = dict.fromkeys(world.lists)
    # It knows one host, of another data centre, and one that is dead.
    await world.start("d", bootstrap=("z=ibk=127.0.0.1:1", f"k=kuf={_address('k')}"))
    node = world.nodes["d"]
    assert node.ready
    assert [one.name for one in node.workers()] == [f"ibk-w{n}" for n in range(4)]
    assert world.worker("d", "ibk-w0") is WorkerStatus.LEAVING
    await asyncio.sleep(3)
    assert {world.peer("d", name) for name in TWO_DCS} == {PeerStatus.LIVE}
    assert {world.peer(name, "d") for name in TWO_DCS} == {PeerStatus.LIVE}
    assert node.address_of("m") == _address("m")


@virtual
async def test_a_fresh_host_without_any_answer_keeps_looking() -> None:
    world = World(IBK)
    world.lists["c"] = None
    await world.start("c", bootstrap=(f"a=ibk={_address('a')}",))
    assert not world.nodes["c"].ready
    await world.start("a", "b")
    await asyncio.sleep(3)
    assert world.nodes["c"].ready
    assert world.seen("ibk-w3") == {WorkerStatus.LIVE}


@virtual
async def test_a_data_centre_that_is_cut_off_serves_itself_and_heals() -> None:
    world = World(FOUR_DCS)
    await world.start()
    await asyncio.sleep(5)
    statuses = [world.peer(at, of) for at in FOUR_DCS for of in FOUR_DCS if at != of]
    assert set(statuses) == {PeerStatus.LIVE}
    # A full mesh in the data centre, a few hosts of each other one.
    followed = [node.status().followed for node in world.nodes.values()]
    assert max(followed) <= 5 + 3 * 2
    for dc in ("kuf", "lnz", "ldk"):
        world.network.cut("ibk", dc)
    for name in FOUR_DCS:
        if FOUR_DCS[name] == "ibk":
            world.lists[name] = None
    await asyncio.sleep(20)
    world.kill("kuf3")
    await world.start("kuf3")
    await asyncio.sleep(20)
    assert {world.peer("ibk0", f"ibk{n}") for n in range(1, 6)} == {PeerStatus.LIVE}
    assert {world.peer("ibk0", f"kuf{n}") for n in range(6)} == {PeerStatus.SUSPECT}
    assert {world.peer("lnz0", f"ibk{n}") for n in range(6)} == {PeerStatus.SUSPECT}
    assert len(world.nodes["ibk0"].workers()) == 4
    assert world.nodes["ibk0"].address_of("kuf0") is not None
    for dc in ("kuf", "lnz", "ldk"):
        world.network.heal("ibk", dc)
    await asyncio.sleep(6)
    statuses = [world.peer(at, of) for at in FOUR_DCS for of in FOUR_DCS if at != of]
    assert set(statuses) == {PeerStatus.LIVE}
    assert {
        node.peer("kuf3").boot for at, node in world.nodes.items() if at != "kuf3"
    } == {2}


@virtual
async def test_a_leaving_host_and_a_digest_reach_every_peer() -> None:
    world = World(FOUR_DCS)
    await world.start()
    heard: dict[str, bytes] = {}
    digest = [b"r1"]
    world.nodes["ibk0"].add_digest("tree", lambda: digest[0], lambda *_: None)
    world.nodes["ibk1"].add_digest("tree", lambda: 1 / 0, heard.__setitem__)
    await asyncio.sleep(5)
    assert heard == {"ibk0": b"r1"}
    digest[0] = b"r2"
    world.drains["ibk0"].begin()
    await asyncio.sleep(0.1)
    assert {world.peer(f"ibk{n}", "ibk0") for n in range(1, 6)} == {PeerStatus.LEAVING}
    told = {of for at, of, method in world.network.calls if method == NEWS.name}
    assert told & {"kuf0", "kuf1", "kuf2", "kuf3", "kuf4", "kuf5"}
    await asyncio.sleep(3)
    assert heard == {"ibk0": b"r2"}
    others = set(FOUR_DCS) - {"ibk0"}
    assert {world.peer(at, "ibk0") for at in others} == {PeerStatus.LEAVING}
