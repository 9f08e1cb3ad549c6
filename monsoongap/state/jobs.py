"""Bounded memory of jobs: those that run and the outcomes kept for replay.

Bounds: `limits.jobs` running jobs with `BODY_BYTES` of encoded bodies together; as
many finished outcomes, at most `OUTCOME_BYTES` of them encoded, each for at most
`claims.keep_s`. A finished entry takes about 450 bytes beside its encoded outcome,
so 5,000 of them with 4 MB of outcomes take about 6.3 MB. The issued ids take one
byte each.
"""

import asyncio
import hashlib
from collections import OrderedDict
from dataclasses import dataclass, field, replace

import msgspec

from monsoongap.errors import DispatchError, ErrorKind
from monsoongap.protocol.messages import (
    JobAnswer,
    JobError,
    JobOutcome,
    JobPhase,
    JobRequest,
)

OUTCOME_BYTES = 4_000_000
BODY_BYTES = 64_000_000
DIGEST_BYTES = 16


def body_digest(req: JobRequest) -> bytes:
    """Return a digest of a job's body that does not depend on key order."""
    return digest_and_size(req)[0]


def digest_and_size(req: JobRequest) -> tuple[bytes, int]:
    """Return a body's digest and its encoded size in bytes."""
    body = msgspec.json.encode(req, order="deterministic")
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest(), len(body)


@dataclass(slots=True, eq=False)
class JobEntry:
    """A job that has no outcome yet; `deadline_at` is on the timer clock.

    `follows` names the host that runs it, when another host claimed its key.
    """

    submission: str
    digest: bytes
    req: JobRequest
    deadline_at: float
    finished: asyncio.Future[JobOutcome]
    body_bytes: int = 0
    phase: JobPhase = JobPhase.QUEUED
    started: int = 0
    done: int = 0
    follows: str | None = None
    stop: asyncio.Future[ErrorKind] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )

    def request_stop(self, kind: ErrorKind) -> None:
        """Ask the job's tasks to stop; the first reason stays."""
        if not self.stop.done():
            self.stop.set_result(kind)


@dataclass(frozen=True, slots=True)
class FinishedJob:
    """An outcome kept for replay, encoded so that its size is known."""

    digest: bytes
    team: str
    kind: str
    tasks: int
    started: int
    done: int
    finished_at: float
    answered: bool
    encoded: bytes

    def outcome(self) -> JobOutcome:
        """Decode the outcome."""
        if self.answered:
            return msgspec.json.decode(self.encoded, type=JobAnswer)
        return msgspec.json.decode(self.encoded, type=JobError)


class JobTable:
    """Running jobs by submission, and finished ones while memory allows."""

    def __init__(self, limit: int, keep_s: float) -> None:
        self._limit = limit
        self._keep_s = keep_s
        self._running: dict[str, JobEntry] = {}
        self._finished: OrderedDict[str, FinishedJob] = OrderedDict()
        self._outcome_bytes = 0
        self._body_bytes = 0

    def running(self, submission: str) -> JobEntry | None:
        """Return a job that has no outcome yet."""
        return self._running.get(submission)

    def finished(self, submission: str) -> FinishedJob | None:
        """Return a kept outcome."""
        return self._finished.get(submission)

    def all_running(self) -> tuple[JobEntry, ...]:
        """Return every running job, oldest first."""
        return tuple(self._running.values())

    def count_finished(self) -> int:
        """Return how many outcomes are kept."""
        return len(self._finished)

    def add(self, entry: JobEntry) -> None:
        """Remember a running job; raises `overloaded` when the table is full."""
        crowded = len(self._running) >= self._limit
        if crowded or self._body_bytes + entry.body_bytes > BODY_BYTES:
            raise DispatchError(ErrorKind.OVERLOADED, "too many jobs on this host")
        self._body_bytes += entry.body_bytes
        self.forget(entry.submission)
        self._running[entry.submission] = entry

    def forget(self, submission: str) -> None:
        """Drop a kept outcome, for a key that may be tried again."""
        job = self._finished.pop(submission, None)
        if job is not None:
            self._outcome_bytes -= len(job.encoded)

    def finish(self, entry: JobEntry, outcome: JobOutcome, now: float) -> None:
        """Keep a job's outcome for replay and tell those who wait for it."""
        if self._running.pop(entry.submission, None) is not None:
            self._body_bytes -= entry.body_bytes
        self.forget(entry.submission)
        encoded = msgspec.json.encode(outcome)
        self._finished[entry.submission] = FinishedJob(
            entry.digest,
            entry.req.team,
            entry.req.kind,
            len(entry.req.tasks),
            entry.started,
            entry.done,
            now,
            isinstance(outcome, JobAnswer),
            encoded,
        )
        self._outcome_bytes += len(encoded)
        self.prune(now)
        if not entry.finished.done():
            entry.finished.set_result(outcome)

    def improve(self, answer: JobAnswer) -> None:
        """Put the complete answer in the place of an unsettled outcome."""
        job = self._finished.get(answer.submission)
        if job is None:
            return
        encoded = msgspec.json.encode(answer)
        self._outcome_bytes += len(encoded) - len(job.encoded)
        self._finished[answer.submission] = replace(job, answered=True, encoded=encoded)

    def prune(self, now: float) -> None:
        """Drop outcomes beyond the bounds of time, count and bytes."""
        while self._finished:
            submission, job = next(iter(self._finished.items()))
            expired = now - job.finished_at > self._keep_s
            crowded = len(self._finished) > self._limit
            if not (expired or crowded or self._outcome_bytes > OUTCOME_BYTES):
                return
            self.forget(submission)


@dataclass(frozen=True, slots=True)
class IssuedSnapshot:
    """Which serials of a process were unused at one moment, one byte each.

    A serial that was not issued yet counts as unused: it was not admitted.
    """

    next_serial: int
    unused: bytes

    def is_unused(self, serial: int) -> bool:
        """Tell whether a serial had not been admitted."""
        size = len(self.unused)
        if serial < max(1, self.next_serial - size) or not size:
            return False
        return serial >= self.next_serial or bool(self.unused[serial % size])


class IssuedWindow:
    """Serials that were issued and not used yet, one byte each.

    Only the latest `size` serials can be admitted. An older one is treated as
    used, so an id whose outcome was evicted is never admitted a second time.
    """

    def __init__(self, size: int) -> None:
        self._unused = bytearray(size)
        self._next = 1

    def issue(self) -> int:
        """Return a new serial."""
        serial = self._next
        self._next += 1
        self._unused[serial % len(self._unused)] = 1
        return serial

    def snapshot(self) -> IssuedSnapshot:
        """Return which serials are unused now."""
        return IssuedSnapshot(self._next, bytes(self._unused))

    def is_used(self, serial: int) -> bool:
        """Tell whether a serial was issued and is used or too old."""
        size = len(self._unused)
        if not 1 <= serial < self._next:
            return False
        return serial < self._next - size or not self._unused[serial % size]

    def take(self, serial: int) -> bool:
        """Use a serial; False when it is used, too old or was never issued."""
        size = len(self._unused)
        if not self._next - size <= serial < self._next or serial < 1:
            return False
        unused = bool(self._unused[serial % size])
        self._unused[serial % size] = 0
        return unused
