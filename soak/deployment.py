"""A deployment on loopback: the stand-in, entry hosts and proxies between them."""

import asyncio
import contextlib
import functools
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from pathlib import Path
from string import ascii_lowercase

import msgspec

from monsoongap.load.runner import fetch_ledger
from monsoongap.platform.callers import READY_PATH
from monsoongap.standin.runner_model import LedgerEntry
from monsoongap.transport.http_client import HttpClient
from monsoongap.transport.http_conn import ExchangeLost, HttpRequest, NotConnected
from soak.links import Links, TcpLink, UdpLink
from soak.processes import CALLERS_PROXY_OFFSET, PEERS_OFFSET, Processes
from soak.proxy import Proxy

IP = "127.0.0.1"
# Long enough for Python to start on a busy machine.
START_TIMEOUT_S = 40.0
POLL_INTERVAL_S = 0.1
# Runners announce their port plus this offset, on which their proxies listen.
PROXY_PORT_OFFSET = 100
CONTROL_TIMEOUT_S = 5.0
CONTROL_ATTEMPTS = 10
READY_TIMEOUT_S = 0.5


@dataclass(frozen=True, slots=True)
class Size:
    """Number of data centres, and of entry hosts and runners in each of them.

    The first one has `more_nodes` in addition.
    """

    dcs: int = 2
    nodes: int = 2
    runners: int = 3
    more_nodes: int = 0

    @property
    def dc_names(self) -> str:
        """Return the names of the data centres, one letter each."""
        return ascii_lowercase[: self.dcs]

    def node_ips(self, dc: str) -> dict[str, str]:
        """Return the IPs of the entry hosts of a data centre, by their names."""
        index = self.dc_names.index(dc)
        count = self.nodes + (0 if index else self.more_nodes)
        return {f"{dc}{i}": f"127.0.{1 + index}.{1 + i}" for i in range(count)}


@dataclass(slots=True)
class Deployment:
    """A running deployment; `control` is the control address of the stand-in.

    Each runner has a proxy, and each data centre reaches the store through its own.
    Callers use `callers_proxies`, of the hosts, if they send long jobs. `links` are the
    proxies between data centres, if there are any.
    """

    size: Size
    rng: random.Random
    procs: Processes
    proxies: list[Proxy]
    store_proxies: dict[str, Proxy]
    callers_proxies: list[Proxy]
    http: HttpClient
    control: str
    links: Links = field(default_factory=Links)

    async def post_control(self, path: str, **fields: object) -> None:
        """Post a command to the stand-in, and retry if it does not answer."""
        req = HttpRequest("POST", path, msgspec.json.encode(fields))
        for _ in range(CONTROL_ATTEMPTS - 1):
            try:
                await self.http.exchange(self.control, req, CONTROL_TIMEOUT_S)
            except (NotConnected, ExchangeLost):
                # The machine may be too busy to connect in time.
                await asyncio.sleep(POLL_INTERVAL_S)
            else:
                return
        await self.http.exchange(self.control, req, CONTROL_TIMEOUT_S)

    def nodes_of(self, *dcs: str) -> list[str]:
        """Return the names of the entry hosts of data centres."""
        return [node.name for node in self.procs.nodes.values() if node.dc in dcs]

    async def is_ready(self, name: str) -> bool:
        """Return whether an entry host accepts callers."""
        req = HttpRequest("GET", READY_PATH)
        try:
            reply = await self.http.exchange(
                self.procs.nodes[name].ready, req, READY_TIMEOUT_S
            )
        except (NotConnected, ExchangeLost):
            # The host is down or paused.
            return False
        return reply.status == HTTPStatus.OK

    async def is_standin_up(self) -> bool:
        """Return whether the stand-in answers."""
        try:
            await self.ledger()
        except (NotConnected, ExchangeLost):
            # The stand-in has not started yet.
            return False
        return True

    async def ledger(self) -> list[LedgerEntry]:
        """Fetch all runs that the runners recorded."""
        return await fetch_ledger(self.control)


