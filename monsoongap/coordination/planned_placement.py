"""Planned placement: the link between the pool and the planner (`plan`).

Builds the planner's input from waiting tasks and held runners, and keeps what lasts
from round to round: reservations, runners that rest, and the learned paces of runners.
"""

import logging
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from monsoongap.coordination.link import Link
from monsoongap.coordination.plan import (
    Plan,
    PlanInput,
    PlanRun,
    PlanRunner,
    PlanTask,
    Reservation,
    make_plan,
)
from monsoongap.coordination.work import Run, Work
from monsoongap.protocol.messages import TaskId
from monsoongap.state.run_times import Pace, predict_end
from monsoongap.timers import MS_PER_S

log = logging.getLogger(__name__)

# Each reservation may leave a gap of a runner unused; the share of the runners that are
# held bounds what that costs.
MAX_RESERVATIONS = 8
RUNNERS_PER_RESERVATION = 4
# Runners that take this many times as long as the usual one count as slow. Speeds are
# 0.55 or 1.2, so the two kinds differ by 2.2, and paces are known to about a tenth.
SLOW_FACTOR = 1.4
# Of the runners without enough free capacity, those with the most are looked at.
BUSY_LOOKED_AT = 32
# A task whose reserved runner becomes free within the time of two round trips between
# data centres is not sent to another owner.
BORROW_S = 0.02
# How often the usual pace is computed anew, in ended runs.
USUAL_EVERY = 64
LOG_INTERVAL_S = 5.0


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
class _View:
    """What the planner sees of a runner, and from what it was made."""

    made_of: tuple[object, ...]
    runner: PlanRunner


@dataclass(slots=True)
class PlannedPlacement:
    """Plans rounds of placement over a pool's runners.

    `on_prediction` is called with the actual over the predicted time of each run.
    """

    horizon_s: float
    on_prediction: Callable[[float], None] = lambda ratio: None
    counts: PlanCounts = field(default_factory=PlanCounts)
    usual_pace: float = 1.0
    _kept: tuple[Reservation, ...] = ()
    _holders: list[PlanTask] = field(default_factory=list)
    _resting: dict[str, float] = field(default_factory=dict)
    _impatient: set[TaskId] = field(default_factory=set)
    _paces: dict[str, Pace] = field(default_factory=dict)
    _views: dict[str, _View] = field(default_factory=dict)
    _chosen: dict[TaskId, str] = field(default_factory=dict)
    _ended: int = 0
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
        is_open = _open_links(links, now, least_cpu)
        if not is_open and not can_borrow:
            return _orphaned(works, links)
        tasks = [self._task(work, upstream_of(work)) for work in works]
        runners = self._runners(is_open, links, now, usual_slowness)
        plan = self._plan(tasks, runners, links, now)
        self._take(plan, tasks, now)
        self._chosen = plan.starts
        first = _orphaned(works, links)
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
            return links.get(self._chosen.get(work.task, ""))
        is_open = _open_links(links, now, work.size.cpu_milli)
        if not is_open:
            return None
        lent = replace(self._task(work, upstream), waits_for_better=False)
        runners = self._runners(is_open, links, now, usual_slowness)
        plan = self._plan([*self._holders, lent], runners, links, now)
        return links.get(plan.starts.get(work.task, ""))

    def record_start(self, link: Link, run: Run) -> None:
        """Note the predicted time of a run that is about to start."""
        run.predicted_s = run.estimate_s * self._pace(link)
        self.counts.starts += 1

    def record_done(self, link: Link, run: Run, now: float) -> None:
        """Learn from a run that succeeded."""
        took_s = now - run.started_at
        if run.predicted_s > 0:
            self.on_prediction(took_s / run.predicted_s)
        pace = self._paces.setdefault(link.info.id, Pace())
        pace.record(_born_ms(link), took_s, run.estimate_s, self.usual_pace)
        self._ended += 1
        if self._ended % USUAL_EVERY == 0:
            known = sorted(p.factor(p.born_ms, 0.0) for p in self._paces.values())
            self.usual_pace = known[len(known) // 2] or 1.0

    def _forget_absent(self, links: Mapping[str, Link]) -> None:
        """Drop what is known of runners that are no longer held."""
        self._paces = {k: v for k, v in self._paces.items() if k in links}
        self._views = {k: v for k, v in self._views.items() if k in links}

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
        return make_plan(given)

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
            work.task not in self._impatient,
        )

    def _runners(
        self,
        is_open: list[Link],
        links: Mapping[str, Link],
        now: float,
        usual_slowness: float,
    ) -> list[PlanRunner]:
        """Return the open runners, and of the busy ones those that may be reserved."""
        ids = {link.info.id for link in is_open}
        busy = [k for id_, k in links.items() if id_ not in ids and k.is_placeable(now)]
        if len(busy) > BUSY_LOOKED_AT:
            held = {r.runner for r in self._kept}
            busy.sort(key=lambda k: (k.info.id in held, k.table.free.cpu_milli))
            busy = busy[-BUSY_LOOKED_AT:]
        if len(self._views) > 2 * len(links) + BUSY_LOOKED_AT:
            self._forget_absent(links)
        return [self._view(link, now, usual_slowness) for link in (*is_open, *busy)]

    def _view(self, link: Link, now: float, usual_slowness: float) -> PlanRunner:
        """Return what the planner sees of a runner, made anew only when it changed."""
        table = link.table
        suspect = table.health.is_suspect(now, usual_slowness)
        # `free` is another object after each start and end, and each poll may have
        # told of progress.
        made_of = (table.free, link.info, link.polls, suspect, self.usual_pace)
        view = self._views.get(link.info.id)
        if view is not None and all(
            a is b or a == b for a, b in zip(view.made_of, made_of, strict=True)
        ):
            return view.runner
        pace = self._pace(link)
        runs = []
        for run in table.runs.values():
            expected_s = run.estimate_s * pace
            end = predict_end(
                run.started_at, expected_s, run.progress, run.progressed_at
            )
            runs.append(PlanRun(run.task, run.size, end.ends_at, end.unknown_from))
        runner = PlanRunner(
            link.info.id,
            link.info.upstream,
            link.info.labels,
            table.free,
            pace,
            pace > SLOW_FACTOR * self.usual_pace,
            suspect,
            tuple(runs),
        )
        self._views[link.info.id] = _View(made_of, runner)
        return runner

    def _pace(self, link: Link) -> float:
        pace = self._paces.get(link.info.id)
        if pace is None:
            return self.usual_pace
        return pace.factor(_born_ms(link), self.usual_pace)


def _orphaned(works: Sequence[Work], links: Mapping[str, Link]) -> list[Work]:
    """Return the tasks of which a run of a previous owner was found meanwhile."""
    orphans = [link.table.orphans for link in links.values() if link.table.orphans]
    return [work for work in works if any(work.task in some for some in orphans)]


def _open_links(links: Mapping[str, Link], now: float, least_cpu: int) -> list[Link]:
    """Return the runners with free capacity for the smallest task."""
    return [
        link
        for link in links.values()
        if link.table.free.cpu_milli >= least_cpu and link.is_placeable(now)
    ]


def _born_ms(link: Link) -> int:
    return link.table.born_ms or link.info.born_ms
