"""The outcomes of a request, and the answer to each.

Every outcome that a caller or an operator can see is one `AnswerKind`. The table
`ANSWER_RULES` sets the HTTP status of each kind and what the caller may rely on. No
other module chooses the status of an answer to a job.
"""

from dataclasses import dataclass
from enum import StrEnum


class AnswerKind(StrEnum):
    """The outcome of a request, as its caller sees it.

    After `BROKEN`, some tasks of the job may have run. `HANDED_ON` is sent only to
    another entry host, which then asks the next owner.
    """

    COMPLETED = "completed"
    FAILED = "failed"
    REFUSED = "refused"
    UNKNOWN_QUEUE = "unknown_queue"
    UNKNOWN_JOB = "unknown_job"
    MALFORMED = "malformed"
    UNSUPPORTED = "unsupported"
    BROKEN = "broken"
    HANDED_ON = "handed_on"


class Promise(StrEnum):
    """What an answer lets the caller rely on.

    `WHOLE`: every task is done, or the job has failed for good. `NOT_RUN`: no task
    has run and none will. `UNKNOWN`: neither can be proved.
    """

    WHOLE = "whole"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class AnswerRule:
    """The HTTP status and promise of one answer kind, and whether to retry."""

    status: int
    promise: Promise
    retryable: bool


ANSWER_RULES: dict[AnswerKind, AnswerRule] = {
    AnswerKind.COMPLETED: AnswerRule(200, Promise.WHOLE, False),
    AnswerKind.FAILED: AnswerRule(200, Promise.WHOLE, False),
    AnswerKind.REFUSED: AnswerRule(503, Promise.NOT_RUN, True),
    AnswerKind.UNKNOWN_QUEUE: AnswerRule(404, Promise.NOT_RUN, False),
    AnswerKind.UNKNOWN_JOB: AnswerRule(410, Promise.NOT_RUN, False),
    AnswerKind.MALFORMED: AnswerRule(400, Promise.NOT_RUN, False),
    AnswerKind.UNSUPPORTED: AnswerRule(503, Promise.NOT_RUN, False),
    AnswerKind.BROKEN: AnswerRule(504, Promise.UNKNOWN, True),
    AnswerKind.HANDED_ON: AnswerRule(504, Promise.UNKNOWN, True),
}


class UserError(Exception):
    """A mistake on the command line, printed as one line without a traceback.

    `exit_code` is the exit status of the program.
    """

    exit_code = 2
