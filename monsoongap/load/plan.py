"""Plans a load run: when each job arrives, and at which entry host.

The plan is generated from one seed, so a run can be repeated job for job. It does not
depend on the answers: the load is an open loop.
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
    """A job with its arrival time and the index of its entry host.

    `arrival_s` is in seconds from the start of the run. `ideal_s` is the run time of
    each of the job's tasks, in seconds.
    """

    arrival_s: float
    id: str
    kind: str
    body: JobBody
    ideal_s: float
    entry_index: int


def plan_jobs(cfg: LoadProfile) -> Iterator[PlannedJob]:
    """Yield the jobs of a run in order of arrival."""
    rng = random.Random(cfg.arrivals.seed)
    for arrival_s in arrival_times(cfg.arrivals, rng):
        is_long = rng.random() < cfg.mix.long_share
        declared_ms = _draw_run_time_ms(cfg.mix, is_long, rng)
        is_straggler = not is_long and rng.random() < cfg.mix.straggler_share
        actual_ms = declared_ms * (cfg.mix.straggler_factor if is_straggler else 1.0)
        yield PlannedJob(
            arrival_s,
            f"{rng.getrandbits(64):016x}",
            "straggler" if is_straggler else "long" if is_long else "short",
            _job_body(cfg.mix, is_long, declared_ms, actual_ms, rng),
            actual_ms / MS_PER_S,
            rng.randrange(len(cfg.target.entries)),
        )


def arrival_times(cfg: ArrivalsSection, rng: random.Random) -> Iterator[float]:
    """Yield Poisson arrival times in order, in seconds from the start of the run.

    Arrivals are drawn at the higher of the two rates and thinned out to the current
    rate, so that the rate changes at once at both ends of the peak.
    """
    max_rate = max(cfg.jobs_per_s, cfg.peak_jobs_per_s)
    arrival_s = rng.expovariate(max_rate)
    while arrival_s < cfg.duration_s:
        in_peak = cfg.peak_from_s <= arrival_s < cfg.peak_from_s + cfg.peak_for_s
        rate = cfg.peak_jobs_per_s if in_peak else cfg.jobs_per_s
        if rng.random() * max_rate < rate:
            yield arrival_s
        arrival_s += rng.expovariate(max_rate)


def _draw_run_time_ms(cfg: MixSection, is_long: bool, rng: random.Random) -> float:
    low, high = (
        (cfg.long_min_ms, cfg.long_max_ms)
        if is_long
        else (cfg.short_min_ms, cfg.short_max_ms)
    )
    return math.exp(rng.uniform(math.log(low), math.log(high)))


def _job_body(
    cfg: MixSection,
    is_long: bool,
    declared_ms: float,
    actual_ms: float,
    rng: random.Random,
) -> JobBody:
    plan = TaskPlan(actual_ms, cfg.cpu_milli, cfg.mem_mb)
    count = rng.randint(cfg.tasks_min, cfg.tasks_max)
    step = StepBody(count, cfg.cpu_milli, cfg.mem_mb, estimate_ms=declared_ms)
    queue = cfg.long_queue if is_long else cfg.short_queue
    return JobBody(queue, msgspec.json.encode(plan).decode(), (step,))
