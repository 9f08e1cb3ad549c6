"""Types of the product: jobs, runners, runs, and the messages between hosts.

Times are seconds unless a name says otherwise. The formats of the platform are not
known here; `monsoongap.platform` translates them.

The parts of a heartbeat are frozen structs instead of frozen data classes: heartbeats
are sent ten times a second, and without field names they take a third of the bytes.
"""

import string
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import Annotated

import msgspec
from msgspec import Meta

from monsoongap.errors import ANSWER_RULES, AnswerKind, Promise
from monsoongap.protocol.decoding import (
    MAX_INTEGER,
    Address,
    Balance,
    DurationMs,
    DurationS,
    Factor,
    Ip,
    JobId,
    Labels,
    Malformed,
    Name,
    Natural,
    Port,
    RunnerId,
    Text,
)

# Limits the cost of one job; a job of the design size has up to 280 tasks.
MAX_TASKS = 4096
# Many times the number that the design size needs.
MAX_SHARES = 100_000
# The wait of a caller that no longer waits; 0 stands for one that did not say.
MIN_WAIT_S = 0.001

TaskCount = Annotated[int, Meta(ge=0, le=MAX_TASKS)]
ShareIndex = Annotated[int, Meta(ge=0, le=MAX_SHARES)]
# An entry host or a seed, whose name is not known yet; empty for none.
Sender = Annotated[str, Meta(pattern=r"^[A-Za-z0-9._:-]{0,63}\Z")]


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """Processors in thousandths of a core, memory in MiB, accelerators."""

    cpu_milli: Balance
    mem_mb: Balance
    accelerators: Balance = 0

    def can_fit(self, other: "Resources") -> bool:
        """Return whether `other` fits into these resources."""
        return (
            self.cpu_milli >= other.cpu_milli
            and self.mem_mb >= other.mem_mb
            and self.accelerators >= other.accelerators
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference; its parts may be negative."""
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
    """A runner as its latest entry in the platform's store describes it.

    `room` is its whole capacity. `labels` holds its kind and rack. `born_ms` is when
    its process started, which distinguishes two incarnations under one id. For the
    next `cold_left_ms` its tasks take longer.
    """

    id: RunnerId
    upstream: Text
    address: Address
    dc: Name
    draining: bool
    room: Resources
    labels: Labels = ()
    born_ms: Natural = 0
    cold_left_ms: DurationMs = 0.0


@dataclass(frozen=True, slots=True)
class QueueRule:
    """A queue of the configuration: where jobs are submitted, and their objective.

    `priority` 0 is placed first. The latency objective of a job is its longest chain of
    steps times `stretch`, plus `grace_s`.
    """

    name: Text
    host: Text
    path_prefix: Text
    upstream: Text
    timeout_s: DurationS
    priority: Natural = 0
    max_attempts: Natural = 1
    stretch: Factor = 1.0
    grace_s: DurationS = 0.0
    needs_advice: bool = False


@dataclass(frozen=True, slots=True)
class UpstreamRule:
    """An upstream of the configuration.

    `checks_capacity` says that its runners reject a run that does not fit.
    """

    name: str
    checks_capacity: bool


@dataclass(frozen=True, slots=True)
class Configuration:
    """The operator's configuration; a higher `version` replaces a lower one."""

    version: int
    queues: tuple[QueueRule, ...] = ()
    upstreams: tuple[UpstreamRule, ...] = ()
    body_limit_bytes: int = 262_144
    header_limit_bytes: int = 16_384
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Step:
    """A number of tasks of one size.

    `after` lists the indexes of the steps that must be done first. `near_rack` is the
    rack of the data, where the tasks run if possible; `label` is one that the runner
    must have. `most_per_runner` limits the tasks of this step on one runner; 0 is no
    limit.
    """

    count: TaskCount
    size: Resources
    estimate_s: DurationS
    after: tuple[TaskCount, ...] = ()
    near_rack: Text = ""
    label: Text = ""
    most_per_runner: Natural = 0


JOB_ID_DIGITS = 16


def is_job_id(text: str) -> bool:
    """Return whether a text is a job's id: 16 hexadecimal digits."""
    return len(text) == JOB_ID_DIGITS and all(c in string.hexdigits for c in text)


@dataclass(frozen=True, slots=True)
class Job:
    """A submitted job. `queue` is the name of its `QueueRule`."""

    id: JobId
    queue: Text
    payload: str
    steps: tuple[Step, ...]


@dataclass(frozen=True, slots=True, order=True)
class TaskId:
    """Identifies a task by its job's id, its step's index and its index in the step."""

    job: JobId
    step: TaskCount
    index: TaskCount


class EndKind(StrEnum):
    """How a run ended, as its runner reports it."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


@dataclass(frozen=True, slots=True)
class RunEnd:
    """The end of a run. `seq` counts the ends of one incarnation of a runner."""

    seq: int
    task: TaskId
    run: int
    kind: EndKind


@dataclass(frozen=True, slots=True)
class RunRow:
    """A run that is on a runner now; `progress` is in percent."""

    task: TaskId
    run: int
    progress: int
    cpu_milli: int | None = None


@dataclass(frozen=True, slots=True)
class RunnerView:
    """A runner's reply to a poll: its clock, its runs, and ends not acknowledged yet.

    `clock_ms` starts anew with each incarnation; `born_ms` is that of `RunnerInfo`.
    """

    clock_ms: int
    born_ms: int
    running: tuple[RunRow, ...]
    ends: tuple[RunEnd, ...]


def _always() -> bool:
    return True


@dataclass(frozen=True, slots=True)
class StartRequest:
    """Asks a runner to start a run. `lease_until_ms` is a time on its clock.

    `born_ms` is the incarnation by whose record the task was placed; 0 for any.
    `may_send` is not part of the request: it is called right before it is sent, and
    returns whether it still may be.
    """

    task: TaskId
    run: int
    payload: str
    lease_until_ms: int
    fence: int
    born_ms: int = 0
    may_send: Callable[[], bool] = field(default=_always, compare=False)


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
    """The run is on the runner. `clock_ms` is None if the reply had no clock."""

    clock_ms: int | None


@dataclass(frozen=True, slots=True)
class NotStarted:
    """The runner refused the start; nothing was run."""

    reason: Refusal
    clock_ms: int | None = None


# Messages between entry hosts.


class HostCard(msgspec.Struct, frozen=True, array_like=True):
    """Name and address of an entry host, and what it can do.

    `boot_ms` is when its process started, in milliseconds since 1970; it distinguishes
    two incarnations under one name. `cores` is what the host may use of a processor,
    in cores of usual speed.
    """

    name: Name
    dc: Name
    ip: Ip
    port: Port
    boot_ms: Natural
    cores: Annotated[float, Meta(ge=0, le=1_048_576)] = 1.0


class ShareId(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Identifies a share of a data centre's runners, and of the jobs that it gets."""

    dc: Name
    index: ShareIndex = 0


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """A share that a host owns, and the fence of its requests to the share's runners.

    `share_count` is the number of shares into which the data centre is divided.
    """

    share: ShareId
    share_count: Annotated[int, Meta(ge=1, le=MAX_SHARES)]
    fence: Natural

    def covers(self, dc: str, name: str) -> bool:
        """Return whether a runner or a job of a data centre belongs to the share."""
        return (
            dc == self.share.dc
            and share_index(name, self.share_count) == self.share.index
        )


def share_index(name: str, share_count: int) -> int:
    """Return the index of the share to which a runner or a job belongs by its id."""
    return zlib.crc32(name.encode()) % share_count if share_count > 1 else 0


class RunnerDigest(msgspec.Struct, frozen=True, array_like=True):
    """Digest of the runners that an owner holds by a claim.

    For the next `in_doubt_ms` it may lack runners that a previous owner used. See
    `monsoongap.coordination.coverage`.
    """

    digest: Natural
    in_doubt_ms: Natural


class FreeCapacity(msgspec.Struct, frozen=True, array_like=True):
    """Free resources of one runner, as its owner counts them; `cold` slows tasks."""

    upstream: Text
    resources: Resources
    labels: Labels = ()
    cold: bool = False


class AwaitedJob(msgspec.Struct, frozen=True, array_like=True):
    """A job, by its id as a number, for which a caller waits at some entry host.

    `age_ms` is how long ago that was last known.
    """

    number: Annotated[int, Meta(ge=0)]
    age_ms: Natural


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """A host's heartbeat. `serial` increases with each one of an incarnation.

    `live_hosts` names the hosts of its data centre that it received heartbeats from
    lately. `free` lists runners with free capacity for tasks of other owners. `queued`
    is the number of its waiting tasks. `recent_jobs` holds the ids, as numbers, of the
    jobs whose execution it started lately: another data centre that gets one of them
    again forwards it to this host. `known_hosts` has some of the hosts that it knows.
    `runner_digests` has one digest for each claim, in the same order. `brief` says that
    `live_hosts` and `free` are left out, and those told last still hold. `evacuated`
    names the evacuated data centres by the operator's log up to `evac_offset`; -1 if
    the sender does not know them.
    `live_hosts` and `free` are left out, and those told last still hold. `hands_over`
    says that a host that leaves hands its shares over to hosts that it chooses.
    `awaited` has the jobs whose callers wait at the sender, and from an owner also
    those whose callers wait at other hosts of its data centre. `unheard` names the
    owners whose heartbeats the sender, an owner, no longer receives, and the data
    centres of which it hears no owner.
    """

    card: HostCard
    serial: Natural
    leaving: bool
    config_version: Natural
    claims: tuple[Claim, ...] = ()
    live_hosts: tuple[Text, ...] = ()
    free: tuple[FreeCapacity, ...] = ()
    queued: Natural = 0
    recent_jobs: tuple[Annotated[int, Meta(ge=0)], ...] = ()
    known_hosts: tuple[HostCard, ...] = ()
    runner_digests: tuple[RunnerDigest, ...] = ()
    brief: bool = False
    evac_offset: Annotated[int, Meta(ge=-1, le=MAX_INTEGER)] = -1
    evacuated: tuple[Name, ...] = ()
    hands_over: bool = False
    awaited: tuple[AwaitedJob, ...] = ()
    unheard: tuple[Text, ...] = ()


@dataclass(frozen=True, slots=True)
class JobReply:
    """The answer to a job.

    `REFUSED` promises that nothing was or will be run; the caller may retry after
    `retry_after_s`. See `monsoongap.errors` for all kinds. In a reply to another host,
    `boot_ms` tells which of its processes the sender is, as its card does; 0 from a
    host of an earlier version.
    """

    kind: AnswerKind
    detail: str = ""
    retry_after_s: DurationS = 0.0
    boot_ms: Natural = 0

    def without_promise(self) -> "JobReply":
        """Return the answer for a job that a previous owner may have started.

        A reply that promises that the job has not run becomes one without a promise.
        """
        if ANSWER_RULES[self.kind].promise is Promise.NOT_RUN:
            return JobReply(AnswerKind.BROKEN, self.detail)
        return self


@dataclass(frozen=True, slots=True)
class SubmitCall:
    """Submits a job to the owner of the share that executes it.

    `done` lists the tasks that are known to have ended well, `runs` the highest run
    number given to each task so far; both come from a previous owner of the job.
    `again` says that a previous owner may have started the job, so that it can no
    longer be refused as not run. `here` says that the callee has the job, as another
    owner knows. `wait_s` is how long the caller waits, in seconds; 0 if it did not say.
    `waited_s` is how much of that was over when the call was sent. `origin`
    and `number` identify the request of the caller: a call that is repeated, or late,
    gets the same refusal again. `origin` is empty in a handover. `delayed` says that
    the request may have waited while its host was paused, so that the caller may have
    sent the job to another host since. `rule` is the queue by which the job was
    accepted, for an owner whose configuration has it no longer; None in a first call.
    `transfer_fence` is the fence of the claim under which the previous owner
    transferred the share (`TransferCall`); 0 if it did not. `sender` is the host that
    sends the call; empty from a host of an earlier version. `awaited_s` tells, in a
    handover, how long before it a caller was last known to wait. `callee_boot_ms` is
    the process that the call is for; another one under its name declines. 0 if the
    sender does not know it.
    """

    job: Job
    origin: Sender
    version: Natural
    share: ShareId
    done: tuple[TaskId, ...] = ()
    runs: tuple[tuple[TaskId, Natural], ...] = ()
    again: bool = False
    here: bool = False
    wait_s: DurationS = 0.0
    number: Natural = 0
    delayed: bool = False
    rule: QueueRule | None = None
    transfer_fence: Natural = 0
    waited_s: DurationS = 0.0
    sender: Sender = ""
    awaited_s: DurationS = 0.0
    callee_boot_ms: Natural = 0

    @property
    def is_handover(self) -> bool:
        """Return whether the previous owner of the share hands the job over."""
        return not self.origin

    @property
    def has_expired(self) -> bool:
        """Return whether the caller no longer waits."""
        return 0 < self.wait_s <= self.waited_s

    @property
    def wait_left_s(self) -> float:
        """Return how much longer the caller waits; infinite if it did not say."""
        return self.wait_s - self.waited_s if self.wait_s else float("inf")

    def after(self, elapsed_s: float) -> "SubmitCall":
        """Return the call to send `elapsed_s` seconds later.

        The sender of a handover holds no caller, so its news of one ages.
        """
        elapsed_s = max(elapsed_s, 0.0)
        awaited_s = self.awaited_s + elapsed_s if self.is_handover else 0.0
        return replace(self, waited_s=self.waited_s + elapsed_s, awaited_s=awaited_s)


@dataclass(frozen=True, slots=True)
class CancelCall:
    """Cancels a job whose caller has left."""

    job: JobId


@dataclass(frozen=True, slots=True)
class LocateCall:
    """Asks whether the callee executes a job, or has its answer."""

    job: JobId


@dataclass(frozen=True, slots=True)
class LendCall:
    """Runs one task on a runner of the callee at once, or is refused without capacity.

    `home` is the name of the borrower. `claim` is the one by which the borrower
    executes the job: a borrower that has been replaced without knowing it is refused.
    `upstream` serves the queue by the borrower's configuration. `wait_s` is how much
    longer the job's callers wait, in seconds; 0 if they did not say. `awaited_s` is how
    long before the call a caller was last known to wait. `callee_boot_ms` is the
    process that the call is for; another one under its name refuses it. 0 if the sender
    does not know it. `elapsed_s` is how long ago the first copy of the call was sent.
    """

    task: TaskId
    run: Natural
    payload: str
    size: Resources
    queue: Text
    version: Natural
    home: Sender
    claim: Claim
    estimate_s: DurationS = 0.0
    label: Text = ""
    rack: Text = ""
    most_per_runner: Natural = 0
    upstream: Text = ""
    wait_s: DurationS = 0.0
    awaited_s: DurationS = 0.0
    callee_boot_ms: Natural = 0
    elapsed_s: DurationS = 0.0


class LendResult(StrEnum):
    """Outcome of a lent task.

    `LEFT_RUNNING`: a run may go on, or have ended, of which the lender does not know:
    another host owns its runner now, or the lender has forgotten it.
    """

    DONE = "done"
    FAILED = "failed"
    NO_ROOM = "no_room"
    GONE = "gone"
    LEFT_RUNNING = "left_running"


@dataclass(frozen=True, slots=True)
class LendReply:
    """Outcome of a lent task; `run` is the number of the run that ended.

    `boot_ms` is that of the lender's process; 0 from a host of an earlier version.
    """

    result: LendResult
    run: Natural
    boot_ms: Natural = 0


@dataclass(frozen=True, slots=True)
class FindCall:
    """Stops every run of a job on the callee's runners, for the owner of the job.

    `claim` is the one by which the caller executes the job. The reply covers the
    runners of `share`. With `task`, the callee also no longer starts run `run` of that
    task, whose `LendCall` may still be on its way. `home` is the name of the caller,
    to which the callee forwards repetitions of the job.
    """

    job: JobId
    share: ShareId
    claim: Claim
    task: TaskId | None = None
    run: Natural = 0
    home: Sender = ""


@dataclass(frozen=True, slots=True)
class FindReply:
    """`settled` says that no run of the job is left on the callee's runners."""

    settled: bool


@dataclass(frozen=True, slots=True)
class UnownedCall:
    """Asks for how long the callee has owned no runner of the caller's new claim."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class UnownedReply:
    """The callee's process has owned none for `unowned_ms`; 0 if it still owns some.

    The time ends with the reply and begins at the earliest with the process.
    """

    unowned_ms: Natural


@dataclass(frozen=True, slots=True)
class ConfigCall:
    """Asks for the configuration; `accepts_packed` allows a compressed text."""

    accepts_packed: bool = False


# 2,500 queues take 0.5 MB.
MAX_CONFIG_BYTES = 8_000_000


@dataclass(frozen=True, slots=True)
class ConfigReply:
    """The callee's configuration, as the text that the operator wrote.

    `packed` is the text compressed by zlib; `text` is empty then. A host of an earlier
    version sends the text only.
    """

    version: Natural
    text: bytes
    packed: bytes = b""

    def unpack(self) -> bytes:
        """Return the text; raises `Malformed` if it is malformed or too long."""
        if not self.packed:
            return self.text
        unpacker = zlib.decompressobj()
        try:
            text = unpacker.decompress(self.packed, MAX_CONFIG_BYTES)
        except zlib.error as exc:
            raise Malformed(f"packed configuration: {exc}") from exc
        if not unpacker.eof:
            raise Malformed("packed configuration: truncated or too long")
        return text


@dataclass(frozen=True, slots=True)
class RunnersCall:
    """Asks for the list of runners."""


@dataclass(frozen=True, slots=True)
class RunnersReply:
    """The callee's list of runners and how long ago it was read from the store."""

    # Finite, also if the list was never read.
    age_s: Annotated[float, Meta(ge=0, le=1e10)]
    runners: tuple[RunnerInfo, ...] = field(default=())


@dataclass(frozen=True, slots=True)
class PrepareCall:
    """Asks the callee to prepare for a share that the caller is about to transfer.

    `runners` are those that the caller holds by `claim`, `list_runners` its whole list
    of runners, and `list_age_s` how long ago that was read from the store. The callee
    takes over one of `parts` parts of the share.
    """

    home: Name
    claim: Claim
    runners: tuple[RunnerInfo, ...] = ()
    list_runners: tuple[RunnerInfo, ...] = ()
    list_age_s: Annotated[float, Meta(ge=0, le=1e10)] = 1e10
    parts: Factor = 1.0


@dataclass(frozen=True, slots=True)
class PrepareReply:
    """`ready` says that the callee can take over the share now."""

    ready: bool
    reason: Text = ""


@dataclass(frozen=True, slots=True)
class TransferCall:
    """Transfers a share: the caller starts nothing by `claim` any more.

    `runner_digest` is that of the runners that the caller held. `started` lists the
    jobs that may have runs on these runners only, `in_doubt` those that may have runs
    elsewhere. For the next `in_doubt_ms` any other job may have runs that the caller
    does not know either. `share` and `share_count` tell which share the callee acquires
    if the caller's is divided; it is the caller's otherwise. `located` names other
    owners, and the numbers of jobs that they execute as far as the caller knows.
    `health` has what the caller learned of the runners: the slowness, the number of bad
    ends in succession, and for how many seconds more each one is suspect.
    """

    home: Name
    claim: Claim
    runner_digest: RunnerDigest
    started: tuple[JobId, ...]
    in_doubt: tuple[JobId, ...]
    in_doubt_ms: Natural
    share: ShareId | None = None
    share_count: Annotated[int, Meta(ge=0, le=MAX_SHARES)] = 0
    located: tuple[tuple[Name, tuple[Annotated[int, Meta(ge=0)], ...]], ...] = ()
    health: tuple[tuple[RunnerId, Factor, Natural, DurationS], ...] = ()

    @property
    def target(self) -> Claim:
        """Return the claim that the callee's own one follows."""
        if self.share is None or not self.share_count:
            return self.claim
        return Claim(self.share, self.share_count, self.claim.fence)


@dataclass(frozen=True, slots=True)
class TransferReply:
    """`claim` is that by which the callee owns the share now; None if it refused."""

    claim: Claim | None = None
    reason: Text = ""
