"""The set of evacuated data centres: which state is in force, and how long."""

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


# A state from before a pause may have been replaced; one of before an outage stays.
@pytest.mark.parametrize("store_fails", [False, True])
def test_a_state_is_trusted_for_less_than_the_limit(store_fails: bool) -> None:
    evacuation = Evacuation(5.0)
    evacuation.limit_age()
    evacuation.accept((), 0)
    evacuation.age.begin_read(0.0)
    evacuation.age.finish_read(0.0)
    assert evacuation.allows_start("a", 3.9)
    evacuation.age.resume(10.0)
    assert not evacuation.allows_start("a", 10.1)
    if store_fails:
        evacuation.age.fail_read()
    else:
        evacuation.age.finish_read(10.0)
    assert evacuation.allows_start("a", 10.2)


def test_jobs_are_divided_by_weight_and_few_move_when_a_name_is_removed() -> None:
    weights = {"a": 30.0, "b": 10.0, "c": 20.0}
    jobs = [f"{i:016x}" for i in range(6000)]
    chosen = {job: rendezvous.choose_weighted(job, weights) for job in jobs}
    counts = Counter(chosen.values())
    for name, weight in weights.items():
        assert counts[name] == pytest.approx(100 * weight, rel=0.1)
    del weights["b"]
    for job, name in chosen.items():
        assert name in ("b", rendezvous.choose_weighted(job, weights))
