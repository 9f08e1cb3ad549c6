"""Telling a worker that fails everything from a kind that fails everywhere.

A failed task is first held against nobody: the next task of its kind that was
placed later on another worker decides. If that one succeeds, the failure counts
against the worker, the more the rarer the kind fails; if it fails too, the failure
counts against the kind. A worker with enough evidence against it gets no tasks but
one probe at a time, at a growing period, until a probe succeeds. Only a share of
the workers may be ejected, since a fault of many is hardly theirs.
"""

import logging
import math
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from monsoongap.settings import PlacementSection

log = logging.getLogger(__name__)

MAX_KINDS = 2048
KIND_WEIGHT = 50.0
PRIOR_FAILURES = 0.1
PRIOR_TASKS = 2.0
BAD_WORKER_FAILS = 0.95
EJECT_SCORE = 7.0
EJECT_FAILURES = 3
SUCCESS_FACTOR = 0.25
PROBE_GROWTH = 2.0
UNDECIDED_LIMIT = 3
UNDECIDED_BACK_OFF_S = 0.1
BUSY_BACK_OFF_S = 0.005
BUSY_BACK_OFF_MAX_S = 0.2


class Health(StrEnum):
    """Whether a worker gets tasks."""

    OK = "ok"
    BACKED_OFF = "backed_off"
    EJECTED = "ejected"
    PROBING = "probing"


class KindName(NamedTuple):
    """A kind of one team; a named tuple, since it is hashed for each task."""

    team: str
    kind: str


@dataclass(slots=True)
class _Undecided:
    """Failures of one kind on one worker, not yet held against either."""

    first_at: float
    count: int = 0


@dataclass(slots=True)
class _Kind:
    """How often tasks of a kind fail, whichever the worker."""

    failures: float = PRIOR_FAILURES
    tasks: float = PRIOR_TASKS
    undecided: dict[str, _Undecided] = field(default_factory=dict)

    def add(self, failed: bool) -> None:
        if self.tasks >= KIND_WEIGHT:
            fade = 1.0 - 1.0 / KIND_WEIGHT
            self.tasks *= fade
            self.failures *= fade
        self.tasks += 1.0
        self.failures += failed

    @property
    def surprise(self) -> float:
        """Return the evidence that one failure gives against its worker."""
        rate = self.failures / self.tasks
        return max(0.0, math.log(BAD_WORKER_FAILS / rate))


@dataclass(slots=True)
class _Worker:
    score: float = 0.0
    failures: int = 0
    undecided: int = 0
    ejected: bool = False
    probing: bool = False
    probe_at: float = 0.0
    probe_s: float = 0.0
    busy_refusals: int = 0
    closed_until: float = 0.0


