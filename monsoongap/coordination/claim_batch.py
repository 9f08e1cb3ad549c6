"""Group commit of the claims of one bucket, and the reading back of its stream."""

import asyncio
import logging
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace

import msgspec

from monsoongap.coordination.ports import LogPort
from monsoongap.errors import (
    DispatchError,
    ErrorKind,
    LogTrimmed,
    LogUnavailable,
    Outcome,
)
from monsoongap.protocol.messages import LogPage, LogRecord
from monsoongap.settings import ClaimsSection
from monsoongap.state.claims import ClaimRecord, ClaimTable
from monsoongap.timers import TimerService

log = logging.getLogger(__name__)

MAX_BATCH = 200
MAX_WAITING = 2_000
PAGE_RECORDS = 500
RETRY_S = 0.1
CHECKPOINT_S = 10.0


def log_out(detail: str) -> DispatchError:
    """Return the error of a claim that can't be settled now.

    The outcome is `unknown`: another host may have claimed the key before, or may
    claim it later, and without the log nobody here can know.
    """
    return DispatchError(
        ErrorKind.LOG_UNAVAILABLE, detail, retry_after_ms=1_000, outcome=Outcome.UNKNOWN
    )


@dataclass(slots=True, eq=False)
class _Waiting:
    record: ClaimRecord
    winner: asyncio.Future[ClaimRecord]


