"""The retry budget: a share of recent starts, never a count per request."""

import asyncio
from typing import Any

from monsoongap.timers import TimerService

RETRY_SHARE = 0.09
BURST_TOKENS = 5.0
IDLE_AFTER_S = 2.0
IDLE_TOKENS_PER_S = 0.5
IDLE_TOKENS = 2.0
POLL_S = 0.05


class RetryBudget:
    """A token bucket that first starts fill and retries empty.

    Every first start earns `RETRY_SHARE` of a token, so retries stay below that
    share of starts whatever fails. A host without first starts earns a little
    with time, so that a single job can still get past one bad worker.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._tokens = IDLE_TOKENS
        self._idle_from: float | None = None
        self.starts = 0
        self.retries = 0

    def note_start(self) -> None:
        """Earn a share of a token for a task's first start."""
        self._earn_idle()
        self.starts += 1
        self._tokens = min(BURST_TOKENS, self._tokens + RETRY_SHARE)
        self._idle_from = self._timers.now() + IDLE_AFTER_S

    def try_take(self) -> bool:
        """Spend a token on a retry, if there is one."""
        self._earn_idle()
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        self.retries += 1
        return True

    async def take(self, stop: asyncio.Future[Any]) -> bool:
        """Wait for a token; returns False when `stop` is done first."""
        while not stop.done():
            if self.try_take():
                return True
            await asyncio.wait({stop}, timeout=POLL_S)
        return False

    def _earn_idle(self) -> None:
        now = self._timers.now()
        idle_s = 0.0 if self._idle_from is None else now - self._idle_from
        if idle_s <= 0:
            return
        self._idle_from = now
        if self._tokens < IDLE_TOKENS:
            earned = idle_s * IDLE_TOKENS_PER_S
            self._tokens = min(IDLE_TOKENS, self._tokens + earned)
