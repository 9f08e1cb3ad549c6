"""Admission by load: whole jobs or none, refused at once when they can't be met.

The wait of a new job is estimated from the work that its team has waiting and the
measured rate at which this host starts work while it has some waiting. Work that
would wait past its deadline, or longer than the bound that lets the host recover
quickly after a crest, is refused with a hint when to come back.
"""

import math
from collections import Counter
from dataclasses import dataclass

from monsoongap.coordination.estimates import Estimate, Estimator
from monsoongap.coordination.parts import TeamDirectory, TeamLimits
from monsoongap.coordination.queues import Level, TaskQueues, Waiting
from monsoongap.coordination.quotas import Reservations, TeamShares
from monsoongap.errors import DispatchError, ErrorKind
from monsoongap.protocol.messages import JobRequest, TaskSpec
from monsoongap.settings import PlacementSection

DRAIN_FADE_S = 0.5
MIN_RETRY_MS = 50
NO_WORKER_RETRY_MS = 1000


@dataclass(frozen=True, slots=True)
class WorkerShape:
    """The size of a worker: all that matters to whether a task fits it."""

    cpus: float
    memory_mb: int

    def fits(self, cpus: float, memory_mb: int) -> bool:
        """Return whether a task of this size fits."""
        return cpus <= self.cpus and memory_mb <= self.memory_mb


class DrainMeter:
    """Slot-seconds of work started per second while work was waiting."""

    def __init__(self) -> None:
        self._at = 0.0
        self._work_s = 0.0
        self._time_s = 0.0
        self._queueing = False

    def note(self, now: float, queueing: bool) -> None:
        """Note whether work is waiting from now on."""
        elapsed_s = now - self._at
        if elapsed_s > 0.0 and self._queueing:
            fade = math.exp(-elapsed_s / DRAIN_FADE_S)
            self._work_s *= fade
            self._time_s = self._time_s * fade + DRAIN_FADE_S * (1.0 - fade)
        self._at = now
        self._queueing = queueing

    def started(self, work_s: float) -> None:
        """Count work that left the queue."""
        if self._queueing:
            self._work_s += work_s

    def rate(self, fallback: float) -> float:
        """Return slot-seconds per second; mostly `fallback` on little evidence."""
        trust = min(1.0, self._time_s / DRAIN_FADE_S)
        measured = self._work_s / self._time_s if self._time_s else 0.0
        return max(0.1, trust * measured + (1.0 - trust) * fallback)


@dataclass(frozen=True, slots=True)
class _JobWork:
    """What is expected of a job, in seconds."""

    urgent: bool
    work_s: float
    longest_s: float


