"""Checks every promise of the system from outside.

It reads the callers' records and the ledger of starts, nothing of the system
itself, so it can neither share a mistake with it nor be told what to believe.
Each promise is one generator of violations.
"""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import chain

from monsoongap.errors import ErrorKind, Outcome
from monsoongap.load.records import CallRecord, Reception, RunRecord
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
    Violation,
    ViolationError,
    Violations,
    WrongAnswer,
)
from monsoongap.protocol.ids import task_id
from monsoongap.protocol.messages import JobAnswer, JobError, LedgerEntry, TaskState

MAX_START_AFTER_LEAVE_S = 3.0
MS_PER_S = 1000

# These refuse the call, not the submission: another call under the same key may
# rightly have run.
CALL_REFUSALS = frozenset(
    {ErrorKind.CONFLICT, ErrorKind.UNAUTHORIZED, ErrorKind.FORBIDDEN}
)


@dataclass(frozen=True, slots=True)
class _Index:
    """Calls and starts by submission, starts by task."""

    calls: dict[str, list[CallRecord]]
    starts: dict[str, list[LedgerEntry]]
    by_task: dict[str, list[LedgerEntry]]


def check(run: RunRecord) -> tuple[Violation, ...]:
    """Return every violation that a run shows."""
    index = _index(run)
    return tuple(
        chain(
            _duplicate_starts(index),
            _missing_outcomes(run),
            _faulty_answers(run, index),
            _false_not_run(index),
            _contradictions(index),
            _starts_after_leave(run),
        )
    )


def require_clean(run: RunRecord) -> None:
    """Raise `Violations` with every violation that a run shows."""
    found = check(run)
    if found:
        errors = [ViolationError(violation) for violation in found]
        raise Violations(f"{len(found)} promise(s) broken", errors)


def _index(run: RunRecord) -> _Index:
    index = _Index(defaultdict(list), defaultdict(list), defaultdict(list))
    for call in run.calls:
        index.calls[call.submission].append(call)
    for entry in run.ledger.entries:
        index.starts[entry.submission].append(entry)
        index.by_task[entry.task].append(entry)
    return index


def _duplicate_starts(index: _Index) -> Iterator[Violation]:
    """Find tasks that started twice, unrepeatable ones marked as such."""
    for task, entries in index.by_task.items():
        if len(entries) < 2:
            continue
        calls = index.calls.get(entries[0].submission, [])
        repeatable = all(call.request.repeatable for call in calls)
        workers = tuple(entry.worker for entry in entries)
        yield DuplicateStart(task, workers, repeatable)


def _missing_outcomes(run: RunRecord) -> Iterator[Violation]:
    """Find calls that did not receive exactly one outcome."""
    for call in run.calls:
        count = len(call.received)
        if count > 1:
            yield SeveralOutcomes(call.submission, count)
        elif count == 0 and not (call.unsent or call.abandoned):
            yield MissingOutcome(call.submission, call.host, call.sent_at_ms)


def _faulty_answers(run: RunRecord, index: _Index) -> Iterator[Violation]:
    """Find answers that are incomplete, out of order or of other tasks."""
    for call in run.calls:
        for reception in call.received:
            if isinstance(reception.outcome, JobAnswer):
                yield from _faults_of_answer(call, reception.outcome, index)


def _faults_of_answer(
    call: CallRecord, answer: JobAnswer, index: _Index
) -> Iterator[Violation]:
    submission = call.submission
    if answer.submission != submission:
        yield ForeignAnswer(submission, answer.submission)
    tasks = call.request.tasks
    if len(answer.answers) != len(tasks):
        yield IncompleteAnswer(submission, len(tasks), len(answer.answers))
    for number, (task, received) in enumerate(zip(tasks, answer.answers, strict=False)):
        name = task_id(submission, number)
        value = task.payload.get("value") if task.payload else None
        expected = {"task": name, "value": value}
        if received != expected:
            yield WrongAnswer(submission, number, expected, received)
        done = (entry.state == TaskState.DONE for entry in index.by_task.get(name, ()))
        if not any(done):
            yield UnprovedAnswer(name)


def _false_not_run(index: _Index) -> Iterator[Violation]:
    """Find starts, before or after, of what was reported as not run.

    A caller that asks again after `not_run` makes a new request, so starts since
    then are not held against the earlier report.
    """
    for submission, calls in index.calls.items():
        for reception, error in _errors(calls):
            if error.outcome != Outcome.NOT_RUN or error.error in CALL_REFUSALS:
                continue
            asked_again = _next_call_ms(calls, reception.at_ms)
            tasks = tuple(
                entry.task
                for entry in index.starts.get(submission, ())
                if entry.started_ms < asked_again
            )
            if tasks:
                yield FalseNotRun(submission, error.error, tasks)


def _contradictions(index: _Index) -> Iterator[Violation]:
    """Find submissions whose calls were told different things."""
    for submission, calls in index.calls.items():
        answers = [
            reception.outcome.answers
            for call in calls
            for reception in call.received
            if isinstance(reception.outcome, JobAnswer)
        ]
        for other in answers[1:]:
            if other != answers[0]:
                yield DifferentAnswers(submission, answers[0], other)
        for _, error in _errors(calls):
            if answers and error.outcome == Outcome.FAILED:
                yield AnsweredAndFailed(submission, error.error)


def _starts_after_leave(run: RunRecord) -> Iterator[Violation]:
    """Find new starts on a worker more than a few seconds after it left."""
    grace_ms = MAX_START_AFTER_LEAVE_S * MS_PER_S
    for leave in run.leaves:
        back_at_ms = float("inf") if leave.back_at_ms is None else leave.back_at_ms
        for entry in run.ledger.entries:
            after_ms = entry.started_ms - leave.left_at_ms
            if entry.worker != leave.worker or entry.started_ms >= back_at_ms:
                continue
            if after_ms > grace_ms:
                yield StartAfterLeave(entry.task, entry.worker, after_ms / MS_PER_S)


def _errors(calls: list[CallRecord]) -> Iterator[tuple[Reception, JobError]]:
    for call in calls:
        for reception in call.received:
            if isinstance(reception.outcome, JobError):
                yield reception, reception.outcome


def _next_call_ms(calls: list[CallRecord], after_ms: float) -> float:
    """Return when the submission was next asked for, infinity when never."""
    later = (call.sent_at_ms for call in calls if call.sent_at_ms > after_ms)
    return min(later, default=float("inf"))
