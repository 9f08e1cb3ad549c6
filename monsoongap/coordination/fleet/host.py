"""One entry host: its members, ownership, pool, jobs and lending put together."""

import asyncio
import logging
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import Any

from monsoongap.coordination.fleet.directory import Directory
from monsoongap.coordination.fleet.elsewhere import Elsewhere
from monsoongap.coordination.fleet.jobs import (
    DECIDE_TICK_S,
    RETRY_AFTER_S,
    JobRecord,
    Jobs,
)
from monsoongap.coordination.fleet.lending import Lending
from monsoongap.coordination.fleet.link import Over
from monsoongap.coordination.fleet.members import Members, Peer
from monsoongap.coordination.fleet.ownership import Owner, Ownership
from monsoongap.coordination.fleet.pool import Pool, Work
from monsoongap.coordination.fleet.ports import (
    DatagramPort,
    PeerCallPort,
    PeerGone,
    PeerLost,
    RunnerPort,
)
from monsoongap.protocol.fleet import (
    AnswerKind,
    Beat,
    CancelCall,
    Claim,
    ConfigCall,
    ConfigReply,
    Configuration,
    FindCall,
    HostCard,
    JobReply,
    LendCall,
    RunnersCall,
    RunnersReply,
    ShareId,
    SubmitCall,
)
from monsoongap.timers import TimerService
from monsoongap.util.background import Background

log = logging.getLogger(__name__)

# A takeover takes about half a second; beyond it the caller should come back.
OWNER_WAIT_S = 0.7
OWNER_STEP_S = 0.05
# A forwarded job answers within its deadline; this only bounds a leak.
FORWARD_TIMEOUT_S = 30.0
JOBS_TICK_S = 0.05
# A lender that answers no call for so long has long stopped the run or is gone.
LENT_SETTLE_S = 8.0
# Changed room is told to other owners at once, but not more often than this.
ROOM_TOLD_S = 0.02
CONFIG_TIMEOUT_S = 1.0
CONFIG_WAIT_S = 0.5


@dataclass(frozen=True, slots=True)
class HostPorts:
    """What a host needs from outside."""

    runners: RunnerPort
    peers: PeerCallPort
    datagrams: DatagramPort


