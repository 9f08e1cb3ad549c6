"""Starts per second per core through the entry daemon, against a bare relay.

Both get the same jobs in the same run, from the same clients, on the same workers
(the stand-in's, whose tasks end at once). The figure is starts per processor second
of the measured process, so neither clients nor workers distort it. The second part
measures the latency that the daemon adds on an idle system.
"""

import asyncio
import json
import statistics
import time
from dataclasses import dataclass

from bench.processes import Program, Programs, free_ports, programs
from monsoongap.transport.http_conn import HttpRequest, KeepAliveConnection

WORKERS = 8
CLIENTS = 16
TASKS_PER_JOB = 8
WARM_UP_S = 2.0
MEASURE_S = 6.0
IDLE_JOBS = 200
IDLE_RUN_MS = 20
RELAY_SHARE_MIN = 0.5
ADDED_LATENCY_MAX_MS = 2.0
TIMEOUT_S = 30.0


@dataclass(frozen=True, slots=True)
class Rate:
    """Starts of one measured process."""

    starts: int
    wall_s: float
    cpu_s: float
    rss_mb: float

    @property
    def per_core(self) -> float:
        """Starts per processor second."""
        return self.starts / self.cpu_s


@dataclass(frozen=True, slots=True)
class Deployment:
    """Addresses of what is measured."""

    entry: str
    relay: str
    workers: tuple[str, ...]
    entry_process: Program
    relay_process: Program


def deploy(group: Programs) -> Deployment:
    """Start workers, one entry daemon and the relay."""
    ports = free_ports(4 + WORKERS)
    control, caller, peer, relay, *worker_ports = ports
    workers = tuple(f"127.0.0.1:{port}" for port in worker_ports)
    locations = ", ".join(f"w{n}=dc1={a}" for n, a in enumerate(workers))
    platform = group.write(
        "platform.ini",
        f"[listen]\ncontrol = 127.0.0.1:{control}\n"
        f"[workers]\nlocations = {locations}\nslots = 32\n"
        f"[entries]\nlocations = e1=dc1=127.0.0.1:{peer}\n",
    )
    entry = group.write(
        "entry.ini",
        "[host]\nname = e1\ndc = dc1\n"
        f"[listen]\ncaller = 127.0.0.1:{caller}\npeer = 127.0.0.1:{peer}\n"
        f"[platform]\nlog_url = http://127.0.0.1:{control}\n"
        f"hosts_url = http://127.0.0.1:{control}\n"
        "[workers]\nconnections = 40\n",
    )
    names = [f"w{n}" for n in range(WORKERS)]
    for n in range(0, WORKERS, 2):
        pair = ",".join(names[n : n + 2])
        own_control = f"listen.control=127.0.0.1:{free_ports(1)[0]}"
        extra = [] if n == 0 else ["--workers-only", "--set", own_control]
        args = ("--config", platform, "--workers", pair, *extra)
        group.start(f"platform{n}", "monsoongap.standin.main", *args)
    group.wait_ready(group.started[0], f"http://127.0.0.1:{control}/v1/hosts")
    time.sleep(1.0)
    entry_process = group.start("entry", "monsoongap.entry", "--config", entry)
    relay_process = group.start("relay", "bench.relay", str(relay), *workers)
    group.wait_ready(entry_process, f"http://127.0.0.1:{caller}/readyz")
    group.wait_ready(relay_process, f"http://127.0.0.1:{relay}/readyz")
    return Deployment(
        f"127.0.0.1:{caller}",
        f"127.0.0.1:{relay}",
        workers,
        entry_process,
        relay_process,
    )


def job_body(tasks: int, run_ms: float) -> bytes:
    """Return a job of equal tasks."""
    payload = {"run_ms": run_ms, "value": "x" * 64}
    return json.dumps(
        {
            "team": "bench",
            "kind": f"k{run_ms}",
            "deadline_ms": 20_000,
            "tasks": [{"payload": payload, "expected_ms": 10}] * tasks,
        }
    ).encode()


async def issue_ids(conn: KeepAliveConnection, count: int) -> list[str]:
    """Ask the daemon for submission ids."""
    request = HttpRequest("POST", f"/v1/submissions?count={count}")
    reply = await conn.exchange(request, TIMEOUT_S)
    ids: list[str] = json.loads(reply.body)["submissions"]
    return ids


