"""The steps and tasks of a job: which may wait for room, and what their ends mean."""

import logging
from collections.abc import Callable
from dataclasses import dataclass

from monsoongap.coordination.job_record import JobRecord
from monsoongap.coordination.pool import Pool
from monsoongap.coordination.work import RunOutcome, Work
from monsoongap.errors import AnswerKind
from monsoongap.protocol.messages import JobReply, TaskId

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Steps:
    """Brings the tasks of jobs to the pool. `end` answers a job."""

    pool: Pool
    end: Callable[[JobRecord, JobReply], None]

    def begin(self, rec: JobRecord) -> None:
        """Let the tasks of every step wait whose forerunners are done."""
        if rec.answer.done():
            return
        for number, step in enumerate(rec.job.steps):
            if number in rec.steps_begun:
                continue
            if not all(rec.step_done(before) for before in step.after):
                continue
            rec.steps_begun.add(number)
            for index in range(step.count):
                task = TaskId(rec.job.id, number, index)
                if task not in rec.done:
                    self._begin_task(rec, task)
        if rec.whole:
            self.end(rec, JobReply(AnswerKind.COMPLETED))

    def _begin_task(self, rec: JobRecord, task: TaskId) -> None:
        step = rec.job.steps[task.step]
        work = Work(
            task,
            rec.rule.name,
            rec.job.payload,
            step.size,
            (*rec.sort_key, task.step, task.index),
            lambda work, over, runner: self._task_over(rec, work, over, runner),
            rec.share,
            estimate_s=step.estimate_s,
            label=step.label,
            rack=step.near_rack,
            most_per_runner=step.most_per_runner,
            run_number=rec.runs.get(task, 0) + 1,
        )
        rec.works[task] = work
        if not self.pool.adopt(work):
            self.pool.add(work)

    def _task_over(
        self, rec: JobRecord, work: Work, over: RunOutcome, runner: str
    ) -> None:
        task = work.task
        if rec.works.get(task) is work:
            del rec.works[task]
        if over is RunOutcome.DONE:
            rec.mark_done(task)
        if rec.ending:
            if not rec.works:
                rec.cleared.set()
            return
        match over:
            case RunOutcome.DONE:
                self.begin(rec)
            case RunOutcome.FAILED:
                tries = rec.attempts[task] = rec.attempts.get(task, 0) + 1
                if tries >= rec.rule.max_attempts:
                    self.end(rec, JobReply(AnswerKind.FAILED, "a task failed"))
                else:
                    self._again(rec, work, over, runner)
            case RunOutcome.MALFORMED:
                self.end(rec, JobReply(AnswerKind.FAILED, "a runner refused the task"))
            case RunOutcome.NO_ROOM:
                self._again(rec, work, over, "")
            case _:
                self._again(rec, work, over, runner)

    def _again(self, rec: JobRecord, work: Work, over: RunOutcome, avoid: str) -> None:
        rec.runs[work.task] = max(rec.runs.get(work.task, 0), work.run_number)
        work.run_number = rec.runs[work.task] + 1
        if avoid:
            work.avoid.add(avoid)
        rec.works[work.task] = work
        log.info(
            "task placed again",
            extra={
                "job": work.task.job,
                "task": f"{work.task.step}.{work.task.index}",
                "reason": over.name.lower(),
                "avoid": avoid or None,
                "failures": rec.attempts.get(work.task, 0),
                "allowed": rec.rule.max_attempts,
            },
        )
        self.pool.add(work)
