"""Encoding and decoding of the platform's request bodies and records.

A comment explains each field whose wire name is misleading.
"""

import base64
import struct
from collections.abc import Iterator
from typing import Any

import msgspec

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
    TaskId,
    UpstreamRule,
    is_job_id,
)
from monsoongap.timers import MS_PER_S

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


class Malformed(ValueError):
    """Received bytes do not have the expected format."""


class Unsupported(ValueError):
    """A well-formed job needs a feature that is not implemented yet."""


# Jobs that callers submit.


class _Step(msgspec.Struct, rename="camel"):
    count: int
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    est_runtime_ms: float = 0.0
    depends_on: tuple[int, ...] = ()
    required_labels: str | tuple[str, ...] = ""
    affinity: str = ""
    # Not a flag: the maximum number of tasks of the step on one runner.
    anti_affinity: int = 0
    gang: bool = False
    speculative: bool = False
    long_running: bool = False
    fills: bool = False


class _Job(msgspec.Struct, rename="camel"):
    spec: str
    steps: tuple[_Step, ...]
    # Not a service level: the reply carries the result, and nothing is stored.
    best_effort: bool = False
    repeat_count: int = 0


def decode_job(body: bytes, id_: str, queue: str) -> Job:
    """Decode a submitted job; raises `Malformed` or `Unsupported`."""
    if not is_job_id(id_):
        raise Malformed("the job's id is not 16 hexadecimal digits")
    try:
        raw = msgspec.json.decode(body, type=_Job, strict=False)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise Malformed(str(exc)) from exc
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
        if step.count < 0 or any(not 0 <= b < number for b in step.depends_on):
            raise Malformed(f"step {number} has a bad count or depends on a later one")
    return Job(id_, queue, raw.spec, tuple(_step(s) for s in raw.steps))


def _step(raw: _Step) -> Step:
    label = raw.required_labels
    return Step(
        raw.count,
        Resources(raw.cpu, raw.mem_mb, raw.gpu),
        raw.est_runtime_ms / MS_PER_S,
        raw.depends_on,
        raw.affinity,
        label if isinstance(label, str) else ",".join(label),
        raw.anti_affinity,
    )


# The configuration.


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: float = 1500
    target_latency_ms: float = 0
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    advice: Any = None


class _Service(msgspec.Struct, rename="camel"):
    name: str
    admission_check: bool = False


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144


class _Config(msgspec.Struct, rename="camel"):
    version: int
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = msgspec.field(default_factory=_Limits)


def decode_config(text: bytes) -> Configuration:
    """Decode a configuration; raises `Malformed`."""
    try:
        raw = msgspec.json.decode(text, type=_Config)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise Malformed(str(exc)) from exc
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
        raw.limits.max_body_bytes,
        raw.limits.max_header_bytes,
    )


# Runners.


class _Capacity(msgspec.Struct, rename="camel"):
    cpu: int
    mem_mb: int
    gpu: int = 0


class _RunnerEntry(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    state: str
    capacity: _Capacity
    labels: tuple[str, ...] = ()
    born: int = 0


# Whether a runner in this state is draining; in any other state it is not used.
_DRAINING = {"ready": False, "draining": True}


def decode_runner(id_: str, text: bytes) -> RunnerInfo:
    """Decode a runner's entry in the store; raises `Malformed`."""
    try:
        raw = msgspec.json.decode(text, type=_RunnerEntry)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise Malformed(str(exc)) from exc
    if raw.state not in _DRAINING:
        raise Malformed(f"state {raw.state!r}")
    return RunnerInfo(
        id_,
        raw.service,
        raw.address,
        raw.zone,
        _DRAINING[raw.state],
        Resources(raw.capacity.cpu, raw.capacity.mem_mb, raw.capacity.gpu),
        raw.labels,
        raw.born,
    )


def _task_text(task: TaskId) -> str:
    return f"{task.job}.{ONLY_OCCURRENCE}.{task.step}.{task.index}"


def _task_id(text: str) -> TaskId:
    job, _, step, index = text.split(".")
    return TaskId(job, int(step), int(index))


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

    clock_ms: int | None = None
    reason: str = ""
    born: int = 0


class _PollReply(msgspec.Struct, rename="camel"):
    clock_ms: int
    born: int = 0
    running: tuple[tuple[Any, ...], ...] = ()
    finished: tuple[tuple[Any, ...], ...] = ()


def decode_reply(body: bytes) -> RunnerReply:
    """Decode a runner's reply to a start or stop request; raises `Malformed`."""
    try:
        return msgspec.json.decode(body or b"{}", type=RunnerReply)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise Malformed(str(exc)) from exc


def decode_poll_reply(body: bytes) -> RunnerView:
    """Decode a runner's reply to a poll; raises `Malformed`."""
    try:
        raw = msgspec.json.decode(body, type=_PollReply)
        running = tuple(
            # Task, run number, checkpoint, progress in percent, processors in use.
            RunRow(_task_id(row[0]), row[1], row[3], row[4] if len(row) > 4 else None)
            for row in raw.running
        )
        ends = tuple(
            # Sequence number of the end, task, run number, how it ended, checkpoint.
            RunEnd(row[0], _task_id(row[1]), row[2], _END_KINDS[row[3]])
            for row in raw.finished
        )
    except (
        msgspec.MsgspecError,
        UnicodeDecodeError,
        KeyError,
        IndexError,
        ValueError,
    ) as exc:
        raise Malformed(f"poll: {exc}") from exc
    return RunnerView(raw.clock_ms, raw.born, running, ends)


# The store.


class _Item(msgspec.Struct):
    key: str
    value: str


class _NewestPage(msgspec.Struct, rename="camel"):
    items: tuple[_Item, ...]
    end: int
    # Whether another page follows.
    has_more: bool = False


def decode_newest(body: bytes) -> tuple[list[tuple[str, bytes]], int, bool]:
    """Decode a page of a topic's newest values; raises `Malformed`.

    Returns pairs of key and value, the end offset, and whether another page follows.
    """
    try:
        raw = msgspec.json.decode(body, type=_NewestPage)
        pairs = [(item.key, base64.b64decode(item.value)) for item in raw.items]
    except (msgspec.MsgspecError, UnicodeDecodeError, ValueError) as exc:
        raise Malformed(f"newest: {exc}") from exc
    return pairs, raw.end, raw.has_more


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
