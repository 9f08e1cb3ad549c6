"""The entry host: connects membership, ownership, pool, jobs, borrowing and lending."""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace

from monsoongap.coordination.admission_control import RETRY_AFTER_S
from monsoongap.coordination.awaited_jobs import AwaitedJobs
from monsoongap.coordination.borrowing import Borrowing
from monsoongap.coordination.config_fetch import ConfigFetcher
from monsoongap.coordination.coverage import Coverage
from monsoongap.coordination.handover import Handover
from monsoongap.coordination.heartbeats import HeartbeatParts, Peer
from monsoongap.coordination.host_calls import HostCalls
from monsoongap.coordination.job_record import JobRecord
from monsoongap.coordination.job_traces import JobTraces
from monsoongap.coordination.jobs import Jobs
from monsoongap.coordination.lending import Lending
from monsoongap.coordination.members import OWNER_TIMEOUT_S, Members
from monsoongap.coordination.open_call import OpenCall
from monsoongap.coordination.ownership import Owner, Ownership
from monsoongap.coordination.planned_placement import PlannedPlacement
from monsoongap.coordination.pool import Pool
from monsoongap.coordination.ports import (
    DatagramPort,
    NoReply,
    PeerCallFailed,
    PeerCallPort,
    PeerDown,
    PeerRestarted,
    RunnerPort,
)
from monsoongap.coordination.prior_owners import PriorOwners
from monsoongap.coordination.readiness import Readiness
from monsoongap.coordination.repeated_call import RepeatedCalls
from monsoongap.coordination.rerouting import Rerouting
from monsoongap.coordination.settling import Reconciler
from monsoongap.coordination.succession import Succession
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
    QueueRule,
    RunnerInfo,
    ShareId,
    SubmitCall,
)
from monsoongap.settings import EntrySettings
from monsoongap.state.directory import SOURCE_STORE, Directory
from monsoongap.state.evacuation import Evacuation
from monsoongap.state.job_locations import JobLocations, location_fields
from monsoongap.timers import MS_PER_S, Pause, Subscription, TimerService
from monsoongap.util.background import BackgroundTasks

log = logging.getLogger(__name__)

# A takeover takes about 0.5 s; after this the caller is answered and should retry.
OWNER_WAIT_S = 0.7
OWNER_POLL_S = 0.05
# After a start of all hosts the first owners claim their shares 0.6 s after their own
# start, and hosts start within 0.3 s of each other.
STARTUP_OWNER_WAIT_S = 1.2
# Owners that decline a job are asked again for this long; callers give up after 1.5 s.
DECLINED_WAIT_S = 2.0
# Bounds the call for a job whose caller did not say how long it waits.
FORWARD_TIMEOUT_S = 30.0
# A reply that comes later than this after the caller's deadline is of no use to it.
FORWARD_MARGIN_S = 1.0
# Changed capacity is advertised to other owners at once, but at most this often. Short
# jobs tolerate twice this delay, and each heartbeat makes every owner check its queue.
CAPACITY_INTERVAL_S = 0.04
IDLE_CHECK_S = 1.0
# A host that wakes from a pause has read what arrived meanwhile within this time.
CATCH_UP_S = 0.5


@dataclass(frozen=True, slots=True)
class HostPorts:
    """The ports through which a host reaches runners and other hosts."""

    runners: RunnerPort
    peers: PeerCallPort
    datagrams: DatagramPort


