"""Tests of the stand-in over real sockets, through the shipped clients."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from monsoongap.errors import (
    LogTrimmed,
    LogUnavailable,
    StartAmbiguous,
    WorkerUnreachable,
)
from monsoongap.protocol.messages import (
    HostEntry,
    Ledger,
    Refusal,
    StartLease,
    TaskStart,
    TaskState,
)
from monsoongap.settings import (
    EntrySettings,
    HostSection,
    PlatformSection,
    WorkersSection,
)
from monsoongap.standin import faults
from monsoongap.standin.control_server import ControlServer
from monsoongap.standin.main import build, main
from monsoongap.standin.settings import StandInSettings, host_entries, load_settings
from monsoongap.transport.platform_client import HostListClient, LogClient
from monsoongap.transport.workers import HttpWorkers
from tests.programs import run_main

INI = """
[listen]
control = 127.0.0.1:{}
[workers]
locations = w1=dc1=127.0.0.1:{}, w2=dc1=127.0.0.1:{}
slots = 1
[log_service]
keep_records = 3
"""


def free_ports(count: int) -> list[int]:
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Deployment:
    """A stand-in in this process and the clients that talk to it."""

    def __init__(self, cfg: StandInSettings) -> None:
        self.parts = build(cfg, frozenset())
        self.control = ControlServer(self.parts, cfg.listen.control, False)
        self.url = f"http://{cfg.listen.control}"
        addresses = {host.name: host.address for host in host_entries(cfg)}
        platform = PlatformSection(log_url=self.url, hosts_url=self.url)
        host = HostSection("h1", "dc1")
        self.entry = EntrySettings(host=host, platform=platform)
        connections = cfg.workers.connections
        self.workers = HttpWorkers(
            WorkersSection(), addresses.get, lambda name: connections
        )

    async def start(self, task: str, run_ms: int = 10) -> TaskState:
        usage = await self.workers.usage("w1")
        lease = StartLease(usage.boot, usage.clock_ms + 3000)
        payload = {"run_ms": run_ms, "value": 1}
        start = TaskStart(task, "s", "team", "kind", "h1", 1, lease, payload)
        self.report = await self.workers.start("w1", start)
        return self.report.state

    async def put(self, path: str, body: bytes) -> int:
        client = AsyncHTTPClient()
        reply = await client.fetch(
            self.url + path, method="PUT", body=body, raise_error=False
        )
        return reply.code

    async def set_faults(self, *wanted: faults.Fault) -> None:
        assert await self.put("/v1/faults", faults.encode_faults(wanted)) == 200


def run(tmp_path: Path, scenario: Callable[[Deployment], Awaitable[None]]) -> None:
    async def main() -> None:
        path = tmp_path / "platform.ini"
        path.write_text(INI.format(*free_ports(3)))
        deployment = Deployment(load_settings(path))
        for worker in deployment.parts.workers:
            worker.listen()
        deployment.control.listen()
        await scenario(deployment)
        deployment.workers.close()
        deployment.control.stop()
        for worker in deployment.parts.workers:
            worker.stop()
            await worker.model.close()

    asyncio.run(main())


def test_tasks_run_are_refused_and_are_kept_in_the_ledger(tmp_path: Path) -> None:
    async def scenario(dep: Deployment) -> None:
        running = asyncio.create_task(dep.start("s/0", run_ms=150))
        await asyncio.sleep(0.05)
        assert await dep.start("s/1") is TaskState.REFUSED
        assert dep.report.refusal is Refusal.BUSY
        inspected = await dep.workers.inspect("w1", "s/0", 0)
        assert inspected.state is TaskState.RUNNING
        assert await running is TaskState.DONE
        assert dep.report.answer == {"task": "s/0", "value": 1}
        reply = await AsyncHTTPClient().fetch(f"{dep.url}/v1/ledger")
        ledger = msgspec.json.decode(reply.body, type=Ledger)
        assert [(e.task, e.state) for e in ledger.entries] == [("s/0", "done")]

    run(tmp_path, scenario)


def test_silence_hangs_open_connections_and_spares_new_ones(tmp_path: Path) -> None:
    async def scenario(dep: Deployment) -> None:
        hung = asyncio.create_task(dep.start("s/0", run_ms=100))
        await asyncio.sleep(0.05)
        await dep.set_faults(faults.Silence("w1"))
        report = await dep.workers.inspect("w1", "s/0", 1000)
        assert report.state is TaskState.DONE
        await asyncio.sleep(0.1)
        assert not hung.done()
        hung.cancel()

    run(tmp_path, scenario)


def test_death_resets_then_refuses_and_restarts(tmp_path: Path) -> None:
    async def scenario(dep: Deployment) -> None:
        boot = (await dep.workers.usage("w1")).boot
        running = asyncio.create_task(dep.start("s/0", run_ms=5000))
        await asyncio.sleep(0.05)
        await dep.set_faults(faults.Die("w1", restart_s=0.2))
        with pytest.raises(StartAmbiguous):
            await running
        with pytest.raises(WorkerUnreachable):
            await dep.workers.usage("w1")
        await asyncio.sleep(0.3)
        assert (await dep.workers.usage("w1")).boot == boot + 1

    run(tmp_path, scenario)


def test_log_and_host_list_through_the_shipped_clients(tmp_path: Path) -> None:
    async def scenario(dep: Deployment) -> None:
        log_client = LogClient(dep.entry)
        assert await log_client.append("a b", ("1", "2", "3", "4")) == 0
        with pytest.raises(LogTrimmed) as trimmed:
            await log_client.read("a b", 0, 10, 0)
        page = await log_client.read("a b", trimmed.value.first_offset, 10, 0)
        assert [record.data for record in page.records] == ["2", "3", "4"]
        await dep.set_faults(faults.LogOutage(60))
        with pytest.raises(LogUnavailable):
            await log_client.append("a b", ("5",))
        hosts = (await HostListClient(dep.entry).fetch()).hosts
        assert [host.name for host in hosts] == ["w1", "w2"]
        changed: tuple[HostEntry, ...] = (replace(hosts[0], leaving=True), hosts[1])
        body = msgspec.json.encode({"hosts": changed})
        assert await dep.put("/v1/hosts", body) == 200
        assert (await HostListClient(dep.entry).fetch()).hosts[0].leaving
        log_client.close()

    run(tmp_path, scenario)


def test_malformed_calls_are_answered_with_their_reason(tmp_path: Path) -> None:
    async def scenario(dep: Deployment) -> None:
        worker = f"http://{dep.parts.workers[0].address}"
        bodies = {"body": b'{"task": 3}', "method": "PUT"}
        for url, options, clue in (
            (f"{worker}/v1/tasks/s%2F0", bodies, b"task"),
            (f"{worker}/v1/tasks/s%2F0?wait_ms=x", {}, b"wait_ms"),
            (f"{worker}/v1/tasks/s%2F0", {"method": "DELETE"}, b"fence"),
            (f"{dep.url}/v1/faults", {"method": "PUT", "body": b"{}"}, b"faults"),
            (f"{dep.url}/v1/log/a", {"method": "POST", "body": b"[]"}, b"object"),
        ):
            with pytest.raises(HTTPClientError) as refused:
                await AsyncHTTPClient().fetch(url, **options)
            assert refused.value.code == 400
            assert refused.value.response is not None
            assert clue in refused.value.response.body

    run(tmp_path, scenario)


def test_check_config_lists_every_fault(tmp_path: Path) -> None:
    path = tmp_path / "platform.ini"
    path.write_text("[workers]\nlocations = w1=dc1=127.0.0.1:1, w1=dc1=127.0.0.1:2\n")
    twice = run_main(main, "--config", str(path), "--check-config")
    assert twice.exit_code == 2 and "'w1' is given twice" in twice.output
    path.write_text("[workers]\nslots = 0\n[lgo]\nlevel = info\n")
    wrong = run_main(main, "--config", str(path), "--check-config")
    assert wrong.exit_code == 2
    assert "slots" in wrong.output and "lgo" in wrong.output
    path.write_text("[workers]\nslots = 4\n")
    right = run_main(main, "--config", str(path), "--check-config")
    assert right.exit_code == 0