class Admission:
    """Reserves room for jobs and estimates their waits."""

    def __init__(
        self,
        cfg: PlacementSection,
        teams: TeamDirectory,
        urgent_shares: TeamShares,
        normal_shares: TeamShares,
        queues: TaskQueues,
        estimator: Estimator,
    ) -> None:
        self._cfg = cfg
        self._teams = teams
        self._urgent_shares = urgent_shares
        self._normal_shares = normal_shares
        self._queues = queues
        self._estimator = estimator
        self._pending_work_s: dict[str, float] = {}
        self._pending_tasks: Counter[str] = Counter()
        self.room = Reservations(teams, cfg.queue_tasks)
        self.urgent_drain = DrainMeter()
        self.normal_drain = DrainMeter()
        self.refused: Counter[str] = Counter()

    def admit(
        self,
        req: JobRequest,
        shapes: frozenset[WorkerShape],
        pool: int,
        left_s: float,
    ) -> None:
        """Reserve room or raise; `left_s` is the time to the job's deadline."""
        try:
            limits = self._limits(req)
            check_fit(req.tasks, shapes)
            job = self._expect(req)
            self._check_wait(req.team, job, pool, left_s)
            self.room.reserve(limits, len(req.tasks))
        except DispatchError as exc:
            self.refused[exc.kind.value] += 1
            raise
        self._pending_tasks[req.team] += len(req.tasks)
        pending_s = self._pending_work_s.get(req.team, 0.0)
        self._pending_work_s[req.team] = pending_s + job.work_s

    def note_start(self, waiting: Waiting) -> None:
        """Count work that leaves the queue for a slot."""
        urgent = waiting.level is Level.SHORT
        meter = self.urgent_drain if urgent else self.normal_drain
        meter.started(waiting.work_s)

    def arrived(self, team: str, tasks: int) -> None:
        """Note that an admitted job's tasks are in the queue or never will be."""
        before = self._pending_tasks[team]
        left = max(0, before - tasks)
        if not left:
            self._pending_tasks.pop(team, None)
            self._pending_work_s.pop(team, None)
            return
        self._pending_tasks[team] = left
        self._pending_work_s[team] *= left / before

    def _limits(self, req: JobRequest) -> TeamLimits:
        """Return the team's limits; raises when it may not submit such a job."""
        limits = self._teams.limits(req.team)
        if limits is None:
            raise DispatchError(ErrorKind.FORBIDDEN, f"no team {req.team!r}")
        if req.deadline_ms > limits.max_deadline_ms:
            raise DispatchError(
                ErrorKind.BAD_REQUEST,
                f"deadline_ms of team {req.team!r} is at most {limits.max_deadline_ms}",
            )
        return limits

    def _expect(self, req: JobRequest) -> _JobWork:
        declared = Counter(task.expected_ms for task in req.tasks)
        estimates: list[tuple[Estimate, int]] = [
            (self._estimator.estimate(req.team, req.kind, expected_ms), count)
            for expected_ms, count in declared.items()
        ]
        urgent = not any(estimate.is_long for estimate, _ in estimates)
        work_s = sum(estimate.run_s * count for estimate, count in estimates)
        longest_s = max(estimate.run_s for estimate, _ in estimates)
        return _JobWork(urgent, work_s, longest_s)

    def _check_wait(self, team: str, job: _JobWork, pool: int, left_s: float) -> None:
        wait_s = self._wait_s(team, job, pool)
        runs_s = self._cfg.queue_wait_runs * job.longest_s
        allowed_s = min(max(self._cfg.queue_wait_s, runs_s), left_s - job.longest_s)
        if wait_s <= allowed_s:
            return
        retry_ms = max(MIN_RETRY_MS, math.ceil(1000.0 * (wait_s - allowed_s)))
        raise DispatchError(
            ErrorKind.OVERLOADED,
            f"the wait would be about {wait_s * 1000.0:.0f} ms",
            retry_ms,
        )

    def _wait_s(self, team: str, job: _JobWork, pool: int) -> float:
        """Return how long the job would wait until its last task starts."""
        waiting = self._queues.team_work_s
        ahead_s = waiting.get((team, True), 0.0)
        ahead_s += self._pending_work_s.get(team, 0.0)
        drain = self.urgent_drain.rate(pool)
        share = self._urgent_shares.share(team)
        if not job.urgent:
            ahead_s += waiting.get((team, False), 0.0)
            drain += self.normal_drain.rate(0.0)
            share = self._normal_shares.share(team)
        if ahead_s <= 0.0:
            return 0.0
        return ahead_s / (drain * share)


def check_fit(tasks: tuple[TaskSpec, ...], shapes: frozenset[WorkerShape]) -> None:
    """Raise `no_fit` for a task larger than every listed worker.

    Without any listed worker the answer is `overloaded`: that passes.
    """
    if not shapes:
        raise DispatchError(
            ErrorKind.OVERLOADED, "no worker is listed", NO_WORKER_RETRY_MS
        )
    for cpus, memory_mb in {(task.cpus, task.memory_mb) for task in tasks}:
        check_size(cpus, memory_mb, shapes)


def check_size(cpus: float, memory_mb: int, shapes: frozenset[WorkerShape]) -> None:
    """Raise `no_fit` for one task larger than every listed worker."""
    if any(shape.fits(cpus, memory_mb) for shape in shapes):
        return
    raise DispatchError(
        ErrorKind.NO_FIT,
        f"no worker has {cpus:g} cpus and {memory_mb} MB for one task",
    )
