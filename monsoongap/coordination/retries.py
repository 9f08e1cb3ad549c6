"""The retry budget: a share of recent starts, never a count per request."""

import asyncio
from typing import Any

from monsoongap.timers import TimerService

RETRY_SHARE = 0.1
BURST_TOKENS = 20.0
FLOOR_TOKENS_PER_S = 0.5
FLOOR_TOKENS = 1.0
POLL_S = 0.05


class RetryBudget:
    """A token bucket that first starts fill and retries empty.

    Every first start earns `RETRY_SHARE` of a token, so retries stay below that
    share of starts whatever fails. An idle host earns a little with time, up to
    `FLOOR_TOKENS`, so that a single job can still get past one bad worker.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._tokens = FLOOR_TOKENS
        self._floored_at: float | None = None
        self.starts = 0
        self.retries = 0

    def note_start(self) -> None:
        """Earn a share of a token for a task's first start."""
        self.starts += 1
        self._tokens = min(BURST_TOKENS, self._tokens + RETRY_SHARE)

    def try_take(self) -> bool:
        """Spend a token on a retry, if there is one."""
        self._earn_floor()
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

    def _earn_floor(self) -> None:
        now = self._timers.now()
        since = now if self._floored_at is None else self._floored_at
        self._floored_at = now
        if self._tokens < FLOOR_TOKENS:
            earned = (now - since) * FLOOR_TOKENS_PER_S
            self._tokens = min(FLOOR_TOKENS, self._tokens + earned)
