"""Starting from the routing table of a peer while the host list is out."""

import logging
from collections.abc import Callable

from monsoongap.coordination.heartbeats import PeerLink
from monsoongap.coordination.host_list import HostListWatch
from monsoongap.coordination.membership_messages import (
    SNAPSHOT,
    Snapshot,
    SnapshotRequest,
)
from monsoongap.coordination.membership_peers import Peers
from monsoongap.coordination.membership_workers import WorkerTable
from monsoongap.coordination.parts import DrainState, HostIdentity
from monsoongap.errors import DispatchError, PeerUnreachable
from monsoongap.protocol.peer import PeerHandlers

log = logging.getLogger(__name__)

CALL_TIMEOUT_S = 1.0


class Bootstrap:
    """Asks peers for their table, and serves this host's own to them.

    `taken(snapshot)` is called with the table of a peer of this data centre.
    """

    def __init__(
        self,
        identity: HostIdentity,
        peers: Peers,
        workers: WorkerTable,
        watch: HostListWatch,
        link: PeerLink,
        handlers: PeerHandlers,
        drain: DrainState,
        taken: Callable[[Snapshot], None],
    ) -> None:
        self._own = identity
        self._peers = peers
        self._workers = workers
        self._watch = watch
        self._link = link
        self._drain = drain
        self._taken = taken
        handlers.register(SNAPSHOT, self._on_snapshot)

    async def run(self) -> None:
        """Ask one known peer after another until one of this data centre replies.

        Peers of other data centres are asked too: they know hosts of this one.
        """
        asked: set[str] = set()
        while (host := self._next_unasked(asked)) is not None:
            asked.add(host)
            try:
                snapshot = await self._link.call(
                    host, SNAPSHOT, SnapshotRequest(), CALL_TIMEOUT_S
                )
            except (PeerUnreachable, DispatchError) as exc:
                extra = {"peer": host, "reason": str(exc)}
                log.info("no snapshot from peer", extra=extra)
                continue
            if self._take(host, snapshot):
                return

    def _next_unasked(self, asked: set[str]) -> str | None:
        """Choose the next peer to ask, those of this data centre first."""
        rest = [info for info in self._peers.view() if info.name not in asked]
        rest.sort(key=lambda info: (info.dc != self._own.dc, info.name))
        return rest[0].name if rest else None

    def _take(self, host: str, snapshot: Snapshot) -> bool:
        """Take up a peer's table; True when it has this data centre's workers."""
        self._peers.adopt(snapshot.members)
        self._peers.refresh()
        if snapshot.dc != self._own.dc or not snapshot.workers:
            return False
        self._watch.version = max(self._watch.version, snapshot.list_version)
        self._workers.adopt(snapshot.workers)
        extra = {"peer": host, "workers": len(snapshot.workers)}
        log.info("routing table taken from peer", extra=extra)
        self._taken(snapshot)
        return True

    async def _on_snapshot(self, _request: SnapshotRequest) -> Snapshot:
        return Snapshot(
            dc=self._own.dc,
            list_version=self._watch.version,
            workers=self._workers.view(),
            members=self._peers.known(self._drain.draining),
            leaving=self._workers.leaving_news(),
        )
