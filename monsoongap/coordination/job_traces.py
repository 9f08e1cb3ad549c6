"""Log lines and counts of jobs that may run twice or outlive their callers."""

import logging
from dataclasses import dataclass
from math import isfinite
from typing import TYPE_CHECKING

from monsoongap.coordination.caller_loss import CallerLoss
from monsoongap.coordination.contact import Contact
from monsoongap.coordination.job_record import NEVER, JobRecord
from monsoongap.coordination.open_call import OpenCall
from monsoongap.coordination.pool import Pool
from monsoongap.protocol.messages import SubmitCall
from monsoongap.state.job_locations import JobLocations, location_fields
from monsoongap.timers import MS_PER_S

if TYPE_CHECKING:
    from monsoongap.coordination.jobs import Jobs

log = logging.getLogger(__name__)

# A cancel call takes less than this unless it is lost.
OVERDUE_S = 0.5
# A job that runs at two owners for less than this may be missed.
TWO_OWNERS_CHECK_S = 0.1
# A former owner's heartbeats name a job for 0.35 s after it was handed over.
FORMER_OWNER_S = 0.5


@dataclass(slots=True)
class JobTraces:
    """Logs what an owner knew of a job as it took or cancelled it, or has it twice."""

    jobs: "Jobs"
    pool: Pool
    locations: JobLocations
    _checked_at: float = NEVER

    def job_taken(self, call: SubmitCall) -> None:
        """Log that a job is executed here whose location elsewhere has expired."""
        job = call.job.id
        if call.is_handover or call.here or self.jobs.can_join(call):
            return
        location = self.locations.location_of(job)
        if location is None or not location.is_expired:
            return
        self.jobs.counts.location_expired += 1
        log.warning(
            "location of the job has expired; executing it here",
            extra={
                "job": job,
                "owner": location.owner,
                "age_s": round(location.age_s, 3),
                "origin": call.origin,
                "again": call.again,
                "runs": len(self.pool.runs_of(job)),
            },
        )

    def check_announced(self) -> None:
        """Log the jobs with runs here that another owner has announced since.

        Called with each heartbeat of an owner; limits its own rate.
        """
        now = self.pool.timers.now()
        if now - self._checked_at < TWO_OWNERS_CHECK_S:
            return
        self._checked_at = now
        for rec in self.jobs.unanswered:
            if rec.at_two_owners or not rec.dispatched:
                continue
            since = rec.arrived_at + FORMER_OWNER_S
            other = self.locations.announced_since(rec.job.id, since)
            runs = self.pool.runs_of(rec.job.id) if other is not None else ()
            if other is not None and runs:
                rec.at_two_owners = True
                self.jobs.counts.at_two_owners += 1
                self._log_two_owners(rec, other, len(runs), now)

    def _log_two_owners(
        self, rec: JobRecord, other: str, runs: int, now: float
    ) -> None:
        contact = self.jobs.contact
        log.warning(
            "job is in progress at two owners",
            extra={
                "job": rec.job.id,
                "owner": contact.ownership.members.card.name,
                "other": other,
                "age_ms": _ms_since(rec.arrived_at, now),
                "again": rec.may_have_started or None,
                "runs": runs,
                "lent": sum(bool(work.borrowed_from) for work in rec.works.values()),
                "calls": [_call_fields(call, contact) for call in rec.open_calls],
                "silent_dcs": contact.silent_dcs() or None,
            },
        )

    def owner_not_live(self, call: SubmitCall, owner: str) -> None:
        """Log that a job is executed here as the owner that has it is not live."""
        log.warning(
            "job's owner is not live; executing the job here",
            extra={
                "job": call.job.id,
                "home": owner,
                "again": call.again,
                **location_fields(self.locations.location_of(call.job.id)),
            },
        )

    def cancel_received(self, job: str) -> None:
        """Log a cancel of a job of which nothing is here.

        A lender gets cancels too; a run that it has for a borrower counts as here.
        """
        if self.jobs.knows(job) or self.pool.runs_of(job):
            return
        self.jobs.counts.cancel_missed += 1
        log.info(
            "cancelled job is not here; ignoring the cancel",
            extra={"job": job, **location_fields(self.locations.location_of(job))},
        )


