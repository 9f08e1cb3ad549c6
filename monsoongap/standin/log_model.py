"""A model of the platform's append-only log on the running loop's clock."""

import asyncio
import logging
from collections import deque
from dataclasses import dataclass, field
from typing import Annotated

from msgspec import Meta

from monsoongap.errors import LogTrimmed, LogUnavailable
from monsoongap.protocol.messages import LogPage, LogRecord
from monsoongap.standin.faults import (
    AppendReplyLost,
    Chance,
    LogFault,
    LogOutage,
    LogSlow,
)

log = logging.getLogger(__name__)

MAX_STREAMS = 1_000


@dataclass(frozen=True, slots=True)
class LogShape:
    """How fast the log is and how long it keeps records.

    `appends_per_s` bounds the appends of all streams together and `append_ms` is
    what each takes. A stream keeps at most `keep_records` records, none older
    than `keep_s` seconds.
    """

    appends_per_s: Annotated[float, Meta(gt=0, le=1_000_000)] = 400.0
    append_ms: Annotated[float, Meta(ge=0, le=60_000)] = 5.0
    keep_records: Annotated[int, Meta(ge=1, le=10_000_000)] = 100_000
    keep_s: Annotated[float, Meta(gt=0, le=1_000_000)] = 3600.0


@dataclass(frozen=True, slots=True)
class _Kept:
    record: LogRecord
    appended_at: float


@dataclass(slots=True)
class _Stream:
    kept: deque[_Kept] = field(default_factory=deque)
    next_offset: int = 0
    grown: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def first_offset(self) -> int:
        return self.next_offset - len(self.kept)


class LogModel:
    """Streams of records with offsets, long-poll reads and retention."""

    def __init__(self, shape: LogShape | None = None) -> None:
        self._shape = shape or LogShape()
        self._streams: dict[str, _Stream] = {}
        self._next_turn = 0.0
        self._out_until = 0.0
        self._delay_s = 0.0
        self._reply_lost: AppendReplyLost | None = None
        self._chance = Chance()
        self.appends = 0

    def set_faults(self, faults: tuple[LogFault, ...]) -> None:
        """Replace the standing faults and carry out the single ones."""
        self._delay_s = 0.0
        self._reply_lost = None
        self._out_until = 0.0
        for fault in faults:
            match fault:
                case LogOutage(outage_s):
                    self._out_until = _now() + outage_s
                case LogSlow(delay_s):
                    self._delay_s = delay_s
                case AppendReplyLost():
                    self._reply_lost = fault

    async def append(self, stream: str, records: tuple[str, ...]) -> int:
        """Append records and return the offset of the first.

        Raises `LogUnavailable` in an outage, and when the reply is lost although
        the append took effect.
        """
        self._require_up()
        await asyncio.sleep(self._turn_s() + self._delay_s)
        self._require_up()
        offset = self._store(stream, records)
        lost = self._reply_lost
        if lost is not None and self._chance.strikes(lost):
            raise LogUnavailable("the reply of an append was lost")
        return offset

    async def read(self, stream: str, start: int, limit: int, wait_ms: int) -> LogPage:
        """Read up to `limit` records from offset `start`.

        Waits up to `wait_ms` milliseconds for the first. Raises `LogTrimmed` when
        `start` is no longer kept and `LogUnavailable` in an outage.
        """
        self._require_up()
        await asyncio.sleep(self._delay_s)
        found = self._open(stream)
        if found.next_offset <= start and wait_ms > 0:
            await self._wait_for_growth(found, start, wait_ms / 1000)
        self._require_up()
        self._trim(found)
        if start < found.first_offset:
            raise LogTrimmed(found.first_offset)
        return _page(found, start, limit)

    def stored(self, stream: str) -> tuple[LogRecord, ...]:
        """Return what a stream keeps, for tests and reports."""
        found = self._streams.get(stream)
        return tuple(kept.record for kept in found.kept) if found else ()

    def streams(self) -> tuple[str, ...]:
        """Return the names of the streams."""
        return tuple(self._streams)

    def _turn_s(self) -> float:
        now = _now()
        self._next_turn = max(self._next_turn, now) + 1 / self._shape.appends_per_s
        return self._next_turn - now + self._shape.append_ms / 1000

    def _store(self, stream: str, records: tuple[str, ...]) -> int:
        found = self._open(stream)
        first = found.next_offset
        now = _now()
        for data in records:
            found.kept.append(_Kept(LogRecord(found.next_offset, data), now))
            found.next_offset += 1
        self.appends += 1
        self._trim(found)
        found.grown.set()
        found.grown = asyncio.Event()
        return first

    def _trim(self, stream: _Stream) -> None:
        oldest = _now() - self._shape.keep_s
        kept = stream.kept
        while kept and (
            len(kept) > self._shape.keep_records or kept[0].appended_at < oldest
        ):
            kept.popleft()

    async def _wait_for_growth(
        self, stream: _Stream, start: int, wait_s: float
    ) -> None:
        try:
            async with asyncio.timeout(wait_s):
                while stream.next_offset <= start:
                    await stream.grown.wait()
        except TimeoutError:
            return

    def _open(self, stream: str) -> _Stream:
        found = self._streams.get(stream)
        if found is None:
            if len(self._streams) >= MAX_STREAMS:
                raise LogUnavailable(f"no more than {MAX_STREAMS} streams")
            found = self._streams[stream] = _Stream()
        return found

    def _require_up(self) -> None:
        if _now() < self._out_until:
            raise LogUnavailable("the log is out")


def _page(stream: _Stream, start: int, limit: int) -> LogPage:
    skip = start - stream.first_offset
    stop = min(skip + limit, len(stream.kept))
    records = tuple(stream.kept[index].record for index in range(skip, stop))
    return LogPage(records, stream.first_offset, start + len(records))


def _now() -> float:
    return asyncio.get_running_loop().time()
