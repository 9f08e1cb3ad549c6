"""The jobs of an owner, from submission to their one answer.

A repeated submission joins the job in progress, or gets the answer that the job had. An
owner that is new to its runners cannot know what a previous owner started for a job.
Until such runs must have ended, it first has them stopped, or adopts them.
"""

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field, replace
from math import isinf

from monsoongap.coordination.admission_control import (
    AdmissionControl,
    capacity_timeout_refusal,
)
from monsoongap.coordination.awaited_jobs import AwaitedJobs
from monsoongap.coordination.caller_loss import CallerLoss
from monsoongap.coordination.contact import Contact
from monsoongap.coordination.job_record import NEVER, JobRecord
from monsoongap.coordination.job_traces import (
    is_overdue,
    log_callers_gone,
    log_callers_lost,
    log_expired,
    log_overdue,
)
from monsoongap.coordination.open_call import OpenCall
from monsoongap.coordination.pool import Pool
from monsoongap.coordination.readiness import Readiness
from monsoongap.coordination.start_basis import start_basis
from monsoongap.coordination.steps import Steps
from monsoongap.coordination.time_budget import budget_of
from monsoongap.coordination.work import Work
from monsoongap.errors import AnswerKind
from monsoongap.protocol.messages import (
    JobReply,
    QueueRule,
    ShareId,
    SubmitCall,
    TransferCall,
)
from monsoongap.state.job_locations import REMEMBER_S, job_number
from monsoongap.timers import MS_PER_S, Subscription, TimerService

log = logging.getLogger(__name__)

# A caller that got no answer submits the job a few more times within its deadline, and
# gets the kept answer.
KEEP_ANSWER_S = 15.0
# A new owner has polled its runners after a few milliseconds.
RECONCILE_FIRST_RETRY_S = 0.01
RECONCILE_RETRY_S = 0.1
MAX_DOUBLINGS = 4
# Long enough for three heartbeats to announce a job.
ANNOUNCE_S = 0.35
# Other owners forget the location of a job unless it is announced again. They still
# know it if two announcements are lost. A young job is announced more often: a caller
# that gives up soon comes again when the first announcements may have been lost.
ANNOUNCE_INTERVAL_S = REMEMBER_S / 3
MIN_ANNOUNCE_INTERVAL_S = 2 * ANNOUNCE_S
TICK_S = 0.05


@dataclass(slots=True)
class JobCounts:
    """Counts of submissions, joins, answers by kind, and reconciliations.

    `overdue` counts jobs that outlived their callers' wait, `expired` those that were
    ended as no caller came again, `location_expired` those executed here although
    another owner had announced them long before, `cancel_missed` cancels of jobs that
    were not here, `callers_lost` times at which the last host that held a caller of a
    job was gone, `at_two_owners` jobs in progress here that another owner announced.
    """

    submitted: int = 0
    joined: int = 0
    completed: int = 0
    failed: int = 0
    refused: int = 0
    broken: int = 0
    cancelled: int = 0
    expired: int = 0
    past_found: int = 0
    past_lapsed: int = 0
    past_unsettled: int = 0
    overdue: int = 0
    location_expired: int = 0
    cancel_missed: int = 0
    callers_lost: int = 0
    at_two_owners: int = 0


