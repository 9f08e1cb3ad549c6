"""A small deployment on loopback: stand-ins of the store, runners and ingress.

The entry hosts are the project's own daemons, started with the command of the deploy
file and with settings rendered from its template. Everything else runs in this process
and behaves as the users' pages say.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import re
import shlex
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
# Bounds of the small deployment `kpi-sched`.
BOUNDS = {
    "holdMaxMs": 1000,
    "drainMs": 2000,
    "configApplyMs": 2000,
    "resendMs": 1300,
    "graceS": 6,
}
HOLD_MAX_MS = 1000
HEARTBEAT_S = 1.5
STORE_ANSWER_S = 0.004
FRONT_PORT, CONTROL_PORT, READY_PORT, PEER_PORT = 8161, 8166, 8167, 7720
STORE_PORT = 8169
MAX_ENDS = 500
SERVICE = "pruefdienst"


# HTTP.


@dataclass(slots=True)
class Request:
    """A request that a stand-in has received."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body or b"{}")


Handler = Callable[[Request], Awaitable[tuple[int, bytes] | None]]


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Read a request or an answer: its first line, its headers and its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    body = await reader.readexactly(size) if size else b""
    return first, headers, body


class HttpServer:
    """Serves HTTP/1.1 with kept-alive connections; None as an answer sends nothing."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, ip: str, port: int) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve, ip, port, backlog=512)

    def close(self) -> None:
        """Stop listening and reset every connection, like a killed process."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                path, _, text = target.partition("?")
                query = dict(p.split("=", 1) for p in text.split("&") if "=" in p)
                answer = await self._handler(
                    Request(method, path, query, headers, body)
                )
                if answer is None:
                    await reader.read()
                    return
                status, content = answer
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                head += f"Content-Length: {len(content)}\r\n\r\n"
                writer.write(head.encode() + content)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()


async def exchange(
    address: tuple[str, int],
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 5.0,
) -> tuple[int, bytes] | None:
    """Send a request on a new connection; None if there is no complete answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            head = f"{method} {path} HTTP/1.1\r\nContent-Length: {len(body)}\r\n"
            for name, value in {"Host": "x", **(headers or {})}.items():
                head += f"{name}: {value}\r\n"
            writer.write(head.encode() + b"\r\n" + body)
            first, _, content = await read_message(reader)
            return int(first.split(" ")[1]), content
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


# The record of a play.


class Record:
    """Writes what was sent, answered and run, one JSON line each."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the play began."""
        return time.monotonic() - self._began

    def add(self, event: str, **fields: Any) -> None:
        """Write an event."""
        line = {"t": round(self.now(), 4), "event": event, **fields}
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()


# The store.


class Store:
    """The platform's log: keyed topics with one partition."""

    def __init__(self) -> None:
        self.records: dict[str, list[tuple[str, bytes]]] = {}
        self.newest: dict[str, dict[str, tuple[int, bytes]]] = {}
        self._appended = asyncio.Condition()
        self.server = HttpServer(self._handle)

    async def append(self, topic: str, key: str, value: bytes) -> int:
        """Append a record; an empty value drops the key."""
        async with self._appended:
            records = self.records.setdefault(topic, [])
            records.append((key, value))
            newest = self.newest.setdefault(topic, {})
            if value:
                newest[key] = (len(records) - 1, value)
            else:
                newest.pop(key, None)
            self._appended.notify_all()
            return len(records) - 1

    async def _handle(self, req: Request) -> tuple[int, bytes]:
        await asyncio.sleep(STORE_ANSWER_S)
        topic = req.query.get("topic", "")
        match req.path:
            case "/monsoongap/log-append":
                body, offset = req.body, len(self.records.get(topic, []))
                while body:
                    (size,) = struct.unpack(">I", body[:4])
                    content, body = body[4 : 4 + size], body[4 + size :]
                    name = content[1 : 1 + content[0]].decode()
                    await self.append(topic, name, content[1 + content[0] :])
                end = len(self.records.get(topic, []))
                return 200, json.dumps({"offset": offset, "end": end}).encode()
            case "/monsoongap/log-newest":
                items = [
                    {
                        "key": key,
                        "value": base64.b64encode(value).decode(),
                        "offset": offset,
                    }
                    for key, (offset, value) in self.newest.get(topic, {}).items()
                ]
                end = len(self.records.get(topic, []))
                page = {"items": items, "hasMore": False, "end": end}
                return 200, json.dumps(page).encode()
            case "/monsoongap/log-read":
                return 200, await self._read(topic, req.query)
        return 404, b"{}"

    async def _read(self, topic: str, query: dict[str, str]) -> bytes:
        start, wait_s = int(query["from"]), int(query.get("waitMs", "0")) / 1000
        async with self._appended:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._appended.wait_for(
                        lambda: len(self.records.get(topic, [])) > start
                    )
        records = self.records.get(topic, [])
        parts = [struct.pack(">QQ", len(records), 0)]
        for key, value in records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            parts.append(struct.pack(">I", len(content)) + content)
        return b"".join(parts)


