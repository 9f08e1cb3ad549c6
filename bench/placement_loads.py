"""Seeded loads for the placement benchmark and its tests."""

import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from bench.placement_world import JobSpec

SHORT_S = 0.1
LONG_FACTOR = 20.0
LONG_SHARE = 0.1
DECLARED_ERROR = 10.0


class Mix(StrEnum):
    """Where the long tasks are.

    `TASKS`: any task of any job may be long, whatever its kind. `KINDS`: all tasks
    of a job of a long kind are long. `SURPRISE`: as `KINDS`, with a straggler in
    each 200 tasks of short kinds and kinds never seen before all along.
    """

    TASKS = "tasks"
    KINDS = "kinds"
    SURPRISE = "surprise"


@dataclass(frozen=True, slots=True)
class MixedLoad:
    """Poisson arrivals of jobs, one in ten tasks 20 times longer."""

    mix: Mix
    job_size: int
    slots: int = 48
    load: float = 0.8
    jobs: int = 2000
    seed: int = 1

    def arrivals(self) -> Iterator[tuple[float, JobSpec]]:
        """Yield each job with the time since the one before, in seconds."""
        rng = random.Random(self.seed)
        mean_s = SHORT_S * (1.0 + LONG_SHARE * (LONG_FACTOR - 1.0))
        rate = self.load * self.slots / (mean_s * self.job_size)
        for number in range(self.jobs):
            yield rng.expovariate(rate), self._job(rng, number)

    def _job(self, rng: random.Random, number: int) -> JobSpec:
        if self.mix is Mix.TASKS:
            kind = f"kind{rng.randrange(4)}"
            longs = [rng.random() < LONG_SHARE for _ in range(self.job_size)]
        else:
            is_long = rng.random() < LONG_SHARE
            longs = [is_long] * self.job_size
            kind = f"{'long' if is_long else 'short'}{rng.randrange(4)}"
        if self.mix is Mix.SURPRISE:
            if rng.random() < 0.01:
                kind = f"new{number}"
            longs = [is_long or rng.random() < 0.005 for is_long in longs]
        runs_s = tuple(SHORT_S * (LONG_FACTOR if is_long else 1.0) for is_long in longs)
        return JobSpec(
            submission=f"s{number}",
            team="ab"[rng.randrange(2)],
            kind=kind,
            runs_s=runs_s,
            declared_ms=tuple(declared_ms(rng, run_s) for run_s in runs_s),
            is_long=any(longs),
        )


def declared_ms(rng: random.Random, run_s: float) -> int:
    """Return a declared size that is wrong by up to ten times either way."""
    return max(1, round(1000.0 * run_s * DECLARED_ERROR ** rng.uniform(-1.0, 1.0)))


def percentile(values: list[float], share: float) -> float:
    """Return the value below which `share` of the values lie."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
