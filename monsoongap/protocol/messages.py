"""Typed messages of the caller and worker interfaces.

All are frozen data classes that `msgspec` encodes to and decodes from JSON.
Times named `_ms` are milliseconds, sizes named `_mb` are megabytes.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated, Any

from msgspec import Meta

MAX_TASKS_PER_JOB = 280
MAX_DEADLINE_MS = 3_600_000

Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9_.-]+$")]


@dataclass(frozen=True, slots=True)
class TaskSpec:
    """One task as its caller declares it; the sizes may be far off."""

    payload: Any = None
    cpus: Annotated[float, Meta(gt=0, le=1024)] = 1.0
    memory_mb: Annotated[int, Meta(ge=1, le=4_194_304)] = 64
    expected_ms: Annotated[int, Meta(ge=1, le=MAX_DEADLINE_MS)] = 100


@dataclass(frozen=True, slots=True)
class JobRequest:
    """A job: tasks whose answers are wanted together, in order."""

    team: Name
    kind: Name
    tasks: Annotated[
        tuple[TaskSpec, ...], Meta(min_length=1, max_length=MAX_TASKS_PER_JOB)
    ]
    deadline_ms: Annotated[int, Meta(ge=1, le=MAX_DEADLINE_MS)] = 30_000
    repeatable: bool = False


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """The whole answer of a job, one entry per task, in order."""

    submission: str
    answers: tuple[Any, ...]


@dataclass(frozen=True, slots=True)
class JobError:
    """The honest report of a job that has no answer."""

    error: str
    outcome: str
    detail: str
    retry_after_ms: int | None = None
    submission: str | None = None


JobOutcome = JobAnswer | JobError


class JobPhase(StrEnum):
    """Where a job stands."""

    CLAIMING = "claiming"
    QUEUED = "queued"
    RUNNING = "running"
    ANSWERED = "answered"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class JobView:
    """What `GET /v1/jobs/{submission}` tells of a job."""

    submission: str
    phase: JobPhase
    team: str
    kind: str
    tasks: int
    started: int
    done: int
    home: str
    error: JobError | None = None


@dataclass(frozen=True, slots=True)
class StartLease:
    """Bounds when a worker may accept a start.

    `boot` is the worker's boot number and `until_ms` a time on the worker's own
    monotonic clock, derived from the clock stamp in the worker's latest reply. A
    holder that was paused carries an old stamp, so its start is refused without
    any need for clocks that agree.
    """

    boot: int
    until_ms: int


@dataclass(frozen=True, slots=True)
class TaskStart:
    """Body of `PUT /v1/tasks/{task}`: start, then reply when the task ends.

    `fence` grows with every attempt and every change of home; a worker refuses a
    start whose fence is not above the highest it has seen revoked for the task.
    """

    task: str
    submission: str
    team: str
    kind: str
    holder: str
    fence: int
    lease: StartLease
    payload: Any = None
    cpus: float = 1.0
    memory_mb: int = 64


class Refusal(StrEnum):
    """Why a worker refused a start; each means that the task did not start."""

    BUSY = "busy"
    DRAINING = "draining"
    LEASE_EXPIRED = "lease_expired"
    FENCED = "fenced"
    TOO_LARGE = "too_large"


class TaskState(StrEnum):
    """What a worker knows of a task."""

    REFUSED = "refused"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REVOKED = "revoked"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class TaskReport:
    """Every answer of a worker about a task.

    `REVOKED` means that the task never started here and that no start up to
    `fence` will be accepted. `UNKNOWN` (from GET only) means never seen.
    `clock_ms` is the worker's monotonic clock and `boot` its boot number.
    `run_ms` is how long the task ran, or None while it has not ended.
    """

    task: str
    state: TaskState
    boot: int
    clock_ms: int
    refusal: Refusal | None = None
    answer: Any = None
    error: str | None = None
    run_ms: float | None = None
    fence: int = 0


@dataclass(frozen=True, slots=True)
class WorkerUsage:
    """Body of `GET /v1/usage`; the figures lag behind the truth."""

    worker: str
    boot: int
    clock_ms: int
    slots: int
    busy: int
    cpus: float
    memory_mb: int
    draining: bool = False
    accelerators: int = 0


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One record of a log stream. `data` is JSON text."""

    offset: int
    data: str


@dataclass(frozen=True, slots=True)
class LogPage:
    """A read of a log stream.

    `records` are in offset order, `first` is the oldest offset still kept and
    `next` the offset to read from next time.
    """

    records: tuple[LogRecord, ...]
    first: int
    next: int


class HostRole(StrEnum):
    """What a listed host is."""

    ENTRY = "entry"
    WORKER = "worker"


@dataclass(frozen=True, slots=True)
class HostEntry:
    """One line of the platform's host list, which lags behind the truth."""

    name: str
    role: HostRole
    dc: str
    address: str
    leaving: bool = False
    slots: int = 0
    connections: int = 64
    cpus: float = 0.0
    memory_mb: int = 0
    rack: str = ""


@dataclass(frozen=True, slots=True)
class HostList:
    """The platform's host list with its version."""

    version: int
    hosts: tuple[HostEntry, ...]


@dataclass(frozen=True, slots=True)
class LedgerEntry:
    """One start as the stand-in's ledger saw it; times are wall clock ms."""

    task: str
    submission: str
    worker: str
    started_ms: float
    ended_ms: float | None = None
    state: str = "running"


@dataclass(frozen=True, slots=True)
class Ledger:
    """Every start that any worker of the stand-in ever made."""

    entries: tuple[LedgerEntry, ...]