class Host:
    """Takes jobs from callers and calls from other hosts."""

    def __init__(
        self,
        card: HostCard,
        lease_s: float,
        ports: HostPorts,
        timers: TimerService,
        decode_config: Callable[[bytes], Configuration],
    ) -> None:
        self.card = card
        self.timers = timers
        self.leaving = False
        self._peers = ports.peers
        self._serial = 0
        self._room_told_at = 0.0
        self._background = Background()
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
        self.pool = Pool(
            lease_s,
            ports.runners,
            timers,
            self._upstream_of,
            self._try_borrow,
            self._may_borrow,
            self.ownership.yield_to_fence,
            self._room_changed,
            self._offered,
            self._cancel_borrowed,
        )
        self.jobs = Jobs(self.pool, timers, self.directory.rule, self._find_all)
        self.lending = Lending(
            card.name,
            self.pool,
            self.members,
            timers,
            ports.peers,
            self._lender_lost,
            lambda: self.directory.version,
            lambda share: self.ownership.claims.get(share),
        )
        self.elsewhere = Elsewhere(timers)

    def start(self) -> None:
        """Begin to beat, to own and to place."""
        self.members.start()
        self.ownership.start()
        self.pool.start()
        self.timers.every(DECIDE_TICK_S, self.jobs.decide, "decide")
        self.timers.every(JOBS_TICK_S, self._tick, "jobs")

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

    async def submit(self, call: SubmitCall) -> JobReply:
        """Have a job seen through by the owner of this data centre.

        A lost owner is replaced by the next one, with all that is known of the
        job; the caller learns nothing of it.
        """
        waited = 0.0
        while True:
            share = self.ownership.home_share(call.job.id)
            call = replace(call, share=share)
            owner = self.ownership.owner_of(share)
            if owner is None:
                if waited >= OWNER_WAIT_S:
                    if call.again:
                        return JobReply(AnswerKind.BROKEN, "owner lost")
                    return JobReply(AnswerKind.REFUSED, "no owner", RETRY_AFTER_S)
                waited += OWNER_STEP_S
                await self.timers.sleep(OWNER_STEP_S)
                continue
            if owner.peer is None:
                reply = await self._see_through(call)
            else:
                try:
                    reply = await self._forward(owner, call)
                except PeerLost as exc:
                    if isinstance(exc, PeerGone):
                        self.members.lost(owner.peer.card.name)
                    log.warning(
                        "owner lost",
                        extra={"job": call.job.id, "reason": str(exc)},
                    )
                    call = replace(call, again=True)
                    waited += OWNER_STEP_S
                    await self.timers.sleep(OWNER_STEP_S)
                    continue
            if reply.kind is AnswerKind.HANDED_ON:
                waited += OWNER_STEP_S
                await self.timers.sleep(OWNER_STEP_S)
                continue
            return reply

    async def _see_through(self, call: SubmitCall) -> JobReply:
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
                reply: JobReply = await self._peers.call(
                    peer.address, passed, JobReply, FORWARD_TIMEOUT_S
                )
            except PeerLost as exc:
                log.warning("home lost", extra={"job": call.job.id, "reason": str(exc)})
            else:
                if reply.kind is not AnswerKind.HANDED_ON:
                    return reply
        self.jobs.doubt(call.job.id)
        return await self.jobs.submit(replace(call, again=True))

    def cancel(self, job: str) -> None:
        """Drop a job whose caller has left."""
        owner = self.ownership.owner_of(self.ownership.home_share(job))
        if owner is None:
            return
        if owner.peer is None:
            self.jobs.cancel(job)
        else:
            self._background.spawn(self._tell_cancel(owner.peer, job), "cancel")

    async def _forward(self, owner: Owner, call: SubmitCall) -> JobReply:
        """Hand a job to its owner; raises `PeerLost` when the owner changes."""
        assert owner.peer is not None
        address = owner.peer.address
        log.info(
            "job forwarded",
            extra={
                "job": call.job.id,
                "owner": owner.peer.card.name,
                "heard_ms": round((self.timers.now() - owner.peer.heard_at) * 1000),
            },
        )
        task = asyncio.create_task(
            self._peers.call(address, call, JobReply, FORWARD_TIMEOUT_S)
        )
        try:
            while not task.done():
                await asyncio.wait({task}, timeout=OWNER_WAIT_S / 2)
                now = self.ownership.owner_of(call.share)
                changed = now is not None and now.claim.fence > owner.claim.fence
                if changed and not task.done():
                    raise PeerLost("another owner took over")
            return task.result()
        finally:
            task.cancel()

    async def _tell_cancel(self, peer: Peer, job: str) -> None:
        try:
            await self._peers.call(peer.address, CancelCall(job), bool, 1.0)
        except PeerLost:
            # The job ends by itself; nobody waits for its answer.
            log.info("owner not told of a cancelled job", extra={"job": job})

    # Calls from other hosts.

    async def answer(self, request: Any) -> Any:
        """Answer a call of another host."""
        match request:
            case SubmitCall():
                await self._catch_up(request.version)
                known = request.here and self.jobs.knows(request.job.id)
                owned = not request.here and request.share in self.ownership.claims
                if not known and not owned:
                    return JobReply(AnswerKind.HANDED_ON, "not an owner")
                return await self._see_through(request)
            case LendCall():
                await self._catch_up(request.version)
                return await self.lending.lend(request)
            case CancelCall(job):
                self.jobs.cancel(job)
                self.lending.cancel_runs_of(job)
                return True
            case FindCall(job):
                self.jobs.cancel(job)
                return await self.lending.stop_runs_of(request)
            case ConfigCall():
                return ConfigReply(self.directory.version, self.directory.text)
            case RunnersCall():
                age = self.timers.now() - self.directory.runners_read_at
                return RunnersReply(age, self.directory.runners)
            case _:
                raise TypeError(f"no such call: {type(request).__name__}")

    async def _catch_up(self, version: int) -> None:
        """Wait until the configuration that a caller's host acted on is here."""
        until = self.timers.now() + CONFIG_WAIT_S
        while self.directory.version < version and self.timers.now() < until:
            await self.timers.sleep(OWNER_STEP_S / 5)

    async def fetch_runners(self) -> bool:
        """Get the list of runners from another host when the store fails."""
        for peer in list(self.members.live()):
            try:
                reply: RunnersReply = await self._peers.call(
                    peer.address, RunnersCall(), RunnersReply, CONFIG_TIMEOUT_S
                )
            except PeerLost:
                continue
            read_at = self.timers.now() - reply.age_s
            if reply.runners and read_at > self.directory.runners_read_at:
                self.set_runners(reply.runners, read_at)
                return True
        return False

    def set_runners(self, runners: tuple[Any, ...], read_at: float) -> None:
        """Take in a list of runners."""
        self.directory.runners = runners
        self.directory.runners_read_at = read_at
        self.pool.set_listed(runners)
        self.ownership.note_runners(Counter(r.dc for r in runners))

    # What changes inside.

    def _make_beat(self, hears: tuple[str, ...], known: tuple[HostCard, ...]) -> Beat:
        self._serial += 1
        return Beat(
            self.card,
            self._serial,
            self.leaving,
            self.directory.version,
            tuple(self.ownership.claims.values()),
            hears,
            self.pool.free_rooms() if not self.leaving else (),
            self.pool.waiting,
            self.jobs.begun_lately(),
            known,
        )

    def _heard(self, peer: Peer, new: bool) -> None:
        beat = peer.beat
        assert beat is not None
        if beat.claims:
            self.lending.hear_room(peer)
            self.elsewhere.hear(peer.card.name, beat.begun)
            if beat.free and self.pool.waiting:
                self.pool.pump()
        version, now = beat.config_version, self.timers.now()
        newer = version > self.directory.version
        if newer and self.directory.begin_fetch(version, now):
            self._background.spawn(self._fetch_config(peer), "config")
        if new:
            self.members.beat_now()

    async def _fetch_config(self, peer: Peer) -> None:
        try:
            reply: ConfigReply = await self._peers.call(
                peer.address, ConfigCall(), ConfigReply, CONFIG_TIMEOUT_S
            )
        except PeerLost:
            log.info("configuration not fetched", extra={"host": peer.card.name})
            return
        self.directory.accept_text(reply.text, f"host {peer.card.name}")

    def _config_changed(self) -> None:
        self.members.beat_now()
        self.pool.pump()

    def _acquired(self, claim: Claim) -> None:
        self.jobs.in_doubt_since[claim.share] = self.timers.now()
        self.lending.note_claim(claim)
        self.pool.acquire(claim)

    def _released(self, share: ShareId) -> None:
        taken = self.jobs.hand_over(share)
        self.lending.leave_running(self.pool.release(share))
        for rec, call in taken:
            self._background.spawn(self._continue_elsewhere(rec, call), "hand-over")

    async def _continue_elsewhere(self, rec: JobRecord, call: SubmitCall) -> None:
        reply = await self.submit(call)
        if not rec.answer.done():
            rec.answer.set_result(reply)

    def _upstream_of(self, queue: str) -> str | None:
        rule = self.directory.rule(queue)
        return rule.upstream if rule else None

    def _try_borrow(self, work: Work, upstream: str) -> bool:
        return self.lending.try_borrow(work, upstream)

    def _may_borrow(self) -> bool:
        return self.lending.has_room()

    def _offered(self, work: Work) -> None:
        if work.home is not None:
            self.jobs.note_offer(work)

    def _cancel_borrowed(self, work: Work) -> None:
        self.lending.cancel_borrowed(work)

    def _room_changed(self) -> None:
        """Tell other owners of changed room soon."""
        if not self.ownership.claims or self.leaving:
            return
        now = self.timers.now()
        wanted = any(p.beat is not None and p.beat.queued for p in self.members.live())
        if wanted and now - self._room_told_at >= ROOM_TOLD_S:
            self._room_told_at = now
            self.members.beat_to_owners()

    def _lender_lost(self, work: Work, shares: tuple[ShareId, ...]) -> None:
        self._background.spawn(self._settle_lent(work, shares), "settle")

    async def _settle_lent(self, work: Work, shares: tuple[ShareId, ...]) -> None:
        """Make sure a lent task is over, then let it be placed again."""
        self.pool.on_offer(work)
        began = self.timers.now()
        while self.timers.now() - began < LENT_SETTLE_S:
            if work.home and await self._find(work.task.job, work.home, shares):
                break
            await self.timers.sleep(2 * OWNER_STEP_S)
        work.on_over(work, Over.LOST, "")

    async def _find_all(self, job: str, home: ShareId) -> bool:
        """Have every other owner stop what it runs of a job.

        Runs on this host's own runners are only known, for the job to adopt them.
        """
        return await self._find(job, home, tuple(self.ownership.all_shares()))

    async def _find(self, job: str, home: ShareId, shares: tuple[ShareId, ...]) -> bool:
        """Have the owners of shares stop what they run of a job; tell if all did."""
        calls: list[Awaitable[bool]] = []
        for share in shares:
            owner = self.ownership.owner_of(share)
            if owner is None:
                return False
            if owner.peer is not None:
                calls.append(self.lending.find(owner.peer, share, job, home))
            elif not self.pool.is_settled(share) or not self.lending.none_lent(job):
                return False
        return all(await asyncio.gather(*calls))

    def _tick(self) -> None:
        self.jobs.tick()
        self.lending.tick()
