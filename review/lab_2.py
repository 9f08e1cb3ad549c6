"""Stand-ins of the users' platform for the scripts of the second review.

The store, the runners and the clients of one small deployment run in the process of the
script; the entry hosts are separate processes, started with the command and the
settings template of `deploy/system.toml`. Only the standard library is used. All
addresses are loopback addresses.
"""

import asyncio
import base64
import itertools
import json
import os
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

# The bounds of the site file `sites/kpi-sched.toml`, as the platform hands them out.
BOUNDS = {
    "drainMs": 2000,
    "graceS": 6,
    "configApplyMs": 2000,
    "holdMaxMs": 1000,
    "stopMs": 50,
    "cancel_ms": 3000,
    "contactMs": 3000,
    "resendMs": 1300,
}
HEARTBEAT_S = 1.5
MAIN_ROUTE = ("r-a", "site.example", "/work/")
REASONS = {
    200: "OK",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    421: "Misdirected",
}


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes `record.txt` in the folder of the case; times are in seconds."""

    def __init__(self, folder: Path) -> None:
        path = folder / "record.txt"
        path.write_text("")
        self._path = path
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the script began."""
        return time.monotonic() - self._began

    def add(self, text: str) -> None:
        """Write one line with the time."""
        with self._path.open("a", encoding="utf-8") as file:
            file.write(f"{self.now():8.3f} {text}\n")


# HTTP.


async def read_message(reader: asyncio.StreamReader):
    """Return start line, headers and body of a message; None at the end of input."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while (text := (await reader.readline()).decode("latin-1").strip()) != "":
        name, _, value = text.partition(":")
        headers[name.lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    body = await reader.readexactly(size) if size else b""
    return line.decode("latin-1").split(), headers, body


class HttpServer:
    """Serves `answer(method, target, headers, body) -> (status, body) or None`.

    None leaves the request without a response.
    """

    def __init__(self, answer) -> None:
        self._answer = answer
        self._server = None
        self._writers = set()

    async def listen(self, ip: str, port: int) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve, ip, port)

    def close(self) -> None:
        """Stop listening and reset all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                (method, target, _), headers, body = message
                reply = await self._answer(method, target, headers, body)
                if reply is None:
                    await asyncio.sleep(3600)
                    return
                status, content = reply
                head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                head += "Content-Type: application/json\r\n"
                head += f"Content-Length: {len(content)}\r\n\r\n"
                writer.write(head.encode() + content)
                await writer.drain()
        except (
            OSError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ValueError,
        ):
            # The peer has gone, or the script ends.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(address, method, path, body=b"", headers=(), timeout_s=10.0):
    """Send one request on a new connection; return status and body.

    Status 0 stands for no complete answer within the time.
    """
    ip, port = address
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            lines = [f"{method} {path} HTTP/1.1", *(f"{n}: {v}" for n, v in headers)]
            lines.append(f"Content-Length: {len(body)}\r\n\r\n")
            writer.write("\r\n".join(lines).encode() + body)
            message = await read_message(reader)
            if message is None:
                return 0, b""
            return int(message[0][1]), message[2]
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


# The platform's store.


