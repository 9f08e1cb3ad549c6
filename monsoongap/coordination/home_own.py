"""Callers' own keys: claimed in the log before anything starts.

A claim that was not confirmed in time is abandoned: its caller is told `unknown`.
The process remembers its abandoned claims, so when one turns out to be the key's
winner a resubmission takes it up; no other process ever acts on it.
"""

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Coroutine
from typing import Any

from monsoongap.coordination.claims import ClaimDesk
from monsoongap.coordination.dispatch import Bound
from monsoongap.coordination.dispatch_leases import LeaseTable
from monsoongap.coordination.dispatch_verdict import error_outcome, from_exception
from monsoongap.coordination.home_jobs import HomeJobs
from monsoongap.coordination.home_replay import Replay
from monsoongap.coordination.home_route import Router
from monsoongap.coordination.parts import (
    Directory,
    HostIdentity,
    WorkerInfo,
    WorkerStatus,
)
from monsoongap.errors import DispatchError, ErrorKind, Outcome
from monsoongap.protocol.messages import (
    JobError,
    JobOutcome,
    JobPhase,
    JobRequest,
)
from monsoongap.settings import EntrySettings
from monsoongap.state.claims import MAX_CLAIM_WORKERS, ClaimRecord, key_hash
from monsoongap.state.jobs import JobEntry
from monsoongap.timers import TimerService
from monsoongap.util.interrupt import Interrupted, InterruptedBy

log = logging.getLogger(__name__)

CLAIM_TIMEOUT_S = 3.0
FIRST_WORKERS_S = 2.0
MAX_KEY_LENGTH = 200
MS_PER_S = 1000
RETRY_MS = 1000
MAX_DEADLINE_SHARE = 0.2  # of the time that claims and tombstones are kept

# These refuse a call, not its key: another call under the same key may be right.
CALL_REFUSALS = frozenset(
    {
        ErrorKind.BAD_REQUEST,
        ErrorKind.CONFLICT,
        ErrorKind.FORBIDDEN,
        ErrorKind.UNAUTHORIZED,
    }
)


