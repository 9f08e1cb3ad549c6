"""Planned placement: the link between the pool and the planner (`plan`).

Builds the planner's input from waiting tasks and held runners, and keeps what lasts
from round to round: reservations, runners that rest, and the learned paces of runners.
"""

import logging
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from monsoongap.coordination.link import Link
from monsoongap.coordination.plan import make_plan
from monsoongap.coordination.plan_data import (
    Plan,
    PlanInput,
    PlanRunner,
    PlanTask,
    Reservation,
)
from monsoongap.coordination.plan_views import RunnerViews, open_links
from monsoongap.coordination.work import Run, Work
from monsoongap.protocol.messages import TaskId
from monsoongap.timers import MS_PER_S

log = logging.getLogger(__name__)

# Each reservation may leave a gap of a runner unused; the share of the runners that are
# held bounds what that costs.
MAX_RESERVATIONS = 8
RUNNERS_PER_RESERVATION = 4
# A task whose reserved runner becomes free within the time of two round trips between
# data centres is not sent to another owner.
BORROW_S = 0.02
LOG_INTERVAL_S = 5.0
# Above this, tasks that no longer wait are dropped from the set of impatient ones.
MAX_IMPATIENT = 256
# Rounds of at most so many tasks are planned on free runners first.
FEW_TASKS = 8


@dataclass(slots=True)
class PlanCounts:
    """What planned placement did, for the metrics.

    `kept` counts reserved tasks that started on their runner, `dropped` reservations
    that were late or held for the horizon, `moved` those that ended otherwise.
    """

    starts: int = 0
    reserved: int = 0
    kept: int = 0
    moved: int = 0
    dropped: int = 0


