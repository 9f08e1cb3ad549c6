"""Tasks of other owners' jobs that run on this host's runners.

A lender that no longer hears a borrower, or hears that it was replaced, stops what it
runs for it, so that the borrower, or whoever comes after it, can count on the run
being over.
"""

import asyncio
import logging
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from monsoongap.coordination.awaited_jobs import AwaitedJobs
from monsoongap.coordination.caller_loss import CallerLoss
from monsoongap.coordination.job_record import NEVER
from monsoongap.coordination.members import Members
from monsoongap.coordination.pool import Pool
from monsoongap.coordination.work import RunOutcome, Work
from monsoongap.protocol.messages import (
    Claim,
    FindCall,
    FindReply,
    LendCall,
    LendReply,
    LendResult,
    ShareId,
    TaskId,
)
from monsoongap.timers import Subscription, TimerService

log = logging.getLogger(__name__)

# A lender gives a borrower that went silent up after this.
BORROWER_SILENT_S = 1.0
FIND_WAIT_S = 0.3
FIND_STEP_S = 0.02
TICK_S = 0.05
# A borrower whose job has expired cancels its lent tasks before this has passed.
CANCEL_MARGIN_S = 0.5
# A reply is kept this long after the run has ended. A borrower repeats its call within
# 30 s (`LEND_TIMEOUT_S`), and a network partition may delay it.
KEEP_REPLY_S = 40.0
# An unknown run is not begun for a call whose first copy was sent this long ago: the
# reply to that one may have been dropped. Below `KEEP_REPLY_S` by the delay of a call.
MAX_ELAPSED_S = 30.0
# Enough for 1,000 tasks a second, looked at in each tick.
FORGET_AT_ONCE = 64

_RESULT_OF = {RunOutcome.DONE: LendResult.DONE, RunOutcome.FAILED: LendResult.FAILED}
# The run never began: the borrower may place the task again at once. A runner that
# rejects a run as old has had this one, or a later one, before.
_NOT_BEGUN = (RunOutcome.NO_ROOM, RunOutcome.UNHEALTHY)


@dataclass(slots=True, eq=False)
class Lent:
    """A task that runs here for another owner."""

    work: Work
    borrower: str
    claim: Claim
    reply: asyncio.Future[LendReply]
    expires_at: float
    # When a caller was last known to wait, as the task came.
    awaited_at: float
    given_up: bool = False


