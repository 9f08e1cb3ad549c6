"""The lease on one runner, counted on the runner's own clock.

A runner sends its clock with every reply. From the last value, an owner computes the
end of the next lease, and when every lease that it may have given has certainly lapsed
even if the runner's clock is up to 2 % slow.
"""

from dataclasses import dataclass

from monsoongap.timers import MS_PER_S

# A runner's clock may be up to 2 % slow; the margin covers rounding.
CLOCK_DRIFT = 0.98
LAPSE_MARGIN_S = 0.03


def longest_lease_s(lease_s: float) -> float:
    """Return after how long a lease of `lease_s` has certainly lapsed, in seconds."""
    return lease_s / CLOCK_DRIFT + LAPSE_MARGIN_S


@dataclass(slots=True)
class RunnerLease:
    """The last known clock of a runner, and until when its runs may go on.

    `lapsed_at` is on this host's clock: after it, no run that this owner or a previous
    one requested goes on.
    """

    lease_s: float
    lapsed_at: float
    _clock_ms: int = 0
    _clock_at: float = -1.0

    @property
    def clock_known(self) -> bool:
        """Return whether the clock of the current incarnation is known."""
        return self._clock_at >= 0

    def forget_clock(self) -> None:
        """Discard the clock, as the runner restarted and its clock starts anew."""
        self._clock_at = -1.0

    def record_clock(self, clock_ms: int | None, now: float) -> None:
        """Record the clock of a reply that came at `now`, unless it is out of order."""
        if clock_ms is None:
            return
        elapsed_ms = (now - self._clock_at) * MS_PER_S
        if (
            not self.clock_known
            or clock_ms >= self._clock_ms + elapsed_ms * CLOCK_DRIFT
        ):
            self._clock_ms = clock_ms
            self._clock_at = now

    def extend(self, now: float, until: float = float("inf")) -> int:
        """Return the end of a lease from `now` on, in ms of the runner's clock.

        It is a full one, but ends at `until` at the latest.
        """
        elapsed_s = now - self._clock_at
        left_s = elapsed_s + max(min(self.lease_s, until - now), 0.0)
        lapsed_at = self._clock_at + longest_lease_s(left_s)
        self.lapsed_at = max(self.lapsed_at, lapsed_at)
        return self._clock_ms + int(left_s * MS_PER_S)
