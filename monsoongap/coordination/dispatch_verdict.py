"""The verdict on a job from the ends of its tasks."""

from dataclasses import dataclass

from monsoongap.coordination.settle import (
    Answered,
    Broken,
    NeverStarted,
    TaskEnd,
    Unsettled,
    never_answers,
)
from monsoongap.errors import ANSWERS, DispatchError, ErrorKind, Outcome
from monsoongap.protocol.messages import JobAnswer, JobError, JobOutcome
from monsoongap.state.jobs import JobEntry

_BEFORE_START = {
    ErrorKind.DEADLINE: ErrorKind.DEADLINE_BEFORE_START,
    ErrorKind.CANCELLED: ErrorKind.CANCELLED_BEFORE_START,
}
_AFTER_START = {
    ErrorKind.DEADLINE_BEFORE_START: ErrorKind.DEADLINE,
    ErrorKind.CANCELLED_BEFORE_START: ErrorKind.CANCELLED,
}


def error_outcome(
    submission: str,
    kind: ErrorKind,
    detail: str,
    outcome: Outcome | None = None,
    retry_after_ms: int | None = None,
) -> JobError:
    """Build the report of one error kind; `outcome` None means the table's."""
    promise = outcome or ANSWERS[kind].outcome
    return JobError(str(kind), str(promise), detail, retry_after_ms, submission)


def from_exception(submission: str, exc: DispatchError) -> JobError:
    """Build the report of a `DispatchError`."""
    return error_outcome(
        submission, exc.kind, exc.detail, exc.outcome, exc.retry_after_ms
    )


@dataclass(frozen=True, slots=True)
class TaskFailure:
    """The first task of a job to end without an answer, which stopped the rest."""

    index: int
    end: TaskEnd


def job_verdict(
    entry: JobEntry, ends: tuple[TaskEnd, ...], first: TaskFailure | None
) -> JobOutcome:
    """Return the complete answer, or the error with what can be promised.

    `not_run` needs every task proved never started. `failed` needs one that
    started and one that can never give its answer: a job whose unsettled tasks may
    all have answers could still be recovered whole, so it is `unknown`.
    """
    if all(isinstance(end, Answered) for end in ends):
        answers = tuple(end.value for end in ends if isinstance(end, Answered))
        return JobAnswer(entry.submission, answers)
    cause = _cause(entry, first)
    if all(isinstance(end, NeverStarted) for end in ends):
        kind = _BEFORE_START.get(cause.kind, cause.kind)
        return error_outcome(
            entry.submission,
            kind,
            cause.detail,
            Outcome.NOT_RUN,
            cause.retry_after_ms,
        )
    started = any(isinstance(end, Answered | Broken) for end in ends)
    if started and any(never_answers(end) for end in ends):
        kind = _AFTER_START.get(cause.kind, cause.kind)
        return error_outcome(entry.submission, kind, cause.detail, Outcome.FAILED)
    return error_outcome(
        entry.submission, ErrorKind.START_UNSETTLED, cause.detail, Outcome.UNKNOWN
    )


def _cause(entry: JobEntry, first: TaskFailure | None) -> NeverStarted:
    """Return the reason that ended the job, as an error kind with its detail.

    A stop by the deadline or the caller comes first, then the first task that
    failed: those that were stopped because of it are none of the reason.
    """
    stop = entry.stop.result() if entry.stop.done() else ErrorKind.INTERNAL
    if stop is not ErrorKind.TASK_FAILED or first is None:
        return NeverStarted(stop, "stopped before all tasks were done")
    match first.end:
        case NeverStarted() as never:
            return never
        case Unsettled(detail=detail):
            kind = ErrorKind.START_UNSETTLED
            return NeverStarted(kind, f"task {first.index}: {detail}")
        case Broken(detail=detail):
            return NeverStarted(stop, f"task {first.index}: {detail}")
        case Answered():
            return NeverStarted(ErrorKind.INTERNAL, "an answer stopped the job")
