"""The closed list of error kinds and the table from kind to answer.

Every failure that a caller or an operator can see is one `ErrorKind`. The table
`ANSWERS` fixes for each kind the HTTP status, the outcome promised to the caller
and whether a retry is worth the trouble. No other module picks a status.
"""

from dataclasses import dataclass
from enum import StrEnum


class Outcome(StrEnum):
    """What the system can promise about a request that has no answer.

    `NOT_RUN`: proved that no task started and that none will.
    `FAILED`: some tasks started; none of the answer is given.
    `UNKNOWN`: neither of the two can be proved.
    """

    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class ErrorKind(StrEnum):
    """Every way in which a request can end without its answer."""

    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    REQUEST_TIMEOUT = "request_timeout"
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    STALE_REVISION = "stale_revision"
    NO_FIT = "no_fit"
    OVER_QUOTA = "over_quota"
    OVERLOADED = "overloaded"
    DEADLINE_BEFORE_START = "deadline_before_start"
    DRAINING = "draining"
    LOG_UNAVAILABLE = "log_unavailable"
    HOME_UNREACHABLE = "home_unreachable"
    HOME_LOST = "home_lost"
    CANCELLED_BEFORE_START = "cancelled_before_start"
    CANCELLED = "cancelled"
    DEADLINE = "deadline"
    TASK_FAILED = "task_failed"
    START_UNSETTLED = "start_unsettled"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class ErrorRule:
    """How one error kind is answered.

    `status` is the HTTP status, `outcome` the promise, `retryable` whether the
    same request may succeed later.
    """

    status: int
    outcome: Outcome
    retryable: bool


_NOT_RUN = Outcome.NOT_RUN
_FAILED = Outcome.FAILED
_UNKNOWN = Outcome.UNKNOWN

ANSWERS: dict[ErrorKind, ErrorRule] = {
    ErrorKind.BAD_REQUEST: ErrorRule(400, _NOT_RUN, False),
    ErrorKind.TOO_LARGE: ErrorRule(413, _NOT_RUN, False),
    ErrorKind.REQUEST_TIMEOUT: ErrorRule(408, _NOT_RUN, True),
    ErrorKind.UNAUTHORIZED: ErrorRule(401, _NOT_RUN, False),
    ErrorKind.FORBIDDEN: ErrorRule(403, _NOT_RUN, False),
    ErrorKind.NOT_FOUND: ErrorRule(404, _UNKNOWN, False),
    ErrorKind.CONFLICT: ErrorRule(409, _NOT_RUN, False),
    ErrorKind.STALE_REVISION: ErrorRule(409, _NOT_RUN, True),
    ErrorKind.NO_FIT: ErrorRule(422, _NOT_RUN, False),
    ErrorKind.OVER_QUOTA: ErrorRule(429, _NOT_RUN, True),
    ErrorKind.OVERLOADED: ErrorRule(503, _NOT_RUN, True),
    ErrorKind.DEADLINE_BEFORE_START: ErrorRule(504, _NOT_RUN, True),
    ErrorKind.DRAINING: ErrorRule(503, _NOT_RUN, True),
    ErrorKind.LOG_UNAVAILABLE: ErrorRule(503, _NOT_RUN, True),
    ErrorKind.HOME_UNREACHABLE: ErrorRule(503, _UNKNOWN, True),
    ErrorKind.HOME_LOST: ErrorRule(410, _UNKNOWN, False),
    ErrorKind.CANCELLED_BEFORE_START: ErrorRule(409, _NOT_RUN, False),
    ErrorKind.CANCELLED: ErrorRule(409, _FAILED, False),
    ErrorKind.DEADLINE: ErrorRule(504, _FAILED, True),
    ErrorKind.TASK_FAILED: ErrorRule(502, _FAILED, False),
    ErrorKind.START_UNSETTLED: ErrorRule(502, _UNKNOWN, True),
    ErrorKind.INTERNAL: ErrorRule(500, _UNKNOWN, False),
}


class DispatchError(Exception):
    """Ends one request with an error kind from the closed list.

    `retry_after_ms` is a hint in milliseconds, or None. `outcome` overrides the
    table only where a proof gives a stronger or weaker promise than usual, for
    example a lost home whose workers prove that nothing started.
    """

    def __init__(
        self,
        kind: ErrorKind,
        detail: str,
        retry_after_ms: int | None = None,
        outcome: Outcome | None = None,
    ) -> None:
        super().__init__(f"{kind}: {detail}")
        self.kind = kind
        self.detail = detail
        self.retry_after_ms = retry_after_ms
        self.outcome = outcome or ANSWERS[kind].outcome


class UserError(Exception):
    """A mistake of the person at the command line, printed as one sentence.

    `exit_code` is what the program ends with.
    """

    exit_code = 2


class StartAmbiguous(Exception):
    """A start was sent and its fate is unknown: it must be settled."""


class WorkerUnreachable(Exception):
    """No connection to the worker could be had: nothing was sent."""


class LogUnavailable(Exception):
    """The log did not answer; an append may still have taken effect."""


class LogTrimmed(Exception):
    """The wanted offset is older than what the log still keeps."""

    def __init__(self, first_offset: int) -> None:
        super().__init__(f"log trimmed, first kept offset is {first_offset}")
        self.first_offset = first_offset


class PeerUnreachable(Exception):
    """A peer did not answer; the call may still have taken effect."""
