"""A few real homes over fakes of everything outside, on virtual time."""

import asyncio
import inspect
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

from monsoongap.coordination.home import Home
from monsoongap.coordination.node import Node, Ports
from monsoongap.coordination.parts import (
    DrainState,
    HostIdentity,
    PeerInfo,
    PeerStatus,
    Slot,
    SlotEnd,
    SlotResult,
    Ticket,
    WorkerInfo,
)
from monsoongap.coordination.watch import WatchedWorkers
from monsoongap.errors import DispatchError, ErrorKind
from monsoongap.protocol.messages import HostEntry, HostRole, JobRequest, TaskSpec
from monsoongap.protocol.peer import PeerHandlers
from monsoongap.settings import EntrySettings, HostSection
from monsoongap.standin.host_list_model import HostListModel
from monsoongap.standin.log_model import LogShape
from monsoongap.timers import TimerService
from tests.fakes import FakePlatform, worker_entry, worker_shapes
from tests.fakes_peers import FakeNetwork

SLOT_CREDIT_S = 2.0


class FakeDirectory:
    """A routing table that the test edits."""

    def __init__(self, workers: dict[str, int], dc: str) -> None:
        self.table = {
            name: WorkerInfo(name, "127.0.0.1:1", dc, slots, 64, 16.0, 32_768)
            for name, slots in workers.items()
        }
        self.hosts: dict[str, PeerInfo] = {}
        self.reports: Counter[tuple[str, str]] = Counter()
        self._changed: list[Callable[[], None]] = []

    def workers(self) -> tuple[WorkerInfo, ...]:
        return tuple(self.table[name] for name in sorted(self.table))

    def worker(self, name: str) -> WorkerInfo | None:
        return self.table.get(name)

    def peers(self) -> tuple[PeerInfo, ...]:
        return tuple(self.hosts[name] for name in sorted(self.hosts))

    def peer(self, name: str) -> PeerInfo | None:
        return self.hosts.get(name)

    def subscribe(self, changed: Callable[[], None]) -> None:
        self._changed.append(changed)

    def set_peer(self, peer: PeerInfo) -> None:
        self.hosts[peer.name] = peer
        for changed in self._changed:
            changed()

    def report_draining(self, worker: str) -> None:
        self.reports["draining", worker] += 1

    def report_silent(self, worker: str) -> None:
        self.reports["silent", worker] += 1

    def report_alive(self, worker: str) -> None:
        self.reports["alive", worker] += 1


class FakeSlots:
    """First come, first served over a fixed part of each worker's slots."""

    def __init__(self, directory: FakeDirectory, share: int) -> None:
        self._directory = directory
        self._share = share
        self._busy: Counter[str] = Counter()
        self._waiting: list[tuple[Ticket, asyncio.Future[Slot]]] = []
        self._serial = 0
        self.refuse_with: ErrorKind | None = None
        self.admitted = 0
        self.ends: Counter[SlotEnd] = Counter()

    def admit(self, req: JobRequest, deadline_at: float) -> None:
        if self.refuse_with is not None:
            raise DispatchError(self.refuse_with, "refused by the test")
        self.admitted += 1

    def withdraw(self, submission: str, team: str, tasks: int) -> None:
        self.admitted -= 1

    async def acquire(self, ticket: Ticket) -> Slot:
        fut: asyncio.Future[Slot] = asyncio.get_running_loop().create_future()
        self._waiting.append((ticket, fut))
        self._pump()
        try:
            return await fut
        except asyncio.CancelledError:
            if fut.done() and not fut.cancelled():
                self.release(fut.result(), ticket, SlotResult(SlotEnd.UNUSED))
            raise

    def release(self, slot: Slot, ticket: Ticket, result: SlotResult) -> None:
        self.ends[result.end] += 1
        self._busy[slot.worker] -= 1
        self._pump()

    def _pump(self) -> None:
        now = asyncio.get_running_loop().time()
        free = {
            info.name: info.slots // self._share - self._busy[info.name]
            for info in self._directory.workers()
        }
        for ticket, fut in tuple(self._waiting):
            if not any(count > 0 for count in free.values()):
                return
            best = min(
                free.keys() - ticket.avoid, key=lambda w: (-free[w], w), default=""
            )
            if fut.done() or free.get(best, 0) > 0:
                self._waiting.remove((ticket, fut))
            if not fut.done() and free.get(best, 0) > 0:
                free[best] -= 1
                self._busy[best] += 1
                self._serial += 1
                fut.set_result(Slot(self._serial, best, now + SLOT_CREDIT_S))


