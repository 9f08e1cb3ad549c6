"""Tests that clients who send more than they may cost neither a host nor its callers.

Real processes on loopback. Untrusted clients made an entry host use all of its memory
and exit, or left no descriptor for others. The bounds are those of the smallest host:
160 MB of memory and 1,638 descriptors. No time is checked, and no share of requests.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path

import msgspec
import pytest

from monsoongap.standin.main import default_config
from monsoongap.transport.http_client import HttpClient
from monsoongap.transport.http_conn import ExchangeLost, HttpRequest, NotConnected
from soak.deployment import Deployment, Size, open_deployment
from tests.misbehaving.clients import KINDS, Clients, Kind
from tests.platform.test_odd_entries import append, post_job

HOST = "a0"
MAX_RESIDENT_KB = 160_000
MAX_DESCRIPTORS = 1_638
SEED = 30
SAMPLE_S = 0.05
CONFIG_VERSION = 2
ATTEMPTS = 30
RETRY_S = 1.0


def peak_resident_kb(pid: int) -> int:
    """Return the highest resident memory of a process so far."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1])
    raise AssertionError("VmHWM is not in /proc")


def open_descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process."""
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))


@dataclass(slots=True)
class Descriptors:
    """The highest number of open descriptors that was seen."""

    peak: int = 0

    async def watch(self, pid: int) -> None:
        """Sample the number until cancelled, or until the process has ended."""
        with contextlib.suppress(FileNotFoundError):
            while True:
                self.peak = max(self.peak, open_descriptors(pid))
                await asyncio.sleep(SAMPLE_S)


@contextlib.asynccontextmanager
async def watched(pid: int) -> AsyncIterator[Descriptors]:
    descriptors = Descriptors()
    task = asyncio.create_task(descriptors.watch(pid))
    try:
        yield descriptors
    finally:
        task.cancel()


async def set_limits(http: HttpClient, deployment: Deployment, kind: Kind) -> None:
    """Put a configuration with the limits of a test in force."""
    config = msgspec.json.decode(default_config("site"))
    config["version"] = CONFIG_VERSION
    config["limits"] = {
        "maxHeaderBytes": kind.header_bytes,
        "maxBodyBytes": kind.body_bytes,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15_000,
    }
    await append(http, deployment, "keyed.op", "config", msgspec.json.encode(config))
    address = deployment.procs.nodes[HOST].operators
    for _ in range(ATTEMPTS):
        reply = await http.exchange(address, HttpRequest("GET", "/metrics"), 5.0)
        for line in reply.body.decode().splitlines():
            if line.startswith("monsoongap_config_version"):
                version = float(line.split()[-1])
                if version == CONFIG_VERSION:
                    return
        await asyncio.sleep(RETRY_S)
    raise AssertionError("the configuration did not come into force")


async def assert_a_job_is_completed(http: HttpClient, deployment: Deployment) -> None:
    """Send an ordinary request, again if it is refused, until it is answered."""
    seen = []
    for number in range(ATTEMPTS):
        try:
            reply = await post_job(http, deployment, HOST, 1000 + number)
        except (NotConnected, ExchangeLost) as exc:
            seen.append(str(exc))
        else:
            if reply.status == 200:
                assert msgspec.json.decode(reply.body) == {"state": "completed"}
                return
            seen.append(str(reply.status))
        await asyncio.sleep(RETRY_S)
    raise AssertionError(f"no ordinary request was answered: {seen}")


# Each kind made a host use more memory or descriptors than the smallest host has, or
# guards against it.
@pytest.mark.parametrize("kind", KINDS, ids=lambda kind: kind.name)
def test_misbehaving_clients_exhaust_no_host(kind: Kind, tmp_path: Path) -> None:
    async def main() -> None:
        async with open_deployment(SEED, tmp_path, Size(1, 1, 2)) as deployment:
            http, clients = HttpClient(), Clients()
            node, pid = deployment.procs.nodes[HOST], deployment.procs.pid(HOST)
            await set_limits(http, deployment, kind)
            async with watched(pid) as descriptors:
                await clients.play(kind, node.callers, f"{node.ip}:{node.port + 3}")
                assert deployment.procs.is_up(HOST)
                resident_kb = peak_resident_kb(pid)
                await assert_a_job_is_completed(http, deployment)
            clients.close()
            http.close()
            print(f"peak {resident_kb} kB, {descriptors.peak} descriptors")
            assert deployment.procs.is_up(HOST)
            assert max(resident_kb, peak_resident_kb(pid)) < MAX_RESIDENT_KB
            assert descriptors.peak < MAX_DESCRIPTORS

    asyncio.run(main())
