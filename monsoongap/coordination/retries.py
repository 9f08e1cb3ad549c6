"""The retry budget: a share of recent starts, never a count per request."""

import asyncio
from collections import deque
from typing import Any

from monsoongap.timers import TimerService

RETRY_SHARE = 0.08
BURST_TOKENS = 5.0
IDLE_AFTER_S = 0.2
IDLE_TOKENS_PER_S = 0.5
IDLE_TOKENS = 2.0
MAX_ADVANCE = 30.0
FORGIVEN_PER_S = 1 / 30
POLL_S = 0.05


class RetryBudget:
    """A token bucket that first starts fill and retries empty.

    Every first start earns `RETRY_SHARE` of a token, so retries stay below that
    share of starts whatever fails. While there are no first starts, tokens come in
    advance: a few with time, so that a single job can still get past one bad
    worker, and one with each answer, for the workers are well then. First starts
    pay an advance back before they earn again. At most `MAX_ADVANCE` is owed; it is
    forgiven so slowly that it matters to an idle host only.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._tokens = IDLE_TOKENS
        self._owed = 0.0
        self._looked_at = 0.0
        self._idle_from: float | None = None
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._look_again: asyncio.TimerHandle | None = None
        self.starts = 0
        self.retries = 0

    def note_start(self) -> None:
        """Earn a share of a token for a task's first start."""
        self._earn_idle()
        self.starts += 1
        paid_back = min(self._owed, RETRY_SHARE)
        self._owed -= paid_back
        earned = RETRY_SHARE - paid_back
        self._tokens = min(BURST_TOKENS, self._tokens + earned)
        self._idle_from = self._timers.now() + IDLE_AFTER_S
        if self._waiting:
            self._grant()

    def note_answer(self) -> None:
        """Take a token in advance for an answer while there are no first starts."""
        self._earn_idle()
        if self._waiting and self._is_idle():
            self._advance(1.0)
            self._grant()

    async def take(self, stop: asyncio.Future[Any]) -> bool:
        """Wait in turn for a token; returns False when `stop` is done first."""
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        self._grant()
        try:
            await asyncio.wait({turn, stop}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            granted = not turn.cancel()
        return granted

    def _grant(self) -> None:
        """Hand tokens to those who wait, and look again while some are left."""
        self._earn_idle()
        while self._waiting:
            if self._waiting[0].done():
                self._waiting.popleft()
            elif self._tokens >= 1.0:
                self._tokens -= 1.0
                self.retries += 1
                self._waiting.popleft().set_result(None)
            else:
                break
        if self._waiting and self._look_again is None:
            loop = asyncio.get_running_loop()
            self._look_again = loop.call_later(POLL_S, self._look)

    def _look(self) -> None:
        self._look_again = None
        self._grant()

    def _is_idle(self) -> bool:
        return self._idle_from is not None and self._timers.now() >= self._idle_from

    def _advance(self, tokens: float) -> None:
        tokens = min(tokens, MAX_ADVANCE - self._owed)
        self._owed += tokens
        self._tokens += tokens

    def _earn_idle(self) -> None:
        now = self._timers.now()
        forgiven = (now - self._looked_at) * FORGIVEN_PER_S
        self._owed = max(0.0, self._owed - forgiven)
        self._looked_at = now
        if self._idle_from is None or now <= self._idle_from:
            return
        missing = max(0.0, IDLE_TOKENS - self._tokens)
        self._advance(min(missing, (now - self._idle_from) * IDLE_TOKENS_PER_S))
        self._idle_from = now
