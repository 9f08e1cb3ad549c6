"""The share of slots that long work may hold, following the load.

A fixed share trades one class for the other: too small and long work starves, too
large and a burst of short work finds every slot held for seconds. Here the share
follows the measured offered work of both classes and how long long work waits.
"""

import math

FADE_S = 30.0
WARM_UP_S = 1.0
LONG_FACTOR_IDLE = 0.5
LONG_FACTOR_LATE = 1.5
SHORT_FACTOR_SPARE = 3.5
SHORT_FACTOR_NEEDED = 1.15
RESERVE_FACTOR = 1.0
RESERVE_OF_LEFT = 1.0
LATE_AFTER_RUNS = 2.9


class LoadMeter:
    """Offered work in slots: slot-seconds per second, fading over `FADE_S`."""

    def __init__(self) -> None:
        self._first_at: float | None = None
        self._at = 0.0
        self._sum_s = 0.0

    def add(self, now: float, slot_s: float) -> None:
        """Count offered work; negative work corrects an earlier estimate."""
        self._fade(now)
        if self._first_at is None:
            self._first_at = now
        self._sum_s = max(0.0, self._sum_s + slot_s)

    def slots(self, now: float) -> float:
        """Return the offered work in slots."""
        if self._first_at is None:
            return 0.0
        self._fade(now)
        age_s = max(now - self._first_at, WARM_UP_S)
        return self._sum_s / (FADE_S * -math.expm1(-age_s / FADE_S))

    def _fade(self, now: float) -> None:
        if now > self._at:
            self._sum_s *= math.exp((self._at - now) / FADE_S)
            self._at = now


class LongShare:
    """How many slots long work may hold and how many stay free of it.

    Short work is all tasks expected to be short; urgent work is that part of it
    which belongs to jobs without a long task.
    """

    def __init__(self) -> None:
        self.short = LoadMeter()
        self.urgent = LoadMeter()
        self.long = LoadMeter()

    def limit(self, now: float, pool: int, lateness: float) -> int:
        """Return how many of `pool` slots long work may hold.

        `lateness` is the wait of the longest waiting long task over what it may
        wait (`LATE_AFTER_RUNS` run times). The limit starts below the offered long
        work, which costs long work a wait that it can afford, and rises above
        it as that wait is used up. It never takes what short work needs, nor more
        than its part of both when there is not enough for both.
        """
        short = self.short.slots(now)
        if short <= 0.0:
            return pool
        long = self.long.slots(now)
        rise = (LONG_FACTOR_LATE - LONG_FACTOR_IDLE) * min(1.0, lateness)
        wanted = max(
            long * (LONG_FACTOR_IDLE + rise),
            pool - SHORT_FACTOR_SPARE * short,
        )
        left = max(pool - SHORT_FACTOR_NEEDED * short, pool * long / (long + short))
        return max(1, min(pool, math.ceil(min(wanted, left))))

    def reserve(self, now: float, pool: int) -> int:
        """Return how many free slots are kept from jobs that have long tasks.

        Never more than the offered work leaves, or those jobs would pile up.
        """
        burst = RESERVE_FACTOR * self.urgent.slots(now)
        offered = self.short.slots(now) + self.long.slots(now)
        left = RESERVE_OF_LEFT * max(0.0, pool - offered)
        return round(min(burst, left))
