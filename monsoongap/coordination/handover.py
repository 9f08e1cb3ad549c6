"""Handover of shares: an owner that leaves chooses their next owners itself.

The owner asks a successor to prepare: it takes the list of runners and polls each one
under the owner's fence, so that its connections are open. The owner serves meanwhile.
Then it stops placing tasks, and transfers the share with what it knows of the jobs. The
successor acquires the share at once and needs no time to find out what a previous owner
may have left running. A successor that refuses, or does not answer, is passed over.
Without one, the other hosts take over as after a failure.
"""

import asyncio
import logging
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from monsoongap.coordination.coverage import digest_of
from monsoongap.coordination.heartbeats import Peer
from monsoongap.coordination.ports import (
    PeerCallFailed,
    PeerDown,
)
from monsoongap.protocol.messages import (
    Claim,
    PrepareCall,
    PrepareReply,
    RunnerDigest,
    ShareId,
    TransferCall,
    TransferReply,
)
from monsoongap.state.health import RunnerHealth
from monsoongap.timers import MS_PER_S

if TYPE_CHECKING:
    from monsoongap.coordination.host import Host

log = logging.getLogger(__name__)

PREPARE_TIMEOUT_S = 0.6
# Both tries together must stay below the 0.7 s after which other hosts take over from a
# silent owner.
TRANSFER_TIMEOUT_S = 0.25
TRANSFER_TRIES = 2
CANDIDATES_POLL_S = 0.05


@dataclass(slots=True)
class HandoverCounts:
    """Counts of handovers, for the metrics."""

    completed: int = 0
    # No successor took the share; the others take over as after a failure.
    abandoned: int = 0
    passed_over: int = 0