class Gate:
    """Passes calls to a port on, and holds them while its host is paused."""

    def __init__(self, port: Any, running: asyncio.Event) -> None:
        self._port = port
        self._running = running

    def __getattr__(self, name: str) -> Any:
        method = getattr(self._port, name)
        if not inspect.iscoroutinefunction(method):
            return method

        async def held(*args: Any) -> Any:
            await self._running.wait()
            try:
                result = await method(*args)
            finally:
                await self._running.wait()
            return result

        return held


class GatedLink(Gate):
    """A peer port whose heartbeat streams stand still with their host."""

    def on_stream(self, accept: Callable[[Any], Awaitable[None]]) -> None:
        self._port.on_stream(lambda stream: accept(Gate(stream, self._running)))

    async def open_stream(self, host: str) -> Gate:
        await self._running.wait()
        return Gate(await self._port.open_stream(host), self._running)


class GatedHandlers(PeerHandlers):
    """Handlers of a process that may be paused."""

    def __init__(self, running: asyncio.Event) -> None:
        super().__init__()
        self._running = running

    async def dispatch(self, name: str, body: bytes) -> bytes:
        await self._running.wait()
        try:
            return await super().dispatch(name, body)
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            # Ends with its process; the cancellation must not reach the caller.
            raise ConnectionResetError("the host was killed") from None
        finally:
            await self._running.wait()


class Host:
    """What every host on the fakes has: ports that a test can disturb."""

    home: Home

    def __init__(self, cluster: "Cluster", name: str, dc: str, boot: int) -> None:
        self.identity = HostIdentity(name, dc, boot)
        self.cluster = cluster
        self.running = asyncio.Event()
        self.running.set()
        self.handlers = GatedHandlers(self.running)
        self.peer_port = cluster.network.join(name, dc, self.handlers)
        self.workers = cluster.platforms[dc].workers_for(name)
        self.log = cluster.platform.log_for(name)
        self.timers = TimerService()

    def kill(self) -> None:
        """End the process with all that it knew."""
        self.cluster.network.kill(self.identity.name)
        self.cluster.hosts.pop(self.identity.name)
        self.close()

    def close(self) -> None:
        """Stop the parts."""
        raise NotImplementedError


class BareHost(Host):
    """A real home over simple slots and a routing table that the test edits."""

    def __init__(self, cluster: "Cluster", name: str, dc: str, boot: int) -> None:
        super().__init__(cluster, name, dc, boot)
        slots = {n: m.shape.slots for n, m in cluster.platforms[dc].models.items()}
        self.directory = FakeDirectory(slots, dc)
        self.slots = FakeSlots(self.directory, cluster.hosts_in(dc))
        self.drain = DrainState()
        self.watched = WatchedWorkers(
            cluster.cfg.workers,
            Gate(self.workers, self.running),
            self.directory,
            self.timers,
        )
        self.home = Home(
            cluster.cfg,
            self.identity,
            self.directory,
            self.slots,
            self.watched,
            Gate(self.log, self.running),
            Gate(self.peer_port, self.running),
            self.handlers,
            self.drain,
            self.timers,
        )
        self.watched.begin()
        self.home.start()

    def close(self) -> None:
        """Stop the parts; peers suspect the host at once."""
        self.home.close()
        self.watched.close()
        self.timers.close()
        self.cluster.tell(self.identity, PeerStatus.SUSPECT)