class BucketBatcher:
    """Appends claims to one stream in batches and tells each one's winner.

    An append without a reply is sent again: copies of a claim mean the same as
    one, and which claim is first is read from the stream alone.
    """

    def __init__(
        self,
        cfg: ClaimsSection,
        bucket: int,
        port: LogPort,
        table: ClaimTable,
        timers: TimerService,
        min_period_s: Callable[[], float],
    ) -> None:
        """Create the batcher; two appends lie at least `min_period_s` apart."""
        self._cfg = cfg
        self._min_period_s = min_period_s
        self._appended_at = -math.inf
        self._stream = f"claims-{bucket}"
        self._port = port
        self._table = table
        self._timers = timers
        self._cursor: int | None = None
        self._live_from = 0
        self._checkpoints: deque[tuple[float, int]] = deque()
        self._reading = asyncio.Lock()
        self._waiting: list[_Waiting] = []
        self._work: asyncio.Task[None] | None = None
        self.appends = 0

    def close(self) -> None:
        """Stop; claims that wait here are never settled."""
        if self._work is not None:
            self._work.cancel()

    async def resolve(self, record: ClaimRecord) -> ClaimRecord:
        """Append a claim unless its key is taken; return the key's winner."""
        if len(self._waiting) >= MAX_WAITING:
            raise log_out("too many claims wait for the log")
        item = _Waiting(record, asyncio.get_running_loop().create_future())
        self._waiting.append(item)
        if self._work is None or self._work.done():
            self._work = asyncio.create_task(self._commit_all())
        return await item.winner

    async def lookup(self, key: str) -> ClaimRecord | None:
        """Read to the end of the stream and return a key's winner."""
        await self.catch_up()
        return await self._winner(key)

    async def catch_up(self) -> None:
        """Read what was appended since the last read."""
        async with self._reading:
            if self._cursor is None:
                self._cursor = self._live_from = await self._find_start()
            while True:
                page = await self._read(self._cursor, PAGE_RECORDS)
                for record in page.records:
                    self._note(record)
                self._cursor = page.next
                if len(page.records) < PAGE_RECORDS:
                    break
            self._checkpoint(self._cursor)

    def _checkpoint(self, cursor: int) -> None:
        """Remember how far the stream was read, to tell later what has expired."""
        now = self._timers.now()
        marks = self._checkpoints
        if not marks or now - marks[-1][0] >= CHECKPOINT_S:
            marks.append((now, cursor))
        while marks and now - marks[0][0] > self._cfg.keep_s:
            self._live_from = marks.popleft()[1]

    async def _find_start(self) -> int:
        """Return the offset from which claims may still stand.

        The last record of the stream tells it; the log does not tell its end, so
        the last record is found by doubling and halving.
        """
        page = await self._read(0, 1)
        if not page.records:
            return page.next
        last, step = page.records[0], 1
        while step:
            page = await self._read(last.offset + step, 1)
            if page.records:
                last = page.records[0]
                step *= 2
            else:
                step //= 2
        record = _decode(last)
        return 0 if record is None else record.live_from

    async def _commit_all(self) -> None:
        while self._waiting:
            await self._gather()
            batch = self._waiting[:MAX_BATCH]
            del self._waiting[:MAX_BATCH]
            batch = [item for item in batch if not item.winner.done()]
            while batch:
                try:
                    batch = await self._commit(batch)
                except LogUnavailable as exc:
                    log.warning("claims wait", extra={"reason": str(exc)})
                    await self._timers.sleep(RETRY_S)
                    batch = [item for item in batch if not item.winner.done()]
                except Exception:
                    log.exception("claims failed")
                    for item in batch:
                        _fail(item, log_out("internal error"))
                    batch = []

    async def _gather(self) -> None:
        """Wait for more claims, and for this bucket's turn at the log."""
        turn = self._appended_at + self._min_period_s()
        await self._timers.sleep(max(self._cfg.batch_s, turn - self._timers.now()))

    async def _commit(self, batch: list[_Waiting]) -> list[_Waiting]:
        """Append the claims of unclaimed keys, read back and tell the winners."""
        now = self._timers.now()
        new = [i for i in batch if self._table.offset(i.record.key, now) is None]
        if new:
            await self._start_reading()
            texts = tuple(_encode(i.record, self._live_from) for i in new)
            self.appends += 1
            self._appended_at = self._timers.now()
            offset = await self._port.append(self._stream, texts)
            await self._read_past(offset, len(texts))
        for item in batch:
            try:
                winner = await self._winner(item.record.key)
            except DispatchError as exc:
                _fail(item, exc)
                continue
            if winner is None or not self._provable(item.record, winner):
                _fail(item, log_out("the table of claims is full"))
            elif not item.winner.done():
                item.winner.set_result(winner)
        return []

    async def _read_past(self, offset: int, count: int) -> None:
        """Read at least up to the end of what was just appended."""
        if self._cursor is not None and offset < self._cursor:
            log.error("log went back", extra={"stream": self._stream, "offset": offset})
            self._cursor = offset
        while self._cursor is None or self._cursor < offset + count:
            await self.catch_up()

    async def _start_reading(self) -> None:
        """Read the stream before the first append, to know `live_from`."""
        if self._cursor is None:
            await self.catch_up()

    def _provable(self, record: ClaimRecord, winner: ClaimRecord) -> bool:
        """Tell whether no earlier claim of this key can have been dropped."""
        return self._table.complete(self._timers.now()) or not winner.same_claim(record)

    async def _winner(self, key: str) -> ClaimRecord | None:
        offset = self._table.offset(key, self._timers.now())
        if offset is None:
            return None
        record = self._table.record(key)
        if record is None:
            page = await self._read(offset, 1)
            record = _decode(page.records[0]) if page.records else None
        if record is None or record.key != key:
            raise log_out("the claim of this key can't be read")
        return record

    async def _read(self, start: int, limit: int) -> LogPage:
        try:
            return await self._port.read(self._stream, start, limit, 0)
        except LogTrimmed as exc:
            return await self._port.read(self._stream, exc.first_offset, limit, 0)

    def _note(self, entry: LogRecord) -> None:
        record = _decode(entry)
        if record is not None:
            self._table.note(entry.offset, record, self._timers.now())


def _encode(record: ClaimRecord, live_from: int) -> str:
    return msgspec.json.encode(replace(record, live_from=live_from)).decode()


def _decode(entry: LogRecord) -> ClaimRecord | None:
    try:
        return msgspec.json.decode(entry.data, type=ClaimRecord)
    except msgspec.MsgspecError:
        log.error("malformed claim", extra={"offset": entry.offset})
        return None


def _fail(item: _Waiting, exc: DispatchError) -> None:
    if not item.winner.done():
        item.winner.set_exception(exc)
