"""Jobs and running tasks as the scheduler knows them.

Here a ticket becomes a waiting task at some level, a running task that overruns
re-classes its job, and the end of a task teaches the estimates.
"""

import asyncio
import heapq
from collections import Counter
from dataclasses import dataclass

from monsoongap.coordination.estimates import Estimate, Estimator
from monsoongap.coordination.parts import Slot, Ticket
from monsoongap.coordination.queues import Job, Level, TaskQueues, Waiting
from monsoongap.coordination.quotas import TeamShares
from monsoongap.coordination.shares import LongShare
from monsoongap.coordination.worker_health import KindName

OVERRUN_FACTOR = 2.0
PROBES_PER_KIND = 2
MAX_UNKNOWN_KINDS = 256


@dataclass(slots=True, eq=False)
class Running:
    """A task that holds a slot."""

    slot: Slot
    ticket: Ticket
    job: Job
    estimate: Estimate
    placed_at: float
    work_s: float
    counted_long: bool
    ended: bool = False


class JobTable:
    """The jobs with tasks waiting or running, until they are withdrawn."""

    def __init__(
        self,
        queues: TaskQueues,
        urgent_shares: TeamShares,
        normal_shares: TeamShares,
        long_share: LongShare,
        estimator: Estimator,
    ) -> None:
        self._queues = queues
        self._urgent_shares = urgent_shares
        self._normal_shares = normal_shares
        self._long_share = long_share
        self._estimator = estimator
        self._jobs: dict[str, Job] = {}
        self._overruns: list[tuple[float, int, Running]] = []
        self._unknown: Counter[KindName] = Counter()
        self._held_back: dict[KindName, list[Waiting]] = {}
        self.running: dict[int, Running] = {}
        self.long_busy = 0
        self.overrun_count = 0

    def __contains__(self, submission: str) -> bool:
        return submission in self._jobs

    def queue(self, ticket: Ticket, now: float) -> Waiting:
        """Queue a task and count it as offered work."""
        job = self._jobs.get(ticket.submission)
        if job is None:
            job = Job(ticket.submission, ticket.team, arrived=now)
            self._jobs[ticket.submission] = job
        estimate = self._estimator.estimate(
            ticket.team, ticket.kind, ticket.expected_ms
        )
        fut: asyncio.Future[Slot] = asyncio.get_running_loop().create_future()
        waiting = Waiting(ticket, fut, estimate, job, now)
        waiting.level = self._level(waiting, now)
        job.left_s += estimate.run_s
        job.run_s = max(job.run_s, estimate.run_s)
        if not ticket.attempt:
            self._count_offered(waiting, now)
        self._queues.push(waiting, now)
        return waiting

    def place(self, waiting: Waiting, slot: Slot, now: float) -> Running:
        """Note that a task got a slot."""
        job = waiting.job
        counted_long = waiting.level is Level.LONG
        running = Running(
            slot,
            waiting.ticket,
            job,
            waiting.estimate,
            now,
            waiting.work_s,
            counted_long,
        )
        job.started = True
        job.running += 1
        self.running[slot.serial] = running
        urgent = waiting.level is Level.SHORT
        shares = self._urgent_shares if urgent else self._normal_shares
        shares.charge(job.team, running.work_s, now)
        if counted_long:
            self.long_busy += 1
        else:
            overrun_s = OVERRUN_FACTOR * waiting.estimate.short_s
            if not waiting.estimate.known:
                overrun_s = max(overrun_s, self._estimator.split_s)
            entry = (now + overrun_s, slot.serial, running)
            heapq.heappush(self._overruns, entry)
        return running

    def end(self, slot: Slot, now: float, run_s: float | None) -> Running | None:
        """Note that a slot is free; `run_s` teaches when the task was done."""
        running = self.running.pop(slot.serial, None)
        if running is None:
            return None
        running.ended = True
        job = running.job
        job.running -= 1
        job.left_s = max(0.0, job.left_s - running.estimate.run_s)
        if running.counted_long:
            self.long_busy -= 1
        excess_s = now - running.placed_at - running.work_s
        self._normal_shares.charge(job.team, excess_s, now)
        if run_s is not None:
            ticket = running.ticket
            self._estimator.learn(ticket.team, ticket.kind, ticket.expected_ms, run_s)
            self._release_held(KindName(ticket.team, ticket.kind), now)
        return running

    def give_up(self, waiting: Waiting) -> None:
        """Forget a task whose caller no longer waits."""
        if not waiting.gone:
            waiting.job.left_s -= waiting.estimate.run_s
            self._queues.remove(waiting)

    def withdraw(self, submission: str) -> bool:
        """Forget a job; returns whether it was known."""
        job = self._jobs.pop(submission, None)
        if job is None:
            return False
        for waiting in list(self._queues.waiting_tasks(job)):
            self.give_up(waiting)
        return True

    def check_overruns(self, now: float) -> None:
        """Re-class tasks that run longer than a short one would."""
        while self._overruns and self._overruns[0][0] <= now:
            running = heapq.heappop(self._overruns)[2]
            if running.ended:
                continue
            running.counted_long = True
            self.long_busy += 1
            self.overrun_count += 1
            ticket, estimate = running.ticket, running.estimate
            self._long_share.long.add(now, estimate.long_s)
            self._queues.make_long(running.job, now)
            if not estimate.known:
                elapsed_s = now - running.placed_at
                self._estimator.learn_overrun(ticket.team, ticket.kind, elapsed_s)
                self._release_held(KindName(ticket.team, ticket.kind), now)

    def _level(self, waiting: Waiting, now: float) -> Level:
        job, estimate = waiting.job, waiting.estimate
        if estimate.is_long:
            self._queues.make_long(job, now)
            return Level.LONG
        if job.is_long:
            return Level.FILL
        if not estimate.known and not self._may_probe(waiting):
            return Level.FILL
        return Level.SHORT

    def _may_probe(self, waiting: Waiting) -> bool:
        """Let the first tasks of a kind never seen before go ahead.

        The others wait at a low level until one of them has told how long the
        kind runs, so a kind of long tasks can't take every slot as if short.
        """
        kind = KindName(waiting.ticket.team, waiting.ticket.kind)
        if len(self._unknown) >= MAX_UNKNOWN_KINDS and kind not in self._unknown:
            return False
        self._unknown[kind] += 1
        if self._unknown[kind] <= PROBES_PER_KIND:
            return True
        self._held_back.setdefault(kind, []).append(waiting)
        return False

    def _release_held(self, kind: KindName, now: float) -> None:
        """Class the tasks of a kind that has just become known."""
        self._unknown.pop(kind, None)
        for waiting in self._held_back.pop(kind, ()):
            if waiting.gone or waiting.level is not Level.FILL:
                continue
            ticket = waiting.ticket
            estimate = self._estimator.estimate(
                ticket.team, ticket.kind, ticket.expected_ms
            )
            if waiting.job.is_long and not estimate.is_long:
                continue
            level = Level.LONG if estimate.is_long else Level.SHORT
            self._queues.reclass(waiting, estimate, level, now)

    def _count_offered(self, waiting: Waiting, now: float) -> None:
        meters = self._long_share
        if waiting.level is Level.LONG:
            meters.long.add(now, waiting.estimate.run_s)
            return
        meters.short.add(now, waiting.estimate.short_s)
        if waiting.level is Level.SHORT:
            meters.urgent.add(now, waiting.estimate.short_s)
