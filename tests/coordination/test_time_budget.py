"""Tests of the time budget of jobs."""

import pytest

from monsoongap.coordination.time_budget import TimeBudget, budget_of, exceeds_slack
from monsoongap.protocol.messages import Job, QueueRule, Resources, Step

ROOM = Resources(1000, 64)
RULE = QueueRule("q", "h", "/q/", "u", 1.5, 0, 2, 1.6, 0.06)


def job(*steps: Step) -> Job:
    return Job("ab" * 8, "q", "", steps)


def test_the_objective_is_derived_from_the_critical_path() -> None:
    steps = (
        Step(2, ROOM, 0.1),
        Step(9, ROOM, 0.5),
        Step(1, ROOM, 0.2, after=(0,)),
        Step(1, ROOM, 0.4, after=(0, 2)),
    )
    budget = budget_of(job(*steps), RULE)
    assert budget.critical_path_s == pytest.approx(0.7)
    assert budget.objective_s == pytest.approx(1.6 * 0.7 + 0.06)
    assert budget.slack_s == pytest.approx(0.48)
    assert budget.decision_deadline_s == pytest.approx(budget.objective_s / 4)


def test_a_queue_without_an_objective_uses_its_timeout() -> None:
    rule = QueueRule("q", "h", "/q/", "u", 1.5, 0, 2, 1.6)
    assert budget_of(job(Step(1, ROOM, 0.1)), rule).objective_s == 1.5
    assert budget_of(job(Step(1, ROOM, 2.0)), rule).objective_s == pytest.approx(3.2)


@pytest.mark.parametrize(
    ("wait_s", "capacity_timeout_s"), [(0.0, 0.6), (10.0, 0.6), (1.0, 0.45)]
)
def test_an_undispatched_job_times_out_before_half_of_its_caller_s_wait(
    wait_s: float, capacity_timeout_s: float
) -> None:
    assert TimeBudget(0.1, 0.2, wait_s).capacity_timeout_s == pytest.approx(
        capacity_timeout_s
    )


def test_a_job_exceeds_its_slack_when_it_would_wait_twice_as_long() -> None:
    budget = TimeBudget(0.1, 0.2)
    assert not exceeds_slack(budget, 0.05, 0.0)
    assert not exceeds_slack(budget, 0.05, 0.14)
    assert exceeds_slack(budget, 0.05, 0.16)
