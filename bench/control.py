"""What control costs one node: processor, bytes and memory against peers and workers.

The measured node runs in a process of its own, its peers together in another one,
the log and the host list of the stand-in in this one, all over loopback. Nobody
submits jobs. Runs of membership alone show its part in the whole.
"""

import asyncio
import json
import socket
import statistics
import sys
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import ClassVar

import msgspec
from rich.console import Console
from rich.table import Table
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from bench.control_node import (
    CHANGES,
    SEGMENT_HEADER_BYTES,
    Plan,
    Sample,
    tcp_bytes,
)
from monsoongap.protocol.messages import HostEntry, HostList, HostRole, WorkerUsage
from monsoongap.standin.control_server import ControlServer, StandIn
from monsoongap.standin.host_list_model import HostListModel
from monsoongap.standin.ledger import StartLedger
from monsoongap.standin.log_model import LogModel, LogShape

PEER_COUNTS = (2, 4, 8, 16)
WORKER_COUNTS = (24, 200, 890)
BASE_PEERS = 4
BASE_WORKERS = 24

# The design size: 5 data centres, 12 entry hosts and 178 workers in each. A host has
# 11 peers at home, follows 2 in each other data centre and is followed by as many,
# at half the pace; so 16 remote peers cost what 8 at home do.
DESIGN_PEERS = 11 + 2 * 2 * 4 // 2
DESIGN_WORKERS = 178
DESIGN_LISTED = 950
CPU_BOUND_PERCENT = 2.2
MEMORY_BOUND_MB = 64.0
BYTES_BOUND = 21_000.0

CONNECTION_SEGMENTS = 8
REFERENCE_STEPS = 10_000_000


@dataclass(frozen=True, slots=True)
class Cost:
    """What control cost during one run; `list_bytes_per_s` is part of the bytes."""

    whole: bool
    peers: int
    workers: int
    cpu_percent: float
    bytes_per_s: float
    rss_mb: float
    list_bytes_per_s: float = 0.0
    bytes_per_change: float | None = None


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
        Hosts.bytes += tcp_bytes(sock) + CONNECTION_SEGMENTS * SEGMENT_HEADER_BYTES
        self.write(self.body)

    def on_finish(self) -> None:
        """Count the bytes of the reply."""
        body = len(self.body) if self.get_status() == 200 else 0
        lines = (f"{name}: {value}\r\n" for name, value in self._headers.get_all())
        start = f"HTTP/1.1 {self.get_status()} {self._reason}\r\n"
        Hosts.bytes += len(start) + len("".join(lines)) + 2 + body


class Usage(RequestHandler):
    """Answers for every worker: each has a loopback address of its own."""

    names: ClassVar[dict[str, str]] = {}

    def get(self) -> None:
        """Report an idle worker."""
        name = self.names[self.request.host_name]
        clock_ms = int(time.monotonic() * 1000)
        usage = WorkerUsage(name, 1, clock_ms, 8, 0, 16.0, 32_000)
        self.finish(msgspec.json.encode(usage))


def _worker_ip(number: int) -> str:
    return f"127.1.{number // 250}.{number % 250 + 1}"


def _host_list(hosts: dict[str, int], workers: int, worker_port: int) -> HostList:
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
            f"{_worker_ip(number)}:{worker_port}",
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
        sys.executable, "-m", "bench.control_node", text, stdout=asyncio.subprocess.PIPE
    )


def _cost(peers: int, workers: int, whole: bool = True) -> Cost:
    return asyncio.run(_measure(peers, workers, whole))


