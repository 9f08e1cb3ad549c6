"""By what an owner that starts a job knows that nothing of it runs, for log lines."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from monsoongap.coordination.contact import Contact
from monsoongap.coordination.link import LinkState
from monsoongap.timers import MS_PER_S

if TYPE_CHECKING:
    from monsoongap.coordination.job_record import JobRecord
    from monsoongap.coordination.pool import Pool

# A limit that passed earlier than this says nothing about a new job.
LIMIT_TOLD_S = 15.0


@dataclass(frozen=True, slots=True)
class StartBasis:
    """What an owner knew as it found the previous runs of a job reconciled, or gave up.

    `by` is `owners` if all owners replied, `time` if a limit has passed, `new` if no
    doubt was known, and None if the runs were not reconciled. `limit` is what passed:
    the wait for the `share`, for the `job`, or for the `runners` of the share, which
    were polled or whose leases lapsed. `silent_dcs` are the data centres out of touch,
    with the ms since each was heard. `share_reconciled` tells whether all runs on the
    share's runners counted as known; of the runners, `unpolled` were never reached.
    """

    by: str | None
    limit: str | None
    limit_ago_ms: int | None
    silent_dcs: Mapping[str, int | None]
    share_reconciled: bool
    unpolled: int

    def fields(self) -> dict[str, object]:
        """Return the log fields besides `by`."""
        return {
            "limit": self.limit,
            "limit_ago_ms": self.limit_ago_ms,
            "silent_dcs": self.silent_dcs or None,
            "share_reconciled": self.share_reconciled,
            "unpolled": self.unpolled,
        }


def start_basis(
    rec: "JobRecord",
    pool: "Pool",
    contact: Contact,
    by: str | None,
    limits: Mapping[str, float],
    waited: bool,
) -> StartBasis | None:
    """Return the basis of a job's start; None for a job of which no doubt is known.

    `limits` holds when each limit passed, `waited` tells that the job was held.
    """
    now = pool.timers.now()
    limit, passed_at = max(limits.items(), key=lambda entry: entry[1])
    recent = now - passed_at <= LIMIT_TOLD_S
    if by == "time" and not waited and not recent:
        by = "new"
    silent_dcs = contact.silent_dcs()
    if by == "new" and not silent_dcs and not rec.may_have_started:
        return None
    links = [link for link in pool.links.values() if link.share == rec.share]
    return StartBasis(
        by,
        None if by != "time" else limit if recent else "runners",
        round((now - passed_at) * MS_PER_S) if by == "time" and recent else None,
        silent_dcs,
        # Unlike `is_reconciled`, this writes no line of its own.
        pool.in_doubt_s(rec.share) <= 0,
        sum(link.state is LinkState.NEW for link in links),
    )


def start_fields(basis: StartBasis | None) -> dict[str, object]:
    """Return the log fields of a task's first start; none without a known doubt."""
    return {} if basis is None else {"reconciled_by": basis.by, **basis.fields()}
