"""Division of credits, learned run times and the split of short from long."""

import random

import pytest

from monsoongap.coordination.credits import divide
from monsoongap.coordination.estimates import Estimator
from monsoongap.coordination.shares import LongShare
from monsoongap.settings import PlacementSection
from monsoongap.state.estimates import RunTimeKey, RunTimeTable

HOSTS = [f"h{number}" for number in range(9)]


@pytest.mark.parametrize("slots", [1, 8, 64])
@pytest.mark.parametrize("count", [1, 2, 5, 9])
def test_division_is_even_complete_and_stable(slots: int, count: int) -> None:
    moved = 0
    for number in range(100):
        worker = f"w{number}"
        shares = divide(slots, worker, HOSTS[:count])
        assert shares == divide(slots, worker, reversed(HOSTS[:count]))
        assert sum(shares.values()) == slots
        assert max(shares.values()) - min(shares.values()) <= 1
        fewer = divide(slots, worker, HOSTS[: count - 1])
        moved += sum(abs(shares[host] - fewer[host]) for host in fewer)
    assert moved <= 100 * (slots // count + count)


@pytest.mark.parametrize("factor", [0.1, 1.0, 10.0])
def test_declared_sizes_are_not_believed(factor: float) -> None:
    estimator = Estimator(PlacementSection())
    assert not estimator.estimate("a", "k", round(100 * factor)).known
    for _ in range(20):
        estimator.learn("a", "k", round(100 * factor), 0.1)
        estimator.learn("a", "k", round(2000 * factor), 2.0)
    short = estimator.estimate("a", "k", round(100 * factor))
    long = estimator.estimate("a", "k", round(2000 * factor))
    assert short.run_s == pytest.approx(0.1) and not short.is_long
    assert long.run_s == pytest.approx(2.0) and long.is_long


def test_split_follows_the_gap_between_short_and_long() -> None:
    estimator = Estimator(PlacementSection(short_s=1.0))
    rng = random.Random(1)
    for _ in range(2000):
        run_s = 0.4 if rng.random() < 0.1 else 0.02
        estimator.learn("a", "k", 50, run_s * rng.uniform(0.8, 1.2))
    assert 0.04 < estimator.split_s < 0.3
    for _ in range(4000):
        estimator.learn("a", "k", 50, 0.1 * rng.uniform(0.8, 1.2))
    assert estimator.split_s == 1.0


def test_run_time_table_is_bounded() -> None:
    table = RunTimeTable(max_records=10)
    for number in range(50):
        table.add(RunTimeKey("a", f"k{number}", 0), 0.1, False)
        table.find(RunTimeKey("a", "k0", 0))
    assert len(table) == 10
    assert table.find(RunTimeKey("a", "k0", 0)) is not None


def test_long_share_follows_the_offered_load() -> None:
    def limit(short: float, long: float, lateness: float = 0.0) -> int:
        share = LongShare()
        for tick in range(1000):
            share.short.add(tick / 10.0, short / 10.0)
            share.long.add(tick / 10.0, long / 10.0)
        return share.limit(100.0, 48, lateness)

    assert limit(short=0.0, long=30.0) == 48
    assert limit(short=12.0, long=8.0) < limit(short=12.0, long=24.0)
    assert limit(short=12.0, long=24.0) < limit(12.0, 24.0, lateness=1.0)
    assert limit(short=2.0, long=1.0) > 24
