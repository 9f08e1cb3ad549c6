"""Tests that the checker catches each broken promise, and only that."""

from dataclasses import replace
from typing import Any

import pytest

from monsoongap.load.checker import check, require_clean
from monsoongap.load.records import CallRecord, LeaveRecord, Reception, RunRecord
from monsoongap.load.violations import (
    AnsweredAndFailed,
    DifferentAnswers,
    DuplicateStart,
    FalseNotRun,
    ForeignAnswer,
    IncompleteAnswer,
    MissingOutcome,
    SeveralOutcomes,
    StartAfterLeave,
    UnprovedAnswer,
    Violations,
    WrongAnswer,
)
from monsoongap.protocol.messages import (
    JobAnswer,
    JobError,
    JobRequest,
    Ledger,
    LedgerEntry,
    TaskSpec,
)


def make_request(repeatable: bool = True) -> JobRequest:
    tasks = tuple(TaskSpec({"run_ms": 5, "value": value}) for value in (10, 11))
    return JobRequest("team", "kind", tasks, repeatable=repeatable)


def make_answer(submission: str) -> JobAnswer:
    parts = ({"task": f"{submission}/{n}", "value": 10 + n} for n in (0, 1))
    return JobAnswer(submission, tuple(parts))


def make_call(submission: str, outcome: Any, sent_at_ms: float = 0) -> CallRecord:
    received = (Reception(sent_at_ms + 20, outcome),)
    return CallRecord(submission, make_request(), sent_at_ms, received)


def make_starts(
    submission: str, worker: str = "w1", at_ms: float = 5
) -> list[LedgerEntry]:
    return [
        LedgerEntry(f"{submission}/{n}", submission, worker, at_ms, at_ms + 5, "done")
        for n in (0, 1)
    ]


NOT_RUN = JobError("overloaded", "not_run", "", submission="b")
FAILED = JobError("deadline", "failed", "", submission="a")
UNKNOWN = JobError("start_unsettled", "unknown", "", submission="a")
ANSWERED = make_call("a", make_answer("a"))
REFUSED = make_call("b", NOT_RUN)
CLEAN = RunRecord((ANSWERED, REFUSED), Ledger(tuple(make_starts("a"))))


def with_answer(answer: JobAnswer) -> RunRecord:
    return replace(CLEAN, calls=(make_call("a", answer), REFUSED))


def with_starts(*entries: LedgerEntry) -> RunRecord:
    return replace(CLEAN, ledger=Ledger((*CLEAN.ledger.entries, *entries)))


def with_calls(*calls: CallRecord) -> RunRecord:
    return replace(CLEAN, calls=(*CLEAN.calls, *calls))


GOOD = make_answer("a")
CROSSED = JobAnswer("a", (GOOD.answers[1], GOOD.answers[0]))
OTHERS = JobAnswer("a", make_answer("b").answers)
SHORT = JobAnswer("a", GOOD.answers[:1])
ALTERED = JobAnswer("a", (GOOD.answers[0], {"task": "a/1", "value": 99}))
SECOND_START = make_starts("a", "w2", 8)[0]
UNREPEATABLE = replace(ANSWERED, request=make_request(repeatable=False))
SILENT = replace(REFUSED, received=())
TWICE_TOLD = replace(REFUSED, received=REFUSED.received * 2)
LEFT = LeaveRecord("w9", 1000)


@pytest.mark.parametrize(
    ("run", "expected"),
    [
        (with_starts(SECOND_START), [DuplicateStart]),
        (with_answer(SHORT), [IncompleteAnswer]),
        (with_answer(CROSSED), [WrongAnswer, WrongAnswer]),
        (with_answer(OTHERS), [WrongAnswer, WrongAnswer]),
        (with_answer(ALTERED), [WrongAnswer]),
        (with_answer(replace(GOOD, submission="b")), [ForeignAnswer]),
        (replace(CLEAN, ledger=Ledger(())), [UnprovedAnswer, UnprovedAnswer]),
        (with_starts(*make_starts("b", at_ms=1)), [FalseNotRun]),
        (with_starts(*make_starts("b", at_ms=60_000)), [FalseNotRun]),
        (with_calls(make_call("a", NOT_RUN)), [FalseNotRun]),
        (with_calls(SILENT), [MissingOutcome]),
        (with_calls(TWICE_TOLD), [SeveralOutcomes]),
        (with_calls(make_call("a", ALTERED, 9)), [WrongAnswer, DifferentAnswers]),
        (with_calls(make_call("a", FAILED, 9)), [AnsweredAndFailed]),
        (
            replace(with_starts(make_starts("c", "w9", 4500)[0]), leaves=(LEFT,)),
            [StartAfterLeave],
        ),
    ],
)
def test_each_broken_promise_is_caught(run: RunRecord, expected: list[type]) -> None:
    assert [type(violation) for violation in check(run)] == expected
    with pytest.raises(Violations) as raised:
        require_clean(run)
    assert len(raised.value.exceptions) == len(expected)


@pytest.mark.parametrize(
    "run",
    [
        CLEAN,
        with_calls(ANSWERED),
        with_calls(make_call("a", UNKNOWN)),
        with_calls(make_call("a", JobError("conflict", "not_run", ""))),
        with_calls(replace(SILENT, unsent=True), replace(SILENT, abandoned=True)),
        replace(with_starts(make_starts("c", "w9", 3900)[0]), leaves=(LEFT,)),
        replace(
            with_starts(make_starts("c", "w9", 9500)[0]),
            leaves=(replace(LEFT, back_at_ms=9000),),
        ),
    ],
)
def test_clean_runs_pass(run: RunRecord) -> None:
    require_clean(run)


def test_a_caller_that_asks_again_after_not_run_may_be_served() -> None:
    again = make_call("b", make_answer("b"), sent_at_ms=1000)
    served = replace(
        with_calls(again),
        ledger=Ledger((*CLEAN.ledger.entries, *make_starts("b", at_ms=1005))),
    )
    require_clean(served)
    early = replace(
        served, ledger=Ledger((*CLEAN.ledger.entries, *make_starts("b", at_ms=500)))
    )
    assert [type(violation) for violation in check(early)] == [FalseNotRun]


def test_duplicates_of_unrepeatable_work_are_told_apart() -> None:
    run = replace(with_starts(SECOND_START), calls=(UNREPEATABLE, REFUSED))
    assert check(run) == (DuplicateStart("a/0", ("w1", "w2"), repeatable=False),)