async def send_jobs(address: str, issued: bool, until: float, sent: list[int]) -> None:
    """Send jobs one after another on one connection until a time."""
    conn = await KeepAliveConnection.open(address, TIMEOUT_S)
    body = job_body(TASKS_PER_JOB, 0.0)
    ids: list[str] = []
    number = 0
    while time.monotonic() < until:
        number += 1
        if issued and not ids:
            ids = await issue_ids(conn, 100)
        key = ids.pop() if issued else f"c{id(conn)}n{number}"
        reply = await conn.exchange(HttpRequest("PUT", f"/v1/jobs/{key}", body), 30)
        if reply.status != 200:
            raise RuntimeError(f"{reply.status}: {reply.body[:200]!r}")
        sent.append(TASKS_PER_JOB)
    conn.close()


async def measure(address: str, issued: bool, process: Program) -> Rate:
    """Load a process from all clients and read what it used."""
    warm_until = time.monotonic() + WARM_UP_S
    await _load(address, issued, warm_until, [])
    before = process.usage()
    began = time.monotonic()
    sent: list[int] = []
    await _load(address, issued, began + MEASURE_S, sent)
    wall_s = time.monotonic() - began
    after = process.usage()
    return Rate(sum(sent), wall_s, after.cpu_s - before.cpu_s, after.rss_mb)


async def _load(address: str, issued: bool, until: float, sent: list[int]) -> None:
    async with asyncio.TaskGroup() as group:
        for _ in range(CLIENTS):
            group.create_task(send_jobs(address, issued, until, sent))


async def measure_idle(address: str) -> list[float]:
    """Return added milliseconds of single tasks on an idle system."""
    conn = await KeepAliveConnection.open(address, TIMEOUT_S)
    body = job_body(1, IDLE_RUN_MS)
    added = []
    for key in await issue_ids(conn, IDLE_JOBS):
        began = time.perf_counter()
        await conn.exchange(HttpRequest("PUT", f"/v1/jobs/{key}", body), TIMEOUT_S)
        added.append((time.perf_counter() - began) * 1000 - IDLE_RUN_MS)
    conn.close()
    return added


async def measure_direct(address: str) -> list[float]:
    """Return added milliseconds of the same task sent straight to a worker."""
    conn = await KeepAliveConnection.open(address, TIMEOUT_S)
    usage_reply = await conn.exchange(HttpRequest("GET", "/v1/usage"), TIMEOUT_S)
    boot = json.loads(usage_reply.body)["boot"]
    added = []
    for n in range(IDLE_JOBS):
        start = {
            "task": f"direct-{n}",
            "submission": "direct",
            "team": "bench",
            "kind": "k",
            "holder": "bench",
            "fence": 1,
            "lease": {"boot": boot, "until_ms": 10**15},
            "payload": {"run_ms": IDLE_RUN_MS, "value": "x" * 64},
        }
        request = HttpRequest(
            "PUT", f"/v1/tasks/direct-{n}", json.dumps(start).encode()
        )
        began = time.perf_counter()
        await conn.exchange(request, TIMEOUT_S)
        added.append((time.perf_counter() - began) * 1000 - IDLE_RUN_MS)
    conn.close()
    return added


async def run(deployment: Deployment) -> int:
    """Measure in turn, print the figures; returns the number of bounds missed."""
    direct = await measure_direct(deployment.workers[0])
    idle = await measure_idle(deployment.entry)
    relay = await measure(deployment.relay, False, deployment.relay_process)
    entry = await measure(deployment.entry, True, deployment.entry_process)
    added_ms = statistics.median(idle) - statistics.median(direct)
    share = entry.per_core / relay.per_core
    print(f"relay  {relay.per_core:8.0f} starts per processor second")
    print(f"entry  {entry.per_core:8.0f} starts per processor second")
    print(f"entry  {entry.starts / entry.wall_s:8.0f} starts/s, {entry.rss_mb:.1f} MB")
    print(f"share of the relay {share:.2f} (bound at least {RELAY_SHARE_MIN})")
    print(
        f"added latency, idle, median {added_ms:.2f} ms "
        f"(bound under {ADDED_LATENCY_MAX_MS} ms)"
    )
    return int(share < RELAY_SHARE_MIN) + int(added_ms >= ADDED_LATENCY_MAX_MS)


def main() -> int:
    """Run the benchmark; returns the number of bounds missed."""
    with programs() as group:
        return asyncio.run(run(deploy(group)))


if __name__ == "__main__":
    raise SystemExit(main())
