"""`python -m bench.planned_load`: planned placement against best fit, on virtual time.

One owner with 64- and 96-core runners, a quarter of them slow, serves jobs of three
queues of different urgency and size. Prints for each load, seed and horizon what
callers of each queue saw. Nothing is sent over a network.
"""

import argparse
import asyncio
import contextlib
import logging
import random
from collections import Counter
from dataclasses import dataclass

import msgspec

from monsoongap.errors import AnswerKind
from monsoongap.protocol.messages import (
    Configuration,
    Job,
    JobReply,
    QueueRule,
    Resources,
    Step,
    UpstreamRule,
)
from monsoongap.standin.runner_model import TaskPlan
from tests.clock import run_virtual
from tests.host_world import UPSTREAM, World

CORES = (64, 96)
SPEEDS = (0.55, 1.2)
SLOW_SHARE = 0.25
DECLARED_ERROR = 0.4
LONG_SHARE, LONG_FACTOR = 0.03, 7.0
STRETCH, GRACE_S = 1.6, 0.06
CALLER_WAIT_S = 1.5
# Round trips of an empty system.
ROUND_TRIPS_S = 0.006


@dataclass(frozen=True, slots=True)
class Kind:
    """A queue's jobs: `share` of all jobs, tasks of a job, and their time."""

    queue: str
    priority: int
    share: float
    tasks: int
    task_s: float


KINDS = (
    Kind("p0", 0, 0.70, 8, 0.051),
    Kind("p1", 1, 0.25, 2, 0.17),
    Kind("p2", 2, 0.05, 4, 0.76),
)


@dataclass(frozen=True, slots=True)
class Sample:
    """What the caller of one job saw; `long` if a task took longer than declared."""

    queue: str
    ideal_s: float
    objective_s: float
    took_s: float
    kind: AnswerKind | None
    long: bool


def config() -> Configuration:
    queues = tuple(
        QueueRule(
            k.queue,
            "h",
            f"/{k.queue}/",
            UPSTREAM,
            8.0,
            k.priority,
            3,
            STRETCH,
            GRACE_S,
        )
        for k in KINDS
    )
    return Configuration(1, queues, (UpstreamRule(UPSTREAM, True),))


def draw_job(rng: random.Random, kind: Kind) -> tuple[Job, float]:
    """Draw a job; return it and its longest task's time."""
    cores = min(max(rng.gauss(32.0, 6.4), 20.0), 48.0)
    works = [
        kind.task_s * (LONG_FACTOR if rng.random() < LONG_SHARE else 1.0)
        for _ in range(kind.tasks)
    ]
    declared_s = kind.task_s * min(max(rng.gauss(1.0, DECLARED_ERROR), 0.3), 2.5)
    plan = TaskPlan(
        cpu_milli=int(1000 * cores), works_ms=tuple(1000 * work for work in works)
    )
    payload = msgspec.json.encode(plan).decode()
    step = Step(kind.tasks, Resources(plan.cpu_milli, plan.mem_mb), declared_s)
    return Job(f"{rng.getrandbits(64):016x}", kind.queue, payload, (step,)), max(works)