async def _measure(peers: int, workers: int, whole: bool) -> Cost:
    """Run one node with so many peers and workers."""
    # The measured node's name lies in the middle: half of the peers dial it.
    names = ("host-m", *(f"host-{'am'[n % 2]}{n:02}" for n in range(peers)))
    *ports, log_port, worker_port = _free_ports(len(names) + 2)
    listed = _host_list(dict(zip(names, ports, strict=True)), workers, worker_port)
    Usage.names = {_worker_ip(n): f"dc0-worker-{n:04}" for n in range(workers)}
    usage = HTTPServer(Application([("/v1/usage", Usage)]))
    usage.listen(worker_port, "0.0.0.0")
    Hosts.body = msgspec.json.encode(listed)
    sock, list_port = bind_unused_port()
    hosts = HTTPServer(Application([("/v1/hosts", Hosts)]))
    hosts.add_socket(sock)
    stand_in = StandIn(StartLedger(0.0), (), LogModel(LogShape()), HostListModel())
    log = ControlServer(stand_in, f"127.0.0.1:{log_port}", workers_only=False)
    log.listen()
    urls = (f"http://127.0.0.1:{list_port}", f"http://127.0.0.1:{log_port}")
    others = await _spawn(Plan(names[1:], tuple(ports[1:]), *urls, False, whole))
    node = await _spawn(Plan(names[:1], tuple(ports[:1]), *urls, True, whole))
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
        for server in (hosts, log, usage):
            server.stop()
    if result["status"]["peers_live"] != peers:
        raise RuntimeError(f"not all peers live: {result['status']}")
    samples = [Sample(**one) for one in result["samples"]]
    # Every process polls the list; one of them is measured.
    return _to_cost(samples, whole, peers, workers, list_bytes / (peers + 1))


def _to_cost(
    samples: list[Sample],
    whole: bool,
    peers: int,
    workers: int,
    list_bytes: float,
) -> Cost:
    idle, busy, changed = samples
    window_s = busy.at - idle.at
    steady = (busy.bytes - idle.bytes) / window_s
    extra = changed.bytes - busy.bytes - steady * (changed.at - busy.at)
    list_per_s = list_bytes / window_s
    return Cost(
        whole,
        peers,
        workers,
        cpu_percent=100 * (busy.cpu_s - idle.cpu_s) / window_s,
        bytes_per_s=steady + list_per_s,
        rss_mb=busy.rss_mb,
        list_bytes_per_s=list_per_s,
        # Connections to workers come and go in the whole node.
        bytes_per_change=None if whole else extra / CHANGES,
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


def _shown(value: object) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)


def _print(costs: list[Cost], fits: list[Fit], note: str) -> None:
    console = Console(width=120)
    table = Table(title="control of one node, measured")
    names = list(asdict(costs[0]))
    for name in names:
        table.add_column(name, justify="right")
    for cost in costs:
        table.add_row(*(_shown(getattr(cost, name)) for name in names))
    console.print(table)
    table = Table(title=f"slopes, and {note}")
    names = list(asdict(fits[0]))
    for name in names:
        table.add_column(name, justify="right")
    for fit in fits:
        table.add_row(*(_shown(getattr(fit, name)) for name in names))
    console.print(table)


def _reference_ms() -> float:
    """Return the processor time of a fixed loop: how fast this machine is now."""
    began_s = time.process_time()
    sum(range(REFERENCE_STEPS))
    return (time.process_time() - began_s) * 1000


def _run() -> int:
    reference_ms = [_reference_ms()]
    by_peers = [_cost(peers, BASE_WORKERS) for peers in PEER_COUNTS]
    by_workers = [_cost(BASE_PEERS, workers) for workers in WORKER_COUNTS]
    check = _cost(DESIGN_PEERS, DESIGN_WORKERS)
    alone = [_cost(peers, BASE_WORKERS, whole=False) for peers in PEER_COUNTS[1::2]]
    alone.append(_cost(DESIGN_PEERS, DESIGN_WORKERS, whole=False))
    fits = [
        _fit("cpu_percent", by_peers, by_workers, CPU_BOUND_PERCENT),
        _fit("bytes_per_s", by_peers, by_workers, BYTES_BOUND),
        _fit("rss_mb", by_peers, by_workers, MEMORY_BOUND_MB),
    ]
    reference_ms.append(_reference_ms())
    costs = [*by_peers, *by_workers, check, *alone]
    _print(costs, fits, f"{DESIGN_PEERS} peers, {DESIGN_WORKERS} workers")
    report = {
        "costs": [asdict(x) for x in costs],
        "fits": [asdict(x) for x in fits],
        "reference_ms": reference_ms,
    }
    path = Path("out/control.json")
    path.parent.mkdir(exist_ok=True)
    path.write_text(json.dumps(report, indent=1))
    print(json.dumps(report))
    return 0 if all(fit.holds for fit in fits) else 1


if __name__ == "__main__":
    sys.exit(_run())
