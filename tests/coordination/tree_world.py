"""Entry hosts that share a log and a network, for tests of the settings tree."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from monsoongap.coordination.parts import HostIdentity, PeerInfo, PeerStatus
from monsoongap.coordination.tree import SettingsTree
from monsoongap.protocol.peer import PeerHandlers
from monsoongap.protocol.tree import STREAM, Change, Entry, Verdict
from monsoongap.settings import TreeSection
from monsoongap.standin.log_model import LogModel, LogShape
from monsoongap.timers import TimerService
from tests.fakes import FakeLog
from tests.fakes_peers import FakeNetwork

LATENCY_S = 0.0005


@dataclass(slots=True)
class Host:
    """One entry host's part that the tests look at."""

    name: str
    dc: str
    tree: SettingsTree
    log: FakeLog

    async def propose(self, change: Change) -> Verdict:
        return await self.tree.propose(change)


class _Directory:
    """The routing table as far as the settings tree reads it."""

    def __init__(self, world: "World", name: str) -> None:
        self._world = world
        self._name = name

    def peers(self) -> tuple[PeerInfo, ...]:
        hosts = (host for host in self._world.hosts.values() if host.name != self._name)
        return tuple(
            PeerInfo(host.name, host.dc, "", 1, PeerStatus.LIVE) for host in hosts
        )

    def peer(self, name: str) -> PeerInfo | None:
        return next((peer for peer in self.peers() if peer.name == name), None)


@dataclass(slots=True)
class World:
    """All hosts with the log and the network that they share."""

    cfg: TreeSection = field(default_factory=TreeSection)
    log_shape: LogShape = field(default_factory=LogShape)
    model: LogModel = field(init=False)
    network: FakeNetwork = field(default_factory=FakeNetwork)
    hosts: dict[str, Host] = field(default_factory=dict)
    timers: TimerService = field(default_factory=TimerService)
    boots: int = 0

    def __post_init__(self) -> None:
        self.model = LogModel(self.log_shape)

    def add(self, name: str, dc: str = "ibk", cut: bool = False) -> Host:
        """Start a host, or restart it with nothing kept."""
        self.boots += 1
        handlers = PeerHandlers()
        port = self.network.join(name, dc, handlers)
        log = FakeLog(self.model, LATENCY_S)
        log.cut = cut
        tree = SettingsTree(
            self.cfg,
            HostIdentity(name, dc, self.boots),
            log,
            port,
            handlers,
            _Directory(self, name),  # type: ignore[arg-type]
            self.timers,
        )
        self.hosts[name] = Host(name, dc, tree, log)
        tree.start()
        return self.hosts[name]

    def add_many(self, count: int, dcs: tuple[str, ...] = ("ibk",)) -> list[Host]:
        """Start `count` hosts spread over the data centres."""
        return [
            self.add(f"entry-{index:02}", dcs[index % len(dcs)])
            for index in range(count)
        ]

    async def stop(self, name: str) -> None:
        """End a host."""
        host = self.hosts.pop(name)
        await host.tree.close()
        self.network.kill(name)

    async def close(self) -> None:
        """End every host."""
        for name in list(self.hosts):
            await self.stop(name)

    def digests(self) -> set[tuple[int, str]]:
        """Return the distinct states of all hosts."""
        seen = (host.tree.digest() for host in self.hosts.values())
        return {(digest.offset, digest.digest) for digest in seen}

    def records(self) -> list[str]:
        """Return the records that the log keeps."""
        return [record.data for record in self.model.stored(STREAM)]


def change(
    number: int | str,
    subtree: str = "teams/bolts",
    base: int = 0,
    author: str = "anna",
    unset: tuple[str, ...] = (),
    **values: object,
) -> Change:
    """Return a change whose id is made of `number`."""
    entries = tuple(Entry(key, str(value)) for key, value in values.items())
    change_id = f"change-{number}"
    return Change(change_id, author, subtree, base, entries, unset)


async def wait_until(condition: Callable[[], bool], bound_s: float) -> float:
    """Return after how many seconds `condition` holds; fails after `bound_s`."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    while not condition():
        assert loop.time() - started < bound_s, f"not within {bound_s} s"
        await asyncio.sleep(0.01)
    return loop.time() - started