class WholeHost(Host):
    """A whole host as the daemon runs it: membership, settings, scheduler, home."""

    def __init__(self, cluster: "Cluster", name: str, dc: str, boot: int) -> None:
        super().__init__(cluster, name, dc, boot)
        cfg = replace(cluster.cfg, host=HostSection(name, dc))
        self.node = Node(
            cfg,
            self.identity,
            Ports(
                Gate(self.workers, self.running),
                Gate(self.log, self.running),
                Gate(cluster.platforms[dc].host_list_for(name), self.running),
                GatedLink(self.peer_port, self.running),
            ),
            self.handlers,
            self.timers,
        )
        self.home = self.node.home
        self._starting = asyncio.create_task(self.node.start())

    def close(self) -> None:
        """Stop the parts."""
        self._starting.cancel()
        self.cluster.keep(asyncio.create_task(self.node.close()))


class Cluster:
    """Hosts of some data centres over one log; workers per data centre."""

    def __init__(
        self,
        hosts: dict[str, str],
        workers: int = 3,
        cfg: EntrySettings | None = None,
        log_shape: LogShape | None = None,
        whole: bool = False,
    ) -> None:
        self.whole = whole
        self._closing: set[asyncio.Task[None]] = set()
        self.cfg = cfg or EntrySettings(host=HostSection("h1", "dc1"))
        self.network = FakeNetwork()
        self.layout = hosts
        self.platforms = {
            dc: FakePlatform(
                tuple(
                    replace(shape, name=f"{dc}-{shape.name}")
                    for shape in worker_shapes(workers)
                ),
                dc,
                log_shape=log_shape,
            )
            for dc in sorted(set(hosts.values()))
        }
        self.platform = next(iter(self.platforms.values()))
        for dc, platform in self.platforms.items():
            entries = [
                HostEntry(name, HostRole.ENTRY, at, f"127.0.0.1:{number}")
                for number, (name, at) in enumerate(hosts.items(), 9_000)
            ]
            workers_of = [worker_entry(m.shape, dc) for m in platform.models.values()]
            platform.host_list = HostListModel((*entries, *workers_of), 0.0)
        self.hosts: dict[str, Any] = {}
        for name, dc in hosts.items():
            self.boot(name, dc, 1)

    def hosts_in(self, dc: str) -> int:
        return sum(1 for other in self.layout.values() if other == dc)

    def boot(self, name: str, dc: str, boot: int) -> Any:
        """Start a process and introduce it to the others."""
        kind = WholeHost if self.whole else BareHost
        host = self.hosts[name] = kind(self, name, dc, boot)
        self.tell(host.identity, PeerStatus.LIVE)
        for other in self.hosts.values():
            if other is not host and isinstance(host, BareHost):
                host.directory.set_peer(self.info(other.identity, PeerStatus.LIVE))
        return host

    def info(self, identity: HostIdentity, status: PeerStatus) -> PeerInfo:
        return PeerInfo(
            identity.name, identity.dc, "127.0.0.1:1", identity.boot, status
        )

    def tell(self, identity: HostIdentity, status: PeerStatus) -> None:
        """Set what other hosts believe of one host; whole ones see for themselves."""
        for host in self.hosts.values():
            bare = isinstance(host, BareHost)
            if bare and host.identity.name != identity.name:
                host.directory.set_peer(self.info(identity, status))

    def starts(self, submission: str) -> int:
        return sum(p.ledger.starts(submission) for p in self.platforms.values())

    def duplicates(self) -> tuple[str, ...]:
        return tuple(t for p in self.platforms.values() for t in p.ledger.duplicates())

    def keep(self, task: asyncio.Task[None]) -> None:
        """Keep a task until the cluster is closed."""
        self._closing.add(task)

    async def close(self) -> None:
        for host in tuple(self.hosts.values()):
            host.kill()
        await asyncio.gather(*self._closing)
        for platform in self.platforms.values():
            await platform.close()


def job(
    tasks: int = 2, run_ms: float = 100.0, deadline_ms: int = 10_000, **payload: Any
) -> JobRequest:
    """Return a job of equal tasks, whose answers are their positions."""
    specs = tuple(
        TaskSpec({"run_ms": run_ms, "value": index, **payload})
        for index in range(tasks)
    )
    return JobRequest("team", "kind", specs, deadline_ms)


def answers(submission: str, tasks: int) -> tuple[dict[str, Any], ...]:
    """Return the complete answer that `job` must get."""
    return tuple(
        {"task": f"{submission}/{index}", "value": index} for index in range(tasks)
    )
