"""The routing table of workers: what the list, peers and own calls tell.

Rules, in the order in which they outrank each other:

1. Leaving. A worker that the list marks as leaving, that refused a start as
   `draining`, or of which a peer said so, gets no new start. A list that still
   calls it live does not undo that. What undoes it is a probe that meets a newer
   boot, or `LEAVING_UNCONFIRMED_S` without confirmation by the list or a probe.
2. Silent. A worker that refused even a new connection gets no new start until it
   answers again.
3. Missing from the list. A worker is removed once it is missing from a list that
   names others, has not answered for `ANSWERED_RECENTLY_S` and fails
   `FAILED_PROBES` probes in a row. At most `REMOVAL_SHARE` of the table goes per
   refresh, one worker at least. An empty list removes nothing.

Bound: `MAX_WORKERS` records of about 1 kB.
"""

import logging
import math
from collections.abc import Iterable
from dataclasses import dataclass, replace

from monsoongap.coordination.membership_messages import WorkerLeaving
from monsoongap.coordination.parts import WorkerInfo, WorkerStatus
from monsoongap.protocol.messages import HostEntry, WorkerUsage

log = logging.getLogger(__name__)

MAX_WORKERS = 2_000
REMOVAL_SHARE = 0.1
FAILED_PROBES = 2
ANSWERED_RECENTLY_S = 5.0
LEAVING_REPEAT_S = 30.0
LEAVING_UNCONFIRMED_S = 60.0
CLOSED_MEMORY_S = 180.0
NEVER = float("-inf")


@dataclass(slots=True)
class _Leaving:
    """News that a worker is leaving, repeated to peers while it is open."""

    boot: int
    since: float
    confirmed_at: float


@dataclass(slots=True)
class _Worker:
    """One worker and where the knowledge of it comes from."""

    info: WorkerInfo
    listed: bool = True
    list_leaving: bool = False
    leaving: _Leaving | None = None
    silent: bool = False
    boot: int = 0
    answered_at: float = NEVER
    failed_probes: int = 0


@dataclass(frozen=True, slots=True)
class _Closed:
    """Remembers that news up to `boot` are settled, until `until`."""

    boot: int
    until: float


