"""This host's copy of the settings tree, fed by the log, peers and snapshots.

Everything here is synchronous: a record or a snapshot is taken whole between two
awaits, so the copy always stands at exactly one offset. Offsets only rise.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, replace

from monsoongap.coordination.parts import TeamLimits
from monsoongap.coordination.tree_tail import RecordTail
from monsoongap.protocol.messages import LogRecord
from monsoongap.protocol.tree import (
    ROOT,
    TEAM_PREFIX,
    Snapshot,
    TreeDigest,
    Verdict,
)
from monsoongap.state.tree import (
    Step,
    Tree,
    advance,
    load_snapshot,
    tree_digest,
)
from monsoongap.state.tree_schema import TeamSettings, parse_root, parse_team
from monsoongap.state.tree_schema import team_in_force as clamp
from monsoongap.timers import TimerService

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class TreeCounters:
    """Counts since the start of the process, for metrics.

    `corrupt` are skipped records, `mismatches` peers or snapshots that differ at
    an equal offset, `installs` snapshots taken over, `exchanges` calls to peers
    and `log_errors` failed reads or appends.
    """

    accepted: int = 0
    rejected: int = 0
    duplicates: int = 0
    corrupt: int = 0
    mismatches: int = 0
    installs: int = 0
    snapshots_seen: int = 0
    snapshots_published: int = 0
    exchanges: int = 0
    exchange_failures: int = 0
    log_errors: int = 0


class TreeReplica:
    """The tree in force here, its limits per team and its latest records."""

    def __init__(self, timers: TimerService, unnamed_teams: bool) -> None:
        self._timers = timers
        self._unnamed_teams = unnamed_teams
        self._subscribers: list[Callable[[], None]] = []
        self._tail = RecordTail()
        self._own: dict[str, TeamSettings] = {}
        self._limits: dict[str, TeamLimits] = {}
        self._changed_at: dict[str, float] = {}
        self._digest = TreeDigest(-1, "", False)
        self._contradicting: set[str] = set()
        self.started_at = 0.0
        self.tree = Tree()
        self.root = parse_root(())
        self.loaded = False
        self.counters = TreeCounters()
        self.snapshot_seen_at: float | None = None
        self.records_since_snapshot = 0
        self.decided: Callable[[Verdict], None] = lambda verdict: None

    @property
    def offset(self) -> int:
        """Return the offset that the replica wants next."""
        return self.tree.offset

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback` whenever what is in force has changed."""
        self._subscribers.append(callback)

    def count(self, **increments: int) -> None:
        """Add to the named counters."""
        raised = {
            name: getattr(self.counters, name) + step
            for name, step in increments.items()
        }
        self.counters = replace(self.counters, **raised)

    def digest(self) -> TreeDigest:
        """Return the digest of the whole tree, computed once per offset."""
        if self._digest.offset != self.offset:
            self._digest = TreeDigest(self.offset, tree_digest(self.tree), self.loaded)
        elif self._digest.loaded != self.loaded:
            self._digest = replace(self._digest, loaded=self.loaded)
        return self._digest

    def mark_loaded(self) -> None:
        """Note that the tree is known: the log's end or a peer's state is here."""
        if self.loaded:
            return
        self.loaded = True
        log.info("settings loaded", extra={"offset": self.offset})
        self._notify()

    def apply(self, record: LogRecord) -> None:
        """Replay one record; one below the replica's offset is ignored."""
        if record.offset < self.offset:
            return
        before = self.offset
        step = advance(self.tree, record)
        self._check_snapshot(step, before)
        self.tree = step.tree
        self._contradicting.clear()
        self._tail.add(before, record)
        self._account(step, record.offset)
        if step.verdict is None or step.duplicate:
            return
        if step.verdict.accepted:
            self._put_in_force(step.verdict.subtree)
            self._notify()
        self.decided(step.verdict)

    def install(self, snapshot: Snapshot, source: str) -> bool:
        """Take over a snapshot of a higher offset; tell whether it was taken."""
        if snapshot.offset <= self.offset:
            return False
        try:
            tree = load_snapshot(snapshot)
        except ValueError as exc:
            self.count(corrupt=1)
            log.error("snapshot refused", extra={"reason": str(exc), "from": source})
            return False
        stale = [
            name
            for name, subtree in tree.subtrees.items()
            if subtree.revision != self.tree.subtree(name).revision
        ]
        self.tree = tree
        self._contradicting.clear()
        self._tail.clear()
        self.count(installs=1)
        for name in stale:
            self._put_in_force(name)
        log.info("snapshot taken", extra={"offset": tree.offset, "from": source})
        self._notify()
        for verdict in tree.recent:
            self.decided(verdict)
        return True

    def records_from(self, offset: int) -> tuple[LogRecord, ...] | None:
        """Return the kept records from `offset` on, None when it is too old."""
        return () if offset == self.offset else self._tail.since(offset)

    def in_force_s(self, subtree: str) -> float:
        """Return how long this host has had the subtree's revision, in seconds."""
        return self._timers.now() - self._changed_at.get(subtree, self.started_at)

    def limits(self, team: str) -> TeamLimits | None:
        """Return a team's limits, or None when no such team may submit."""
        limits = self._limits.get(team)
        if limits is None and self._unnamed_teams:
            return _limits_of(team, clamp(TeamSettings(), self.root))
        return limits

    def all_limits(self) -> tuple[TeamLimits, ...]:
        """Return the limits of every team that the tree names, in name order."""
        return tuple(self._limits[team] for team in sorted(self._limits))

    def team_settings(self, subtree: str) -> TeamSettings:
        """Return what is in force for a team's subtree."""
        return clamp(self._own.get(subtree, TeamSettings()), self.root)

    def operator_hashes(self, subtree: str) -> tuple[str, ...]:
        """Return the token hashes of the operators that may change a subtree."""
        own = self._own.get(subtree)
        return self.root.operator_hashes + (own.operator_hashes if own else ())

    def _put_in_force(self, subtree: str) -> None:
        self._changed_at[subtree] = self._timers.now()
        values = self.tree.subtree(subtree).values
        if subtree != ROOT:
            self._own[subtree] = parse_team(subtree, values)
            self._refresh_limits(subtree)
            return
        self.root = parse_root(values)
        for name in self._own:
            self._refresh_limits(name)

    def _refresh_limits(self, subtree: str) -> None:
        team = subtree.removeprefix(TEAM_PREFIX)
        if self.tree.subtree(subtree).values:
            self._limits[team] = _limits_of(team, self.team_settings(subtree))
        else:
            self._limits.pop(team, None)

    def _check_snapshot(self, step: Step, before: int) -> None:
        snapshot = step.snapshot
        if snapshot is None:
            return
        self.snapshot_seen_at = self._timers.now()
        self.records_since_snapshot = 0
        if snapshot.offset == before and snapshot.digest != self.digest().digest:
            self.report_mismatch("snapshot", snapshot.digest)

    def report_mismatch(self, source: str, digest: str) -> None:
        """Report a state that differs from this one at the same offset, once."""
        if source in self._contradicting:
            return
        self._contradicting.add(source)
        self.count(mismatches=1)
        log.error(
            "settings differ at one offset",
            extra={"from": source, "offset": self.offset, "digest": digest},
        )

    def _account(self, step: Step, offset: int) -> None:
        self.records_since_snapshot += 1
        if step.fault:
            self.count(corrupt=1)
            extra = {"offset": offset, "reason": step.fault}
            log.warning("settings record skipped", extra=extra)
        elif step.snapshot is not None:
            self.count(snapshots_seen=1)
        elif step.duplicate:
            self.count(duplicates=1)
        elif step.verdict is not None:
            self._account_verdict(step.verdict)

    def _account_verdict(self, verdict: Verdict) -> None:
        self.count(**{"accepted" if verdict.accepted else "rejected": 1})
        log.info(
            "settings change decided",
            extra={
                "change": verdict.change,
                "subtree": verdict.subtree,
                "author": verdict.author,
                "revision": verdict.revision,
                "reason": verdict.decision.value,
            },
        )

    def _notify(self) -> None:
        for callback in self._subscribers:
            try:
                callback()
            except Exception:
                log.exception("settings subscriber failed")


def _limits_of(team: str, settings: TeamSettings) -> TeamLimits:
    return TeamLimits(
        team=team,
        quota_slots=settings.quota_slots,
        max_tasks=settings.max_tasks,
        max_deadline_ms=settings.max_deadline_ms,
        token_hashes=settings.token_hashes,
    )
