"""The steps and tasks of a job: when they are queued, and the effect of their ends."""

import logging
from collections.abc import Callable
from dataclasses import dataclass

from monsoongap.coordination.job_record import JobRecord
from monsoongap.coordination.pool import Pool
from monsoongap.coordination.time_budget import path_after_s
from monsoongap.coordination.work import RunOutcome, Work
from monsoongap.errors import AnswerKind
from monsoongap.protocol.messages import JobReply, TaskId

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Steps:
    """Queues the tasks of jobs in the pool. `end` answers a job."""

    pool: Pool
    end: Callable[[JobRecord, JobReply], None]

    def start(self, rec: JobRecord) -> None:
        """Queue the tasks of every step whose preceding steps are done."""
        if rec.answer.done():
            return
        for number, step in enumerate(rec.job.steps):
            if number in rec.started_steps:
                continue
            if not all(rec.is_step_done(before) for before in step.after):
                continue
            rec.started_steps.add(number)
            after_s = path_after_s(rec.job, number)
            due_at = rec.arrived_at + rec.budget.objective_s - after_s
            for index in range(step.count):
                task = TaskId(rec.job.id, number, index)
                if task not in rec.done_tasks:
                    self._start_task(rec, task, due_at)
        rec.basis = None
        if rec.all_done:
            self.end(rec, JobReply(AnswerKind.COMPLETED))

    def _start_task(self, rec: JobRecord, task: TaskId, due_at: float) -> None:
        step = rec.job.steps[task.step]
        work = Work(
            task,
            rec.rule.name,
            rec.rule.upstream,
            rec.job.payload,
            step.size,
            (*rec.sort_key, task.step, task.index),
            lambda work, outcome, runner: self._task_ended(rec, work, outcome, runner),
            rec.share,
            estimate_s=step.estimate_s,
            label=step.label,
            rack=step.near_rack,
            most_per_runner=step.most_per_runner,
            run_number=rec.run_numbers.get(task, 0) + 1,
            due_at=due_at,
            useless_at=rec.expires_at,
            arrived_at=rec.arrived_at,
            again=rec.may_have_started,
            basis=rec.basis,
        )
        rec.works[task] = work
        if not self.pool.adopt(work):
            self.pool.add(work)

    def _task_ended(
        self, rec: JobRecord, work: Work, outcome: RunOutcome, runner: str
    ) -> None:
        task = work.task
        if rec.works.get(task) is work:
            del rec.works[task]
        if outcome is RunOutcome.DONE:
            rec.mark_done(task)
        if rec.closed:
            if not rec.works:
                rec.runs_ended.set()
            return
        match outcome:
            case RunOutcome.DONE:
                self.start(rec)
            case RunOutcome.FAILED:
                tries = rec.failed_attempts[task] = rec.failed_attempts.get(task, 0) + 1
                if tries >= rec.rule.max_attempts:
                    self.end(rec, JobReply(AnswerKind.FAILED, "a task failed"))
                else:
                    self._requeue(rec, work, outcome, runner)
            case RunOutcome.MALFORMED:
                self.end(
                    rec,
                    JobReply(
                        AnswerKind.FAILED, "a runner rejected the task as malformed"
                    ),
                )
            case RunOutcome.NO_ROOM:
                self._requeue(rec, work, outcome, "")
            case _:
                self._requeue(rec, work, outcome, runner)

    def _requeue(
        self, rec: JobRecord, work: Work, outcome: RunOutcome, avoid: str
    ) -> None:
        rec.run_numbers[work.task] = max(
            rec.run_numbers.get(work.task, 0), work.run_number
        )
        work.run_number = rec.run_numbers[work.task] + 1
        work.useless_at = rec.expires_at
        if avoid:
            work.avoid.add(avoid)
        rec.works[work.task] = work
        log.info(
            "task requeued",
            extra={
                "job": work.task.job,
                "task": f"{work.task.step}.{work.task.index}",
                "reason": outcome.name.lower(),
                "avoid": avoid or None,
                "failures": rec.failed_attempts.get(work.task, 0),
                "allowed": rec.rule.max_attempts,
            },
        )
        self.pool.add(work)
