"""Passing of jobs to their home on another host, and what follows when it is gone."""

import asyncio
import contextlib
import logging

from monsoongap.coordination.dispatch_verdict import error_outcome
from monsoongap.coordination.farewell import Farewells
from monsoongap.coordination.home_messages import (
    COLLECT,
    RECOVER,
    SUBMIT,
    CollectCall,
    CollectReply,
    OutcomeReply,
    RecoverCall,
    SubmitCall,
)
from monsoongap.coordination.parts import Directory, HostIdentity, PeerStatus
from monsoongap.coordination.ports import PeerPort
from monsoongap.coordination.recovery import LostHosts, Recovery
from monsoongap.coordination.recovery_collect import Collector
from monsoongap.errors import DispatchError, ErrorKind, PeerUnreachable
from monsoongap.protocol.ids import IssuedId
from monsoongap.protocol.messages import JobError, JobOutcome, JobRequest
from monsoongap.protocol.peer import PeerHandlers
from monsoongap.state.claims import ClaimRecord
from monsoongap.timers import TimerService
from monsoongap.util import rendezvous

log = logging.getLogger(__name__)

FORWARD_GRACE_S = 5.0
RETRY_S = 0.1
COLLECT_TRIES = 3
LOST_CHECK_S = 2.0
MS_PER_S = 1000


