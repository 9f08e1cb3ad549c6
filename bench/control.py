"""What control costs one node: processor, bytes and memory against peers and workers.

The measured node runs in a process of its own, its peers together in another one
and the host list in this one, all over loopback. Bytes are those of the kernel's
TCP counters, both directions, plus `SEGMENT_HEADER_BYTES` per segment.
"""

import asyncio
import gc
import json
import logging
import os
import socket
import statistics
import struct
import sys
import time
from dataclasses import asdict, dataclass
from pathlib import Path

import msgspec
import psutil
from rich.console import Console
from rich.table import Table
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from monsoongap.coordination.membership import Membership
from monsoongap.coordination.parts import DrainState, HostIdentity
from monsoongap.protocol.messages import HostEntry, HostList, HostRole
from monsoongap.protocol.peer import PeerHandlers
from monsoongap.settings import (
    EntrySettings,
    HostSection,
    ListenSection,
    PlatformSection,
)
from monsoongap.timers import TimerService
from monsoongap.transport.peers import GrpcPeers
from monsoongap.transport.platform_client import HostListClient

PEER_COUNTS = (2, 4, 8, 16)
WORKER_COUNTS = (24, 200, 890)
BASE_PEERS = 4
BASE_WORKERS = 24
SETTLE_S = 6.0
WINDOW_S = 15.0
CHANGES = 10
CHANGE_PERIOD_S = 0.5

# The design size: 5 data centres, 12 entry hosts and 178 workers in each. A host has
# 11 peers at home, follows 2 in each other data centre and is followed by as many,
# at half the pace; so 16 remote peers cost what 8 at home do.
DESIGN_PEERS = 11 + 2 * 2 * 4 // 2
DESIGN_WORKERS = 178
DESIGN_LISTED = 950
CPU_BOUND_PERCENT = 2.2
MEMORY_BOUND_MB = 64.0
BYTES_BOUND = 21_000.0

SEGMENT_HEADER_BYTES = 52
CONNECTION_SEGMENTS = 8
TCP_INFO = struct.Struct("=8x24IQQQQII")
MB = 1_000_000


@dataclass(frozen=True, slots=True)
class Plan:
    """What one process of a run is told."""

    names: tuple[str, ...]
    ports: tuple[int, ...]
    hosts_url: str
    measured: bool


@dataclass(frozen=True, slots=True)
class Sample:
    """The measured node at one moment."""

    at: float
    cpu_s: float
    sampling_s: float
    bytes: int
    rss_mb: float


@dataclass(frozen=True, slots=True)
class Cost:
    """What control cost during one run; `list_bytes_per_s` is part of the bytes."""

    peers: int
    workers: int
    cpu_percent: float
    bytes_per_s: float
    rss_mb: float
    list_bytes_per_s: float = 0.0
    bytes_per_change: float = 0.0


@dataclass(frozen=True, slots=True)
class Fit:
    """A line through measured costs and what it says of the design size."""

    cost: str
    per_peer: float
    r2_peers: float
    per_worker: float
    at_zero: float
    design: float
    bound: float
    holds: bool


class Hosts(RequestHandler):
    """Serves the host list and counts the bytes of its connections."""

    body = b""
    bytes = 0

    def get(self) -> None:
        """Send the list; tornado answers 304 to a known entity tag."""
        sock = self.request.connection.stream.socket  # type: ignore[union-attr]
        Hosts.bytes += _tcp_bytes(sock) + CONNECTION_SEGMENTS * SEGMENT_HEADER_BYTES
        self.write(self.body)

    def on_finish(self) -> None:
        """Count the bytes of the reply."""
        body = len(self.body) if self.get_status() == 200 else 0
        lines = (f"{name}: {value}\r\n" for name, value in self._headers.get_all())
        start = f"HTTP/1.1 {self.get_status()} {self._reason}\r\n"
        Hosts.bytes += len(start) + len("".join(lines)) + 2 + body


def _tcp_bytes(sock: socket.socket) -> int:
    """Return payload bytes received and acknowledged on a connection so far."""
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size)
    fields = TCP_INFO.unpack(info)
    acked, received = fields[26], fields[27]
    return int(acked + received)


def _own_traffic() -> int:
    """Return bytes both ways, headers included, on this process's connections."""
    total = 0
    for name in os.listdir("/proc/self/fd"):
        try:
            with socket.socket(fileno=os.dup(int(name))) as sock:
                if sock.family not in (socket.AF_INET, socket.AF_INET6):
                    continue
                sock.getpeername()
                info = sock.getsockopt(
                    socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size
                )
        except OSError:
            continue
        fields = TCP_INFO.unpack(info)
        total += fields[26] + fields[27]
        total += (fields[28] + fields[29]) * SEGMENT_HEADER_BYTES
    return int(total)


