"""The order in which waiting tasks may have the free slots.

Short jobs come first. Long work is held to a share that follows the load, and
leaves some free slots to the next burst of short jobs. Work that has waited too
long goes ahead, so no class starves.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from monsoongap.coordination.admission import Admission
from monsoongap.coordination.credits_book import CreditBook
from monsoongap.coordination.credits_lending import Lending
from monsoongap.coordination.credits_messages import Need, Wants
from monsoongap.coordination.queues import Level, TaskQueues, Waiting
from monsoongap.coordination.scheduler_jobs import JobTable
from monsoongap.coordination.shares import LATE_AFTER_RUNS, LongShare

PLAN_KEPT_S = 0.005


@dataclass(frozen=True, slots=True)
class _Plan:
    """What the measured load allows, good for `PLAN_KEPT_S`."""

    made_at: float
    pool: int
    long_limit: int
    reserve: int
    overdue: bool


class TaskOrder:
    """Chooses the next task, and tells what this host wants and can spare."""

    def __init__(
        self,
        book: CreditBook,
        queues: TaskQueues,
        jobs: JobTable,
        long_share: LongShare,
    ) -> None:
        self._book = book
        self._queues = queues
        self._jobs = jobs
        self._long_share = long_share
        self._overdue_turn = False
        self._plan_made: _Plan | None = None

    def long_limit(self, now: float) -> int:
        """Return how many slots long work may hold."""
        return self._plan(now).long_limit

    def reserve(self, now: float) -> int:
        """Return how many free slots are kept for short jobs."""
        return self._plan(now).reserve

    def next_tasks(self, now: float, lending: Lending) -> Iterator[Waiting]:
        """Yield waiting tasks while there is a free slot that they may have."""
        self._queues.note_contention(self._book.pool)
        plan = self._plan(now)
        reserve = plan.reserve + lending.lacked_by_peers(now)
        kept = lending.kept_for_peers(now)
        while self._book.free > 0:
            may_long = self._jobs.long_busy < plan.long_limit
            waiting = None
            if plan.overdue and self._take_turn():
                waiting = self._next_normal(may_long, now)
            waiting = waiting or self._queues.pop(Level.SHORT, now)
            if waiting is None and self._book.free > kept + reserve:
                waiting = self._next_normal(may_long, now)
            if waiting is None:
                return
            yield waiting

    def need(self, now: float, lacked: int) -> Need:
        """Return what this host wants to borrow and could lend.

        `lacked` is what peers are short of their reserves.
        """
        lengths, free = self._queues.length, self._book.free
        short = lengths[Level.SHORT]
        plan = self._plan(now)
        reserve = plan.reserve + lacked
        rest = max(0, plan.long_limit - self._jobs.long_busy)
        normal = min(lengths[Level.LONG], rest) + lengths[Level.FILL]
        urgent = short + normal if plan.overdue else short
        wants = Wants(
            urgent=max(0, urgent - free),
            normal=max(0, normal - max(0, free - reserve)) if urgent == short else 0,
        )
        spare = Wants(
            urgent=max(0, free - short),
            normal=max(0, free - short - normal - reserve),
        )
        return Need(wants, spare, lacks=max(0, plan.reserve - free))

    def note_drain(self, now: float, admission: Admission) -> None:
        """Tell admission whether work of either class is left waiting."""
        lengths = self._queues.length
        urgent = lengths[Level.SHORT] > 0
        normal = lengths[Level.LONG] + lengths[Level.FILL] > 0
        admission.urgent_drain.note(now, urgent)
        admission.normal_drain.note(now, normal)

    def _next_normal(self, may_long: bool, now: float) -> Waiting | None:
        waiting = None
        if may_long:
            waiting = self._queues.pop(Level.LONG, now)
        return waiting or self._queues.pop(Level.FILL, now)

    def _take_turn(self) -> bool:
        """Return true every other time: overdue work shares the free slots."""
        self._overdue_turn = not self._overdue_turn
        return self._overdue_turn

    def _plan(self, now: float) -> _Plan:
        plan, pool = self._plan_made, self._book.pool
        if plan and now - plan.made_at < PLAN_KEPT_S and plan.pool == pool:
            return plan
        long_lateness = self._lateness(Level.LONG, now)
        lateness = max(long_lateness, self._lateness(Level.FILL, now))
        self._plan_made = _Plan(
            made_at=now,
            pool=pool,
            long_limit=self._long_share.limit(now, pool, long_lateness),
            reserve=self._long_share.reserve(now, pool),
            overdue=lateness >= 1.0,
        )
        return self._plan_made

    def _lateness(self, level: Level, now: float) -> float:
        """Return the longest wait at a level over what it may be."""
        oldest = self._queues.oldest(level)
        if oldest is None:
            return 0.0
        return (now - oldest.since) / (LATE_AFTER_RUNS * oldest.job.run_s)
