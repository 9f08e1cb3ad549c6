"""The workers and entry hosts of this data centre, as the scheduler needs them.

Follows the routing table: which credits are this host's own, which workers are
open to new tasks, and which peers to lend to and borrow from.
"""

from collections.abc import Callable

from monsoongap.coordination.admission import WorkerShape
from monsoongap.coordination.credits import divide
from monsoongap.coordination.credits_book import Account, CreditBook
from monsoongap.coordination.parts import (
    SETTLE_CONNECTIONS,
    Directory,
    HostIdentity,
    PeerStatus,
    Ticket,
    WorkerInfo,
    WorkerStatus,
)
from monsoongap.coordination.worker_health import Health, WorkerHealth
from monsoongap.settings import PlacementSection


class WorkerPool:
    """Keeps the credit book in step with the routing table and worker health."""

    def __init__(
        self,
        cfg: PlacementSection,
        identity: HostIdentity,
        directory: Directory,
        book: CreditBook,
        health: WorkerHealth,
    ) -> None:
        self._cfg = cfg
        self._identity = identity
        self._directory = directory
        self._book = book
        self._health = health
        self._last_live: dict[str, float] = {}
        self._divided: tuple[WorkerInfo, ...] | None = None
        self._dividing: frozenset[str] = frozenset()
        self.shapes: frozenset[WorkerShape] = frozenset()
        self.peers: set[str] = set()

    def refresh(self, now: float) -> None:
        """Take over the routing table as it is now."""
        self._follow_peers(now)
        workers = self._directory.workers()
        hosts = frozenset((*self.peers, self._identity.name))
        if workers is not self._divided or hosts != self._dividing:
            self._divide(workers, hosts)
        for info in workers:
            self.reopen(info.name, now)

    def _divide(self, workers: tuple[WorkerInfo, ...], hosts: frozenset[str]) -> None:
        """Divide slots and connections anew: the workers or the hosts changed."""
        self._divided, self._dividing = workers, hosts
        own = self._identity.name
        self._book.list_workers(workers, _division(own, hosts))
        for info in workers:
            share = divide(info.connections, info.name, hosts)[own]
            starts = share - SETTLE_CONNECTIONS
            self._book.accounts[info.name].limit = max(1, starts)
        self._health.keep_only({info.name for info in workers})
        self.shapes = frozenset(
            WorkerShape(info.cpus, info.memory_mb) for info in workers
        )

    def reopen(self, worker: str, now: float) -> None:
        """Open a worker to new tasks or close it, as its state demands."""
        account = self._book.accounts.get(worker)
        if account is None:
            return
        health = self._health.health(worker, now)
        usable = health is Health.OK or self._health.may_probe(worker, now)
        info = self._directory.worker(worker)
        is_live = info is not None and info.status is WorkerStatus.LIVE
        self._book.set_open(worker, usable and is_live)
        if info is None and not account.busy:
            del self._book.accounts[worker]

    def find(self, ticket: Ticket) -> Account | None:
        """Return the worker for a task, or None when none is free for it.

        Workers that the ticket avoids are taken only when no other open worker
        is large enough.
        """

        def fits(info: WorkerInfo) -> bool:
            return ticket.cpus <= info.cpus and ticket.memory_mb <= info.memory_mb

        if not ticket.avoid:
            return self._book.find(fits)

        def wanted(info: WorkerInfo) -> bool:
            return info.name not in ticket.avoid and fits(info)

        account = self._book.find(wanted)
        if account is not None:
            return account
        accounts = self._book.accounts.values()
        if any(account.open and wanted(account.info) for account in accounts):
            return None
        return self._book.find(fits)

    def _follow_peers(self, now: float) -> None:
        """Count the entry hosts that share this data centre's workers.

        A suspect stays counted for a while: should it be alive, dropping it
        would hand its credits out twice, while keeping it only leaves its slots to
        itself.
        """
        peers = set()
        for peer in self._directory.peers():
            if peer.dc != self._identity.dc:
                continue
            if peer.status is PeerStatus.LIVE:
                self._last_live[peer.name] = now
            grace_ends = self._last_live.get(peer.name, float("-inf"))
            grace_ends += self._cfg.suspect_grace_s
            if peer.status is not PeerStatus.LEAVING and now <= grace_ends:
                peers.add(peer.name)
        self.peers = peers


def _division(host: str, hosts: frozenset[str]) -> Callable[[WorkerInfo], int]:
    def own(info: WorkerInfo) -> int:
        return divide(info.slots, info.name, hosts)[host]

    return own