class OwnKeys:
    """Claims keys and runs, follows or recovers their jobs."""

    def __init__(
        self,
        cfg: EntrySettings,
        identity: HostIdentity,
        directory: Directory,
        leases: LeaseTable,
        claims: ClaimDesk,
        jobs: HomeJobs,
        router: Router,
        replay: Replay,
        timers: TimerService,
    ) -> None:
        self._identity = identity
        self._directory = directory
        self._leases = leases
        self._claims = claims
        self._jobs = jobs
        self._router = router
        self._replay = replay
        self._timers = timers
        self._max_deadline_ms = round(cfg.claims.keep_s * MAX_DEADLINE_SHARE * MS_PER_S)
        self._max_abandoned = cfg.limits.jobs
        self._abandoned: OrderedDict[str, tuple[ClaimRecord, ...]] = OrderedDict()
        self._serial = 0

    def submit(
        self, key: str, req: JobRequest, remaining_s: float | None = None
    ) -> JobEntry:
        """Begin to claim a key that this host does not know."""
        if len(key) > MAX_KEY_LENGTH:
            raise DispatchError(
                ErrorKind.BAD_REQUEST, f"a key has at most {MAX_KEY_LENGTH} characters"
            )
        if req.deadline_ms > self._max_deadline_ms:
            raise DispatchError(
                ErrorKind.BAD_REQUEST,
                f"deadline_ms is at most {self._max_deadline_ms} for own keys",
            )
        entry = self._jobs.open(key, req, remaining_s)
        if entry.finished.done():
            # Without a claim another host may run the key, so nothing is promised.
            self._jobs.table.forget(key)
            raise DispatchError(
                ErrorKind.OVERLOADED,
                "too many jobs on this host",
                RETRY_MS,
                Outcome.UNKNOWN,
            )
        entry.phase = JobPhase.CLAIMING
        self._jobs.spawn(self._claim(entry))
        return entry

    async def resubmitted(
        self, claim: ClaimRecord, req: JobRequest
    ) -> JobOutcome | JobEntry:
        """Take up a job that another host knows to be claimed by this one.

        Raises `home_lost` when an earlier process claimed it, and `not_found` when
        its outcome is forgotten here and at the workers; it is never run again.
        """
        if claim.boot != self._identity.boot:
            raise DispatchError(ErrorKind.HOME_LOST, "claimed by a past process")
        if not self._is_abandoned(claim):
            return await self._replay.forgotten(claim.key, req)
        return self.submit(claim.key, req)

    async def _claim(self, entry: JobEntry) -> None:
        """Bring a job to its outcome, whoever's job it turns out to be."""
        try:
            outcome = await self._claimed_outcome(entry)
        except DispatchError as exc:
            outcome = from_exception(entry.submission, exc)
        except Exception:
            log.exception("claim failed", extra={"submission": entry.submission})
            outcome = error_outcome(
                entry.submission, ErrorKind.INTERNAL, "internal error"
            )
        if outcome is not None:
            self._jobs.finish(entry, outcome)
            if not is_final(outcome):
                self._jobs.table.forget(entry.submission)

    async def _claimed_outcome(self, entry: JobEntry) -> JobOutcome | None:
        """Return the outcome, or None when the job now runs here."""
        refused = await self._admit(entry)
        if refused is not None and refused.kind in CALL_REFUSALS:
            raise refused
        claim = self._claim_record(entry, refused)
        remaining_s = max(entry.deadline_at - self._timers.now(), 0.0)
        mine = (*self._abandoned.get(claim.key, ()), claim)
        self._abandon(claim.key, mine)
        admitted = refused is None
        try:
            winner = await self._claims.resolve(
                claim, min(CLAIM_TIMEOUT_S, remaining_s)
            )
            self._abandoned.pop(claim.key, None)
            log.info(
                "claimed",
                extra={
                    "submission": claim.key,
                    "peer": winner.home,
                    "reason": winner.refused or "first claim in the log",
                },
            )
            if not any(winner.same_claim(claim) for claim in mine):
                return await self._follow(entry, winner)
            if winner.refused is not None:
                return _refused_outcome(winner)
            if refused is not None:
                return _not_run(entry.submission, refused)
            admitted = False
            self._jobs.run(entry, Bound(winner.workers), "claimed here")
            return None
        finally:
            if admitted:
                self._jobs.withdraw(entry)

    async def _admit(self, entry: JobEntry) -> DispatchError | None:
        """Reserve room; returns why not, to be written into the claim.

        A refusal closes the key for good, so a host that has just started first
        waits a moment for its workers.
        """
        remaining_s = entry.deadline_at - self._timers.now()
        known = await self._leases.any_known(min(FIRST_WORKERS_S, remaining_s / 2))
        try:
            self._jobs.admit(entry)
        except DispatchError as exc:
            return exc
        if known and self._workers_for(entry):
            return None
        self._jobs.withdraw(entry)
        return DispatchError(ErrorKind.OVERLOADED, "no worker answers", RETRY_MS)

    async def _follow(self, entry: JobEntry, winner: ClaimRecord) -> JobOutcome:
        """Return the outcome of a key that another claim won."""
        if winner.digest != entry.digest:
            raise DispatchError(
                ErrorKind.CONFLICT, "the key is known with another body"
            )
        if winner.refused is not None:
            return _refused_outcome(winner)
        me = self._identity
        if (winner.home, winner.boot) == (me.name, me.boot):
            return await self._replay.forgotten(winner.key, entry.req)
        entry.follows = winner.home
        work = self._router.to_claimant(winner, entry.req, entry.deadline_at)
        return await until_ended(work, entry.stop, entry.submission)

    def _claim_record(
        self, entry: JobEntry, refused: DispatchError | None
    ) -> ClaimRecord:
        self._serial += 1
        return ClaimRecord(
            key=entry.submission,
            team=entry.req.team,
            digest=entry.digest,
            tasks=len(entry.req.tasks),
            home=self._identity.name,
            dc=self._identity.dc,
            boot=self._identity.boot,
            serial=self._serial,
            workers={} if refused else self._workers_for(entry),
            refused=None if refused is None else str(refused.kind),
        )

    def _workers_for(self, entry: JobEntry) -> dict[str, int]:
        """Choose the workers that the job may use, spread over keys by hashing."""
        tasks = entry.req.tasks
        cpus = max(task.cpus for task in tasks)
        memory_mb = max(task.memory_mb for task in tasks)
        live = [
            info
            for info in self._directory.workers()
            if info.status is WorkerStatus.LIVE
            and self._leases.boot(info.name) is not None
        ]
        fitting = [i for i in live if i.cpus >= cpus and i.memory_mb >= memory_mb]

        def order(info: WorkerInfo) -> int:
            return key_hash(f"{entry.submission}|{info.name}")

        chosen = sorted(fitting or live, key=order)[:MAX_CLAIM_WORKERS]
        boots = {info.name: self._leases.boot(info.name) for info in chosen}
        return {name: boot for name, boot in boots.items() if boot is not None}

    def _abandon(self, key: str, claims: tuple[ClaimRecord, ...]) -> None:
        self._abandoned.pop(key, None)
        self._abandoned[key] = claims
        if len(self._abandoned) > self._max_abandoned:
            self._abandoned.popitem(last=False)

    def _is_abandoned(self, claim: ClaimRecord) -> bool:
        return any(claim.same_claim(own) for own in self._abandoned.get(claim.key, ()))


async def until_ended(
    work: Coroutine[Any, Any, JobOutcome], ended: asyncio.Future[Any], submission: str
) -> JobOutcome:
    """Wait for another host's outcome, but not when this host ends first."""
    try:
        with InterruptedBy(ended):
            return await work
    except Interrupted:
        work.close()
    detail = "this host is leaving while another one runs the job"
    return error_outcome(submission, ErrorKind.HOME_UNREACHABLE, detail)


def is_final(outcome: JobOutcome) -> bool:
    """Tell whether an outcome can be replayed for good.

    `unknown` may later turn out as something else.
    """
    if not isinstance(outcome, JobError):
        return True
    return outcome.outcome != Outcome.UNKNOWN and outcome.error not in CALL_REFUSALS


def _not_run(key: str, refused: DispatchError) -> JobError:
    return error_outcome(
        key, refused.kind, refused.detail, Outcome.NOT_RUN, refused.retry_after_ms
    )


def _refused_outcome(winner: ClaimRecord) -> JobError:
    kind = ErrorKind(winner.refused or ErrorKind.INTERNAL)
    detail = f"refused by {winner.home}; try again with a new key"
    return error_outcome(winner.key, kind, detail, Outcome.NOT_RUN)
