"""Deployment in one process: the stand-in's store and runners, and real daemons."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import msgspec

from monsoongap.daemon import Daemon
from monsoongap.protocol.messages import Resources, RunnerInfo
from monsoongap.settings import (
    EntrySettings,
    HostSection,
    ListenSection,
    StoreSection,
)
from monsoongap.standin.runner_model import LedgerEntry, TaskPlan
from monsoongap.standin.runner_server import RunnerServer
from monsoongap.standin.store import StoreServer
from monsoongap.transport.http_client import HttpClient
from monsoongap.transport.http_conn import HttpReply, HttpRequest

CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "r-1",
            "host": "127.0.0.1",
            "pathPrefix": "/scan/",
            "timeoutMs": 1500,
            "priority": 0,
            "service": "inspect",
            "maxAttempts": 2,
            "stretch": 1.6,
        }
    ],
    "services": [{"name": "inspect", "admissionCheck": True}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144},
}


def free_ports(count: int) -> list[int]:
    """Return free TCP ports of 127.0.0.1."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in sockets:
            sock.bind(("127.0.0.1", 0))
        return [sock.getsockname()[1] for sock in sockets]


@dataclass(slots=True)
class Site:
    """Servers and daemons of one deployment, and a client for them."""

    store: StoreServer
    runners: list[RunnerServer]
    nodes: list[EntrySettings]
    daemons: list[Daemon]
    ledger: list[LedgerEntry]
    http: HttpClient = field(default_factory=HttpClient)

    async def post(self, node: int, id_: str, body: bytes) -> HttpReply:
        """Submit a job to a daemon with `body` as its request."""
        req = HttpRequest("POST", f"/scan/{id_}", body)
        return await self.http.exchange(self.nodes[node].listen.callers, req, 10.0)

    async def get(self, address: str, path: str) -> HttpReply:
        """Send a GET request."""
        return await self.http.exchange(address, HttpRequest("GET", path), 5.0)


def job_body(count: int = 2, best_effort: bool = True, **plan: object) -> bytes:
    """Return the request body of a job with `count` equal tasks."""
    spec = msgspec.convert(plan, TaskPlan)
    step = {"count": count, "cpu": spec.cpu_milli, "memMb": spec.mem_mb}
    text = msgspec.json.encode(spec).decode()
    job = {"spec": text, "steps": [step], "bestEffort": best_effort}
    return msgspec.json.encode(job)


@contextlib.asynccontextmanager
async def open_site(nodes: int = 2, runners: int = 3) -> AsyncIterator[Site]:
    """Run a store, runners and daemons in one data centre."""
    ports = free_ports(1 + runners + 4 * nodes)
    store = StoreServer()
    store_address = f"127.0.0.1:{ports.pop()}"
    store.listen(store_address)
    store.topic("keyed.op").append("config", msgspec.json.encode(CONFIG))
    ledger: list[LedgerEntry] = []
    servers = []
    for i in range(runners):
        address = f"127.0.0.1:{ports.pop()}"
        room = Resources(4000, 4096)
        info = RunnerInfo(f"i-{i}", "inspect", address, "ibk", False, room, ("a",), 7)
        server = RunnerServer(info, ledger, store)
        server.listen()
        servers.append(server)
    files = [
        EntrySettings(
            HostSection(f"front-{i}", "ibk", "tirol"),
            ListenSection(*(f"127.0.0.1:{ports.pop()}" for _ in range(4))),
            StoreSection(store_address),
        )
        for i in range(nodes)
    ]
    daemons = [Daemon(cfg) for cfg in files]
    site = Site(store, servers, files, daemons, ledger)
    try:
        for daemon in daemons:
            await daemon.start()
        await _until_ready(site)
        yield site
    finally:
        for daemon in daemons:
            daemon.close()
        for server in servers:
            server.close()
        store.close()
        site.http.close()


async def _until_ready(site: Site) -> None:
    async with asyncio.timeout(10):
        for node in site.nodes:
            ready = False
            while not ready:
                await asyncio.sleep(0.05)
                reply = await site.get(node.listen.ready, "/monsoongap/ready")
                ready = reply.status == 200
