"""Latency of claiming a caller's own key, by four ways, on virtual time.

The log takes 400 appends a second, each 5 ms, shared by every host. Each host
claims `RATE` keys a second for `SECONDS`. Hosts fill data centres of eight. Run:

    python -m bench.claims [--buckets N] [--batch-ms MS] [--rate R] [--ways abcd]
"""

import asyncio
import random
import statistics
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Annotated

import msgspec
import typer

from monsoongap.coordination.claims import ClaimDesk
from monsoongap.coordination.parts import HostIdentity, PeerInfo, PeerStatus
from monsoongap.errors import DispatchError, LogUnavailable
from monsoongap.protocol.peer import PeerHandlers, PeerMethod
from monsoongap.settings import ClaimsSection
from monsoongap.state.claims import ClaimRecord, key_hash
from monsoongap.timers import TimerService
from monsoongap.util import rendezvous
from tests.clock import run_virtual
from tests.fakes import FakeLog, FakePlatform
from tests.fakes_peers import FakeNetwork, FakePeerPort
from tests.home_cluster import FakeDirectory

HOSTS = (2, 4, 9, 16, 24, 40)
HOSTS_PER_DC = 8
SECONDS = 10.0
TIMEOUT_S = 3.0


@dataclass(frozen=True, slots=True)
class Figures:
    """What one way cost at one size; latencies in milliseconds."""

    p50_ms: float
    p99_ms: float
    appends_per_s: float
    lost: float


@dataclass(frozen=True, slots=True)
class Owner:
    """Question and answer of the hash owner."""

    key: str


OWN = PeerMethod("bench.own", Owner, Owner)


class BenchHost:
    """One host with its log and its peers."""

    def __init__(self, name: str, dc: str, log: FakeLog, network: FakeNetwork) -> None:
        self.identity = HostIdentity(name, dc, 1)
        self.log = log
        self.handlers = PeerHandlers()
        self.peers: FakePeerPort = network.join(name, dc, self.handlers)
        self.directory = FakeDirectory({}, dc)
        self.handlers.register(OWN, self.own)
        self.desk: ClaimDesk | None = None

    def open_desk(self, cfg: ClaimsSection) -> ClaimDesk:
        """Create the host's desk."""
        self.desk = ClaimDesk(
            cfg,
            self.identity,
            self.directory,
            self.log,
            self.peers,
            self.handlers,
            TimerService(),
        )
        return self.desk

    async def own(self, asked: Owner) -> Owner:
        """Answer as the owner of a key."""
        return asked


def record(host: BenchHost, serial: int) -> ClaimRecord:
    key = f"{host.identity.name}-{serial}"
    workers = {f"{host.identity.dc}-worker-{n}": 1_700_000_000_000 for n in range(6)}
    return ClaimRecord(
        key,
        "team",
        b"0" * 16,
        8,
        host.identity.name,
        host.identity.dc,
        1,
        serial,
        workers,
    )


def each_alone(
    hosts: list[BenchHost], cfg: ClaimsSection
) -> Callable[[BenchHost, ClaimRecord], Awaitable[object]]:
    """Append each claim by itself and read it back (a)."""

    async def claim(host: BenchHost, item: ClaimRecord) -> None:
        stream = f"claims-{key_hash(item.key) % cfg.buckets}"
        text = msgspec.json.encode(item).decode()
        offset = await host.log.append(stream, (text,))
        await host.log.read(stream, offset, 1, 0)

    return claim


def by_host(
    hosts: list[BenchHost], cfg: ClaimsSection
) -> Callable[[BenchHost, ClaimRecord], Awaitable[object]]:
    """Batch the claims of each host (b)."""
    desks = {id(host): host.open_desk(cfg) for host in hosts}
    return lambda host, item: desks[id(host)].resolve(item, TIMEOUT_S)


def by_dc(
    hosts: list[BenchHost], cfg: ClaimsSection
) -> Callable[[BenchHost, ClaimRecord], Awaitable[object]]:
    """Batch a bucket at one host of each data centre (c)."""
    for host in hosts:
        for other in hosts:
            if other is not host:
                me = other.identity
                peer = PeerInfo(me.name, me.dc, "", 1, PeerStatus.LIVE)
                host.directory.set_peer(peer)
    return by_host(hosts, cfg)


def by_owner(
    hosts: list[BenchHost], cfg: ClaimsSection
) -> Callable[[BenchHost, ClaimRecord], Awaitable[object]]:
    """Let the key's hash owner decide from memory, by a view in the log (d)."""
    names = [host.identity.name for host in hosts]

    async def claim(host: BenchHost, item: ClaimRecord) -> None:
        owner = rendezvous.choose(item.key, names)
        if owner != host.identity.name:
            await host.peers.call(owner, OWN, Owner(item.key), TIMEOUT_S)

    return claim


WAYS = {
    "a each claim alone": each_alone,
    "b per host": by_host,
    "c per data centre": by_dc,
    "d hash owner": by_owner,
}


async def measure(way: str, count: int, cfg: ClaimsSection, rate: float) -> Figures:
    """Offer claims at random times and collect their latencies."""
    platform = FakePlatform(())
    network = FakeNetwork()
    hosts = [
        BenchHost(f"h{n}", f"dc{n // HOSTS_PER_DC}", platform.log_for(f"h{n}"), network)
        for n in range(count)
    ]
    claim = WAYS[way](hosts, cfg)
    taken: list[float] = []
    lost = 0

    async def one(host: BenchHost, serial: int) -> None:
        nonlocal lost
        start = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await claim(host, record(host, serial))
        except (TimeoutError, DispatchError, LogUnavailable):
            lost += 1
        taken.append((asyncio.get_running_loop().time() - start) * 1000)

    async def offer(host: BenchHost) -> None:
        draw = random.Random(host.identity.name)
        async with asyncio.TaskGroup() as group:
            serial = 0
            while asyncio.get_running_loop().time() < SECONDS:
                await asyncio.sleep(draw.expovariate(rate))
                serial += 1
                group.create_task(one(host, serial))

    await asyncio.gather(*(offer(host) for host in hosts))
    for host in hosts:
        if host.desk is not None:
            host.desk.close()
    cuts = statistics.quantiles(taken, n=100)
    return Figures(
        cuts[49], cuts[98], platform.log.appends / SECONDS, lost / len(taken)
    )


def main(
    buckets: Annotated[int, typer.Option(help="Streams.")] = ClaimsSection().buckets,
    batch_ms: Annotated[float, typer.Option(help="Gathering time.")] = (
        ClaimsSection().batch_s * 1000
    ),
    ways: Annotated[str, typer.Option(help="Letters of the ways.")] = "abcd",
    rate: Annotated[float, typer.Option(help="Claims per second and host.")] = 20.0,
) -> None:
    """Print p50 and p99 latency, appends per second and the unsettled share."""
    cfg = ClaimsSection(buckets=buckets, batch_s=batch_ms / 1000)
    typer.echo(f"buckets {buckets}, batch {batch_ms:g} ms, {rate:g} claims/s per host")
    for way in (way for way in WAYS if way[0] in ways):
        for count in HOSTS:
            got = run_virtual(measure(way, count, cfg, rate))
            typer.echo(
                f"{way:20} {count:3} hosts  p50 {got.p50_ms:7.1f} ms  "
                f"p99 {got.p99_ms:7.1f} ms  {got.appends_per_s:6.1f} appends/s  "
                f"unsettled {got.lost:6.2%}"
            )


if __name__ == "__main__":
    typer.run(main)
