"""The record that an owner keeps of one job."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from math import isfinite

from monsoongap.coordination.open_call import OpenCall
from monsoongap.coordination.start_basis import StartBasis
from monsoongap.coordination.time_budget import TimeBudget
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

# A time earlier than any event.
NEVER = -1e9
# Longer than the 0.7 s after which a call is repeated, and as long as a refused caller
# is asked to wait.
REFUSAL_VALID_S = 1.0


@dataclass(slots=True, eq=False)
class JobRecord:
    """One job in progress, or answered recently.

    `run_numbers` holds the highest run number given to each task. `dispatched` says
    that a task was given to a runner or to another owner; `may_have_started` that a
    previous owner may have started the job; `closed` that the job is answered or handed
    over; `late` that it waited longer than its slack. `requests` holds the origin and
    number of each caller's request for the job. `in_doubt_since` is when contact was
    lost with an owner that may have runs of the job. `expires_at` is when the last of
    its callers stops waiting; infinite if one did not say. `announced_at` is when other
    owners were last told of the job. `runs_ended` is set when no run is left.
    `reconciling` says that runs of previous owners are awaited, `held_s` for how long
    they were. `overdue` says that the job was logged as overdue, `at_two_owners` that
    it was logged as in progress at another owner, too. `open_calls` are the calls that
    wait for the answer; `callers_lost_at` is when the last of them was closed, None
    while there are some. `awaited_at` is when a caller was last known to wait by a
    request that came. `forwarding` hands the job over, and gets its answer from the
    next owner. `basis` is by what this owner knew that nothing of the job ran, until
    its first tasks are queued; None if no doubt was known.
    """

    job: Job
    rule: QueueRule
    share: ShareId
    budget: TimeBudget
    arrived_at: float
    answer: asyncio.Future[JobReply]
    works: dict[TaskId, Work] = field(default_factory=dict)
    done_tasks: set[TaskId] = field(default_factory=set)
    failed_attempts: dict[TaskId, int] = field(default_factory=dict)
    run_numbers: dict[TaskId, int] = field(default_factory=dict)
    started_steps: set[int] = field(default_factory=set)
    dispatched: bool = False
    may_have_started: bool = False
    closed: bool = False
    late: bool = False
    requests: set[tuple[str, int]] = field(default_factory=set)
    in_doubt_since: float = NEVER
    expires_at: float = NEVER
    announced_at: float = NEVER
    answered_at: float = NEVER
    runs_ended: asyncio.Event = field(default_factory=asyncio.Event)
    reconciling: bool = False
    held_s: float = 0.0
    overdue: bool = False
    at_two_owners: bool = False
    open_calls: set[OpenCall] = field(default_factory=set)
    callers_lost_at: float | None = None
    awaited_at: float = NEVER
    forwarding: asyncio.Task[None] | None = None
    basis: StartBasis | None = None
    _done_count_by_step: Counter[int] = field(default_factory=Counter)

    @property
    def sort_key(self) -> tuple[float, ...]:
        """Sort key of the job's tasks among all waiting tasks; lowest first."""
        return (self.rule.priority, float(self.late), self.arrived_at)

    @property
    def is_borrowing(self) -> bool:
        """Return whether a task of the job runs, or may still run, at another owner."""
        return any(work.borrowed_from or work.settling for work in self.works.values())

    def may_run_outside(self, since: float) -> bool:
        """Return whether runs of the job may be elsewhere than on its share's runners.

        `since` is the time from which the loss of contact with an owner counts.
        """
        if self.in_doubt_since > since:
            return True
        if not self.started_steps and not self.answer.done():
            # Runs of previous owners are still being reconciled.
            return True
        return any(
            not work.waiting and (work.link is None or work.link.share != self.share)
            for work in self.works.values()
        )

    def applies_to(self, call: SubmitCall, now: float) -> bool:
        """Return whether a call for the same job gets this record's answer.

        A refusal applies to the request that got it, however late its call is repeated,
        and for a short time to all requests: another call may have been in flight.
        """
        if not self.answer.done():
            return True
        match self.answer.result().kind:
            case AnswerKind.COMPLETED | AnswerKind.FAILED:
                return True
            case AnswerKind.REFUSED:
                same = call.number > 0 and (call.origin, call.number) in self.requests
                return same or now - self.answered_at < REFUSAL_VALID_S
            case _:
                return False

    @property
    def capacity_timeout_s(self) -> float:
        """Age at which the job is ended if none of its tasks was dispatched.

        Runners were idle while it was held, so that time does not count as long as its
        caller still waits for it.
        """
        timeout_s = self.budget.capacity_timeout_s
        if not self.held_s:
            return timeout_s
        extended_s = timeout_s + self.held_s
        return max(timeout_s, min(extended_s, self.budget.latest_start_s))

    @property
    def task_count(self) -> int:
        """Number of tasks in all steps."""
        return sum(step.count for step in self.job.steps)

    def is_step_done(self, number: int) -> bool:
        """Return whether all tasks of a step have completed."""
        return self._done_count_by_step[number] >= self.job.steps[number].count

    @property
    def all_done(self) -> bool:
        """Return whether every task has completed."""
        return all(self.is_step_done(number) for number in range(len(self.job.steps)))

    def mark_done(self, task: TaskId) -> None:
        """Record that a task has completed."""
        if task not in self.done_tasks:
            self.done_tasks.add(task)
            self._done_count_by_step[task.step] += 1

    def merge_call(self, call: SubmitCall, now: float, received_at: float) -> None:
        """Update the record with what a call that came at `now` says of the job.

        It may have arrived since `received_at`, if this process was paused. A repeated
        call extends no wait: it tells the one that the first call told.
        Completed tasks and run numbers are ignored once a step has started here.
        """
        self.may_have_started = self.may_have_started or call.again
        request = (call.origin, call.number)
        if request not in self.requests or call.is_handover:
            self.expires_at = max(self.expires_at, now + call.wait_left_s)
            self.awaited_at = max(self.awaited_at, received_at - call.awaited_s)
        self.requests.add(request)
        if self.started_steps:
            return
        for task in call.done:
            self.mark_done(task)
        for task, run in call.runs:
            self.run_numbers[task] = max(self.run_numbers.get(task, 0), run)

    def handover_call(self, now: float) -> SubmitCall:
        """Return the call that hands the job over to the next owner of its share."""
        left_s = self.expires_at - now
        wait_s = max(self.budget.wait_s, left_s) if isfinite(left_s) else 0.0
        return SubmitCall(
            self.job,
            "",
            0,
            self.share,
            done=tuple(self.done_tasks),
            runs=tuple(self.run_numbers.items()),
            again=self.may_have_started or self.dispatched or self.is_borrowing,
            wait_s=wait_s,
            waited_s=wait_s - left_s if wait_s else 0.0,
            rule=self.rule,
        )
