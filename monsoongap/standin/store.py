"""Stand-in of the platform's store for tests and the demo: keyed topics over HTTP."""

import asyncio
import base64
import struct
from dataclasses import dataclass, field
from http import HTTPStatus

import msgspec
from tornado.httputil import HTTPServerRequest

from monsoongap.standin.serving import Serving

PAGE_ITEMS = 500
READ_HEAD = struct.Struct(">QQ")
LENGTH = struct.Struct(">I")


@dataclass(slots=True)
class TopicModel:
    """One keyed topic: its records from offset `first` on; earlier ones expired."""

    records: list[tuple[str, bytes]] = field(default_factory=list)
    first: int = 0
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    appended: asyncio.Event = field(default_factory=asyncio.Event)

    def append(self, key: str, value: bytes) -> int:
        """Append a record and return its offset; an empty value removes the key."""
        offset = self.end
        self.records.append((key, value))
        if value:
            self.newest[key] = (offset, value)
        else:
            self.newest.pop(key, None)
        self.appended.set()
        self.appended = asyncio.Event()
        return offset

    @property
    def end(self) -> int:
        """Return the offset of the next record."""
        return self.first + len(self.records)

    def expire(self) -> None:
        """Delete all records; the newest value of each key stays readable."""
        self.first = self.end
        self.records.clear()


@dataclass(slots=True)
class StoreFaults:
    """Injected faults: replies with an error, or after `delay_s`."""

    down: bool = False
    delay_s: float = 0.0


class StoreServer:
    """HTTP server of all topics."""

    def __init__(self) -> None:
        self.topics: dict[str, TopicModel] = {}
        self.faults = StoreFaults()
        self.calls = 0
        self._server = Serving(self._handle)

    def listen(self, address: str) -> None:
        """Listen on `IP:port`."""
        self._server.listen(address)

    def close(self) -> None:
        """Stop serving."""
        self._server.close()

    def topic(self, name: str) -> TopicModel:
        """Return a topic, created on first use."""
        return self.topics.setdefault(name, TopicModel())

    async def _handle(self, req: HTTPServerRequest) -> tuple[int, bytes]:
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        query = {key: vals[0].decode() for key, vals in req.query_arguments.items()}
        return await self.answer(req.path, query, req.body)

    async def answer(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        """Return the status and the body of the reply to a call."""
        self.calls += 1
        if self.faults.down:
            return HTTPStatus.SERVICE_UNAVAILABLE, b"{}"
        topic = self.topic(query["topic"])
        match path:
            case "/monsoongap/log-append":
                return HTTPStatus.OK, self._append(topic, body)
            case "/monsoongap/log-read":
                return await self._read(topic, query)
            case "/monsoongap/log-newest":
                return HTTPStatus.OK, self._newest(topic, query)
        return HTTPStatus.NOT_FOUND, b"{}"

    def _append(self, topic: TopicModel, body: bytes) -> bytes:
        first = topic.end
        pos = 0
        while pos < len(body):
            (size,) = LENGTH.unpack_from(body, pos)
            content = body[pos + LENGTH.size : pos + LENGTH.size + size]
            key = content[1 : 1 + content[0]].decode()
            topic.append(key, content[1 + content[0] :])
            pos += LENGTH.size + size
        return msgspec.json.encode({"offset": first, "end": topic.end})

    async def _read(
        self, topic: TopicModel, query: dict[str, str]
    ) -> tuple[int, bytes]:
        start = int(query["from"])
        wait_ms = int(query.get("waitMs", "0"))
        if start >= topic.end and wait_ms:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await topic.appended.wait()
            except TimeoutError:
                # No record was appended in time: send a reply without records.
                return HTTPStatus.OK, READ_HEAD.pack(topic.end, topic.first)
        if start < topic.first:
            return HTTPStatus.GONE, msgspec.json.encode({"first": topic.first})
        parts = [READ_HEAD.pack(topic.end, topic.first)]
        room = 1024 * int(query.get("maxKb", "1024"))
        for key, value in topic.records[start - topic.first :]:
            room -= len(value)
            if room < 0 and len(parts) > 1:
                break
            name = key.encode()
            content = bytes([len(name)]) + name + value
            parts += [LENGTH.pack(len(content)), content]
        return HTTPStatus.OK, b"".join(parts)

    def _newest(self, topic: TopicModel, query: dict[str, str]) -> bytes:
        after = query.get("dependsOn", "")
        keys = sorted(name for name in topic.newest if name > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest[key][1]).decode(),
                "offset": topic.newest[key][0],
            }
            for key in keys[:PAGE_ITEMS]
        ]
        page = {"items": items, "hasMore": len(keys) > PAGE_ITEMS, "end": topic.end}
        return msgspec.json.encode(page)
