"""The ways in which a run can break a promise, one frozen data class each."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class DuplicateStart:
    """A task of one submission started more than once."""

    task: str
    workers: tuple[str, ...]
    repeatable: bool


@dataclass(frozen=True, slots=True)
class IncompleteAnswer:
    """An answer has another number of parts than its job has tasks."""

    submission: str
    expected: int
    received: int


@dataclass(frozen=True, slots=True)
class WrongAnswer:
    """Part `index` of an answer is not that of the job's own task."""

    submission: str
    index: int
    expected: Any
    received: Any


@dataclass(frozen=True, slots=True)
class ForeignAnswer:
    """A caller received the answer to another submission."""

    submission: str
    received: str


@dataclass(frozen=True, slots=True)
class UnprovedAnswer:
    """A task was answered although no worker finished it."""

    task: str


@dataclass(frozen=True, slots=True)
class FalseNotRun:
    """A submission was reported as not run and has starts."""

    submission: str
    error: str
    tasks: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class MissingOutcome:
    """A call received no outcome."""

    submission: str
    host: str
    sent_at_ms: float


@dataclass(frozen=True, slots=True)
class SeveralOutcomes:
    """One call received more than one outcome."""

    submission: str
    count: int


@dataclass(frozen=True, slots=True)
class DifferentAnswers:
    """Two calls of one submission received different answers."""

    submission: str
    first: tuple[Any, ...]
    second: tuple[Any, ...]


@dataclass(frozen=True, slots=True)
class AnsweredAndFailed:
    """One submission was answered to one call and failed to another.

    `failed` promises that none of the answer is given.
    """

    submission: str
    error: str


@dataclass(frozen=True, slots=True)
class StartAfterLeave:
    """A task started on a worker too long after that worker left."""

    task: str
    worker: str
    after_s: float


Violation = (
    DuplicateStart
    | IncompleteAnswer
    | WrongAnswer
    | ForeignAnswer
    | UnprovedAnswer
    | FalseNotRun
    | MissingOutcome
    | SeveralOutcomes
    | DifferentAnswers
    | AnsweredAndFailed
    | StartAfterLeave
)


class ViolationError(AssertionError):
    """One broken promise."""

    def __init__(self, violation: Violation) -> None:
        super().__init__(str(violation))
        self.violation = violation


class Violations(ExceptionGroup[ViolationError]):
    """All broken promises of one run."""
