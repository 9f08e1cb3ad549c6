"""Which jobs are refused because they would wait too long, and when.

A job is refused at once, within a quarter of its objective, or not at all: its caller
can still use the time, and nothing of it has run. A host that is short of processor
refuses before it takes a job in.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from monsoongap.coordination.job_record import JobRecord
from monsoongap.coordination.pool import Pool
from monsoongap.coordination.time_budget import is_hopeless
from monsoongap.coordination.waiting import Backlog
from monsoongap.errors import AnswerKind
from monsoongap.protocol.messages import JobReply
from monsoongap.timers import MS_PER_S, TimerService

# Short jobs are refused within some 35 ms or not at all.
DECIDE_TICK_S = 0.02
# Lending answers within one round trip between data centres.
DECIDE_AFTER_S = 0.01
# A host whose loop is later than this is short of processor: a short job's whole
# slack is gone, and heartbeats come late.
OVERLOAD_LAG_S = 0.08
LAG_WEIGHT = 0.2
# How long a refused caller is told to stay away.
RETRY_AFTER_S = 1.0


@dataclass(slots=True)
class AdmissionControl:
    """Jobs that wait for their first task to be placed. `refuse` ends one."""

    pool: Pool
    timers: TimerService
    refuse: Callable[[JobRecord, JobReply], None]
    lag_s: float = 0.0
    _undecided: list[JobRecord] = field(default_factory=list)
    _decided_at: float = 0.0

    def start(self) -> None:
        """Begin to decide."""
        self.timers.every(DECIDE_TICK_S, self._decide, "decide")

    def add(self, rec: JobRecord) -> None:
        """Take in a job that was just admitted."""
        self._undecided.append(rec)

    def overload(self) -> JobReply | None:
        """Return the refusal of a host that has no processor time for a new job."""
        if self.lag_s <= OVERLOAD_LAG_S:
            return None
        detail = f"host overloaded: {round(self.lag_s * MS_PER_S)} ms late"
        return JobReply(AnswerKind.REFUSED, detail, RETRY_AFTER_S)

    def _decide(self) -> None:
        now = self.timers.now()
        self._note_lag(now)
        undecided = []
        backlog: Backlog | None = None
        for rec in self._undecided:
            age = now - rec.arrived_at
            if rec.answer.done() or rec.offered or rec.borrows:
                continue
            if age < DECIDE_AFTER_S:
                undecided.append(rec)
            elif age <= rec.aim.decide_s + DECIDE_AFTER_S:
                backlog = backlog or self.pool.backlog()
                ahead_s = backlog.ahead_s(rec.sort_key) if backlog else 0.0
                if is_hopeless(rec.aim, age, ahead_s):
                    self.refuse(rec, refusal_for_room(rec, ahead_s))
                else:
                    undecided.append(rec)
        self._undecided = undecided

    def _note_lag(self, now: float) -> None:
        """Measure how late this host's own loop is."""
        if self._decided_at > 0:
            late = max(now - self._decided_at - DECIDE_TICK_S, 0.0)
            self.lag_s += LAG_WEIGHT * (late - self.lag_s)
        self._decided_at = now


def refusal_in_vain(rec: JobRecord, now: float) -> JobReply:
    """Return the refusal of a job that no room was found for in all its time."""
    waited_ms = round((now - rec.arrived_at) * MS_PER_S)
    return JobReply(AnswerKind.REFUSED, f"no room in {waited_ms} ms", RETRY_AFTER_S)


def refusal_for_room(rec: JobRecord, ahead_s: float) -> JobReply:
    """Return the refusal of a job that has `ahead_s` of work before it."""
    slack_ms = round(rec.aim.slack_s * MS_PER_S)
    detail = f"no room in time: {round(ahead_s * MS_PER_S)} ms ahead, {slack_ms} spare"
    return JobReply(AnswerKind.REFUSED, detail, max(ahead_s, RETRY_AFTER_S))
