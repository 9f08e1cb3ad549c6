"""The home of jobs: every submission is admitted by exactly one process.

An issued id names its home, which admits it from memory. A caller's own key is
claimed in the log first, see `monsoongap.coordination.claims`.
"""

import asyncio
import logging

from monsoongap.coordination.dispatch import Dispatcher
from monsoongap.coordination.dispatch_attempt import Starter
from monsoongap.coordination.dispatch_leases import LeaseTable
from monsoongap.coordination.dispatch_verdict import from_exception
from monsoongap.coordination.home_jobs import HomeJobs
from monsoongap.coordination.parts import Directory, DrainState, HostIdentity, Slots
from monsoongap.coordination.ports import LogPort, PeerPort, WorkerPort
from monsoongap.coordination.retries import RetryBudget
from monsoongap.coordination.settle import Settler
from monsoongap.errors import DispatchError, ErrorKind
from monsoongap.protocol.ids import IssuedId, parse_issued
from monsoongap.protocol.messages import JobOutcome, JobRequest, JobView
from monsoongap.protocol.peer import PeerHandlers
from monsoongap.settings import EntrySettings
from monsoongap.state.jobs import IssuedWindow, JobEntry
from monsoongap.timers import TimerService

log = logging.getLogger(__name__)

MAX_ISSUED_AT_ONCE = 1_000
DRAIN_POLL_S = 0.05


class Home:
    """Admits, runs, forwards and recovers jobs for this host's callers."""

    def __init__(
        self,
        cfg: EntrySettings,
        identity: HostIdentity,
        directory: Directory,
        slots: Slots,
        workers: WorkerPort,
        log: LogPort,
        peers: PeerPort,
        handlers: PeerHandlers,
        drain: DrainState,
        timers: TimerService,
    ) -> None:
        self._cfg = cfg
        self._identity = identity
        self._drain = drain
        self._timers = timers
        self._leases = LeaseTable(cfg.workers, workers, directory, timers)
        self._settler = Settler(cfg.workers, workers, self._leases, directory, timers)
        self._budget = RetryBudget(timers)
        starter = Starter(
            identity,
            workers,
            directory,
            self._leases,
            self._settler,
            self._budget,
            timers,
        )
        dispatcher = Dispatcher(slots, directory, starter, self._budget, timers)
        self._jobs = HomeJobs(cfg, identity.name, slots, dispatcher, drain, timers)
        self._issued = IssuedWindow(cfg.limits.issued_ids)
        self._callers = 0

    def start(self) -> None:
        """Begin to watch workers."""
        self._leases.start()

    def close(self) -> None:
        """Stop at once; what runs is left to recovery by others."""
        self._leases.close()
        self._jobs.close()

    def issue(self, count: int) -> tuple[str, ...]:
        """Issue submission ids that name this process as their home."""
        if not 1 <= count <= MAX_ISSUED_AT_ONCE:
            raise DispatchError(
                ErrorKind.BAD_REQUEST, f"count must be 1 to {MAX_ISSUED_AT_ONCE}"
            )
        me = self._identity
        return tuple(
            str(IssuedId(me.dc, me.name, me.boot, self._issued.issue()))
            for _ in range(count)
        )

    async def submit(self, submission: str, req: JobRequest) -> JobOutcome:
        """Run a job, join it when it runs, or replay its outcome.

        Cancelling this call leaves the job running: its caller may come back
        with the same submission, and others may wait for it too.
        """
        self._callers += 1
        try:
            return await self._submit(submission, req)
        except DispatchError as exc:
            return from_exception(submission, exc)
        finally:
            self._callers -= 1

    async def view(self, submission: str) -> JobView | None:
        """Tell the state of a job, or None when it is not known."""
        return self._jobs.view(submission)

    async def cancel(self, submission: str) -> bool:
        """Ask a job to stop; False when it is not running."""
        entry = self._jobs.table.running(submission)
        if entry is None:
            return False
        entry.request_stop(ErrorKind.CANCELLED)
        return True

    def in_flight(self) -> int:
        """Return the number of callers that wait here, or of running jobs."""
        return max(self._callers, len(self._jobs.table.all_running()))

    async def drained(self) -> None:
        """Wait until no caller waits and no job runs."""
        while self.in_flight():
            await self._timers.sleep(DRAIN_POLL_S)

    def counters(self) -> dict[str, int]:
        """Return running totals for metrics."""
        return {
            "starts": self._budget.starts,
            "retries": self._budget.retries,
            "inspects": self._settler.inspected,
            "revokes": self._settler.revoked,
            "lease_probes": self._leases.probes,
            "jobs_running": len(self._jobs.table.all_running()),
            "outcomes_kept": self._jobs.table.count_finished(),
        }

    def jobs(self) -> tuple[JobView, ...]:
        """Return the running jobs of this host, oldest first."""
        return tuple(self._jobs.view_of(job) for job in self._jobs.table.all_running())

    async def _submit(self, submission: str, req: JobRequest) -> JobOutcome:
        known = self._jobs.join(submission, req)
        if known is None:
            issued = parse_issued(submission)
            if issued is None:
                raise DispatchError(ErrorKind.LOG_UNAVAILABLE, "own keys: not yet")
            known = self._admit_issued(issued, req)
        if isinstance(known, JobEntry):
            return await asyncio.shield(known.finished)
        return known

    def _admit_issued(self, issued: IssuedId, req: JobRequest) -> JobEntry:
        """Admit an id of this very process that was not used before."""
        if issued.host != self._identity.name or issued.boot != self._identity.boot:
            raise DispatchError(ErrorKind.HOME_LOST, "issued by another process")
        if not self._issued.take(issued.serial):
            raise DispatchError(
                ErrorKind.NOT_FOUND, "not issued here, or its outcome is forgotten"
            )
        entry = self._jobs.open(str(issued), req)
        if entry.finished.done():
            return entry
        try:
            self._jobs.admit(entry)
        except DispatchError as exc:
            self._jobs.finish(entry, from_exception(entry.submission, exc))
        else:
            self._jobs.run(entry, None, "issued here")
        return entry
