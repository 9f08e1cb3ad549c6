"""Encoding and decoding of the platform's request bodies and records.

A comment explains each field whose wire name is misleading.
"""

import base64
import functools
import logging
import struct
from collections.abc import Iterator
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from monsoongap.protocol.decoding import (
    MAX_AMOUNT,
    MAX_TEXT_CHARS,
    Address,
    Amount,
    DurationMs,
    Factor,
    Labels,
    Malformed,
    Name,
    Natural,
    RunnerId,
    Text,
    convert,
    decode_json,
)
from monsoongap.protocol.messages import (
    MAX_TASKS,
    Configuration,
    EndKind,
    Job,
    QueueRule,
    Resources,
    RunEnd,
    RunnerInfo,
    RunnerView,
    RunRow,
    StartRequest,
    Step,
    TaskCount,
    TaskId,
    UpstreamRule,
    is_job_id,
)
from monsoongap.timers import MS_PER_S

log = logging.getLogger(__name__)

LENGTH = struct.Struct(">I")
READ_HEAD = struct.Struct(">QQ")
# The occurrence in the task ids of a job that is not repeated.
ONLY_OCCURRENCE = "0"

# How a run ended, as a runner reports it; the last two occur only with gangs.
_END_KINDS = {
    "done": EndKind.DONE,
    "failed": EndKind.FAILED,
    "stopped": EndKind.STOPPED,
    "lapsed": EndKind.LAPSED,
    "broken": EndKind.LAPSED,
    "alone": EndKind.LAPSED,
}


# Up to 4,000 bytes by the platform's pages; not interpreted here.
Payload = Annotated[str, Meta(max_length=65_536)]


class Unsupported(ValueError):
    """A well-formed job needs a feature that is not implemented yet."""


# Jobs that callers submit.


class _Step(msgspec.Struct, rename="camel"):
    count: TaskCount
    cpu: Amount = 0
    mem_mb: Amount = 0
    gpu: Amount = 0
    est_runtime_ms: DurationMs = 0.0
    depends_on: tuple[TaskCount, ...] = ()
    required_labels: Text | Labels = ""
    affinity: Text = ""
    # Not a flag: the maximum number of tasks of the step on one runner.
    anti_affinity: Amount = 0
    gang: bool = False
    speculative: bool = False
    long_running: bool = False
    fills: bool = False


class _Job(msgspec.Struct, rename="camel"):
    spec: Payload
    steps: Annotated[tuple[_Step, ...], Meta(max_length=MAX_TASKS)]
    # Not a service level: the reply carries the result, and nothing is stored.
    best_effort: bool = False
    repeat_count: Natural = 0


def decode_job(body: bytes, id_: str, queue: str) -> Job:
    """Decode a submitted job; raises `Malformed` or `Unsupported`."""
    if not is_job_id(id_):
        raise Malformed("the job's id is not 16 hexadecimal digits")
    raw = decode_json(body, _Job, strict=False)
    if not raw.best_effort:
        raise Unsupported("jobs that are to be stored")
    if raw.repeat_count:
        raise Unsupported("repeated jobs")
    for step in raw.steps:
        if step.gang or step.long_running or step.fills:
            raise Unsupported("gangs and tasks that last")
    if not raw.steps or not 0 < sum(s.count for s in raw.steps) <= MAX_TASKS:
        raise Malformed(f"a job has 1 to {MAX_TASKS} tasks")
    for number, step in enumerate(raw.steps):
        if any(before >= number for before in step.depends_on):
            raise Malformed(f"step {number} depends on a later one")
    return Job(id_, queue, raw.spec, tuple(_step(s) for s in raw.steps))


def _step(raw: _Step) -> Step:
    label = raw.required_labels
    label = label if isinstance(label, str) else ",".join(label)
    if len(label) > MAX_TEXT_CHARS:
        raise Malformed("the labels are too long")
    return Step(
        raw.count,
        Resources(raw.cpu, raw.mem_mb, raw.gpu),
        raw.est_runtime_ms / MS_PER_S,
        raw.depends_on,
        raw.affinity,
        label,
        raw.anti_affinity,
    )


# The configuration.


class _Route(msgspec.Struct, rename="camel"):
    name: Text
    host: Text
    path_prefix: Text
    service: Text
    timeout_ms: DurationMs = 1500
    target_latency_ms: DurationMs = 0
    priority: Amount = 0
    max_attempts: Amount = 1
    stretch: Factor = 1.0
    advice: Any = None


