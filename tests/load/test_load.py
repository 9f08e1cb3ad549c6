"""Tests of the load tool's plan, statistics, report and promise checker."""

from pathlib import Path

import pytest
from syrupy.assertion import SnapshotAssertion

from monsoongap.errors import AnswerKind
from monsoongap.load.checker import broken_promises
from monsoongap.load.plan import plan_jobs
from monsoongap.load.records import Attempt, CallRecord
from monsoongap.load.report import write_report
from monsoongap.load.settings import (
    ArrivalsSection,
    LoadProfile,
    TargetSection,
    load_profile,
)
from monsoongap.load.summary import summarize
from monsoongap.protocol.messages import TaskId
from monsoongap.standin.runner_model import LedgerEntry
from monsoongap.util.ini import SettingsErrorGroup

FIRST_JOB = "0" * 15 + "1"
SECOND_JOB = "0" * 15 + "2"


def call_record(id_: str, *outcomes: AnswerKind | None, tasks: int = 1) -> CallRecord:
    attempts = [Attempt(outcome) for outcome in outcomes]
    return CallRecord(id_, "short", tasks, 0.1, 0.0, attempts, 0.15)


def ledger_entry(
    id_: str, began: float, ended: float, how: str = "done", index: int = 0
) -> LedgerEntry:
    return LedgerEntry(TaskId(id_, 0, index), 1, "r", began, ended, how)


def test_the_same_seed_plans_the_same_jobs() -> None:
    cfg = LoadProfile(TargetSection(("10.0.0.1:1", "10.0.0.2:1")))
    assert list(plan_jobs(cfg)) == list(plan_jobs(cfg))


def test_the_peak_rate_applies_only_within_the_peak() -> None:
    arrivals = ArrivalsSection(20.0, 200.0, 10.0, 10.0, 30.0, 5)
    cfg = LoadProfile(TargetSection(("10.0.0.1:1",)), arrivals)
    times = [job.arrival_s for job in plan_jobs(cfg)]
    peak = sum(10.0 <= time < 20.0 for time in times)
    assert 1700 < peak < 2300
    assert 300 < len(times) - peak < 500


def test_a_maximum_below_its_minimum_is_reported_by_its_key(tmp_path: Path) -> None:
    path = tmp_path / "load.ini"
    path.write_text("[target]\nentries = 10.0.0.1:1\n[mix]\ntasks_min = 9\n")
    with pytest.raises(SettingsErrorGroup) as caught:
        load_profile(path)
    assert [fault.key for fault in caught.value.exceptions] == ["tasks_max"]


@pytest.mark.parametrize(
    ("calls", "ledger", "broken"),
    [
        (
            [call_record(FIRST_JOB, AnswerKind.COMPLETED)],
            [ledger_entry(FIRST_JOB, 0, 1)],
            [],
        ),
        (
            [call_record(FIRST_JOB, AnswerKind.COMPLETED)],
            [ledger_entry(FIRST_JOB, 0, 1), ledger_entry(FIRST_JOB, 0.5, 2)],
            ["overlapping runs"],
        ),
        (
            [call_record(FIRST_JOB, AnswerKind.REFUSED)],
            [ledger_entry(FIRST_JOB, 0, 1)],
            ["answered as not run"],
        ),
        (
            [call_record(FIRST_JOB, None, AnswerKind.REFUSED)],
            [ledger_entry(FIRST_JOB, 0, 1)],
            [],
        ),
        (
            [call_record(FIRST_JOB, AnswerKind.COMPLETED, tasks=2)],
            [ledger_entry(FIRST_JOB, 0, 1), ledger_entry(FIRST_JOB, 0, 1, "failed", 1)],
            ["answered as completed, but not all"],
        ),
    ],
)
def test_each_broken_promise_is_found_and_no_other(
    calls: list[CallRecord], ledger: list[LedgerEntry], broken: list[str]
) -> None:
    found = list(broken_promises(calls, ledger))
    assert len(found) == len(broken)
    assert all(
        text.startswith(prefix) for text, prefix in zip(found, broken, strict=True)
    )


def test_the_report_shows_statistics_and_escapes_broken_promises(
    tmp_path: Path, snapshot: SnapshotAssertion
) -> None:
    calls = [
        call_record(FIRST_JOB, AnswerKind.COMPLETED),
        call_record(SECOND_JOB, AnswerKind.REFUSED),
        call_record("3", None),
    ]
    summary = summarize(calls, ["twice: <b>"])
    assert summary == snapshot
    path = tmp_path / "report.html"
    write_report(path, summary)
    text = path.read_text()
    assert "twice: &lt;b&gt;" in text and "data:image/png" in text
