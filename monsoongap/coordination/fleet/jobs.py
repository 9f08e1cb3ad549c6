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

from monsoongap.coordination.fleet.admission import Aim, aim_of
from monsoongap.coordination.fleet.elsewhere import number_of
from monsoongap.coordination.fleet.link import Over
from monsoongap.coordination.fleet.pool import Backlog, Pool, Work
from monsoongap.protocol.fleet import (
    AnswerKind,
    Job,
    JobReply,
    QueueRule,
    ShareId,
    SubmitCall,
    TaskId,
)
from monsoongap.timers import TimerService

log = logging.getLogger(__name__)

# A caller sends a job again after 1.3 s; answers are kept for several tries.
KEEP_ANSWER_S = 15.0
# What an earlier owner or a lost lender began is over after this at the latest:
# the lender's wait for its borrower, orphans' time and a lease.
SETTLED_AFTER_S = 4.0
SETTLE_STEP_S = 0.1
SETTLE_TRIES_S = 1.0
# Long enough for three heartbeats to tell of a job.
TELL_BEGUN_S = 0.35
MS_PER_S = 1000
# Declared times are off by two fifths and room of other owners is not counted, so a
# job is given up only when it would wait for twice the time that it has to spare.
HOPELESS_SLACKS = 2.0
# Short jobs are refused within some 35 ms or not at all.
DECIDE_TICK_S = 0.02
# A host whose loop is later than this is short of processor: a short job's whole
# slack is gone, and heartbeats come late.
OVERLOAD_LAG_S = 0.08
LAG_WEIGHT = 0.2
# Lending answers within one round trip between data centres.
DECIDE_AFTER_S = 0.01
# How long a refused caller is told to stay away.
RETRY_AFTER_S = 1.0


@dataclass(slots=True)
class JobCounts:
    """Answers, by kind, and joins, for the metrics."""

    submitted: int = 0
    joined: int = 0
    completed: int = 0
    failed: int = 0
    refused: int = 0
    broken: int = 0
    cancelled: int = 0


@dataclass(slots=True, eq=False)
class JobRecord:
    """One job under way or answered lately."""

    job: Job
    rule: QueueRule
    share: ShareId
    arrived_at: float
    answer: asyncio.Future[JobReply]
    works: dict[TaskId, Work] = field(default_factory=dict)
    done: set[TaskId] = field(default_factory=set)
    attempts: dict[TaskId, int] = field(default_factory=dict)
    steps_begun: set[int] = field(default_factory=set)
    offered: bool = False
    again: bool = False
    ending: bool = False
    doubt_since: float = -1e9
    late: bool = False
    aim: Aim = Aim(0.0, 0.0)
    cleared: asyncio.Event = field(default_factory=asyncio.Event)
    runs: dict[TaskId, int] = field(default_factory=dict)


