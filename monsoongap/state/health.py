"""Health of runners: which ones fail, hang or are slow.

A suspect runner is used only when no other one has capacity. It is tried again after a
pause that doubles with each further failure.
"""

from dataclasses import dataclass

# Only one failure in about a hundred is the task's own fault: suspect after the first.
SUSPECT_S = 1.0
SUSPECT_MAX_S = 8.0
# Weight of the latest run in the moving average of a runner's slowness.
SLOWNESS_WEIGHT = 0.25
# Machine types differ by a third, estimates by more; slow runners by a factor of 4 up.
SLOW_FACTOR = 2.5
# 1 % of a task of 8 s takes 80 ms; polls come at least every 400 ms.
HANG_S = 0.7
HANG_ESTIMATES = 2.0


@dataclass(slots=True)
class RunnerHealth:
    """Health by the outcomes of runs. `slowness` averages run time over estimate."""

    bad_ends: int = 0
    suspect_until: float = 0.0
    slowness: float = 1.0

    def record_success(self, took_s: float, estimate_s: float) -> None:
        """Record a run that succeeded."""
        self.bad_ends = 0
        self.suspect_until = 0.0
        if estimate_s > 0:
            ratio = took_s / estimate_s
            self.slowness += SLOWNESS_WEIGHT * (min(ratio, 10.0) - self.slowness)

    def record_failure(self, now: float) -> None:
        """Record a run that failed or hung."""
        pause_s = min(SUSPECT_S * 2**self.bad_ends, SUSPECT_MAX_S)
        self.bad_ends += 1
        self.suspect_until = now + pause_s

    def is_suspect(self, now: float, usual_slowness: float) -> bool:
        """Return whether other runners are preferred."""
        slow = self.slowness > SLOW_FACTOR * usual_slowness
        return slow or now < self.suspect_until


def is_hung(now: float, progressed_at: float, estimate_s: float) -> bool:
    """Return whether a run that last progressed at `progressed_at` hangs."""
    return now - progressed_at > max(HANG_S, HANG_ESTIMATES * estimate_s)