# Runners.


@dataclass(slots=True)
class Run:
    """A run at work on a runner; `left_s` is the work that remains."""

    task: str
    number: int
    cpu: int
    total_s: float
    ends_at: float
    began_at: float


@dataclass(slots=True)
class Kind:
    """What a life of a runner is: its label, its rack and its capacity."""

    label: str = "a"
    cpu: int = 16_000
    mem_mb: int = 32_768


@dataclass(slots=True)
class Runner:
    """A runner, life after life. `guards` rejects what does not fit."""

    id: str
    zone: str
    ip: str
    port: int
    store: Store
    record: Record
    guards: bool = True
    kind: Kind = field(default_factory=Kind)
    rack: str = "r1"
    draining: bool = False
    up: bool = False
    runs: dict[str, Run] = field(default_factory=dict)
    starts: list[dict[str, Any]] = field(default_factory=list)
    _server: HttpServer | None = None
    _fence: int = 0
    _born: float = 0.0
    _born_ms: int = 0
    _polled_at: float | None = None
    _lease_until_ms: float = 0.0
    _closed: dict[str, int] = field(default_factory=dict)
    _ends: list[list[Any]] = field(default_factory=list)
    _end_count: int = 0
    _seq: int = 0
    _changed: asyncio.Event = field(default_factory=asyncio.Event)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)

    async def start_life(self, kind: Kind | None = None) -> None:
        """Start: with no runs, no fence and a clock at 0; register in the store."""
        self.kind = kind or self.kind
        self.runs, self._closed, self._ends = {}, {}, []
        self._fence = self._end_count = self._seq = 0
        self._lease_until_ms = 0.0
        self._polled_at = None
        self._born, self._born_ms = time.monotonic(), int(time.time() * 1000)
        self.draining = False
        self.up = True
        await self.register()
        self._server = HttpServer(self._handle)
        await self._server.listen(self.ip, self.port)
        self._tasks = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._work()),
        ]
        self.record.add(
            "runner up", runner=self.id, label=self.kind.label, cpu=self.kind.cpu
        )

    def crash(self) -> None:
        """End at once: every run is gone and connections are reset."""
        self.up = False
        for run in list(self.runs.values()):
            self._note_end(run, "crashed")
        self.runs.clear()
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
        self.record.add("runner crashed", runner=self.id)

    async def drain(self) -> None:
        """Report that the runner drains; returns when the store has accepted it."""
        self.draining = True
        await self.register()
        self.record.add("runner draining", runner=self.id)

    async def register(self) -> None:
        """Write the runner's entry."""
        self._seq += 1
        entry = {
            "service": SERVICE,
            "address": f"{self.ip}:{self.port}",
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "coldLeftMs": 0,
            "seq": self._seq,
            "born": self._born_ms,
            "capacity": {"cpu": self.kind.cpu, "memMb": self.kind.mem_mb, "gpu": 0},
            "labels": [self.kind.label, self.rack],
        }
        await self.store.append("keyed.servers", self.id, json.dumps(entry).encode())

    @property
    def used_cpu(self) -> int:
        """Return the processors in use, in thousandths of a core."""
        return sum(run.cpu for run in self.runs.values())

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.register()

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(0.002)
            self._advance()

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._born) * 1000)

    def _advance(self) -> None:
        now = time.monotonic()
        lapsed = self._clock_ms() > self._lease_until_ms
        for run in list(self.runs.values()):
            if run.ends_at <= now:
                self._end(run, "done")
            elif lapsed:
                self._end(run, "lapsed")

    def _note_end(self, run: Run, how: str) -> None:
        self.record.add(
            "run ended", runner=self.id, task=run.task, run=run.number, how=how
        )

    def _end(self, run: Run, how: str) -> None:
        del self.runs[run.task]
        self._closed[run.task] = max(self._closed.get(run.task, 0), run.number)
        self._end_count += 1
        self._ends.append([self._end_count, run.task, run.number, how, ""])
        self._note_end(run, how)
        self._changed.set()

    def _extend(self, until_ms: int) -> None:
        limit = min(until_ms, self._clock_ms() + HOLD_MAX_MS)
        self._lease_until_ms = max(self._lease_until_ms, limit)

    def _answer(self, status: int, **fields: Any) -> tuple[int, bytes]:
        body = {"clockMs": self._clock_ms(), "born": self._born_ms, **fields}
        return status, json.dumps(body).encode()

    async def _handle(self, req: Request) -> tuple[int, bytes] | None:
        if req.headers.get("x-monsoongap-expect-instance", self.id) != self.id:
            return self._answer(421)
        if req.path == "/health":
            return (503 if self.draining else 200), b"{}"
        body = req.json()
        fence = body.get("fencingToken", 0)
        if fence < self._fence:
            return self._answer(409, reason="fence")
        self._fence = fence
        self._advance()
        match req.path:
            case "/monsoongap/run-start":
                return self._start(body)
            case "/monsoongap/run-stop":
                return self._stop(body)
            case "/monsoongap/hold":
                return await self._hold(body)
        return 404, b"{}"

    def _start(self, body: dict[str, Any]) -> tuple[int, bytes]:
        task, number = body["task"], body["runId"]
        self._extend(body["deadlineMs"])
        known = self.runs.get(task)
        if known is not None and known.number == number:
            return self._answer(200)
        if known is not None or number <= self._closed.get(task, 0):
            return self._answer(409, reason="old")
        if body["deadlineMs"] <= self._clock_ms():
            return self._answer(409, reason="late")
        spec = json.loads(body["spec"])
        _, _, step, index = task.split(".")
        work_s = spec["work_s"][int(step)]
        cpu = spec["cpu"][int(step)]
        if self.guards and self.used_cpu + cpu > self.kind.cpu:
            return self._answer(409, reason="room")
        now = time.monotonic()
        self.runs[task] = Run(task, number, cpu, work_s, now + work_s, now)
        start = {
            "runner": self.id,
            "task": task,
            "run": number,
            "label": self.kind.label,
            "draining": self.draining,
            "polled_s": round(now - self._polled_at, 4) if self._polled_at else None,
            "used_cpu": self.used_cpu,
            "cpu": self.kind.cpu,
            "spec": spec,
        }
        self.starts.append({"t": self.record.now(), **start})
        self.record.add("run began", **start)
        self._changed.set()
        return self._answer(200)

    def _stop(self, body: dict[str, Any]) -> tuple[int, bytes]:
        task, number = body["task"], body["runId"]
        self._closed[task] = max(self._closed.get(task, 0), number)
        known = self.runs.get(task)
        if known is not None and known.number <= number:
            self._end(known, "stopped")
        return self._answer(200)

    async def _hold(self, body: dict[str, Any]) -> tuple[int, bytes]:
        if "deadlineMs" in body:
            self._extend(body["deadlineMs"])
        seen = body.get("lastSeen", 0)
        self._ends = [end for end in self._ends if end[0] > seen]
        until = time.monotonic() + body.get("waitMs", 0) / 1000
        while not self._ends and (left := until - time.monotonic()) > 0:
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self._changed.wait()
        now = time.monotonic()
        self._polled_at = self._polled_at or now
        running = [
            [r.task, r.number, "", int(100 * (now - r.began_at) / r.total_s), r.cpu]
            for r in self.runs.values()
        ]
        return self._answer(200, running=running, finished=self._ends[:MAX_ENDS])


