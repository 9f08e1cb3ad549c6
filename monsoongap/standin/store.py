"""The platform's store for tests and the demo: keyed topics over HTTP."""

import asyncio
import base64
import struct
from dataclasses import dataclass, field
from http import HTTPStatus

import msgspec
from tornado.httputil import HTTPServerRequest

from monsoongap.standin.serving import Serving

PAGE = 500
READ_HEAD = struct.Struct(">QQ")
LENGTH = struct.Struct(">I")


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
    """What is wrong with the store."""

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
            return HTTPStatus.SERVICE_UNAVAILABLE, b"{}"
        topic = self.topic(req.query_arguments["topic"][0].decode())
        match req.path:
            case "/monsoongap/log-append":
                return HTTPStatus.OK, self._append(topic, req.body)
            case "/monsoongap/log-read":
                return await self._read(topic, req)
            case "/monsoongap/log-newest":
                return HTTPStatus.OK, self._newest(topic, req)
        return HTTPStatus.NOT_FOUND, b"{}"

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
                return HTTPStatus.OK, READ_HEAD.pack(topic.end, topic.first)
        if start < topic.first:
            return HTTPStatus.GONE, msgspec.json.encode({"first": topic.first})
        parts = [READ_HEAD.pack(topic.end, topic.first)]
        for key, value in topic.records[start - topic.first :]:
            name = key.encode()
            content = bytes([len(name)]) + name + value
            parts += [LENGTH.pack(len(content)), content]
        return HTTPStatus.OK, b"".join(parts)

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
