"""The queues of waiting tasks, by level, team and job.

A level holds the jobs of one urgency. In a level the team with the least service
for its weight goes first, and in a team the job that has started, then the one
with the least work left, where waiting outweighs work.
"""

import asyncio
import heapq
from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum

from monsoongap.coordination.estimates import Estimate
from monsoongap.coordination.parts import Slot, Ticket
from monsoongap.coordination.quotas import TeamShares

LATE_AFTER_RUNS = 0.95
AGED_AFTER_RUNS = 10.0
WORK_WEIGHT = 0.25


class Level(IntEnum):
    """How urgent waiting tasks are.

    `FRESH`: short jobs that can still be answered within twice their ideal time.
    `LATE`: short jobs that can't; they make way so that others still can, for a
    bounded time. `LONG`: long tasks. `FILL`: short tasks of jobs with a long task,
    which have time, and tasks of kinds not seen before.
    """

    FRESH = 0
    LATE = 1
    LONG = 2
    FILL = 3


@dataclass(slots=True, eq=False)
class Job:
    """A job with tasks in the scheduler. `left_s` is its unfinished work."""

    submission: str
    team: str
    arrived: float
    is_long: bool = False
    aged: bool = False
    running: int = 0
    started: bool = False
    left_s: float = 0.0
    run_s: float = 0.0
    waiting: int = 0
    level: Level = Level.FRESH
    tasks: dict[Level, deque["Waiting"]] = field(default_factory=dict)
    queued: set[Level] = field(default_factory=set)


@dataclass(slots=True, eq=False)
class Waiting:
    """One task that waits for a slot."""

    ticket: Ticket
    fut: asyncio.Future[Slot]
    estimate: Estimate
    job: Job
    since: float
    level: Level = Level.FRESH
    gone: bool = False

    @property
    def work_s(self) -> float:
        """Return the slot-seconds it is expected to take at its level."""
        if self.level is Level.LONG:
            return self.estimate.run_s
        return self.estimate.short_s


class _LevelQueue:
    """Jobs of one level: a heap of teams, each with a heap of jobs."""

    def __init__(self, shares: TeamShares) -> None:
        self._shares = shares
        self._teams: list[tuple[float, str]] = []
        self._jobs: dict[str, list[tuple[bool, float, int, Job]]] = {}
        self._count = 0

    def push(self, job: Job, started: bool) -> None:
        """Queue a job that has tasks at this level."""
        jobs = self._jobs.get(job.team)
        if jobs is None:
            jobs = self._jobs[job.team] = []
            heapq.heappush(self._teams, (self._shares.service(job.team), job.team))
        self._count += 1
        order = job.arrived + WORK_WEIGHT * job.left_s
        heapq.heappush(jobs, (not started, order, self._count, job))

    def pop(self) -> Job | None:
        """Remove and return the next job of the least served team."""
        while self._teams:
            service, team = self._teams[0]
            current = self._shares.service(team)
            if current > service:
                heapq.heapreplace(self._teams, (current, team))
                continue
            jobs = self._jobs[team]
            job = heapq.heappop(jobs)[3]
            if not jobs:
                del self._jobs[team]
                heapq.heappop(self._teams)
            return job
        return None

    def clear(self, level: Level) -> None:
        """Drop entries that were left when their last task went."""
        for jobs in self._jobs.values():
            for entry in jobs:
                entry[3].queued.discard(level)
        self._jobs.clear()
        self._teams.clear()


