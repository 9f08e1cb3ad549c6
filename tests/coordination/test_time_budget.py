"""Tests of when a job's answer is due and when it is given up."""

import pytest

from monsoongap.coordination.time_budget import Aim, aim_of, is_hopeless
from monsoongap.protocol.messages import Job, QueueRule, Resources, Step

ROOM = Resources(1000, 64)
RULE = QueueRule("q", "h", "/q/", "u", 1.5, 0, 2, 1.6, 0.06)


def job(*steps: Step) -> Job:
    return Job("ab" * 8, "q", "", steps)


def test_the_objective_follows_the_longest_chain() -> None:
    steps = (
        Step(2, ROOM, 0.1),
        Step(9, ROOM, 0.5),
        Step(1, ROOM, 0.2, after=(0,)),
        Step(1, ROOM, 0.4, after=(0, 2)),
    )
    aim = aim_of(job(*steps), RULE)
    assert aim.chain_s == pytest.approx(0.7)
    assert aim.objective_s == pytest.approx(1.6 * 0.7 + 0.06)
    assert aim.slack_s == pytest.approx(0.48)
    assert aim.decide_s == pytest.approx(aim.objective_s / 4)


def test_a_queue_without_an_objective_is_held_to_its_timeout() -> None:
    rule = QueueRule("q", "h", "/q/", "u", 1.5, 0, 2, 1.6)
    assert aim_of(job(Step(1, ROOM, 0.1)), rule).objective_s == 1.5
    assert aim_of(job(Step(1, ROOM, 2.0)), rule).objective_s == pytest.approx(3.2)


@pytest.mark.parametrize(
    ("wait_s", "give_up_s"), [(0.0, 0.6), (10.0, 0.6), (1.0, 0.45)]
)
def test_an_untried_job_is_given_up_before_half_of_its_caller_s_time(
    wait_s: float, give_up_s: float
) -> None:
    assert Aim(0.1, 0.2, wait_s).give_up_s == pytest.approx(give_up_s)


def test_a_job_is_hopeless_when_it_would_wait_twice_what_it_can_spare() -> None:
    aim = Aim(0.1, 0.2)
    assert not is_hopeless(aim, 0.05, 0.0)
    assert not is_hopeless(aim, 0.05, 0.14)
    assert is_hopeless(aim, 0.05, 0.16)