async def play(
    horizon_ms: float, load: float, seed: int, runners: int, seconds: float, dcs: int
) -> tuple[list[Sample], dict[str, int]]:
    """Offer a load; return what callers saw after the first second, and counts."""
    rng = random.Random(seed)
    names = [chr(ord("a") + i) for i in range(dcs)]
    world = World(dict.fromkeys(names, 1), 0, seed, config=config())
    world.horizon_ms = horizon_ms
    capacity = 0.0
    for dc in names:
        for i in range(runners):
            cores = rng.choice(CORES)
            speed = SPEEDS[0] if i % 4 == 0 else SPEEDS[1]
            world.room = Resources(1000 * cores, 1 << 20)
            world.join_runner(dc, f"{dc}-r{i}").faults.slow = 1 / speed
            capacity += cores * speed
    await world.start()
    loop = asyncio.get_running_loop()
    # An error in a callback would otherwise only be logged.
    errors: list[dict[str, object]] = []
    loop.set_exception_handler(lambda _, context: errors.append(context))
    longer = 1.0 + LONG_SHARE * (LONG_FACTOR - 1.0)
    work = sum(32.0 * k.share * k.tasks * k.task_s * longer for k in KINDS)
    rate = load * capacity / work

    async def one(name: str, kind: Kind) -> Sample:
        job, longest_s = draw_job(rng, kind)
        host, began = world.hosts[name], loop.time()
        reply: JobReply | None = None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CALLER_WAIT_S):
                reply = await host.submit(job, CALLER_WAIT_S)
        if reply is None:
            host.cancel(job.id)
        objective_s = STRETCH * job.steps[0].estimate_s + GRACE_S
        answer = reply.kind if reply is not None else None
        return Sample(
            kind.queue,
            longest_s + ROUND_TRIPS_S,
            objective_s,
            loop.time() - began,
            answer,
            longest_s > kind.task_s,
        )

    running = []
    began = loop.time()
    while loop.time() - began < seconds:
        await asyncio.sleep(rng.expovariate(rate))
        (kind,) = rng.choices(KINDS, [k.share for k in KINDS])
        task = asyncio.create_task(one(rng.choice(list(world.hosts)), kind))
        running.append((loop.time() - began, task))
    samples = await asyncio.gather(*(task for _, task in running))
    world.check()
    assert not errors, errors[0]
    counts: dict[str, int] = {}
    for host in world.hosts.values():
        planned = host.pool.planned
        if planned is not None:
            for name in ("starts", "reserved", "kept", "moved", "dropped"):
                counts[name] = counts.get(name, 0) + getattr(planned.counts, name)
        counts["borrowed"] = counts.get("borrowed", 0) + host.pool.counts.borrowed
    for name in list(world.hosts):
        world.kill(name)
    late = [at >= 1.0 for at, _ in running]
    return [s for s, keep in zip(samples, late, strict=True) if keep], counts


def describe(samples: list[Sample], queue: str) -> str:
    """Return the figures of one queue in a row of a table."""
    own = [s for s in samples if s.queue == queue]
    done = [s for s in own if s.kind is AnswerKind.COMPLETED]
    ratios = sorted(s.took_s / s.ideal_s for s in done) or [0.0]
    in_time = sum(s.took_s <= s.objective_s for s in done)
    short = [s for s in own if not s.long]
    short_in_time = sum(
        s.took_s <= s.objective_s and s.kind is AnswerKind.COMPLETED for s in short
    )
    refused = sum(s.kind is AnswerKind.REFUSED for s in own)
    p50, p99 = ratios[len(ratios) // 2], ratios[int(0.99 * len(ratios))]
    n = max(len(own), 1)
    short_share = short_in_time / max(len(short), 1)
    return (
        f"{len(own):5d} {in_time / n:6.3f} {short_share:6.3f}"
        f" {len(done) / n:6.3f} {refused / n:6.3f}"
        f" {p50:6.2f} {p99:6.2f}"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--horizons", type=float, nargs="+", default=[0.0, 100.0])
    parser.add_argument("--loads", type=float, nargs="+", default=[0.8, 1.0, 1.2])
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    parser.add_argument("--runners", type=int, default=40)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--dcs", type=int, default=1)
    args = parser.parse_args()
    logging.disable(logging.CRITICAL)
    print("Sums over seeds; in-obj: answered within the objective, of all; short: of")
    print("those without a task that takes 7 times its time; then completed, refused,")
    print("p50 and p99 of response over ideal of the completed.")
    print("load horizon queue  jobs in-obj  short   done refused    p50    p99")
    for load in args.loads:
        for horizon in args.horizons:
            samples: list[Sample] = []
            total: Counter[str] = Counter()
            for seed in args.seeds:
                more, counts = run_virtual(
                    play(horizon, load, seed, args.runners, args.seconds, args.dcs)
                )
                samples += more
                total.update(counts)
            for kind in KINDS:
                row = describe(samples, kind.queue)
                print(f"{load:4.1f} {horizon:7.0f}    {kind.queue} {row}")
            print("     ", dict(total), flush=True)


if __name__ == "__main__":
    main()
