"""A deployment on loopback: the stand-in, entry hosts and proxies in between."""

import asyncio
import contextlib
import functools
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path
from string import ascii_lowercase

import msgspec

from monsoongap.load.runner import fetch_ledger
from monsoongap.platform.callers import READY_PATH
from monsoongap.standin.runner_model import LedgerEntry
from monsoongap.transport.http_client import HttpClient
from monsoongap.transport.http_conn import ExchangeLost, HttpRequest, NotConnected
from soak.processes import Processes
from soak.proxy import Proxy

IP = "127.0.0.1"
# Python starts slowly on a busy machine.
START_S = 40.0
STEP_S = 0.1
TOLD_OFFSET = 100
CONTROL_TIMEOUT_S = 5.0
CONTROL_TRIES = 10
READY_TIMEOUT_S = 0.5


@dataclass(frozen=True, slots=True)
class Size:
    """How much is started, in each data centre."""

    dcs: int = 2
    nodes: int = 2
    runners: int = 3

    @property
    def dc_names(self) -> str:
        """Return the data centres, each named by a letter."""
        return ascii_lowercase[: self.dcs]


@dataclass(slots=True)
class Deployment:
    """What a soak or a demonstration plays with; `control` is the stand-in's.

    Each data centre reaches the store through a proxy of its own.
    """

    size: Size
    rng: random.Random
    procs: Processes
    proxies: list[Proxy]
    store_proxies: dict[str, Proxy]
    http: HttpClient
    control: str

    async def tell(self, path: str, **faults: object) -> None:
        """Set a fault on the stand-in."""
        req = HttpRequest("POST", path, msgspec.json.encode(faults))
        for _ in range(CONTROL_TRIES - 1):
            try:
                await self.http.exchange(self.control, req, CONTROL_TIMEOUT_S)
            except (NotConnected, ExchangeLost):
                # The machine may be too busy to connect in time.
                await asyncio.sleep(STEP_S)
            else:
                return
        await self.http.exchange(self.control, req, CONTROL_TIMEOUT_S)

    def nodes_of(self, *dcs: str) -> list[str]:
        """Return the names of the daemons of data centres."""
        return [node.name for node in self.procs.nodes.values() if node.dc in dcs]

    async def is_ready(self, name: str) -> bool:
        """Tell whether a daemon wants callers."""
        req = HttpRequest("GET", READY_PATH)
        try:
            reply = await self.http.exchange(
                self.procs.nodes[name].ready, req, READY_TIMEOUT_S
            )
        except (NotConnected, ExchangeLost):
            # It is down or frozen: not ready.
            return False
        return reply.status == HTTPStatus.OK

    async def is_served(self) -> bool:
        """Tell whether the stand-in answers."""
        try:
            await self.ledger()
        except (NotConnected, ExchangeLost):
            # It is not up yet.
            return False
        return True

    async def ledger(self) -> list[LedgerEntry]:
        """Fetch every run that the runners saw."""
        return await fetch_ledger(self.control)


class NotStarted(Exception):
    """The deployment does not serve in time."""


async def _wait_for(served: Callable[[], Awaitable[bool]]) -> None:
    for _ in range(int(START_S / STEP_S)):
        if await served():
            return
        await asyncio.sleep(STEP_S)
    raise NotStarted(f"not served within {START_S:.0f} s")


@contextlib.asynccontextmanager
async def open_deployment(
    seed: int, out: Path, size: Size | None = None
) -> AsyncIterator[Deployment]:
    """Start everything and wait until it serves; ends what it started."""
    size = size or Size()
    port = 20_000 + (seed % 50) * 200
    runner_port = port + 50
    procs = Processes(out, port + 10)
    proxies = [
        Proxy(IP, runner_port + TOLD_OFFSET + i, runner_port + i)
        for i in range(size.dcs * size.runners)
    ]
    store_proxies = {
        dc: Proxy(IP, port + 2 + d, port) for d, dc in enumerate(size.dc_names)
    }
    all_proxies = (*proxies, *store_proxies.values())
    http = HttpClient()
    rng = random.Random(seed)
    try:
        for proxy in all_proxies:
            await proxy.listen()
        procs.start(
            "standin",
            "monsoongap.standin.main",
            f"--port={port}",
            f"--runner-port={runner_port}",
            f"--told-offset={TOLD_OFFSET}",
            f"--dcs={','.join(size.dc_names)}",
            f"--runners={size.runners}",
        )
        site = Deployment(
            size, rng, procs, proxies, store_proxies, http, f"{IP}:{port + 1}"
        )
        await _wait_for(site.is_served)
        for d, dc in enumerate(size.dc_names):
            store = f"{IP}:{store_proxies[dc].port}"
            for i in range(size.nodes):
                procs.add_node(f"{dc}{i}", dc, f"127.0.{1 + d}.{1 + i}", store)
        for name in procs.nodes:
            await _wait_for(functools.partial(site.is_ready, name))
        yield site
    finally:
        procs.end_all()
        http.close()
        for proxy in all_proxies:
            proxy.close()
