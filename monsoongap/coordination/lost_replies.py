"""Requests to runners whose replies are lost although the runners work.

Load: for some seconds, several in a hundred requests get no reply. The runner may carry
such a request out at once, seconds later or never. A runner whose only fault is a lost
reply must stay in use: otherwise an owner under load gives up a third of its capacity,
and every caller comes late.

The poll that waits for the ends of runs may be the request without a reply. So an owner
that lately lost replies polls a runner once more, on another connection, when a run
should have ended and its end was not told.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from monsoongap.coordination.work import Run

# Losses come for seconds on end. This long after the last one, replies are awaited
# without additional polls again.
MEMORY_S = 3.0
# A runner replies within a few milliseconds; a start without a reply for this long is
# looked for by a poll. Short jobs have a slack of some 80 ms.
START_OVERDUE_S = 0.06
# Declared times are off by two fifths. A poll costs less than an end learned late.
OVERRUN_FACTOR = 1.25
OVERRUN_S = 0.03
# Between additional polls of a runner; doubled after each until a run ends.
MIN_PROBE_INTERVAL_S = 0.05
MAX_PROBE_INTERVAL_S = 0.8
# A lost reply is noticed after 0.3 s, and the runner answers the next poll. One that
# was silent for longer was down, paused or cut off.
LOST_REPLY_SILENCE_S = 0.5
# An additional poll renews the lease of a runner that answered a request sent this long
# ago. Leases last 1 s.
RENEW_WITHIN_S = 0.5


@dataclass(slots=True)
class LostReplies:
    """Whether replies of working runners were lost lately, at one owner.

    Times are in seconds by the timer service.
    """

    count: int = 0
    probes: int = 0
    _last_at: float = field(default=-1e9)

    def record(self, now: float) -> None:
        """Record that a runner, which answers, did not answer a request."""
        self.count += 1
        self._last_at = now

    def is_likely(self, now: float) -> bool:
        """Return whether a missing reply is probably lost, not late."""
        return now - self._last_at <= MEMORY_S


@dataclass(slots=True)
class Responses:
    """When the last request was sent that a runner has answered."""

    answered_sent_at: float = -1e9

    def record(self, sent_at: float) -> None:
        """Record a reply to a request sent at `sent_at`."""
        self.answered_sent_at = max(self.answered_sent_at, sent_at)

    def any_since(self, sent_at: float) -> bool:
        """Return whether a request sent after `sent_at` was answered."""
        return self.answered_sent_at > sent_at


def probe_delay_s(runs: Iterable[Run], slowness: float, now: float) -> float | None:
    """Return in how many seconds an end of a run should have been told, else None.

    `slowness` is the runner's usual run time over the declared one.
    """
    expected = (
        run.started_at + run.estimate_s * slowness * OVERRUN_FACTOR + OVERRUN_S
        for run in runs
        if run.estimate_s > 0
    )
    due = min(expected, default=None)
    return None if due is None else max(due - now, 0.0)
