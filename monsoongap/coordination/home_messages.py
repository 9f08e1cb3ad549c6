"""Messages between the homes of jobs on different hosts."""

from dataclasses import dataclass

from monsoongap.protocol.messages import (
    JobAnswer,
    JobError,
    JobOutcome,
    JobRequest,
    JobView,
)
from monsoongap.protocol.peer import PeerMethod
from monsoongap.state.claims import ClaimRecord


@dataclass(frozen=True, slots=True)
class SubmitCall:
    """A job for its home. `claim` is what names the receiver as an own key's home."""

    submission: str
    req: JobRequest
    remaining_ms: int
    claim: ClaimRecord | None = None


@dataclass(frozen=True, slots=True)
class RecoverCall:
    """Asks a host of a lost home's data centre for what its workers can prove."""

    claim: ClaimRecord
    remaining_ms: int


@dataclass(frozen=True, slots=True)
class CollectCall:
    """Asks a host of a lost issuer's data centre for the answers workers kept."""

    submission: str
    tasks: int
    remaining_ms: int


@dataclass(frozen=True, slots=True)
class CollectReply:
    """The complete answer, or None."""

    answer: JobAnswer | None = None


@dataclass(frozen=True, slots=True)
class OutcomeReply:
    """A job's outcome: just one of the two is set."""

    answer: JobAnswer | None = None
    error: JobError | None = None

    @classmethod
    def of(cls, outcome: JobOutcome) -> "OutcomeReply":
        """Wrap an outcome."""
        if isinstance(outcome, JobAnswer):
            return cls(answer=outcome)
        return cls(error=outcome)

    def outcome(self) -> JobOutcome | None:
        """Return the outcome, or None in a malformed reply."""
        return self.answer or self.error


@dataclass(frozen=True, slots=True)
class JobCall:
    """Names a job to look at or to cancel at its home."""

    submission: str


@dataclass(frozen=True, slots=True)
class ViewReply:
    """The state of a job, or None when the host does not know it."""

    view: JobView | None


@dataclass(frozen=True, slots=True)
class CancelReply:
    """Whether a running job was asked to stop."""

    stopping: bool


SUBMIT = PeerMethod("home.submit", SubmitCall, OutcomeReply)
RECOVER = PeerMethod("home.recover", RecoverCall, OutcomeReply)
COLLECT = PeerMethod("home.collect", CollectCall, CollectReply)
VIEW = PeerMethod("home.view", JobCall, ViewReply)
CANCEL = PeerMethod("home.cancel", JobCall, CancelReply)
