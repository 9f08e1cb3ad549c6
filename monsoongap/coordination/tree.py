"""The settings tree of one entry host: what is in force and how it is changed.

A change is appended to the log and decided by its replay. Accepted is answered
only after the record was read back, so nothing accepted can be lost with a host.
"""

import asyncio
import logging
from collections.abc import Callable

from monsoongap.coordination.parts import Directory, HostIdentity, TeamLimits
from monsoongap.coordination.ports import LogPort, PeerPort
from monsoongap.coordination.tree_follow import RETRY_S, LogFollower
from monsoongap.coordination.tree_gossip import TreeGossip
from monsoongap.coordination.tree_replica import TreeCounters, TreeReplica
from monsoongap.coordination.tree_snapshots import SNAPSHOT_CHECKS, SnapshotPublisher
from monsoongap.errors import DispatchError, ErrorKind, LogUnavailable, Outcome
from monsoongap.protocol.peer import PeerHandlers, decode, encode
from monsoongap.protocol.tree import (
    ROOT,
    Change,
    Difference,
    Entry,
    HostStatus,
    Subtree,
    TreeDigest,
    Verdict,
)
from monsoongap.settings import TreeSection
from monsoongap.state.tree import Tree, content_digest, decide, encode_record
from monsoongap.state.tree_schema import as_entries, find_faults, schema_faults
from monsoongap.timers import TimerService

log = logging.getLogger(__name__)

PROPOSE_TIMEOUT_S = 8.0
MAX_PENDING = 64
NOT_LOGGED = -1
PENDING_RETRY_MS = 1_000


