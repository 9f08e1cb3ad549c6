"""Plans a load run: which job arrives when, and at which entry host.

The plan is a pipeline of generators driven by one seed, so a run can be repeated job
for job. It does not react to the run: an open loop.
"""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from monsoongap.load.settings import ArrivalsSection, LoadProfile, MixSection
from monsoongap.standin.runner_model import TaskPlan
from monsoongap.timers import MS_PER_S
from monsoongap.transport.operators import JobBody, StepBody


@dataclass(frozen=True, slots=True)
class PlannedJob:
    """A job, when it arrives (seconds) and the index of its entry host."""

    at_s: float
    id: str
    kind: str
    body: JobBody
    ideal_s: float
    entry: int


def plan_jobs(cfg: LoadProfile) -> Iterator[PlannedJob]:
    """Yield the jobs of a run in order of arrival."""
    rng = random.Random(cfg.arrivals.seed)
    for at_s in arrival_times(cfg.arrivals, rng):
        long = rng.random() < cfg.mix.long_share
        work_ms = _draw_ms(cfg.mix, long, rng)
        slow = not long and rng.random() < cfg.mix.straggler_share
        true_ms = work_ms * (cfg.mix.straggler_factor if slow else 1.0)
        yield PlannedJob(
            at_s,
            f"{rng.getrandbits(64):016x}",
            "straggler" if slow else "long" if long else "short",
            _body(cfg.mix, long, work_ms, true_ms, rng),
            true_ms / MS_PER_S,
            rng.randrange(len(cfg.target.entries)),
        )


def arrival_times(cfg: ArrivalsSection, rng: random.Random) -> Iterator[float]:
    """Yield Poisson arrival times in seconds, in order.

    The peak thins out a stream of the highest rate, so that the rate changes at once
    at both of its ends.
    """
    highest = max(cfg.jobs_per_s, cfg.peak_jobs_per_s)
    at_s = rng.expovariate(highest)
    while at_s < cfg.duration_s:
        peak = cfg.peak_from_s <= at_s < cfg.peak_from_s + cfg.peak_for_s
        rate = cfg.peak_jobs_per_s if peak else cfg.jobs_per_s
        if rng.random() * highest < rate:
            yield at_s
        at_s += rng.expovariate(highest)


def _draw_ms(cfg: MixSection, long: bool, rng: random.Random) -> float:
    low, high = (
        (cfg.long_min_ms, cfg.long_max_ms)
        if long
        else (cfg.short_min_ms, cfg.short_max_ms)
    )
    return math.exp(rng.uniform(math.log(low), math.log(high)))


def _body(
    cfg: MixSection, long: bool, work_ms: float, true_ms: float, rng: random.Random
) -> JobBody:
    plan = TaskPlan(true_ms, cfg.cpu_milli, cfg.mem_mb)
    count = rng.randint(cfg.tasks_min, cfg.tasks_max)
    step = StepBody(count, cfg.cpu_milli, cfg.mem_mb, estimate_ms=work_ms)
    queue = cfg.long_queue if long else cfg.short_queue
    return JobBody(queue, msgspec.json.encode(plan).decode(), (step,))
