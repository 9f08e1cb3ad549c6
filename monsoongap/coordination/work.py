"""State of a task at the host that places it: waiting, running, ended."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import TYPE_CHECKING

from monsoongap.protocol.messages import EndKind, Refusal, Resources, ShareId, TaskId

if TYPE_CHECKING:
    from monsoongap.coordination.link import Link
    from monsoongap.coordination.start_basis import StartBasis


class RunState(Enum):
    """State of a run as its owner knows it.

    `IN_DOUBT`: the start was requested but not confirmed, and the run is being stopped.
    """

    STARTING = auto()
    RUNNING = auto()
    IN_DOUBT = auto()
    STOPPING = auto()


class RunOutcome(Enum):
    """Why a run ended, or why it was not started."""

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
    """One attempt to run a task on one runner.

    `work` and `on_end` are None for an orphan run, which a previous owner started.
    `started_at` is when the start was requested, or an orphan run was found.
    `confirmed_at` is when the runner first confirmed that it knows the run; infinite
    until then. `progressed_at` is when `progress`, in percent, last changed.
    `predicted_s` is the run time that planned placement expects, 0 without it. Times
    are seconds on the clock of `TimerService`.
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
    predicted_s: float = 0.0


@dataclass(slots=True, eq=False)
class Work:
    """A task to run, from when it starts to wait for a runner until it ends.

    `upstream` served the queue when the job was accepted.
    `sort_key` is its place among waiting tasks; the lowest is placed first. `on_end` is
    called with the outcome and the runner's id, empty if no runner here was involved.
    `share` is the share whose owner executes the task's job; None for a task that runs
    here for a borrower. `run_number` is the number of the latest run. `avoid` holds the
    ids of runners on which the task failed or was lost. `active_run` and `link` are
    the run on a runner of this host. `borrowed_from` is the name of the lender that
    runs the task, empty if it waits or runs here. `settling` says that a lender
    was lost, and that its run there is being ended. `withdrawn` says that no result of
    it is awaited any more. `due_at` is when the run must end for
    the job to meet its objective, `useless_at` for its caller to be there still.
    `arrived_at` is when the job came to this owner, None for a task that runs here for
    a borrower; `again` says that a previous owner may have started it.
    `callers_until` is when the job's callers were last known to wait, set if the job
    was ended because they no longer do. `basis` is by what its owner knew that nothing
    of the job ran, until the task is first placed; None if no doubt was known.
    """

    task: TaskId
    queue: str
    upstream: str
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
    settling: bool = False
    withdrawn: bool = False
    due_at: float = float("inf")
    useless_at: float = float("inf")
    arrived_at: float | None = None
    again: bool = False
    callers_until: float | None = None
    basis: "StartBasis | None" = None