class TaskQueues:
    """All waiting tasks of this host.

    Entries of tasks whose caller gave up are skipped when they come up.
    """

    def __init__(self, shares: TeamShares) -> None:
        self._shares = shares
        self._levels = {level: _LevelQueue(shares) for level in Level}
        self._late: deque[Job] = deque()
        self._oldest: dict[Level, deque[Waiting]] = {
            Level.LONG: deque(),
            Level.FILL: deque(),
        }
        self.length: Counter[Level] = Counter()
        self.by_team: Counter[tuple[str, bool]] = Counter()
        self.team_work_s: dict[tuple[str, bool], float] = {}

    def __len__(self) -> int:
        return self.length.total()

    def push(self, waiting: Waiting) -> None:
        """Queue a task at its level."""
        self._shares.enter(waiting.job.team)
        waiting.job.waiting += 1
        self._place(waiting)

    def pop(self, level: Level, now: float) -> Waiting | None:
        """Remove and return the next task of a level."""
        if level is Level.FRESH:
            self._promote_aged(now)
        while self.length[level]:
            job = self._levels[level].pop()
            if job is None:
                return None
            job.queued.discard(level)
            if level is Level.FRESH and _is_late(job, now):
                self._demote(job)
                continue
            waiting = self._take(job, level)
            if waiting is not None:
                self.remove(waiting)
                return waiting
        self._levels[level].clear(level)
        return None

    def remove(self, waiting: Waiting) -> None:
        """Forget a task whose caller gave up, if it still waits."""
        if not waiting.gone:
            waiting.gone = True
            self._leave(waiting)

    def make_long(self, job: Job) -> None:
        """Re-class a job that has turned out to have a long task."""
        if job.is_long:
            return
        job.is_long = True
        for level in (Level.FRESH, Level.LATE):
            self._move(job, level, Level.FILL)

    def reclass(self, waiting: Waiting, estimate: Estimate, level: Level) -> None:
        """Move one waiting task to another level with a new estimate."""
        self._uncount(waiting)
        tasks = waiting.job.tasks.get(waiting.level)
        if tasks is not None and waiting in tasks:
            tasks.remove(waiting)
        waiting.estimate = estimate
        waiting.level = level
        self._place(waiting)

    def push_back(self, waiting: Waiting) -> None:
        """Queue again a task for which no free worker was large enough."""
        waiting.gone = False
        self.push(waiting)

    def oldest(self, level: Level) -> Waiting | None:
        """Return the task that has waited longest at a level, or None."""
        order = self._oldest[level]
        while order and (order[0].gone or order[0].level is not level):
            order.popleft()
        return order[0] if order else None

    def waiting_tasks(self, job: Job) -> Iterator[Waiting]:
        """Yield a job's waiting tasks."""
        for tasks in job.tasks.values():
            yield from (waiting for waiting in tasks if not waiting.gone)

    def _place(self, waiting: Waiting) -> None:
        job, level = waiting.job, waiting.level
        job.tasks.setdefault(level, deque()).append(waiting)
        if level in self._oldest:
            self._oldest[level].append(waiting)
        self._count(waiting)
        self._enqueue(job, level, job.started)

    def _enqueue(self, job: Job, level: Level, started: bool) -> None:
        if level not in job.queued:
            job.queued.add(level)
            self._levels[level].push(job, started)

    def _take(self, job: Job, level: Level) -> Waiting | None:
        tasks = job.tasks.get(level)
        while tasks:
            waiting = tasks.popleft()
            if waiting.gone or waiting.level is not level:
                continue
            if tasks:
                self._enqueue(job, level, started=True)
            return waiting
        return None

    def _leave(self, waiting: Waiting) -> None:
        self._shares.leave(waiting.job.team)
        waiting.job.waiting -= 1
        self._uncount(waiting)

    def _count(self, waiting: Waiting) -> None:
        self._tally(waiting, 1)

    def _uncount(self, waiting: Waiting) -> None:
        self._tally(waiting, -1)

    def _tally(self, waiting: Waiting, sign: int) -> None:
        key = (waiting.job.team, waiting.level <= Level.LATE)
        self.length[waiting.level] += sign
        self.by_team[key] += sign
        if self.by_team[key]:
            work_s = self.team_work_s.get(key, 0.0) + sign * waiting.work_s
            self.team_work_s[key] = work_s
        else:
            del self.by_team[key]
            self.team_work_s.pop(key, None)

    def _promote_aged(self, now: float) -> None:
        while self._late:
            job = self._late[0]
            if now - job.arrived < AGED_AFTER_RUNS * job.run_s and job.waiting:
                return
            self._late.popleft()
            if job.waiting and job.level is Level.LATE:
                job.aged = True
                self._move(job, Level.LATE, Level.FRESH)

    def _demote(self, job: Job) -> None:
        self._late.append(job)
        self._move(job, Level.FRESH, Level.LATE)

    def _move(self, job: Job, source: Level, target: Level) -> None:
        tasks = job.tasks.pop(source, None)
        job.level = target
        for waiting in tasks or ():
            if not waiting.gone:
                self._uncount(waiting)
                waiting.level = target
                self._place(waiting)


def _is_late(job: Job, now: float) -> bool:
    if job.aged or job.started:
        return False
    return now - job.arrived > LATE_AFTER_RUNS * job.run_s
