"""The users' platform for tests and the demo: its store and its runners over HTTP.

Speaks the part of the platform's protocol that `monsoongap.platform` uses. Faults are
set on the models by tests, or by a POST to `/fault` of a runner's address.
"""

import asyncio
import base64
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import msgspec
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerRequest

from monsoongap.coordination.fleet.ports import HigherFence
from monsoongap.protocol.fleet import (
    NotStarted,
    Refusal,
    RunnerInfo,
    StartOrder,
    TaskId,
)
from monsoongap.standin.fleet_runner import LedgerEntry, RunnerModel
from monsoongap.transport.host_calls import send_reply
from monsoongap.util.background import Background

HEARTBEAT_S = 0.5
PAGE = 500
READ_HEAD = struct.Struct(">QQ")
LENGTH = struct.Struct(">I")
OK, CONFLICT, NOT_FOUND, GONE, MISDIRECTED, UNAVAILABLE = 200, 409, 404, 410, 421, 503
_REASONS = {
    Refusal.OLD_RUN: "old",
    Refusal.LEASE_OVER: "late",
    Refusal.NO_ROOM: "room",
}


@dataclass(slots=True)
class TopicModel:
    """One keyed topic: its records, the first of which may have expired."""

    records: list[tuple[str, bytes]] = field(default_factory=list)
    first: int = 0
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    grown: asyncio.Event = field(default_factory=asyncio.Event)

    def append(self, key: str, value: bytes) -> int:
        """Append a record; no value drops the key."""
        offset = self.end
        self.records.append((key, value))
        if value:
            self.newest[key] = (offset, value)
        else:
            self.newest.pop(key, None)
        self.grown.set()
        self.grown = asyncio.Event()
        return offset

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)

    def expire(self) -> None:
        """Drop the history; the newest record of each key stays."""
        self.first = self.end
        self.records.clear()


@dataclass(slots=True)
class StoreFaults:
    """What is wrong with the store. `turned_away` names callers' addresses."""

    down: bool = False
    delay_s: float = 0.0


class StoreServer:
    """The platform's store."""

    def __init__(self) -> None:
        self.topics: dict[str, TopicModel] = {}
        self.faults = StoreFaults()
        self.calls = 0
        self._serve = Serving(self._answer)

    def listen(self, address: str) -> None:
        """Listen on `IP:port`."""
        self._serve.listen(address)

    def close(self) -> None:
        """Stop serving."""
        self._serve.close()

    def topic(self, name: str) -> TopicModel:
        """Return a topic, created on first use."""
        return self.topics.setdefault(name, TopicModel())

    async def _answer(self, req: HTTPServerRequest) -> tuple[int, bytes]:
        self.calls += 1
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            return UNAVAILABLE, b"{}"
        topic = self.topic(req.query_arguments["topic"][0].decode())
        match req.path:
            case "/monsoongap/log-append":
                return OK, self._append(topic, req.body)
            case "/monsoongap/log-read":
                return await self._read(topic, req)
            case "/monsoongap/log-newest":
                return OK, self._newest(topic, req)
        return NOT_FOUND, b"{}"

    def _append(self, topic: TopicModel, body: bytes) -> bytes:
        first = topic.end
        at = 0
        while at < len(body):
            (size,) = LENGTH.unpack_from(body, at)
            content = body[at + LENGTH.size : at + LENGTH.size + size]
            key = content[1 : 1 + content[0]].decode()
            topic.append(key, content[1 + content[0] :])
            at += LENGTH.size + size
        return msgspec.json.encode({"offset": first, "end": topic.end})

    async def _read(
        self, topic: TopicModel, req: HTTPServerRequest
    ) -> tuple[int, bytes]:
        start = int(req.query_arguments["from"][0])
        wait_ms = int(req.query_arguments.get("waitMs", [b"0"])[0])
        if start >= topic.end and wait_ms:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await topic.grown.wait()
            except TimeoutError:
                # Nothing came in time: the reply holds no records.
                return OK, READ_HEAD.pack(topic.end, topic.first)
        if start < topic.first:
            return GONE, msgspec.json.encode({"first": topic.first})
        parts = [READ_HEAD.pack(topic.end, topic.first)]
        for key, value in topic.records[start - topic.first :]:
            name = key.encode()
            content = bytes([len(name)]) + name + value
            parts += [LENGTH.pack(len(content)), content]
        return OK, b"".join(parts)

    def _newest(self, topic: TopicModel, req: HTTPServerRequest) -> bytes:
        after = req.query_arguments.get("dependsOn", [b""])[0].decode()
        keys = sorted(k for k in topic.newest if k > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest[key][1]).decode(),
                "offset": topic.newest[key][0],
            }
            for key in keys[:PAGE]
        ]
        page = {"items": items, "hasMore": len(keys) > PAGE, "end": topic.end}
        return msgspec.json.encode(page)


