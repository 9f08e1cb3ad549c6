"""The timer service: the only source of time and of periodic calls.

All decisions read the time here, so tests can run them on an event loop with virtual
time. Times are seconds on the monotonic clock of the loop.
"""

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable

log = logging.getLogger(__name__)

MS_PER_S = 1000

Callback = Callable[[], Awaitable[None]] | Callable[[], None]


class Subscription:
    """Handle of a periodic call, to cancel it."""

    def __init__(self, task: asyncio.Task[None]) -> None:
        self._task = task

    def cancel(self) -> None:
        """Stop the periodic call."""
        self._task.cancel()


class TimerService:
    """Returns the time and calls subscribers periodically.

    An exception in a subscriber is logged, and the subscriber is called again after
    its next period, so that one failing part does not stop the others.
    """

    def __init__(self) -> None:
        self._subscriptions: set[Subscription] = set()

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return asyncio.get_running_loop().time()

    def wall_ms(self) -> int:
        """Return Unix time in milliseconds; it may jump when the clock is set."""
        return int(time.time() * MS_PER_S)

    async def sleep(self, delay_s: float) -> None:
        """Sleep for `delay_s` seconds."""
        await asyncio.sleep(delay_s)

    def every(self, period_s: float, callback: Callback, name: str) -> Subscription:
        """Call `callback` every `period_s` seconds until the subscription is cancelled.

        `name` identifies the subscriber in log lines.
        """
        task = asyncio.create_task(
            self._repeat(period_s, callback, name), name=f"timer:{name}"
        )
        subscription = Subscription(task)
        self._subscriptions.add(subscription)
        task.add_done_callback(lambda _: self._subscriptions.discard(subscription))
        return subscription

    def active_count(self) -> int:
        """Return the number of subscriptions that are not cancelled."""
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
                log.exception(
                    "timer subscriber raised; next call after its period",
                    extra={"timer": name},
                )