def _sample() -> Sample:
    at, cpu_s, sent = time.monotonic(), time.process_time(), _own_traffic()
    gc.collect()
    # The collection itself is no part of the cost.
    spent_s = time.process_time() - cpu_s
    return Sample(at, cpu_s, spent_s, sent, psutil.Process().memory_info().rss / MB)


async def _start(name: str, port: int, hosts_url: str) -> tuple[Membership, GrpcPeers]:
    cfg = EntrySettings(
        HostSection(name, "dc0"),
        ListenSection(peer=f"127.0.0.1:{port}"),
        PlatformSection(hosts_url=hosts_url),
    )
    identity = HostIdentity(name, "dc0", 1)
    handlers = PeerHandlers()
    nodes: list[Membership] = []
    link = GrpcPeers(cfg, identity, handlers, lambda host: nodes[0].address_of(host))
    nodes.append(
        Membership(
            cfg,
            identity,
            HostListClient(cfg),
            link,
            handlers,
            DrainState(),
            TimerService(),
        )
    )
    nodes[0].add_digest("settings", lambda: b"12345678", lambda host, data: None)
    nodes[0].add_digest("credits", lambda: b"1234", lambda host, data: None)
    await link.start()
    await nodes[0].start()
    return nodes[0], link


async def _serve(plan: Plan) -> None:
    """Run the hosts of a plan; the measured one prints its samples as JSON."""
    pairs = zip(plan.names, plan.ports, strict=True)
    started = [await _start(name, port, plan.hosts_url) for name, port in pairs]
    if not plan.measured:
        await asyncio.sleep(3600)
        return
    node = started[0][0]
    await asyncio.sleep(SETTLE_S)
    samples = [_sample()]
    print("settled", flush=True)
    await asyncio.sleep(WINDOW_S)
    samples.append(_sample())
    print("measured", flush=True)
    for worker in node.workers()[:CHANGES]:
        node.report_draining(worker.name)
        await asyncio.sleep(CHANGE_PERIOD_S)
    samples.append(_sample())
    status = asdict(node.status())
    node.stop()
    await started[0][1].stop()
    print(json.dumps({"samples": [asdict(one) for one in samples], "status": status}))


def _host_list(hosts: dict[str, int], workers: int) -> HostList:
    """List the hosts of this run, its workers, and strangers of another dc."""
    entries = [
        HostEntry(name, HostRole.ENTRY, "dc0", f"127.0.0.1:{port}")
        for name, port in hosts.items()
    ]
    for number in range(max(DESIGN_LISTED - len(entries), workers)):
        dc = "dc0" if number < workers else "dc1"
        name = f"{dc}-worker-{number:04}"
        entry = HostEntry(
            name,
            HostRole.WORKER,
            dc,
            f"10.0.{number // 250}.{number % 250}:7000",
            slots=8,
            cpus=16.0,
            memory_mb=32_000,
            rack=f"{dc}-rack-{number // 6}",
        )
        entries.append(entry)
    return HostList(1, tuple(entries))


async def _spawn(plan: Plan) -> asyncio.subprocess.Process:
    text = msgspec.json.encode(plan).decode()
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "bench.control", text, stdout=asyncio.subprocess.PIPE
    )


def _cost(peers: int, workers: int) -> Cost:
    return asyncio.run(_measure(peers, workers))


async def _measure(peers: int, workers: int) -> Cost:
    """Run one node with so many peers and workers."""
    # The measured node's name lies in the middle: half of the peers dial it.
    names = ("host-m", *(f"host-{'am'[n % 2]}{n:02}" for n in range(peers)))
    ports = _free_ports(len(names))
    listed = _host_list(dict(zip(names, ports, strict=True)), workers)
    Hosts.body = msgspec.json.encode(listed)
    sock, list_port = bind_unused_port()
    server = HTTPServer(Application([("/v1/hosts", Hosts)]))
    server.add_socket(sock)
    url = f"http://127.0.0.1:{list_port}"
    others = await _spawn(Plan(names[1:], ports[1:], url, measured=False))
    node = await _spawn(Plan(names[:1], ports[:1], url, measured=True))
    try:
        assert node.stdout is not None
        await node.stdout.readuntil(b"settled\n")
        list_bytes = -Hosts.bytes
        await node.stdout.readuntil(b"measured\n")
        list_bytes += Hosts.bytes
        result = json.loads(await node.stdout.read())
    finally:
        for process in (others, node):
            if process.returncode is None:
                process.kill()
            await process.wait()
        server.stop()
    if result["status"]["peers_live"] != peers:
        raise RuntimeError(f"not all peers live: {result['status']}")
    idle, busy, changed = (Sample(**one) for one in result["samples"])
    # Every process polls the list; one of them is measured.
    return _to_cost(idle, busy, changed, peers, workers, list_bytes / (peers + 1))


