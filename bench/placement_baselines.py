"""Simple placement policies for comparison, on the same arrivals.

They know nothing of kinds or declared sizes. Each is a plain event simulation of
the same workers, without credits to divide or calls to wait for.
"""

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from bench.placement_loads import MixedLoad
from bench.placement_world import WORKER_DELAY_S, JobRecord, JobSpec


class Baseline(StrEnum):
    """A simple policy.

    `ROUND_ROBIN`, `RANDOM` and `TWO_CHOICES` pick a worker on arrival, where the
    task waits first come, first served. `SHARED` is one late-bound queue for
    everything, `STATIC_SPLIT` one for each of two hosts with half the slots each.
    """

    ROUND_ROBIN = "first come first served at the worker"
    RANDOM = "random worker"
    TWO_CHOICES = "power of two choices"
    SHARED = "late-bound first come first served"
    STATIC_SPLIT = "late-bound, static split"


@dataclass(slots=True)
class _Queue:
    """A first-come queue before some slots."""

    free: int
    waiting: deque[tuple[int, float]]

    def load(self) -> int:
        return len(self.waiting) - self.free


def run_baseline(
    policy: Baseline, load: MixedLoad, workers: int, slots: int
) -> list[JobRecord]:
    """Serve the load by a simple policy and record each job."""
    rng = random.Random(load.seed)
    queues = _queues(policy, workers, slots)
    choose = _chooser(policy, queues, rng)
    jobs: list[JobSpec] = []
    arrived: list[float] = []
    left: list[int] = []
    records: list[JobRecord] = []
    ends: list[tuple[float, int, int, int]] = []
    count = 0

    def start(place: int, number: int, run_s: float, now: float) -> None:
        nonlocal count
        count += 1
        queues[place].free -= 1
        heapq.heappush(ends, (now + run_s, count, place, number))

    def end_one() -> None:
        now, _, place, number = heapq.heappop(ends)
        queue = queues[place]
        queue.free += 1
        left[number] -= 1
        if not left[number]:
            ended = now + 2.0 * WORKER_DELAY_S
            records.append(JobRecord(jobs[number], arrived[number], ended))
        if queue.waiting:
            start(place, *queue.waiting.popleft(), now)

    clock = 0.0
    for gap_s, spec in load.arrivals():
        clock += gap_s
        while ends and ends[0][0] <= clock:
            end_one()
        number = len(jobs)
        jobs.append(spec)
        arrived.append(clock)
        left.append(len(spec.runs_s))
        host = rng.randrange(2)
        for run_s in spec.runs_s:
            place = choose(host)
            if queues[place].free:
                start(place, number, run_s, clock)
            else:
                queues[place].waiting.append((number, run_s))
    while ends:
        end_one()
    return records


def _queues(policy: Baseline, workers: int, slots: int) -> list[_Queue]:
    match policy:
        case Baseline.SHARED:
            return [_Queue(workers * slots, deque())]
        case Baseline.STATIC_SPLIT:
            return [_Queue(workers * slots // 2, deque()) for _ in range(2)]
        case _:
            return [_Queue(slots, deque()) for _ in range(workers)]


def _chooser(
    policy: Baseline, queues: list[_Queue], rng: random.Random
) -> Callable[[int], int]:
    turn = 0

    def in_turn(host: int) -> int:
        nonlocal turn
        turn += 1
        return turn % len(queues)

    def shorter_of_two(host: int) -> int:
        first, second = rng.sample(range(len(queues)), 2)
        return first if queues[first].load() <= queues[second].load() else second

    match policy:
        case Baseline.SHARED:
            return lambda host: 0
        case Baseline.STATIC_SPLIT:
            return lambda host: host
        case Baseline.ROUND_ROBIN:
            return in_turn
        case Baseline.RANDOM:
            return lambda host: rng.randrange(len(queues))
        case Baseline.TWO_CHOICES:
            return shorter_of_two