class _Service(msgspec.Struct, rename="camel"):
    name: Text
    admission_check: bool = False


class _Limits(msgspec.Struct, rename="camel"):
    # 0 counts as left out.
    max_header_bytes: Natural = 16_384
    max_body_bytes: Natural = 262_144
    header_timeout_ms: DurationMs = 3000
    idle_timeout_ms: DurationMs = 15_000


_DEFAULT_LIMITS = _Limits()


class _Config(msgspec.Struct, rename="camel"):
    version: Natural
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = msgspec.field(default_factory=_Limits)


def decode_config(text: bytes) -> Configuration:
    """Decode a configuration; raises `Malformed`."""
    raw = decode_json(text, _Config)
    return Configuration(
        raw.version,
        tuple(
            QueueRule(
                r.name,
                r.host,
                r.path_prefix,
                r.service,
                r.timeout_ms / MS_PER_S,
                r.priority,
                r.max_attempts,
                r.stretch,
                r.target_latency_ms / MS_PER_S,
                bool(r.advice),
            )
            for r in raw.routes
        ),
        tuple(UpstreamRule(s.name, s.admission_check) for s in raw.services),
        raw.limits.max_body_bytes or _DEFAULT_LIMITS.max_body_bytes,
        raw.limits.max_header_bytes or _DEFAULT_LIMITS.max_header_bytes,
        (raw.limits.header_timeout_ms or _DEFAULT_LIMITS.header_timeout_ms) / MS_PER_S,
        (raw.limits.idle_timeout_ms or _DEFAULT_LIMITS.idle_timeout_ms) / MS_PER_S,
    )


# Runners.


class _Capacity(msgspec.Struct, rename="camel"):
    cpu: Amount
    mem_mb: Amount
    gpu: Amount = 0


class _RunnerEntry(msgspec.Struct, rename="camel"):
    service: Text
    address: Address
    zone: Name
    state: str
    capacity: _Capacity
    labels: Labels = ()
    born: Natural = 0
    # The runner has just started again; its tasks take longer for this time.
    cold_left_ms: DurationMs = 0.0


# Whether a runner in this state is draining; in any other state it is not used.
_DRAINING = {"ready": False, "draining": True}


def decode_runner(id_: str, text: bytes) -> RunnerInfo:
    """Decode a runner's entry in the store; raises `Malformed`."""
    raw = decode_json(text, _RunnerEntry)
    if raw.state not in _DRAINING:
        raise Malformed(f"state {raw.state[:MAX_TEXT_CHARS]!r}")
    return RunnerInfo(
        convert(id_, RunnerId),
        raw.service,
        raw.address,
        raw.zone,
        _DRAINING[raw.state],
        Resources(raw.capacity.cpu, raw.capacity.mem_mb, raw.capacity.gpu),
        raw.labels,
        raw.born,
        raw.cold_left_ms,
    )


def _task_text(task: TaskId) -> str:
    return f"{task.job}.{ONLY_OCCURRENCE}.{task.step}.{task.index}"


# A run is listed in each reply until it ends.
@functools.lru_cache(maxsize=4096)
def _task_id(text: str) -> TaskId:
    job, _, step, index = text.split(".")
    return convert({"job": job, "step": int(step), "index": int(index)}, TaskId)


def encode_start(request: StartRequest) -> bytes:
    """Return the body of a request to start a run."""
    return msgspec.json.encode(
        {
            "task": _task_text(request.task),
            "runId": request.run,
            "spec": request.payload,
            "deadlineMs": request.lease_until_ms,
            "fencingToken": request.fence,
        }
    )


def encode_stop(task: TaskId, run: int, fence: int) -> bytes:
    """Return the body of a request to stop a run."""
    return msgspec.json.encode(
        {"task": _task_text(task), "runId": run, "fencingToken": fence}
    )


def encode_poll(
    fence: int, last_seen_seq: int, lease_until_ms: int | None, wait: int
) -> bytes:
    """Return the body of a poll; `wait` is in milliseconds.

    Acknowledges the ends up to the sequence number `last_seen_seq`.
    """
    body = {"fencingToken": fence, "lastSeen": last_seen_seq, "waitMs": wait}
    if lease_until_ms is not None:
        body["deadlineMs"] = lease_until_ms
    return msgspec.json.encode(body)


