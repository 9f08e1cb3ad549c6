"""Expected run times, learned per team and kind.

Declared sizes are off by ten times either way, so a declared size is never
believed. It still tells tasks of one kind apart: tasks of a kind are grouped by
the half octave of their declared size and each group is measured on its own.
"""

import math
from dataclasses import dataclass, replace

from monsoongap.settings import PlacementSection
from monsoongap.state.estimates import (
    ANY_BUCKET,
    RunTimeKey,
    RunTimes,
    RunTimeTable,
)

MIN_GROUP_WEIGHT = 4.0
PRIOR_WEIGHT = 4.0
MIXED_SHARE = 0.02
BUCKETS_PER_OCTAVE = 2.0
LONG_SHARE = 0.5
HISTOGRAM_STEP = 2.0
HISTOGRAM_BINS = 48
HISTOGRAM_FADE = 0.5
SPLIT_EVERY_TASKS = 256
MIN_SIDE_SHARE = 0.01
MIN_SIDE_RATIO = 4.0
SPLIT_HYSTERESIS = 2.0


@dataclass(frozen=True, slots=True)
class Estimate:
    """What is expected of a task, in seconds.

    `short_s` is its run time should it be short and `long_s` should it be long;
    `long_share` is how often tasks like it were long. `known` is false for a kind
    never seen before.
    """

    short_s: float
    long_s: float
    long_share: float
    known: bool

    @property
    def is_long(self) -> bool:
        """Return whether it is more likely long than not."""
        return self.long_share >= LONG_SHARE

    @property
    def run_s(self) -> float:
        """Return the run time of the likelier case."""
        return self.long_s if self.is_long else self.short_s

    @property
    def mean_s(self) -> float:
        """Return the mean run time over both cases."""
        return self.short_s + (self.long_s - self.short_s) * self.long_share


class Estimator:
    """Learns run times and where short ends and long begins."""

    def __init__(self, cfg: PlacementSection) -> None:
        self._cfg = cfg
        self._table = RunTimeTable()
        self._histogram = [0.0] * HISTOGRAM_BINS
        self._since_split = 0
        self.split_s = cfg.short_s

    def estimate(self, team: str, kind: str, expected_ms: int) -> Estimate:
        """Return what is expected of a task with this declared size."""
        bucket = _bucket(expected_ms)
        of_kind = self._table.find(RunTimeKey(team, kind, ANY_BUCKET))
        if of_kind is None:
            return self._unknown(bucket, expected_ms)
        group = self._table.find(RunTimeKey(team, kind, bucket))
        prior = self._prior_share(of_kind, bucket)
        return self._from_record(group or of_kind, of_kind, prior)

    def learn(self, team: str, kind: str, expected_ms: int, run_s: float) -> None:
        """Count a task that ran to its end."""
        is_long = run_s > self.split_s
        bucket = _bucket(expected_ms)
        self._table.add(RunTimeKey(team, kind, bucket), run_s, is_long)
        self._table.add(RunTimeKey(team, kind, ANY_BUCKET), run_s, is_long)
        self._table.add(RunTimeKey("", "", bucket), run_s, is_long)
        self._move_split(run_s)

    def learn_overrun(self, team: str, kind: str, run_s: float) -> None:
        """Note that a task of a kind never seen before turns out to be long."""
        key = RunTimeKey(team, kind, ANY_BUCKET)
        if self._table.find(key) is None:
            self._table.add(key, 2.0 * run_s, True)

    def _prior_share(self, of_kind: RunTimes, bucket: int) -> float:
        """Return the share of long tasks to assume before a group has its own.

        A kind with both short and long tasks is taken to be like all tasks of the
        declared size, one with a single class to stay with it.
        """
        share = of_kind.long_share
        if not MIXED_SHARE < share < 1.0 - MIXED_SHARE:
            return share
        of_size = self._table.find(RunTimeKey("", "", bucket))
        if of_size is None or of_size.weight < MIN_GROUP_WEIGHT:
            return share
        return of_size.long_share

    def _unknown(self, bucket: int, expected_ms: int) -> Estimate:
        record = self._table.find(RunTimeKey("", "", bucket))
        if record is not None and record.weight >= MIN_GROUP_WEIGHT:
            estimate = self._from_record(record, record, record.long_share)
            return replace(estimate, known=False)
        declared_s = expected_ms / 1000.0
        return Estimate(
            short_s=min(declared_s, self.split_s),
            long_s=max(declared_s, 2.0 * self.split_s),
            long_share=LONG_SHARE if declared_s > self.split_s else 0.0,
            known=False,
        )

    def _from_record(
        self, record: RunTimes, of_kind: RunTimes, prior_share: float
    ) -> Estimate:
        short_s = record.short_mean_s or of_kind.short_mean_s or self.split_s / 2.0
        long_s = record.long_mean_s or of_kind.long_mean_s or 2.0 * self.split_s
        long_weight = record.long_weight + PRIOR_WEIGHT * prior_share
        share = long_weight / (record.weight + PRIOR_WEIGHT)
        return Estimate(short_s, long_s, share, known=True)

    def _move_split(self, run_s: float) -> None:
        """Look for the gap between short and long from time to time."""
        octaves = math.log2(max(run_s, 0.001) / 0.001)
        place = min(int(octaves * HISTOGRAM_STEP), HISTOGRAM_BINS - 1)
        self._histogram[place] += 1.0
        self._since_split += 1
        if self._since_split < SPLIT_EVERY_TASKS:
            return
        self._since_split = 0
        split_s = find_split(self._histogram) or self._cfg.short_s
        self._histogram = [count * HISTOGRAM_FADE for count in self._histogram]
        ratio = split_s / self.split_s
        if max(ratio, 1.0 / ratio) >= SPLIT_HYSTERESIS:
            self.split_s = split_s
            self._table.clear()


def find_split(histogram: list[float]) -> float | None:
    """Return the run time in seconds that best parts short from long, or None.

    The split is the one with the greatest variance between its two sides on the
    logarithm of the run time (Otsu's method). There is none unless both sides
    hold a fair number of tasks and their means are far apart.
    """
    total = sum(histogram)
    moment = sum(place * count for place, count in enumerate(histogram))
    below = below_moment = best = 0.0
    split = None
    for place, count in enumerate(histogram):
        below += count
        below_moment += place * count
        above = total - below
        if min(below, above) < MIN_SIDE_SHARE * total or not count:
            continue
        gap = (moment - below_moment) / above - below_moment / below
        variance = below * above * gap * gap
        if variance > best and gap >= math.log2(MIN_SIDE_RATIO) * HISTOGRAM_STEP:
            best = variance
            low, high = below_moment / below, (moment - below_moment) / above
            split = max((low + high) / 2.0 + 0.5, place + 1.0)
    if split is None:
        return None
    return float(0.001 * 2.0 ** (split / HISTOGRAM_STEP))


def _bucket(expected_ms: int) -> int:
    return int(math.log2(max(1, expected_ms)) * BUCKETS_PER_OCTAVE)
