"""What can be proved of a job whose home is gone.

The claim of an own key lists the only workers, by boot number, that its home may
use. Each is asked about each task; a task it has not seen is barred there with a
fence above any that the home can send, so a home that was only paused finds its
starts refused. Recovery starts no task itself: only the process that claimed a
key ever does, hence any number of recoveries at once come to verdicts that agree.
"""

import asyncio
import logging
from typing import Any

from monsoongap.coordination.dispatch_attempt import RECOVERY_FENCE
from monsoongap.coordination.dispatch_verdict import error_outcome
from monsoongap.coordination.parts import Directory, PeerStatus
from monsoongap.coordination.settle import (
    Answered,
    Attempt,
    Barred,
    Broken,
    NeverStarted,
    Settler,
    TaskEnd,
    Unsettled,
    never_answers,
)
from monsoongap.errors import ErrorKind, Outcome
from monsoongap.protocol.ids import task_id
from monsoongap.protocol.messages import JobAnswer, JobOutcome, TaskState
from monsoongap.settings import PeersSection
from monsoongap.state.claims import ClaimRecord
from monsoongap.timers import TimerService

log = logging.getLogger(__name__)

MAX_QUESTIONS = 32
MAX_RECOVERIES = 32
MAX_TASKS_AT_ONCE = 8
SUSPECT_PERIODS = 2
MAX_AWAY = 1_000


class LostHosts:
    """Judges which hosts are gone, by how long they have been suspect."""

    def __init__(
        self, cfg: PeersSection, directory: Directory, timers: TimerService
    ) -> None:
        self._patience_s = SUSPECT_PERIODS * cfg.suspect_after_s
        self._directory = directory
        self._timers = timers
        self._away_since: dict[str, float] = {}
        directory.subscribe(self._changed)

    def gone(self, host: str, boot: int) -> bool:
        """Tell whether the process with this boot number is taken for lost.

        A false verdict costs a job its remaining starts, never a second start.
        """
        peer = self._directory.peer(host)
        if peer is not None and peer.boot > boot:
            return True
        if peer is not None and peer.status is not PeerStatus.SUSPECT:
            self._away_since.pop(host, None)
            return False
        since = self._away_since.setdefault(host, self._timers.now())
        return self._timers.now() - since >= self._patience_s

    def _changed(self) -> None:
        now = self._timers.now()
        for peer in self._directory.peers():
            if peer.status is PeerStatus.SUSPECT:
                self._away_since.setdefault(peer.name, now)
            else:
                self._away_since.pop(peer.name, None)
        while len(self._away_since) > MAX_AWAY:
            del self._away_since[next(iter(self._away_since))]


class Recovery:
    """Collects from the workers what they know of a lost home's job."""

    def __init__(self, settler: Settler, timers: TimerService) -> None:
        self._settler = settler
        self._timers = timers
        self._questions = asyncio.Semaphore(MAX_QUESTIONS)
        self._recoveries = asyncio.Semaphore(MAX_RECOVERIES)
        self._running: dict[str, asyncio.Task[JobOutcome]] = {}
        self.recovered = 0

    def close(self) -> None:
        """Stop at once."""
        for task in self._running.values():
            task.cancel()

    async def recover(self, claim: ClaimRecord, remaining_s: float) -> JobOutcome:
        """Return the outcome that the workers of a claim can prove.

        Tasks that still run are waited for until `remaining_s` has passed, then
        cancelled. Callers at the same time share one recovery.
        """
        task = self._running.get(claim.key)
        if task is None:
            task = asyncio.create_task(self._recover(claim, remaining_s))
            self._running[claim.key] = task
            task.add_done_callback(lambda _: self._running.pop(claim.key, None))
        return await asyncio.shield(task)

    async def _recover(self, claim: ClaimRecord, remaining_s: float) -> JobOutcome:
        loop = asyncio.get_running_loop()
        late: asyncio.Future[ErrorKind] = loop.create_future()
        timer = loop.call_later(
            max(remaining_s, 0.0), late.set_result, ErrorKind.DEADLINE
        )
        some = asyncio.Semaphore(MAX_TASKS_AT_ONCE)

        async def end_of(index: int) -> TaskEnd:
            async with some:
                return await self._task_end(claim, index, late)

        try:
            async with self._recoveries:
                ends = await asyncio.gather(*map(end_of, range(claim.tasks)))
        finally:
            timer.cancel()
        outcome = recovery_verdict(claim.key, tuple(ends))
        self.recovered += 1
        reason = "answered" if isinstance(outcome, JobAnswer) else outcome.outcome
        log.info("recovered", extra={"submission": claim.key, "reason": reason})
        return outcome

    async def _task_end(
        self, claim: ClaimRecord, index: int, late: asyncio.Future[Any]
    ) -> TaskEnd:
        """Ask every worker of the claim; one that knows the task decides."""
        asked = [
            asyncio.create_task(self._ask(claim, index, worker, boot, late))
            for worker, boot in claim.workers.items()
        ]
        ends = []
        try:
            for next_end in asyncio.as_completed(asked):
                end = await next_end
                if isinstance(end, Answered | Broken):
                    return end
                ends.append(end)
        finally:
            for task in asked:
                task.cancel()
        for end in ends:
            if isinstance(end, Unsettled):
                return end
        return NeverStarted(ErrorKind.HOME_LOST, "barred at every worker")

    async def _ask(
        self,
        claim: ClaimRecord,
        index: int,
        worker: str,
        boot: int,
        late: asyncio.Future[Any],
    ) -> Answered | Broken | Barred | Unsettled:
        task = task_id(claim.key, index)
        attempt = Attempt(worker, claim.key, task, RECOVERY_FENCE, boot)
        async with self._questions:
            report = await self._settler.inspect(attempt, 0)
            if report is None or report.state is not TaskState.RUNNING:
                return await self._settler.settle(attempt, late)
        return await self._settler.settle(attempt, late)


def recovery_verdict(submission: str, ends: tuple[TaskEnd, ...]) -> JobOutcome:
    """Return what the ends of a lost home's tasks prove.

    `failed` needs a task that started and one that can never give its answer; a
    job that might still be completed is `unknown`.
    """
    if all(isinstance(end, Answered) for end in ends):
        values = tuple(end.value for end in ends if isinstance(end, Answered))
        return JobAnswer(submission, values)
    started = any(isinstance(end, Answered | Broken) for end in ends)
    dead = any(never_answers(end) for end in ends)
    if all(isinstance(end, NeverStarted) for end in ends):
        detail, outcome = "its home was lost before any task started", Outcome.NOT_RUN
    elif started and dead:
        detail, outcome = "its home was lost with the job half done", Outcome.FAILED
    else:
        detail, outcome = "its home was lost, workers can't tell", Outcome.UNKNOWN
    return error_outcome(submission, ErrorKind.HOME_LOST, detail, outcome)
