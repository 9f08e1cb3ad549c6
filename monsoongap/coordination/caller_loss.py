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

    `closed_at` is when the last of its calls was closed; None while one is open.
    `silent_since` is when the senders of all open calls were last heard, None if one of
    them is live. Such a host may be paused, and its callers may still wait.
    """

    closed_at: float | None = None
    silent_since: float | None = None

    def ends_job(self, now: float, in_touch: bool, cfg: BoundsSection) -> bool:
        """Return whether the job is to be ended.

        `in_touch` tells whether the owners of all data centres are heard.
        """
        if self.closed_at is not None and now - self.closed_at >= cfg.orphan_s:
            return True
        since = self.silent_since if self.closed_at is None else self.closed_at
        return since is not None and not in_touch and now - since >= cfg.cut_orphan_s
