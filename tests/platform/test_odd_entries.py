"""Odd entries of other writers in the store, read by real processes.

One odd entry costs that entry and nothing else, for as long as it stands.
"""

import asyncio
import contextlib
import re
import signal
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path

import msgspec
import pytest

from monsoongap.platform import wire
from monsoongap.standin.main import default_config
from monsoongap.transport.http_client import HttpClient
from monsoongap.transport.http_conn import HttpReply, HttpRequest
from soak.deployment import IP, Deployment, Size, open_deployment
from tests.platform.site import free_ports, job_body

NESTED = b"[" * 100_000
RUNNER = {
    "service": "inspect",
    "address": "127.0.0.1:1",
    "zone": "a",
    "state": "ready",
    "capacity": {"cpu": 4000, "memMb": 4096},
    "labels": ["a"],
    "born": 1,
}
# Long enough for every host to read the list of runners, and for a runner that does not
# answer to be given up.
READ_S = 6.0


def runner(**changes: object) -> bytes:
    return msgspec.json.encode({**RUNNER, **changes})


def with_raw(field: bytes, value: bytes) -> bytes:
    """Return a runner's entry with one more field, which is not encoded."""
    return runner()[:-1] + b',"' + field + b'":' + value + b"}"


ODD_RUNNERS = {
    "i-nested": with_raw(b"odd", NESTED),
    "i-nested-labels": with_raw(b"labels", NESTED),
    "i-large-number": with_raw(b"born", b"9" * 400),
    "i-large-capacity": with_raw(b"capacity", b'{"cpu":1%s,"memMb":1}' % (b"0" * 30)),
    "i-negative": runner(capacity={"cpu": -4000, "memMb": -1}),
    "i-port-out-of-range": runner(address="127.0.0.1:99999"),
    "i-port-negative": runner(address="127.0.0.1:-1"),
    "i-no-port": runner(address="127.0.0.1"),
    "i-host-name": runner(address="no-such-host.invalid:80"),
    "i-zone": runner(zone="elsewhere"),
    "i-state": runner(state="resting"),
    "i-bytes": b"\xff\x00",
    "i-type": b"[1,2]",
    "i-header\r\nX-Odd: 1": runner(),
    "i-\u00fc\u20ac": runner(),
    # Well-formed, but nobody listens there.
    "i-nobody": runner(capacity={"cpu": 900_000_000, "memMb": 900_000_000}),
}
ODD_CARDS = {
    "nested": b'["nested","a","127.0.0.1",1,1,' + NESTED,
    "large": b'["large","a","127.0.0.1",1,1%s,1.0]' % (b"0" * 30),
    "port": b'["port","a","127.0.0.1",99999,1,1.0]',
    "cores": b'["cores","a","127.0.0.1",1,1,-1e300]',
    "ip": b'["ip","a","no-such-host.invalid",1,1,1.0]',
    # Another writer's card under the name of a living host, of a later incarnation.
    "a1": b'["a1","a","127.0.0.9",1,9000000000000000,1.0]',
    "other": b'["a0","a","127.0.0.9",1,9000000000000000,1.0]',
}
ODD_CONFIGS = (
    b'{"version":5,"routes":' + NESTED,
    b'{"version":5,"odd":' + NESTED,
    b'{"version":1' + b"0" * 30 + b',"routes":[],"services":[]}',
    b'{"version":' + b"9" * 400 + b"}",
    b'{"version":-7}',
    b"\xff",
)


async def append(
    http: HttpClient, deployment: Deployment, topic: str, key: str, value: bytes
) -> None:
    path = f"/monsoongap/log-append?topic={topic}&part=0"
    req = HttpRequest("POST", path, wire.keyed_record(key, value))
    store = f"{IP}:{int(deployment.control.rpartition(':')[2]) - 1}"
    reply = await http.exchange(store, req, 5.0)
    assert reply.status == 200


async def restart(deployment: Deployment, host: str) -> None:
    """Kill a host, start it again and wait until it is ready."""
    deployment.procs.signal(host, signal.SIGKILL)
    deployment.procs.wait(host, 5)
    deployment.procs.start_node(host)
    for _ in range(200):
        if await deployment.is_ready(host):
            return
        await asyncio.sleep(0.1)
    raise AssertionError(f"{host} is not ready 20 s after its start")


async def post_job(
    http: HttpClient, deployment: Deployment, host: str, number: int, path: str = "scan"
) -> HttpReply:
    req = HttpRequest(
        "POST", f"/{path}/{number:016x}", job_body(1, work_ms=20), (("Host", "site"),)
    )
    return await http.exchange(deployment.procs.nodes[host].callers, req, 8.0)


async def statuses(
    http: HttpClient, deployment: Deployment, first: int, path: str = "scan"
) -> set[int]:
    """Submit a few jobs at every host, and return the statuses of the replies."""
    found = set()
    for i, host in enumerate(list(deployment.procs.nodes) * 3):
        reply = await post_job(http, deployment, host, first + i, path)
        found.add(reply.status)
    return found


def exceptions_in(logs: Iterable[Path]) -> list[str]:
    return [
        line[:300]
        for log in logs
        for line in log.read_text().splitlines()
        if '"exception"' in line or "Traceback" in line or "exception" in line.lower()
    ]


