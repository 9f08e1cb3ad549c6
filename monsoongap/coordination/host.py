"""One entry host: its members, ownership, pool, jobs and lending put together."""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace

from monsoongap.coordination.admission_control import RETRY_AFTER_S
from monsoongap.coordination.borrowing import Borrowing
from monsoongap.coordination.coverage import Coverage
from monsoongap.coordination.host_calls import HostCalls
from monsoongap.coordination.job_record import JobRecord
from monsoongap.coordination.jobs import Jobs
from monsoongap.coordination.lending import Lending
from monsoongap.coordination.members import Members, Peer
from monsoongap.coordination.ownership import Owner, Ownership
from monsoongap.coordination.pool import Pool
from monsoongap.coordination.ports import (
    DatagramPort,
    PeerCallFailed,
    PeerCallPort,
    PeerDown,
    RunnerPort,
)
from monsoongap.coordination.repeated_call import call_repeatedly
from monsoongap.coordination.settling import Reconciler
from monsoongap.coordination.time_budget import critical_path_s
from monsoongap.errors import AnswerKind
from monsoongap.protocol.messages import (
    CancelCall,
    Claim,
    Configuration,
    Heartbeat,
    HostCard,
    Job,
    JobReply,
    RunnerInfo,
    ShareId,
    SubmitCall,
)
from monsoongap.settings import EntrySettings
from monsoongap.state.directory import Directory
from monsoongap.state.elsewhere import Elsewhere
from monsoongap.timers import MS_PER_S, TimerService
from monsoongap.util.background import BackgroundTasks

log = logging.getLogger(__name__)

# A takeover takes about half a second; beyond it the caller should come back.
OWNER_WAIT_S = 0.7
OWNER_STEP_S = 0.05
# A forwarded job answers within its deadline; this only bounds a leak.
FORWARD_TIMEOUT_S = 30.0
# Changed room is told to other owners at once, but not more often than this: short jobs
# can spare twice as long, and each beat costs every other owner a look at its queue.
ROOM_TOLD_S = 0.04


@dataclass(frozen=True, slots=True)
class HostPorts:
    """What a host needs from outside."""

    runners: RunnerPort
    peers: PeerCallPort
    datagrams: DatagramPort