@dataclass(slots=True)
class PlannedPlacement:
    """Plans rounds of placement over a pool's runners.

    `on_prediction` is called with the actual over the predicted time of each run.
    `failed` says that the planner raised, a fault of ours; it is not used any more.
    """

    horizon_s: float
    on_prediction: Callable[[float], None] = lambda ratio: None
    counts: PlanCounts = field(default_factory=PlanCounts)
    views: RunnerViews = field(default_factory=RunnerViews)
    failed: bool = False
    _kept: tuple[Reservation, ...] = ()
    _holders: list[PlanTask] = field(default_factory=list)
    _resting: dict[str, float] = field(default_factory=dict)
    _impatient: set[TaskId] = field(default_factory=set)
    _chosen: dict[TaskId, str] = field(default_factory=dict)
    _logged_at: float = 0.0

    def select(
        self,
        works: Sequence[Work],
        upstream_of: Callable[[Work], str],
        links: Mapping[str, Link],
        now: float,
        usual_slowness: float,
        can_borrow: bool,
    ) -> list[Work]:
        """Plan a round; return the tasks to start, then those worth borrowing for."""
        self._chosen = {}
        if not works:
            self._forget()
            return []
        least_cpu = min(work.size.cpu_milli for work in works)
        is_open = open_links(links, now, least_cpu)
        if not is_open and not can_borrow:
            return _orphaned(works, links)
        tasks = [self._task(work, upstream_of(work)) for work in works]
        views = [self.views.view(link, now, usual_slowness) for link in is_open]
        plan = None
        if not self._kept and len(works) <= FEW_TASKS:
            # Skips busy runners if all tasks start in time, as under light load.
            plan = self._plan(tasks, views, links, now)
        if plan is None or plan.late or len(plan.starts) < len(works):
            held = {r.runner for r in self._kept}
            views += self.views.busy(is_open, links, now, usual_slowness, held)
            plan = self._plan(tasks, views, links, now)
        self._take(plan, tasks, now)
        self._chosen = plan.starts
        first = _orphaned(works, links)
        if plan.starts:
            first += [w for w in works if w.task in plan.starts and w not in first]
        if not can_borrow:
            return first
        soon = {r.task for r in plan.reservations if r.start_at - now <= BORROW_S}
        soon.update(work.task for work in first)
        return [*first, *(work for work in works if work.task not in soon)]

    def best_link(
        self,
        work: Work,
        upstream: str,
        links: Mapping[str, Link],
        now: float,
        usual_slowness: float,
    ) -> Link | None:
        """Return the runner on which a task starts now, or None.

        A task that is not part of the round runs here for another owner: it is the
        least urgent one, after the tasks that hold reservations.
        """
        if work.share is not None:
            link = links.get(self._chosen.get(work.task, ""))
            # A run that was adopted in this round may be larger than was assumed.
            fits = link is not None and link.table.free.can_fit(work.size)
            return link if fits else None
        is_open = open_links(links, now, work.size.cpu_milli)
        if not is_open:
            return None
        lent = replace(self._task(work, upstream), waits_for_better=False)
        views = [self.views.view(link, now, usual_slowness) for link in is_open]
        if self._kept:
            held = {r.runner for r in self._kept}
            views += self.views.busy(is_open, links, now, usual_slowness, held)
        plan = self._plan([*self._holders, lent], views, links, now)
        return links.get(plan.starts.get(work.task, ""))

    def record_start(self, link: Link, run: Run) -> None:
        """Note the predicted time of a run that is about to start."""
        run.predicted_s = run.estimate_s * self.views.pace(link)
        self.counts.starts += 1

    def record_done(self, link: Link, run: Run, now: float) -> None:
        """Learn from a run that succeeded."""
        if run.predicted_s > 0:
            self.on_prediction((now - run.started_at) / run.predicted_s)
        self.views.record_done(link, run, now)

    def _forget(self) -> None:
        self._kept = ()
        self._holders.clear()
        self._impatient.clear()

    def _plan(
        self,
        tasks: Sequence[PlanTask],
        runners: Sequence[PlanRunner],
        links: Mapping[str, Link],
        now: float,
    ) -> Plan:
        for id_ in [id_ for id_, until in self._resting.items() if until <= now]:
            del self._resting[id_]
        most = min(MAX_RESERVATIONS, -(-len(links) // RUNNERS_PER_RESERVATION))
        resting = self._resting.keys()
        given = PlanInput(
            now, self.horizon_s, most, tasks, runners, self._kept, resting
        )
        try:
            return make_plan(given)
        except Exception:
            self.failed = True
            log.exception("planning raised; placing without a plan")
            return Plan({})

    def _take(self, plan: Plan, tasks: Iterable[PlanTask], now: float) -> None:
        """Keep the reservations of a round, and count what became of the last ones."""
        held = {r.task: r for r in plan.reservations}
        for old in self._kept:
            if old in plan.expired:
                self.counts.dropped += 1
                self._resting[old.runner] = now + self.horizon_s
                self._impatient.add(old.task)
            elif plan.starts.get(old.task) == old.runner:
                self.counts.kept += 1
            elif old.task not in held or held[old.task].runner != old.runner:
                self.counts.moved += 1
        before = {(r.task, r.runner) for r in self._kept}
        self.counts.reserved += sum(
            (r.task, r.runner) not in before for r in plan.reservations
        )
        self._impatient.difference_update(plan.starts)
        if len(self._impatient) > MAX_IMPATIENT:
            self._impatient &= {task.task for task in tasks}
        self._kept = plan.reservations
        self._holders = [task for task in tasks if task.task in held]
        if plan.expired and now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            log.info(
                "reservations dropped; their runners were not free in time",
                extra={
                    "runners": [r.runner for r in plan.expired],
                    "horizon_ms": round(self.horizon_s * MS_PER_S),
                    "reserved": self.counts.reserved,
                    "kept": self.counts.kept,
                    "dropped": self.counts.dropped,
                },
            )

    def _task(self, work: Work, upstream: str) -> PlanTask:
        return PlanTask(
            work.task,
            upstream,
            work.size,
            work.estimate_s,
            work.due_at,
            work.label,
            work.rack,
            work.most_per_runner,
            work.avoid,
            not self._impatient or work.task not in self._impatient,
            work.useless_at,
        )


def _orphaned(works: Sequence[Work], links: Mapping[str, Link]) -> list[Work]:
    """Return the tasks of which a run of a previous owner was found meanwhile."""
    orphans = [link.table.orphans for link in links.values() if link.table.orphans]
    if not orphans:
        return []
    return [work for work in works if any(work.task in some for some in orphans)]