class RunnerReply(msgspec.Struct, rename="camel"):
    """A runner's reply to a start or stop request."""

    clock_ms: Natural | None = None
    reason: str = ""
    born: Natural = 0


class _RunningRow(msgspec.Struct, array_like=True):
    task: Text
    run: Natural
    checkpoint: Any
    percent: Annotated[float, Meta(ge=0, le=100)]
    cpu: Annotated[float, Meta(ge=0, le=MAX_AMOUNT)] | None = None


class _FinishedRow(msgspec.Struct, array_like=True):
    number: Natural
    task: Text
    run: Natural
    how: str
    checkpoint: Any = None


class _PollReply(msgspec.Struct, rename="camel"):
    clock_ms: Natural
    born: Natural = 0
    running: tuple[_RunningRow, ...] = ()
    finished: tuple[_FinishedRow, ...] = ()


def decode_reply(body: bytes) -> RunnerReply:
    """Decode a runner's reply to a start or stop request; raises `Malformed`."""
    return decode_json(body or b"{}", RunnerReply)


def decode_poll_reply(body: bytes) -> RunnerView:
    """Decode a runner's reply to a poll; raises `Malformed`."""
    raw = decode_json(body, _PollReply)
    try:
        running = tuple(
            RunRow(_task_id(r.task), r.run, int(r.percent), _whole(r.cpu))
            for r in raw.running
        )
        ends = tuple(
            RunEnd(r.number, _task_id(r.task), r.run, _END_KINDS[r.how])
            for r in raw.finished
        )
    except (KeyError, ValueError) as exc:
        raise Malformed(f"poll: {exc}") from exc
    return RunnerView(raw.clock_ms, raw.born, running, ends)


def _whole(value: float | None) -> int | None:
    return None if value is None else int(value)


# The store.


class _Item(msgspec.Struct):
    key: str
    value: str


class _NewestPage(msgspec.Struct, rename="camel"):
    # Decoded one by one: a malformed item must not hide the others.
    items: tuple[msgspec.Raw, ...]
    end: Natural
    # Whether another page follows.
    has_more: bool = False


def decode_newest(body: bytes) -> tuple[list[tuple[str, bytes]], int, bool]:
    """Decode a page of a topic's newest values; raises `Malformed`.

    Returns pairs of key and value, the end offset, and whether another page follows.
    Malformed items are left out.
    """
    raw = decode_json(body, _NewestPage)
    return list(_newest_pairs(raw.items)), raw.end, raw.has_more


def _newest_pairs(items: tuple[msgspec.Raw, ...]) -> Iterator[tuple[str, bytes]]:
    for raw_item in items:
        try:
            item = decode_json(bytes(raw_item), _Item)
            value = base64.b64decode(item.value)
        except ValueError as exc:
            log.warning("malformed item skipped", extra={"error": str(exc)})
            continue
        yield item.key, value


def decode_records(body: bytes) -> tuple[int, list[bytes]]:
    """Return the end offset of the partition and the contents of the records.

    Raises `Malformed`.
    """
    if len(body) < READ_HEAD.size:
        raise Malformed("records: header missing")
    end, _first = READ_HEAD.unpack_from(body)
    return end, list(_records(body))


def _records(body: bytes) -> Iterator[bytes]:
    offset = READ_HEAD.size
    while offset + LENGTH.size <= len(body):
        (size,) = LENGTH.unpack_from(body, offset)
        offset += LENGTH.size
        if offset + size > len(body):
            raise Malformed("records: truncated")
        yield body[offset : offset + size]
        offset += size


def split_key(content: bytes) -> tuple[str, bytes]:
    """Split a keyed record into key and value; an empty value deletes the key.

    Raises `Malformed`.
    """
    if not content or len(content) < 1 + content[0]:
        raise Malformed("keyed record: truncated")
    size = content[0]
    try:
        return content[1 : 1 + size].decode(), content[1 + size :]
    except UnicodeDecodeError as exc:
        raise Malformed(str(exc)) from exc


def keyed_record(key: str, value: bytes) -> bytes:
    """Return a record of a keyed topic, prefixed with its length."""
    name = key.encode()
    content = bytes([len(name)]) + name + value
    return LENGTH.pack(len(content)) + content
