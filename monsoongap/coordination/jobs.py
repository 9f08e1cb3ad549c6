"""Jobs at the owner that sees them through, from submission to the one answer.

A job handed in again joins the one that is there, or gets the answer it had. An
owner that is new to its runners cannot know what an earlier one began for a job;
until such runs must be over it first has them found and stopped, or adopts them.
"""

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from monsoongap.coordination.admission_control import (
    RETRY_AFTER_S,
    AdmissionControl,
    refusal_in_vain,
)
from monsoongap.coordination.job_record import NEVER, JobRecord
from monsoongap.coordination.pool import Pool
from monsoongap.coordination.steps import Steps
from monsoongap.coordination.time_budget import aim_of
from monsoongap.coordination.work import Work
from monsoongap.errors import AnswerKind
from monsoongap.protocol.messages import (
    JobReply,
    QueueRule,
    ShareId,
    SubmitCall,
)
from monsoongap.state.elsewhere import number_of
from monsoongap.timers import MS_PER_S, TimerService

log = logging.getLogger(__name__)

# A lost job comes again a few times within its deadline; answers are kept for that.
KEEP_ANSWER_S = 15.0
# What an earlier owner or a lost lender began is over after this at the latest:
# the lender's wait for its borrower, orphans' time and a lease.
SETTLED_AFTER_S = 4.0
SETTLE_STEP_S = 0.1
# Longer than a lease, after which nothing of an earlier owner is left here.
SETTLE_TRIES_S = 1.5
# Long enough for three heartbeats to tell of a job.
TELL_BEGUN_S = 0.35
TICK_S = 0.05


@dataclass(slots=True)
class JobCounts:
    """Answers, by kind, joins, and ends of doubts, for the metrics."""

    submitted: int = 0
    joined: int = 0
    completed: int = 0
    failed: int = 0
    refused: int = 0
    broken: int = 0
    cancelled: int = 0
    past_found: int = 0
    past_lapsed: int = 0
    past_unsettled: int = 0


