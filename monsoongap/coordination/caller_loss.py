"""Whether a job goes on after the hosts that hold its callers are gone.

A caller whose host is gone, or has no result for it, sends its job again to any host
after `resend_s`. An owner that hears of the job forwards the repetition to the one that
executes it. One in a data centre that is out of touch starts the job, so the runs must
have ended by then. Without a repetition nobody waits for the result.
"""

from dataclasses import dataclass

from monsoongap.settings import BoundsSection


@dataclass(frozen=True, slots=True)
class CallerLoss:
    """Since when, by the timer service, no caller of a job is known to wait.

    `awaited_at` is when an entry host last had one. `closed_at` is when the last of the
    calls for the job was closed; None while one is open. An open call alone does not
    show that its caller waits: it may come from a host that cannot hear the entry host.
    """

    awaited_at: float
    closed_at: float | None = None

    def ends_job(self, now: float, in_touch: bool, cfg: BoundsSection) -> bool:
        """Return whether the job is to be ended.

        `in_touch` tells whether the owners of all data centres would hear of the job.
        """
        if self.closed_at is not None and now - self.closed_at >= cfg.orphan_s:
            return True
        if in_touch:
            return False
        return now - self.since >= cfg.cut_orphan_s

    @property
    def since(self) -> float:
        """Since when no caller is known to wait."""
        if self.closed_at is None:
            return self.awaited_at
        return min(self.awaited_at, self.closed_at)
