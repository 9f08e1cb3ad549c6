"""Polling the platform's host list, which lags, empties and goes back.

Rules: an empty list counts as out of reach. A list older than the newest one
seen, here or in a peer's snapshot, is ignored as a lagging replica, until only
older ones have come for `REGRESSION_S`, which is what a platform that lost its
version looks like. What becomes of hosts that a list no longer names is decided
by the tables that take it.

The polls of the hosts fall at random phases. A platform that sends the whole list
each time is asked less often, so that `LIST_BYTES_PER_S` holds; leaving workers do
not wait for it, because the first host that reads of one tells the others.
"""

import logging
import random
from collections.abc import Callable

from monsoongap.coordination.ports import HostListPort
from monsoongap.errors import LogUnavailable
from monsoongap.protocol.messages import HostList
from monsoongap.settings import PeersSection
from monsoongap.timers import TimerService

log = logging.getLogger(__name__)

REGRESSION_S = 30.0
ENTRY_BYTES = 160
LIST_BYTES_PER_S = 4_000
JITTER = 0.2


class HostListWatch:
    """Fetches the list again and again and hands on what may be believed."""

    def __init__(
        self,
        cfg: PeersSection,
        port: HostListPort,
        take: Callable[[HostList], None],
        timers: TimerService,
        rng: random.Random,
    ) -> None:
        self.version = 0
        self.taken_at: float | None = None
        self._cfg = cfg
        self._port = port
        self._take = take
        self._timers = timers
        self._rng = rng
        self._last: HostList | None = None
        self._whole_in_row = 0
        self._older_since: float | None = None
        self._out = False

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            pause_s = self._pause_s()
            await self._timers.sleep(
                pause_s * self._rng.uniform(1 - JITTER, 1 + JITTER)
            )
            try:
                await self.refresh()
            except Exception:
                # A fault in taking one list must not end the polling.
                log.exception("host list not taken")

    async def refresh(self) -> bool:
        """Fetch once; True when a list was taken."""
        try:
            fetched = await self._port.fetch()
        except LogUnavailable as exc:
            self._note_outage(str(exc))
            return False
        is_whole = fetched is not self._last
        self._whole_in_row = self._whole_in_row + 1 if is_whole else 0
        self._last = fetched
        if not fetched.hosts:
            self._note_outage("list is empty")
            return False
        if self._is_older(fetched):
            return False
        self._note_back()
        self.version = fetched.version
        self.taken_at = self._timers.now()
        self._take(fetched)
        return True

    def _pause_s(self) -> float:
        """Pace by size where each fetch brings the whole list, changed or not."""
        if self._last is None or self._whole_in_row < 2:
            return self._cfg.hosts_poll_s
        size = len(self._last.hosts) * ENTRY_BYTES
        return max(self._cfg.hosts_poll_s, size / LIST_BYTES_PER_S)

    def _is_older(self, fetched: HostList) -> bool:
        now = self._timers.now()
        if fetched.version >= self.version:
            self._older_since = None
            return False
        if self._older_since is None:
            self._older_since = now
        regressed = now - self._older_since >= REGRESSION_S
        extra = {"version": fetched.version, "newest": self.version}
        if regressed:
            log.warning("host list went back, taken", extra=extra)
            self._older_since = None
        else:
            log.info("older host list ignored", extra=extra)
        return not regressed

    def _note_outage(self, reason: str) -> None:
        if not self._out:
            log.warning("host list out of reach", extra={"reason": reason})
        self._out = True

    def _note_back(self) -> None:
        if self._out:
            log.info("host list back", extra={"version": self.version})
        self._out = False