# Entry hosts.


def _render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a settings template as the deploy page says."""

    def value_of(path: str) -> str:
        value: Any = fields
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    def section(match: re.Match[str]) -> str:
        keys = list(fields[match[1]])
        texts = []
        for i, key in enumerate(keys):
            text = match[2].replace("{{@}}", str(key))
            texts.append(text.replace("{{,}}", "," if i + 1 < len(keys) else ""))
        return "".join(texts)

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: value_of(m[1]), text)


@dataclass(slots=True)
class EntryHost:
    """One entry host: a daemon with its own loopback address."""

    name: str
    zone: str
    ip: str
    settings: Path
    log: Path
    command: list[str]
    process: subprocess.Popen[bytes] | None = None
    ready: bool = False
    misses: int = 0

    def start(self) -> None:
        """Start the daemon."""
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/tmp"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "MONSOONGAP_NODE_FILE": str(self.settings),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def signal(self, number: int) -> None:
        """Send a signal to the daemon."""
        assert self.process is not None
        self.process.send_signal(number)

    def end(self) -> None:
        """Kill the daemon and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


def _free_octet() -> int:
    """Return a second octet of 127.0.0.0/8 that no other play uses."""
    while True:
        octet = random.randint(20, 250)
        with socket.socket() as sock:
            try:
                sock.bind((f"127.{octet}.0.7", STORE_PORT))
            except OSError:
                # Another play has its store there.
                continue
        return octet


