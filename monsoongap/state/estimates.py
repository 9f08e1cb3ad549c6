"""A bounded table of how long tasks ran.

One record per team, kind and declared size. The least recently used records go
first when the table is full: 4,096 records of about 250 bytes are 1 MB.
"""

from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

MAX_RECORDS = 4096
MAX_WEIGHT = 64.0


class RunTimeKey(NamedTuple):
    """What a record is about; `bucket` is the half octave of the declared size.

    A named tuple, since several are hashed for each task.

    An empty kind or a bucket of `ANY_BUCKET` stands for all of them.
    """

    team: str
    kind: str
    bucket: int


ANY_BUCKET = -1


@dataclass(slots=True)
class RunTimes:
    """Run times seen under one key, short and long ones apart, in seconds.

    Weights fade: once a record holds `MAX_WEIGHT` tasks each new one outweighs
    the older ones, so the figures follow a kind that changes.
    """

    short_weight: float = 0.0
    short_mean_s: float = 0.0
    long_weight: float = 0.0
    long_mean_s: float = 0.0

    @property
    def weight(self) -> float:
        """Return how many tasks the record stands for."""
        return self.short_weight + self.long_weight

    @property
    def long_share(self) -> float:
        """Return the share of tasks that were long."""
        return self.long_weight / self.weight if self.weight else 0.0

    @property
    def mean_s(self) -> float:
        """Return the mean over short and long tasks."""
        total = self.short_weight * self.short_mean_s
        total += self.long_weight * self.long_mean_s
        return total / self.weight if self.weight else 0.0

    def add(self, run_s: float, is_long: bool) -> None:
        """Count one task."""
        if self.weight >= MAX_WEIGHT:
            fade = 1.0 - 1.0 / MAX_WEIGHT
            self.short_weight *= fade
            self.long_weight *= fade
        if is_long:
            self.long_weight += 1.0
            self.long_mean_s += (run_s - self.long_mean_s) / self.long_weight
        else:
            self.short_weight += 1.0
            self.short_mean_s += (run_s - self.short_mean_s) / self.short_weight


class RunTimeTable:
    """Run times by key, bounded by forgetting the least recently used."""

    def __init__(self, max_records: int = MAX_RECORDS) -> None:
        self._max_records = max_records
        self._records: OrderedDict[RunTimeKey, RunTimes] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def find(self, key: RunTimeKey) -> RunTimes | None:
        """Return the record under `key`, or None."""
        record = self._records.get(key)
        if record is not None:
            self._records.move_to_end(key)
        return record

    def add(self, key: RunTimeKey, run_s: float, is_long: bool) -> None:
        """Count one task under `key`."""
        record = self._records.get(key)
        if record is None:
            record = self._records[key] = RunTimes()
            if len(self._records) > self._max_records:
                self._records.popitem(last=False)
        self._records.move_to_end(key)
        record.add(run_s, is_long)

    def clear(self) -> None:
        """Forget everything, for when short and long are told apart anew."""
        self._records.clear()
