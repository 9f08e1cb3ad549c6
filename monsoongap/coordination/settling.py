"""Reconciliation: makes sure that no unknown run of a job is left before it is started.

An owner that is new to its share, or whose call to a lender failed, cannot know which
runs were started elsewhere. It asks the owner of each share concerned to stop its runs
of the job. An owner that no longer owns the runners, or that has not polled all of them
yet, replies that the share is not reconciled.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from monsoongap.coordination.heartbeats import Peer
from monsoongap.coordination.lending import Lending
from monsoongap.coordination.ownership import Ownership
from monsoongap.coordination.pool import Pool
from monsoongap.coordination.ports import PeerCallFailed, PeerCallPort
from monsoongap.coordination.work import RunOutcome, Work
from monsoongap.protocol.messages import FindCall, FindReply, ShareId
from monsoongap.timers import TimerService
from monsoongap.util.background import BackgroundTasks

log = logging.getLogger(__name__)

STOP_RUNS_TIMEOUT_S = 0.5
RETRY_S = 0.1
# Many jobs fail to be reconciled for the same reason; each reason is logged this often.
LOG_INTERVAL_S = 0.5
# A lender whose share has had no live owner for this long has stopped the run or is
# down. One that is heard goes on with the run, even if calls to it fail.
RECONCILE_LENT_TIMEOUT_S = 8.0


@dataclass(slots=True)
class Reconciler:
    """Stops the unknown runs of jobs, here and at other owners.

    `on_doubt` is called with each task whose lender was lost, `on_settled` once no run
    of it is left there.
    """

    pool: Pool
    ownership: Ownership
    lending: Lending
    timers: TimerService
    peers: PeerCallPort
    on_doubt: Callable[[Work], None] = lambda work: None
    on_settled: Callable[[Work], None] = lambda work: None
    _background: BackgroundTasks = field(default_factory=BackgroundTasks)
    _logged_at: dict[tuple[str, ShareId], float] = field(default_factory=dict)
    _suppressed: int = 0

    async def reconcile_everywhere(self, job: str, job_share: ShareId) -> bool:
        """Have every other owner stop its runs of a job; return whether all did.

        Runs on this host's own runners go on, for the job to adopt them. `job_share` is
        the job's share, which this host owns.
        """
        shares = tuple(self.ownership.all_shares())
        return await self._reconcile(job, job_share, shares)

    def reconcile_lent(self, work: Work, shares: tuple[ShareId, ...]) -> None:
        """Make sure that a lent task has ended, then let it be placed again.

        `shares` are those that the lender owned.
        """
        work.settling = True
        self.on_doubt(work)
        self._background.spawn(self._reconcile_lent(work, shares), "settle")

    async def _reconcile_lent(self, work: Work, shares: tuple[ShareId, ...]) -> None:
        owned_at = self.timers.now()
        while (
            work.share in self.ownership.claims
            and self.timers.now() - owned_at < RECONCILE_LENT_TIMEOUT_S
        ):
            # The number of shares of the lender's data centre may have changed since.
            dcs = sorted({share.dc for share in shares})
            current_shares = tuple(
                s for dc in dcs for s in self.ownership.shares_of(dc)
            )
            if work.share and await self._reconcile(
                work.task.job, work.share, current_shares, work
            ):
                break
            if any(self.ownership.owner_of(share) for share in current_shares):
                owned_at = self.timers.now()
            await self.timers.sleep(RETRY_S)
        work.settling = False
        self.on_settled(work)
        # This host may own the lender's share by now, and the runner of the run. An
        # orphan run of a job that has ended is stopped.
        if work.withdrawn or not self.pool.adopt(work):
            work.on_end(work, RunOutcome.LOST, "")

    async def _reconcile(
        self,
        job: str,
        job_share: ShareId,
        shares: tuple[ShareId, ...],
        lent: Work | None = None,
    ) -> bool:
        remote: list[tuple[Peer, ShareId]] = []
        for share in shares:
            owner = self.ownership.owner_of(share)
            if owner is None:
                self._log_not_reconciled(job, share, "no known owner")
                return False
            if owner.peer is not None:
                remote.append((owner.peer, share))
            elif not self.pool.is_reconciled(share) or not self.lending.stop_lent(job):
                self._log_not_reconciled(job, share, "not reconciled here")
                return False
        calls = (
            self._stop_runs_at(peer, share, job, job_share, lent)
            for peer, share in remote
        )
        if not all(await asyncio.gather(*calls)):
            return False
        # A runner may have joined the list during the calls.
        own = [s for s in shares if s in self.ownership.claims]
        return all(self.pool.is_reconciled(share) for share in own)

    async def _stop_runs_at(
        self,
        peer: Peer,
        share: ShareId,
        job: str,
        job_share: ShareId,
        lent: Work | None,
    ) -> bool:
        """Have the owner of `share` stop the runs of a job; return if none is left."""
        claim = self.ownership.claims.get(job_share)
        if claim is None:
            return False
        home = self.ownership.members.card.name
        call = FindCall(job, share, claim, home=home)
        if lent is not None:
            call = replace(call, task=lent.task, run=lent.run_number)
        try:
            reply: FindReply = await self.peers.call(
                peer.address, call, FindReply, STOP_RUNS_TIMEOUT_S, fresh=True
            )
        except PeerCallFailed as exc:
            self._log_not_reconciled(job, share, "no reply", peer.card.name, str(exc))
            return False
        if not reply.settled:
            self._log_not_reconciled(
                job, share, "not reconciled by its owner", peer.card.name
            )
        return reply.settled

    def _log_not_reconciled(
        self,
        job: str,
        share: ShareId,
        reason: str,
        peer: str | None = None,
        detail: str | None = None,
    ) -> None:
        """Log why a share is not reconciled, at a limited rate for each reason."""
        now = self.timers.now()
        if now - self._logged_at.get((reason, share), -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            self._suppressed += 1
            return
        self._logged_at[reason, share] = now
        log.info(
            "share not reconciled",
            extra={
                "job": job,
                "dc": share.dc,
                "share": share.index,
                "peer": peer,
                "reason": reason,
                "detail": detail,
                "untold": self._suppressed or None,
            },
        )
        self._suppressed = 0
