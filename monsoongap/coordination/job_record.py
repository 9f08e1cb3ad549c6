"""One job as its owner keeps it, and what can be told of it without deciding."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from monsoongap.coordination.time_budget import Aim
from monsoongap.coordination.work import Work
from monsoongap.errors import AnswerKind
from monsoongap.protocol.messages import (
    Job,
    JobReply,
    QueueRule,
    ShareId,
    SubmitCall,
    TaskId,
)

# Earlier than anything that happened.
NEVER = -1e9
# A call is repeated after 0.7 s, and a refused caller told to stay away for a second.
REFUSAL_COUNTS_S = 1.0


@dataclass(slots=True, eq=False)
class JobRecord:
    """One job under way or answered lately.

    `runs` holds the highest number given to a run of each task. `offered` says that
    a task was ordered, here or elsewhere; `again` that an earlier owner may have begun
    the job; `ending` that it is answered or handed on. `doubt_since` is when an owner
    was lost that may have runs of it. `cleared` is set when no run is left.
    """

    job: Job
    rule: QueueRule
    share: ShareId
    aim: Aim
    arrived_at: float
    answer: asyncio.Future[JobReply]
    works: dict[TaskId, Work] = field(default_factory=dict)
    done: set[TaskId] = field(default_factory=set)
    attempts: dict[TaskId, int] = field(default_factory=dict)
    runs: dict[TaskId, int] = field(default_factory=dict)
    steps_begun: set[int] = field(default_factory=set)
    offered: bool = False
    again: bool = False
    ending: bool = False
    late: bool = False
    requests: set[tuple[str, int]] = field(default_factory=set)
    doubt_since: float = NEVER
    answered_at: float = NEVER
    cleared: asyncio.Event = field(default_factory=asyncio.Event)
    _done_of_step: Counter[int] = field(default_factory=Counter)

    @property
    def sort_key(self) -> tuple[float, ...]:
        """Where the job's tasks stand among all that wait."""
        return (self.rule.priority, float(self.late), self.arrived_at)

    @property
    def borrows(self) -> bool:
        """Tell whether a task of the job is with another owner."""
        return any(work.borrowed_from for work in self.works.values())

    def still_counts(self, call: SubmitCall, now: float) -> bool:
        """Tell whether a call for the same job gets this record's answer.

        A refusal counts for the request that got it, however late its call comes
        again, and for a while for all: another call may have been under way.
        """
        if not self.answer.done():
            return True
        match self.answer.result().kind:
            case AnswerKind.COMPLETED | AnswerKind.FAILED:
                return True
            case AnswerKind.REFUSED:
                same = call.number > 0 and (call.origin, call.number) in self.requests
                return same or now - self.answered_at < REFUSAL_COUNTS_S
            case _:
                return False

    @property
    def task_count(self) -> int:
        """Number of tasks of all steps."""
        return sum(step.count for step in self.job.steps)

    def step_done(self, number: int) -> bool:
        """Tell whether all tasks of a step have ended well."""
        return self._done_of_step[number] >= self.job.steps[number].count

    @property
    def whole(self) -> bool:
        """Tell whether every task has ended well."""
        return all(self.step_done(number) for number in range(len(self.job.steps)))

    def mark_done(self, task: TaskId) -> None:
        """Take note that a task ended well."""
        if task not in self.done:
            self.done.add(task)
            self._done_of_step[task.step] += 1

    def learn(self, call: SubmitCall) -> None:
        """Take in what another host knows of the job.

        Which tasks are done and how often they ran counts until the first one is begun.
        """
        self.again = self.again or call.again
        self.requests.add((call.origin, call.number))
        if self.steps_begun:
            return
        for task in call.done:
            self.mark_done(task)
        for task, run in call.runs:
            self.runs[task] = max(self.runs.get(task, 0), run)

    def handed_on(self) -> SubmitCall:
        """Return the call that hands the job to the next owner of its share."""
        return SubmitCall(
            self.job,
            "",
            0,
            self.share,
            done=tuple(self.done),
            runs=tuple(self.runs.items()),
            again=self.again or self.offered or self.borrows,
            wait_s=self.aim.wait_s,
        )
