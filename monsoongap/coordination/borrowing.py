"""Tasks of this host's jobs that run on another owner's runners.

A task that finds no room here is sent to an owner whose heartbeat told of room. That
one starts it at once or says that it has none, and answers when the run is over.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import msgspec

from monsoongap.coordination.heartbeats import Peer
from monsoongap.coordination.members import Members
from monsoongap.coordination.ownership import Ownership
from monsoongap.coordination.ports import (
    NoReply,
    PeerCallFailed,
    PeerCallPort,
    PeerRestarted,
)
from monsoongap.coordination.repeated_call import RepeatedCall, RepeatedCalls
from monsoongap.coordination.start_basis import start_fields
from monsoongap.coordination.time_budget import wait_left_s
from monsoongap.coordination.work import RunOutcome, Work
from monsoongap.protocol.messages import (
    CancelCall,
    FreeCapacity,
    LendCall,
    LendReply,
    LendResult,
    ShareId,
)
from monsoongap.state.directory import Directory
from monsoongap.timers import TimerService
from monsoongap.util.background import BackgroundTasks

log = logging.getLogger(__name__)

# Room that was told longer ago than this is no longer counted on. Owners tell it each
# 0.5 s, and at once while others queue; one heartbeat may be lost.
ROOM_FRESH_S = 1.2
# A lender that is live is asked again after this.
LEND_TIMEOUT_S = 30.0
CANCEL_TIMEOUT_S = 0.5
# Limits the ages that a call tells. A lender ends a task that no caller has been known
# to wait for as long as this, and has forgotten a call that was first sent as long ago.
MAX_AGE_S = 60.0

_OVER_OF = {
    LendResult.DONE: RunOutcome.DONE,
    LendResult.FAILED: RunOutcome.FAILED,
    LendResult.NO_ROOM: RunOutcome.NO_ROOM,
    LendResult.GONE: RunOutcome.LOST,
    LendResult.LEFT_RUNNING: RunOutcome.LOST,
}


@dataclass(slots=True)
class AdvertisedCapacity:
    """The free rooms that an owner told of, and when."""

    told_at: float
    rooms: list[FreeCapacity]

    @property
    def cpu_milli(self) -> int:
        """All free processors told of, in thousandths of a core."""
        return sum(max(free.resources.cpu_milli, 0) for free in self.rooms)


@dataclass(frozen=True, slots=True)
class _OpenLoan:
    """A call for a task without a reply."""

    message: LendCall
    call: RepeatedCall


@dataclass(slots=True)
class Borrowing:
    """The borrower's side of lending.

    `on_dispatch` is called with each task that a lender started. `on_lost` is called
    with each task whose lender may still run it, and the shares that the lender owned.
    `awaited_at` returns when a caller of a job was last known to wait.
    """

    members: Members
    ownership: Ownership
    timers: TimerService
    peers: PeerCallPort
    directory: Directory
    calls: RepeatedCalls
    on_dispatch: Callable[[Work], None] = lambda work: None
    on_lost: Callable[[Work, tuple[ShareId, ...]], None] = lambda work, shares: None
    awaited_at: Callable[[str], float] = lambda job: float("inf")
    _told: dict[str, AdvertisedCapacity] = field(default_factory=dict)
    # By the id of their task's object.
    _loans: dict[int, _OpenLoan] = field(default_factory=dict)
    _background: BackgroundTasks = field(default_factory=BackgroundTasks)

    def record_capacity(self, peer: Peer) -> None:
        """Take in the room that an owner told of."""
        assert peer.heartbeat is not None
        free = list(peer.heartbeat.free)
        self._told[peer.card.name] = AdvertisedCapacity(self.timers.now(), free)

    def has_capacity(self) -> bool:
        """Tell whether any owner lately told of room."""
        oldest = self.timers.now() - ROOM_FRESH_S
        return any(
            told.rooms and told.told_at >= oldest for told in self._told.values()
        )

    def try_borrow(self, work: Work, upstream: str, warm_only: bool = False) -> bool:
        """Send a task to an owner that should have room for it; tell if there is one.

        The owner that told of the most room is asked first. With `warm_only`, room on
        cold runners does not count.
        """
        if work.share is None or work.share not in self.ownership.claims:
            return False
        oldest = self.timers.now() - ROOM_FRESH_S
        for name, told in sorted(self._told.items(), key=lambda t: -t[1].cpu_milli):
            if told.told_at < oldest or not self.members.is_live(name):
                continue
            for i, free in enumerate(told.rooms):
                fits = free.upstream == upstream and free.resources.can_fit(work.size)
                fits = fits and not (warm_only and free.cold)
                if fits and (not work.label or work.label in free.labels):
                    left = free.resources.minus(work.size)
                    told.rooms[i] = msgspec.structs.replace(free, resources=left)
                    self._borrow(work, name, upstream)
                    return True
        return False

    def _borrow(self, work: Work, lender: str, upstream: str) -> None:
        peer = self.members.peer(lender)
        assert peer is not None
        work.borrowed_from = lender
        log.info(
            "task borrowed room",
            extra={
                "job": work.task.job,
                "task": f"{work.task.step}.{work.task.index}",
                "run": work.run_number,
                "lender": lender,
                **start_fields(work.basis),
            },
        )
        work.basis = None
        self._background.spawn(self._run_there(work, peer, upstream), "borrow")

    def extend_wait(self, work: Work) -> None:
        """Tell the lender of a task that the job's callers wait longer."""
        peer = self.members.peer(work.borrowed_from)
        loan = self._loans.get(id(work))
        if peer is not None and loan is not None:
            self._background.spawn(self._extend_there(work, peer, loan), "extend")

    async def _extend_there(self, work: Work, peer: Peer, loan: _OpenLoan) -> None:
        """Repeat a call, whose reply comes to the first one, with the new wait."""
        copy = self._copy(loan, work)
        loan.call.copies += 1
        try:
            await self.peers.call(peer.address, copy, LendReply, CANCEL_TIMEOUT_S)
        except PeerCallFailed:
            # A lender that does not hear of it stops the run, and it is placed again.
            return

    async def _run_there(self, work: Work, peer: Peer, upstream: str) -> None:
        shares = tuple(c.share for c in peer.heartbeat.claims) if peer.heartbeat else ()
        claim = self.ownership.claims.get(work.share) if work.share else None
        if claim is None:
            work.borrowed_from = ""
            work.on_end(work, RunOutcome.NO_ROOM, "")
            return
        call = self.calls.begin(peer)
        message = LendCall(
            work.task,
            work.run_number,
            work.payload,
            work.size,
            work.queue,
            self.directory.version,
            self.members.card.name,
            claim,
            work.estimate_s,
            work.label,
            work.rack,
            work.most_per_runner,
            upstream,
            callee_boot_ms=call.card.boot_ms,
        )
        loan = self._loans[id(work)] = _OpenLoan(message, call)
        try:
            reply = await self._call_lender(loan, work)
        except PeerCallFailed as exc:
            log.warning(
                "lender lost",
                extra={
                    "job": work.task.job,
                    "lender": peer.card.name,
                    "reason": str(exc),
                },
            )
            work.borrowed_from = ""
            self.on_lost(work, shares)
            return
        finally:
            del self._loans[id(work)]
            self.calls.end(call)
        work.borrowed_from = ""
        work.run_number = max(work.run_number, reply.run)
        match reply.result:
            case LendResult.LEFT_RUNNING:
                self.on_lost(work, shares)
                return
            case LendResult.NO_ROOM:
                self._told.pop(peer.card.name, None)
            case _:
                self.on_dispatch(work)
        work.on_end(work, _OVER_OF[reply.result], "")

    async def _call_lender(self, loan: _OpenLoan, work: Work) -> LendReply:
        """Return the lender's reply, which comes when the run has ended.

        Raises `PeerCallFailed` if the lender cannot be reached or has restarted, or
        does not reply and is not live or was told to stop the run.
        """
        call = loan.call
        while True:
            try:
                reply: LendReply = await call.reply(
                    lambda _: self._copy(loan, work),
                    LendReply,
                    LEND_TIMEOUT_S,
                    work.estimate_s,
                )
            except NoReply:
                if work.withdrawn or not self.members.is_live(call.card.name):
                    raise
                continue
            is_refusal = reply.result is LendResult.NO_ROOM
            if is_refusal and call.may_have_begun(reply.boot_ms):
                raise PeerRestarted("an earlier copy may have reached another process")
            return reply

    def _copy(self, loan: _OpenLoan, work: Work) -> LendCall:
        """Return the message of a call as it is to be sent now."""
        return replace(
            loan.message,
            wait_s=wait_left_s(work.useless_at, self.timers.now()),
            awaited_s=self._awaited_s(work),
            elapsed_s=min(loan.call.elapsed_s, MAX_AGE_S),
        )

    def _awaited_s(self, work: Work) -> float:
        """Return how long ago a caller of a task's job was last known to wait."""
        age_s = self.timers.now() - self.awaited_at(work.task.job)
        return min(max(age_s, 0.0), MAX_AGE_S)

    def cancel(self, work: Work) -> None:
        """Tell the lender that a task is no longer wanted."""
        peer = self.members.peer(work.borrowed_from)
        if peer is not None:
            self._background.spawn(self._cancel_there(work, peer), "cancel")

    async def _cancel_there(self, work: Work, peer: Peer) -> None:
        call = CancelCall(work.task.job)
        try:
            await self.peers.call(peer.address, call, bool, CANCEL_TIMEOUT_S)
        except PeerCallFailed:
            # The call that carries the task ends too, and has the run stopped.
            log.info("lender not told", extra={"job": work.task.job})
