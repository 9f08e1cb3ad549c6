"""What callers recorded of their jobs: input of the checker and of the report."""

from dataclasses import dataclass, field

from monsoongap.errors import ANSWER_RULES, AnswerKind, Promise


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt at a call; `outcome` is None if no valid answer came."""

    outcome: AnswerKind | None

    @property
    def promise(self) -> Promise:
        """Return what the caller may rely on after this attempt."""
        return ANSWER_RULES[self.outcome].promise if self.outcome else Promise.UNKNOWN


@dataclass(slots=True)
class CallRecord:
    """One job as its caller saw it; times are in seconds of the caller's clock.

    `ideal_s` is the run time of its longest task, `due_at` the time at which it was to
    be sent, and `response_s` the time from then to the end of the last attempt.
    """

    id: str
    kind: str
    tasks: int
    ideal_s: float
    due_at: float
    attempts: list[Attempt] = field(default_factory=list)
    response_s: float = 0.0

    @property
    def outcome(self) -> str:
        """Return the outcome of the last attempt, as the report names it."""
        last = self.attempts[-1].outcome if self.attempts else None
        return last.value if last else "no answer"

    @property
    def completed(self) -> bool:
        """Return whether the last attempt was answered as completed."""
        return self.outcome == AnswerKind.COMPLETED
