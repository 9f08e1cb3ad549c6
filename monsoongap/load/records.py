"""What callers saw of their jobs: the input of the checker and of the report."""

from dataclasses import dataclass, field

from monsoongap.errors import ANSWER_RULES, AnswerKind, Promise


@dataclass(frozen=True, slots=True)
class Attempt:
    """One try of a call. `outcome` is None when no answer came."""

    outcome: AnswerKind | None

    @property
    def promise(self) -> Promise:
        """What the caller may rely on after it."""
        return ANSWER_RULES[self.outcome].promise if self.outcome else Promise.UNKNOWN


@dataclass(slots=True)
class CallRecord:
    """One job as its caller saw it. Times are seconds of the caller's clock.

    `ideal_s` is the time of its longest task, `due_at` when it was to be sent.
    """

    id: str
    kind: str
    tasks: int
    ideal_s: float
    due_at: float
    attempts: list[Attempt] = field(default_factory=list)
    took_s: float = 0.0

    @property
    def outcome(self) -> str:
        """How the last try ended, as a word for the report."""
        last = self.attempts[-1].outcome if self.attempts else None
        return last.value if last else "no answer"

    @property
    def completed(self) -> bool:
        """Tell whether the whole answer came."""
        return self.outcome == AnswerKind.COMPLETED