@dataclass(slots=True)
class Lab:
    """A running deployment."""

    record: Record
    out: Path
    zones: tuple[str, ...]
    octet: int = field(default_factory=lambda: _free_octet())
    store: Store = field(init=False)
    hosts: list[EntryHost] = field(default_factory=list)
    runners: list[Runner] = field(default_factory=list)
    routes: dict[str, int] = field(default_factory=dict)
    guards: bool = True
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)

    async def open(self, hosts_per_zone: int, kinds: list[Kind]) -> None:
        """Start the store, the runners and the hosts; wait until all are ready."""
        self.store = Store()
        await self.store.server.listen(f"127.{self.octet}.0.7", STORE_PORT)
        config = {
            "version": 5,
            "routes": [
                {
                    "name": name,
                    "host": "nony24.example",
                    "pathPrefix": f"/{name}/",
                    "timeoutMs": 1500,
                    "targetLatencyMs": 60,
                    "priority": priority,
                    "service": SERVICE,
                    "maxAttempts": 3,
                    "stretch": 1.6,
                }
                for name, priority in self.routes.items()
            ],
            "services": [{"name": SERVICE, "admissionCheck": self.guards}],
            "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 262_144},
        }
        await self.store.append("keyed.op", "config", json.dumps(config).encode())
        for z, zone in enumerate(self.zones):
            for i, kind in enumerate(kinds):
                runner = Runner(
                    f"i-{zone}-{i}-{self.octet:02x}",
                    zone,
                    f"127.{self.octet}.{z + 1}.{100 + i}",
                    8400,
                    self.store,
                    self.record,
                    self.guards,
                    kind,
                    f"rack-{z}-{i // 6}",
                )
                self.runners.append(runner)
                await runner.start_life()
        self._add_hosts(hosts_per_zone)
        for host in self.hosts:
            host.start()
        self._tasks.append(asyncio.create_task(self._probe()))
        for _ in range(300):
            if all(host.ready for host in self.hosts):
                break
            await asyncio.sleep(0.1)
        else:
            raise CannotRun("the entry hosts did not become ready")
        self.record.add("deployment ready")
        # The platform lets some seconds pass before the traffic starts.
        await asyncio.sleep(5.0)

    def _add_hosts(self, per_zone: int) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["entry"]
        template = (ROOT / role["template"]).read_text()
        command = shlex.split(role["run"])
        ips = {
            (z, i): f"127.{self.octet}.{z + 1}.{10 + i}"
            for z in range(len(self.zones))
            for i in range(per_zone)
        }
        seeds = [f"{ips[z, 0]}:{CONTROL_PORT}" for z in range(len(self.zones))][:3]
        for (z, i), ip in ips.items():
            name = f"front-{self.zones[z]}-{i + 1}"
            fields = {
                "node": name,
                "zone": self.zones[z],
                "region": "tirol",
                "ip": ip,
                "portRange": [PEER_PORT, PEER_PORT + 15],
                "seeds": seeds,
                "zones": dict.fromkeys(self.zones, "tirol"),
                "bindAddrs": {
                    "front": f"{ip}:{FRONT_PORT}",
                    "ready": f"{ip}:{READY_PORT}",
                },
                "limits": {"cpuShare": 0.537, "cores": 2},
                "platform": {"address": f"127.{self.octet}.0.7:{STORE_PORT}"},
                "bounds": BOUNDS,
            }
            settings = self.out / f"{name}.ini"
            settings.write_text(_render(template, fields))
            self.hosts.append(
                EntryHost(
                    name,
                    self.zones[z],
                    ip,
                    settings,
                    self.out / f"{name}.log",
                    command,
                )
            )

    def close(self) -> None:
        """End all that was started."""
        for task in self._tasks:
            task.cancel()
        for host in self.hosts:
            host.end()
        for runner in self.runners:
            if runner.up:
                runner.crash()
        self.store.server.close()

    async def _probe(self) -> None:
        """Probe readiness once a second; two misses take a host out of rotation."""
        while True:
            await asyncio.gather(*(self._probe_one(host) for host in self.hosts))
            await asyncio.sleep(1.0 if all(h.ready for h in self.hosts) else 0.5)

    async def _probe_one(self, host: EntryHost) -> None:
        answer = await exchange(
            (host.ip, READY_PORT), "GET", "/monsoongap/ready", timeout_s=0.5
        )
        if answer is not None and answer[0] == 200:
            host.ready, host.misses = True, 0
            return
        host.misses += 1
        if host.misses >= 2:
            host.ready = False

    def ingress(self, zone: str) -> EntryHost:
        """Return the host to which the platform forwards a new connection."""
        own = [host for host in self.hosts if host.zone == zone]
        in_rotation = [host for host in own if host.ready]
        if in_rotation:
            few = 2 * len(in_rotation) < len(own)
            return random.choice(own if few else in_rotation)
        others = [host for host in self.hosts if host.ready]
        return random.choice(others or own)

    async def post(
        self,
        host: EntryHost,
        route: str,
        job: str,
        body: bytes,
        deadline_s: float,
    ) -> int | None:
        """Hand a job in at a host; returns the status, None without an answer."""
        self.record.add("post", job=job, host=host.name)
        headers = {
            "Host": "nony24.example",
            "Content-Type": "application/json",
            "X-Monsoongap-Deadline-Ms": str(int(deadline_s * 1000)),
        }
        answer = await exchange(
            (host.ip, FRONT_PORT),
            "POST",
            f"/{route}/{job}",
            body,
            headers,
            deadline_s,
        )
        status = answer[0] if answer else None
        text = answer[1].decode() if answer else None
        self.record.add("answer", job=job, host=host.name, status=status, body=text)
        return status

    async def delete(self, host: EntryHost, route: str, job: str) -> int | None:
        """Cancel a job at a host; returns the status, None without an answer."""
        self.record.add("delete", job=job, host=host.name)
        headers = {"Host": "nony24.example"}
        answer = await exchange(
            (host.ip, FRONT_PORT), "DELETE", f"/{route}/{job}", b"", headers
        )
        status = answer[0] if answer else None
        self.record.add("delete answered", job=job, status=status)
        return status

    def owner_of(self, zone: str) -> EntryHost:
        """Return the host of a zone that last said that it owns the zone's runners."""
        found: list[tuple[float, EntryHost]] = []
        for host in self.hosts:
            for line in host.log.read_text().splitlines():
                if '"ownership acquired"' in line and f'"dc":"{zone}"' in line:
                    found.append((json.loads(line)["time"], host))
        if not found:
            raise CannotRun(f"no host owns the runners of {zone}")
        return max(found, key=lambda entry: entry[0])[1]

    def starts(self) -> list[dict[str, Any]]:
        """Return every start on any runner, in order of time."""
        found = [start for runner in self.runners for start in runner.starts]
        return sorted(found, key=lambda start: start["t"])


