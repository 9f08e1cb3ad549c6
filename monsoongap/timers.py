"""The timer service: the one source of time that parts subscribe to.

All decisions read time from here, so tests drive them on a loop whose clock
jumps to the next timer. Times are seconds on the loop's monotonic clock.
"""

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable

log = logging.getLogger(__name__)

MS_PER_S = 1000

Callback = Callable[[], Awaitable[None]] | Callable[[], None]


class Subscription:
    """A periodic call that can be cancelled."""

    def __init__(self, task: asyncio.Task[None]) -> None:
        self._task = task

    def cancel(self) -> None:
        """Stop the periodic call."""
        self._task.cancel()


class TimerService:
    """Tells the time and calls subscribers periodically.

    A subscriber that raises is logged and called again at its next period, so
    one faulty part cannot stop the others.
    """

    def __init__(self) -> None:
        self._subscriptions: set[Subscription] = set()

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return asyncio.get_running_loop().time()

    def wall_ms(self) -> int:
        """Return the time of day in milliseconds since 1970; it may step."""
        return int(time.time() * MS_PER_S)

    async def sleep(self, delay_s: float) -> None:
        """Wait for `delay_s` seconds."""
        await asyncio.sleep(delay_s)

    def every(self, period_s: float, callback: Callback, name: str) -> Subscription:
        """Call `callback` each `period_s` seconds until cancelled."""
        task = asyncio.create_task(
            self._repeat(period_s, callback, name), name=f"timer:{name}"
        )
        subscription = Subscription(task)
        self._subscriptions.add(subscription)
        task.add_done_callback(lambda _: self._subscriptions.discard(subscription))
        return subscription

    def active(self) -> int:
        """Return the number of periodic calls that go on."""
        return len(self._subscriptions)

    def close(self) -> None:
        """Cancel every subscription."""
        for subscription in self._subscriptions:
            subscription.cancel()

    async def _repeat(self, period_s: float, callback: Callback, name: str) -> None:
        while True:
            await asyncio.sleep(period_s)
            try:
                result = callback()
                if result is not None:
                    await result
            except Exception:
                log.exception("timer subscriber failed", extra={"timer": name})
