"""The bounds of the job and claim tables, and what they forget."""

import asyncio

import pytest

from monsoongap.errors import DispatchError
from monsoongap.protocol.messages import JobAnswer
from monsoongap.state.claims import GENERATIONS, ClaimRecord, ClaimTable
from monsoongap.state.jobs import (
    OUTCOME_BYTES,
    IssuedWindow,
    JobEntry,
    JobTable,
    body_digest,
)
from tests.clock import run_virtual
from tests.home_cluster import job


def test_issued_serials_are_taken_once_and_only_within_the_window() -> None:
    window = IssuedWindow(100)
    serials = [window.issue() for _ in range(250)]
    assert [s for s in serials if window.take(s)] == serials[-100:]
    assert not any(window.take(s) for s in [-1, 0, 1, *serials, 251, 350])


def test_outcomes_are_bounded_in_bytes_count_and_time() -> None:
    async def main() -> None:
        table = JobTable(limit=50, keep_s=10.0)
        req = job(1)
        loop = asyncio.get_running_loop()

        def end(name: str, size: int, now: float) -> None:
            entry = JobEntry(name, body_digest(req), req, 0.0, loop.create_future())
            table.add(entry)
            table.finish(entry, JobAnswer(name, ("x" * size,)), now)

        for number in range(60):
            end(f"small{number}", 10, 0.0)
        assert table.count_finished() == 50
        end("large", OUTCOME_BYTES // 2, 1.0)
        end("larger", OUTCOME_BYTES // 2 + 100, 2.0)
        assert table.finished("large") is None and table.finished("larger")
        table.prune(12.5)
        assert table.count_finished() == 0
        for number in range(50):
            table.add(JobEntry(f"r{number}", b"", req, 0.0, loop.create_future()))
        with pytest.raises(DispatchError, match="overloaded"):
            table.add(JobEntry("r50", b"", req, 0.0, loop.create_future()))

    run_virtual(main())


def claim(key: str, serial: int = 1) -> ClaimRecord:
    return ClaimRecord(key, "t", b"", 1, "h1", "dc1", 1, serial, {"w": 1})


def test_first_claim_wins_until_none_was_seen_for_the_whole_time() -> None:
    table = ClaimTable(keep_s=10.0)
    table.note(7, claim("k"), 0.0)
    table.note(8, claim("k", 2), 9.0)
    assert table.offset("k", 18.9) == 7
    assert table.record("k") == claim("k")
    assert table.offset("k", 9.0 + 10.0 * (1 + 1 / GENERATIONS) + 0.1) is None
    table.note(9, claim("k", 3), 30.0)
    assert table.offset("k", 30.0) == 9
    assert table.record("k") == claim("k", 3)


def test_full_claim_table_stops_granting_instead_of_forgetting() -> None:
    table = ClaimTable(keep_s=10.0, limit=1_000)
    for number in range(1_000):
        table.note(number, claim(f"k{number}"), number / 200)
    assert table.complete(5.0)
    table.note(1_000, claim("one more"), 5.1)
    assert len(table) <= 1_000
    assert table.offset("k0", 5.1) is None and not table.complete(5.1)
    assert table.offset("k999", 5.1) == 999
    assert not table.complete(10.0) and table.complete(12.0)


def test_full_claim_table_keeps_within_its_stated_bytes() -> None:
    table = ClaimTable(keep_s=10.0, limit=20_000)
    for number in range(20_000):
        table.note(number, claim(f"k{number}"), number / 2_000)
    assert table.size_bytes() / len(table) <= 64
    offsets = [table.offset(f"k{number}", 10.0) for number in range(0, 20_000, 7)]
    assert offsets == list(range(0, 20_000, 7))