class Router:
    """Reaches the home of a job, or its lost home's workers, until a deadline."""

    def __init__(
        self,
        identity: HostIdentity,
        directory: Directory,
        peers: PeerPort,
        handlers: PeerHandlers,
        farewells: Farewells,
        lost: LostHosts,
        recovery: Recovery,
        collector: Collector,
        timers: TimerService,
    ) -> None:
        self._identity = identity
        self._directory = directory
        self._peers = peers
        self._farewells = farewells
        self._lost = lost
        self._recovery = recovery
        self._collector = collector
        self._timers = timers
        self.forwarded = 0
        handlers.register(RECOVER, self._serve_recover)
        handlers.register(COLLECT, self._serve_collect)

    async def to_issuer(
        self, issued: IssuedId, req: JobRequest, deadline_at: float
    ) -> JobOutcome:
        """Pass a job to the host that issued its id.

        An id whose process is gone is never admitted elsewhere. Nothing tells
        which workers its home used, so unless the workers have every answer the
        outcome is `unknown`.
        """
        submission = str(issued)
        while self._timers.now() < deadline_at:
            try:
                return await self._ask_issuer(issued, req, deadline_at)
            except PeerUnreachable:
                if self._farewells.knows(issued) or self._issuer_lost(issued):
                    return await self.collect(issued, req, deadline_at)
            except DispatchError as exc:
                if exc.kind is not ErrorKind.HOME_LOST:
                    raise
                return await self.collect(issued, req, deadline_at)
            await self._timers.sleep(RETRY_S)
        return self._unreachable(submission, issued.host)

    async def collect(
        self, issued: IssuedId, req: JobRequest, deadline_at: float
    ) -> JobOutcome:
        """Return the answers that the workers of a lost issuer kept, if all.

        An id that its issuer's farewell names as unused is proved `not_run`.
        """
        submission, tasks = str(issued), len(req.tasks)
        farewell = await self._farewells.find(issued)
        if farewell is not None and farewell.unused(issued.serial):
            detail = f"{issued.host} left before it admitted this id; use another"
            return error_outcome(submission, ErrorKind.DRAINING, detail)
        answer = None
        if issued.dc == self._identity.dc:
            answer = await self._collector.collect(submission, tasks, deadline_at)
        else:
            remaining_s = max(deadline_at - self._timers.now(), 0.0)
            call = CollectCall(submission, tasks, _ms(remaining_s))
            for host in self._hosts_of_dc(issued.dc)[:COLLECT_TRIES]:
                with contextlib.suppress(PeerUnreachable, DispatchError):
                    reply = await self._peers.call(
                        host, COLLECT, call, remaining_s + FORWARD_GRACE_S
                    )
                    answer = reply.answer
                    break
        if answer is not None and answer.submission == submission:
            return answer
        detail = f"{issued.host} lost its memory of this id"
        return error_outcome(submission, ErrorKind.HOME_LOST, detail)

    async def _serve_collect(self, call: CollectCall) -> CollectReply:
        deadline_at = self._timers.now() + call.remaining_ms / MS_PER_S
        return CollectReply(
            await self._collector.collect(call.submission, call.tasks, deadline_at)
        )

    def _hosts_of_dc(self, dc: str) -> list[str]:
        """Return the hosts of another data centre, those that answer first."""
        peers = [peer for peer in self._directory.peers() if peer.dc == dc]
        peers.sort(key=lambda peer: peer.status is not PeerStatus.LIVE)
        return [peer.name for peer in peers]

    async def to_claimant(
        self, claim: ClaimRecord, req: JobRequest, deadline_at: float
    ) -> JobOutcome:
        """Pass a job to the host that claimed its key, or recover it."""
        while self._timers.now() < deadline_at:
            try:
                if claim.home != self._identity.name:
                    return await self._ask_claimant(claim, req, deadline_at)
                return await self.recover(claim, deadline_at)
            except PeerUnreachable:
                await self._timers.sleep(RETRY_S)
        return self._unreachable(claim.key, claim.home)

    async def _ask_claimant(
        self, claim: ClaimRecord, req: JobRequest, deadline_at: float
    ) -> JobOutcome:
        """Wait for a claimant's reply, and see now and then whether it is lost.

        A paused process keeps its connections, so silence alone tells nothing.
        """
        call = asyncio.create_task(
            self.submit(claim.home, claim.key, req, deadline_at, claim)
        )
        try:
            while not call.done():
                await asyncio.wait({call}, timeout=LOST_CHECK_S)
                if not call.done():
                    with contextlib.suppress(PeerUnreachable):
                        return await self.recover(claim, deadline_at)
            return call.result()
        except PeerUnreachable:
            return await self.recover(claim, deadline_at)
        except DispatchError as exc:
            if exc.kind is not ErrorKind.HOME_LOST:
                raise
            return await self.recover(claim, deadline_at)
        finally:
            call.cancel()

    async def _ask_issuer(
        self, issued: IssuedId, req: JobRequest, deadline_at: float
    ) -> JobOutcome:
        """Wait for an issuer's reply, unless this data centre takes it for lost."""
        call = asyncio.create_task(
            self.submit(issued.host, str(issued), req, deadline_at)
        )
        try:
            while not call.done():
                await asyncio.wait({call}, timeout=LOST_CHECK_S)
                if not call.done() and self._issuer_lost(issued):
                    raise PeerUnreachable(f"{issued.host} is silent")
            return call.result()
        finally:
            call.cancel()

    def _issuer_lost(self, issued: IssuedId) -> bool:
        """Tell whether an issuer of this data centre is lost.

        Hosts of other data centres exchange heartbeats with few of this one's.
        """
        near = issued.dc == self._identity.dc
        return near and self._lost.gone(issued.host, issued.boot)

    async def to_any_peer(
        self, key: str, req: JobRequest, deadline_at: float
    ) -> JobOutcome | None:
        """Let a live peer of this data centre claim a key; None when none does."""
        for peer in self._directory.peers():
            if peer.dc != self._identity.dc or peer.status is not PeerStatus.LIVE:
                continue
            try:
                return await self.submit(peer.name, key, req, deadline_at)
            except (PeerUnreachable, DispatchError):
                continue
        return None

    async def submit(
        self,
        host: str,
        submission: str,
        req: JobRequest,
        deadline_at: float,
        claim: ClaimRecord | None = None,
    ) -> JobOutcome:
        """Call one host once; raises `PeerUnreachable` without a good reply."""
        remaining_s = max(deadline_at - self._timers.now(), 0.001)
        call = SubmitCall(submission, req, _ms(remaining_s), claim)
        self.forwarded += 1
        log.info(
            "forwarded",
            extra={"submission": submission, "peer": host, "reason": "home elsewhere"},
        )
        reply = await self._peers.call(
            host, SUBMIT, call, remaining_s + FORWARD_GRACE_S
        )
        return _checked(reply, submission)

    async def recover(self, claim: ClaimRecord, deadline_at: float) -> JobOutcome:
        """Recover a job in its home's data centre, here or at a peer.

        Raises `PeerUnreachable` while its home is not taken for lost.
        """
        remaining_s = max(deadline_at - self._timers.now(), 0.0)
        hosts = self._hosts_of(claim)
        if not hosts:
            raise PeerUnreachable(f"no host of {claim.dc} is live")
        host = rendezvous.choose(claim.key, hosts)
        if host == self._identity.name:
            return await self._recover_here(claim, remaining_s)
        call = RecoverCall(claim, _ms(remaining_s))
        try:
            reply = await self._peers.call(
                host, RECOVER, call, remaining_s + FORWARD_GRACE_S
            )
        except (PeerUnreachable, DispatchError) as exc:
            if claim.dc != self._identity.dc:
                raise PeerUnreachable(f"no recovery by {host}: {exc}") from exc
            return await self._recover_here(claim, remaining_s)
        return _checked(reply, claim.key)

    async def _recover_here(self, claim: ClaimRecord, remaining_s: float) -> JobOutcome:
        if not self._is_lost(claim):
            raise PeerUnreachable(f"{claim.home} may still be alive")
        return await self._recovery.recover(claim, remaining_s)

    async def _serve_recover(self, call: RecoverCall) -> OutcomeReply:
        if not self._is_lost(call.claim):
            detail = f"{call.claim.home} may still be alive"
            raise DispatchError(ErrorKind.HOME_UNREACHABLE, detail)
        outcome = await self._recovery.recover(call.claim, call.remaining_ms / MS_PER_S)
        return OutcomeReply.of(outcome)

    def _is_lost(self, claim: ClaimRecord) -> bool:
        if claim.home == self._identity.name:
            return claim.boot < self._identity.boot
        return self._lost.gone(claim.home, claim.boot)

    def _hosts_of(self, claim: ClaimRecord) -> list[str]:
        """Return the live hosts of a claim's data centre, its home left out.

        Beyond this data centre every listed host counts, since only a few of
        them exchange heartbeats with this one.
        """
        mine = claim.dc == self._identity.dc
        hosts = [
            peer.name
            for peer in self._directory.peers()
            if peer.dc == claim.dc
            and (peer.status is PeerStatus.LIVE or not mine)
            and (peer.name != claim.home or peer.boot > claim.boot)
        ]
        return [*hosts, self._identity.name] if mine else hosts

    def _unreachable(self, submission: str, host: str) -> JobError:
        return error_outcome(
            submission, ErrorKind.HOME_UNREACHABLE, f"{host} does not answer"
        )


def _checked(reply: OutcomeReply, submission: str) -> JobOutcome:
    """Return the outcome in a reply; raises when it is not about the submission."""
    outcome = reply.outcome()
    if outcome is None or outcome.submission != submission:
        raise PeerUnreachable("the reply is about another submission")
    return outcome


def _ms(seconds: float) -> int:
    return max(1, round(seconds * MS_PER_S))
