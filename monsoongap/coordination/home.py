"""The home of jobs: every submission is admitted by exactly one process.

An issued id names its home, which admits it from memory. A caller's own key is
claimed in the log first, see `monsoongap.coordination.claims`.
"""

import asyncio

from monsoongap.coordination.claims import ClaimDesk
from monsoongap.coordination.dispatch import Dispatcher
from monsoongap.coordination.dispatch_attempt import Starter
from monsoongap.coordination.dispatch_leases import LeaseTable
from monsoongap.coordination.dispatch_verdict import from_exception
from monsoongap.coordination.farewell import Farewells
from monsoongap.coordination.home_jobs import HomeJobs
from monsoongap.coordination.home_locate import Locator
from monsoongap.coordination.home_messages import SUBMIT, OutcomeReply, SubmitCall
from monsoongap.coordination.home_own import OwnKeys, until_ended
from monsoongap.coordination.home_replay import Replay
from monsoongap.coordination.home_route import Router
from monsoongap.coordination.parts import Directory, DrainState, HostIdentity, Slots
from monsoongap.coordination.ports import LogPort, PeerPort, WorkerPort
from monsoongap.coordination.recovery import LostHosts, Recovery
from monsoongap.coordination.recovery_collect import Collector
from monsoongap.coordination.retries import RetryBudget
from monsoongap.coordination.settle import Settler
from monsoongap.errors import DispatchError, ErrorKind
from monsoongap.protocol.ids import IssuedId, parse_issued
from monsoongap.protocol.messages import JobOutcome, JobRequest, JobView
from monsoongap.protocol.peer import PeerHandlers
from monsoongap.settings import EntrySettings
from monsoongap.state.jobs import IssuedWindow, JobEntry
from monsoongap.timers import TimerService

