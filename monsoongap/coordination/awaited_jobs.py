"""Which jobs have a caller that waits, and when that was last known.

Only the entry host that holds a caller's connection knows that the caller waits. A call
for the job may have passed other hosts on its way to the job's owner, or come from a
former owner, and these say nothing of the caller. So an entry host tells the owners of
its data centre, and they tell all other owners, with their heartbeats.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from monsoongap.coordination.job_record import NEVER
from monsoongap.protocol.messages import AwaitedJob
from monsoongap.state.job_locations import job_number
from monsoongap.timers import MS_PER_S, TimerService

# A younger call shows by its arrival that its caller waits.
TELL_AFTER_S = 0.4
# Older reports are not passed on: over a cut, jobs end sooner without a newer one.
RELAY_S = 2.0
FORGET_S = 15.0
SWEEP_AT = 2048
# Bounds a heartbeat to what one datagram carries; more jobs are told in turns.
MAX_TOLD = 400


@dataclass(frozen=True, slots=True, eq=False)
class _HeldCaller:
    """A caller whose connection is open here; it stops waiting at `until`."""

    since: float
    until: float


@dataclass(slots=True)
class AwaitedJobs:
    """The jobs with waiting callers, by job number.

    `_held` has the callers of this host. `_reported` has when other hosts of this data
    centre that own nothing last had a caller of a job, `_known` when any host had one.
    """

    timers: TimerService
    _held: dict[int, list[_HeldCaller]] = field(default_factory=dict)
    _reported: dict[int, float] = field(default_factory=dict)
    _known: dict[int, float] = field(default_factory=dict)
    _sweep_at: int = SWEEP_AT
    _told_first: int = 0

    @contextmanager
    def hold(self, job: str, wait_s: float) -> Iterator[None]:
        """Record that a caller of this host waits, for `wait_s` seconds; 0 if unknown.

        The caller counts as waiting until the context is left.
        """
        now = self.timers.now()
        caller = _HeldCaller(now, now + wait_s if wait_s else float("inf"))
        number = job_number(job)
        self._held.setdefault(number, []).append(caller)
        try:
            yield
        finally:
            callers = self._held[number]
            callers.remove(caller)
            if not callers:
                del self._held[number]

    def last_at(self, job: str) -> float:
        """Return when a caller of a job was last known to wait, `NEVER` if unknown."""
        now, number = self.timers.now(), job_number(job)
        if any(caller.until > now for caller in self._held.get(number, ())):
            return now
        return self._known.get(number, NEVER)

    def held(self) -> Iterator[AwaitedJob]:
        """Yield the jobs whose callers have waited here for `TELL_AFTER_S`."""
        now = self.timers.now()
        for number, callers in self._held.items():
            if any(c.since + TELL_AFTER_S <= now < c.until for c in callers):
                yield AwaitedJob(number, 0)

    def to_announce(self, relays: bool) -> tuple[AwaitedJob, ...]:
        """Return the jobs to tell with a heartbeat to owners.

        `relays` includes what other hosts of this data centre reported; only owners
        pass that on.
        """
        told = list(self.held())
        if relays and self._reported:
            now = self.timers.now()
            self._reported = {
                number: at
                for number, at in self._reported.items()
                if now - at <= RELAY_S
            }
            told += (
                AwaitedJob(number, round((now - at) * MS_PER_S))
                for number, at in self._reported.items()
                if number not in self._held
            )
        if len(told) > MAX_TOLD:
            first = self._told_first = (self._told_first + MAX_TOLD) % len(told)
            told = (told + told)[first : first + MAX_TOLD]
        return tuple(told)

    def record_announced(
        self, awaited: tuple[AwaitedJob, ...], is_report: bool
    ) -> None:
        """Record the jobs of a heartbeat.

        `is_report` says that the sender is of this data centre and owns nothing.
        """
        received_at = self.timers.received_since()
        tables = (self._known, self._reported) if is_report else (self._known,)
        for job in awaited:
            at = received_at - job.age_ms / MS_PER_S
            for table in tables:
                table[job.number] = max(table.get(job.number, NEVER), at)
        if len(self._known) > self._sweep_at:
            oldest = received_at - FORGET_S
            self._known = {n: at for n, at in self._known.items() if at >= oldest}
            self._sweep_at = max(SWEEP_AT, 2 * len(self._known))