class Store:
    """Keyed topics of the store: append, read with a long poll, newest by key."""

    def __init__(self) -> None:
        self.topics = {}
        self._changed = asyncio.Event()
        self.server = HttpServer(self._answer)

    def put(self, topic: str, key: str, value) -> None:
        """Append a record; `value` None deletes the key."""
        text = b"" if value is None else json.dumps(value).encode()
        self._append(topic, key.encode(), text)

    def _append(self, topic: str, key: bytes, value: bytes) -> int:
        records = self.topics.setdefault(topic, [])
        records.append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()
        return len(records) - 1

    async def _answer(self, method, target, headers, body):
        path, _, query = target.partition("?")
        args = dict(part.partition("=")[::2] for part in query.split("&") if part)
        topic = args.get("topic", "")
        records = self.topics.setdefault(topic, [])
        if path == "/monsoongap/log-append":
            first, offset = len(records), 0
            while offset < len(body):
                (size,) = struct.unpack_from(">I", body, offset)
                content = body[offset + 4 : offset + 4 + size]
                offset += 4 + size
                self._append(
                    topic, content[1 : 1 + content[0]], content[1 + content[0] :]
                )
            reply = {"offset": first, "end": len(records)}
        elif path == "/monsoongap/log-read":
            start, wait_s = int(args["from"]), int(args.get("waitMs", "0")) / 1000
            until = time.monotonic() + wait_s
            while len(records) <= start and (left_s := until - time.monotonic()) > 0:
                try:
                    async with asyncio.timeout(left_s):
                        await self._changed.wait()
                except TimeoutError:
                    break
            parts = [struct.pack(">QQ", len(records), 0)]
            for key, value in records[start:]:
                content = bytes([len(key)]) + key + value
                parts += [struct.pack(">I", len(content)), content]
            return 200, b"".join(parts)
        elif path == "/monsoongap/log-newest":
            newest = {}
            for offset, (key, value) in enumerate(records):
                newest[key] = (offset, value)
            items = [
                {
                    "key": key.decode(),
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
                for key, (offset, value) in sorted(newest.items())
                if value
            ]
            reply = {"items": items, "hasMore": False, "end": len(records)}
        else:
            return 404, b"{}"
        return 200, json.dumps(reply).encode()


# Runners.


class Run:
    """A task at work on a runner; `need` is (cpu, memMb, gpu), told by its spec."""

    def __init__(self, task: str, number: int, spec: dict, now: float) -> None:
        self.task, self.number = task, number
        self.need = tuple(spec.get("need", (0, 0, 0)))
        self.work_s = spec["ms"] / 1000
        self.began = now


class Runner:
    """One runner, as PROTOCOL.md describes it (`controlMode` invoke)."""

    def __init__(self, lab, id_, zone, address, capacity, labels) -> None:
        self.lab, self.id, self.zone, self.address = lab, id_, zone, address
        self.capacity, self.labels = capacity, labels
        self.draining = False
        self.dark = False
        self.ledger = []
        self._seq = 0
        self.server = HttpServer(self._answer)
        self.born = 0
        self._begin_life()

    def _begin_life(self) -> None:
        self.born = max(int(time.time() * 1000), self.born + 1)
        self._life_began = time.monotonic()
        self._fence = 0
        self._until = 0.0
        self._ended_runs = {}
        self.runs = {}
        self.ends = []
        self._last_end = 0
        self._event = asyncio.Event()

    async def begin(self) -> None:
        """Listen, register and run."""
        await self.server.listen(*self.address)
        self.lab.spawn(self._register())
        self.lab.spawn(self._work())

    def clock(self) -> int:
        """Return the runner's clock, in ms since this life began."""
        return int((time.monotonic() - self._life_began) * 1000)

    def report(self) -> None:
        """Write the runner's entry to the store."""
        self._seq += 1
        entry = {
            "service": "svc",
            "address": told(self.address),
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "coldLeftMs": 0,
            "seq": self._seq,
            "born": self.born,
            "capacity": dict(zip(("cpu", "memMb", "gpu"), self.capacity, strict=True)),
            "labels": self.labels,
        }
        self.lab.store.put("keyed.servers", self.id, entry)

    async def _register(self) -> None:
        while True:
            self.report()
            await asyncio.sleep(HEARTBEAT_S)

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            for run in list(self.runs.values()):
                if now - run.began >= run.work_s:
                    self._end(run, "done")
                elif self.clock() >= self._until:
                    self._end(run, "lapsed")

    def _end(self, run: Run, how: str) -> None:
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self._ended_runs[run.task] = max(self._ended_runs.get(run.task, 0), run.number)
        self._last_end += 1
        self.ends.append([self._last_end, run.task, run.number, how, ""])
        self.lab.record.add(
            f"runner {self.id}: {run.task} run {run.number} ended {how}"
        )
        self.lab.on_end(self, run, how)
        self._event.set()
        self._event = asyncio.Event()

    def used(self):
        """Return what the runs here need together."""
        needs = [run.need for run in self.runs.values()]
        return tuple(sum(column) for column in zip(*needs, strict=True)) or (0, 0, 0)

    async def _answer(self, method, target, headers, body):
        if self.dark:
            return None
        if headers.get("x-monsoongap-expect-instance", self.id) != self.id:
            return 421, b"{}"
        message = json.loads(body or b"{}")
        if message.get("fencingToken", 0) < self._fence:
            return self._reply(409, reason="fence")
        self._fence = message.get("fencingToken", 0)
        match target:
            case "/monsoongap/run-start":
                return self._start(message)
            case "/monsoongap/run-stop":
                return self._stop(message)
            case "/monsoongap/hold":
                return await self._hold(message)
        return 404, b"{}"

    def _reply(self, status, **fields):
        return status, json.dumps({"clockMs": self.clock(), **fields}).encode()

    def _extend(self, message) -> None:
        if "deadlineMs" in message:
            longest = self.clock() + BOUNDS["holdMaxMs"]
            self._until = max(self._until, min(message["deadlineMs"], longest))

    def _start(self, message):
        task, number = message["task"], message["runId"]
        known = self.runs.get(task)
        if known is not None and known.number == number:
            return self._reply(200)
        self._extend(message)
        if self._ended_runs.get(task, 0) >= number:
            return self._reply(409, reason="old")
        if message["deadlineMs"] <= self.clock():
            return self._reply(409, reason="late")
        run = Run(task, number, json.loads(message["spec"]), time.monotonic())
        used = [a + b for a, b in zip(self.used(), run.need, strict=True)]
        over = any(u > c for u, c in zip(used, self.capacity, strict=True))
        if over and self.lab.guards:
            return self._reply(409, reason="room")
        self.runs[task] = run
        self.lab.record.add(
            f"runner {self.id}: {task} run {number} begins by fence "
            f"{message['fencingToken']}; in use {used} of {list(self.capacity)}"
        )
        self.lab.on_start(self, run, used, over)
        return self._reply(200)

    def _stop(self, message):
        task, number = message["task"], message["runId"]
        self._ended_runs[task] = max(self._ended_runs.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number <= number:
            self.lab.record.add(f"runner {self.id}: {task} run {run.number} is stopped")
            loop = asyncio.get_running_loop()
            loop.call_later(BOUNDS["stopMs"] / 2000, self._end, run, "stopped")
        return self._reply(200)

    async def _hold(self, message):
        self._extend(message)
        seen = message.get("lastSeen", 0)
        self.ends = [end for end in self.ends if end[0] > seen]
        until = time.monotonic() + message.get("waitMs", 0) / 1000
        while not self.ends and (left_s := until - time.monotonic()) > 0:
            try:
                async with asyncio.timeout(left_s):
                    await self._event.wait()
            except TimeoutError:
                break
        now = time.monotonic()
        running = [
            [r.task, r.number, "", int(100 * (now - r.began) / r.work_s), 0]
            for r in self.runs.values()
        ]
        return self._reply(
            200, born=self.born, running=running, finished=self.ends[:500]
        )


# The deployment.


def told(address) -> str:
    """Return an address as `IP:port`."""
    return f"{address[0]}:{address[1]}"


def free_port(ips) -> int:
    """Return a TCP and UDP port that is free on all addresses."""
    for _ in range(50):
        with socket.socket() as probe:
            probe.bind((ips[0], 0))
            port = probe.getsockname()[1]
        try:
            for ip, kind in itertools.product(
                ips, (socket.SOCK_STREAM, socket.SOCK_DGRAM)
            ):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind((ip, port))
        except OSError:
            continue
        return port
    raise CannotRun("no free port")


def fill(template: str, fields: dict) -> str:
    """Fill a settings template, as DEPLOY.md describes it."""

    def value(name: str):
        found = fields
        for part in name.split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part)
            if found is None:
                return None
        return found

    def section(match) -> str:
        entries = value(match[1]) or {}
        shown = [match[2].replace("{{@}}", str(key)) for key in entries]
        return "".join(
            s.replace("{{,}}", "," if i + 1 < len(shown) else "")
            for i, s in enumerate(shown)
        )

    def placeholder(match) -> str:
        name, _, form = match[1].partition("|")
        found = value(name)
        if form == "json":
            return json.dumps(found)
        if found is None:
            return ""
        return ",".join(map(str, found)) if isinstance(found, list) else str(found)

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([^}]+)\}\}", placeholder, text)


