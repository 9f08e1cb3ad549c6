"""The jobs whose home is this host: admit, join, replay, run, finish.

A job runs on when its callers are gone, since they may come back with the same
submission; only a cancellation or the deadline stops it. A `not_run` outcome is
final for its submission: a caller that wants to try again takes a new one.
"""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

from monsoongap.coordination.dispatch import Bound, Dispatcher
from monsoongap.coordination.dispatch_verdict import error_outcome, from_exception
from monsoongap.coordination.parts import DrainState, Slots
from monsoongap.errors import DispatchError, ErrorKind
from monsoongap.protocol.messages import (
    JobAnswer,
    JobError,
    JobOutcome,
    JobPhase,
    JobRequest,
    JobView,
)
from monsoongap.settings import EntrySettings
from monsoongap.state.jobs import JobEntry, JobTable, body_digest, digest_and_size
from monsoongap.timers import TimerService

log = logging.getLogger(__name__)


class HomeJobs:
    """Runs the jobs of this host and remembers their outcomes."""

    def __init__(
        self,
        cfg: EntrySettings,
        home: str,
        slots: Slots,
        dispatcher: Dispatcher,
        drain: DrainState,
        timers: TimerService,
    ) -> None:
        self._home = home
        self._slots = slots
        self._dispatcher = dispatcher
        self._drain = drain
        self._timers = timers
        self.table = JobTable(cfg.limits.jobs, cfg.claims.keep_s)
        self._background: set[asyncio.Task[None]] = set()

    def close(self) -> None:
        """Cancel what runs, without settling it."""
        for task in self._background:
            task.cancel()

    def join(self, submission: str, req: JobRequest) -> JobOutcome | JobEntry | None:
        """Return the kept outcome or the running job of a submission.

        Raises `conflict` when the body is not the one first submitted.
        """
        known = self.table.running(submission) or self.table.finished(submission)
        if known is None:
            return None
        if known.digest != body_digest(req):
            raise DispatchError(
                ErrorKind.CONFLICT, "the submission is known with another body"
            )
        log.info("joined", extra={"submission": submission, "reason": "known here"})
        return known if isinstance(known, JobEntry) else known.outcome()

    def open(
        self, submission: str, req: JobRequest, remaining_s: float | None = None
    ) -> JobEntry:
        """Begin a job that has no entry yet; a full table finishes it at once."""
        allowed_s = req.deadline_ms / 1000
        if remaining_s is not None:
            allowed_s = min(allowed_s, remaining_s)
        digest, body_bytes = digest_and_size(req)
        entry = JobEntry(
            submission=submission,
            digest=digest,
            body_bytes=body_bytes,
            req=req,
            deadline_at=self._timers.now() + allowed_s,
            finished=asyncio.get_running_loop().create_future(),
        )
        try:
            self.table.add(entry)
        except DispatchError as exc:
            self.finish(entry, from_exception(submission, exc))
        return entry

    def admit(self, entry: JobEntry) -> None:
        """Reserve room for the whole job; raises `DispatchError` when refused."""
        if self._drain.draining:
            raise DispatchError(ErrorKind.DRAINING, "this host is leaving")
        self._slots.admit(entry.req, entry.deadline_at)

    def withdraw(self, entry: JobEntry) -> None:
        """Give back the room of an admitted job."""
        req = entry.req
        self._slots.withdraw(entry.submission, req.team, len(req.tasks))

    def run(self, entry: JobEntry, bound: Bound | None, reason: str) -> None:
        """Run an admitted job in the background."""
        log.info("admitted", extra={"submission": entry.submission, "reason": reason})
        self.spawn(self._run(entry, bound))

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run `work` in the background until `close`."""
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def finish(self, entry: JobEntry, outcome: JobOutcome) -> None:
        """Fix a job's outcome and tell everyone who waits for it."""
        entry.phase = (
            JobPhase.ANSWERED if isinstance(outcome, JobAnswer) else JobPhase.FAILED
        )
        self.table.finish(entry, outcome, self._timers.now())
        reason = outcome.error if isinstance(outcome, JobError) else "answered"
        log.info("ended", extra={"submission": entry.submission, "reason": reason})

    def stop(self, submission: str) -> bool:
        """Cancel a running job; False when it does not run here."""
        entry = self.table.running(submission)
        if entry is None:
            return False
        entry.request_stop(ErrorKind.CANCELLED)
        return True

    def view(self, submission: str) -> JobView | None:
        """Tell the state of a job that this host remembers."""
        entry = self.table.running(submission)
        if entry is not None:
            return self.view_of(entry)
        job = self.table.finished(submission)
        if job is None:
            return None
        outcome = job.outcome()
        error = outcome if isinstance(outcome, JobError) else None
        return JobView(
            submission=submission,
            phase=JobPhase.FAILED if error else JobPhase.ANSWERED,
            team=job.team,
            kind=job.kind,
            tasks=job.tasks,
            started=job.started,
            done=job.done,
            home=self._home,
            error=error,
        )

    def view_of(self, entry: JobEntry) -> JobView:
        """Tell the state of a running job."""
        return JobView(
            submission=entry.submission,
            phase=entry.phase,
            team=entry.req.team,
            kind=entry.req.kind,
            tasks=len(entry.req.tasks),
            started=entry.started,
            done=entry.done,
            home=self._home,
        )

    async def _run(self, entry: JobEntry, bound: Bound | None) -> None:
        try:
            outcome = await self._dispatcher.run(entry, bound)
        except Exception:
            log.exception("job run failed", extra={"submission": entry.submission})
            outcome = error_outcome(
                entry.submission, ErrorKind.INTERNAL, "internal error"
            )
        finally:
            self.withdraw(entry)
        self.finish(entry, outcome)