class CannotRun(Exception):
    """The case could not be played."""


def new_job_id() -> str:
    """Return a job's id."""
    return f"{random.getrandbits(64):016x}"


def job_body(steps: list[dict[str, Any]], work_s: list[float]) -> bytes:
    """Return the body of a job that needn't be kept.

    `work_s` is the true time of each task of a step; runners read it from the spec.
    """
    spec = {"work_s": work_s, "cpu": [step["cpu"] for step in steps]}
    job = {"spec": json.dumps(spec), "steps": steps, "bestEffort": True}
    return json.dumps(job).encode()


def overlaps(record_path: Path) -> list[tuple[str, float, float, str, str]]:
    """Return the tasks with two runs at one time: task, from, to, both runners."""
    open_runs: dict[tuple[str, str, int], float] = {}
    spans: dict[str, list[tuple[float, float, str]]] = {}
    last = 0.0
    for line in record_path.read_text().splitlines():
        event = json.loads(line)
        last = event["t"]
        if event["event"] == "run began":
            open_runs[event["task"], event["runner"], event["run"]] = event["t"]
        elif event["event"] == "run ended":
            key = (event["task"], event["runner"], event["run"])
            span = (open_runs.pop(key), event["t"], event["runner"])
            spans.setdefault(event["task"], []).append(span)
    for (task, runner, _), began in open_runs.items():
        spans.setdefault(task, []).append((began, last, runner))
    found = []
    for task, runs in spans.items():
        runs.sort()
        for i, (_, ended, runner) in enumerate(runs):
            for began2, ended2, runner2 in runs[i + 1 :]:
                if began2 < ended:
                    found.append((task, began2, min(ended, ended2), runner, runner2))
    return found


