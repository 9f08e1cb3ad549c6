"""A task on its way: while it waits, as a run on a runner, and how that ended."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import TYPE_CHECKING

from monsoongap.protocol.messages import EndKind, Refusal, Room, ShareId, TaskId

if TYPE_CHECKING:
    from monsoongap.coordination.link import Link


class RunState(Enum):
    """Where a run is on its way.

    `UNSETTLED` runs were ordered and not confirmed, and are being stopped.
    """

    STARTING = auto()
    RUNNING = auto()
    UNSETTLED = auto()
    STOPPING = auto()


class Over(Enum):
    """Why a run is over for its owner."""

    DONE = auto()
    FAILED = auto()
    STOPPED = auto()
    LOST = auto()
    NO_ROOM = auto()
    OLD_RUN = auto()
    UNHEALTHY = auto()
    MALFORMED = auto()


OVER_OF_END = {
    EndKind.DONE: Over.DONE,
    EndKind.FAILED: Over.FAILED,
    EndKind.STOPPED: Over.STOPPED,
    EndKind.LAPSED: Over.LOST,
}
OVER_OF_REFUSAL = {
    Refusal.NO_ROOM: Over.NO_ROOM,
    Refusal.OLD_RUN: Over.OLD_RUN,
    Refusal.UNHEALTHY: Over.UNHEALTHY,
    Refusal.MALFORMED: Over.MALFORMED,
    Refusal.LEASE_OVER: Over.LOST,
}


@dataclass(slots=True, eq=False)
class Run:
    """One run on one runner.

    `work` and `on_over` are None for a run of an earlier owner. `confirmed_at` is
    when the runner first said that it knows of the run; infinite until then.
    """

    task: TaskId
    number: int
    size: Room
    on_over: Callable[["Run", Over], None] | None = None
    state: RunState = RunState.STARTING
    began_at: float = 0.0
    confirmed_at: float = float("inf")
    progress: int = 0
    moved_at: float = 0.0
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
    size: Room
    order: tuple[float, ...]
    on_over: Callable[["Work", Over, str], None]
    home: ShareId | None
    estimate_s: float = 0.0
    label: str = ""
    rack: str = ""
    most_per_runner: int = 0
    run: int = 1
    avoid: set[str] = field(default_factory=set)
    placed: Run | None = None
    link: "Link | None" = None
    borrowed_from: str = ""
    waiting: bool = False
