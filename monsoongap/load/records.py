"""What can be seen of a run from outside: the input of the checker.

All times are milliseconds on one clock: the wall clock of a real run, or the
virtual loop's clock of a test.
"""

from dataclasses import dataclass

from monsoongap.protocol.messages import JobOutcome, JobRequest, Ledger


@dataclass(frozen=True, slots=True)
class Reception:
    """One outcome as a caller received it."""

    at_ms: float
    outcome: JobOutcome


@dataclass(frozen=True, slots=True)
class CallRecord:
    """One call: what was asked under which submission, and what came back.

    `unsent` marks a call that never reached an entry host (connection refused).
    `abandoned` marks a call that its caller gave up, or whose entry host was
    killed on purpose. Neither is owed an outcome.
    """

    submission: str
    request: JobRequest
    sent_at_ms: float
    received: tuple[Reception, ...] = ()
    host: str = ""
    unsent: bool = False
    abandoned: bool = False


@dataclass(frozen=True, slots=True)
class LeaveRecord:
    """When a worker left, and when it came back if it did."""

    worker: str
    left_at_ms: float
    back_at_ms: float | None = None


@dataclass(frozen=True, slots=True)
class RunRecord:
    """Everything that the checker looks at."""

    calls: tuple[CallRecord, ...]
    ledger: Ledger
    leaves: tuple[LeaveRecord, ...] = ()