@dataclass(slots=True)
class Handover:
    """The owner's side. `active` counts the shares that are being handed over."""

    host: "Host"
    counts: HandoverCounts = field(default_factory=HandoverCounts)
    active: int = 0
    # Claims released by a transfer of which the reply has not arrived.
    in_transfer: dict[ShareId, tuple[Claim, RunnerDigest]] = field(default_factory=dict)
    transferred: set[ShareId] = field(default_factory=set)

    async def hand_over(self, share: ShareId) -> None:
        """Hand a share over to a successor, or let the others take it over."""
        host = self.host
        started_at = host.timers.now()
        passed_over: set[str] = set()
        successor = ""
        try:
            async with asyncio.timeout(host.pool.cfg.handover_s):
                successor = await self._find_successor(share, passed_over)
        except TimeoutError:
            pass
        finally:
            self.in_transfer.pop(share, None)
            self.active -= 1
            if successor:
                self.counts.completed += 1
            else:
                self.counts.abandoned += 1
            self.counts.passed_over += len(passed_over)
            log.info(
                "handover finished",
                extra={
                    "dc": share.dc,
                    "share": share.index,
                    "successor": successor or None,
                    "passed_over": len(passed_over),
                    "took_ms": round((host.timers.now() - started_at) * MS_PER_S),
                },
            )
            host.members.send_heartbeats()

    async def _find_successor(self, share: ShareId, passed_over: set[str]) -> str:
        """Transfer a share to the first host that takes it; return its name.

        Returns the names of several hosts if the share is divided, and an empty text if
        none takes it.
        """
        ownership = self.host.ownership
        while (claim := ownership.claims.get(share)) is not None:
            peer = ownership.successor(share, passed_over)
            if peer is not None:
                if await self._prepare(peer, claim) and await self._transfer(
                    peer, share
                ):
                    return peer.card.name
                passed_over.add(peer.card.name)
                continue
            owners = ownership.division(share, passed_over)
            if owners is None:
                if passed_over or ownership.has_candidates(share):
                    break
                # Hosts that were stopped just before start again soon.
                await self.host.timers.sleep(CANDIDATES_POLL_S)
                continue
            refused = await self._prepare_all(owners.values(), claim)
            if not refused and share in ownership.claims:
                await self._divide(owners, share)
                return ",".join(owner.card.name for owner in owners.values())
            passed_over |= refused
        return ""

    async def _prepare(self, peer: Peer, claim: Claim, parts: float = 1.0) -> bool:
        host = self.host
        links = host.pool.links.values()
        call = PrepareCall(
            host.card.name,
            claim,
            tuple(link.info for link in links if link.share == claim.share),
            host.directory.runners,
            host.timers.now() - host.directory.list_age.read_at,
            parts,
        )
        try:
            reply: PrepareReply | None = await self._call(
                peer, call, PrepareReply, PREPARE_TIMEOUT_S
            )
        except PeerDown:
            return False
        if reply is not None and not reply.ready:
            log.info(
                "successor is not ready; passing it over",
                extra={"successor": peer.card.name, "reason": reply.reason},
            )
        return reply is not None and reply.ready

    async def _transfer(self, peer: Peer, share: ShareId) -> bool:
        host = self.host
        claim = host.ownership.claims.get(share)
        if claim is None:
            return False
        digest = host.pool.runner_digests((claim,))[0]
        call = TransferCall(
            *(host.card.name, claim, digest, *host.jobs.transfer_of(share)),
            located=host.job_locations.by_owner(),
            health=self._health_of(share),
        )
        self.in_transfer[share] = (claim, digest)
        self.transferred.add(share)
        host.ownership.transfer(share)
        refused = False
        for attempt in range(TRANSFER_TRIES):
            try:
                reply: TransferReply | None = await self._call(
                    peer, call, TransferReply, TRANSFER_TIMEOUT_S, attempt > 0
                )
            except PeerDown:
                # The first try was refused a connection, so no transfer was sent.
                refused = attempt == 0
                break
            if reply is not None:
                if reply.claim is not None:
                    return True
                # A first call may have been accepted and its reply lost.
                refused = attempt == 0
                break
        self._take_back(call, refused)
        return False

    def _health_of(self, share: ShareId) -> tuple[tuple[str, float, int, float], ...]:
        now = self.host.timers.now()
        links = self.host.pool.links.items()
        health = [(id_, k.table.health) for id_, k in links if k.share == share]
        return tuple(
            (id_, h.slowness, h.bad_ends, max(h.suspect_until - now, 0.0))
            for id_, h in health
            if h != RunnerHealth()
        )

    async def _prepare_all(self, peers: Collection[Peer], claim: Claim) -> set[str]:
        """Have hosts prepare at the same time; return those that are passed over."""
        by_name = {peer.card.name: peer for peer in peers}
        owned = Counter(peer.card.name for peer in peers)
        ready = await asyncio.gather(
            *(
                self._prepare(peer, claim, len(peers) / owned[name])
                for name, peer in by_name.items()
            )
        )
        return {
            name for name, is_ready in zip(by_name, ready, strict=True) if not is_ready
        }

    async def _divide(self, owners: dict[ShareId, Peer], share: ShareId) -> None:
        """Transfer the parts of a share, which no host that stays can carry alone.

        A job and its runs may now belong to different parts, so its new owner has them
        stopped at the others. A part whose owner does not answer is taken over by
        others as after a failure.
        """
        host = self.host
        claim = host.ownership.claims[share]
        digest = host.pool.runner_digests((claim,))[0]
        held = [id_ for id_, k in host.pool.links.items() if k.share == share]
        started, in_doubt, in_doubt_ms = host.jobs.transfer_of(share)
        calls = []
        for part, peer in owners.items():
            target = Claim(part, len(owners), claim.fence)
            jobs = (job for job in (*started, *in_doubt) if target.covers(part.dc, job))
            runners = digest_of(id_ for id_ in held if target.covers(part.dc, id_))
            part_digest = RunnerDigest(runners, digest.in_doubt_ms)
            call = TransferCall(
                *(host.card.name, claim, part_digest, (), tuple(jobs), in_doubt_ms),
                *(part, len(owners), host.job_locations.by_owner()),
                self._health_of(share),
            )
            calls.append(self._send_part(peer, call))
        self.in_transfer[share] = (claim, digest)
        self.transferred.add(share)
        host.ownership.transfer(share)
        await asyncio.gather(*calls)

    async def _send_part(self, peer: Peer, call: TransferCall) -> None:
        for attempt in range(TRANSFER_TRIES):
            try:
                reply: TransferReply | None = await self._call(
                    peer, call, TransferReply, TRANSFER_TIMEOUT_S, attempt > 0
                )
            except PeerDown:
                return
            if reply is not None:
                return

    def _take_back(self, call: TransferCall, refused: bool) -> None:
        """Reacquire a share that its successor refused, or did not confirm.

        One that did not answer may have started tasks: the share is in doubt then.
        """
        host, claim = self.host, call.claim
        self.in_transfer.pop(claim.share, None)
        if host.ownership.has_newer_claim(claim):
            return
        if refused:
            host.coverage.record_claims((claim,), (call.runner_digest,))
        host.ownership.take_back(claim)
        if refused:
            host.jobs.record_transfer(call)
        self.transferred.discard(claim.share)

    async def _call(
        self,
        peer: Peer,
        call: PrepareCall | TransferCall,
        reply_type: type[Any],
        timeout_s: float,
        fresh: bool = True,
    ) -> Any:
        """Return the reply to a call, None if there is none; raises `PeerDown`."""
        try:
            return await self.host.peers.call(
                peer.address, call, reply_type, timeout_s, fresh
            )
        except PeerCallFailed as exc:
            log.info(
                "call to the successor failed",
                extra={
                    "successor": peer.card.name,
                    "call": type(call).__name__,
                    "reason": str(exc),
                },
            )
            if isinstance(exc, PeerDown):
                self.host.members.mark_down(peer.card.name)
                raise
            return None
