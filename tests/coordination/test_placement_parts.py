"""Division and loans of credits, learned run times, the share of long work."""

import random
from typing import Any

import pytest

from monsoongap.coordination.credits import divide
from monsoongap.coordination.credits_book import CreditBook
from monsoongap.coordination.credits_loans import LoanBook
from monsoongap.coordination.credits_messages import CreditCall, Wants, WorkerCredits
from monsoongap.coordination.estimates import Estimator
from monsoongap.coordination.parts import WorkerInfo
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


def lender() -> tuple[CreditBook, LoanBook]:
    """Return the books of a host that owns four slots of one worker."""
    book = CreditBook()
    info = WorkerInfo("w", "w", "dc", 8, 64, 16.0, 32_000)
    book.list_workers((info,), lambda info: 4)
    book.accounts["w"].limit = 64
    book.refresh("w")
    return book, LoanBook(book, lease_s=2.0)


def call(serial: int, heard: int = 0, boot: int = 1, **changes: Any) -> CreditCall:
    wants = changes.pop("wants", Wants())
    return CreditCall("peer", boot, serial, heard, wants, spare=0, **changes)


def test_whole_holding_frees_what_a_lost_reply_lent() -> None:
    book, loans = lender()
    assert loans.hear(call(1, wants=Wants(urgent=3)), 0.0) is not None
    loans.lend("peer", 3)
    assert book.free == 1
    loans.hear(call(2, held=(WorkerCredits("w", 1),)), 0.1)
    assert book.free == 3


def test_whole_holding_from_before_a_push_frees_nothing() -> None:
    book, loans = lender()
    record = loans.hear(call(1, wants=Wants(urgent=3)), 0.0)
    assert record is not None
    loans.lend("peer", 3)
    record.pushed = 7
    loans.hear(call(2, heard=6, held=()), 0.1)
    assert book.free == 1
    loans.hear(call(3, heard=7, held=()), 0.2)
    assert book.free == 4


def test_overtaken_call_changes_nothing_and_lease_counts_from_the_last() -> None:
    book, loans = lender()
    loans.hear(call(5, wants=Wants(urgent=2)), 0.0)
    loans.lend("peer", 2)
    assert loans.hear(call(4, held=()), 1.0) is None
    assert book.free == 2
    loans.expire(1.9)
    assert book.free == 2
    loans.expire(2.0)
    assert book.free == 4


def test_restarted_holder_does_not_free_what_its_past_may_use() -> None:
    book, loans = lender()
    loans.hear(call(9, wants=Wants(urgent=2)), 0.0)
    loans.lend("peer", 2)
    loans.hear(call(1, boot=2, held=()), 0.5)
    assert book.free == 2
    assert loans.hear(call(10, held=()), 0.6) is None
    loans.expire(2.0)
    assert book.free == 4
