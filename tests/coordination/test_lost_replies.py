"""Tests of runners that work while some of their replies are lost; on virtual time."""

import asyncio
import random

import msgspec

from monsoongap.coordination.lost_replies import (
    MEMORY_S,
    LostReplies,
    Responses,
    probe_delay_s,
)
from monsoongap.coordination.work import Run
from monsoongap.errors import AnswerKind
from monsoongap.protocol.messages import (
    Configuration,
    Job,
    QueueRule,
    Resources,
    Step,
    TaskId,
    UpstreamRule,
)
from monsoongap.standin.runner_model import TaskPlan
from tests.clock import run_virtual
from tests.host_world import QUEUE, UPSTREAM, World

OBJECTIVE_FACTOR, GRACE_S = 1.6, 0.06
WORK_S = 0.17
TASK = Resources(4000, 64)
ROOM = Resources(8000, 8192)
RULES = (QueueRule(QUEUE, "h", "/q/", UPSTREAM, 1.5, 0, 2, OBJECTIVE_FACTOR, GRACE_S),)


async def share_in_time(lost: float, late: float, seed: int) -> float:
    """Return the share of jobs in time at 0.6 of the capacity of 24 runners."""
    rng = random.Random(seed)
    config = Configuration(1, RULES, (UpstreamRule(UPSTREAM, True),))
    world = World({"ibk": 2, "lnz": 2}, 12, seed, room=ROOM, config=config)
    await world.start()
    world.request_faults.lost_reply_share = lost
    world.request_faults.late_share = late
    loop = asyncio.get_running_loop()
    payload = msgspec.json.encode(TaskPlan(1000 * WORK_S, 4000)).decode()
    in_time = []

    async def one(number: int) -> None:
        job = Job(f"{number:016x}", QUEUE, payload, (Step(2, TASK, WORK_S),))
        began = loop.time()
        reply = await world.submit_job(rng.choice(list(world.hosts)), job)
        took_s = loop.time() - began
        done = reply.kind is AnswerKind.COMPLETED
        in_time.append(done and took_s <= OBJECTIVE_FACTOR * WORK_S + GRACE_S)

    slots = 2 * 24
    rate = 0.6 * slots / (2 * WORK_S)
    running = []
    for number in range(500):
        await asyncio.sleep(rng.expovariate(rate))
        running.append(asyncio.create_task(one(number)))
    await asyncio.gather(*running)
    world.check()
    return sum(in_time) / len(in_time)


# Guards against runners taken out of use, and ends learned late, because a reply was
# lost: with one reply in 16 lost, every second job was late or refused.
def test_runners_that_lose_replies_stay_in_use() -> None:
    shares = [run_virtual(share_in_time(0.03, 0.03, seed)) for seed in range(3)]
    print("in time:", [round(share, 3) for share in shares])
    assert min(shares) >= 0.9


# Guards against an end that is learned only after the poll without a reply timed out.
def test_an_overdue_end_is_polled_for_while_replies_get_lost() -> None:
    run = Run(TaskId("1" * 16, 0, 0), 1, TASK, estimate_s=0.1)
    run.started_at = 5.0
    assert 0.1 < (probe_delay_s([run], 1.0, 5.0) or 0.0) < 0.2
    assert (probe_delay_s([run], 2.0, 5.0) or 0.0) > 0.2
    assert probe_delay_s([], 1.0, 5.0) is None
    run.estimate_s = 0.0
    assert probe_delay_s([run], 1.0, 5.0) is None


# Guards against additional polls on a network that loses nothing.
def test_lost_replies_are_expected_only_for_a_while() -> None:
    losses = LostReplies()
    assert not losses.is_likely(0.0)
    losses.record(10.0)
    assert losses.is_likely(10.0 + MEMORY_S)
    assert not losses.is_likely(10.1 + MEMORY_S)


# Guards against a reply to an earlier request proving that a runner still answers.
def test_only_a_later_request_proves_a_lost_reply() -> None:
    responses = Responses()
    responses.record(4.0)
    assert not responses.any_since(4.0)
    assert responses.any_since(3.9)
