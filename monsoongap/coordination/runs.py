"""The runs on one runner: what its owner requested, compared with the runner's lists.

A run counts as ended only when the runner listed its end, when a later list that would
name it does not, or when the caller of `end` knows that it cannot go on.
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
    ShareId,
    TaskId,
)
from monsoongap.state.health import RunnerHealth, is_hung
from monsoongap.timers import TimerService

log = logging.getLogger(__name__)

# Share of the processors that an orphan run counts for, on a runner that rejects what
# does not fit; two or three runs fit on a runner.
ORPHAN_SHARE = 0.5


@dataclass(slots=True)
class RunTable:
    """The runs on one runner, its free capacity, and which ends are acknowledged.

    `checks_capacity` returns whether the runner rejects a run that does not fit.
    `orphans` holds the tasks of the orphan runs in `runs`, `done_before` those that
    orphan runs completed, with the time of each.
    `stop` requests a stop. Orphan runs that no job adopts are stopped after the time
    that `orphan_limit_s` returns; their ends are kept for `orphan_s`.
    `last_seq` is the sequence number of the last end seen.
    """

    info: RunnerInfo
    timers: TimerService
    orphan_s: float
    stop: Callable[[Run], None]
    checks_capacity: Callable[[], bool]
    on_orphan_found: Callable[[str], None] = lambda job: None
    orphan_limit_s: Callable[[], float] | None = None
    free: Resources = field(init=False)
    health: RunnerHealth = field(default_factory=RunnerHealth)
    runs: dict[TaskId, Run] = field(default_factory=dict)
    orphans: set[TaskId] = field(default_factory=set)
    done_before: dict[TaskId, float] = field(default_factory=dict)
    last_seq: int = 0
    born_ms: int = 0
    _acknowledged: int = 0
    _applied_clock_ms: int = 0
    _applied_sent_at: float = -1e9

    def __post_init__(self) -> None:
        self.free = self.info.room

    @property
    def last_seen_seq(self) -> int:
        """Sequence number of the last end seen, 0 if the runner may have restarted.

        A restarted runner would drop ends with lower numbers before they are seen.
        """
        return self.last_seq if self.info.born_ms <= self.born_ms else 0

    @property
    def is_other_incarnation(self) -> bool:
        """Return whether the runner's record is of another incarnation than its poll.

        A runner or a record that does not tell its start is taken for the same one.
        """
        known = self.born_ms and self.info.born_ms
        return bool(known) and self.born_ms != self.info.born_ms

    @property
    def all_acknowledged(self) -> bool:
        """Return whether every end seen was acknowledged to the runner."""
        return self._acknowledged >= self.last_seq

    def update(self, info: RunnerInfo) -> None:
        """Apply a new record of the runner."""
        if info.room != self.info.room:
            self.free = self.free.plus(info.room.minus(self.info.room))
        self.info = info

    def add(self, run: Run) -> None:
        """Add a run whose start is about to be requested, or that was found."""
        run.started_at = run.progressed_at = self.timers.now()
        self.runs[run.task] = run
        self.free = self.free.minus(run.size)

    def resize(self, run: Run, size: Resources) -> None:
        """Correct the size of an orphan run."""
        self.free = self.free.plus(run.size).minus(size)
        run.size = size

    def has(self, run: Run) -> bool:
        """Return whether a run has not ended."""
        return self.runs.get(run.task) is run

    def end(self, run: Run, outcome: RunOutcome) -> None:
        """Remove a run that has ended, and call its `on_end`."""
        if not self.has(run):
            return
        del self.runs[run.task]
        self.orphans.discard(run.task)
        self.free = self.free.plus(run.size)
        now = self.timers.now()
        if outcome is RunOutcome.DONE and run.on_end is not None:
            self.health.record_success(now - run.started_at, run.estimate_s)
        elif outcome is RunOutcome.FAILED:
            self.health.record_failure(now)
        if run.on_end is not None:
            run.on_end(run, outcome)
        elif outcome is RunOutcome.DONE:
            self._record_done(run.task)

    def orphan_runs_of(self, share: ShareId) -> None:
        """Leave the runs of a share's jobs, which were handed over, to be adopted."""
        for run in self.runs.values():
            if run.work is not None and run.work.share == share:
                run.work = run.on_end = None
                run.started_at = self.timers.now()
                self.orphans.add(run.task)

    def end_all(self) -> None:
        """End every run as lost."""
        for run in list(self.runs.values()):
            self.end(run, RunOutcome.LOST)

    def is_outdated(self, view: RunnerView, sent_at: float) -> bool:
        """Return whether the reply to a later poll was applied already.

        Replies on different connections may overtake each other. Clocks are compared
        only within an incarnation that is known.
        """
        was_sent_before = sent_at < self._applied_sent_at
        if not view.born_ms or view.born_ms != self.born_ms:
            return was_sent_before
        older_ms = self._applied_clock_ms - view.clock_ms
        return older_ms > 0 or (older_ms == 0 and was_sent_before)

    def apply(self, view: RunnerView, sent_at: float, acknowledged: int) -> bool:
        """Apply the reply to a poll sent at `sent_at`; return if the runner restarted.

        The poll acknowledged the ends up to `acknowledged`.

        Runs from before a restart are not listed and end as lost. A run whose start is
        not confirmed may be on either incarnation and waits for the next poll.
        """
        self._applied_clock_ms = view.clock_ms
        self._applied_sent_at = max(self._applied_sent_at, sent_at)
        restarted = bool(self.born_ms) and view.born_ms != self.born_ms
        if restarted:
            log.warning(
                "runner restarted; placing nothing on it until its new entry is read",
                extra={"runner": self.info.id},
            )
            self.last_seq = self._acknowledged = 0
            self.done_before.clear()
        else:
            self._acknowledged = max(self._acknowledged, acknowledged)
        self.born_ms = view.born_ms
        self._record_ends(view.ends)
        self._compare(view.running, sent_at)
        return restarted

    def _record_ends(self, ends: Iterable[RunEnd]) -> None:
        for end in ends:
            if end.seq <= self.last_seq:
                continue
            self.last_seq = end.seq
            run = self.runs.get(end.task)
            if run is not None and run.number == end.run:
                self.end(run, OUTCOME_OF_END[end.kind])
            elif end.kind is EndKind.DONE:
                self._record_done(end.task)

    def _record_done(self, task: TaskId) -> None:
        now = self.timers.now()
        self.done_before[task] = now
        expired_before = now - self.orphan_s
        for old in [t for t, at in self.done_before.items() if at < expired_before]:
            del self.done_before[old]

    def _compare(self, rows: Iterable[RunRow], sent_at: float) -> None:
        """Compare the runs that the runner lists with those in the table."""
        now = self.timers.now()
        listed = set()
        for row in rows:
            run = self.runs.get(row.task) or self._add_orphan(row, now)
            if run.number == row.run:
                listed.add(row.task)
                self._update_run(run, row, now)
        for run in list(self.runs.values()):
            if run.task not in listed and run.confirmed_at < sent_at:
                self.end(run, RunOutcome.LOST)

    def _update_run(self, run: Run, row: RunRow, now: float) -> None:
        """Update a run from its row; stop it if it hangs or is an old orphan."""
        if row.progress != run.progress or run.state is not RunState.RUNNING:
            run.progress = row.progress
            run.progressed_at = now
        elif is_hung(now, run.progressed_at, run.estimate_s):
            self._stop_hung(run, now)
        if run.state in (RunState.STARTING, RunState.IN_DOUBT):
            if run.state is RunState.STARTING:
                run.state = RunState.RUNNING
            run.confirmed_at = min(run.confirmed_at, now)
        if run.on_end is None and now - run.started_at > self._orphan_limit():
            self.stop(run)

    def _orphan_limit(self) -> float:
        return self.orphan_limit_s() if self.orphan_limit_s else self.orphan_s

    def _stop_hung(self, run: Run, now: float) -> None:
        log.warning(
            "run makes no progress; stopping it",
            extra={
                "runner": self.info.id,
                "job": run.task.job,
                "progress": run.progress,
                "still_s": round(now - run.progressed_at, 3),
            },
        )
        self.health.record_failure(now)
        self.stop(run)

    def _orphan_size(self) -> Resources:
        """Return what an orphan run counts for; runners do not list its size.

        A runner that does not check its capacity gets no other run until the orphan has
        ended, so it counts for all processors, memory and accelerators.
        """
        room = self.info.room
        if not self.checks_capacity():
            return room
        return Resources(int(room.cpu_milli * ORPHAN_SHARE), 0, 0)

    def _add_orphan(self, row: RunRow, now: float) -> Run:
        """Add an orphan run, for its job to adopt."""
        run = Run(row.task, row.run, self._orphan_size(), state=RunState.RUNNING)
        self.add(run)
        self.orphans.add(run.task)
        run.confirmed_at = now
        self.on_orphan_found(row.task.job)
        log.info(
            "orphan run found",
            extra={"runner": self.info.id, "job": row.task.job, "run": row.run},
        )
        return run