@dataclass(slots=True)
class Jobs:
    """The jobs of one owner.

    `reconcile` makes sure that no unknown run of a job is left at any owner; it returns
    whether that is so. `in_doubt_since` holds, for each share, the time until which a
    previous owner may have started runs that this host does not know. `records` also
    holds answered jobs, for `KEEP_ANSWER_S` seconds. `awaited` tells when a job's
    callers were last known to wait.
    """

    pool: Pool
    timers: TimerService
    rule_of: Callable[[str], QueueRule | None]
    reconcile: Callable[[str, ShareId], Awaitable[bool]]
    readiness: Readiness
    awaited: AwaitedJobs
    in_doubt_since: dict[ShareId, float] = field(default_factory=dict)
    counts: JobCounts = field(default_factory=JobCounts)
    records: dict[str, JobRecord] = field(default_factory=dict)
    steps: Steps = field(init=False)
    admission_control: AdmissionControl = field(init=False)
    contact: Contact = field(init=False)
    _unanswered: dict[str, JobRecord] = field(default_factory=dict)
    # Answered jobs of which runs are still being stopped.
    _ending: dict[str, JobRecord] = field(default_factory=dict)
    _answered: deque[tuple[float, JobRecord]] = field(default_factory=deque)
    _announced: deque[tuple[float, int]] = field(default_factory=deque)
    _jobs_in_doubt: dict[str, float] = field(default_factory=dict)
    _handed_over: dict[str, tuple[float, JobRecord]] = field(default_factory=dict)
    # Fences of claims that were transferred to this host, by share, and the jobs of
    # each that may have runs on its runners, with the time of the transfer.
    _transferred: dict[ShareId, int] = field(default_factory=dict)
    _started_before: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.steps = Steps(self.pool, self._end)
        self.admission_control = AdmissionControl(self.pool, self.timers, self._end)
        self.contact = Contact(self.readiness.ownership)

    def start(self) -> tuple[Subscription, ...]:
        """Start the periodic checks of unanswered jobs."""
        tick = self.timers.every(TICK_S, self._tick, "jobs")
        return tick, self.admission_control.start()

    @property
    def in_flight(self) -> int:
        """Number of jobs without an answer."""
        return len(self._unanswered)

    @property
    def unanswered(self) -> Iterable[JobRecord]:
        """The jobs without an answer."""
        return self._unanswered.values()

    @property
    def hands_over(self) -> bool:
        """Return whether callers here wait for jobs that were handed over."""
        return any(not rec.answer.done() for _, rec in self._handed_over.values())

    @property
    def oldest_s(self) -> float:
        """Age of the oldest job without an answer, in seconds; 0 if there is none."""
        oldest = next(iter(self._unanswered.values()), None)
        return 0.0 if oldest is None else self.timers.now() - oldest.arrived_at

    @property
    def lag_s(self) -> float:
        """Smoothed lag of this host's event loop, in seconds."""
        return self.admission_control.lag_s

    def knows(self, job: str) -> bool:
        """Return whether a job is in progress here, or was until recently."""
        return job in self.records

    def can_join(self, call: SubmitCall) -> bool:
        """Return whether a call gets the answer of a job that is or was here."""
        rec = self.records.get(call.job.id)
        return rec is not None and rec.applies_to(call, self.timers.now())

    def mark_job_in_doubt(self, job: str) -> None:
        """Record that an owner that cannot be reached may have runs of a job."""
        self._jobs_in_doubt[job] = self.timers.now()

    def mark_share_in_doubt(self, share: ShareId) -> None:
        """Record that a previous owner of a share may have started tasks until now."""
        self.in_doubt_since[share] = self.timers.now()
        self.pool.mark_share_in_doubt(share)

    def record_transfer(self, call: TransferCall) -> None:
        """Record what the owner that transferred a share knows of its jobs."""
        now = self.timers.now()
        share = call.target.share
        self._transferred[share] = call.claim.fence
        self.in_doubt_since[share] = (
            now + call.in_doubt_ms / MS_PER_S - self.pool.cfg.reconciled_s
            if call.in_doubt_ms
            else NEVER
        )
        for job in call.started:
            self._started_before[job] = now
        for job in call.in_doubt:
            self.mark_job_in_doubt(job)

    def transfer_of(
        self, share: ShareId
    ) -> tuple[tuple[str, ...], tuple[str, ...], int]:
        """Return what `TransferCall` says of the jobs of a share.

        The jobs with runs on the share's runners only, those that may have runs
        elsewhere, and for how many ms any other job may have.
        """
        started, in_doubt = set(self._started_before), set(self._jobs_in_doubt)
        for rec in self.records.values():
            if rec.share != share:
                continue
            if rec.may_run_outside(self.timers.now() - KEEP_ANSWER_S):
                in_doubt.add(rec.job.id)
            elif rec.works or rec.dispatched:
                started.add(rec.job.id)
        left_s = (
            self.in_doubt_since.get(share, NEVER)
            + self.pool.cfg.reconciled_s
            - self.timers.now()
        )
        if left_s <= 0 and self.is_in_doubt(share):
            left_s = self.pool.cfg.reconciled_s
        in_doubt_ms = max(round(left_s * MS_PER_S), 0)
        return tuple(sorted(started - in_doubt)), tuple(sorted(in_doubt)), in_doubt_ms

    def is_in_doubt(self, share: ShareId) -> bool:
        """Return whether a previous owner of a share may have runs unknown here."""
        since = self.in_doubt_since.get(share, NEVER)
        if since == NEVER:
            return False
        is_recent = self.timers.now() - since <= self.pool.cfg.reconciled_s
        return is_recent or not self.pool.was_reconciled(share)

    def announce(self, job: str) -> None:
        """Announce to other owners that a job, or a run of it, is here."""
        self._announced.append((self.timers.now(), job_number(job)))

    def announce_all(self) -> None:
        """Announce every job in progress to other owners."""
        for job in (*self._unanswered, *self._ending):
            self.announce(job)

    def recent_jobs(self) -> tuple[int, ...]:
        """Return the numbers of the jobs announced recently, for the next heartbeat."""
        oldest = self.timers.now() - ANNOUNCE_S
        while self._announced and self._announced[0][0] < oldest:
            self._announced.popleft()
        return tuple(number for _, number in self._announced)

    def unstarted(self, queue: str) -> int:
        """Return the number of a queue's jobs none of whose tasks was dispatched."""
        of_queue = (rec for rec in self._unanswered.values() if rec.rule.name == queue)
        return sum(not rec.dispatched for rec in of_queue)

    async def submit(
        self, call: SubmitCall, open_call: OpenCall | None = None
    ) -> JobReply:
        """Execute a job, or join it if it is known; return its one answer.

        `open_call` is the call of another host, None for a caller of this host.
        """
        open_call = open_call or OpenCall()
        job = call.job
        rec = self.records.get(job.id)
        if rec is not None and rec.closed and not rec.runs_ended.is_set():
            began_at = self.timers.now()
            await rec.runs_ended.wait()
            call = call.after(self.timers.now() - began_at)
            if not call.here and not self.pool.owns(call.share):
                # Released meanwhile, with what was left of the runs.
                return JobReply(AnswerKind.HANDED_ON, "not an owner")
            rec = self.records.get(job.id)
        if rec is not None and rec.applies_to(call, self.timers.now()):
            self.counts.joined += 1
            log.info(
                "repeated submission joined job",
                extra={
                    "job": job.id,
                    "origin": call.origin,
                    "again": call.again,
                    "runs_named": len(call.runs) or None,
                },
            )
            self._merge_call(rec, call, open_call)
            reply = await asyncio.shield(rec.answer)
            return reply.without_promise() if call.again else reply
        if call.here:
            if rec is None or not self.pool.owns(rec.share):
                # Its share was released; a record here would never be handed over.
                return JobReply(AnswerKind.HANDED_ON, "the job has ended here")
            call = replace(call, share=rec.share)
            # Its sender counted on a job in progress; another owner may have it by now.
            self.mark_job_in_doubt(job.id)
        # A job that was accepted is seen through by the queue that it was accepted by.
        rule = self.rule_of(job.queue) or call.rule
        if rule is None:
            reply = JobReply(AnswerKind.UNKNOWN_QUEUE, "no such queue")
            may_have_started = call.again or self._may_have_started(job.id, rec)
            return reply.without_promise() if may_have_started else reply
        new_rec = self._create_record(call, rule, rec, open_call)
        if not call.again and not call.here:
            refusal = self.admission_control.refusal_on_arrival(rule.upstream)
            if refusal is not None:
                self._answer(new_rec, refusal)
                return new_rec.answer.result()
        reconciled = await self._hold_until_reconciled(new_rec)
        if new_rec.closed:
            # Cancelled meanwhile, or handed over to the next owner, which answers.
            return await asyncio.shield(new_rec.answer)
        if not reconciled:
            self._answer(new_rec, self._unreconciled_refusal())
            return new_rec.answer.result()
        self.admission_control.add(new_rec)
        self.steps.start(new_rec)
        return await asyncio.shield(new_rec.answer)

    async def follow_handover(
        self, call: SubmitCall, open_call: OpenCall
    ) -> JobReply | None:
        """Return the answer of a job that was handed over from here, else None.

        A host that repeats its call, because no reply has arrived, gets the answer of
        the next owner. Returns None if that owner refused the job.
        """
        _, rec = self._handed_over.get(call.job.id, (NEVER, None))
        if rec is None or call.is_handover:
            return None
        self._add_caller(rec, open_call)
        reply = await asyncio.shield(rec.answer)
        return None if reply.without_promise() is not reply else reply

    def _create_record(
        self,
        call: SubmitCall,
        rule: QueueRule,
        previous: JobRecord | None,
        open_call: OpenCall,
    ) -> JobRecord:
        """Create a job's record; `previous` is that of a try without a result."""
        job, now = call.job, self.timers.now()
        answer = asyncio.get_running_loop().create_future()
        budget = budget_of(job, rule, call.wait_s)
        rec = JobRecord(job, rule, call.share, budget, now, answer)
        if previous is not None:
            rec.run_numbers = previous.run_numbers
            rec.in_doubt_since = previous.in_doubt_since
        rec.may_have_started = self._may_have_started(job.id, previous)
        self._merge_call(rec, call, open_call)
        rec.in_doubt_since = max(
            rec.in_doubt_since, self._jobs_in_doubt.pop(job.id, NEVER)
        )
        self.records[job.id] = self._unanswered[job.id] = rec
        rec.announced_at = now
        self.announce(job.id)
        self.counts.submitted += 1
        return rec

    def _may_have_started(self, job: str, previous: JobRecord | None) -> bool:
        """Return whether a try of a job here, or its next owner, may have run it."""
        _, handed_over = self._handed_over.get(job, (NEVER, None))
        return (
            previous is not None and (previous.may_have_started or previous.dispatched)
        ) or (
            job in self._started_before
            or job in self._jobs_in_doubt
            or (handed_over is not None and handed_over.may_have_started)
        )

    def _merge_call(
        self, rec: JobRecord, call: SubmitCall, open_call: OpenCall
    ) -> None:
        """Update a record, and what is known of previous owners, from a call."""
        self._add_caller(rec, open_call)
        repeated = (call.origin, call.number) in rec.requests
        rec.merge_call(call, self.timers.now(), self.timers.received_since())
        for work in rec.works.values():
            self.pool.extend_wait(work, rec.expires_at)
        transferred = self._transferred.get(call.share, 0)
        is_transferred = transferred and call.transfer_fence == transferred
        if call.is_handover and not repeated and not is_transferred:
            self.mark_share_in_doubt(call.share)

    def _add_caller(self, rec: JobRecord, open_call: OpenCall) -> None:
        """Have a job go on for a call, until the call is closed."""
        rec.open_calls.add(open_call)
        rec.callers_lost_at = None
        open_call.on_close = lambda: self._remove_caller(rec, open_call)

    def _remove_caller(self, rec: JobRecord, open_call: OpenCall) -> None:
        """Record that a host no longer waits for a job's answer."""
        rec.open_calls.discard(open_call)
        if rec.open_calls or rec.answer.done():
            return
        rec.callers_lost_at = self.timers.received_since()
        if rec.closed:
            return
        self.counts.callers_lost += 1
        log_callers_lost(rec, open_call, self.pool, self.contact, self.timers.now())
        # Its caller may come to any host next.
        self.announce(rec.job.id)

    def close_calls(self, sender: str, boot_ms: int) -> None:
        """Close the calls of a host's earlier process, whose connections may be silent.

        `boot_ms` tells when the process started that now sends heartbeats.
        """
        handed_over = (rec for _, rec in self._handed_over.values())
        for rec in (*self._unanswered.values(), *handed_over):
            for open_call in list(rec.open_calls):
                if open_call.sender == sender and 0 < open_call.boot_ms < boot_ms:
                    open_call.close()

    def cancel(self, job: str) -> None:
        """End a job whose caller has disconnected."""
        rec = self._unanswered.get(job)
        if rec is not None:
            self.counts.cancelled += 1
            self._end(rec, JobReply(AnswerKind.BROKEN, "cancelled by its caller"))

    def end_expired(self) -> None:
        """End the jobs whose callers no longer wait, as after a pause of this host."""
        now = self.timers.now()
        for rec in list(self._unanswered.values()):
            timeout_at = rec.arrived_at + rec.rule.timeout_s
            expires_at = timeout_at if isinf(rec.expires_at) else rec.expires_at
            if now > expires_at:
                self._expire(rec, now)

    def hand_over(
        self, share: ShareId, transfer_fence: int = 0
    ) -> list[tuple[JobRecord, SubmitCall]]:
        """Remove a share's jobs in progress; return each with its handover call.

        `transfer_fence` is that of the claim if the share is transferred.
        """
        taken = []
        for rec in [r for r in self._unanswered.values() if r.share == share]:
            del self.records[rec.job.id], self._unanswered[rec.job.id]
            rec.closed = True
            now = self.timers.now()
            awaited_s = max(now - self._caller_loss(rec).awaited_at, 0.0)
            call = replace(
                rec.handover_call(now),
                transfer_fence=transfer_fence,
                awaited_s=awaited_s,
            )
            rec.may_have_started = call.again
            self._handed_over[rec.job.id] = (self.timers.now(), rec)
            for work in list(rec.works.values()):
                if work.waiting:
                    self.pool.withdraw(work)
            taken.append((rec, call))
        for rec in [r for r in self.records.values() if r.share == share]:
            # The next owner stops the runs that are left.
            rec.works.clear()
            rec.runs_ended.set()
        return taken

    def awaited_at(self, job: str) -> float:
        """Return when a caller of a job was last known to wait, `NEVER` if unknown."""
        rec = self.records.get(job)
        told_at = self.awaited.last_at(job)
        return told_at if rec is None else max(rec.awaited_at, told_at)

    def _caller_loss(self, rec: JobRecord) -> CallerLoss:
        """Return since when no caller of a job is known to wait."""
        awaited_at = max(rec.awaited_at, self.awaited.last_at(rec.job.id))
        return CallerLoss(awaited_at, rec.callers_lost_at)

    def _tick(self) -> None:
        """End jobs that waited too long, demote late ones, and drop old records."""
        now = self.timers.now()
        cfg, in_touch = self.pool.cfg, self.pool.is_in_touch()
        keep_s = cfg.orphan_s if in_touch else cfg.cut_orphan_s
        for rec in list(self._unanswered.values()):
            # A caller that got no answer may submit the job again, and joins it.
            if now > rec.expires_at + keep_s:
                self._expire(rec, now)
                continue
            loss = self._caller_loss(rec)
            if loss.ends_job(now, in_touch, cfg):
                log_callers_gone(rec, loss, self.pool, self.contact, now)
                self._end(rec, JobReply(AnswerKind.BROKEN, "its callers are gone"))
                continue
            self._announce_again(rec, now)
            age = now - rec.arrived_at
            if is_overdue(rec, now):
                self.counts.overdue += 1
                log_overdue(rec, self.pool, now)
            if rec.dispatched or rec.is_borrowing or rec.reconciling:
                continue
            if age > rec.capacity_timeout_s:
                self._end(rec, capacity_timeout_refusal(rec, now))
            elif age > rec.budget.slack_s and not rec.late:
                rec.late = True
                self.pool.reorder(list(rec.works.values()), rec.sort_key)
        for rec in [rec for rec in self._ending.values() if not rec.works]:
            del self._ending[rec.job.id]
        for rec in self._ending.values():
            self._announce_again(rec, now)
        self._end_forwarding(now, in_touch)
        self._drop_expired(now)

    def _end_forwarding(self, now: float, in_touch: bool) -> None:
        """Close the calls that hand jobs over whose callers here are gone.

        Their next owners then see that nobody waits.
        """
        for _, rec in self._handed_over.values():
            if rec.forwarding is None or rec.answer.done():
                continue
            # The next owner hears itself whether a caller waits.
            loss = CallerLoss(now, rec.callers_lost_at)
            if loss.ends_job(now, in_touch, self.pool.cfg):
                log_callers_gone(rec, loss, self.pool, self.contact, now)
                rec.forwarding.cancel()
                rec.answer.set_result(JobReply(AnswerKind.HANDED_ON, "not an owner"))

    def _announce_again(self, rec: JobRecord, now: float) -> None:
        """Announce a job that is still in progress before its location is forgotten."""
        interval_s = max((now - rec.arrived_at) / 2, MIN_ANNOUNCE_INTERVAL_S)
        if now - rec.announced_at >= min(interval_s, ANNOUNCE_INTERVAL_S):
            rec.announced_at = now
            self.announce(rec.job.id)

    def _expire(self, rec: JobRecord, now: float) -> None:
        """End a job whose callers no longer wait; a cancel call may have been lost."""
        self.counts.expired += 1
        log_expired(rec, self.pool, self.contact, now)
        self._end(rec, JobReply(AnswerKind.BROKEN, "its caller's deadline has passed"))

    def _drop_expired(self, now: float) -> None:
        """Drop records, marks of jobs in doubt, and handovers that have expired."""
        while self._answered and now - self._answered[0][0] > KEEP_ANSWER_S:
            rec = self._answered.popleft()[1]
            if rec.works:
                self._answered.append((now, rec))
            elif self.records.get(rec.job.id) is rec:
                del self.records[rec.job.id]
        for job in [
            j for j, at in self._jobs_in_doubt.items() if now - at > KEEP_ANSWER_S
        ]:
            del self._jobs_in_doubt[job]
        old = now - KEEP_ANSWER_S
        for job in [j for j, at in self._started_before.items() if at < old]:
            del self._started_before[job]
        for job in [
            j
            for j, (at, rec) in self._handed_over.items()
            if at < old and rec.answer.done()
        ]:
            del self._handed_over[job]

    async def _hold_until_reconciled(self, rec: JobRecord) -> bool:
        """Make sure that no unknown run is left; the time does not count as a wait."""
        rec.reconciling = True
        try:
            return await self._reconcile_previous_runs(rec)
        finally:
            rec.reconciling = False
            rec.held_s = self.timers.now() - rec.arrived_at

    def _unreconciled_refusal(self) -> JobReply:
        """Return the refusal of a job; it tells when all runs should be known."""
        detail = "runs of a previous owner are not reconciled"
        return JobReply(AnswerKind.REFUSED, detail, self.readiness.retry_after_s)

    async def _reconcile_previous_runs(self, rec: JobRecord) -> bool:
        """Make sure that no unknown run of a job is left; return whether that is so."""
        started_at = self.timers.now()
        tries = 0
        known_s = 0.0
        while True:
            now = self.timers.now()
            in_doubt = self.is_in_doubt(rec.share)
            known = not in_doubt and now - rec.in_doubt_since > KEEP_ANSWER_S
            if known and (
                rec.job.id not in self._started_before
                # All its runs are on the share's runners, where it adopts them.
                or self.pool.is_reconciled(rec.share)
            ):
                if tries:
                    self.counts.past_lapsed += 1
                self._log_reconciliation(
                    rec, "previous runs reconciled", "time", started_at, tries
                )
                return True
            tries += 1
            expected_s = self.readiness.expected_s()
            asks = not known and expected_s <= 0
            if asks and await self.reconcile(rec.job.id, rec.share):
                rec.in_doubt_since = NEVER
                self.counts.past_found += 1
                self._log_reconciliation(
                    rec, "previous runs reconciled", "owners", started_at, tries
                )
                return True
            now = self.timers.now()
            if self.readiness.refuses(rec, now - started_at, known_s):
                self.counts.past_unsettled += 1
                self._log_reconciliation(
                    rec, "previous runs not reconciled", None, started_at, tries
                )
                return False
            if expected_s > 0:
                ends_soon = self.readiness.ends_soon
                await self.readiness.wait(RECONCILE_RETRY_S)
                known_s += self.timers.now() - now if ends_soon else 0.0
                continue
            pause_s = RECONCILE_FIRST_RETRY_S * 2 ** min(tries - 1, MAX_DOUBLINGS)
            await self.timers.sleep(min(pause_s, RECONCILE_RETRY_S))

    def _log_reconciliation(
        self, rec: JobRecord, event: str, by: str | None, started_at: float, tries: int
    ) -> None:
        """Record and log how previous runs of a job were reconciled, or that not.

        `by` names what proved it: the owners' replies, or the time that has passed.
        """
        limits = {
            "share": self.in_doubt_since.get(rec.share, NEVER)
            + self.pool.cfg.reconciled_s,
            "job": rec.in_doubt_since + KEEP_ANSWER_S,
        }
        rec.basis = start_basis(rec, self.pool, self.contact, by, limits, tries > 0)
        if not tries:
            return
        if tries == 1 and not rec.may_have_started and not rec.run_numbers:
            # A new job right after a takeover; logging each would be too much.
            return
        links = self.pool.links
        log.info(
            event,
            extra={
                "job": rec.job.id,
                "by": by,
                "waited_ms": round((self.timers.now() - started_at) * MS_PER_S),
                "tries": tries,
                "again": rec.may_have_started,
                "runs_named": len(rec.run_numbers),
                "held": sum(link.share == rec.share for link in links.values()),
                **(rec.basis.fields() if rec.basis else {}),
            },
        )

    def record_dispatch(self, work: Work) -> None:
        """Record that a task was given to a runner or to another owner."""
        rec = self.records.get(work.task.job)
        if rec is not None:
            rec.dispatched = True
            rec.run_numbers[work.task] = work.run_number

    def record_doubt(self, work: Work) -> None:
        """Record that a lender that was lost may have begun a task."""
        rec = self.records.get(work.task.job)
        if rec is not None:
            rec.may_have_started = True
            rec.run_numbers[work.task] = work.run_number

    def record_settled(self, work: Work) -> None:
        """Record that a task whose lender was lost can be placed again."""
        rec = self.records.get(work.task.job)
        if rec is not None:
            rec.held_s = self.timers.now() - rec.arrived_at

    def _end(self, rec: JobRecord, reply: JobReply) -> None:
        """Answer a job and stop its remaining tasks."""
        rec.closed = True
        self._answer(rec, reply)
        for work in list(rec.works.values()):
            self.pool.withdraw(work)
        if rec.works:
            self._ending[rec.job.id] = rec
        else:
            rec.runs_ended.set()

    def _answer(self, rec: JobRecord, reply: JobReply) -> None:
        if rec.answer.done():
            return
        if rec.may_have_started:
            reply = reply.without_promise()
        rec.answer.set_result(reply)
        if not rec.works:
            rec.runs_ended.set()
        now = rec.answered_at = self.timers.now()
        if self._unanswered.get(rec.job.id) is rec:
            del self._unanswered[rec.job.id]
        self._answered.append((now, rec))
        self._count(reply)
        log.info(
            "job answered",
            extra={
                "job": rec.job.id,
                "queue": rec.rule.name,
                "outcome": reply.kind.value,
                "detail": reply.detail or None,
                "took_ms": round((now - rec.arrived_at) * MS_PER_S),
                "objective_ms": round(rec.budget.objective_s * MS_PER_S),
                "waiting": self.pool.waiting,
                "tasks": rec.task_count,
                "failures": sum(rec.failed_attempts.values()),
            },
        )

    def _count(self, reply: JobReply) -> None:
        match reply.kind:
            case AnswerKind.COMPLETED:
                self.counts.completed += 1
            case AnswerKind.FAILED:
                self.counts.failed += 1
            case AnswerKind.REFUSED:
                self.counts.refused += 1
            case _:
                self.counts.broken += 1
