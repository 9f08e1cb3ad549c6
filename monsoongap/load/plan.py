"""Plans a load run: which job arrives when, where and under which key.

The plan is a pipeline of generators driven by one seed, so a run can be repeated
job for job. It is made before the run and does not react to it: an open loop.
"""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from monsoongap.load.settings import (
    MS_PER_S,
    ArrivalsSection,
    LoadProfile,
    MixSection,
)
from monsoongap.protocol.messages import MAX_DEADLINE_MS, JobRequest, TaskSpec

CAPACITY_SAMPLES = 4_000


class JobClass(StrEnum):
    """What a job is for the report; a straggler hides in a short kind."""

    SHORT = "short"
    LONG = "long"
    STRAGGLER = "straggler"


@dataclass(frozen=True, slots=True)
class Steady:
    """The same rate all the time, in jobs per second."""

    rate: float


@dataclass(frozen=True, slots=True)
class Step:
    """A higher rate from `start_s` to `end_s`."""

    rate: float
    peak_rate: float
    start_s: float
    end_s: float


@dataclass(frozen=True, slots=True)
class Burst:
    """The same rate all the time and `jobs` at once at `at_s`."""

    rate: float
    at_s: float
    jobs: int


Shape = Steady | Step | Burst


@dataclass(frozen=True, slots=True)
class DrawnJob:
    """A job with its true longest run time, which its request need not tell."""

    request: JobRequest
    job_class: JobClass
    longest_ms: float
    work_ms: float


@dataclass(frozen=True, slots=True)
class PlannedJob:
    """A job, when it arrives and through which entry hosts.

    `entries` are indexes into the target's entries; a second one means that the
    caller submits to both at once. `own_key` is None for an issued id.
    """

    at_s: float
    job: DrawnJob
    entries: tuple[int, ...]
    own_key: str | None


def plan_jobs(cfg: LoadProfile, run_name: str) -> Iterator[PlannedJob]:
    """Yield the jobs of a run in order of arrival."""
    rng = random.Random(cfg.arrivals.seed)
    shape = make_shape(cfg.arrivals, capacity_jobs_per_s(cfg))
    for number, at_s in enumerate(arrival_times(shape, cfg.arrivals.duration_s, rng)):
        own = rng.random() < cfg.calls.own_key_share
        yield PlannedJob(
            at_s=at_s,
            job=draw_job(cfg.mix, cfg.calls.deadline_ms, rng),
            entries=_draw_entries(cfg, rng),
            own_key=f"{run_name}-{number}" if own else None,
        )


def capacity_jobs_per_s(cfg: LoadProfile) -> float:
    """Return how many jobs a second keep every slot of the deployment busy."""
    rng = random.Random(0)
    drawn = (draw_job(cfg.mix, 1, rng).work_ms for _ in range(CAPACITY_SAMPLES))
    mean_work_s = sum(drawn) / CAPACITY_SAMPLES / MS_PER_S
    return cfg.deployment.workers * cfg.deployment.slots / mean_work_s


def make_shape(cfg: ArrivalsSection, capacity: float) -> Shape:
    """Turn shares of capacity into rates."""
    rate = cfg.load * capacity
    match cfg.shape:
        case "step":
            end_s = cfg.peak_from_s + cfg.peak_for_s
            return Step(rate, cfg.peak * capacity, cfg.peak_from_s, end_s)
        case "burst":
            return Burst(rate, cfg.peak_from_s, cfg.burst_jobs)
        case _:
            return Steady(rate)


def arrival_times(
    shape: Shape, duration_s: float, rng: random.Random
) -> Iterator[float]:
    """Yield Poisson arrival times in seconds, in order.

    A step thins out a stream of the highest rate, so that the rate changes at
    once at both of its ends.
    """
    match shape:
        case Steady(rate):
            yield from _poisson(rate, duration_s, rng)
        case Step(rate, peak_rate, start_s, end_s):
            highest = max(rate, peak_rate)
            for at_s in _poisson(highest, duration_s, rng):
                current = peak_rate if start_s <= at_s < end_s else rate
                if rng.random() * highest < current:
                    yield at_s
        case Burst(rate, burst_s, jobs):
            times = [*_poisson(rate, duration_s, rng), *[burst_s] * jobs]
            yield from sorted(times)


def draw_job(cfg: MixSection, deadline_ms: int, rng: random.Random) -> DrawnJob:
    """Draw one job."""
    long = rng.random() < cfg.long_share
    low, high = (
        (cfg.long_min_ms, cfg.long_max_ms)
        if long
        else (cfg.short_min_ms, cfg.short_max_ms)
    )
    count = rng.randint(cfg.tasks_min, cfg.tasks_max)
    runs_ms = [_draw_log(low, high, rng) for _ in range(count)]
    straggling = [rng.random() < cfg.straggler_share and not long for _ in range(count)]
    true_ms = [
        run_ms * cfg.straggler_factor if straggles else run_ms
        for run_ms, straggles in zip(runs_ms, straggling, strict=True)
    ]
    tasks = tuple(_draw_task(cfg, run_ms, rng) for run_ms in true_ms)
    request = JobRequest(
        team=cfg.team,
        kind=cfg.long_kind if long else cfg.short_kind,
        tasks=tasks,
        deadline_ms=deadline_ms,
        repeatable=rng.random() >= cfg.unrepeatable_share,
    )
    job_class = JobClass.LONG if long else JobClass.SHORT
    if any(straggling):
        job_class = JobClass.STRAGGLER
    return DrawnJob(request, job_class, max(true_ms), sum(true_ms))


def _draw_task(cfg: MixSection, run_ms: float, rng: random.Random) -> TaskSpec:
    declared_ms = run_ms
    if rng.random() < cfg.wrong_share:
        declared_ms *= _draw_log(1 / cfg.wrong_factor, cfg.wrong_factor, rng)
    payload = {"run_ms": round(run_ms, 3), "value": rng.randrange(1_000_000)}
    expected_ms = min(max(1, round(declared_ms)), MAX_DEADLINE_MS)
    return TaskSpec(payload=payload, expected_ms=expected_ms)


def _draw_entries(cfg: LoadProfile, rng: random.Random) -> tuple[int, ...]:
    count = max(1, len(cfg.target.entries))
    wanted = 2 if rng.random() < cfg.calls.resubmit_share else 1
    return tuple(rng.sample(range(count), min(wanted, count)))


def _draw_log(low: float, high: float, rng: random.Random) -> float:
    return math.exp(rng.uniform(math.log(low), math.log(high)))


def _poisson(rate: float, duration_s: float, rng: random.Random) -> Iterator[float]:
    at_s = rng.expovariate(rate)
    while at_s < duration_s:
        yield at_s
        at_s += rng.expovariate(rate)
