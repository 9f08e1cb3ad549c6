"""Which set of evacuated data centres is in force, and how jobs are divided."""

from collections import Counter

import pytest

from monsoongap.state.evacuation import Evacuation
from monsoongap.util import rendezvous


def test_a_state_of_a_lower_or_equal_offset_changes_nothing() -> None:
    evacuation = Evacuation(5.0)
    evacuation.accept({"a"}, 7)
    for offset in (-1, 6, 7):
        evacuation.accept((), offset, "a-h1")
    assert evacuation.dcs == {"a"}
    evacuation.accept((), 8, "a-h1")
    assert evacuation.dcs == frozenset()
    assert (evacuation.counts.from_store, evacuation.counts.from_peers) == (1, 1)


def test_without_a_limit_there_are_no_evacuations() -> None:
    evacuation = Evacuation()
    evacuation.accept({"a"}, 7)
    assert evacuation.dcs == frozenset()
    assert evacuation.is_known and evacuation.allows_start("a", 0.0)


def test_jobs_are_divided_by_weight() -> None:
    weights = {"a": 30.0, "b": 10.0, "c": 20.0}
    counts = Counter(
        rendezvous.choose_weighted(f"{i:016x}", weights) for i in range(6000)
    )
    for name, weight in weights.items():
        assert counts[name] == pytest.approx(100 * weight, rel=0.1)