class SettingsTree:
    """Implements `parts.TeamDirectory` over a replica fed by log and peers."""

    def __init__(
        self,
        cfg: TreeSection,
        identity: HostIdentity,
        log_port: LogPort,
        peers: PeerPort,
        handlers: PeerHandlers,
        directory: Directory,
        timers: TimerService,
    ) -> None:
        self._cfg = cfg
        self._timers = timers
        self._replica = TreeReplica(timers, cfg.open)
        self._replica.decided = self._on_decided
        self._follower = LogFollower(cfg, log_port, self._replica, timers)
        self._publisher = SnapshotPublisher(
            cfg, identity.name, self._follower, self._replica, timers
        )
        self._gossip = TreeGossip(
            identity,
            peers,
            handlers,
            directory,
            self._follower,
            self._replica,
            timers,
        )
        self._waiting: dict[str, set[asyncio.Future[Verdict]]] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start to follow the log, to exchange digests and to publish snapshots."""
        self._replica.started_at = self._timers.now()
        self._tasks = [
            asyncio.create_task(self._follower.run(), name="tree-follow"),
            asyncio.create_task(
                self._gossip.run(self._cfg.digest_s), name="tree-gossip"
            ),
            asyncio.create_task(self._publish_snapshots(), name="tree-snapshots"),
        ]

    async def close(self) -> None:
        """Stop; waits for the tasks to end."""
        self._gossip.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks = []

    @property
    def loaded(self) -> bool:
        """Tell whether the tree is known here, from the log's end or a peer."""
        return self._replica.loaded

    def limits(self, team: str) -> TeamLimits | None:
        """Return a team's limits, or None when no such team may submit."""
        return self._replica.limits(team)

    def all(self) -> tuple[TeamLimits, ...]:
        """Return the limits of every team that the tree names, in name order."""
        return self._replica.all_limits()

    def operator_hashes(self, subtree: str) -> tuple[str, ...]:
        """Return the token hashes of the operators that may change a subtree."""
        return self._replica.operator_hashes(subtree)

    def view(self) -> Tree:
        """Return the tree that is in force here."""
        return self._replica.tree

    def digest(self) -> TreeDigest:
        """Return how far this host has replayed, for heartbeats and peers."""
        return self._replica.digest()

    def heard(self, host: str, theirs: TreeDigest) -> None:
        """Take a peer's digest, for example from a heartbeat, and pull if newer."""
        self._gossip.heard(host, theirs)

    def digest_bytes(self) -> bytes:
        """Return the digest encoded, to be carried in heartbeats."""
        return encode(self.digest())

    def heard_bytes(self, host: str, data: bytes) -> None:
        """Take a peer's encoded digest; raises `msgspec.MsgspecError`."""
        self.heard(host, decode(data, TreeDigest))

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback` whenever what is in force has changed."""
        self._replica.subscribe(callback)

    def counters(self) -> TreeCounters:
        """Return the counts since the start of the process."""
        return self._replica.counters

    def get(self, subtree: str) -> Subtree:
        """Return what operators have set in a subtree, with its revision."""
        return self._replica.tree.subtree(subtree)

    def in_force(self, subtree: str) -> tuple[Entry, ...]:
        """Return every key of a subtree with defaults and parents' bounds."""
        if subtree == ROOT:
            return as_entries(self._replica.root)
        return as_entries(self._replica.team_settings(subtree))

    def history(self, subtree: str) -> tuple[Verdict, ...]:
        """Return the remembered verdicts of a subtree, oldest first."""
        recent = self._replica.tree.recent
        return tuple(item for item in recent if item.subtree == subtree)

    def diff(self, subtree: str, base: int) -> tuple[Difference, ...]:
        """Return what changed in a subtree since its revision `base`.

        Raises `DispatchError` with `not_found` when a change after `base` is no
        longer remembered.
        """
        current = self.get(subtree).revision
        later = [
            verdict
            for verdict in self.history(subtree)
            if verdict.accepted and verdict.revision > base
        ]
        if len(later) != max(current - base, 0) or base > current:
            detail = f"{subtree}: revision {base} is not remembered, now at {current}"
            raise DispatchError(ErrorKind.NOT_FOUND, detail)
        return _compose(later)

    def faults(self, change: Change) -> tuple[str, ...]:
        """Return every fault that a change would be rejected for now."""
        return find_faults(change, self._replica.tree.subtree(ROOT))

    async def status(self, subtree: str) -> tuple[HostStatus, ...]:
        """Return which revision of a subtree each host has, and since when."""
        return await self._gossip.statuses(subtree)

    async def propose(self, change: Change) -> Verdict:
        """Append a change and return its verdict once it was read back.

        Idempotent by change id. Raises `DispatchError` with `conflict` when the
        id was used for another change, `overloaded` when too many changes wait,
        and `log_unavailable` with outcome `unknown` when no verdict came in time;
        the same change id may then be tried again on any host.
        """
        known = self._replica.tree.verdict(change.id)
        if known is None and schema_faults(change):
            # Never in force anywhere, so it needs no place in the log.
            return decide(self._replica.tree, change, NOT_LOGGED)
        if known is None:
            known = await self._append_and_wait(change)
        if known.content != content_digest(change):
            detail = f"change id {change.id} was used for another change"
            raise DispatchError(ErrorKind.CONFLICT, detail)
        return known

    async def _append_and_wait(self, change: Change) -> Verdict:
        if len(self._waiting) >= MAX_PENDING and change.id not in self._waiting:
            raise DispatchError(
                ErrorKind.OVERLOADED, "too many changes wait", PENDING_RETRY_MS
            )
        decided: asyncio.Future[Verdict] = asyncio.get_running_loop().create_future()
        self._waiting.setdefault(change.id, set()).add(decided)
        try:
            async with asyncio.timeout(PROPOSE_TIMEOUT_S):
                await self._append(change, decided)
                return await decided
        except TimeoutError as exc:
            detail = f"change {change.id} was not read back in time, try it again"
            raise DispatchError(
                ErrorKind.LOG_UNAVAILABLE,
                detail,
                PENDING_RETRY_MS,
                outcome=Outcome.UNKNOWN,
            ) from exc
        finally:
            self._forget(change.id, decided)

    async def _append(self, change: Change, decided: asyncio.Future[Verdict]) -> None:
        # An append whose reply was lost may have taken effect; appending again is
        # harmless since the replay knows the change id.
        record = encode_record(change)
        while not decided.done():
            try:
                await self._follower.append(record)
                return
            except LogUnavailable as exc:
                extra = {"change": change.id, "reason": str(exc)}
                log.warning("append of a change failed", extra=extra)
                await self._timers.sleep(RETRY_S)

    def _on_decided(self, verdict: Verdict) -> None:
        for future in self._waiting.get(verdict.change, ()):
            if not future.done():
                future.set_result(verdict)

    def _forget(self, change: str, decided: asyncio.Future[Verdict]) -> None:
        waiting = self._waiting.get(change, set())
        waiting.discard(decided)
        if not waiting:
            self._waiting.pop(change, None)

    async def _publish_snapshots(self) -> None:
        while True:
            await self._timers.sleep(self._cfg.snapshot_s / SNAPSHOT_CHECKS)
            try:
                await self._publisher.check()
            except Exception:
                log.exception("publishing a snapshot failed")


def _compose(verdicts: list[Verdict]) -> tuple[Difference, ...]:
    """Merge successive changes into one difference per key."""
    merged: dict[str, Difference] = {}
    for verdict in verdicts:
        for item in verdict.differences:
            first = merged.get(item.key, item)
            merged[item.key] = Difference(item.key, first.before, item.after)
    return tuple(
        merged[key] for key in sorted(merged) if merged[key].before != merged[key].after
    )
