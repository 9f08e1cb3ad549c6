"""The client of the platform's store: a log with keyed topics."""

import asyncio
import logging
from dataclasses import dataclass, field
from urllib.parse import quote

from monsoongap.platform import wire
from monsoongap.settings import StoreSection
from monsoongap.transport.http_client import HttpClient
from monsoongap.transport.http_conn import ExchangeLost, HttpRequest, NotConnected

log = logging.getLogger(__name__)

# The store answers in a few milliseconds; on bad days a hundred times as slowly.
REPLY_S = 1.0
OK = 200
EXPIRED = 410


class StoreUnavailable(Exception):
    """The store did not answer, or turned this host away."""


@dataclass(slots=True)
class Topic:
    """One keyed topic as far as it was read: newest value by key."""

    name: str
    values: dict[str, bytes] = field(default_factory=dict)
    position: int | None = None


@dataclass(slots=True)
class StoreCounts:
    """Calls to the store, for the metrics."""

    calls: int = 0
    failures: int = 0


class StoreClient:
    """Reads keyed topics and appends to them."""

    def __init__(self, cfg: StoreSection, http: HttpClient) -> None:
        self._address = cfg.address
        self._http = http
        self._fresh = False
        self.counts = StoreCounts()

    async def advance(self, topic: Topic, wait_s: float) -> bool:
        """Read what is new, waiting up to `wait_s` for it; tell if anything was.

        Begins, and begins anew after its position expired, with the newest value
        of each key. Raises `StoreUnavailable`.
        """
        if topic.position is None:
            await self._read_newest(topic)
            return True
        wait = f"&waitMs={int(wait_s * 1000)}" if wait_s > 0 else ""
        path = f"/monsoongap/log-read?topic={topic.name}&part=0&from={topic.position}"
        status, body = await self._call("GET", path + wait, b"", wait_s + REPLY_S)
        if status == EXPIRED:
            log.info("history expired, reading anew", extra={"topic": topic.name})
            topic.position = None
            await self._read_newest(topic)
            return True
        if status != OK:
            raise StoreUnavailable(f"status {status}")
        try:
            _, contents = wire.decode_records(body)
        except wire.Malformed as exc:
            raise StoreUnavailable(str(exc)) from exc
        topic.position += len(contents)
        for content in contents:
            try:
                key, value = wire.split_key(content)
            except wire.Malformed as exc:
                # Another writer's record: passed over, as it is there for good.
                log.warning(
                    "record not understood",
                    extra={"topic": topic.name, "error": str(exc)},
                )
                continue
            _apply(topic.values, key, value)
        return bool(contents)

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a key's value; raises `StoreUnavailable`."""
        path = f"/monsoongap/log-append?topic={topic}&part=0"
        record = wire.keyed_record(key, value)
        status, _ = await self._call("POST", path, record, REPLY_S)
        if status != OK:
            raise StoreUnavailable(f"status {status}")

    async def _read_newest(self, topic: Topic) -> None:
        values: dict[str, bytes] = {}
        start: int | None = None
        after = ""
        more = True
        while more:
            # `dependsOn` names the key after which the next page begins.
            path = f"/monsoongap/log-newest?topic={topic.name}&part=0"
            if after:
                path += f"&dependsOn={quote(after)}"
            status, body = await self._call("GET", path, b"", REPLY_S)
            if status != OK:
                raise StoreUnavailable(f"status {status}")
            try:
                pairs, end, more = wire.decode_newest(body)
            except wire.Malformed as exc:
                raise StoreUnavailable(str(exc)) from exc
            # Pages are no snapshot: what changed since the first is read again.
            start = end if start is None else start
            values.update(pairs)
            more = more and bool(pairs)
            after = pairs[-1][0] if pairs else ""
        topic.values = values
        topic.position = start

    async def _call(
        self, method: str, path: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        self.counts.calls += 1
        req = HttpRequest(method, path, body)
        try:
            reply = await self._http.exchange(
                self._address, req, timeout_s, fresh=self._fresh
            )
        except (NotConnected, ExchangeLost) as exc:
            self.counts.failures += 1
            self._fresh = True
            raise StoreUnavailable(str(exc)) from exc
        self._fresh = False
        return reply.status, reply.body


def _apply(values: dict[str, bytes], key: str, value: bytes) -> None:
    if value:
        values[key] = value
    else:
        values.pop(key, None)


async def pause(failures: int) -> None:
    """Wait before the next try, longer after each failure."""
    await asyncio.sleep(min(0.1 * 2**failures, 0.8))