class WorkerHealth:
    """The evidence against each worker. Times are on the timer clock."""

    def __init__(self, cfg: PlacementSection) -> None:
        self._cfg = cfg
        self._kinds: OrderedDict[KindName, _Kind] = OrderedDict()
        self._workers: dict[str, _Worker] = {}
        self._listed = 0
        self.ejections = 0
        self.probes = 0

    def keep_only(self, listed: set[str]) -> None:
        """Forget workers that are no longer listed."""
        self._listed = len(listed)
        for name in self._workers.keys() - listed:
            del self._workers[name]

    def health(self, name: str, now: float) -> Health:
        """Return whether a worker may get tasks now."""
        worker = self._workers.get(name)
        if worker is None:
            return Health.OK
        if worker.ejected:
            return Health.PROBING if worker.probing else Health.EJECTED
        return Health.BACKED_OFF if now < worker.closed_until else Health.OK

    def may_probe(self, name: str, now: float) -> bool:
        """Return whether an ejected worker may get one task."""
        worker = self._workers.get(name)
        if worker is None or not worker.ejected or worker.probing:
            return False
        return now >= worker.probe_at

    def due_probes(self, now: float) -> list[str]:
        """Return the ejected workers that may get one task."""
        return [name for name in self._workers if self.may_probe(name, now)]

    def reopened(self, now: float) -> list[str]:
        """Return the workers whose back-off has ended, once each."""
        ended = []
        for name, worker in self._workers.items():
            if worker.closed_until and now >= worker.closed_until:
                worker.closed_until = 0.0
                ended.append(name)
        return ended

    def begin_probe(self, name: str, task: str) -> None:
        """Note that a task goes to an ejected worker as its probe."""
        self._workers[name].probing = True
        self.probes += 1
        log.info("worker probed", extra={"task": task, "upstream": name})

    def abandon_probe(self, name: str, now: float) -> None:
        """Note that a probe ended without telling anything."""
        worker = self._workers.get(name)
        if worker is not None and worker.probing:
            worker.probing = False
            worker.probe_at = now + worker.probe_s

    def refused_busy(self, name: str, now: float) -> None:
        """Back off a worker that had no slot though a credit said so."""
        worker = self._workers.setdefault(name, _Worker())
        delay_s = BUSY_BACK_OFF_S * 2.0 ** min(worker.busy_refusals, 10)
        worker.closed_until = now + min(delay_s, BUSY_BACK_OFF_MAX_S)
        worker.busy_refusals += 1

    def succeeded(self, name: str, kind: KindName, placed_at: float) -> None:
        """Count a task that ran to its end; ends an ejection."""
        record = self._kind(kind)
        record.add(failed=False)
        self._clear(name)
        for other, undecided in list(record.undecided.items()):
            if undecided.first_at <= placed_at and other != name:
                del record.undecided[other]
                self._hold_against(other, undecided.count, record, placed_at)

    def failed(self, name: str, kind: KindName, now: float) -> None:
        """Note a failed task: evidence against its kind or against its worker."""
        worker = self._workers.setdefault(name, _Worker())
        if worker.ejected:
            if worker.probing:
                self._lengthen_probe(name, worker, now)
            return
        record = self._kind(kind)
        for other in [other for other in record.undecided if other != name]:
            self._hold_against_kind(other, record)
        undecided = record.undecided.setdefault(name, _Undecided(now))
        undecided.count += 1
        worker.undecided += 1
        if worker.undecided >= UNDECIDED_LIMIT:
            worker.closed_until = now + UNDECIDED_BACK_OFF_S

    def _hold_against_kind(self, name: str, record: _Kind) -> None:
        count = record.undecided.pop(name).count
        record.add(failed=True)
        worker = self._workers.get(name)
        if worker is not None:
            worker.undecided = max(0, worker.undecided - count)

    def _hold_against(self, name: str, count: int, record: _Kind, now: float) -> None:
        worker = self._workers.get(name)
        if worker is None or worker.ejected:
            return
        worker.undecided = max(0, worker.undecided - count)
        worker.failures += count
        worker.score += count * record.surprise
        if worker.score >= EJECT_SCORE and worker.failures >= EJECT_FAILURES:
            self._eject(name, worker, now)

    def _clear(self, name: str) -> None:
        """Take a success as proof that the worker doesn't fail everything."""
        worker = self._workers.get(name)
        if worker is None:
            return
        worker.busy_refusals = 0
        worker.score *= SUCCESS_FACTOR
        worker.failures = 0
        if worker.undecided:
            worker.undecided = 0
            for record in self._kinds.values():
                record.undecided.pop(name, None)
        if worker.ejected and worker.probing:
            worker.ejected = worker.probing = False
            worker.score = 0.0
            log.info("worker readmitted", extra={"upstream": name})

    def _eject(self, name: str, worker: _Worker, now: float) -> None:
        ejected = sum(worker.ejected for worker in self._workers.values())
        allowed = max(1, int(self._cfg.ejected_share * self._listed))
        if ejected >= allowed:
            log.warning("worker kept despite failures", extra={"upstream": name})
            return
        worker.ejected = True
        worker.probe_s = self._cfg.probe_s
        worker.probe_at = now + worker.probe_s
        self.ejections += 1
        reason = f"{worker.failures} failures of kinds that succeed elsewhere"
        log.warning(
            "worker ejected",
            extra={"upstream": name, "reason": reason, "score": round(worker.score, 1)},
        )

    def _lengthen_probe(self, name: str, worker: _Worker, now: float) -> None:
        worker.probing = False
        worker.probe_s = min(worker.probe_s * PROBE_GROWTH, self._cfg.probe_max_s)
        worker.probe_at = now + worker.probe_s
        log.info("worker probe failed", extra={"upstream": name})

    def _kind(self, kind: KindName) -> _Kind:
        record = self._kinds.get(kind)
        if record is None:
            record = self._kinds[kind] = _Kind()
            if len(self._kinds) > MAX_KINDS:
                self._kinds.popitem(last=False)
        self._kinds.move_to_end(kind)
        return record