def run_on_processes(
    seed: int,
    out: Path,
    test: Callable[[HttpClient, Deployment], Awaitable[None]],
) -> None:
    """Run a test on real processes; none may end or log an exception."""

    async def main() -> None:
        async with open_deployment(seed, out, Size(1, 2, 2)) as deployment:
            http = HttpClient()
            pids = {n: deployment.procs.pid(n) for n in deployment.procs.nodes}
            await test(http, deployment)
            assert all(deployment.procs.is_up(name) for name in pids)
            http.close()

    asyncio.run(main())
    assert exceptions_in(out.glob("a*.log")) == []


# Issue 22: a deeply nested entry, a number too large or a port out of range ended the
# task that read the list, or the heartbeats of the host.
def test_odd_runner_entries_cost_only_themselves(tmp_path: Path) -> None:
    async def test(http: HttpClient, deployment: Deployment) -> None:
        for key, value in ODD_RUNNERS.items():
            await append(http, deployment, "keyed.servers", key, value)
        await asyncio.sleep(READ_S)
        assert await statuses(http, deployment, 1) == {200}
        # The list is still followed, and a host that starts now reads it as well.
        await deployment.post_control("/entry", id="a-r0", gone=True)
        await restart(deployment, "a0")
        await asyncio.sleep(READ_S)
        assert await statuses(http, deployment, 100) == {200}

    run_on_processes(41, tmp_path, test)


# Issue 22: a host card with a port out of range ended each round of heartbeats, and one
# under another host's name replaced that host.
def test_odd_host_cards_cost_only_themselves(tmp_path: Path) -> None:
    async def test(http: HttpClient, deployment: Deployment) -> None:
        for key, value in ODD_CARDS.items():
            await append(http, deployment, "keyed.hosts", key, value)
        # Cards are read at the start of a host.
        await restart(deployment, "a0")
        await asyncio.sleep(2.0)
        assert await statuses(http, deployment, 1) == {200}
        # One host is known to the other: a single one owns the runners.
        for name in deployment.procs.nodes:
            address = deployment.procs.nodes[name].operators
            status = await http.exchange(address, HttpRequest("GET", "/v1/status"), 5.0)
            rows = msgspec.json.decode(status.body)["hosts"]
            assert {row["host"] for row in rows if row["live"]} >= {"a0", "a1"}

    run_on_processes(42, tmp_path, test)


# Issue 22: a configuration that was nested deeply ended the task that follows it.
@pytest.mark.parametrize("number", range(len(ODD_CONFIGS)))
def test_an_odd_configuration_does_not_end_the_reading_of_later_ones(
    number: int, tmp_path: Path
) -> None:
    async def test(http: HttpClient, deployment: Deployment) -> None:
        odd, valid = ODD_CONFIGS[number], msgspec.json.decode(default_config("site"))
        await append(http, deployment, "keyed.op", "config", odd)
        await asyncio.sleep(0.5)
        assert await statuses(http, deployment, 1) == {200}
        route = {**valid["routes"][0], "name": "r-added", "pathPrefix": "/added/"}
        later = {**valid, "version": 9, "routes": [*valid["routes"], route]}
        text = msgspec.json.encode(later)
        await append(http, deployment, "keyed.op", "config", text)
        await asyncio.sleep(1.0)
        assert await statuses(http, deployment, 100, "added") == {200}

    run_on_processes(43 + number, tmp_path, test)


ODD_BODIES = (
    NESTED,
    b'{"spec":"x","bestEffort":true,"steps":' + NESTED,
    b'{"spec":"x","bestEffort":true,"steps":[{"count":1,"cpu":1' + b"0" * 30 + b"}]}",
    b'{"spec":"x","bestEffort":true,"steps":[{"count":1,"cpu":-5}]}',
    b"\xff",
)
ODD_DATAGRAMS = (b"", b"\x91" * 60_000, b"\xc1", msgspec.msgpack.encode([[1] * 6] * 9))


class OddRunner:
    """A runner whose every reply is nested deeply."""

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Reply to the requests of one connection."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(NESTED)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                request = await reader.readuntil(b"\r\n\r\n")
                size = re.search(rb"Content-Length: (\d+)", request)
                await reader.readexactly(int(size[1]) if size else 0)
                writer.write(head + NESTED)
        writer.close()


# Issue 22: a body, a message or a reply that is nested deeply raised an error that
# nothing expects: its sender got no answer, and a runner was never polled again.
def test_odd_callers_hosts_and_runners_cost_only_themselves(tmp_path: Path) -> None:
    async def test(http: HttpClient, deployment: Deployment) -> None:
        (port,) = free_ports(1)
        server = await asyncio.start_server(OddRunner().serve, IP, port)
        entry = runner(address=f"{IP}:{port}")
        await append(http, deployment, "keyed.servers", "i-odd-replies", entry)
        loop = asyncio.get_running_loop()
        for number, host in enumerate(deployment.procs.nodes):
            node = deployment.procs.nodes[host]
            for body in ODD_BODIES:
                path = f"/scan/{number:016x}"
                req = HttpRequest("POST", path, body, (("Host", "site"),))
                assert (await http.exchange(node.callers, req, 5.0)).status == 400
                for name in ("SubmitCall", "LendCall", "RunnersCall"):
                    call = HttpRequest("POST", f"/{name}", body)
                    reply = await http.exchange(f"{node.ip}:{node.port + 3}", call, 5.0)
                    assert reply.status == 400
            transport, _ = await loop.create_datagram_endpoint(
                asyncio.DatagramProtocol, remote_addr=(node.ip, node.port + 3)
            )
            for payload in ODD_DATAGRAMS:
                transport.sendto(payload)
            transport.close()
        await asyncio.sleep(READ_S)
        assert await statuses(http, deployment, 100) == {200}
        server.close()

    run_on_processes(49, tmp_path, test)
