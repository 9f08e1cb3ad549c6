"""The queues of waiting tasks, by level, team and job.

A level holds the jobs of one urgency. In a level teams within their shares go
before teams above theirs; then jobs that have started go first, then the ones with
the least work left, where waiting makes up for work.
"""

import asyncio
import heapq
from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from monsoongap.coordination.estimates import Estimate
from monsoongap.coordination.parts import Slot, Ticket
from monsoongap.coordination.quotas import TeamShares

LATE_AFTER_RUNS = 1.0
AGED_AFTER_RUNS = 10.0
WORK_WEIGHT = 0.25


class Level(IntEnum):
    """How urgent waiting tasks are.

    `SHORT`: tasks of short jobs. `LONG`: long tasks. `FILL`: short tasks of jobs
    with a long task, which have time, and tasks of kinds not seen before.
    """

    SHORT = 0
    LONG = 1
    FILL = 2


STANDING_QUEUE_S = {Level.SHORT: 0.2, Level.LONG: 2.0}


@dataclass(slots=True, eq=False)
class Job:
    """A job with tasks in the scheduler.

    `left_s` is its unfinished work, `run_s` its longest task. A late job can't be
    answered within twice its ideal time any more: it makes way so that others still
    can, until it has aged.
    """

    submission: str
    team: str
    arrived: float
    is_long: bool = False
    late: bool = False
    aged: bool = False
    running: int = 0
    started: bool = False
    left_s: float = 0.0
    run_s: float = 0.0
    waiting: int = 0
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
    level: Level = Level.SHORT
    gone: bool = False

    @property
    def work_s(self) -> float:
        """Return the slot-seconds it is expected to take at its level."""
        if self.level is Level.LONG:
            return self.estimate.run_s
        return self.estimate.short_s


class _Order(NamedTuple):
    """The place of a job among its team's jobs, lowest first.

    A named tuple, since heaps compare these all the time.
    """

    late: bool
    fresh: bool
    due: float
    serial: int


class _TeamEntry(NamedTuple):
    """The place of a team among the teams, lowest first."""

    rank: int
    first: _Order
    team: str


class _LevelQueue:
    """Jobs of one level: a heap of teams, each with a heap of jobs.

    Only the latest entry of a team counts. It tells the team's rank and first job
    when it was pushed; one that has become wrong is put right when it comes up.
    """

    def __init__(self, shares: TeamShares) -> None:
        self._shares = shares
        self._teams: list[_TeamEntry] = []
        self._latest: dict[str, _TeamEntry] = {}
        self._jobs: dict[str, list[tuple[_Order, Job]]] = {}
        self._count = 0

    def push(self, job: Job, now: float) -> None:
        """Queue a job that has tasks at this level."""
        jobs = self._jobs.setdefault(job.team, [])
        self._count += 1
        due = job.arrived + WORK_WEIGHT * job.left_s
        order = _Order(job.late, not job.started, due, self._count)
        heapq.heappush(jobs, (order, job))
        if jobs[0][0] is order:
            self._enter(job.team, self._shares.rank(job.team, now))

    def pop(self, now: float) -> Job | None:
        """Remove and return the next job."""
        while self._teams:
            entry = self._teams[0]
            if self._latest.get(entry.team) is not entry:
                heapq.heappop(self._teams)
                continue
            rank = self._shares.rank(entry.team, now)
            if rank > entry.rank:
                heapq.heappop(self._teams)
                self._enter(entry.team, rank)
                continue
            heapq.heappop(self._teams)
            jobs = self._jobs[entry.team]
            job = heapq.heappop(jobs)[1]
            if jobs:
                self._enter(entry.team, rank)
            else:
                del self._jobs[entry.team]
                del self._latest[entry.team]
            return job
        return None

    def clear(self, level: Level) -> None:
        """Drop entries that were left when their last task went."""
        for jobs in self._jobs.values():
            for _, job in jobs:
                job.queued.discard(level)
        self._jobs.clear()
        self._teams.clear()
        self._latest.clear()

    def _enter(self, team: str, rank: int) -> None:
        entry = _TeamEntry(rank, self._jobs[team][0][0], team)
        self._latest[team] = entry
        heapq.heappush(self._teams, entry)


