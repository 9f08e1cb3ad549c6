"""How well a runner does what it starts: failing, hanging and slow runners.

A runner that fails, hangs or is slow stays in use only where no other one has room.
It gets a try again after a while, which grows as long as the tries end badly.
"""

from dataclasses import dataclass

# One failure in some hundred is a task's own fault; the first is a sign already.
SUSPECT_S = 1.0
SUSPECT_MAX_S = 8.0
# Weight of the newest run in the mean slowness of a runner.
SLOWNESS_WEIGHT = 0.25
# Kinds of machines differ by a third, declared times by more; slow ones by 4 and up.
SLOW_FACTOR = 2.5
# A percent of a task of 8 s passes in 80 ms; looks come every 400 ms at least.
HANG_S = 0.7
HANG_ESTIMATES = 2.0


@dataclass(slots=True)
class RunnerHealth:
    """What the ends of a runner's runs tell. `slowness` is time over estimate."""

    bad_ends: int = 0
    suspect_until: float = 0.0
    slowness: float = 1.0

    def record_success(self, took_s: float, estimate_s: float) -> None:
        """Take note of a run that ended well."""
        self.bad_ends = 0
        self.suspect_until = 0.0
        if estimate_s > 0:
            ratio = took_s / estimate_s
            self.slowness += SLOWNESS_WEIGHT * (min(ratio, 10.0) - self.slowness)

    def record_failure(self, now: float) -> None:
        """Take note of a run that failed or hung."""
        pause = min(SUSPECT_S * 2**self.bad_ends, SUSPECT_MAX_S)
        self.bad_ends += 1
        self.suspect_until = now + pause

    def is_suspect(self, now: float, usual_slowness: float) -> bool:
        """Tell whether other runners go first."""
        slow = self.slowness > SLOW_FACTOR * usual_slowness
        return slow or now < self.suspect_until


def is_hung(now: float, progressed_at: float, estimate_s: float) -> bool:
    """Tell whether a run that last moved at `progressed_at` stands still."""
    return now - progressed_at > max(HANG_S, HANG_ESTIMATES * estimate_s)
