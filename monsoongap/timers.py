"""The timer service: the only source of time and of periodic calls.

All decisions read the time here, so tests can run them on an event loop with virtual
time. Times are seconds on the monotonic clock of the loop.
"""

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

log = logging.getLogger(__name__)

MS_PER_S = 1000
# A timer that is later than this comes after a pause of the process, or under overload.
# What has arrived meanwhile is handled first: the loop may call timers before it reads.
LATE_S = 0.05
READ_FIRST_S = 0.02
# A first call that would come sooner than this part of a period waits one more.
MIN_DELAY = 0.5

# A process that did not run for this long counts as paused. Shorter gaps come from
# garbage collection and bursts of input.
PAUSE_S = 0.25
PAUSE_CHECK_S = 0.1

Callback = Callable[[], Awaitable[None]] | Callable[[], None]


@dataclass(frozen=True, slots=True)
class Pause:
    """A time in which this process did not run, until `ended_at`; in seconds."""

    length_s: float
    ended_at: float


class Timer:
    """Calls `callback` once, at `due` by the loop; if that is late, after reading."""

    def __init__(self, due: float, callback: Callable[[], None]) -> None:
        self.due = due
        self._callback = callback
        self._handle = asyncio.get_running_loop().call_at(due, self._fire)

    def cancel(self) -> None:
        """Do not call."""
        self._handle.cancel()

    def _fire(self) -> None:
        loop = asyncio.get_running_loop()
        if loop.time() - self.due > LATE_S:
            self._handle = loop.call_later(READ_FIRST_S, self._callback)
        else:
            self._callback()


class Subscription:
    """A periodic call; `cancel` ends it."""

    def __init__(self, period_s: float, callback: Callback, name: str) -> None:
        self._period_s = period_s
        self._callback = callback
        self._name = name
        self._timer: Timer | None = None
        self._task: asyncio.Future[None] | None = None
        self.is_active = False

    def schedule(self) -> None:
        """Make the next call after a period."""
        self.is_active = True
        loop = asyncio.get_running_loop()
        # On a common grid the calls of several subscribers share one wake-up.
        due = (loop.time() // self._period_s + 1) * self._period_s
        if due - loop.time() < MIN_DELAY * self._period_s:
            due += self._period_s
        self._timer = Timer(due, self._call)

    def cancel(self) -> None:
        """Stop the periodic call."""
        self.is_active = False
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()

    def _call(self) -> None:
        try:
            result = self._callback()
        except Exception as exc:
            self._log_exception(exc)
            result = None
        if result is not None:
            self._task = asyncio.ensure_future(result)
            self._task.add_done_callback(self._finished)
        elif self.is_active:
            self.schedule()

    def _finished(self, task: "asyncio.Future[None]") -> None:
        exc = None if task.cancelled() else task.exception()
        if exc is not None:
            self._log_exception(exc)
        if self.is_active:
            self.schedule()

    def _log_exception(self, exc: BaseException) -> None:
        log.error(
            "timer subscriber raised; next call after its period",
            exc_info=exc,
            extra={"timer": self._name},
        )


class TimerService:
    """Returns the time and calls subscribers periodically.

    An exception in a subscriber is logged, and the subscriber is called again after
    its next period, so that one failing part does not stop the others.
    """

    def __init__(
        self,
        clock: Callable[[], float] | None = None,
        process_started_at: float | None = None,
    ) -> None:
        self._clock = clock
        self._process_started_at = process_started_at
        self._subscriptions: set[Subscription] = set()
        self._pause_callbacks: list[Callable[[Pause], None]] = []
        self._ran_at: float | None = None
        self._last_pause = Pause(0.0, float("-inf"))

    def now(self) -> float:
        """Return the monotonic time in seconds, by the given clock or the loop's."""
        return self._clock() if self._clock else asyncio.get_running_loop().time()

    @property
    def process_started_at(self) -> float:
        """When this process started; by default, when it was first asked for."""
        if self._process_started_at is None:
            self._process_started_at = self.now()
        return self._process_started_at

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
        subscription = Subscription(period_s, callback, name)
        subscription.schedule()
        self._subscriptions = {s for s in self._subscriptions if s.is_active}
        self._subscriptions.add(subscription)
        return subscription

    def watch_pauses(self, callback: Callable[[Pause], None]) -> None:
        """Call `callback` once after each pause of this process, before what waits."""
        if not self._pause_callbacks:
            self._ran_at = self.now()
            self.every(PAUSE_CHECK_S, self._check_pause, "pause")
        self._pause_callbacks.append(callback)

    def _check_pause(self) -> None:
        now = self.now()
        if self._ran_at is None:
            return
        length_s, self._ran_at = now - self._ran_at, now
        if length_s < PAUSE_S:
            return
        log.warning(
            "process was paused; reading what arrived before acting",
            extra={"paused_ms": round(length_s * MS_PER_S)},
        )
        self._last_pause = Pause(length_s, now)
        for callback in self._pause_callbacks:
            callback(self._last_pause)

    def last_pause(self) -> Pause:
        """Return the last pause of this process, also if it has just ended."""
        self._check_pause()
        return self._last_pause

    def received_since(self) -> float:
        """Return the earliest time at which what is read now may have arrived.

        After a pause of this process that is its beginning.
        """
        pause, now = self.last_pause(), self.now()
        if now - pause.ended_at <= READ_FIRST_S:
            return pause.ended_at - pause.length_s
        return now

    @property
    def read_first_s(self) -> float:
        """How long to let the loop read after a pause before acting, in seconds."""
        left_s = self.last_pause().ended_at + READ_FIRST_S - self.now()
        return max(left_s, 0.0)

    async def read_first(self) -> None:
        """After a pause, wait until the loop has read what arrived meanwhile."""
        while (left_s := self.read_first_s) > 0:
            await self.sleep(left_s)

    def active_count(self) -> int:
        """Return the number of subscriptions that are not cancelled."""
        return sum(subscription.is_active for subscription in self._subscriptions)

    def close(self) -> None:
        """Cancel every subscription."""
        for subscription in self._subscriptions:
            subscription.cancel()
