"""Admission control: refuses jobs that would wait too long.

A job is refused within a quarter of its objective, before any of its tasks has run, so
that its caller can still use the time; after that it is no longer refused because of
the backlog. A host whose event loop is overloaded refuses a job on arrival.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from monsoongap.coordination.job_record import JobRecord
from monsoongap.coordination.pool import Pool
from monsoongap.coordination.time_budget import exceeds_slack
from monsoongap.coordination.waiting import Backlog
from monsoongap.errors import AnswerKind
from monsoongap.protocol.messages import JobReply
from monsoongap.timers import MS_PER_S, Subscription, TimerService

# Short jobs have a decision deadline of some 35 ms.
DECISION_INTERVAL_S = 0.02
# Another owner answers a request to lend within one round trip between data centres.
MIN_DECISION_AGE_S = 0.01
# An event loop lag beyond this uses up the whole slack of a short job and delays
# heartbeats; the host lacks processor time.
OVERLOAD_LAG_S = 0.08
LAG_WEIGHT = 0.2
# How long a refused caller is asked to wait before it retries.
RETRY_AFTER_S = 1.0


@dataclass(slots=True)
class AdmissionControl:
    """The jobs none of whose tasks is dispatched yet, and the decision to refuse them.

    `refuse` ends a job with a reply. `is_evacuated` returns whether no data centre may
    start tasks for an upstream now. `lag_s` is the smoothed lag of this host's event
    loop, in seconds.
    """

    pool: Pool
    timers: TimerService
    refuse: Callable[[JobRecord, JobReply], None]
    is_evacuated: Callable[[str], bool] = lambda upstream: False
    lag_s: float = 0.0
    _pending: list[JobRecord] = field(default_factory=list)
    _last_decision_at: float = 0.0

    def start(self) -> Subscription:
        """Start the periodic decision on the added jobs."""
        self._last_decision_at = 0.0
        self.lag_s = 0.0
        return self.timers.every(DECISION_INTERVAL_S, self._decide_pending, "decide")

    def add(self, rec: JobRecord) -> None:
        """Add a job whose tasks are about to be queued."""
        self._pending.append(rec)

    def overload_refusal(self) -> JobReply | None:
        """Return the refusal of a new job if this host is overloaded, else None."""
        if self.lag_s <= OVERLOAD_LAG_S:
            return None
        detail = f"host overloaded: event loop {round(self.lag_s * MS_PER_S)} ms late"
        return JobReply(AnswerKind.REFUSED, detail, RETRY_AFTER_S)

    def refusal_on_arrival(self, upstream: str) -> JobReply | None:
        """Return the refusal of a new job that can't be served now, else None."""
        return self.overload_refusal() or self.evacuation_refusal(upstream)

    def evacuation_refusal(self, upstream: str) -> JobReply | None:
        """Return the refusal of a job that no data centre may run now, else None."""
        if not self.is_evacuated(upstream):
            return None
        detail = "every data centre with runners for the job is evacuated"
        return JobReply(AnswerKind.REFUSED, detail, RETRY_AFTER_S)

    def _decide_pending(self) -> None:
        now = self.timers.now()
        self._update_lag(now)
        pending = []
        backlog: Backlog | None = None
        for rec in self._pending:
            age = now - rec.arrived_at
            if rec.closed or rec.dispatched or rec.is_borrowing:
                # Answered, handed over, or at work.
                continue
            if refusal := self.evacuation_refusal(rec.rule.upstream):
                self.refuse(rec, refusal)
            elif age < MIN_DECISION_AGE_S:
                pending.append(rec)
            elif age <= rec.budget.decision_deadline_s + MIN_DECISION_AGE_S:
                backlog = backlog or self.pool.backlog()
                ahead_s = backlog.ahead_s(rec.sort_key) if backlog else 0.0
                if exceeds_slack(rec.budget, age, ahead_s):
                    self.refuse(rec, backlog_refusal(rec, ahead_s))
                else:
                    pending.append(rec)
        self._pending = pending

    def _update_lag(self, now: float) -> None:
        """Update the lag of this host's event loop from the delay of this call."""
        if self._last_decision_at > 0:
            late = max(now - self._last_decision_at - DECISION_INTERVAL_S, 0.0)
            self.lag_s += LAG_WEIGHT * (late - self.lag_s)
        self._last_decision_at = now


def capacity_timeout_refusal(rec: JobRecord, now: float) -> JobReply:
    """Return the refusal of a job for which no capacity was free within its budget."""
    waited_ms = round((now - rec.arrived_at) * MS_PER_S)
    return JobReply(
        AnswerKind.REFUSED, f"no capacity within {waited_ms} ms", RETRY_AFTER_S
    )


def backlog_refusal(rec: JobRecord, ahead_s: float) -> JobReply:
    """Return the refusal of a job with `ahead_s` seconds of work queued ahead of it."""
    slack_ms = round(rec.budget.slack_s * MS_PER_S)
    detail = (
        f"no capacity in time: {round(ahead_s * MS_PER_S)} ms ahead, {slack_ms} slack"
    )
    return JobReply(AnswerKind.REFUSED, detail, max(ahead_s, RETRY_AFTER_S))
