"""Which owner has which job, from the heartbeats of other owners.

A caller sends a job again to any host after a second or more; by then every owner has
received its location. Each job takes nine bytes in a few heartbeats. An owner announces
a job again and again while it is in progress, however long that takes.
"""

from dataclasses import dataclass, field
from itertools import islice

from monsoongap.timers import TimerService

# A location is remembered this long after its last announcement: a caller's last retry
# comes within its deadline and a few pauses, also if the job has ended meanwhile.
REMEMBER_S = 15.0
SWEEP_AT = 2048
# Expired locations are kept for log lines only.
KEEP_EXPIRED_S = 120.0
MAX_EXPIRED = 8192


@dataclass(frozen=True, slots=True)
class JobLocation:
    """The owner that announced a job, and how long ago it last did."""

    owner: str
    age_s: float

    @property
    def is_expired(self) -> bool:
        """Return whether the location is too old to forward calls by it."""
        return self.age_s > REMEMBER_S


@dataclass(slots=True)
class JobLocations:
    """The owners of jobs that other hosts execute, by job number."""

    timers: TimerService
    _owners: dict[int, tuple[str, float]] = field(default_factory=dict)
    _sweep_at: int = SWEEP_AT
    _expired: dict[int, tuple[str, float]] = field(default_factory=dict)

    def record_jobs(self, owner: str, numbers: tuple[int, ...]) -> None:
        """Record the jobs that an owner started, by their numbers."""
        now = self.timers.now()
        for number in numbers:
            self._owners[number] = (owner, now)
        if len(self._owners) > self._sweep_at:
            self._sweep(now)

    def owner_of_job(self, job: str) -> str | None:
        """Return the other owner known to have a job, None if there is none."""
        known = self._owners.get(job_number(job))
        if known is None or self.timers.now() - known[1] > REMEMBER_S:
            return None
        return known[0]

    def announced_since(self, job: str, since: float) -> str | None:
        """Return the other owner that announced a job last, if that was after `since`.

        For diagnosis only.
        """
        known = self._owners.get(job_number(job))
        return known[0] if known is not None and known[1] > since else None

    def location_of(self, job: str) -> JobLocation | None:
        """Return the last location of a job, even if expired; for diagnosis only."""
        number = job_number(job)
        known = self._owners.get(number) or self._expired.get(number)
        if known is None:
            return None
        age_s = self.timers.now() - known[1]
        return JobLocation(known[0], age_s) if age_s <= KEEP_EXPIRED_S else None

    def by_owner(self) -> tuple[tuple[str, tuple[int, ...]], ...]:
        """Return the numbers of the jobs that each other owner is known to have."""
        self._sweep(self.timers.now())
        numbers: dict[str, list[int]] = {}
        for number, (owner, _) in self._owners.items():
            numbers.setdefault(owner, []).append(number)
        return tuple((owner, tuple(jobs)) for owner, jobs in numbers.items())

    def _sweep(self, now: float) -> None:
        for number, known in self._owners.items():
            if now - known[1] > REMEMBER_S:
                self._expired[number] = known
        excess = len(self._expired) - MAX_EXPIRED
        if excess > 0:
            self._expired = dict(islice(self._expired.items(), excess, None))
        self._owners = {
            number: (owner, at)
            for number, (owner, at) in self._owners.items()
            if now - at <= REMEMBER_S
        }
        self._sweep_at = max(SWEEP_AT, 2 * len(self._owners))


def location_fields(location: JobLocation | None) -> dict[str, object]:
    """Return the log fields that tell where another owner has a job, if one has."""
    if location is None:
        return {}
    return {"located": location.owner, "location_age_s": round(location.age_s, 3)}


def job_number(job: str) -> int:
    """Return a job's id, which is hexadecimal, as a number."""
    return int(job, 16)
