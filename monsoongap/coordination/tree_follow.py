"""Follows the log stream of the settings tree.

A host whose offset the log no longer keeps starts again from the newest snapshot
whose stated offset is still kept, so that the records after it are all there.
"""

import asyncio
import logging
from dataclasses import replace

from monsoongap.coordination.ports import LogPort
from monsoongap.coordination.tree_replica import TreeReplica
from monsoongap.errors import LogTrimmed, LogUnavailable
from monsoongap.protocol.messages import LogPage, LogRecord
from monsoongap.protocol.tree import STREAM, Snapshot
from monsoongap.settings import TreeSection
from monsoongap.state.tree import advance, encode_record, take_snapshot
from monsoongap.timers import TimerService

log = logging.getLogger(__name__)

READ_RECORDS = 32
LONG_POLL_MS = 2_000
READ_TIMEOUT_S = 6.0
APPEND_TIMEOUT_S = 4.0
RETRY_S = 0.5
REACHABLE_S = 3.5
RESUME_PERIODS = 2.0


class LogFollower:
    """Reads the stream into the replica, for as long as the host runs."""

    def __init__(
        self,
        cfg: TreeSection,
        log_port: LogPort,
        replica: TreeReplica,
        timers: TimerService,
    ) -> None:
        self._cfg = cfg
        self._log = log_port
        self._replica = replica
        self._timers = timers
        self._answered_at: float | None = None
        self._warned = False
        self._stuck_since: float | None = None

    def log_age_s(self) -> float | None:
        """Return the seconds since the log last answered, None if it never did."""
        if self._answered_at is None:
            return None
        return self._timers.now() - self._answered_at

    def reachable(self) -> bool:
        """Tell whether the log answered within the last `REACHABLE_S` seconds."""
        age_s = self.log_age_s()
        return age_s is not None and age_s < REACHABLE_S

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        while True:
            try:
                if not await self._follow_once():
                    await self._timers.sleep(RETRY_S)
            except Exception:
                log.exception("following the settings stream failed")
                await self._timers.sleep(RETRY_S)

    async def append(self, record: str) -> None:
        """Append one record; raises `LogUnavailable` when its fate is unknown."""
        try:
            async with asyncio.timeout(APPEND_TIMEOUT_S):
                await self._log.append(STREAM, (record,))
        except (LogUnavailable, TimeoutError) as exc:
            self._replica.count(log_errors=1)
            raise LogUnavailable(f"append to {STREAM!r}: {exc}") from exc
        self._answered_at = self._timers.now()

    async def _follow_once(self) -> bool:
        # Until the end of the log is reached once, an empty page must come at
        # once: it is what tells that the tree is complete.
        wait_ms = LONG_POLL_MS if self._replica.loaded else 0
        try:
            page = await self._read(self._replica.offset, wait_ms)
        except LogTrimmed as exc:
            return await self._start_again(exc.first_offset)
        except LogUnavailable as exc:
            self._report_unavailable(exc)
            return False
        if page.first > self._replica.offset:
            return await self._start_again(page.first)
        return self._take(page)

    async def _read(self, start: int, wait_ms: int) -> LogPage:
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                page = await self._log.read(STREAM, start, READ_RECORDS, wait_ms)
        except TimeoutError as exc:
            raise LogUnavailable("read timed out") from exc
        self._answered_at = self._timers.now()
        self._warned = False
        return page

    def _take(self, page: LogPage) -> bool:
        self._stuck_since = None
        if page.next < self._replica.offset:
            self._report_shorter(page.next)
            return False
        for record in page.records:
            self._replica.apply(record)
        if not page.records:
            self._replica.mark_loaded()
        return True

    async def _start_again(self, first: int) -> bool:
        """Start from the newest usable snapshot; tell whether there was one."""
        snapshot = await self._find_snapshot(first)
        if snapshot is not None and self._replica.install(snapshot, "log"):
            return True
        now = self._timers.now()
        if self._stuck_since is None:
            self._stuck_since = now
            extra = {"first": first, "offset": self._replica.offset}
            log.error("settings trimmed and no snapshot to start from", extra=extra)
        if now - self._stuck_since >= self._cfg.snapshot_s * RESUME_PERIODS:
            await self._resume(first)
        return False

    async def _resume(self, first: int) -> None:
        """Let every host go on from this one's tree, past records that are lost.

        By now any host that had read them would have published a snapshot. So no
        one has, and no change among them was ever answered as accepted.
        """
        if not (self._replica.loaded or self._cfg.start_empty):
            return
        tree = replace(self._replica.tree, offset=first)
        try:
            await self.append(encode_record(take_snapshot(tree)))
        except LogUnavailable as exc:
            self._report_unavailable(exc)
            return
        extra = {"first": first, "offset": self._replica.offset}
        log.error("settings resumed past lost records", extra=extra)

    async def _find_snapshot(self, first: int) -> Snapshot | None:
        newest: Snapshot | None = None
        start = first
        while True:
            try:
                page = await self._read(start, 0)
            except (LogTrimmed, LogUnavailable):
                return newest
            for record in page.records:
                newest = _newer(newest, _usable(record, first, self._replica))
            if not page.records:
                return newest
            start = page.records[-1].offset + 1

    def _report_unavailable(self, exc: LogUnavailable) -> None:
        self._replica.count(log_errors=1)
        if not self._warned:
            log.warning("settings stream unavailable", extra={"reason": str(exc)})
        self._warned = True

    def _report_shorter(self, end: int) -> None:
        self._replica.count(log_errors=1)
        if not self._warned:
            extra = {"end": end, "offset": self._replica.offset}
            log.error("settings stream ends below what was read", extra=extra)
        self._warned = True


def _usable(record: LogRecord, first: int, replica: TreeReplica) -> Snapshot | None:
    snapshot = advance(replica.tree, record).snapshot
    if snapshot is None or snapshot.offset < max(first, replica.offset + 1):
        return None
    return snapshot


def _newer(held: Snapshot | None, found: Snapshot | None) -> Snapshot | None:
    if held is None or (found is not None and found.offset > held.offset):
        return found
    return held