class StartTimeout(Exception):
    """The deployment did not start within `START_TIMEOUT_S`."""


async def _wait_until(condition: Callable[[], Awaitable[bool]]) -> None:
    for _ in range(int(START_TIMEOUT_S / POLL_INTERVAL_S)):
        if await condition():
            return
        await asyncio.sleep(POLL_INTERVAL_S)
    raise StartTimeout(f"deployment did not start within {START_TIMEOUT_S:.0f} s")


async def _open_links(deployment: Deployment, runner_port: int) -> None:
    """Start the proxies between hosts, and write which ones each data centre uses.

    A proxy has the port of its target, and the IP too but for the second part.
    """
    size, procs = deployment.size, deployment.procs
    for index, source in enumerate(size.dc_names):
        found: dict[str, str] = {}
        for target_index, dc in enumerate(size.dc_names):
            first = runner_port + target_index * size.runners
            peers = [
                (ip, procs.base_port + PEERS_OFFSET)
                for ip in size.node_ips(dc).values()
            ]
            runners = [(IP, first + i) for i in range(size.runners)]
            if dc == source:
                # Its hosts reach the runners of their own data centre directly.
                runners = []
            for ip, port in peers + runners:
                address = (ip.replace("127.0.", f"127.{1 + index}."), port)
                found[f"{ip}:{port}"] = f"{address[0]}:{port}"
                kinds = (TcpLink, UdpLink) if (ip, port) in peers else (TcpLink,)
                for kind in kinds:
                    link = kind(source, dc, address, (ip, port))
                    await link.listen()
                    deployment.links.links.append(link)
        procs.write_links(source, found)


@contextlib.asynccontextmanager
async def open_deployment(
    seed: int, out: Path, size: Size | None = None, linked: bool = False
) -> AsyncIterator[Deployment]:
    """Start a deployment, yield it once it serves, and stop it on exit.

    With `linked`, there are proxies between data centres. Raises `StartTimeout`.
    """
    size = size or Size()
    port = 20_000 + (seed % 50) * 200
    runner_port = port + 50
    procs = Processes(out, port + 10)
    proxies = [
        Proxy(IP, runner_port + PROXY_PORT_OFFSET + i, runner_port + i)
        for i in range(size.dcs * size.runners)
    ]
    store_proxies = {
        dc: Proxy(IP, port + 2 + dc_index, port)
        for dc_index, dc in enumerate(size.dc_names)
    }
    callers_proxies: list[Proxy] = []
    http = HttpClient()
    rng = random.Random(seed)
    links = Links()
    try:
        for proxy in (*proxies, *store_proxies.values()):
            await proxy.listen()
        procs.start(
            "standin",
            "monsoongap.standin.main",
            f"--port={port}",
            f"--runner-port={runner_port}",
            f"--told-offset={PROXY_PORT_OFFSET}",
            f"--dcs={','.join(size.dc_names)}",
            f"--runners={size.runners}",
        )
        proxies_of = (proxies, store_proxies, callers_proxies)
        control = f"{IP}:{port + 1}"
        deployment = Deployment(size, rng, procs, *proxies_of, http, control, links)
        await _wait_until(deployment.is_standin_up)
        if linked:
            await _open_links(deployment, runner_port + PROXY_PORT_OFFSET)
        for dc in size.dc_names:
            store = f"{IP}:{store_proxies[dc].port}"
            for name, ip in size.node_ips(dc).items():
                procs.add_node(name, dc, ip, store)
        for name, node in procs.nodes.items():
            proxy = Proxy(node.ip, node.port + CALLERS_PROXY_OFFSET, node.port)
            await proxy.listen()
            callers_proxies.append(proxy)
            await _wait_until(functools.partial(deployment.is_ready, name))
        yield deployment
    finally:
        procs.end_all()
        http.close()
        links.close()
        for proxy in (*proxies, *store_proxies.values(), *callers_proxies):
            proxy.close()