class WorkerTable:
    """The workers of one data centre. Every method that changes it says so."""

    def __init__(self) -> None:
        self._workers: dict[str, _Worker] = {}
        self._closed: dict[str, _Closed] = {}
        self._view: tuple[WorkerInfo, ...] | None = ()

    def view(self) -> tuple[WorkerInfo, ...]:
        """Return every worker, in name order."""
        if self._view is None:
            names = sorted(self._workers)
            self._view = tuple(self._workers[name].info for name in names)
        return self._view

    def get(self, name: str) -> WorkerInfo | None:
        """Return one worker, or None."""
        worker = self._workers.get(name)
        return worker.info if worker is not None else None

    def apply_list(self, entries: Iterable[HostEntry], now: float) -> bool:
        """Take up the listed workers of this data centre; True when changed."""
        listed = {entry.name: entry for entry in entries}
        before = self.view()
        for entry in listed.values():
            self._apply_entry(entry, now)
        for name, worker in self._workers.items():
            worker.listed = name in listed
        self._remove_missing(now)
        return self.view() != before

    def adopt(self, infos: Iterable[WorkerInfo]) -> bool:
        """Take up a peer's workers that are not known here; True when changed.

        Their silence is the peer's own observation and is not taken over.
        """
        new = [info for info in infos if info.name not in self._workers]
        for info in new[: MAX_WORKERS - len(self._workers)]:
            live = replace(info, status=WorkerStatus.LIVE)
            leaving = info.status is WorkerStatus.LEAVING
            worker = _Worker(live, list_leaving=leaving)
            self._workers[info.name] = worker
            self._settle_status(worker)
        self._view = None
        return bool(new)

    def learn_leaving(self, news: WorkerLeaving, now: float, own: bool) -> bool:
        """Note that a worker is leaving; True when that is new.

        `own` news come from the worker itself or from the list; those of peers are
        ignored once settled here.
        """
        worker = self._workers.get(news.name)
        if worker is None or self._is_settled(news, worker, now, own):
            return False
        if worker.leaving is not None:
            upgraded = news.boot > worker.leaving.boot
            worker.leaving.boot = max(news.boot, worker.leaving.boot)
            return upgraded
        worker.leaving = _Leaving(news.boot, since=now, confirmed_at=NEVER)
        self._settle_status(worker)
        extra = {"upstream": news.name, "boot": news.boot, "reason": _source(own)}
        log.info("worker leaving", extra=extra)
        return True

    def note_silent(self, name: str) -> bool:
        """Note that a new connection to a worker failed; True when new."""
        worker = self._workers.get(name)
        if worker is None or worker.silent:
            return False
        worker.silent = True
        self._settle_status(worker)
        log.warning("worker silent", extra={"upstream": name})
        return True

    def note_alive(self, name: str, now: float) -> bool:
        """Note that a worker answered; True when it was silent."""
        worker = self._workers.get(name)
        if worker is None:
            return False
        worker.answered_at = now
        worker.failed_probes = 0
        if not worker.silent:
            return False
        worker.silent = False
        self._settle_status(worker)
        log.info("worker answers again", extra={"upstream": name})
        return True

    def note_failed_probe(self, name: str) -> None:
        """Count a probe that found no answer."""
        worker = self._workers.get(name)
        if worker is not None:
            worker.failed_probes += 1

    def note_usage(self, usage: WorkerUsage, now: float) -> bool:
        """Take up a worker's own word on boot and draining; True when changed."""
        worker = self._workers.get(usage.worker)
        if worker is None:
            return False
        changed = self.note_alive(usage.worker, now)
        if usage.boot < worker.boot:
            return changed
        worker.boot = usage.boot
        if usage.draining:
            news = WorkerLeaving(usage.worker, usage.boot)
            changed = self.learn_leaving(news, now, own=True) or changed
            if worker.leaving is not None:
                worker.leaving.confirmed_at = now
        elif worker.leaving is not None and worker.leaving.boot == 0:
            # Usage lags, so this may still be the process that is leaving.
            worker.leaving.boot = usage.boot
        elif worker.leaving is not None and worker.leaving.boot < usage.boot:
            self._close(worker, now, "new boot")
            changed = True
        return changed

    def sweep(self, now: float) -> bool:
        """Close news that are confirmed or were never; True when changed."""
        changed = False
        for worker in self._workers.values():
            if worker.leaving is None:
                continue
            age_s = now - worker.leaving.since
            unseen_s = now - max(worker.leaving.since, worker.leaving.confirmed_at)
            if worker.list_leaving and age_s >= LEAVING_REPEAT_S:
                self._close(worker, now, "confirmed by the list")
                changed = True
            elif worker.listed and unseen_s >= LEAVING_UNCONFIRMED_S:
                self._close(worker, now, "not confirmed")
                changed = True
        expired = [name for name, done in self._closed.items() if done.until < now]
        for name in expired:
            del self._closed[name]
        return changed

    def leaving_news(self) -> tuple[WorkerLeaving, ...]:
        """Return the open news to repeat to peers, in name order."""
        open_news = (
            WorkerLeaving(name, worker.leaving.boot)
            for name, worker in self._workers.items()
            if worker.leaving is not None
        )
        return tuple(sorted(open_news, key=lambda news: news.name))

    def to_probe(self, now: float) -> list[str]:
        """Return the workers whose state only a probe can settle.

        Those that hold back work come first.
        """
        held_back = []
        missing = []
        for name, worker in self._workers.items():
            if worker.silent or worker.leaving is not None:
                held_back.append(name)
            elif not worker.listed and not _answered_lately(worker, now):
                missing.append(name)
        return held_back + missing

    def _apply_entry(self, entry: HostEntry, now: float) -> None:
        worker = self._workers.get(entry.name)
        if worker is None:
            if len(self._workers) >= MAX_WORKERS:
                log.error("routing table full", extra={"upstream": entry.name})
                return
            worker = _Worker(_info(entry))
            self._workers[entry.name] = worker
        worker.info = replace(_info(entry), status=worker.info.status)
        if entry.leaving and not worker.list_leaving:
            self.learn_leaving(WorkerLeaving(entry.name), now, own=True)
        worker.list_leaving = entry.leaving
        self._settle_status(worker)

    def _remove_missing(self, now: float) -> None:
        gone = [
            name
            for name, worker in self._workers.items()
            if not worker.listed
            and worker.failed_probes >= FAILED_PROBES
            and not _answered_lately(worker, now)
        ]
        cap = max(1, math.floor(REMOVAL_SHARE * len(self._workers)))
        for name in sorted(gone)[:cap]:
            del self._workers[name]
            log.info("worker removed", extra={"upstream": name, "reason": "not listed"})
        self._view = None

    def _is_settled(
        self, news: WorkerLeaving, worker: _Worker, now: float, own: bool
    ) -> bool:
        """Tell whether a peer's news are about a boot that is past."""
        if own:
            return False
        if 0 < news.boot < worker.boot:
            return True
        closed = self._closed.get(news.name)
        return closed is not None and now < closed.until and news.boot <= closed.boot

    def _close(self, worker: _Worker, now: float, reason: str) -> None:
        assert worker.leaving is not None
        name, boot = worker.info.name, worker.leaving.boot
        self._closed[name] = _Closed(boot, now + CLOSED_MEMORY_S)
        worker.leaving = None
        self._settle_status(worker)
        extra = {"upstream": name, "boot": boot, "reason": reason}
        log.info("worker leaving settled", extra=extra)

    def _settle_status(self, worker: _Worker) -> None:
        status = WorkerStatus.LIVE
        if worker.silent:
            status = WorkerStatus.SILENT
        if worker.leaving is not None or worker.list_leaving:
            status = WorkerStatus.LEAVING
        if worker.info.status is not status:
            worker.info = replace(worker.info, status=status)
        self._view = None


def _answered_lately(worker: _Worker, now: float) -> bool:
    return now - worker.answered_at <= ANSWERED_RECENTLY_S


def _info(entry: HostEntry) -> WorkerInfo:
    return WorkerInfo(
        name=entry.name,
        address=entry.address,
        dc=entry.dc,
        slots=entry.slots,
        connections=entry.connections,
        cpus=entry.cpus,
        memory_mb=entry.memory_mb,
        rack=entry.rack,
    )


def _source(own: bool) -> str:
    return "worker or host list" if own else "peer"
