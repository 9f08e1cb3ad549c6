"""Tasks that run on another owner's runners.

The borrower sends a task to an owner whose heartbeat told of room; the lender starts
it at once or says that it has none, and answers when the run is over. A lender that
no longer hears a borrower, or hears that it was replaced, stops what it runs for it,
so that the borrower, or whoever comes after it, can count on the run being over.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from monsoongap.coordination.fleet.link import Over
from monsoongap.coordination.fleet.members import Members, Peer
from monsoongap.coordination.fleet.pool import Pool, Work
from monsoongap.coordination.fleet.ports import PeerCallPort, PeerLost
from monsoongap.protocol.fleet import (
    CancelCall,
    Claim,
    FindCall,
    FindReply,
    FreeRoom,
    LendCall,
    LendReply,
    LendResult,
    ShareId,
)
from monsoongap.timers import TimerService
from monsoongap.util.background import Background

log = logging.getLogger(__name__)

# Room that was told longer ago than this is no longer counted on.
ROOM_FRESH_S = 0.3
# A lender gives a borrower that went silent up after this.
BORROWER_SILENT_S = 1.0
LEND_TIMEOUT_S = 30.0
FIND_TIMEOUT_S = 0.5
FIND_WAIT_S = 0.3
FIND_STEP_S = 0.02

_RESULT_OF = {Over.DONE: LendResult.DONE, Over.FAILED: LendResult.FAILED}
_OVER_OF = {
    LendResult.DONE: Over.DONE,
    LendResult.FAILED: Over.FAILED,
    LendResult.NO_ROOM: Over.NO_ROOM,
    LendResult.GONE: Over.LOST,
    LendResult.LEFT_RUNNING: Over.LOST,
}


@dataclass(slots=True, eq=False)
class Lent:
    """A task that runs here for another owner."""

    work: Work
    borrower: str
    claim: Claim
    reply: asyncio.Future[LendReply]


@dataclass(slots=True)
class Lending:
    """Both sides of lending."""

    name: str
    pool: Pool
    members: Members
    timers: TimerService
    peers: PeerCallPort
    on_lost: Callable[[Work, tuple[ShareId, ...]], None]
    config_version: Callable[[], int]
    claim_on: Callable[[ShareId], Claim | None]
    _fences: dict[ShareId, int] = field(default_factory=dict)
    _lent: dict[int, Lent] = field(default_factory=dict)
    _rooms: dict[str, tuple[float, list[FreeRoom]]] = field(default_factory=dict)
    _background: Background = field(default_factory=Background)

    # The borrower's side.

    def hear_room(self, peer: Peer) -> None:
        """Take in the room that an owner told of."""
        assert peer.beat is not None
        for claim in peer.beat.claims:
            self.note_claim(claim)
        self._rooms[peer.card.name] = (self.timers.now(), list(peer.beat.free))

    def has_room(self) -> bool:
        """Tell whether any owner lately told of room."""
        now = self.timers.now()
        told = self._rooms.values()
        return any(rooms and now - at <= ROOM_FRESH_S for at, rooms in told)

    def try_borrow(self, work: Work, upstream: str) -> bool:
        """Send a task to an owner that should have room for it."""
        if work.home is None or self.claim_on(work.home) is None:
            return False
        now = self.timers.now()
        for name, (told_at, rooms) in sorted(self._rooms.items(), key=_least_room):
            if now - told_at > ROOM_FRESH_S or not self.members.is_live(name):
                continue
            for i, free in enumerate(rooms):
                fits = free.upstream == upstream and free.room.holds(work.size)
                if fits and (not work.label or work.label in free.labels):
                    left = free.room.minus(work.size)
                    rooms[i] = FreeRoom(free.upstream, left, free.labels)
                    self._borrow(work, name)
                    return True
        return False

    def _borrow(self, work: Work, lender: str) -> None:
        peer = self.members.peer(lender)
        assert peer is not None
        work.borrowed_from = lender
        log.info(
            "task borrowed room",
            extra={"job": work.task.job, "task": work.task.index, "lender": lender},
        )
        self._background.spawn(self._run_there(work, peer), "borrow")

    async def _run_there(self, work: Work, peer: Peer) -> None:
        shares = tuple(c.share for c in peer.beat.claims) if peer.beat else ()
        claim = self.claim_on(work.home) if work.home else None
        if claim is None:
            work.borrowed_from = ""
            work.on_over(work, Over.NO_ROOM, "")
            return
        call = LendCall(
            work.task,
            work.run,
            work.payload,
            work.size,
            work.queue,
            self.config_version(),
            self.name,
            claim,
            work.estimate_s,
            work.label,
            work.rack,
        )
        try:
            reply = await self.peers.call(peer.address, call, LendReply, LEND_TIMEOUT_S)
        except PeerLost:
            log.warning(
                "lender lost", extra={"job": work.task.job, "lender": peer.card.name}
            )
            work.borrowed_from = ""
            self.on_lost(work, shares)
            return
        work.borrowed_from = ""
        work.run = max(work.run, reply.run)
        if reply.result is LendResult.LEFT_RUNNING:
            self.on_lost(work, shares)
            return
        if reply.result is LendResult.NO_ROOM:
            self._rooms.pop(peer.card.name, None)
        else:
            self.pool.on_offer(work)
        work.on_over(work, _OVER_OF[reply.result], "")

    def cancel_borrowed(self, work: Work) -> None:
        """Tell the lender that a task is no longer wanted."""
        peer = self.members.peer(work.borrowed_from)
        if peer is not None:
            self._background.spawn(self._cancel_there(work, peer), "cancel")

    async def _cancel_there(self, work: Work, peer: Peer) -> None:
        try:
            await self.peers.call(
                peer.address, CancelCall(work.task.job), bool, FIND_TIMEOUT_S
            )
        except PeerLost:
            # The call that carries the task fails too, and settles it.
            log.info("lender not told", extra={"job": work.task.job})

    async def find(self, peer: Peer, share: ShareId, job: str, home: ShareId) -> bool:
        """Have the owner of `share` stop all runs of a job; tell if none is left.

        `home` is the share that sees the job through.
        """
        claim = self.claim_on(home)
        if claim is None:
            return False
        try:
            reply: FindReply = await self.peers.call(
                peer.address, FindCall(job, share, claim), FindReply, FIND_TIMEOUT_S
            )
        except PeerLost:
            return False
        return reply.settled

    # The lender's side.

    async def lend(self, call: LendCall) -> LendReply:
        """Run a task of another owner at once, or refuse."""
        if not self.note_claim(call.claim):
            log.warning(
                "borrower was replaced",
                extra={"job": call.task.job, "borrower": call.home},
            )
            return LendReply(LendResult.NO_ROOM, call.run)
        fut: asyncio.Future[LendReply] = asyncio.get_running_loop().create_future()

        def over(work: Work, how: Over, runner: str) -> None:
            self._lent.pop(id(work), None)
            result = _RESULT_OF.get(how, LendResult.GONE)
            if how in (Over.NO_ROOM, Over.UNHEALTHY, Over.OLD_RUN):
                result = LendResult.NO_ROOM
            if not fut.done():
                fut.set_result(LendReply(result, work.run))

        work = Work(
            call.task,
            call.queue,
            call.payload,
            call.size,
            (0.0,),
            over,
            None,
            estimate_s=call.estimate_s,
            label=call.label,
            rack=call.rack,
            run=call.run,
        )
        already = self.pool.runs_of(call.task.job)
        twice = any(run.task == call.task for _, run in already)
        if twice or not self.pool.place_now(work):
            return LendReply(LendResult.NO_ROOM, call.run)
        self._lent[id(work)] = Lent(work, call.home, call.claim, fut)
        return await fut

    def leave_running(self, works: list[Work]) -> None:
        """Tell borrowers that their tasks go on under another owner."""
        for work in works:
            lent = self._lent.pop(id(work), None)
            if lent is not None and not lent.reply.done():
                reply = LendReply(LendResult.LEFT_RUNNING, work.run)
                lent.reply.set_result(reply)

    async def stop_runs_of(self, call: FindCall) -> FindReply:
        """Stop what runs of a job here; tell whether nothing is left."""
        if not self.note_claim(call.claim):
            return FindReply(False)
        until = self.timers.now() + FIND_WAIT_S
        while self.pool.runs_of(call.job):
            self.cancel_runs_of(call.job)
            if self.timers.now() > until:
                return FindReply(False)
            await self.timers.sleep(FIND_STEP_S)
        return FindReply(self.pool.is_settled(call.share))

    def note_claim(self, claim: Claim) -> bool:
        """Tell whether no higher claim of the same share is known."""
        known = self._fences.get(claim.share, 0)
        self._fences[claim.share] = max(known, claim.fence)
        return claim.fence >= known

    def none_lent(self, job: str) -> bool:
        """Stop what of a job runs here for another owner; tell if nothing does."""
        lent = [held for held in self._lent.values() if held.work.task.job == job]
        for held in lent:
            self.pool.withdraw(held.work)
        return not lent

    def cancel_runs_of(self, job: str) -> None:
        """Stop what runs here of a job; a run that is being stopped is left alone."""
        for link, run in self.pool.runs_of(job):
            link.stop(run)

    def tick(self) -> None:
        """Stop what runs for borrowers that went silent or were replaced."""
        for lent in list(self._lent.values()):
            peer = self.members.peer(lent.borrower)
            silent = (
                peer is None or self.timers.now() - peer.heard_at > BORROWER_SILENT_S
            )
            replaced = self._fences.get(lent.claim.share, 0) > lent.claim.fence
            if silent or replaced:
                self.pool.withdraw(lent.work)


def _least_room(told: tuple[str, tuple[float, list[FreeRoom]]]) -> int:
    """Order owners by the room they told of, the most first."""
    _, (_, rooms) = told
    return -sum(max(free.room.cpu_milli, 0) for free in rooms)
