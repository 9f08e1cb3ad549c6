"""Jobs that other owners see through, as their heartbeats tell.

A caller sends a job again to any host after a second and more, by when every owner
has heard where it is. Numbers of jobs take nine bytes each, told a few times.
"""

from dataclasses import dataclass, field

from monsoongap.timers import TimerService

# A caller's last try comes within its deadline and a few pauses.
REMEMBER_S = 15.0
SWEEP_AT = 2048


@dataclass(slots=True)
class JobLocations:
    """Which owner has which job."""

    timers: TimerService
    _homes: dict[int, tuple[str, float]] = field(default_factory=dict)
    _sweep_at: int = SWEEP_AT

    def record_jobs(self, owner: str, begun: tuple[int, ...]) -> None:
        """Take in the jobs that an owner began."""
        now = self.timers.now()
        for number in begun:
            self._homes[number] = (owner, now)
        if len(self._homes) > self._sweep_at:
            self._sweep(now)

    def owner_of_job(self, job: str) -> str | None:
        """Return the owner that has a job, if another one is known to."""
        known = self._homes.get(job_number(job))
        if known is None or self.timers.now() - known[1] > REMEMBER_S:
            return None
        return known[0]

    def _sweep(self, now: float) -> None:
        self._homes = {
            number: (owner, at)
            for number, (owner, at) in self._homes.items()
            if now - at <= REMEMBER_S
        }
        self._sweep_at = max(SWEEP_AT, 2 * len(self._homes))


def job_number(job: str) -> int:
    """Return a job's id, which is hexadecimal, as a number."""
    return int(job, 16)