@dataclass(slots=True)
class Jobs:
    """The jobs of one owner. `find_all` stops or finds all runs of a job, anywhere.

    `in_doubt_since` is when this host became the owner of a share: what it does not
    know of was begun before.
    """

    pool: Pool
    timers: TimerService
    rule_of: Callable[[str], QueueRule | None]
    find_all: Callable[[str, ShareId], Awaitable[bool]]
    in_doubt_since: dict[ShareId, float] = field(default_factory=dict)
    counts: JobCounts = field(default_factory=JobCounts)
    records: dict[str, JobRecord] = field(default_factory=dict)
    _begun: deque[tuple[float, int]] = field(default_factory=deque)
    lag_s: float = 0.0
    _decided_at: float = 0.0
    _undecided: list[JobRecord] = field(default_factory=list)
    _doubts: dict[str, float] = field(default_factory=dict)

    @property
    def in_flight(self) -> int:
        """Number of jobs without an answer."""
        return sum(1 for r in self.records.values() if not r.answer.done())

    def knows(self, job: str) -> bool:
        """Tell whether a job is or lately was seen through here."""
        return job in self.records

    def doubt(self, job: str) -> None:
        """Take note that a lost owner may have runs of a job."""
        self._doubts[job] = self.timers.now()

    def begun_lately(self) -> tuple[int, ...]:
        """Return the numbers of the jobs begun lately, for other owners."""
        oldest = self.timers.now() - TELL_BEGUN_S
        while self._begun and self._begun[0][0] < oldest:
            self._begun.popleft()
        return tuple(number for _, number in self._begun)

    def untouched(self, queue: str) -> int:
        """Return the number of a queue's jobs of which nothing was started."""
        return sum(
            1
            for rec in self.records.values()
            if rec.rule.name == queue and not rec.offered and not rec.answer.done()
        )

    async def submit(self, call: SubmitCall) -> JobReply:
        """See a job through, or join it; returns its one answer."""
        job = call.job
        rec = self.records.get(job.id)
        if rec is not None and rec.ending and not rec.cleared.is_set():
            await rec.cleared.wait()
            rec = self.records.get(job.id)
        if rec is not None and _still_counts(rec):
            self.counts.joined += 1
            log.info("job joined", extra={"job": job.id, "origin": call.origin})
            return await asyncio.shield(rec.answer)
        rule = self.rule_of(job.queue)
        if rule is None:
            return JobReply(AnswerKind.UNKNOWN_QUEUE, "no such queue")
        if self.lag_s > OVERLOAD_LAG_S and not call.again and not call.here:
            self.counts.refused += 1
            detail = f"host overloaded: {round(self.lag_s * MS_PER_S)} ms late"
            log.info("job refused", extra={"job": job.id, "reason": detail})
            return JobReply(AnswerKind.REFUSED, detail, RETRY_AFTER_S)
        new = JobRecord(
            job,
            rule,
            call.share,
            self.timers.now(),
            asyncio.get_running_loop().create_future(),
        )
        new.aim = aim_of(job, rule)
        if rec is not None:
            new.runs = rec.runs
            new.doubt_since = rec.doubt_since
        new.again = call.again
        new.done.update(call.done)
        new.runs.update(dict(call.runs))
        new.doubt_since = max(new.doubt_since, self._doubts.pop(job.id, -1e9))
        self.records[job.id] = new
        self._begun.append((new.arrived_at, number_of(job.id)))
        self.counts.submitted += 1
        settled = await self._settle_past(new)
        if new.ending:
            # Meanwhile cancelled, or handed to the next owner, who answers.
            return await asyncio.shield(new.answer)
        if not settled:
            detail = "what an earlier owner began is not settled"
            refusal = JobReply(AnswerKind.REFUSED, detail, RETRY_AFTER_S)
            self._answer(new, refusal)
            return new.answer.result()
        self._undecided.append(new)
        self._begin_steps(new)
        return await asyncio.shield(new.answer)

    def cancel(self, job: str) -> None:
        """Drop a job whose caller has left."""
        rec = self.records.get(job)
        if rec is not None and not rec.answer.done():
            self.counts.cancelled += 1
            self._end(rec, JobReply(AnswerKind.BROKEN, "cancelled by its caller"))

    def hand_over(self, share: ShareId) -> list[tuple[JobRecord, SubmitCall]]:
        """Take out every job of a share under way, with what is known of it."""
        taken = []
        under_way = [r for r in self.records.values() if not r.answer.done()]
        for rec in [r for r in under_way if r.share == share]:
            del self.records[rec.job.id]
            rec.ending = True
            call = SubmitCall(
                rec.job,
                "",
                0,
                share,
                done=tuple(rec.done),
                runs=tuple(rec.runs.items()),
                again=rec.again or rec.offered or _borrows(rec),
            )
            for work in list(rec.works.values()):
                if work.waiting:
                    self.pool.withdraw(work)
            taken.append((rec, call))
        return taken

    def decide(self) -> None:
        """Refuse new jobs that the work ahead of them leaves no time.

        Not at once: room that others lend takes a few milliseconds to be found.
        """
        now = self.timers.now()
        self._note_lag(now)
        undecided = []
        backlog: Backlog | None = None
        for rec in self._undecided:
            age = now - rec.arrived_at
            if rec.answer.done() or rec.offered or _borrows(rec):
                continue
            if age < DECIDE_AFTER_S:
                undecided.append(rec)
            elif age <= rec.aim.decide_s + DECIDE_AFTER_S:
                backlog = backlog or self.pool.backlog()
                ahead_s = backlog.ahead_s(self._order(rec))
                if _hopeless(rec, now, ahead_s):
                    self._end(rec, _refusal(rec, ahead_s))
                else:
                    undecided.append(rec)
        self._undecided = undecided

    def _note_lag(self, now: float) -> None:
        """Measure how late this host's own loop is."""
        if self._decided_at > 0:
            late = max(now - self._decided_at - DECIDE_TICK_S, 0.0)
            self.lag_s += LAG_WEIGHT * (late - self.lag_s)
        self._decided_at = now

    def tick(self) -> None:
        """Refuse what waited too long untouched; forget old answers."""
        now = self.timers.now()
        for id_, rec in list(self.records.items()):
            age = now - rec.arrived_at
            if rec.answer.done():
                if age > KEEP_ANSWER_S + rec.rule.timeout_s and not rec.works:
                    del self.records[id_]
            elif rec.offered or _borrows(rec):
                continue
            elif age > rec.aim.useless_s:
                self._end(rec, _refusal(rec, 0.0))
            elif age > rec.aim.slack_s and not rec.late:
                rec.late = True
                self.pool.demote(list(rec.works.values()), self._order(rec))

    def _order(self, rec: JobRecord) -> tuple[float, float, float]:
        return (rec.rule.priority, float(rec.late), rec.arrived_at)

    # The past of a job.

    async def _settle_past(self, rec: JobRecord) -> bool:
        """Make sure that no unknown run of the job is left anywhere."""
        began = self.timers.now()
        while True:
            new_owner = self.in_doubt_since.get(rec.share, -1e9)
            since = max(new_owner, rec.doubt_since)
            if self.timers.now() - since > SETTLED_AFTER_S:
                return True
            if await self.find_all(rec.job.id, rec.share):
                rec.doubt_since = -1e9
                return True
            if self.timers.now() - began > SETTLE_TRIES_S:
                return False
            await self.timers.sleep(SETTLE_STEP_S)

    # Steps and tasks.

    def _begin_steps(self, rec: JobRecord) -> None:
        """Let the tasks of every step wait whose forerunners are done."""
        if rec.answer.done():
            return
        job = rec.job
        for number, step in enumerate(job.steps):
            if number in rec.steps_begun:
                continue
            if not all(self._step_done(rec, before) for before in step.after):
                continue
            rec.steps_begun.add(number)
            for index in range(step.count):
                task = TaskId(job.id, number, index)
                if task not in rec.done:
                    self._begin_task(rec, task)
        if all(self._step_done(rec, n) for n in range(len(job.steps))):
            self._end(rec, JobReply(AnswerKind.COMPLETED))

    def _step_done(self, rec: JobRecord, number: int) -> bool:
        count = rec.job.steps[number].count
        return all(TaskId(rec.job.id, number, i) in rec.done for i in range(count))

    def _begin_task(self, rec: JobRecord, task: TaskId) -> None:
        step = rec.job.steps[task.step]
        work = Work(
            task,
            rec.rule.name,
            rec.job.payload,
            step.size,
            (*self._order(rec), task.step, task.index),
            lambda work, over, runner: self._task_over(rec, work, over, runner),
            rec.share,
            estimate_s=step.estimate_s,
            label=step.label,
            rack=step.near_rack,
            most_per_runner=step.most_per_runner,
            run=rec.runs.get(task, 0) + 1,
        )
        rec.works[task] = work
        if not self.pool.adopt(work):
            self.pool.add(work)

    def note_offer(self, work: Work) -> None:
        """Take note that a task was given to a runner or to another owner."""
        rec = self.records.get(work.task.job)
        if rec is not None:
            rec.offered = True
            rec.runs[work.task] = work.run

    def _task_over(self, rec: JobRecord, work: Work, over: Over, runner: str) -> None:
        task = work.task
        if rec.works.get(task) is work:
            del rec.works[task]
        if over is Over.DONE:
            rec.done.add(task)
        if rec.ending:
            if not rec.works:
                rec.cleared.set()
            return
        match over:
            case Over.DONE:
                self._begin_steps(rec)
            case Over.FAILED:
                tries = rec.attempts[task] = rec.attempts.get(task, 0) + 1
                if tries >= rec.rule.max_attempts:
                    self._end(rec, JobReply(AnswerKind.FAILED, "a task failed"))
                else:
                    self._again(rec, work, over, runner)
            case Over.MALFORMED:
                self._end(rec, JobReply(AnswerKind.FAILED, "a runner refused the task"))
            case Over.NO_ROOM:
                self._again(rec, work, over, "")
            case _:
                self._again(rec, work, over, runner)

    def _again(self, rec: JobRecord, work: Work, over: Over, avoid: str) -> None:
        rec.runs[work.task] = max(rec.runs.get(work.task, 0), work.run)
        work.run = rec.runs[work.task] + 1
        if avoid:
            work.avoid.add(avoid)
        rec.works[work.task] = work
        log.info(
            "task placed again",
            extra={
                "job": work.task.job,
                "task": work.task.index,
                "reason": over.name.lower(),
                "avoid": avoid or None,
                "failures": rec.attempts.get(work.task, 0),
                "allowed": rec.rule.max_attempts,
            },
        )
        self.pool.add(work)

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
        if rec.again and reply.kind is AnswerKind.REFUSED:
            # An earlier owner may have run some of it: "not run" could be untrue.
            reply = JobReply(AnswerKind.BROKEN, reply.detail)
        rec.answer.set_result(reply)
        if not rec.works:
            rec.cleared.set()
        match reply.kind:
            case AnswerKind.COMPLETED:
                self.counts.completed += 1
            case AnswerKind.FAILED:
                self.counts.failed += 1
            case AnswerKind.REFUSED:
                self.counts.refused += 1
            case _:
                self.counts.broken += 1
        log.info(
            "job answered",
            extra={
                "job": rec.job.id,
                "queue": rec.rule.name,
                "outcome": reply.kind.value,
                "detail": reply.detail,
                "took_ms": round((self.timers.now() - rec.arrived_at) * MS_PER_S),
                "objective_ms": round(rec.aim.objective_s * MS_PER_S),
                "waiting": self.pool.waiting,
                "tasks": sum(step.count for step in rec.job.steps),
                "failures": sum(rec.attempts.values()),
            },
        )


def _hopeless(rec: JobRecord, now: float, ahead_s: float) -> bool:
    """Tell whether what waits ahead leaves a job no time for its objective."""
    waited = now - rec.arrived_at
    return ahead_s > 0 and waited + ahead_s > HOPELESS_SLACKS * rec.aim.slack_s


def _refusal(rec: JobRecord, ahead_s: float) -> JobReply:
    slack_ms = round(rec.aim.slack_s * MS_PER_S)
    detail = f"no room in time: {round(ahead_s * MS_PER_S)} ms ahead, {slack_ms} spare"
    return JobReply(AnswerKind.REFUSED, detail, max(ahead_s, RETRY_AFTER_S))


def _borrows(rec: JobRecord) -> bool:
    """Tell whether a task of the job is with another owner."""
    return any(work.borrowed_from for work in rec.works.values())


def _still_counts(rec: JobRecord) -> bool:
    """Tell whether a job sent again joins this record."""
    if not rec.answer.done():
        return True
    return rec.answer.result().kind in (AnswerKind.COMPLETED, AnswerKind.FAILED)
