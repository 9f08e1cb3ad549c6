"""Collecting the answers that workers keep, without touching what runs.

An issued id tells nothing of the workers that its home used, so nothing about
tasks that no worker knows can be proved. But when the workers of the home's data
centre have the answer of every task, it is the answer: no task starts twice.
"""

import asyncio
import logging

from monsoongap.coordination.parts import Directory
from monsoongap.coordination.settle import Answered, Attempt, Settler, read_report
from monsoongap.protocol.ids import task_id
from monsoongap.protocol.messages import JobAnswer, TaskState
from monsoongap.timers import TimerService

log = logging.getLogger(__name__)

MAX_QUESTIONS = 32
MAX_QUESTIONS_PER_JOB = 5_000
RUNNING_WAIT_MS = 1_000


class Collector:
    """Asks every worker of this data centre for the answers of a job."""

    def __init__(
        self, settler: Settler, directory: Directory, timers: TimerService
    ) -> None:
        self._settler = settler
        self._directory = directory
        self._timers = timers
        self._questions = asyncio.Semaphore(MAX_QUESTIONS)

    async def collect(
        self, submission: str, tasks: int, deadline_at: float
    ) -> JobAnswer | None:
        """Return the complete answer, or None when some of it can't be had.

        A body of fewer tasks than the job had gets None; other changes of a body
        can't be seen from the workers. Waits for tasks that still run until
        `deadline_at` on the timer clock.
        """
        workers = [info.name for info in self._directory.workers()]
        if tasks * len(workers) > MAX_QUESTIONS_PER_JOB:
            return None
        values = []
        for index in range(tasks):
            task = task_id(submission, index)
            found = await self._find(submission, task, workers, deadline_at)
            if found is None:
                return None
            values.append(found.value)
        if await self._has_more(submission, tasks, workers):
            return None
        log.info(
            "recovered",
            extra={"submission": submission, "reason": "workers kept the answers"},
        )
        return JobAnswer(submission, tuple(values))

    async def _has_more(self, submission: str, tasks: int, workers: list[str]) -> bool:
        """Tell whether the job had more tasks than its caller says now."""
        task = task_id(submission, tasks)
        attempts = [Attempt(worker, submission, task, 0, 0) for worker in workers]
        reports = await asyncio.gather(
            *(self._settler.inspect(attempt, 0) for attempt in attempts)
        )
        return any(
            report and report.state is not TaskState.UNKNOWN for report in reports
        )

    async def _find(
        self, submission: str, task: str, workers: list[str], deadline_at: float
    ) -> Answered | None:
        """Ask all workers about one task; at most one can have started it."""
        attempts = [Attempt(worker, submission, task, 0, 0) for worker in workers]
        asked = [asyncio.create_task(self._ask(a, deadline_at)) for a in attempts]
        try:
            for reply in asyncio.as_completed(asked):
                found = await reply
                if found is not None:
                    return found
        finally:
            for work in asked:
                work.cancel()
        return None

    async def _ask(self, attempt: Attempt, deadline_at: float) -> Answered | None:
        async with self._questions:
            report = await self._settler.inspect(attempt, 0)
        while report is not None and report.state is TaskState.RUNNING:
            if self._timers.now() >= deadline_at:
                return None
            report = await self._settler.inspect(attempt, RUNNING_WAIT_MS)
        end = None if report is None else read_report(report)
        return end if isinstance(end, Answered) else None
