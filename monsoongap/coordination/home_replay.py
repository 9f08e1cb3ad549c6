"""Outcomes of the past for callers that come again."""

import asyncio

from monsoongap.coordination.recovery_collect import Collector
from monsoongap.errors import DispatchError, ErrorKind, Outcome
from monsoongap.protocol.messages import JobError, JobOutcome, JobRequest
from monsoongap.state.jobs import JobEntry, JobTable
from monsoongap.timers import TimerService


class Replay:
    """Waits for running jobs and looks again at what was left open."""

    def __init__(
        self, table: JobTable, collector: Collector, timers: TimerService
    ) -> None:
        self._table = table
        self._collector = collector
        self._timers = timers

    async def outcome(
        self, known: JobOutcome | JobEntry, req: JobRequest, deadline_at: float
    ) -> JobOutcome:
        """Wait for a running job; leaving this wait does not stop it.

        An unsettled outcome of before is worth another look: a worker that was cut
        off may have the answers now.
        """
        if isinstance(known, JobEntry):
            return await asyncio.shield(known.finished)
        if not _is_unsettled(known) or known.submission is None:
            return known
        answer = await self._collector.collect(
            known.submission, len(req.tasks), deadline_at
        )
        if answer is None:
            return known
        self._table.improve(answer)
        return answer

    async def forgotten(self, submission: str, req: JobRequest) -> JobOutcome:
        """Return the answer of a job whose outcome had to make room.

        Raises `not_found` unless the workers still have all of it.
        """
        now = self._timers.now()
        answer = await self._collector.collect(submission, len(req.tasks), now)
        if answer is None:
            raise DispatchError(ErrorKind.NOT_FOUND, "its outcome is forgotten")
        return answer


def _is_unsettled(outcome: JobOutcome) -> bool:
    """Tell whether the workers may know more by now."""
    return (
        isinstance(outcome, JobError)
        and outcome.error == ErrorKind.START_UNSETTLED
        and outcome.outcome == Outcome.UNKNOWN
    )
