"""The targets of placement as checks, seeded and on virtual time."""

import pytest

from bench import placement_scenarios as scenarios
from bench.placement_loads import Mix, MixedLoad
from monsoongap.errors import ErrorKind

SHORT_P99 = 2.0
LONG_P99 = 4.0


@pytest.mark.parametrize(
    "mix, job_size, jobs",
    [
        pytest.param(Mix.TASKS, 8, 2500, id="any-task-long"),
        pytest.param(Mix.TASKS, 1, 5000, id="jobs-of-one"),
        pytest.param(Mix.SURPRISE, 1, 5000, id="stragglers-and-new-kinds"),
    ],
)
def test_short_work_is_not_held_up_by_long(mix: Mix, job_size: int, jobs: int) -> None:
    load = MixedLoad(mix, job_size, jobs=jobs, seed=2)
    world = scenarios.run(scenarios.blocking(load))
    found = scenarios.stretch_of(world.records, jobs // 10)
    assert found.refused == 0
    assert found.long_p99 <= LONG_P99
    assert found.short_p99 <= SHORT_P99


def test_lending_fills_the_slots_under_skewed_demand() -> None:
    lending = scenarios.run(scenarios.skewed(lending=True, seconds=8.0))
    static = scenarios.run(scenarios.skewed(lending=False, seconds=8.0))
    assert lending.slot_use >= 0.95
    assert static.slot_use < lending.slot_use
    assert lending.credit_calls < lending.starts


def test_crest_keeps_goodput_and_recovers() -> None:
    found = scenarios.run(scenarios.crest())
    assert found.goodput >= 0.9
    assert found.refused > 0
    assert found.slowest_refusal_s <= 0.05
    assert found.p99_after <= found.p99_before


def test_flood_leaves_the_other_team_its_share() -> None:
    found = scenarios.run(scenarios.flood(seconds=6.0))
    assert found.quiet_answered == 1.0
    assert found.flood_goodput >= 0.9 - 0.35


def test_worker_that_fails_everything_costs_few_starts() -> None:
    found = scenarios.run(scenarios.bad_worker(seconds=5.0))
    assert found.ejections >= 1
    assert max(found.lost_per_period) <= 5
    assert found.readmitted


def test_kind_that_fails_everywhere_ejects_no_worker() -> None:
    assert scenarios.run(scenarios.bad_kind(seconds=4.0)) == 0


def test_lost_calls_never_overcommit_a_slot() -> None:
    found = scenarios.run(scenarios.lossy_lending())
    assert found.credits_borrowed > 500
    assert found.busy_refusals == 0
    assert found.late_starts == 0
    assert found.errors.keys() <= {ErrorKind.OVERLOADED}
