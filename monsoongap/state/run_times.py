"""Prediction of how long runs take: the pace of each runner, and progress of its runs.

The pace of a runner is the time that its runs took over their declared time. It is
learned from ended runs and is forgotten when the runner restarts.
"""

import math
from dataclasses import dataclass

# Bound on what one run changes, as a logarithm: a factor of 2.2. About 3 % of the runs
# take 7 times as long as declared and would otherwise dominate the mean.
MAX_STEP = 0.8
# Weight of the latest run once several are known. With declared times off by two
# fifths, the pace is then known to about a tenth.
WEIGHT = 0.06
# What is assumed of an unknown runner counts like this many runs.
PRIOR_RUNS = 1.0
# Progress is reported in whole percent and some milliseconds late; below this the
# declared time tells more.
MIN_PROGRESS = 5
# A run that exceeds its predicted time by this share has no predicted end.
OVERDUE_SHARE = 0.5


@dataclass(slots=True)
class Pace:
    """The pace of one incarnation of a runner, as a moving mean of logarithms."""

    born_ms: int = 0
    runs: int = 0
    _log: float = 0.0

    def factor(self, born_ms: int, usual: float) -> float:
        """Return run time over declared time; `usual` is that of other runners."""
        if self.runs == 0 or born_ms != self.born_ms:
            return usual
        return math.exp(self._log)

    def record(
        self, born_ms: int, took_s: float, declared_s: float, usual: float
    ) -> None:
        """Learn from a run that succeeded."""
        if took_s <= 0 or declared_s <= 0:
            return
        if self.runs == 0 or born_ms != self.born_ms:
            self.born_ms, self.runs, self._log = born_ms, 0, math.log(usual)
        self.runs += 1
        step = math.log(took_s / declared_s) - self._log
        weight = max(1.0 / (self.runs + PRIOR_RUNS), WEIGHT)
        self._log += weight * max(-MAX_STEP, min(step, MAX_STEP))


@dataclass(frozen=True, slots=True)
class PredictedEnd:
    """When a run is expected to end; from `unknown_from` on that is not known."""

    ends_at: float
    unknown_from: float


def predict_end(
    started_at: float, expected_s: float, progress: int, progressed_at: float
) -> PredictedEnd:
    """Predict the end of a run.

    `expected_s` is its declared time at the pace of its runner, `progress` in percent
    what the runner told at `progressed_at`.
    """
    ran_s = progressed_at - started_at
    if progress >= MIN_PROGRESS and ran_s > 0:
        expected_s = ran_s * 100 / progress
    unknown_from = started_at + expected_s * (1 + OVERDUE_SHARE)
    return PredictedEnd(started_at + expected_s, unknown_from)