class Host:
    """Takes jobs from callers; its parts act together over callbacks set here."""

    def __init__(
        self,
        cfg: EntrySettings,
        card: HostCard,
        ports: HostPorts,
        timers: TimerService,
        decode_config: Callable[[bytes], Configuration],
    ) -> None:
        self.card = card
        self.timers = timers
        self.leaving = False
        self.peers = ports.peers
        self._serial = 0
        self._requests = 0
        self._room_told_at = 0.0
        self._background = BackgroundTasks()
        self.directory = Directory(decode_config, self._config_changed)
        self.members = Members(
            card,
            timers,
            ports.datagrams,
            self._make_beat,
            self._heard,
            lambda: bool(self.ownership.claims),
        )
        self.ownership = Ownership(self.members, timers, self._acquired, self._released)
        self.borrowing = Borrowing(
            self.members, self.ownership, timers, ports.peers, self.directory
        )
        self.coverage = Coverage(timers, cfg.bounds.lease_s)
        self.pool = Pool(
            cfg.bounds,
            ports.runners,
            timers,
            self.directory,
            self.borrowing,
            self.coverage,
            self.ownership.yield_to_fence,
            self._room_changed,
        )
        self.lending = Lending(self.pool, self.members, timers)
        self.settling = Reconciler(
            self.pool, self.ownership, self.lending, timers, ports.peers
        )
        self.jobs = Jobs(
            self.pool, timers, self.directory.rule, self.settling.reconcile_everywhere
        )
        self.pool.on_offer = self.jobs.record_dispatch
        self.pool.on_held = self.members.beat_now
        self.pool.on_found = self.jobs.announce
        self._owners_told: dict[str, int] = {}
        self.borrowing.on_offer = self.jobs.record_dispatch
        self.borrowing.on_lost = self.settling.reconcile_lent
        self.elsewhere = Elsewhere(timers)
        self.calls = HostCalls(self)

    def start(self) -> None:
        """Begin to beat, to own and to place."""
        self.members.start()
        self.ownership.start()
        self.pool.start()
        self.jobs.start()
        self.lending.start()

    @property
    def ready(self) -> bool:
        """Tell whether new callers should come here."""
        known = self.directory.version > 0 and not self.leaving
        shares = self.ownership.shares_of(self.card.dc)
        return known and any(self.ownership.owner_of(share) for share in shares)

    def owns(self, dc: str) -> bool:
        """Tell whether this host owns a share of a data centre."""
        return any(share.dc == dc for share in self.ownership.claims)

    def leave(self) -> None:
        """Give up what is owned to whoever comes next; take no new role."""
        self.leaving = True
        self.ownership.leaving = True
        self.members.beat_now()

    def abandon(self) -> None:
        """Stop at once and tell nobody, as a killed process does."""
        self.timers.close()
        self.pool.abandon()
        self._background.cancel_all()

    # Jobs from callers.

    async def submit(self, job: Job, wait_s: float = 0.0) -> JobReply:
        """Have a caller's job seen through by the owner of its share.

        `wait_s` is how long the caller waits for the answer; 0 if it did not say.

        A lost owner is replaced by the next one, with all that is known of the
        job; the caller learns nothing of it.
        """
        share = self.ownership.home_share(job.id)
        version = self.directory.version
        self._requests += 1
        call = SubmitCall(
            job,
            self.card.name,
            version,
            share,
            wait_s=wait_s,
            number=self._requests,
        )
        return await self._submit(call)

    async def _submit(self, call: SubmitCall) -> JobReply:
        waited = 0.0
        while True:
            share = self.ownership.home_share(call.job.id)
            call = replace(call, share=share)
            owner = self.ownership.owner_of(share)
            if owner is None:
                if waited >= OWNER_WAIT_S:
                    return self._no_owner(call)
            else:
                try:
                    reply = await self._ask(owner, call)
                except PeerCallFailed as exc:
                    self._note_lost(owner, call, exc)
                    call = replace(call, again=True)
                else:
                    if reply.kind is not AnswerKind.HANDED_ON:
                        return reply
            waited += OWNER_STEP_S
            await self.timers.sleep(OWNER_STEP_S)

    def _no_owner(self, call: SubmitCall) -> JobReply:
        kind = AnswerKind.BROKEN if call.again else AnswerKind.REFUSED
        log.warning(
            "job has no owner",
            extra={
                "job": call.job.id,
                "dc": call.share.dc,
                "share": call.share.index,
                "outcome": kind.value,
            },
        )
        return JobReply(kind, "no owner", RETRY_AFTER_S)

    def _note_lost(self, owner: Owner, call: SubmitCall, exc: PeerCallFailed) -> None:
        assert owner.peer is not None
        if isinstance(exc, PeerDown):
            self.members.lost(owner.peer.card.name)
        log.warning(
            "owner lost",
            extra={
                "job": call.job.id,
                "owner": owner.peer.card.name,
                "reason": str(exc),
            },
        )

    async def _ask(self, owner: Owner, call: SubmitCall) -> JobReply:
        """Have an owner see a job through; raises `PeerCallFailed` when it changes."""
        if owner.peer is None:
            return await self.execute(call)
        heard_ms = round((self.timers.now() - owner.peer.last_heartbeat_at) * MS_PER_S)
        log.info(
            "job forwarded",
            extra={
                "job": call.job.id,
                "owner": owner.peer.card.name,
                "heard_ms": heard_ms,
            },
        )
        task = asyncio.create_task(self._hand_in(owner.peer, call))
        try:
            while not task.done():
                await asyncio.wait({task}, timeout=OWNER_WAIT_S / 2)
                now = self.ownership.owner_of(call.share)
                changed = now is not None and now.claim.fence > owner.claim.fence
                if changed and not task.done():
                    raise PeerCallFailed("another owner took over")
            return task.result()
        finally:
            task.cancel()

    async def execute(self, call: SubmitCall) -> JobReply:
        """See a job through here, or have it answered by the owner that has it."""
        home = None
        if not call.here and not self.jobs.knows(call.job.id):
            home = self.elsewhere.home_of(call.job.id)
        if home is None:
            return await self.jobs.submit(call)
        peer = self.members.peer(home)
        if peer is not None and self.members.is_live(home):
            log.info("job is elsewhere", extra={"job": call.job.id, "home": home})
            passed = replace(call, here=True, again=True)
            try:
                reply = await self._hand_in(peer, passed)
            except PeerCallFailed as exc:
                log.warning("home lost", extra={"job": call.job.id, "reason": str(exc)})
            else:
                if reply.kind is not AnswerKind.HANDED_ON:
                    return reply
        self.jobs.mark_job_in_doubt(call.job.id)
        return await self.jobs.submit(replace(call, again=True))

    async def _hand_in(self, peer: Peer, call: SubmitCall) -> JobReply:
        """Hand a job to another host; raises `PeerCallFailed`."""
        reply: JobReply = await call_repeatedly(
            self.peers,
            peer.address,
            call,
            JobReply,
            FORWARD_TIMEOUT_S,
            critical_path_s(call.job),
        )
        return reply

    def cancel(self, job: str) -> None:
        """Drop a job whose caller has left."""
        owner = self.ownership.owner_of(self.ownership.home_share(job))
        if owner is None:
            return
        if owner.peer is None:
            self.jobs.cancel(job)
        else:
            self._background.spawn(self._tell_cancel(owner.peer, job), "cancel")

    async def _tell_cancel(self, peer: Peer, job: str) -> None:
        try:
            await self.peers.call(peer.address, CancelCall(job), bool, 1.0)
        except PeerCallFailed:
            # The job ends by itself; nobody waits for its answer.
            log.info("owner not told of a cancelled job", extra={"job": job})

    # What is heard from outside.

    def set_runners(
        self, runners: tuple[RunnerInfo, ...], read_at: float, source: str = "store"
    ) -> None:
        """Take in a list of runners that was read at `read_at`."""
        self.directory.take_runners(runners, read_at, self.timers.now(), source)
        self.pool.set_listed(runners)
        self.ownership.note_runners(Counter(r.dc for r in runners), read_at)

    def _make_beat(
        self, hears: tuple[str, ...], known: tuple[HostCard, ...]
    ) -> Heartbeat:
        self._serial += 1
        claims = tuple(self.ownership.claims.values())
        return Heartbeat(
            self.card,
            self._serial,
            self.leaving,
            self.directory.version,
            claims,
            hears,
            self.pool.free_rooms() if not self.leaving else (),
            self.pool.waiting,
            self.jobs.recent_jobs(),
            known,
            self.pool.tell_held(claims),
        )

    def _heard(self, peer: Peer, new: bool) -> None:
        beat = peer.heartbeat
        assert beat is not None
        if beat.claims:
            self._tell_new_owner(peer, new)
            self.lending.note_claims(beat.claims)
            for share in self.coverage.record_claims(beat.claims, beat.runner_digests):
                self.jobs.mark_share_in_doubt(share)
            self.borrowing.hear_room(peer)
            self.elsewhere.hear(peer.card.name, beat.recent_jobs)
            if beat.free and self.pool.waiting:
                self.pool.pump()
        version, now = beat.config_version, self.timers.now()
        newer = version > self.directory.version
        if newer and self.directory.begin_fetch(version, now):
            self._background.spawn(self.calls.fetch_config(peer), "config")
        if new:
            self.members.greet(peer)

    def _tell_new_owner(self, peer: Peer, new: bool) -> None:
        """Tell an owner that could not hear this host of every job under way."""
        boot = peer.card.boot_ms
        if new or self._owners_told.get(peer.card.name) != boot:
            self._owners_told[peer.card.name] = boot
            self.jobs.announce_all()

    # What changes inside.

    def _config_changed(self) -> None:
        self.members.beat_now()
        self.pool.pump()

    def _acquired(self, claim: Claim) -> None:
        self.jobs.in_doubt_since[claim.share] = self.timers.now()
        self.lending.note_claims((claim,))
        self.pool.acquire(claim)

    def _released(self, share: ShareId) -> None:
        taken = self.jobs.hand_over(share)
        self.lending.leave_running(self.pool.release(share))
        for rec, call in taken:
            self._background.spawn(self._continue_elsewhere(rec, call), "hand-over")

    async def _continue_elsewhere(self, rec: JobRecord, call: SubmitCall) -> None:
        reply = await self._submit(call)
        if not rec.answer.done():
            rec.answer.set_result(reply)

    def _room_changed(self) -> None:
        """Tell other owners of changed room soon."""
        if not self.ownership.claims or self.leaving:
            return
        now = self.timers.now()
        if now - self._room_told_at < ROOM_TOLD_S:
            return
        if any(
            p.heartbeat is not None and p.heartbeat.queued for p in self.members.live()
        ):
            self._room_told_at = now
            self.members.beat_to_owners()