class Host:
    """Accepts jobs from callers; its parts are connected by callbacks set here."""

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
        self._started_at = timers.now()
        self.peers = ports.peers
        self.runners = ports.runners
        self.handover = Handover(self)
        self.succession = Succession(self)
        self._owners_changed = asyncio.Event()
        self._heartbeat_serial = 0
        # Numbers of requests do not repeat after a restart.
        self._request_count = card.boot_ms
        self._capacity_sent_at = 0.0
        self._told_queue = False
        self._background = BackgroundTasks()
        self._work_timers: tuple[Subscription, ...] = ()
        self.became_owner = asyncio.Event()
        self.directory = Directory(decode_config, self._config_changed)
        self.directory.evacuation = Evacuation(
            cfg.bounds.evac_s, self._evacuation_changed
        )
        self.members = Members(
            card,
            timers,
            ports.datagrams,
            self._make_heartbeat,
            self._heartbeat_received,
            lambda: bool(self.ownership.claims),
            lambda: self.ownership.claims_changed(),
            lambda: bool(self.jobs.recent_jobs()),
        )
        self.members.evacuated = lambda: self.directory.evacuation.dcs
        self.awaited = AwaitedJobs(timers)
        self.members.awaits = lambda: any(True for _ in self.awaited.held())
        self.ownership = Ownership(self.members, timers, self._acquired, self._released)
        self.rerouting = Rerouting(card.dc, self.ownership, self.directory)
        # The data centre of each job that was submitted to another one from here.
        self._rerouted: dict[str, str] = {}
        self.repeated_calls = RepeatedCalls(ports.peers)
        self.borrowing = Borrowing(
            self.members,
            self.ownership,
            timers,
            ports.peers,
            self.directory,
            self.repeated_calls,
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
            self._capacity_changed,
        )
        if cfg.placement.horizon_s > 0:
            self.pool.planned = PlannedPlacement(cfg.placement.horizon_s)
        self.lending = Lending(self.pool, self.members, timers, self.awaited)
        self.reconciler = Reconciler(
            self.pool, self.ownership, self.lending, timers, ports.peers
        )
        self.prior_owners = PriorOwners(
            self.members, self.ownership, self.pool, timers, ports.peers
        )
        self.prior_owners.on_confirmed = self.members.send_heartbeats_to_owners
        self.jobs = Jobs(
            self.pool,
            timers,
            self.directory.rule,
            self.reconciler.reconcile_everywhere,
            Readiness(self.pool, self.ownership, timers),
            self.awaited,
        )
        self.jobs.admission_control.is_evacuated = self.directory.is_evacuated
        self.pool.on_dispatch = self.jobs.record_dispatch
        self.pool.on_held = self.members.send_heartbeats
        self.pool.on_orphan_found = self.jobs.announce
        self._announced_to: dict[str, int] = {}
        self._claims_told: dict[str, tuple[tuple[Claim, ...], bool, bool]] = {}
        self.borrowing.on_dispatch = self.jobs.record_dispatch
        self.borrowing.awaited_at = self.jobs.awaited_at
        self.borrowing.on_lost = self.reconciler.reconcile_lent
        self.reconciler.on_doubt = self.jobs.record_doubt
        self.reconciler.on_settled = self.jobs.record_settled
        self.job_locations = JobLocations(timers)
        self.pool.location_of = self.job_locations.location_of
        self.pool.is_in_touch = self.ownership.is_in_touch
        self.pool.contact_at = self.ownership.contact_at
        self.pool.hears_former_owners = self.ownership.hears_former_owners
        self.pool.awaited_at = self._awaited_at
        self.traces = JobTraces(self.jobs, self.pool, self.job_locations)
        self.config_fetcher = ConfigFetcher(
            self.members, ports.peers, self.directory, timers
        )
        self.calls = HostCalls(self)

    def start(self) -> None:
        """Start sending heartbeats and acquiring shares."""
        self.timers.watch_pauses(self._resume_after)
        self.members.start()
        self.ownership.start()

    def start_work_timers(self) -> None:
        """Start the timers of jobs and tasks; they stop when nothing is left to do."""
        if not self._work_timers:
            self._work_timers = (
                self.pool.start(),
                *self.jobs.start(),
                self.lending.start(),
                self.timers.every(IDLE_CHECK_S, self._stop_idle_timers, "idle"),
            )

    def _resume_after(self, pause: Pause) -> None:
        """Announce this host again, and end the jobs whose callers gave up."""
        self.directory.list_age.resume(self.timers.now())
        self.directory.evacuation.age.resume(self.timers.now())
        if pause.length_s >= OWNER_TIMEOUT_S:
            self.members.send_heartbeats_to_all()
            self.jobs.end_expired()

    @property
    def is_catching_up(self) -> bool:
        """Whether requests read now may be from a pause that others noticed.

        Their callers may have sent them to other hosts since, whose announcements did
        not arrive here.
        """
        pause = self.timers.last_pause()
        since_s = self.timers.now() - pause.ended_at
        return pause.length_s >= OWNER_TIMEOUT_S and since_s < CATCH_UP_S

    def _stop_idle_timers(self) -> None:
        parts = (self.ownership.claims, self.jobs.records, self.pool.waiting)
        if any(parts) or self.lending.has_work or self.jobs.hands_over:
            return
        for subscription in self._work_timers:
            subscription.cancel()
        self._work_timers = ()

    @property
    def ready(self) -> bool:
        """Whether new callers should be sent to this host."""
        known = self.directory.version > 0 and self.directory.evacuation.is_known
        return known and not self.leaving and self.rerouting.serves()

    def owns(self, dc: str) -> bool:
        """Return whether this host owns a share of a data centre."""
        return any(share.dc == dc for share in self.ownership.claims)

    def leave(self) -> None:
        """Hand the owned shares over to other hosts, and acquire no new ones."""
        self.leaving = True
        self.ownership.leaving = True
        hands_over = self.pool.cfg.handover_s > 0
        shares = tuple(self.ownership.claims) if hands_over else ()
        self.handover.active = len(shares)
        for share in shares:
            self._background.spawn(self.handover.hand_over(share), "handover")
        self.members.send_heartbeats()

    def timers_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Call a function once after a delay."""

        async def call() -> None:
            await self.timers.sleep(delay_s)
            callback()

        self._background.spawn(call(), "later")

    def abandon(self) -> None:
        """Stop at once without notifying other hosts, like a killed process."""
        self.timers.close()
        self.pool.abandon()
        self.prior_owners.close()
        self.config_fetcher.close()
        self._background.cancel_all()

    # Jobs from callers.

    async def submit(self, job: Job, wait_s: float = 0.0) -> JobReply:
        """Have the owner of a job's share execute the job, and return its reply.

        `wait_s` is how long the caller waits for the answer, in seconds; 0 if it did
        not say.

        If the call to the owner fails, the job is submitted to the next owner. The
        caller does not notice a takeover.
        """
        rule = self.directory.rule(job.queue)
        share = self._share_of_new_job(job, rule)
        version = self.directory.version
        self._request_count += 1
        call = SubmitCall(
            job,
            self.card.name,
            version,
            share,
            wait_s=wait_s,
            number=self._request_count,
        )
        try:
            with self.awaited.hold(job.id, wait_s):
                return await self._submit(call, rule)
        finally:
            self._rerouted.pop(job.id, None)

    def _share_of_new_job(self, job: Job, rule: QueueRule | None) -> ShareId:
        return self.rerouting.share_of_new_job(job.id, rule.upstream if rule else "")

    async def _submit(
        self, call: SubmitCall, rule: QueueRule | None, stays: bool = False
    ) -> JobReply:
        """Submit a call to one owner after the other until one has a reply.

        `rule` is the queue by which the job was accepted. A job that `stays` goes to no
        other data centre.
        """
        waited_s = 0.0
        started_at = self.timers.now()
        # Once an owner was asked, the call may arrive there late: the job stays in that
        # data centre. One that is handed over has its runs there.
        asked = stays or call.is_handover
        while True:
            await self.timers.read_first()
            if asked:
                share = self.ownership.share_of_job(call.job.id, call.share.dc)
            elif waited_s < OWNER_WAIT_S / 2:
                share = self._share_of_new_job(call.job, rule)
            else:
                # The owner here can lend its tasks, even if it is evacuated.
                share = self.ownership.share_of_job(call.job.id)
            delayed = call.delayed or self.is_catching_up
            call = replace(call, share=share, delayed=delayed)
            current = call.after(self.timers.now() - started_at)
            if current.wait_left_s <= -FORWARD_MARGIN_S:
                return JobReply(AnswerKind.BROKEN, "its caller's deadline has passed")
            owner = self.ownership.owner_of(share)
            if owner is None:
                age_s = self.timers.now() - self._started_at
                if waited_s >= OWNER_WAIT_S and age_s >= STARTUP_OWNER_WAIT_S:
                    return self._no_owner(call)
            else:
                if not asked and share.dc != self.card.dc:
                    self._rerouted[call.job.id] = share.dc
                    self.directory.evacuation.counts.jobs_rerouted += 1
                asked = True
                sent_at = self.timers.now()
                try:
                    reply = await self._submit_to_owner(owner, current)
                except PeerCallFailed as exc:
                    self._handle_failed_call(owner, call, exc, sent_at)
                    call = replace(call, again=True, rule=rule)
                else:
                    if reply.kind is not AnswerKind.HANDED_ON:
                        return reply.without_promise() if call.again else reply
                    if self.timers.now() - started_at > DECLINED_WAIT_S:
                        return self._no_answer(call, owner, reply)
            waited_s += await self._wait_for_owners()

    async def _wait_for_owners(self) -> float:
        """Wait until an owner changes, or for a short time; return how long it was."""
        began_at = self.timers.now()
        try:
            async with asyncio.timeout(OWNER_POLL_S):
                await self._owners_changed.wait()
        except TimeoutError:
            pass
        # A paused host goes on only when it has resumed.
        await self.timers.sleep(0)
        return self.timers.now() - began_at

    def _wake_submissions(self) -> None:
        """Let the jobs that wait for an owner look for it again."""
        self._owners_changed.set()
        self._owners_changed = asyncio.Event()

    def _no_owner(self, call: SubmitCall) -> JobReply:
        kind = AnswerKind.BROKEN if call.again else AnswerKind.REFUSED
        log.warning(
            "job's share has no owner; answering the caller without a result",
            extra={
                "job": call.job.id,
                "dc": call.share.dc,
                "share": call.share.index,
                "outcome": kind.value,
            },
        )
        return JobReply(kind, "no owner", RETRY_AFTER_S)

    def _no_answer(self, call: SubmitCall, owner: Owner, reply: JobReply) -> JobReply:
        """Return an answer without a promise: an earlier call may yet arrive."""
        log.warning(
            "owner declines the job; answering the caller without a result",
            extra={
                "job": call.job.id,
                "owner": owner.peer.card.name if owner.peer else self.card.name,
                "reason": reply.detail,
            },
        )
        return JobReply(AnswerKind.BROKEN, reply.detail)

    def _handle_failed_call(
        self, owner: Owner, call: SubmitCall, exc: PeerCallFailed, sent_at: float
    ) -> None:
        assert owner.peer is not None
        if isinstance(exc, PeerDown):
            self.members.mark_down(owner.peer.card.name)
        log.warning(
            "call to the owner failed; submitting the job again",
            extra={
                "job": call.job.id,
                "owner": owner.peer.card.name,
                "reason": str(exc),
                "took_ms": round((self.timers.now() - sent_at) * MS_PER_S),
            },
        )

    async def _submit_to_owner(self, owner: Owner, call: SubmitCall) -> JobReply:
        """Have an owner execute a job.

        Raises `PeerCallFailed` also when another owner takes over its share.
        """
        if owner.peer is None:
            return await self.execute(call)
        heartbeat_age_ms = round(
            (self.timers.now() - owner.peer.last_heartbeat_at) * MS_PER_S
        )
        log.info(
            "job forwarded",
            extra={
                "job": call.job.id,
                "owner": owner.peer.card.name,
                "heard_ms": heartbeat_age_ms,
                "again": call.again or None,
                **location_fields(self.job_locations.location_of(call.job.id)),
            },
        )
        task = asyncio.create_task(self._send_submit(owner.peer, call))
        try:
            while not task.done():
                await asyncio.wait({task}, timeout=OWNER_WAIT_S / 2)
                current = self.ownership.owner_of(call.share)
                changed = (
                    current is not None and current.claim.fence > owner.claim.fence
                )
                if changed and not task.done():
                    raise PeerCallFailed("another owner took over")
            return task.result()
        finally:
            task.cancel()

    async def forward(self, call: SubmitCall) -> JobReply:
        """Forward a call to the host to which its share was transferred."""
        if call.share in self.ownership.claims:
            return JobReply(AnswerKind.HANDED_ON, "not an owner")
        rule = self.directory.rule(call.job.queue)
        return await self._submit(call, rule, stays=True)

    async def execute(
        self, call: SubmitCall, open_call: OpenCall | None = None
    ) -> JobReply:
        """Execute a job here, or forward it to the owner that already executes it.

        `open_call` is the call of another host, None for a caller of this host.
        """
        self.start_work_timers()
        if call.has_expired and not self.jobs.can_join(call):
            return JobReply(AnswerKind.BROKEN, "its caller's deadline has passed")
        arrived_at = self.timers.now()
        owner = None
        if not call.here and not self.jobs.can_join(call):
            # Another owner may have taken a job up again that ended here.
            owner = self.job_locations.owner_of_job(call.job.id)
            if owner is None and call.delayed:
                owner = await self.calls.locate(call.job.id)
                if call.share not in self.ownership.claims:
                    return JobReply(AnswerKind.HANDED_ON, "not an owner")
        if owner is None:
            self.traces.job_taken(call)
            if call.delayed and not self.jobs.knows(call.job.id):
                self.jobs.mark_job_in_doubt(call.job.id)
                # A copy that comes to another owner from now on is forwarded here.
                self.jobs.announce(call.job.id)
                self.members.send_heartbeats_to_owners()
                call = replace(call, again=True)
            current = call.after(self.timers.now() - arrived_at)
            return await self.jobs.submit(current, open_call)
        call = replace(call, again=True)
        current = call.after(self.timers.now() - arrived_at)
        reply = await self._submit_to_located(owner, current)
        if reply is not None:
            return reply
        call = call.after(self.timers.now() - arrived_at)
        if call.has_expired:
            return JobReply(AnswerKind.BROKEN, "its caller's deadline has passed")
        self.jobs.mark_job_in_doubt(call.job.id)
        return await self.jobs.submit(call, open_call)

    async def _submit_to_located(
        self, owner: str | None, call: SubmitCall
    ) -> JobReply | None:
        """Submit a job to the owner that executes it; return None if that one does not.

        A call without a reply is repeated as long as the owner announces the job.
        """
        while owner is not None and self.members.is_live(owner):
            peer = self.members.peer(owner)
            assert peer is not None
            log.info(
                "another owner executes the job; forwarding to it",
                extra={
                    "job": call.job.id,
                    "home": owner,
                    "again": call.again or None,
                    **location_fields(self.job_locations.location_of(call.job.id)),
                },
            )
            sent_at = self.timers.now()
            try:
                reply = await self._send_submit(peer, replace(call, here=True))
            except NoReply:
                if call.wait_s:
                    return JobReply(AnswerKind.BROKEN, "no reply from the job's owner")
                owner = self.job_locations.owner_of_job(call.job.id)
            except PeerCallFailed as exc:
                log.warning(
                    "call to the job's owner failed; executing the job here",
                    extra={
                        "job": call.job.id,
                        "home": owner,
                        "reason": str(exc),
                        "took_ms": round((self.timers.now() - sent_at) * MS_PER_S),
                    },
                )
                return None
            else:
                return None if reply.kind is AnswerKind.HANDED_ON else reply
        if owner is not None:
            self.traces.owner_not_live(call, owner)
        return None

    async def _send_submit(self, peer: Peer, call: SubmitCall) -> JobReply:
        """Send a job to another host and return its reply.

        Raises `PeerCallFailed`, also if a process of that host declines the job and an
        earlier one may have begun it.
        """
        timeout_s = FORWARD_TIMEOUT_S
        if call.wait_s:
            timeout_s = call.wait_left_s + FORWARD_MARGIN_S
        sending = self.repeated_calls.begin(peer)
        boot_ms = sending.card.boot_ms
        call = replace(call, sender=self.card.name, callee_boot_ms=boot_ms)
        try:
            reply: JobReply = await sending.reply(
                call.after, JobReply, timeout_s, critical_path_s(call.job)
            )
        finally:
            self.repeated_calls.end(sending)
        if not sending.may_have_begun(reply.boot_ms):
            return reply
        if reply.kind is AnswerKind.HANDED_ON:
            raise PeerRestarted("an earlier copy may have reached another process")
        return reply.without_promise()

    def cancel(self, job: str) -> None:
        """Cancel a job whose caller has disconnected."""
        dc = self._rerouted.get(job, "")
        owner = self.ownership.owner_of(self.ownership.share_of_job(job, dc))
        if owner is None:
            return
        if owner.peer is None:
            self.traces.cancel_received(job)
            self.jobs.cancel(job)
        else:
            self._background.spawn(self._send_cancel(owner.peer, job), "cancel")

    async def _send_cancel(self, peer: Peer, job: str) -> None:
        try:
            await self.peers.call(peer.address, CancelCall(job), bool, 1.0)
        except PeerCallFailed as exc:
            # The job ends by itself, and no caller waits for its answer.
            log.warning(
                "cancel call to the owner failed; the job goes on",
                extra={"job": job, "owner": peer.card.name, "reason": str(exc)},
            )

    def _awaited_at(self, job: str) -> float:
        """Return when a caller was last known to wait for a job with runs here."""
        return max(self.jobs.awaited_at(job), self.lending.awaited_at(job))

    # Input from the store and from other hosts.

    def set_runners(
        self,
        runners: tuple[RunnerInfo, ...],
        read_at: float,
        source: str = SOURCE_STORE,
    ) -> None:
        """Apply a list of runners read at `read_at`, a time of the timer service."""
        self.directory.update_runners(runners, read_at, self.timers.now(), source)
        self.pool.set_listed(runners)
        self.ownership.record_runner_counts(Counter(r.dc for r in runners), read_at)

    def _make_heartbeat(self, parts: HeartbeatParts) -> Heartbeat:
        self._heartbeat_serial += 1
        claims = tuple(self.ownership.claims.values())
        digests = self.pool.runner_digests(claims)
        for claim, digest in self.handover.in_transfer.values():
            claims, digests = (*claims, claim), (*digests, digest)
        # An owner that leaves lends what its own jobs don't need until its successor
        # does so.
        tells_free = parts.for_owners and not parts.brief
        return Heartbeat(
            self.card,
            self._heartbeat_serial,
            self.leaving,
            self.directory.version,
            claims,
            parts.live_hosts,
            self.pool.free_capacity() if tells_free else (),
            self.pool.waiting,
            self.jobs.recent_jobs() if parts.for_owners else (),
            parts.known_hosts,
            digests,
            parts.brief,
            self.directory.evacuation.offset,
            tuple(self.directory.evacuation.dcs),
            self.handover.active > 0,
            self.awaited.to_announce(bool(claims)) if parts.for_owners else (),
            # One that is not heard may own a share without this host knowing it.
            self.ownership.unheard() if claims else (),
        )

    def _heartbeat_received(self, peer: Peer, became_live: bool) -> None:
        heartbeat = peer.heartbeat
        assert heartbeat is not None
        is_report = peer.card.dc == self.card.dc and not heartbeat.claims
        self.awaited.record_announced(heartbeat.awaited, is_report)
        if became_live:
            self.jobs.close_calls(peer.card.name, peer.card.boot_ms)
            self.repeated_calls.host_restarted(peer.card)
            # They may lead to an earlier process of it; what is sent there is lost.
            self.peers.close_idle(peer.address)
        if heartbeat.claims:
            self._announce_jobs_to(peer, became_live)
            if heartbeat.queued:
                self._tell_capacity()
            self.lending.record_claims(heartbeat.claims)
            claims, digests = self.succession.without_released(heartbeat)
            for share in self.coverage.record_claims(claims, digests):
                self.jobs.mark_share_in_doubt(share)
            if not heartbeat.brief:
                self.borrowing.record_capacity(peer)
            self.job_locations.record_jobs(peer.card.name, heartbeat.recent_jobs)
            self.traces.check_announced()
            if heartbeat.free and self.pool.waiting:
                self.pool.schedule_placement()
        else:
            # It is told all jobs when it becomes an owner.
            self._announced_to.pop(peer.card.name, None)
        self._check_ownership_after(peer)
        self.config_fetcher.version_announced(heartbeat.config_version)
        self.directory.evacuation.accept(
            heartbeat.evacuated, heartbeat.evac_offset, peer.card.name
        )
        if became_live:
            self.members.send_heartbeat_to(peer)

    def _check_ownership_after(self, peer: Peer) -> None:
        """Check shares at once if a host's claims changed, or it begins to leave."""
        told = (peer.claims, peer.is_leaving, peer.hands_over)
        if self._claims_told.get(peer.card.name, ((), False, False)) != told:
            self._claims_told[peer.card.name] = told
            self.ownership.claims_changed()
            self._wake_submissions()

    def _announce_jobs_to(self, peer: Peer, became_live: bool) -> None:
        """Announce all active jobs to an owner that has not received them yet."""
        boot_ms = peer.card.boot_ms
        if became_live or self._announced_to.get(peer.card.name) != boot_ms:
            self._announced_to[peer.card.name] = boot_ms
            self.jobs.announce_all()

    # Callbacks of this host's own parts.

    def _config_changed(self) -> None:
        if self.ownership.claims:
            self.members.send_heartbeats()
        else:
            # Its owners announce the version to the other hosts of the data centre.
            self.members.send_heartbeats_to_owners()
        self.pool.schedule_placement()

    def _evacuation_changed(self) -> None:
        if self.ownership.claims:
            # Hosts elsewhere submit jobs to owners that they did not need until now.
            self.members.send_heartbeats_to_all()
        else:
            self.members.send_heartbeats_to_owners()
        self.pool.schedule_placement()

    def _acquired(self, claim: Claim) -> None:
        self.start_work_timers()
        self.became_owner.set()
        self.jobs.in_doubt_since[claim.share] = self.timers.now()
        self.lending.record_claims((claim,))
        self.pool.acquire(claim)
        self.prior_owners.acquired(claim)
        self._wake_submissions()

    def _released(self, share: ShareId) -> None:
        if not self.ownership.claims:
            self.became_owner.clear()
        in_transfer = self.handover.in_transfer.get(share)
        fence = in_transfer[0].fence if in_transfer else 0
        handed_over = self.jobs.hand_over(share, fence)
        dropped = self.pool.release(share)
        self.lending.leave_running(work for work in dropped if work.share is None)
        for work in dropped:
            if work.share is not None and self.pool.owns(work.share):
                # A task of a job that stays here; the next owner has its run.
                self.reconciler.reconcile_lent(work, (share,))
        for rec, call in handed_over:
            forwarding = self._forward_handed_over(rec, call)
            rec.forwarding = self._background.spawn(forwarding, "hand-over")

    async def _forward_handed_over(self, rec: JobRecord, call: SubmitCall) -> None:
        # The next owner must not handle the job by an older configuration.
        call = replace(call, version=self.directory.version)
        reply = await self._submit(call, call.rule)
        if not rec.answer.done():
            rec.answer.set_result(reply)

    def _capacity_changed(self) -> None:
        """Tell other owners of changed capacity, or that tasks begin to queue here."""
        queues = self.pool.waiting > 0
        begins_to_queue = queues and not self._told_queue
        self._told_queue = queues
        if begins_to_queue or any(p.queues for p in self.members.live_owners()):
            self._tell_capacity()

    def _tell_capacity(self) -> None:
        """Tell other owners of the free capacity, at a limited rate."""
        now = self.timers.now()
        if not self.ownership.claims:
            return
        if now - self._capacity_sent_at >= CAPACITY_INTERVAL_S:
            self._capacity_sent_at = now
            self.members.send_heartbeats_to_owners()
