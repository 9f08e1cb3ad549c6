"""What runs on one runner: its owner's orders against the runner's own lists.

A run counts as over only when the runner listed its end, when a later list that must
name it doesn't, or when the caller of `end` knows that it cannot go on.
"""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from monsoongap.coordination.work import OUTCOME_OF_END, Run, RunOutcome, RunState
from monsoongap.protocol.messages import (
    EndKind,
    Resources,
    RunEnd,
    RunnerInfo,
    RunnerView,
    RunRow,
    TaskId,
)
from monsoongap.state.health import RunnerHealth, is_hung
from monsoongap.timers import TimerService

log = logging.getLogger(__name__)

# The room of an earlier owner's run is not told; a runner holds two or three. One that
# starts whatever it is told to gets nothing more until such a run is over.
ORPHAN_SHARE = 0.5
ORPHAN_SHARE_UNGUARDED = 1.0


@dataclass(slots=True)
class RunTable:
    """The runs on one runner, its free room, and which ends are noted.

    `checks_capacity` tells whether the runner refuses what does not fit.
    `done_before` holds tasks that ended well under an earlier owner. `stop` orders
    the end of a run. Runs that nobody claims are stopped after `orphan_s`.
    """

    info: RunnerInfo
    timers: TimerService
    orphan_s: float
    stop: Callable[[Run], None]
    checks_capacity: Callable[[], bool]
    on_orphan_found: Callable[[str], None] = lambda job: None
    free: Resources = field(init=False)
    health: RunnerHealth = field(default_factory=RunnerHealth)
    runs: dict[TaskId, Run] = field(default_factory=dict)
    done_before: dict[TaskId, float] = field(default_factory=dict)
    seen: int = 0
    born_ms: int = 0
    _noted: int = 0

    def __post_init__(self) -> None:
        self.free = self.info.room

    @property
    def seen_here(self) -> int:
        """Number of the last end seen, 0 if the runner may be in another life.

        An end of another life under a lower number would be dropped unseen.
        """
        return self.seen if self.info.born_ms <= self.born_ms else 0

    @property
    def all_noted(self) -> bool:
        """Tell whether the runner knows that every end was seen."""
        return self._noted >= self.seen

    def update(self, info: RunnerInfo) -> None:
        """Take in what the runner newly told of itself."""
        if info.room != self.info.room:
            self.free = self.free.plus(info.room.minus(self.info.room))
        self.info = info

    def begin(self, run: Run) -> None:
        """Take in a run that is about to be ordered."""
        run.started_at = run.progressed_at = self.timers.now()
        self.runs[run.task] = run
        self.free = self.free.minus(run.size)

    def resize(self, run: Run, size: Resources) -> None:
        """Correct the room of a run whose size was not known."""
        self.free = self.free.plus(run.size).minus(size)
        run.size = size

    def has(self, run: Run) -> bool:
        """Tell whether a run is not over."""
        return self.runs.get(run.task) is run

    def end(self, run: Run, over: RunOutcome) -> None:
        """Take out a run that is over, and tell whoever waits for it."""
        if not self.has(run):
            return
        del self.runs[run.task]
        self.free = self.free.plus(run.size)
        now = self.timers.now()
        if over is RunOutcome.DONE and run.on_end is not None:
            self.health.record_success(now - run.started_at, run.estimate_s)
        elif over is RunOutcome.FAILED:
            self.health.record_failure(now)
        if run.on_end is not None:
            run.on_end(run, over)
        elif over is RunOutcome.DONE:
            self._note_done(run.task)

    def end_all(self) -> None:
        """Count every run as lost."""
        for run in list(self.runs.values()):
            self.end(run, RunOutcome.LOST)

    def absorb(self, view: RunnerView, sent_at: float) -> bool:
        """Take in an answer to a look sent at `sent_at`; tell if it is a new life.

        Runs of the former life are not in the list and end as lost; one that was
        ordered meanwhile may be in either life and waits for the next look.
        """
        reborn = bool(self.born_ms) and view.born_ms != self.born_ms
        if reborn:
            log.warning("runner began another life", extra={"runner": self.info.id})
            self.seen = self._noted = 0
            self.done_before.clear()
        self.born_ms = view.born_ms
        self._noted = max(self._noted, self.seen)
        self._note_ends(view.ends)
        self._compare(view.running, sent_at)
        return reborn

    def _note_ends(self, ends: Iterable[RunEnd]) -> None:
        for end in ends:
            if end.seq <= self.seen:
                continue
            self.seen = end.seq
            run = self.runs.get(end.task)
            if run is not None and run.number == end.run:
                self.end(run, OUTCOME_OF_END[end.kind])
            elif end.kind is EndKind.DONE:
                self._note_done(end.task)

    def _note_done(self, task: TaskId) -> None:
        now = self.timers.now()
        self.done_before[task] = now
        oldest = now - self.orphan_s
        for old in [t for t, at in self.done_before.items() if at < oldest]:
            del self.done_before[old]

    def _compare(self, rows: Iterable[RunRow], sent_at: float) -> None:
        """Match what the runner says runs with what should run there."""
        now = self.timers.now()
        here = set()
        for row in rows:
            run = self.runs.get(row.task) or self._adopt(row, now)
            if run.number == row.run:
                here.add(row.task)
                self._note_row(run, row, now)
        for run in list(self.runs.values()):
            if run.task not in here and run.confirmed_at < sent_at:
                self.end(run, RunOutcome.LOST)

    def _note_row(self, run: Run, row: RunRow, now: float) -> None:
        """Take in that a run is on the runner, and whether it moves."""
        if row.progress != run.progress or run.state is not RunState.RUNNING:
            run.progress = row.progress
            run.progressed_at = now
        elif is_hung(now, run.progressed_at, run.estimate_s):
            self._stop_hung(run, now)
        if run.state in (RunState.STARTING, RunState.IN_DOUBT):
            if run.state is RunState.STARTING:
                run.state = RunState.RUNNING
            run.confirmed_at = min(run.confirmed_at, now)
        if run.on_end is None and now - run.started_at > self.orphan_s:
            self.stop(run)

    def _stop_hung(self, run: Run, now: float) -> None:
        log.warning(
            "run stands still",
            extra={
                "runner": self.info.id,
                "job": run.task.job,
                "progress": run.progress,
                "still_s": round(now - run.progressed_at, 3),
            },
        )
        self.health.record_failure(now)
        self.stop(run)

    def _adopt(self, row: RunRow, now: float) -> Run:
        """Take in a run of an earlier owner, for its caller to claim."""
        share = ORPHAN_SHARE if self.checks_capacity() else ORPHAN_SHARE_UNGUARDED
        size = Resources(int(self.info.room.cpu_milli * share), 0, 0)
        run = Run(row.task, row.run, size, state=RunState.RUNNING)
        self.begin(run)
        run.confirmed_at = now
        self.on_orphan_found(row.task.job)
        log.info(
            "run of an earlier owner found",
            extra={"runner": self.info.id, "job": row.task.job, "run": row.run},
        )
        return run