class RunnerServer:
    """One runner, which also tells the store of itself."""

    def __init__(
        self, info: RunnerInfo, ledger: list[LedgerEntry], store: StoreServer
    ) -> None:
        self.model = RunnerModel(info, asyncio.get_running_loop().time, ledger)
        self.draining = False
        self._store = store
        self._serial = 0
        self._serve = Serving(self._answer)
        self._beating: asyncio.Task[None] | None = None

    def listen(self, address: str | None = None) -> None:
        """Listen, at another address than the told one if given, and beat."""
        self._serve.listen(address or self.model.info.address)
        self._beating = asyncio.create_task(self._beat())

    def close(self) -> None:
        """Stop serving and beating."""
        self._serve.close()
        if self._beating is not None:
            self._beating.cancel()

    async def _beat(self) -> None:
        while True:
            self._serial += 1
            info = self.model.info
            entry = {
                "service": info.upstream,
                "address": info.address,
                "zone": info.dc,
                "state": "draining" if self.draining else "ready",
                "capacity": {"cpu": info.room.cpu_milli, "memMb": info.room.mem_mb},
                "labels": list(info.labels),
                "seq": self._serial,
                "born": info.born_ms,
            }
            self._store.topic("keyed.servers").append(
                info.id, msgspec.json.encode(entry)
            )
            await asyncio.sleep(HEARTBEAT_S)

    async def _answer(self, req: HTTPServerRequest) -> tuple[int, bytes]:
        meant = req.headers.get("X-Monsoongap-Expect-Instance", self.model.info.id)
        if meant != self.model.info.id:
            return MISDIRECTED, b"{}"
        if self.model.faults.dark:
            # The connection stays open and silent, as behind a cut.
            await asyncio.Event().wait()
        body = msgspec.json.decode(req.body or b"{}")
        try:
            return await self._act(req.path, body)
        except HigherFence:
            told = {"clockMs": self.model.clock_ms(), "reason": "fence"}
            return CONFLICT, msgspec.json.encode(told)

    async def _act(self, path: str, body: dict[str, object]) -> tuple[int, bytes]:
        model = self.model
        fence = _int(body.get("fencingToken"))
        match path:
            case "/monsoongap/run-start":
                order = StartOrder(
                    _task(str(body["task"])),
                    _int(body["runId"]),
                    str(body["spec"]),
                    _int(body["deadlineMs"]),
                    fence,
                )
                result = model.start(order)
                if isinstance(result, NotStarted):
                    told = {
                        "clockMs": result.clock_ms,
                        "reason": _REASONS[result.reason],
                    }
                    return CONFLICT, msgspec.json.encode(told)
                return OK, msgspec.json.encode({"clockMs": result.clock_ms})
            case "/monsoongap/run-stop":
                clock = model.stop(_task(str(body["task"])), _int(body["runId"]), fence)
                return OK, msgspec.json.encode({"clockMs": clock})
            case "/monsoongap/hold":
                return OK, await self._look(body, fence)
        return NOT_FOUND, b"{}"

    async def _look(self, body: dict[str, object], fence: int) -> bytes:
        seen = _int(body.get("lastSeen"))
        until = body.get("deadlineMs")
        self.model.look(fence, seen, None if until is None else _int(until))
        await self.model.wait_for_end(_int(body.get("waitMs")) / 1000)
        view = self.model.look(fence, seen, None)
        return msgspec.json.encode(
            {
                "clockMs": view.clock_ms,
                "born": view.born_ms,
                "running": [
                    [_name(r.task), r.run, "", r.progress, 0] for r in view.running
                ],
                "finished": [
                    [e.number, _name(e.task), e.run, e.kind.value, ""]
                    for e in view.ends
                ],
            }
        )


class Serving:
    """An HTTP server whose handler is a coroutine."""

    def __init__(
        self, answer: Callable[[HTTPServerRequest], Awaitable[tuple[int, bytes]]]
    ) -> None:
        self._answer = answer
        self._background = Background()
        self._server = HTTPServer(self._handle)

    def listen(self, address: str) -> None:
        """Listen on `IP:port`."""
        ip, _, port = address.rpartition(":")
        self._server.listen(int(port), ip)

    def close(self) -> None:
        """Stop listening and drop what is under way."""
        self._server.stop()
        self._background.cancel_all()

    def _handle(self, req: HTTPServerRequest) -> None:
        self._background.spawn(self._reply(req), "reply")

    async def _reply(self, req: HTTPServerRequest) -> None:
        status, body = await self._answer(req)
        send_reply(req, status, body, {"Content-Type": "application/json"})


def _task(text: str) -> TaskId:
    job, _, step, index = text.split(".")
    return TaskId(job, int(step), int(index))


def _name(task: TaskId) -> str:
    return f"{task.job}.0.{task.step}.{task.index}"


def _int(value: object) -> int:
    return value if isinstance(value, int) else 0
