"""Prediction of run times."""

import math
import random

import pytest

from monsoongap.state.run_times import Pace, predict_end


@pytest.mark.parametrize("speed", [0.55, 1.2])
def test_long_runs_and_wrong_declarations_do_not_move_the_pace(speed: float) -> None:
    """Guards against fast runners that count as slow, and the reverse.

    Their speeds differ by 2.2; 1.48 is half of that on a scale of logarithms.
    """
    rng = random.Random(1)
    for _ in range(50):
        pace = Pace()
        for _ in range(60):
            declared_s = 0.05 * max(rng.gauss(1.0, 0.4), 0.3)
            took_s = 0.05 / speed * (7.0 if rng.random() < 0.03 else 1.0)
            pace.record(1, took_s, declared_s, 1.0)
        assert abs(math.log(pace.factor(1, 1.0) * speed)) < math.log(1.48)


def test_one_long_run_moves_the_pace_by_less_than_a_tenth() -> None:
    """Guards against a fast runner that counts as slow after one long run."""
    pace = Pace()
    for _ in range(40):
        pace.record(1, 0.05, 0.05, 1.0)
    pace.record(1, 0.35, 0.05, 1.0)
    assert pace.factor(1, 1.0) < 1.1


def test_a_restart_forgets_the_pace() -> None:
    pace = Pace()
    pace.record(1, 0.1, 0.05, 1.0)
    assert pace.factor(1, 1.0) > 1.3
    assert pace.factor(2, 1.0) == 1.0
    pace.record(2, 0.05, 0.05, 1.0)
    assert pace.factor(2, 1.0) == pytest.approx(1.0)


def test_progress_overrides_the_declared_time() -> None:
    """Guards against a predicted end in the past for a run that takes long."""
    end = predict_end(10.0, 0.05, 20, 10.1)
    assert end.ends_at == pytest.approx(10.5)
    assert predict_end(10.0, 0.05, 0, 10.0).ends_at == pytest.approx(10.05)


def test_an_overdue_run_has_no_predicted_end() -> None:
    """Guards against runners that are held for a run that goes on."""
    assert predict_end(10.0, 0.05, 0, 10.0).unknown_from == pytest.approx(10.075)
