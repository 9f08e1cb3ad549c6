"""The client of the platform's store: a log with keyed topics."""

import asyncio
import logging
from dataclasses import dataclass, field
from urllib.parse import quote

from monsoongap.platform import wire
from monsoongap.protocol.decoding import Malformed
from monsoongap.settings import StoreSection
from monsoongap.transport.http_client import HttpClient
from monsoongap.transport.http_conn import ExchangeLost, HttpRequest, NotConnected

log = logging.getLogger(__name__)

# The store answers in a few milliseconds, under faults up to 100 times as slowly.
REPLY_TIMEOUT_S = 1.0
# A reply that has begun may wait for the host's link and for the store's read capacity.
TRANSFER_S = 2.0
FIRST_PAUSE_S = 0.1
MAX_DOUBLINGS = 3
OK = 200
GONE = 410


# Position of a topic that was not read yet.
UNREAD = -1


class StoreUnavailable(Exception):
    """The store did not answer, rejected the call, or sent a malformed reply."""


@dataclass(slots=True)
class Topic:
    """A keyed topic as read so far: the newest value by key.

    With `skips_backlog`, a reader that `is_behind` reads the newest values instead of
    every record since its position.
    """

    name: str
    skips_backlog: bool = False
    is_behind: bool = False
    values: dict[str, bytes] = field(default_factory=dict)
    position: int = UNREAD


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
        """Read new records, waiting up to `wait_s`; return whether there were any.

        The first read, one whose position expired, and one that skips a backlog read
        the newest value of each key and return true. Raises `StoreUnavailable`.
        """
        if topic.position == UNREAD or (topic.skips_backlog and topic.is_behind):
            await self._read_newest(topic, max(topic.position, 0))
            return True
        wait = f"&waitMs={int(wait_s * 1000)}" if wait_s > 0 else ""
        path = f"/monsoongap/log-read?topic={topic.name}&part=0&from={topic.position}"
        status, body = await self._call(
            "GET", path + wait, b"", wait_s + REPLY_TIMEOUT_S
        )
        if status == GONE:
            log.info(
                "topic position expired; reading the newest values",
                extra={"topic": topic.name, "position": topic.position},
            )
            await self._read_newest(topic, topic.position + 1)
            return True
        if status != OK:
            raise StoreUnavailable(f"status {status}")
        try:
            end, contents = wire.decode_records(body)
        except Malformed as exc:
            raise StoreUnavailable(str(exc)) from exc
        topic.position += len(contents)
        for content in contents:
            try:
                key, value = wire.split_key(content)
            except Malformed as exc:
                # Another writer's record; it is permanent, so a retry does not help.
                log.warning(
                    "malformed record skipped",
                    extra={"topic": topic.name, "error": str(exc)},
                )
                continue
            _apply(topic.values, key, value)
        topic.is_behind = topic.position < end
        return bool(contents)

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a key's value; raises `StoreUnavailable`."""
        path = f"/monsoongap/log-append?topic={topic}&part=0"
        record = wire.keyed_record(key, value)
        status, _ = await self._call("POST", path, record, REPLY_TIMEOUT_S)
        if status != OK:
            raise StoreUnavailable(f"status {status}")

    async def _read_newest(self, topic: Topic, from_position: int) -> None:
        """Read the newest value of each key, and continue after them.

        Raises `StoreUnavailable` if they are older than `from_position`.
        """
        values: dict[str, bytes] = {}
        first_end: int | None = None
        after = ""
        has_more = True
        while has_more:
            # `dependsOn` is the key after which the next page starts.
            path = f"/monsoongap/log-newest?topic={topic.name}&part=0"
            if after:
                path += f"&dependsOn={quote(after)}"
            status, body = await self._call("GET", path, b"", REPLY_TIMEOUT_S)
            if status != OK:
                raise StoreUnavailable(f"status {status}")
            try:
                pairs, end, has_more = wire.decode_newest(body)
            except Malformed as exc:
                raise StoreUnavailable(str(exc)) from exc
            # Pages are not a snapshot: changes since the first page are read again.
            first_end = end if first_end is None else first_end
            values.update(pairs)
            has_more = has_more and bool(pairs)
            after = pairs[-1][0] if pairs else ""
        if first_end is None or first_end < from_position:
            raise StoreUnavailable(f"the newest values end at {first_end}")
        topic.values = values
        topic.position = first_end
        topic.is_behind = False

    async def _call(
        self, method: str, path: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        self.counts.calls += 1
        req = HttpRequest(method, path, body)
        try:
            reply = await self._http.exchange(
                self._address,
                req,
                timeout_s,
                fresh=self._fresh,
                transfer_s=TRANSFER_S,
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
    """Wait before the next attempt, longer after each of the first failures."""
    await asyncio.sleep(FIRST_PAUSE_S * 2 ** min(failures, MAX_DOUBLINGS))
