"""What the planner sees of the runners of a pool, and the learned paces of runners."""

from collections.abc import Mapping
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field

from monsoongap.coordination.link import Link
from monsoongap.coordination.plan_data import PlanRun, PlanRunner
from monsoongap.coordination.work import Run
from monsoongap.protocol.messages import RunnerInfo
from monsoongap.state.run_times import Pace, predict_end

# Runners that take this many times as long as the usual one count as slow. Speeds are
# 0.55 or 1.2, so the two kinds differ by 2.2, and paces are known to about a tenth.
SLOW_FACTOR = 1.4
# Of the runners without enough free capacity, those with the most are looked at.
BUSY_LOOKED_AT = 32
# How often the usual pace is computed anew, in ended runs.
USUAL_EVERY = 64


@dataclass(slots=True)
class _View:
    """What the planner sees of a runner, and from what it was made.

    A runner's `free` is another object after each start and end, and each poll may have
    told of progress.
    """

    info: RunnerInfo
    polls: int
    usual_pace: float
    runner: PlanRunner


@dataclass(slots=True)
class RunnerViews:
    """Views of runners, made anew only when a runner has changed."""

    usual_pace: float = 1.0
    _paces: dict[str, Pace] = field(default_factory=dict)
    _views: dict[str, _View] = field(default_factory=dict)
    _ended: int = 0

    def record_done(self, link: Link, run: Run, now: float) -> None:
        """Learn the pace of a runner from a run that succeeded."""
        took_s = now - run.started_at
        pace = self._paces.setdefault(link.info.id, Pace())
        pace.record(_born_ms(link), took_s, run.estimate_s, self.usual_pace)
        self._ended += 1
        if self._ended % USUAL_EVERY == 0:
            known = sorted(p.factor(p.born_ms, 0.0) for p in self._paces.values())
            self.usual_pace = known[len(known) // 2] or 1.0

    def busy(
        self,
        is_open: list[Link],
        links: Mapping[str, Link],
        now: float,
        usual_slowness: float,
        held: AbstractSet[str],
    ) -> list[PlanRunner]:
        """Return runners without enough free capacity that may be reserved."""
        ids = {link.info.id for link in is_open}
        busy = [k for id_, k in links.items() if id_ not in ids and k.is_placeable(now)]
        if len(busy) > BUSY_LOOKED_AT:
            busy.sort(key=lambda k: (k.info.id in held, k.table.free.cpu_milli))
            busy = busy[-BUSY_LOOKED_AT:]
        if len(self._views) > 2 * len(links) + BUSY_LOOKED_AT:
            self._forget_absent(links)
        return [self.view(link, now, usual_slowness) for link in busy]

    def view(self, link: Link, now: float, usual_slowness: float) -> PlanRunner:
        """Return what the planner sees of a runner, made anew only when it changed."""
        table = link.table
        # Cold runners, like suspect ones, are for tasks that fit on no other.
        suspect = table.health.is_suspect(now, usual_slowness) or link.is_cold(now)
        view = self._views.get(link.info.id)
        if (
            view is not None
            and view.runner.free is table.free
            and view.polls == link.polls
            and view.info is link.info
            and view.runner.suspect is suspect
            and view.usual_pace == self.usual_pace
        ):
            return view.runner
        pace = self.pace(link)
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
        self._views[link.info.id] = _View(
            link.info, link.polls, self.usual_pace, runner
        )
        return runner

    def pace(self, link: Link) -> float:
        """Return run time over declared time on a runner."""
        pace = self._paces.get(link.info.id)
        if pace is None:
            return self.usual_pace
        return pace.factor(_born_ms(link), self.usual_pace)

    def _forget_absent(self, links: Mapping[str, Link]) -> None:
        """Drop what is known of runners that are no longer held."""
        self._paces = {k: v for k, v in self._paces.items() if k in links}
        self._views = {k: v for k, v in self._views.items() if k in links}


def open_links(links: Mapping[str, Link], now: float, least_cpu: int) -> list[Link]:
    """Return the runners with free capacity for the smallest task."""
    return [
        link
        for link in links.values()
        if link.table.free.cpu_milli >= least_cpu and link.is_placeable(now)
    ]


def _born_ms(link: Link) -> int:
    return link.table.born_ms or link.info.born_ms