MAX_ISSUED_AT_ONCE = 1_000
DRAIN_POLL_S = 0.05
MS_PER_S = 1000


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
        self._claims = ClaimDesk(
            cfg.claims, identity, directory, log, peers, handlers, timers
        )
        self._recovery = Recovery(self._settler, timers)
        self._collector = Collector(self._settler, directory, timers)
        self._farewells = Farewells(identity, directory, peers, handlers)
        self._router = Router(
            identity,
            directory,
            peers,
            handlers,
            self._farewells,
            LostHosts(cfg.peers, directory, timers),
            self._recovery,
            self._collector,
            timers,
        )
        self._replay = Replay(self._jobs.table, self._collector, timers)
        self._own = OwnKeys(
            cfg,
            identity,
            directory,
            self._leases,
            self._claims,
            self._jobs,
            self._router,
            self._replay,
            timers,
        )
        self._locator = Locator(identity, self._claims, self._jobs, peers, handlers)
        self._callers = 0
        self._ended: asyncio.Future[ErrorKind] | None = None
        handlers.register(SUBMIT, self._serve_submit)
        drain.listeners.append(self._say_farewell)

    def start(self) -> None:
        """Begin to watch workers and claims."""
        self._ended = asyncio.get_running_loop().create_future()
        self._leases.start()
        self._claims.start()

    def close(self) -> None:
        """Stop at once; what runs is left to recovery by others."""
        self._leases.close()
        self._claims.close()
        self._recovery.close()
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
        """Tell the state of a job, or None when its home does not know it."""
        return await self._locator.view(submission)

    async def cancel(self, submission: str) -> bool:
        """Ask a job to stop, at its home; False when it is not running."""
        return await self._locator.cancel(submission)

    def in_flight(self) -> int:
        """Return the number of callers that wait here, or of running jobs."""
        return max(self._callers, len(self._jobs.table.all_running()))

    async def end_all(self) -> None:
        """Stop every running job, so that each caller is told its true outcome.

        Callers whose job runs at another host are told `unknown`: it goes on there.
        """
        if self._ended is not None and not self._ended.done():
            self._ended.set_result(ErrorKind.DRAINING)
        for entry in self._jobs.table.all_running():
            entry.request_stop(ErrorKind.DRAINING)

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
            "claim_appends": self._claims.appends(),
            "claims_known": self._claims.known(),
            "forwarded": self._router.forwarded,
            "recovered": self._recovery.recovered,
            "jobs_running": len(self._jobs.table.all_running()),
            "outcomes_kept": self._jobs.table.count_finished(),
        }

    def jobs(self) -> tuple[JobView, ...]:
        """Return the running jobs of this host, oldest first."""
        return tuple(self._jobs.view_of(job) for job in self._jobs.table.all_running())

    async def _submit(self, submission: str, req: JobRequest) -> JobOutcome:
        deadline_at = self._timers.now() + req.deadline_ms / MS_PER_S
        known = self._jobs.join(submission, req)
        if known is None:
            issued = parse_issued(submission)
            if issued is None:
                known = await self._submit_own(submission, req)
            elif not self._is_here(issued):
                return await self._forward(issued, req, deadline_at)
            elif issued.boot != self._identity.boot:
                return await self._router.collect(issued, req, deadline_at)
            elif self._issued.is_used(issued.serial):
                return await self._replay.forgotten(submission, req)
            else:
                known = self._admit_issued(issued, req, None)
        return await self._replay.outcome(known, req, deadline_at)

    async def _forward(
        self, issued: IssuedId, req: JobRequest, deadline_at: float
    ) -> JobOutcome:
        work = self._router.to_issuer(issued, req, deadline_at)
        if self._ended is None:
            return await work
        return await until_ended(work, self._ended, str(issued))

    async def _submit_own(self, key: str, req: JobRequest) -> JobOutcome | JobEntry:
        """Claim a key here, or at a peer while this host is leaving."""
        if self._drain.draining:
            deadline_at = self._timers.now() + req.deadline_ms / MS_PER_S
            outcome = await self._router.to_any_peer(key, req, deadline_at)
            if outcome is not None:
                return outcome
        return self._jobs.join(key, req) or self._own.submit(key, req)

    async def _serve_submit(self, call: SubmitCall) -> OutcomeReply:
        """Serve a job that a peer passed on; it is never passed on again."""
        self._callers += 1
        try:
            known = self._jobs.join(call.submission, call.req)
            if known is None:
                known = await self._admit_passed(call)
            deadline_at = self._timers.now() + call.remaining_ms / MS_PER_S
            return OutcomeReply.of(
                await self._replay.outcome(known, call.req, deadline_at)
            )
        finally:
            self._callers -= 1

    async def _admit_passed(self, call: SubmitCall) -> JobOutcome | JobEntry:
        issued = parse_issued(call.submission)
        remaining_s = call.remaining_ms / MS_PER_S
        if issued is not None:
            used = issued.boot == self._identity.boot
            if used and self._issued.is_used(issued.serial):
                return await self._replay.forgotten(call.submission, call.req)
            return self._admit_issued(issued, call.req, remaining_s)
        if call.claim is not None:
            return await self._own.resubmitted(call.claim, call.req)
        if self._drain.draining:
            raise DispatchError(ErrorKind.DRAINING, "this host is leaving too")
        return self._own.submit(call.submission, call.req, remaining_s)

    def _say_farewell(self) -> None:
        """Tell peers which ids were not admitted; from now on none will be."""
        self._jobs.spawn(self._farewells.send(self._issued.snapshot()))

    def _is_here(self, issued: IssuedId) -> bool:
        return (issued.dc, issued.host) == (self._identity.dc, self._identity.name)

    def _admit_issued(
        self, issued: IssuedId, req: JobRequest, remaining_s: float | None
    ) -> JobEntry:
        """Admit an id of this very process that was not used before."""
        if not self._is_here(issued) or issued.boot != self._identity.boot:
            raise DispatchError(ErrorKind.HOME_LOST, "issued by another process")
        if self._drain.draining and not self._issued.is_used(issued.serial):
            # The farewell says that this id was never admitted: keep that true.
            raise DispatchError(ErrorKind.DRAINING, "this host is leaving")
        if not self._issued.take(issued.serial):
            raise DispatchError(
                ErrorKind.NOT_FOUND, "not issued here, or its outcome is forgotten"
            )
        entry = self._jobs.open(str(issued), req, remaining_s)
        if entry.finished.done():
            return entry
        try:
            self._jobs.admit(entry)
        except DispatchError as exc:
            self._jobs.finish(entry, from_exception(entry.submission, exc))
        else:
            self._jobs.run(entry, None, "issued here")
        return entry