class Host:
    """One entry host: a machine with its settings file, and its process."""

    def __init__(self, lab, name, zone, ip, ports) -> None:
        self.lab, self.name, self.zone, self.ip, self.ports = lab, name, zone, ip, ports
        self.front, self.ready = (ip, ports["front"]), (ip, ports["ready"])
        self.process = None
        self.log = lab.folder / f"{name}.log"
        self.settings = lab.folder / f"{name}.ini"

    async def begin(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        fields = {
            "node": self.name,
            "zone": self.zone,
            "region": "main",
            "ip": self.ip,
            "portRange": [self.ports["peers"], self.ports["peers"] + 15],
            "seeds": [f"{h.ip}:{self.ports['peers']}" for h in self.lab.hosts[:3]],
            "zones": {h.zone: "main" for h in self.lab.hosts},
            "bindAddrs": {"front": told(self.front), "ready": told(self.ready)},
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4100},
            "bounds": BOUNDS,
            "platform": {"address": told(self.lab.store_address)},
        }
        template = (ROOT / role["template"]).read_text()
        text = fill(template, fields)
        # The deploy file fixes this port; the script uses a free one.
        text = text.replace(f"{self.ip}:9464", f"{self.ip}:{self.ports['metrics']}")
        self.settings.write_text(text)
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["MONSOONGAP_NODE_FILE"] = str(self.settings)
        out = self._open_log()
        self.process = await asyncio.create_subprocess_exec(
            *role["run"].split(), cwd=ROOT, env=env, stdout=out, stderr=out
        )
        os.close(out)

    def _open_log(self) -> int:
        return os.open(self.log, os.O_WRONLY | os.O_CREAT | os.O_APPEND)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.lab.record.add(f"host {self.name}: signal {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Ask as the platform's balancer does."""
        status, _ = await call(self.ready, "GET", "/monsoongap/ready", timeout_s=1.0)
        return status == 200

    def count(self, event: str, **fields) -> int:
        """Return how many log lines of the process have an event and some fields."""
        lines = (
            self.log.read_text(errors="replace").splitlines()
            if self.log.exists()
            else []
        )
        found = [line for line in lines if event in line]
        return sum(
            all(
                f'"{k}":{json.dumps(v)}' in f or f'"{k}": {json.dumps(v)}' in f
                for k, v in fields.items()
            )
            for f in found
        )


class Lab:
    """A small deployment: store, runners, entry hosts."""

    def __init__(self, case: Path, guards: bool = True, attempts: int = 2) -> None:
        self.case = case
        self.record = Record(case)
        self._temp = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temp.name)
        self.guards, self.attempts = guards, attempts
        self.store = Store()
        self.hosts, self.runners = [], []
        self._tasks = set()
        self.on_start = lambda runner, run, used, over: None
        self.on_end = lambda runner, run, how: None
        self.config_version = 0

    def spawn(self, coro):
        """Run a coroutine until the script ends."""
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def configure(self, routes=None, **limits) -> None:
        """Write the next version of the operator's configuration.

        `routes` are rows of name, host and path prefix.
        """
        self.config_version += 7
        routes = routes if routes is not None else [MAIN_ROUTE]
        self.store.put(
            "keyed.op",
            "config",
            {
                "version": self.config_version,
                "routes": [
                    {
                        "name": name,
                        "host": host,
                        "pathPrefix": prefix,
                        "service": "svc",
                        "timeoutMs": 30_000,
                        "priority": 0,
                        "maxAttempts": self.attempts,
                        "stretch": 1.6,
                        "targetLatencyMs": 400,
                    }
                    for name, host, prefix in routes
                ],
                "services": [{"name": "svc", "admissionCheck": self.guards}],
                "limits": limits,
            },
        )

    async def begin(self, zones, runners_per_zone, capacity) -> None:
        """Start the deployment and wait until all hosts are ready.

        `zones` gives the number of entry hosts of each zone.
        """
        if not (ROOT / "target/deps").is_dir():
            raise CannotRun("target/deps is missing: run the build of the deploy file")
        ips = [
            (zone, f"127.{90 + z}.0.{n + 1}")
            for z, (zone, count) in enumerate(zones.items())
            for n in range(count)
        ]
        names = ("front", "ready", "peers", "metrics")
        ports = {}
        while len(set(ports.values())) < len(names):
            ports = {name: free_port([ip for _, ip in ips]) for name in names}
        self.store_address = ("127.0.0.1", free_port(["127.0.0.1"]))
        await self.store.server.listen(*self.store_address)
        self.configure()
        for z, zone in enumerate(zones):
            for n in range(runners_per_zone):
                address = (
                    f"127.{100 + z}.0.{n + 1}",
                    free_port([f"127.{100 + z}.0.{n + 1}"]),
                )
                labels = ["a", f"rack-{zone}-{n}"]
                runner = Runner(
                    self,
                    f"s{z}{n}{os.urandom(3).hex()}",
                    zone,
                    address,
                    capacity,
                    labels,
                )
                self.runners.append(runner)
                await runner.begin()
        self.hosts = [
            Host(self, f"front-{zone}-{ip.rpartition('.')[2]}", zone, ip, ports)
            for zone, ip in ips
        ]
        for host in self.hosts:
            await host.begin()
        await self.wait_for(self._all_ready, 20.0, "hosts are not ready")
        # Traffic starts 12 s after the machines at the small sites.
        await asyncio.sleep(5.0)
        self.record.add("all hosts are ready")

    async def _all_ready(self) -> bool:
        return all(await asyncio.gather(*(host.is_ready() for host in self.hosts)))

    async def wait_for(self, check, limit_s: float, what: str) -> None:
        """Wait until an asynchronous check is true; raises `CannotRun`."""
        until = time.monotonic() + limit_s
        while not await check():
            if time.monotonic() > until:
                raise CannotRun(what)
            await asyncio.sleep(0.05)

    def owner_of(self, zone: str):
        """Return the host that acquired a zone's share last, by the hosts' logs."""
        found = None
        best = -1.0
        for host in self.hosts:
            if host.process.returncode is not None or not host.log.exists():
                continue
            for line in host.log.read_text(errors="replace").splitlines():
                if "ownership acquired" in line and f'"{zone}"' in line:
                    entry = json.loads(line)
                    if entry.get("fence", 0) > best:
                        best, found = entry["fence"], host
        return found

    async def post(
        self,
        host: Host,
        id_: str,
        steps,
        deadline_ms: int,
        prefix="/work/",
        name="site.example",
        **spec,
    ):
        """Submit a job that need not be kept, and return the status of the answer."""
        body = {"spec": json.dumps(spec), "steps": steps, "bestEffort": True}
        headers = (
            ("Host", name),
            ("Content-Type", "application/json"),
            ("X-Monsoongap-Deadline-Ms", str(deadline_ms)),
        )
        self.record.add(
            f"client: POST {prefix}{id_} to {host.name}, deadline {deadline_ms}"
        )
        status, answer = await call(
            host.front,
            "POST",
            prefix + id_,
            json.dumps(body).encode(),
            headers,
            deadline_ms / 1000,
        )
        shown = status or "none"
        self.record.add(
            f"client: answer to {id_}: {shown} {answer.decode(errors='replace')}"
        )
        return status, answer

    async def end(self) -> None:
        """End all processes that the script started."""
        for host in self.hosts:
            if host.process is not None and host.process.returncode is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                await host.process.wait()
        for task in list(self._tasks):
            task.cancel()
        for server in (self.store.server, *(r.server for r in self.runners)):
            server.close()
        self._temp.cleanup()


def new_id() -> str:
    """Return an id of a job."""
    return os.urandom(8).hex()


def main(case_file: str, play, **options) -> None:
    """Run a case: `play(lab)` returns whether the rule was broken."""
    folder = Path(case_file).resolve().parent

    async def run() -> int:
        lab = Lab(folder, **options)
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(110):
                broken = await play(lab)
        except asyncio.CancelledError:
            lab.record.add("ended from outside")
            return NOT_RUN
        except (CannotRun, TimeoutError, OSError) as exc:
            lab.record.add(f"the case could not run: {exc!r}")
            print(f"the case could not run: {exc!r}", file=sys.stderr)
            return NOT_RUN
        finally:
            await lab.end()
        lab.record.add("the rule was broken" if broken else "the rule held")
        return BROKEN if broken else HELD

    sys.exit(asyncio.run(run()))