@dataclass(slots=True)
class Caller:
    """A client with a kept-alive connection, opened through the platform's ingress."""

    deployment: Lab
    zone: str
    _host: EntryHost | None = None
    _reader: asyncio.StreamReader | None = None
    _writer: asyncio.StreamWriter | None = None

    async def post(
        self, route: str, job: str, body: bytes, deadline_s: float
    ) -> int | None:
        """Hand a job in; returns the status, None without an answer in time."""
        record = self.deployment.record
        status = None
        try:
            async with asyncio.timeout(deadline_s):
                if self._writer is None:
                    self._host = self.deployment.ingress(self.zone)
                    self._reader, self._writer = await asyncio.open_connection(
                        self._host.ip, FRONT_PORT
                    )
                assert self._host is not None and self._reader is not None
                record.add("post", job=job, host=self._host.name)
                head = f"POST /{route}/{job} HTTP/1.1\r\nHost: nony24.example\r\n"
                head += f"X-Monsoongap-Deadline-Ms: {int(deadline_s * 1000)}\r\n"
                head += f"Content-Length: {len(body)}\r\n\r\n"
                self._writer.write(head.encode() + body)
                first, headers, _ = await read_message(self._reader)
                status = int(first.split(" ")[1])
                if headers.get("connection") == "close":
                    self.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
        name = self._host.name if self._host else None
        record.add("answer", job=job, host=name, status=status)
        return status

    def close(self) -> None:
        """Close the connection; the next request opens another one."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


Case = Callable[[Lab, bool], Awaitable[bool]]


def main(
    case: Case,
    folder: Path,
    zones: tuple[str, ...] = ("tirol-ibk", "tirol-kuf", "tirol-lnz"),
    hosts_per_zone: int = 2,
    kinds: list[Kind] | None = None,
    routes: dict[str, int] | None = None,
    guards: bool = True,
) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if neither.

    `case` returns whether the rule held; its second argument is false if the
    disruption is left out.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    usual = [Kind("a"), Kind("a"), Kind("b", 24_000, 49_152)] * 2

    async def play() -> bool:
        record = Record(folder / "record.txt")
        with tempfile.TemporaryDirectory() as out:
            lab = Lab(record, Path(out), zones)
            lab.routes = routes or {"scan": 0, "load": 2, "bolt": 1}
            lab.guards = guards
            try:
                async with asyncio.timeout(110):
                    await lab.open(hosts_per_zone, kinds or usual)
                    return await case(lab, trouble)
            finally:
                lab.close()
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    for host in lab.hosts:
                        copy = Path(keep) / host.log.name
                        copy.write_bytes(host.log.read_bytes())

    # A script that is stopped from outside still ends what it started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        held = asyncio.run(play())
    except Exception as exc:
        print(f"could not run: {exc!r}", file=sys.stderr)
        sys.exit(2)
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
