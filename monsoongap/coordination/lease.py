"""The lease on one runner, counted on the runner's own clock.

A runner tells its clock with every answer. From what it last told, an owner names
the end of the next lease, and knows when every lease that it may have given has
certainly lapsed, though the runner's clock may be a little slow.
"""

from dataclasses import dataclass

from monsoongap.timers import MS_PER_S

# Runners may be a little slow: 2 % in the lease, and a margin for rounding.
CLOCK_DRIFT = 0.98
LAPSE_MARGIN_S = 0.03


def longest_lease_s(lease_s: float) -> float:
    """Return after how long a lease of `lease_s` has certainly lapsed, in seconds."""
    return lease_s / CLOCK_DRIFT + LAPSE_MARGIN_S


@dataclass(slots=True)
class RunnerLease:
    """What an owner knows of a runner's clock, and until when its runs may live.

    `lapsed_at` is a time of this host: later than that nothing runs there that this
    owner, or one before it, has ordered.
    """

    lease_s: float
    lapsed_at: float
    _told_ms: int = 0
    _told_at: float = -1.0

    @property
    def clock_known(self) -> bool:
        """Tell whether the runner has told its clock in its present life."""
        return self._told_at >= 0

    def forget_clock(self) -> None:
        """Take note that the runner's clock begins anew."""
        self._told_at = -1.0

    def hear(self, clock_ms: int | None, now: float) -> None:
        """Take in the clock of an answer that came now; answers may overtake."""
        if clock_ms is None:
            return
        past_ms = (now - self._told_at) * MS_PER_S
        if not self.clock_known or clock_ms >= self._told_ms + past_ms * CLOCK_DRIFT:
            self._told_ms = clock_ms
            self._told_at = now

    def extend(self, now: float) -> int:
        """Return the end of a full lease on the runner's clock, as given from now."""
        past_s = now - self._told_at
        left_s = past_s + self.lease_s
        lapsed_at = self._told_at + longest_lease_s(left_s)
        self.lapsed_at = max(self.lapsed_at, lapsed_at)
        return self._told_ms + int(left_s * MS_PER_S)
