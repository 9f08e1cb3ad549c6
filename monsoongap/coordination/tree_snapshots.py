"""Publishes the settings tree as snapshots before the log forgets its records."""

import hashlib
import logging

from monsoongap.coordination.tree_follow import LogFollower
from monsoongap.coordination.tree_replica import TreeReplica
from monsoongap.errors import LogUnavailable
from monsoongap.settings import TreeSection
from monsoongap.state.tree import encode_record, take_snapshot
from monsoongap.timers import TimerService

log = logging.getLogger(__name__)

RECORDS_PER_SNAPSHOT = 500
SNAPSHOT_CHECKS = 10
SNAPSHOT_SPREAD = 0.5


class SnapshotPublisher:
    """Re-publishes the tree before the log's retention ends.

    Any host may publish. Each waits a different while, by its name, and looks again
    before it does, so that usually one publishes; two at once are harmless.
    """

    def __init__(
        self,
        cfg: TreeSection,
        host: str,
        follower: LogFollower,
        replica: TreeReplica,
        timers: TimerService,
    ) -> None:
        turn = int.from_bytes(hashlib.sha256(host.encode()).digest()[:2]) / 65_536
        spread = turn * SNAPSHOT_SPREAD
        self._turn_s = turn * cfg.snapshot_s / SNAPSHOT_CHECKS
        self._after_s = cfg.snapshot_s * (1 + spread)
        self._after_records = int(RECORDS_PER_SNAPSHOT * (1 + spread))
        self._follower = follower
        self._replica = replica
        self._timers = timers

    async def check(self) -> None:
        """Publish a snapshot when none was seen for long enough."""
        replica = self._replica
        if not replica.loaded or replica.offset == 0 or not self._follower.reachable():
            return
        if not self._due():
            return
        await self._timers.sleep(self._turn_s)
        if not self._due():
            return
        try:
            await self._follower.append(encode_record(take_snapshot(replica.tree)))
        except LogUnavailable as exc:
            log.warning("snapshot not published", extra={"reason": str(exc)})
            return
        replica.count(snapshots_published=1)
        log.info("snapshot published", extra={"offset": replica.offset})

    def _due(self) -> bool:
        if self._replica.records_since_snapshot >= self._after_records:
            return True
        seen_at = self._replica.snapshot_seen_at
        since = self._replica.started_at if seen_at is None else seen_at
        return self._timers.now() - since >= self._after_s
