"""The processes of `bench.control`: the measured node, and its peers together.

Bytes are those of the kernel's TCP counters, both directions, plus
`SEGMENT_HEADER_BYTES` per segment.
"""

import asyncio
import gc
import json
import logging
import os
import socket
import struct
import sys
import time
from dataclasses import asdict, dataclass

import msgspec
import psutil

from monsoongap.coordination.membership import Membership
from monsoongap.coordination.node import Node, Ports
from monsoongap.coordination.parts import DrainState, HostIdentity
from monsoongap.protocol.peer import PeerHandlers
from monsoongap.settings import (
    EntrySettings,
    HostSection,
    ListenSection,
    PlatformSection,
)
from monsoongap.timers import TimerService
from monsoongap.transport.peers import GrpcPeers
from monsoongap.transport.platform_client import HostListClient, LogClient
from monsoongap.transport.workers import HttpWorkers

SETTLE_S = 6.0
WINDOW_S = 12.0
POLL_S = 1.0
CHANGES = 10
CHANGE_PERIOD_S = 0.5
SEGMENT_HEADER_BYTES = 52
TCP_INFO = struct.Struct("=8x24IQQQQII")
MB = 1_000_000


@dataclass(frozen=True, slots=True)
class Plan:
    """What one process of a run is told.

    `whole` runs every part of a host on the platform's log, else membership alone.
    """

    names: tuple[str, ...]
    ports: tuple[int, ...]
    hosts_url: str
    log_url: str
    measured: bool
    whole: bool


@dataclass(frozen=True, slots=True)
class Sample:
    """The measured node at one moment."""

    at: float
    cpu_s: float
    bytes: int
    rss_mb: float


def tcp_bytes(sock: socket.socket) -> int:
    """Return payload bytes received and acknowledged on a connection so far."""
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size)
    acked, received = TCP_INFO.unpack(info)[26:28]
    return int(acked + received)


def _tcp_segments(sock: socket.socket) -> int:
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size)
    sent, received = TCP_INFO.unpack(info)[28:30]
    return int(sent + received)


class Traffic:
    """Adds up bytes both ways, headers included, also of connections that end."""

    def __init__(self) -> None:
        self._seen: dict[str, int] = {}
        self.spent_s = 0.0

    def poll(self) -> int:
        """Look at every open connection and return the bytes of all so far."""
        began_s = time.process_time()
        for name in os.listdir("/proc/self/fd"):
            try:
                copy = os.dup(int(name))
            except OSError:
                continue
            try:
                sock = socket.socket(fileno=copy)
            except OSError:
                os.close(copy)
                continue
            with sock:
                self._look(sock)
        self.spent_s += time.process_time() - began_s
        return sum(self._seen.values())

    def _look(self, sock: socket.socket) -> None:
        try:
            key = f"{sock.getsockname()}-{sock.getpeername()}"
            headers = _tcp_segments(sock) * SEGMENT_HEADER_BYTES
            self._seen[key] = tcp_bytes(sock) + headers
        except OSError:
            # Not a connected TCP socket.
            return


def _sample(traffic: Traffic) -> Sample:
    """Take a sample; the processor time of looking is left out."""
    sent = traffic.poll()
    at, cpu_s = time.monotonic(), time.process_time() - traffic.spent_s
    began_s = time.process_time()
    gc.collect()
    traffic.spent_s += time.process_time() - began_s
    return Sample(at, cpu_s, sent, psutil.Process().memory_info().rss / MB)


async def _watch(traffic: Traffic, duration_s: float) -> None:
    """Wait, looking often enough to see each connection before it ends."""
    for _ in range(int(duration_s / POLL_S)):
        await asyncio.sleep(POLL_S)
        traffic.poll()


async def _start(
    plan: Plan, name: str, port: int
) -> tuple[Membership, GrpcPeers, Node | None]:
    cfg = EntrySettings(
        HostSection(name, "dc0"),
        ListenSection(peer=f"127.0.0.1:{port}"),
        PlatformSection(hosts_url=plan.hosts_url, log_url=plan.log_url),
    )
    identity = HostIdentity(name, "dc0", int(time.time() * 1000))
    handlers, timers = PeerHandlers(), TimerService()
    members: list[Membership] = []
    link = GrpcPeers(cfg, identity, handlers, lambda host: members[0].address_of(host))
    hosts = HostListClient(cfg)
    await link.start()
    if plan.whole:
        workers = HttpWorkers(
            cfg.workers,
            lambda name: _worker_address(members, name),
            lambda name: cfg.workers.connections,
        )
        ports = Ports(workers, LogClient(cfg), hosts, link)
        node = Node(cfg, identity, ports, handlers, timers)
        members.append(node.membership)
        await node.start()
        return members[0], link, node
    drain = DrainState()
    members.append(Membership(cfg, identity, hosts, link, handlers, drain, timers))
    await members[0].start()
    return members[0], link, None


def _worker_address(members: list[Membership], name: str) -> str | None:
    info = members[0].worker(name)
    return info.address if info is not None else None


async def _serve(plan: Plan) -> None:
    """Run the hosts of a plan; the measured one prints its samples as JSON."""
    pairs = zip(plan.names, plan.ports, strict=True)
    started = [await _start(plan, name, port) for name, port in pairs]
    if not plan.measured:
        await asyncio.sleep(3600)
        return
    members, link, node = started[0]
    traffic = Traffic()
    await _watch(traffic, SETTLE_S)
    samples = [_sample(traffic)]
    print("settled", flush=True)
    await _watch(traffic, WINDOW_S)
    samples.append(_sample(traffic))
    print("measured", flush=True)
    for worker in members.workers()[:CHANGES]:
        members.report_draining(worker.name)
        await asyncio.sleep(CHANGE_PERIOD_S)
    samples.append(_sample(traffic))
    status = asdict(members.status())
    members.stop()
    if node is not None:
        await node.close()
    await link.stop()
    print(json.dumps({"samples": [asdict(one) for one in samples], "status": status}))


def main() -> None:
    """Run the plan given as the first argument."""
    # What the peers log while the measured node goes is of no interest.
    logging.disable(logging.CRITICAL)
    asyncio.run(_serve(msgspec.json.decode(sys.argv[1].encode(), type=Plan)))


if __name__ == "__main__":
    main()
