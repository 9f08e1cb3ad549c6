"""Which owner has which job, from the heartbeats of other owners.

A caller sends a job again to any host after a second or more; by then every owner has
received its location. Each job takes nine bytes in a few heartbeats.
"""

from dataclasses import dataclass, field

from monsoongap.timers import TimerService

# A caller's last retry comes within its deadline and a few pauses.
REMEMBER_S = 15.0
SWEEP_AT = 2048


@dataclass(slots=True)
class JobLocations:
    """The owners of jobs that other hosts execute, by job number."""

    timers: TimerService
    _owners: dict[int, tuple[str, float]] = field(default_factory=dict)
    _sweep_at: int = SWEEP_AT

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

    def by_owner(self) -> tuple[tuple[str, tuple[int, ...]], ...]:
        """Return the numbers of the jobs that each other owner is known to have."""
        self._sweep(self.timers.now())
        numbers: dict[str, list[int]] = {}
        for number, (owner, _) in self._owners.items():
            numbers.setdefault(owner, []).append(number)
        return tuple((owner, tuple(jobs)) for owner, jobs in numbers.items())

    def _sweep(self, now: float) -> None:
        self._owners = {
            number: (owner, at)
            for number, (owner, at) in self._owners.items()
            if now - at <= REMEMBER_S
        }
        self._sweep_at = max(SWEEP_AT, 2 * len(self._owners))


def job_number(job: str) -> int:
    """Return a job's id, which is hexadecimal, as a number."""
    return int(job, 16)
