"""Making sure that no unknown run of a job is left before it is begun anew.

An owner that is new to its share, or that lost a lender, cannot know what was begun
elsewhere. It asks every owner concerned to stop what it runs of the job; one that
has lost its runners since, or has not yet looked at all of them, does not answer for
them.
"""

import asyncio
import logging
from dataclasses import dataclass, field

from monsoongap.coordination.lending import Lending
from monsoongap.coordination.members import Peer
from monsoongap.coordination.ownership import Ownership
from monsoongap.coordination.pool import Pool
from monsoongap.coordination.ports import PeerCallFailed, PeerCallPort
from monsoongap.coordination.work import RunOutcome, Work
from monsoongap.protocol.messages import FindCall, FindReply, ShareId
from monsoongap.timers import TimerService
from monsoongap.util.background import Background

log = logging.getLogger(__name__)

FIND_TIMEOUT_S = 0.5
STEP_S = 0.1
# What keeps pasts from being settled is told so often; jobs are many, reasons few.
TELL_EVERY_S = 0.5
# A lender that answers no call for so long has long stopped the run or is gone.
LENT_SETTLE_S = 8.0


@dataclass(slots=True)
class Reconciler:
    """Has runs of jobs found and stopped, here and at other owners."""

    pool: Pool
    ownership: Ownership
    lending: Lending
    timers: TimerService
    peers: PeerCallPort
    _background: Background = field(default_factory=Background)
    _told_at: dict[tuple[str, ShareId], float] = field(default_factory=dict)
    _untold: int = 0

    async def reconcile_everywhere(self, job: str, home: ShareId) -> bool:
        """Have every other owner stop what it runs of a job; tell if all did.

        Runs on this host's own runners are only known, for the job to adopt them.
        `home` is the share that sees the job through.
        """
        shares = tuple(self.ownership.all_shares())
        return await self._settle(job, home, shares)

    def reconcile_lent(self, work: Work, shares: tuple[ShareId, ...]) -> None:
        """Make sure a lent task is over, then let it be placed again."""
        self.pool.on_offer(work)
        self._background.spawn(self._settle_lent(work, shares), "settle")

    async def _settle_lent(self, work: Work, shares: tuple[ShareId, ...]) -> None:
        began = self.timers.now()
        while self.timers.now() - began < LENT_SETTLE_S:
            # Its data centre may have been divided anew since.
            dcs = sorted({share.dc for share in shares})
            now = tuple(s for dc in dcs for s in self.ownership.shares_of(dc))
            if work.share and await self._settle(work.task.job, work.share, now, work):
                break
            await self.timers.sleep(STEP_S)
        # This host may own the lender's share by now, and hold the run itself.
        if not self.pool.adopt(work):
            work.on_end(work, RunOutcome.LOST, "")

    async def _settle(
        self,
        job: str,
        home: ShareId,
        shares: tuple[ShareId, ...],
        lent: Work | None = None,
    ) -> bool:
        asked: list[tuple[Peer, ShareId]] = []
        for share in shares:
            owner = self.ownership.owner_of(share)
            if owner is None:
                self._tell(job, share, "no owner known")
                return False
            if owner.peer is not None:
                asked.append((owner.peer, share))
            elif not self.pool.is_settled(share) or not self.lending.none_lent(job):
                self._tell(job, share, "not settled here")
                return False
        calls = (self._find(peer, share, job, home, lent) for peer, share in asked)
        if not all(await asyncio.gather(*calls)):
            return False
        # A runner may have been listed meanwhile.
        own = [s for s in shares if s in self.ownership.claims]
        return all(self.pool.is_settled(share) for share in own)

    async def _find(
        self, peer: Peer, share: ShareId, job: str, home: ShareId, lent: Work | None
    ) -> bool:
        """Have the owner of `share` stop all runs of a job; tell if none is left."""
        claim = self.ownership.claims.get(home)
        if claim is None:
            return False
        call = FindCall(job, share, claim)
        if lent is not None:
            call = FindCall(job, share, claim, lent.task, lent.run_number)
        try:
            reply: FindReply = await self.peers.call(
                peer.address, call, FindReply, FIND_TIMEOUT_S, fresh=True
            )
        except PeerCallFailed as exc:
            self._tell(job, share, "no reply", peer.card.name, str(exc))
            return False
        if not reply.settled:
            self._tell(job, share, "not settled there", peer.card.name)
        return reply.settled

    def _tell(
        self,
        job: str,
        share: ShareId,
        reason: str,
        peer: str | None = None,
        detail: str | None = None,
    ) -> None:
        """Tell why runs of a job are not known, each reason seldom."""
        now = self.timers.now()
        if now - self._told_at.get((reason, share), -TELL_EVERY_S) < TELL_EVERY_S:
            self._untold += 1
            return
        self._told_at[reason, share] = now
        log.info(
            "runs not found out",
            extra={
                "job": job,
                "dc": share.dc,
                "share": share.index,
                "peer": peer,
                "reason": reason,
                "detail": detail,
                "untold": self._untold or None,
            },
        )
        self._untold = 0