@dataclass(slots=True)
class Jobs:
    """The jobs of one owner. `find_all` stops or finds all runs of a job, anywhere.

    `in_doubt_since` is when this host became the owner of a share: what it does not
    know of was begun before. `records` holds answered jobs too, for a while.
    """

    pool: Pool
    timers: TimerService
    rule_of: Callable[[str], QueueRule | None]
    find_all: Callable[[str, ShareId], Awaitable[bool]]
    in_doubt_since: dict[ShareId, float] = field(default_factory=dict)
    counts: JobCounts = field(default_factory=JobCounts)
    records: dict[str, JobRecord] = field(default_factory=dict)
    steps: Steps = field(init=False)
    admission_control: AdmissionControl = field(init=False)
    _open: dict[str, JobRecord] = field(default_factory=dict)
    _answered: deque[tuple[float, JobRecord]] = field(default_factory=deque)
    _begun: deque[tuple[float, int]] = field(default_factory=deque)
    _doubts: dict[str, float] = field(default_factory=dict)
    _handed_on: dict[str, tuple[float, JobRecord]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.steps = Steps(self.pool, self._end)
        self.admission_control = AdmissionControl(self.pool, self.timers, self._end)

    def start(self) -> None:
        """Begin to look after jobs that wait."""
        self.admission_control.start()
        self.timers.every(TICK_S, self._tick, "jobs")

    @property
    def in_flight(self) -> int:
        """Number of jobs without an answer."""
        return len(self._open)

    @property
    def lag_s(self) -> float:
        """How late this host's own loop is, in seconds."""
        return self.admission_control.lag_s

    def knows(self, job: str) -> bool:
        """Tell whether a job is or lately was seen through here."""
        return job in self.records

    def mark_job_in_doubt(self, job: str) -> None:
        """Take note that a lost owner may have runs of a job."""
        self._doubts[job] = self.timers.now()

    def mark_share_in_doubt(self, share: ShareId) -> None:
        """Take note that a share's former owner may have begun tasks until now."""
        self.in_doubt_since[share] = self.timers.now()
        self.pool.note_former(share)

    def announce(self, job: str) -> None:
        """Let other owners know that a job, or what was left of it, is here."""
        self._begun.append((self.timers.now(), number_of(job)))

    def announce_all(self) -> None:
        """Let other owners know of every job under way."""
        for job in self._open:
            self.announce(job)

    def recent_jobs(self) -> tuple[int, ...]:
        """Return the numbers of the jobs begun lately, for other owners."""
        oldest = self.timers.now() - TELL_BEGUN_S
        while self._begun and self._begun[0][0] < oldest:
            self._begun.popleft()
        return tuple(number for _, number in self._begun)

    def unstarted(self, queue: str) -> int:
        """Return the number of a queue's jobs of which nothing was started."""
        of_queue = (rec for rec in self._open.values() if rec.rule.name == queue)
        return sum(not rec.offered for rec in of_queue)

    async def submit(self, call: SubmitCall) -> JobReply:
        """See a job through, or join it; returns its one answer."""
        job = call.job
        rec = self.records.get(job.id)
        if rec is not None and rec.ending and not rec.cleared.is_set():
            await rec.cleared.wait()
            rec = self.records.get(job.id)
        if rec is not None and rec.still_counts(call, self.timers.now()):
            self.counts.joined += 1
            log.info(
                "job joined",
                extra={
                    "job": job.id,
                    "origin": call.origin,
                    "again": call.again,
                    "runs_named": len(call.runs) or None,
                },
            )
            self._learn(rec, call)
            reply = await asyncio.shield(rec.answer)
            return _without_promise(reply) if call.again else reply
        rule = self.rule_of(job.queue)
        if rule is None:
            return JobReply(AnswerKind.UNKNOWN_QUEUE, "no such queue")
        new = self._take_in(call, rule, rec)
        overload = self.admission_control.overload()
        if overload is not None and not call.again and not call.here:
            self._answer(new, overload)
            return new.answer.result()
        settled = await self._settle_past(new)
        if new.ending:
            # Meanwhile cancelled, or handed to the next owner, who answers.
            return await asyncio.shield(new.answer)
        if not settled:
            detail = "what an earlier owner began is not settled"
            self._answer(new, JobReply(AnswerKind.REFUSED, detail, RETRY_AFTER_S))
            return new.answer.result()
        self.admission_control.add(new)
        self.steps.begin(new)
        return await asyncio.shield(new.answer)

    async def follow_handover(self, call: SubmitCall) -> JobReply | None:
        """Return the answer of a job that was handed on from here, None if it wasn't.

        A host that asks again, as no reply came yet, learns what the next owner tells.
        """
        _, rec = self._handed_on.get(call.job.id, (NEVER, None))
        if rec is None or call.is_handover:
            return None
        reply = await asyncio.shield(rec.answer)
        return None if reply.kind is AnswerKind.REFUSED else reply

    def _take_in(
        self, call: SubmitCall, rule: QueueRule, former: JobRecord | None
    ) -> JobRecord:
        """Make a job's record; `former` is that of an earlier try without a result."""
        job, now = call.job, self.timers.now()
        answer = asyncio.get_running_loop().create_future()
        aim = aim_of(job, rule, call.wait_s)
        rec = JobRecord(job, rule, call.share, aim, now, answer)
        if former is not None:
            rec.runs = former.runs
            rec.doubt_since = former.doubt_since
            rec.again = former.again or former.offered
        if job.id in self._handed_on:
            rec.again = rec.again or self._handed_on[job.id][1].again
        self._learn(rec, call)
        rec.doubt_since = max(rec.doubt_since, self._doubts.pop(job.id, NEVER))
        self.records[job.id] = self._open[job.id] = rec
        self.announce(job.id)
        self.counts.submitted += 1
        return rec

    def _learn(self, rec: JobRecord, call: SubmitCall) -> None:
        """Take in what a call tells of a job and of earlier owners."""
        repeated = (call.origin, call.number) in rec.requests
        rec.learn(call)
        if call.is_handover and not repeated:
            self.mark_share_in_doubt(call.share)

    def cancel(self, job: str) -> None:
        """Drop a job whose caller has left."""
        rec = self._open.get(job)
        if rec is not None:
            self.counts.cancelled += 1
            self._end(rec, JobReply(AnswerKind.BROKEN, "cancelled by its caller"))

    def hand_over(self, share: ShareId) -> list[tuple[JobRecord, SubmitCall]]:
        """Take out every job of a share under way, with what is known of it."""
        taken = []
        for rec in [r for r in self._open.values() if r.share == share]:
            del self.records[rec.job.id], self._open[rec.job.id]
            rec.ending = True
            call = rec.handed_on()
            rec.again = call.again
            self._handed_on[rec.job.id] = (self.timers.now(), rec)
            for work in list(rec.works.values()):
                if work.waiting:
                    self.pool.withdraw(work)
            taken.append((rec, call))
        for rec in [r for r in self.records.values() if r.share == share]:
            # What is left of it is the next owner's to stop.
            rec.works.clear()
            rec.cleared.set()
        return taken

    def _tick(self) -> None:
        """Refuse what waited too long untouched; forget old answers."""
        now = self.timers.now()
        for rec in list(self._open.values()):
            age = now - rec.arrived_at
            if rec.offered or rec.borrows:
                continue
            if age > rec.aim.give_up_s:
                self._end(rec, refusal_in_vain(rec, now))
            elif age > rec.aim.slack_s and not rec.late:
                rec.late = True
                self.pool.reorder(list(rec.works.values()), rec.sort_key)
        self._forget(now)

    def _forget(self, now: float) -> None:
        """Drop records whose callers no longer come back, and doubts as old."""
        while self._answered and now - self._answered[0][0] > KEEP_ANSWER_S:
            rec = self._answered.popleft()[1]
            if rec.works:
                self._answered.append((now, rec))
            elif self.records.get(rec.job.id) is rec:
                del self.records[rec.job.id]
        for job in [j for j, at in self._doubts.items() if now - at > KEEP_ANSWER_S]:
            del self._doubts[job]
        old = now - KEEP_ANSWER_S
        for job in [j for j, (at, _) in self._handed_on.items() if at < old]:
            del self._handed_on[job]

    async def _settle_past(self, rec: JobRecord) -> bool:
        """Make sure that no unknown run of the job is left anywhere."""
        began = self.timers.now()
        tries = 0
        while True:
            new_owner = self.in_doubt_since.get(rec.share, NEVER)
            now = self.timers.now()
            lapsed = now - new_owner > SETTLED_AFTER_S
            if lapsed and now - rec.doubt_since > KEEP_ANSWER_S:
                if tries:
                    self.counts.past_lapsed += 1
                    self._tell_past(rec, "past settled", "time", began, tries)
                return True
            tries += 1
            if await self.find_all(rec.job.id, rec.share):
                rec.doubt_since = NEVER
                self.counts.past_found += 1
                self._tell_past(rec, "past settled", "owners", began, tries)
                return True
            if self.timers.now() - began > SETTLE_TRIES_S:
                self.counts.past_unsettled += 1
                self._tell_past(rec, "past not settled", None, began, tries)
                return False
            await self.timers.sleep(SETTLE_STEP_S)

    def _tell_past(
        self, rec: JobRecord, event: str, by: str | None, began: float, tries: int
    ) -> None:
        """Tell on what ground a past is called over, if there may be one."""
        if tries == 1 and not rec.again and not rec.runs:
            # A new job right after a takeover; there are too many of them.
            return
        links = self.pool.links
        log.info(
            event,
            extra={
                "job": rec.job.id,
                "by": by,
                "waited_ms": round((self.timers.now() - began) * MS_PER_S),
                "tries": tries,
                "again": rec.again,
                "runs_named": len(rec.runs),
                "held": sum(link.share == rec.share for link in links.values()),
            },
        )

    def record_dispatch(self, work: Work) -> None:
        """Take note that a task was given to a runner or to another owner."""
        rec = self.records.get(work.task.job)
        if rec is not None:
            rec.offered = True
            rec.runs[work.task] = work.run_number

    def _end(self, rec: JobRecord, reply: JobReply) -> None:
        """Answer a job and stop what is left of it."""
        rec.ending = True
        self._answer(rec, reply)
        for work in list(rec.works.values()):
            self.pool.withdraw(work)
        if not rec.works:
            rec.cleared.set()

    def _answer(self, rec: JobRecord, reply: JobReply) -> None:
        if rec.answer.done():
            return
        if rec.again:
            reply = _without_promise(reply)
        rec.answer.set_result(reply)
        if not rec.works:
            rec.cleared.set()
        now = rec.answered_at = self.timers.now()
        if self._open.get(rec.job.id) is rec:
            del self._open[rec.job.id]
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
                "objective_ms": round(rec.aim.objective_s * MS_PER_S),
                "waiting": self.pool.waiting,
                "tasks": rec.task_count,
                "failures": sum(rec.attempts.values()),
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


def _without_promise(reply: JobReply) -> JobReply:
    """Return a reply that does not call a job not run that another owner may have."""
    if reply.kind is AnswerKind.REFUSED:
        return JobReply(AnswerKind.BROKEN, reply.detail)
    return reply
