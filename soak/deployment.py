"""A deployment on loopback: the stand-in, entry hosts and proxies in between."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path

import msgspec

from monsoongap.load.runner import fetch_ledger
from monsoongap.standin.runner_model import LedgerEntry
from monsoongap.transport.http_client import HttpClient
from monsoongap.transport.http_conn import HttpRequest
from soak.processes import Processes
from soak.proxy import Proxy

IP = "127.0.0.1"
DCS = ("a", "b")
NODES_PER_DC = 2
RUNNERS_PER_DC = 3
WARM_UP_S = 6.0
TOLD_OFFSET = 100
CONTROL_TIMEOUT_S = 5.0


@dataclass(slots=True)
class Deployment:
    """What a soak or a demonstration plays with; `control` is the stand-in's."""

    rng: random.Random
    procs: Processes
    proxies: list[Proxy]
    store_proxy: Proxy
    http: HttpClient
    control: str

    async def tell(self, path: str, **faults: object) -> None:
        """Set a fault on the stand-in."""
        req = HttpRequest("POST", path, msgspec.json.encode(faults))
        await self.http.exchange(self.control, req, CONTROL_TIMEOUT_S)

    async def ledger(self) -> list[LedgerEntry]:
        """Fetch every run that the runners saw."""
        return await fetch_ledger(self.control)


@contextlib.asynccontextmanager
async def open_deployment(seed: int, out: Path) -> AsyncIterator[Deployment]:
    """Start everything and wait until it serves; ends what it started."""
    port = 20_000 + (seed % 50) * 200
    runner_port = port + 50
    procs = Processes(out, f"{IP}:{port + 2}", port + 10)
    proxies = [
        Proxy(IP, runner_port + TOLD_OFFSET + i, runner_port + i)
        for i in range(len(DCS) * RUNNERS_PER_DC)
    ]
    store_proxy = Proxy(IP, port + 2, port)
    http = HttpClient()
    rng = random.Random(seed)
    try:
        for proxy in (*proxies, store_proxy):
            await proxy.listen()
        procs.start(
            "standin",
            "monsoongap.standin.main",
            f"--port={port}",
            f"--runner-port={runner_port}",
            f"--told-offset={TOLD_OFFSET}",
            f"--dcs={','.join(DCS)}",
            f"--runners={RUNNERS_PER_DC}",
        )
        for d, dc in enumerate(DCS):
            for i in range(NODES_PER_DC):
                procs.add_node(f"{dc}{i}", dc, f"127.0.{1 + d}.{1 + i}")
        await asyncio.sleep(WARM_UP_S)
        yield Deployment(rng, procs, proxies, store_proxy, http, f"{IP}:{port + 1}")
    finally:
        procs.end_all()
        http.close()
        for proxy in (*proxies, store_proxy):
            proxy.close()