def is_overdue(rec: JobRecord, now: float) -> bool:
    """Return whether a job has outlived its callers' wait and was not logged yet."""
    return now - rec.expires_at > OVERDUE_S and not rec.overdue


def log_overdue(rec: JobRecord, pool: Pool, now: float) -> None:
    """Log, once, what is left of a job that has outlived its callers' wait."""
    rec.overdue = True
    log.warning(
        "job outlived its callers' wait; keeping it for a repeated submission",
        extra={
            "job": rec.job.id,
            "age_ms": round((now - rec.arrived_at) * MS_PER_S),
            "wait_ms": round(rec.budget.wait_s * MS_PER_S),
            "requests": len(rec.requests),
            "runs": len(pool.runs_of(rec.job.id)),
            "lent": sum(bool(work.borrowed_from) for work in rec.works.values()),
            "waiting": sum(work.waiting for work in rec.works.values()),
            "reconciling": rec.reconciling or None,
        },
    )


def log_callers_lost(
    rec: JobRecord, open_call: OpenCall, pool: Pool, contact: Contact, now: float
) -> None:
    """Log that no host is left that holds a caller of a job."""
    log.info(
        "the job's last call was closed by its sender; its caller may send it again",
        extra={
            "job": rec.job.id,
            **_call_fields(open_call, contact),
            "age_ms": round((now - rec.arrived_at) * MS_PER_S),
            "wait_ms": round(rec.budget.wait_s * MS_PER_S),
            "runs": len(pool.runs_of(rec.job.id)),
            "lent": sum(bool(work.borrowed_from) for work in rec.works.values()),
        },
    )


def log_callers_gone(
    rec: JobRecord, loss: CallerLoss, pool: Pool, contact: Contact, now: float
) -> None:
    """Log that no caller of a job is known to wait, which ends it here.

    A job that was handed over has its runs at its next owner.
    """
    _mark_callers_until(rec, loss.since)
    is_handed_over = rec.forwarding is not None
    log.info(
        "handed over job's callers are gone; closing the call to its next owner"
        if is_handed_over
        else "job's callers are gone; ending the job",
        extra={
            "job": rec.job.id,
            "closed_ms": _ms_since(loss.closed_at, now),
            "awaited_ms": _ms_since(loss.awaited_at, now),
            **_end_fields(rec, pool, contact, now),
        },
    )


def log_expired(rec: JobRecord, pool: Pool, contact: Contact, now: float) -> None:
    """Log that a job is ended because its callers' deadline has passed."""
    deadline = rec.expires_at if isfinite(rec.expires_at) else None
    _mark_callers_until(rec, deadline)
    log.info(
        "callers no longer wait; ending the job",
        extra={
            "job": rec.job.id,
            "deadline_ms": _ms_since(deadline, now),
            **_end_fields(rec, pool, contact, now),
        },
    )


def _end_fields(
    rec: JobRecord, pool: Pool, contact: Contact, now: float
) -> dict[str, object]:
    """Return what is known of a job's calls and runs as it is ended."""
    return {
        "age_ms": _ms_since(rec.arrived_at, now),
        "calls": [_call_fields(call, contact) for call in rec.open_calls],
        "in_touch": pool.is_in_touch(),
        "silent_dcs": contact.silent_dcs() or None,
        "runs": len(pool.runs_of(rec.job.id)),
        "lent": sum(bool(work.borrowed_from) for work in rec.works.values()),
    }


def _call_fields(call: OpenCall, contact: Contact) -> dict[str, object]:
    """Return who sent a call that waits for a job, and whether its sender is heard."""
    fields: dict[str, object] = {"sender": call.sender, "kind": call.kind}
    if not call.sender:
        return fields
    if call.kind == "forwarded":
        fields["origin"] = call.origin
    return fields | contact.sender_fields(call.sender)


def _mark_callers_until(rec: JobRecord, until: float | None) -> None:
    """Have the stops of a job's runs tell how late they are."""
    for work in rec.works.values():
        work.callers_until = until


def _ms_since(at: float | None, now: float) -> int | None:
    return None if at is None else round((now - at) * MS_PER_S)
