"""Types of the product: jobs, runners, runs, and the messages between hosts.

Times are seconds unless a name says otherwise. Nothing here knows how the
platform spells any of it; `monsoongap.platform` translates.

What rides on heartbeats is a frozen struct instead of a frozen data class: it is sent
ten times a second, and without field names it takes a third of the bytes.
"""

import string
import zlib
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

from monsoongap.errors import AnswerKind


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """Processors in thousandths of a core, memory in MiB, accelerators."""

    cpu_milli: int
    mem_mb: int
    accelerators: int = 0

    def can_fit(self, other: "Resources") -> bool:
        """Tell whether `other` fits into this room."""
        return (
            self.cpu_milli >= other.cpu_milli
            and self.mem_mb >= other.mem_mb
            and self.accelerators >= other.accelerators
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return what is left; may be negative."""
        return Resources(
            self.cpu_milli - other.cpu_milli,
            self.mem_mb - other.mem_mb,
            self.accelerators - other.accelerators,
        )

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum."""
        return Resources(
            self.cpu_milli + other.cpu_milli,
            self.mem_mb + other.mem_mb,
            self.accelerators + other.accelerators,
        )


NO_RESOURCES = Resources(0, 0, 0)


@dataclass(frozen=True, slots=True)
class RunnerInfo:
    """What a runner last told of itself.

    `born_ms` parts two lives under one id. `labels` holds its kind and rack.
    """

    id: str
    upstream: str
    address: str
    dc: str
    draining: bool
    room: Resources
    labels: tuple[str, ...] = ()
    born_ms: int = 0


@dataclass(frozen=True, slots=True)
class QueueRule:
    """One queue of the configuration: who may submit where, and its objectives.

    `priority` 0 goes first. `stretch` times the longest chain of work plus
    `grace_s` is the objective for a response.
    """

    name: str
    host: str
    path_prefix: str
    upstream: str
    timeout_s: float
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    grace_s: float = 0.0
    needs_advice: bool = False


@dataclass(frozen=True, slots=True)
class UpstreamRule:
    """One upstream of the configuration."""

    name: str
    checks_capacity: bool


@dataclass(frozen=True, slots=True)
class Configuration:
    """The newest configuration this process has accepted."""

    version: int
    queues: tuple[QueueRule, ...] = ()
    upstreams: tuple[UpstreamRule, ...] = ()
    body_limit_bytes: int = 262_144
    header_limit_bytes: int = 16_384


@dataclass(frozen=True, slots=True)
class Step:
    """Tasks of one size. `after` lists the steps that must be done first.

    `near_rack` names the rack of the data, `label` one the runner must have,
    `most_per_runner` bounds tasks of this step on one runner; 0 is no bound.
    """

    count: int
    size: Resources
    estimate_s: float
    after: tuple[int, ...] = ()
    near_rack: str = ""
    label: str = ""
    most_per_runner: int = 0


# A job of the design size has up to 280 tasks; this only bounds what one may cost.
MAX_TASKS = 4096
JOB_ID_DIGITS = 16


def is_job_id(text: str) -> bool:
    """Tell whether a text is a job's id: 16 hexadecimal digits."""
    return len(text) == JOB_ID_DIGITS and all(c in string.hexdigits for c in text)


@dataclass(frozen=True, slots=True)
class Job:
    """A submitted job. `queue` is the name of its queue's rule."""

    id: str
    queue: str
    payload: str
    steps: tuple[Step, ...]


@dataclass(frozen=True, slots=True, order=True)
class TaskId:
    """Names a task: the `index`-th of step `step` of job `job`."""

    job: str
    step: int
    index: int


class EndKind(StrEnum):
    """How a run ended, as its runner lists it."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


@dataclass(frozen=True, slots=True)
class RunEnd:
    """The end of a run; `number` counts the ends of one life of a runner."""

    seq: int
    task: TaskId
    run: int
    kind: EndKind


@dataclass(frozen=True, slots=True)
class RunRow:
    """A run that a runner has now; `progress` goes from 0 to 100."""

    task: TaskId
    run: int
    progress: int
    cpu_milli: int | None = None


@dataclass(frozen=True, slots=True)
class RunnerView:
    """A runner's answer to a look: its clock, what runs, what ended."""

    clock_ms: int
    born_ms: int
    running: tuple[RunRow, ...]
    ends: tuple[RunEnd, ...]


@dataclass(frozen=True, slots=True)
class StartRequest:
    """Orders a run. `lease_until_ms` is a time on the runner's clock."""

    task: TaskId
    run: int
    payload: str
    lease_until_ms: int
    fence: int


class Refusal(StrEnum):
    """Why a runner did not start a run."""

    FENCED = "fenced"
    OLD_RUN = "old_run"
    LEASE_OVER = "lease_over"
    NO_ROOM = "no_room"
    UNHEALTHY = "unhealthy"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class Started:
    """The run is on the runner. `clock_ms` is None when the reply had none."""

    clock_ms: int | None


@dataclass(frozen=True, slots=True)
class NotStarted:
    """The runner refused; nothing was done."""

    reason: Refusal
    clock_ms: int | None = None


# Messages between entry hosts.


class HostCard(msgspec.Struct, frozen=True, array_like=True):
    """How to reach an entry host, which life of it this is, and what it can do.

    `cores` is what the host may use of a processor, in cores of usual speed.
    """

    name: str
    dc: str
    ip: str
    port: int
    boot_ms: int
    cores: float = 1.0


class ShareId(msgspec.Struct, frozen=True, array_like=True, order=True):
    """One share of the runners of a data centre, and of the jobs that come to it."""

    dc: str
    index: int = 0


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """A share that a host owns, and the fence it holds the share's runners by.

    `of` is the number of shares into which the data centre is divided.
    """

    share: ShareId
    share_count: int
    fence: int

    def covers(self, dc: str, name: str) -> bool:
        """Tell whether a runner or a job of that data centre falls to the share."""
        return (
            dc == self.share.dc
            and share_index(name, self.share_count) == self.share.index
        )


def share_index(name: str, share_count: int) -> int:
    """Return the share of `of` that a runner or a job falls to by its name."""
    return zlib.crc32(name.encode()) % share_count if share_count > 1 else 0


class RunnerDigest(msgspec.Struct, frozen=True, array_like=True):
    """The runners that an owner holds by a claim, see `coordination.coverage`.

    For `doubt_ms` more it may lack runners that an earlier owner used.
    """

    digest: int
    in_doubt_ms: int


class FreeCapacity(msgspec.Struct, frozen=True, array_like=True):
    """Room on one runner, as its owner counts it."""

    upstream: str
    resources: Resources
    labels: tuple[str, ...] = ()


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """A host's heartbeat. `hears` names the hosts it heard lately.

    `begun` holds the numbers of the jobs that it began to see through lately: sent
    again to another data centre, they are answered from where they are. `held` tells
    of the runners held by each claim.
    """

    card: HostCard
    serial: int
    leaving: bool
    config_version: int
    claims: tuple[Claim, ...] = ()
    live_hosts: tuple[str, ...] = ()
    free: tuple[FreeCapacity, ...] = ()
    queued: int = 0
    recent_jobs: tuple[int, ...] = ()
    known_hosts: tuple[HostCard, ...] = ()
    runner_digests: tuple[RunnerDigest, ...] = ()


@dataclass(frozen=True, slots=True)
class JobReply:
    """The answer to a job.

    `REFUSED` promises that nothing ran and nothing will, with a time after which
    to come back. See `monsoongap.errors` for all kinds.
    """

    kind: AnswerKind
    detail: str = ""
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class SubmitCall:
    """Hands a job to the owner of the share that will see it through.

    `done` names the tasks that are known to have ended, `runs` the highest run
    number given to each task so far, both from an earlier owner of the job. `again`
    says that an earlier owner may have begun it: it cannot be refused as not run.
    `here` says that the callee has the job, as another owner knows. The caller waits
    for `wait_s`; 0 if it did not say. `origin` and `number` name the caller's one
    request: a call that comes twice, or late, gets the refusal that it had.
    """

    job: Job
    origin: str
    version: int
    share: ShareId
    done: tuple[TaskId, ...] = ()
    runs: tuple[tuple[TaskId, int], ...] = ()
    again: bool = False
    here: bool = False
    wait_s: float = 0.0
    number: int = 0

    @property
    def is_handover(self) -> bool:
        """Tell whether the share's former owner hands the job on."""
        return not self.origin


@dataclass(frozen=True, slots=True)
class CancelCall:
    """Drops a job whose caller has left."""

    job: str


@dataclass(frozen=True, slots=True)
class LendCall:
    """Runs one task on a runner of the callee at once, or refuses for want of room.

    `claim` is the one by which the borrower sees the job through; a borrower that
    was replaced without knowing is refused by it.
    """

    task: TaskId
    run: int
    payload: str
    size: Resources
    queue: str
    version: int
    home: str
    claim: Claim
    estimate_s: float = 0.0
    label: str = ""
    rack: str = ""
    most_per_runner: int = 0


class LendResult(StrEnum):
    """What became of a lent task.

    `LEFT_RUNNING` tells that the lender no longer owns the runner: the run may go on
    there under the next owner.
    """

    DONE = "done"
    FAILED = "failed"
    NO_ROOM = "no_room"
    GONE = "gone"
    LEFT_RUNNING = "left_running"


@dataclass(frozen=True, slots=True)
class LendReply:
    """The outcome; `run` is the number of the run that ended."""

    result: LendResult
    run: int


@dataclass(frozen=True, slots=True)
class FindCall:
    """Stops every run of a job on the runners of `share`, for the claim's holder."""

    job: str
    share: ShareId
    claim: Claim
    task: TaskId | None = None
    run: int = 0


@dataclass(frozen=True, slots=True)
class FindReply:
    """`settled` tells that no run of the job is left on the callee's runners."""

    settled: bool


@dataclass(frozen=True, slots=True)
class ConfigCall:
    """Asks for the configuration."""


@dataclass(frozen=True, slots=True)
class ConfigReply:
    """The callee's configuration, as the operator's text."""

    version: int
    text: bytes


@dataclass(frozen=True, slots=True)
class RunnersCall:
    """Asks for the list of runners."""


@dataclass(frozen=True, slots=True)
class RunnersReply:
    """The callee's list and its age."""

    age_s: float
    runners: tuple[RunnerInfo, ...] = field(default=())
