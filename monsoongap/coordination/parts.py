"""The interfaces between the parts of one entry host.

Each part is written and tested against these, and `coordination.node` puts the
real ones together.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from monsoongap.protocol.messages import JobRequest, TaskReport

# Connections to each worker that a host keeps for asking what became of starts.
SETTLE_CONNECTIONS = 2


class WorkerStatus(StrEnum):
    """Whether a worker may get new starts."""

    LIVE = "live"
    LEAVING = "leaving"
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class WorkerInfo:
    """One worker of this host's data centre in the routing table."""

    name: str
    address: str
    dc: str
    slots: int
    connections: int
    cpus: float
    memory_mb: int
    rack: str = ""
    status: WorkerStatus = WorkerStatus.LIVE


class PeerStatus(StrEnum):
    """Whether a peer answers."""

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECT = "suspect"


@dataclass(frozen=True, slots=True)
class PeerInfo:
    """One other entry host. `boot` is 0 until its first heartbeat."""

    name: str
    dc: str
    address: str
    boot: int = 0
    status: PeerStatus = PeerStatus.SUSPECT


class Directory(Protocol):
    """The routing table: live workers of this data centre and all peers."""

    def workers(self) -> tuple[WorkerInfo, ...]:
        """Return the workers of this data centre, in name order."""
        ...

    def worker(self, name: str) -> WorkerInfo | None:
        """Return one worker, or None when it is not listed."""
        ...

    def peers(self) -> tuple[PeerInfo, ...]:
        """Return every other entry host, in name order."""
        ...

    def peer(self, name: str) -> PeerInfo | None:
        """Return one peer, or None when it is not known."""
        ...

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Call `changed` after every change of the table."""
        ...

    def report_draining(self, worker: str) -> None:
        """Note that a worker refused a start because it is leaving."""
        ...

    def report_silent(self, worker: str) -> None:
        """Note that a new connection to a worker failed too."""
        ...

    def report_alive(self, worker: str) -> None:
        """Note that a worker answered."""
        ...


@dataclass(frozen=True, slots=True)
class TeamLimits:
    """What the settings tree says of one team.

    `quota_slots` is the team's guaranteed share in slots of the data centre, 0
    for a share equal to the others'. `max_tasks` bounds tasks in the system.
    """

    team: str
    quota_slots: int = 0
    max_tasks: int = 10_000
    max_deadline_ms: int = 3_600_000
    token_hashes: tuple[str, ...] = ()


class TeamDirectory(Protocol):
    """What is in force for each team, from the settings tree."""

    def limits(self, team: str) -> TeamLimits | None:
        """Return a team's limits, or None when no such team may submit."""
        ...

    def all(self) -> tuple[TeamLimits, ...]:
        """Return every team's limits, in name order."""
        ...


@dataclass(frozen=True, slots=True)
class Ticket:
    """One task that wants a slot. `deadline_at` is on the timer service's clock.

    `job_size` is the number of tasks of its job. `avoid` names workers that must
    not run this task or have refused it. `attempt` counts its starts so far.
    """

    task: str
    submission: str
    team: str
    kind: str
    cpus: float
    memory_mb: int
    expected_ms: int
    deadline_at: float
    job_size: int
    avoid: frozenset[str] = frozenset()
    attempt: int = 0


@dataclass(frozen=True, slots=True)
class Slot:
    """A slot on a worker, held by one task until it is released.

    `serial` is unique in the process. No start may be sent after `usable_until`
    (timer clock): the credit behind the slot may lapse then.
    """

    serial: int
    worker: str
    usable_until: float
    lender: str | None = None


class SlotEnd(StrEnum):
    """How the use of a slot ended."""

    DONE = "done"
    TASK_FAILED = "task_failed"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    UNSETTLED = "unsettled"
    UNUSED = "unused"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class SlotResult:
    """What the dispatcher tells the scheduler when it gives a slot back."""

    end: SlotEnd
    report: TaskReport | None = None


class Slots(Protocol):
    """The scheduler: admission by load, late binding of tasks to slots."""

    def admit(self, req: JobRequest, deadline_at: float) -> None:
        """Reserve room for a whole job or raise `DispatchError`.

        Kinds raised: `no_fit`, `over_quota`, `overloaded`.
        """
        ...

    def withdraw(self, submission: str, team: str, tasks: int) -> None:
        """Give back the room of a job that ended; tells how many tasks it had."""
        ...

    async def acquire(self, ticket: Ticket) -> Slot:
        """Wait for a slot; cancel the coroutine to give up the wait.

        Raises `DispatchError` with `deadline_before_start`, `overloaded` or
        `no_fit`.
        """
        ...

    def release(self, slot: Slot, ticket: Ticket, result: SlotResult) -> None:
        """Give a slot back and learn from how its use ended."""
        ...


@dataclass(frozen=True, slots=True)
class HostIdentity:
    """This process: its name, data centre and boot number.

    The boot number is the wall clock at start in milliseconds, so it grows with
    every restart.
    """

    name: str
    dc: str
    boot: int
    region: str = "main"


@dataclass(slots=True)
class DrainState:
    """Whether this host is leaving; read by admission and readiness."""

    draining: bool = False
    listeners: list[Callable[[], None]] = field(default_factory=list)

    def begin(self) -> None:
        """Start leaving, once."""
        if self.draining:
            return
        self.draining = True
        for listener in self.listeners:
            listener()
