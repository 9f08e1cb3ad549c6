"""Passes the settings tree between hosts by digest, also across data centres.

The log is the usual way; this one reaches the hosts that are cut off from it. A
host in touch with the log asks one peer per period, one that is cut off asks
several, and news is passed on at once, so a change spreads in a few rounds.
"""

import asyncio
import logging
import random

from monsoongap.coordination.parts import Directory, HostIdentity, PeerStatus
from monsoongap.coordination.ports import PeerPort
from monsoongap.coordination.tree_follow import LogFollower
from monsoongap.coordination.tree_replica import TreeReplica
from monsoongap.errors import DispatchError, PeerUnreachable
from monsoongap.protocol.peer import PeerHandlers
from monsoongap.protocol.tree import (
    EXCHANGE,
    STATUS,
    ExchangeReply,
    ExchangeRequest,
    HostStatus,
    StatusRequest,
    TreeDigest,
)
from monsoongap.state.tree import take_snapshot
from monsoongap.timers import TimerService

log = logging.getLogger(__name__)

EXCHANGE_TIMEOUT_S = 1.0
STATUS_TIMEOUT_S = 2.0
IDLE_FANOUT = 1
NEWS_FANOUT = 2
CUT_OFF_FANOUT = 3
NEWS_PAUSE_S = 0.25
PULL_DELAY_S = 0.5


class TreeGossip:
    """Exchanges digests with peers and pulls what this host lacks."""

    def __init__(
        self,
        identity: HostIdentity,
        peers: PeerPort,
        handlers: PeerHandlers,
        directory: Directory,
        follower: LogFollower,
        replica: TreeReplica,
        timers: TimerService,
    ) -> None:
        self._identity = identity
        self._peers = peers
        self._directory = directory
        self._follower = follower
        self._replica = replica
        self._timers = timers
        self._rng = random.Random(f"{identity.name}:{identity.boot}")
        self._order: list[str] = []
        self._news = asyncio.Event()
        self._pull: asyncio.Task[None] | None = None
        handlers.register(EXCHANGE, self._on_exchange)
        handlers.register(STATUS, self._on_status)
        replica.subscribe(self._news.set)

    async def run(self, period_s: float) -> None:
        """Exchange digests until cancelled: each period, and soon after news."""
        while True:
            fanout = NEWS_FANOUT if self._news.is_set() else IDLE_FANOUT
            self._news.clear()
            if not self._follower.reachable():
                fanout = CUT_OFF_FANOUT
            await self._round(fanout)
            await self._timers.sleep(NEWS_PAUSE_S)
            try:
                async with asyncio.timeout(max(period_s - NEWS_PAUSE_S, 0.0)):
                    await self._news.wait()
            except TimeoutError:
                continue

    def close(self) -> None:
        """Cancel the pull that is under way."""
        if self._pull is not None:
            self._pull.cancel()

    def heard(self, host: str, theirs: TreeDigest) -> None:
        """Pull from a peer whose digest is newer; report one that contradicts.

        One pull runs at a time, since any peer's reply brings this host up to it.
        """
        self._compare(host, theirs)
        if self._pull is not None and not self._pull.done():
            return
        if self._newer(theirs):
            self._pull = asyncio.create_task(
                self._pull_from(host, theirs), name=f"tree-pull:{host}"
            )

    async def statuses(self, subtree: str) -> tuple[HostStatus, ...]:
        """Ask every peer what it has in force; this host's own line included."""
        names = [peer.name for peer in self._directory.peers()]
        asked = (self._ask_status(name, subtree) for name in names)
        lines = [self.own_status(subtree), *await asyncio.gather(*asked)]
        return tuple(sorted(lines, key=lambda line: line.host))

    def own_status(self, subtree: str) -> HostStatus:
        """Return what this host has in force for a subtree."""
        digest = self._replica.digest()
        log_age_s = self._follower.log_age_s()
        return HostStatus(
            host=self._identity.name,
            dc=self._identity.dc,
            offset=digest.offset,
            digest=digest.digest,
            revision=self._replica.tree.subtree(subtree).revision,
            in_force_s=round(self._replica.in_force_s(subtree), 3),
            log_age_s=None if log_age_s is None else round(log_age_s, 3),
            loaded=digest.loaded,
        )

    async def _round(self, fanout: int) -> None:
        names = self._pick(fanout)
        await asyncio.gather(*(self._exchange(name) for name in names))

    def _pick(self, count: int) -> list[str]:
        """Return the next peers of a shuffled order that takes in every peer."""
        usable = [
            peer.name
            for peer in self._directory.peers()
            if peer.status is not PeerStatus.LEAVING
        ]
        kept = [name for name in self._order if name in usable]
        fresh = [name for name in usable if name not in kept]
        self._rng.shuffle(fresh)
        order = fresh + kept
        self._order = order[count:] + order[:count]
        return order[:count]

    async def _pull_from(self, host: str, theirs: TreeDigest) -> None:
        # The log usually brings the same records a moment later.
        if self._follower.reachable():
            await self._timers.sleep(PULL_DELAY_S)
        if self._newer(theirs):
            await self._exchange(host)

    async def _exchange(self, host: str) -> None:
        self._replica.count(exchanges=1)
        request = ExchangeRequest(self._identity.name, self._replica.digest())
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                reply = await self._peers.call(
                    host, EXCHANGE, request, EXCHANGE_TIMEOUT_S
                )
        except (PeerUnreachable, DispatchError, TimeoutError) as exc:
            self._replica.count(exchange_failures=1)
            log.debug("exchange failed", extra={"peer": host, "reason": str(exc)})
            return
        self._take(host, reply)

    def _take(self, host: str, reply: ExchangeReply) -> None:
        replica = self._replica
        if reply.snapshot is not None:
            replica.install(reply.snapshot, host)
        if reply.start <= replica.offset:
            for record in reply.records:
                replica.apply(record)
        if reply.have.loaded and replica.offset >= reply.have.offset:
            replica.mark_loaded()
        self._compare(host, reply.have)

    def _compare(self, host: str, theirs: TreeDigest) -> None:
        ours = self._replica.digest()
        if theirs.offset == ours.offset and theirs.digest != ours.digest:
            self._replica.report_mismatch(host, theirs.digest)

    def _newer(self, theirs: TreeDigest) -> bool:
        ours = self._replica.digest()
        return theirs.offset > ours.offset or (theirs.loaded and not ours.loaded)

    async def _on_exchange(self, request: ExchangeRequest) -> ExchangeReply:
        self.heard(request.host, request.have)
        return self._reply_to(request.have)

    def _reply_to(self, theirs: TreeDigest) -> ExchangeReply:
        replica = self._replica
        have = replica.digest()
        if theirs.offset >= have.offset:
            return ExchangeReply(have)
        records = replica.records_from(theirs.offset)
        if records is None:
            return ExchangeReply(have, snapshot=take_snapshot(replica.tree))
        return ExchangeReply(have, start=theirs.offset, records=records)

    async def _on_status(self, request: StatusRequest) -> HostStatus:
        return self.own_status(request.subtree)

    async def _ask_status(self, name: str, subtree: str) -> HostStatus:
        request = StatusRequest(subtree)
        try:
            async with asyncio.timeout(STATUS_TIMEOUT_S):
                return await self._peers.call(name, STATUS, request, STATUS_TIMEOUT_S)
        except (PeerUnreachable, DispatchError, TimeoutError) as exc:
            peer = self._directory.peer(name)
            reason = str(exc) or "no answer in time"
            return HostStatus(name, peer.dc if peer else "", error=reason)