def _to_cost(
    idle: Sample,
    busy: Sample,
    changed: Sample,
    peers: int,
    workers: int,
    list_bytes: float,
) -> Cost:
    window_s = busy.at - idle.at
    steady = (busy.bytes - idle.bytes) / window_s
    extra = changed.bytes - busy.bytes - steady * (changed.at - busy.at)
    list_per_s = list_bytes / window_s
    return Cost(
        peers,
        workers,
        cpu_percent=100 * (busy.cpu_s - idle.cpu_s - idle.sampling_s) / window_s,
        bytes_per_s=steady + list_per_s,
        rss_mb=busy.rss_mb,
        list_bytes_per_s=list_per_s,
        bytes_per_change=extra / CHANGES,
    )


def _free_ports(count: int) -> tuple[int, ...]:
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    ports = tuple(sock.getsockname()[1] for sock in socks)
    for sock in socks:
        sock.close()
    return ports


def _fit(cost: str, by_peers: list[Cost], by_workers: list[Cost], bound: float) -> Fit:
    """Fit a line over peers and one over workers; add them up for the design."""
    peers = [one.peers for one in by_peers]
    values = [getattr(one, cost) for one in by_peers]
    peer_line = statistics.linear_regression(peers, values)
    worker_line = statistics.linear_regression(
        [one.workers for one in by_workers], [getattr(one, cost) for one in by_workers]
    )
    more_workers = DESIGN_WORKERS - BASE_WORKERS
    design = peer_line.intercept + peer_line.slope * DESIGN_PEERS
    design += max(0.0, worker_line.slope) * more_workers
    return Fit(
        cost,
        peer_line.slope,
        statistics.correlation(peers, values) ** 2,
        worker_line.slope,
        peer_line.intercept,
        design,
        bound,
        design <= bound,
    )


def _print(costs: list[Cost], fits: list[Fit], note: str) -> None:
    console = Console(width=120)
    table = Table(title="control of one node, measured")
    names = list(asdict(costs[0]))
    for name in names:
        table.add_column(name, justify="right")
    for cost in costs:
        table.add_row(*(f"{getattr(cost, name):.2f}" for name in names))
    console.print(table)
    table = Table(title=f"slopes, and {note}")
    names = list(asdict(fits[0]))
    for name in names:
        table.add_column(name, justify="right")
    for fit in fits:
        values = (getattr(fit, name) for name in names)
        table.add_row(*(f"{v:.4g}" if isinstance(v, float) else str(v) for v in values))
    console.print(table)


def _run() -> int:
    by_peers = [_cost(peers, BASE_WORKERS) for peers in PEER_COUNTS]
    by_workers = [_cost(BASE_PEERS, workers) for workers in WORKER_COUNTS]
    check = _cost(DESIGN_PEERS, DESIGN_WORKERS)
    fits = [
        _fit("cpu_percent", by_peers, by_workers, CPU_BOUND_PERCENT),
        _fit("bytes_per_s", by_peers, by_workers, BYTES_BOUND),
        _fit("rss_mb", by_peers, by_workers, MEMORY_BOUND_MB),
    ]
    costs = [*by_peers, *by_workers, check]
    _print(costs, fits, f"{DESIGN_PEERS} peers, {DESIGN_WORKERS} workers")
    report = {"costs": [asdict(x) for x in costs], "fits": [asdict(x) for x in fits]}
    path = Path("out/control.json")
    path.parent.mkdir(exist_ok=True)
    path.write_text(json.dumps(report, indent=1))
    print(json.dumps(report))
    return 0 if all(fit.holds for fit in fits) else 1


def main() -> int:
    """Run the benchmark, or one process of it when a plan is given."""
    if len(sys.argv) > 1:
        logging.disable(logging.WARNING)
        plan = msgspec.json.decode(sys.argv[1].encode(), type=Plan)
        asyncio.run(_serve(plan))
        return 0
    return _run()


if __name__ == "__main__":
    sys.exit(main())
