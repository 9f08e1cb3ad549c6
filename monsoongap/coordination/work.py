"""A task on its way: while it waits, as a run on a runner, and how that ended."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import TYPE_CHECKING

from monsoongap.protocol.messages import EndKind, Refusal, Resources, ShareId, TaskId

if TYPE_CHECKING:
    from monsoongap.coordination.link import Link


class RunState(Enum):
    """Where a run is on its way.

    `IN_DOUBT` runs were ordered and not confirmed, and are being stopped.
    """

    STARTING = auto()
    RUNNING = auto()
    IN_DOUBT = auto()
    STOPPING = auto()


class RunOutcome(Enum):
    """Why a run is over for its owner."""

    DONE = auto()
    FAILED = auto()
    STOPPED = auto()
    LOST = auto()
    NO_ROOM = auto()
    OLD_RUN = auto()
    UNHEALTHY = auto()
    MALFORMED = auto()


OUTCOME_OF_END = {
    EndKind.DONE: RunOutcome.DONE,
    EndKind.FAILED: RunOutcome.FAILED,
    EndKind.STOPPED: RunOutcome.STOPPED,
    EndKind.LAPSED: RunOutcome.LOST,
}
OUTCOME_OF_REFUSAL = {
    Refusal.NO_ROOM: RunOutcome.NO_ROOM,
    Refusal.OLD_RUN: RunOutcome.OLD_RUN,
    Refusal.UNHEALTHY: RunOutcome.UNHEALTHY,
    Refusal.MALFORMED: RunOutcome.MALFORMED,
    Refusal.LEASE_OVER: RunOutcome.LOST,
}


@dataclass(slots=True, eq=False)
class Run:
    """One run on one runner.

    `work` and `on_end` are None for a run of an earlier owner. `confirmed_at` is
    when the runner first said that it knows of the run; infinite until then.
    """

    task: TaskId
    number: int
    size: Resources
    on_end: Callable[["Run", RunOutcome], None] | None = None
    state: RunState = RunState.STARTING
    started_at: float = 0.0
    confirmed_at: float = float("inf")
    progress: int = 0
    progressed_at: float = 0.0
    estimate_s: float = 0.0
    work: "Work | None" = None


@dataclass(slots=True, eq=False)
class Work:
    """A task that is to run. `order` sorts it among all that wait.

    `home` is the share that sees its job through; None for a task that is lent.
    `avoid` names runners that failed or lost it. `borrowed_from` is the owner that
    runs it, empty for a task that waits or runs here.
    """

    task: TaskId
    queue: str
    payload: str
    size: Resources
    sort_key: tuple[float, ...]
    on_end: Callable[["Work", RunOutcome, str], None]
    share: ShareId | None
    estimate_s: float = 0.0
    label: str = ""
    rack: str = ""
    most_per_runner: int = 0
    run_number: int = 1
    avoid: set[str] = field(default_factory=set)
    active_run: Run | None = None
    link: "Link | None" = None
    borrowed_from: str = ""
    waiting: bool = False