@dataclass(slots=True)
class Lending:
    """The lender's side of lending.

    `awaited` tells when a job's callers were last known to wait. `_replies` holds the
    reply to each run that a borrower asked for, however often it asks; `_reply_times`
    the time of each one that is complete.
    """

    pool: Pool
    members: Members
    timers: TimerService
    awaited: AwaitedJobs
    _fences: dict[ShareId, int] = field(default_factory=dict)
    _lent: dict[int, Lent] = field(default_factory=dict)
    # When a caller of a job was last known to wait, as its last lent task came.
    _lent_awaited_at: dict[str, float] = field(default_factory=dict)
    _replies: dict[tuple[TaskId, int], asyncio.Future[LendReply]] = field(
        default_factory=dict
    )
    _reply_times: deque[tuple[float, tuple[TaskId, int]]] = field(default_factory=deque)

    def start(self) -> Subscription:
        """Begin to watch borrowers."""
        return self.timers.every(TICK_S, self._tick, "lending")

    @property
    def has_work(self) -> bool:
        """Return whether tasks are lent, or replies are kept for repeated calls."""
        return bool(self._lent or self._replies)

    async def lend(self, call: LendCall) -> LendReply:
        """Run a task of another owner at once, or refuse."""
        if not self.accepts(call.claim):
            log.warning(
                "borrower was replaced",
                extra={"job": call.task.job, "borrower": call.home},
            )
            return await self.refuse(call)
        if self._is_silent(call.home):
            # The call was held on its way, and its borrower may have ended the job.
            return await self.refuse(call)
        known = self._replies.get((call.task, call.run))
        if known is not None:
            # Sent again: the first one's reply may be lost, or callers wait longer.
            for lent in self._lent.values():
                if lent.reply is known:
                    expires_at = self._expires_at(call)
                    lent.expires_at = max(lent.expires_at, expires_at)
            return await asyncio.shield(known)
        if call.elapsed_s > MAX_ELAPSED_S:
            return await self.refuse(call)
        fut = self._add_reply(call.task, call.run)

        def over(work: Work, how: RunOutcome, runner: str) -> None:
            self._lent.pop(id(work), None)
            if all(lent.work.task.job != work.task.job for lent in self._lent.values()):
                self._lent_awaited_at.pop(work.task.job, None)
            result = _RESULT_OF.get(how, LendResult.GONE)
            if how in _NOT_BEGUN:
                result = LendResult.NO_ROOM
            if not fut.done():
                fut.set_result(LendReply(result, work.run_number))

        work = Work(
            call.task,
            call.queue,
            call.upstream,
            call.payload,
            call.size,
            (0.0,),
            over,
            None,
            estimate_s=call.estimate_s,
            label=call.label,
            rack=call.rack,
            most_per_runner=call.most_per_runner,
            run_number=call.run,
        )
        already = self.pool.runs_of(call.task.job)
        twice = any(run.task == call.task for _, run in already)
        if twice:
            # Its owner does not know of this run, or takes it for ended.
            fut.set_result(LendReply(LendResult.LEFT_RUNNING, call.run))
        elif not self.pool.place_now(work):
            fut.set_result(LendReply(LendResult.NO_ROOM, call.run))
        else:
            awaited_at = self.timers.received_since() - call.awaited_s
            self._lent_awaited_at[call.task.job] = awaited_at
            self._lent[id(work)] = Lent(
                work,
                call.home,
                call.claim,
                fut,
                self._expires_at(call),
                awaited_at,
            )
        return await asyncio.shield(fut)

    def _expires_at(self, call: LendCall) -> float:
        """Return when a borrower has certainly ended the job of a task."""
        margin_s = self.pool.cfg.orphan_s + CANCEL_MARGIN_S
        return self.timers.now() + (call.wait_s or float("inf")) + margin_s

    async def refuse(self, call: LendCall) -> LendReply:
        """Refuse a task, also if its call is repeated or late.

        Returns the reply of an earlier call for the same run, if there was one. One
        that may have been dropped since leaves the run in doubt.
        """
        known = self._replies.get((call.task, call.run))
        if known is None:
            known = self._add_reply(call.task, call.run)
            is_dropped = call.elapsed_s > MAX_ELAPSED_S
            result = LendResult.LEFT_RUNNING if is_dropped else LendResult.NO_ROOM
            known.set_result(LendReply(result, call.run))
        return await asyncio.shield(known)

    def _add_reply(self, task: TaskId, run: int) -> "asyncio.Future[LendReply]":
        fut: asyncio.Future[LendReply] = asyncio.get_running_loop().create_future()
        self._replies[task, run] = fut
        fut.add_done_callback(
            lambda _: self._reply_times.append((self.timers.now(), (task, run)))
        )
        return fut

    def leave_running(self, works: Iterable[Work]) -> None:
        """Tell borrowers that their tasks go on under another owner."""
        for work in works:
            lent = self._lent.pop(id(work), None)
            if lent is not None and not lent.reply.done():
                reply = LendReply(LendResult.LEFT_RUNNING, work.run_number)
                lent.reply.set_result(reply)

    async def stop_runs_of(self, call: FindCall) -> FindReply:
        """Stop what runs of a job here; tell whether nothing is left."""
        if not self.accepts(call.claim):
            return FindReply(False)
        if call.task is not None and (call.task, call.run) not in self._replies:
            # Its call may still be on its way: it begins nothing any more.
            fut = self._add_reply(call.task, call.run)
            fut.set_result(LendReply(LendResult.GONE, call.run))
        until = self.timers.now() + FIND_WAIT_S
        while self.pool.runs_of(call.job):
            self.cancel_runs_of(call.job)
            if self.timers.now() > until:
                return FindReply(False)
            await self.timers.sleep(FIND_STEP_S)
        return FindReply(self.pool.is_reconciled(call.share))

    def record_claims(self, claims: Iterable[Claim]) -> None:
        """Take in claims that were told or made."""
        for claim in claims:
            self.accepts(claim)

    def accepts(self, claim: Claim) -> bool:
        """Tell whether no higher claim of the same share is known."""
        known = self._fences.get(claim.share, 0)
        self._fences[claim.share] = max(known, claim.fence)
        return claim.fence >= known

    def stop_lent(self, job: str) -> bool:
        """Stop what of a job runs here for another owner; tell if nothing does."""
        lent = [held for held in self._lent.values() if held.work.task.job == job]
        for held in lent:
            self.pool.withdraw(held.work)
        return not lent

    def cancel_runs_of(self, job: str) -> None:
        """Stop what runs here of a job; a run that is being stopped is left alone."""
        for link, run in self.pool.runs_of(job):
            link.stop(run)

    def _tick(self) -> None:
        """Stop what no borrower waits for any more; forget old replies."""
        self._forget()
        in_touch = self.pool.is_in_touch()
        for lent in [held for held in self._lent.values() if not held.given_up]:
            silent = self._is_silent(lent.borrower)
            replaced = self._fences.get(lent.claim.share, 0) > lent.claim.fence
            expired = self.timers.now() > lent.expires_at
            unawaited = self._is_unawaited(lent, in_touch)
            if silent or replaced or expired or unawaited:
                lent.given_up = True
                log.info(
                    "borrower given up",
                    extra={
                        "job": lent.work.task.job,
                        "borrower": lent.borrower,
                        "replaced": replaced,
                        "expired": expired,
                        "unawaited": unawaited,
                    },
                )
                self.pool.withdraw(lent.work)

    def awaited_at(self, job: str) -> float:
        """Return when a caller was last known to wait for a job with lent tasks."""
        told_at = self.awaited.last_at(job)
        return max(told_at, self._lent_awaited_at.get(job, NEVER))

    def _is_silent(self, borrower: str) -> bool:
        peer = self.members.peer(borrower)
        now = self.timers.now()
        return peer is None or now - peer.last_heartbeat_at > BORROWER_SILENT_S

    def _is_unawaited(self, lent: Lent, in_touch: bool) -> bool:
        """Return whether the callers of a lent task's job may come elsewhere."""
        told_at = self.awaited.last_at(lent.work.task.job)
        loss = CallerLoss(max(told_at, lent.awaited_at))
        return loss.ends_job(self.timers.now(), in_touch, self.pool.cfg)

    def _forget(self) -> None:
        """Drop the replies that nobody asks for any more, the oldest first."""
        oldest = self.timers.now() - KEEP_REPLY_S
        for _ in range(FORGET_AT_ONCE):
            if not self._reply_times or self._reply_times[0][0] > oldest:
                return
            del self._replies[self._reply_times.popleft()[1]]
