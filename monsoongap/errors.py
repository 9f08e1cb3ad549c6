"""The closed list of ways in which a request ends, and how each is answered.

Every end that a caller or an operator can see is one `AnswerKind`. The table
`ANSWER_RULES` fixes for each kind the HTTP status and what the caller may rely on. No
other module picks a status.
"""

from dataclasses import dataclass
from enum import StrEnum


class AnswerKind(StrEnum):
    """How a request ended for its caller.

    `BROKEN` promises nothing: some of the job may have run. `HANDED_ON` goes to
    another entry host only, which asks the next owner.
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

    `WHOLE`: every task ended as done, or the job's verdict is final. `NOT_RUN`:
    nothing ran and nothing will. `UNKNOWN`: neither of the two can be proved.
    """

    WHOLE = "whole"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class AnswerRule:
    """How one kind of end is answered: HTTP status, promise, worth a retry."""

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
    """A mistake of the person at the command line, printed as one sentence.

    `exit_code` is what the program ends with.
    """

    exit_code = 2