class TaskQueues:
    """All waiting tasks of this host.

    Entries of tasks whose caller gave up are skipped when they come up.
    """

    def __init__(self, urgent: TeamShares, normal: TeamShares) -> None:
        self._shares = {
            Level.SHORT: urgent,
            Level.LONG: normal,
            Level.FILL: normal,
        }
        self._levels = {level: _LevelQueue(self._shares[level]) for level in Level}
        self._late: deque[Job] = deque()
        self._oldest: dict[Level, deque[Waiting]] = {
            Level.LONG: deque(),
            Level.FILL: deque(),
        }
        self.length: Counter[Level] = Counter()
        self.work_s = dict.fromkeys(Level, 0.0)
        self.by_team: Counter[tuple[str, bool]] = Counter()
        self.team_work_s: dict[tuple[str, bool], float] = {}

    def __len__(self) -> int:
        return self.length.total()

    def push(self, waiting: Waiting, now: float) -> None:
        """Queue a task at its level."""
        waiting.job.waiting += 1
        self._place(waiting, now)

    def pop(self, level: Level, now: float) -> Waiting | None:
        """Remove and return the next task of a level."""
        if level is Level.SHORT:
            self._promote_aged(now)
        while self.length[level]:
            job = self._levels[level].pop(now)
            if job is None:
                return None
            job.queued.discard(level)
            if level is Level.SHORT and _turns_late(job, now):
                job.late = True
                self._late.append(job)
                self._enqueue(job, level, now)
                continue
            waiting = self._take(job, level, now)
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

    def make_long(self, job: Job, now: float) -> None:
        """Re-class a job that has turned out to have a long task."""
        if job.is_long:
            return
        job.is_long = True
        for waiting in job.tasks.pop(Level.SHORT, ()):
            if not waiting.gone:
                self._uncount(waiting)
                waiting.level = Level.FILL
                self._place(waiting, now)

    def reclass(
        self, waiting: Waiting, estimate: Estimate, level: Level, now: float
    ) -> None:
        """Move one waiting task to another level with a new estimate."""
        self._uncount(waiting)
        tasks = waiting.job.tasks.get(waiting.level)
        if tasks is not None and waiting in tasks:
            tasks.remove(waiting)
        waiting.estimate = estimate
        waiting.level = level
        self._place(waiting, now)

    def push_back(self, waiting: Waiting, now: float) -> None:
        """Queue again a task for which no free worker was large enough."""
        waiting.gone = False
        self.push(waiting, now)

    def oldest(self, level: Level) -> Waiting | None:
        """Return the task that has waited longest at a level, or None."""
        order = self._oldest[level]
        while order and (order[0].gone or order[0].level is not level):
            order.popleft()
        return order[0] if order else None

    def note_contention(self, pool: int) -> None:
        """Let team shares count where there is a standing queue for `pool` slots.

        In a passing one the order of the jobs serves every team best.
        """
        for level in (Level.SHORT, Level.LONG):
            standing_s = STANDING_QUEUE_S[level] * pool
            self._shares[level].contended = self.work_s[level] > standing_s

    def waiting_tasks(self, job: Job) -> Iterator[Waiting]:
        """Yield a job's waiting tasks."""
        for tasks in job.tasks.values():
            yield from (waiting for waiting in tasks if not waiting.gone)

    def _place(self, waiting: Waiting, now: float) -> None:
        job, level = waiting.job, waiting.level
        job.tasks.setdefault(level, deque()).append(waiting)
        if level in self._oldest:
            self._oldest[level].append(waiting)
        self._count(waiting)
        self._enqueue(job, level, now)

    def _enqueue(self, job: Job, level: Level, now: float) -> None:
        if level not in job.queued:
            job.queued.add(level)
            self._levels[level].push(job, now)

    def _take(self, job: Job, level: Level, now: float) -> Waiting | None:
        tasks = job.tasks.get(level)
        while tasks:
            waiting = tasks.popleft()
            if waiting.gone or waiting.level is not level:
                continue
            job.started = True
            if tasks:
                self._enqueue(job, level, now)
            return waiting
        return None

    def _leave(self, waiting: Waiting) -> None:
        waiting.job.waiting -= 1
        self._uncount(waiting)

    def _count(self, waiting: Waiting) -> None:
        self._shares[waiting.level].enter(waiting.job.team)
        self._tally(waiting, 1)

    def _uncount(self, waiting: Waiting) -> None:
        self._shares[waiting.level].leave(waiting.job.team)
        self._tally(waiting, -1)

    def _tally(self, waiting: Waiting, sign: int) -> None:
        key = (waiting.job.team, waiting.level is Level.SHORT)
        self.length[waiting.level] += sign
        if self.length[waiting.level]:
            self.work_s[waiting.level] += sign * waiting.work_s
        else:
            self.work_s[waiting.level] = 0.0
        self.by_team[key] += sign
        if self.by_team[key]:
            work_s = self.team_work_s.get(key, 0.0) + sign * waiting.work_s
            self.team_work_s[key] = work_s
        else:
            del self.by_team[key]
            self.team_work_s.pop(key, None)

    def _promote_aged(self, now: float) -> None:
        """Let late jobs that have waited long enough go ahead again."""
        while self._late:
            job = self._late[0]
            if now - job.arrived < AGED_AFTER_RUNS * job.run_s and job.waiting:
                return
            self._late.popleft()
            job.late, job.aged = False, True
            if job.tasks.get(Level.SHORT):
                job.queued.discard(Level.SHORT)
                self._enqueue(job, Level.SHORT, now)


def _turns_late(job: Job, now: float) -> bool:
    if job.late or job.aged or job.started:
        return False
    return now - job.arrived > LATE_AFTER_RUNS * job.run_s
