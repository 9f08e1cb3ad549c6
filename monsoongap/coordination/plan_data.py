"""What the planner works on: tasks, runners, reservations, and the plan of a round."""

from collections.abc import Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass

from monsoongap.protocol.messages import Resources, TaskId

NEVER = float("inf")
# Declared times are off by two fifths.
TIME_MARGIN = 1.4


@dataclass(frozen=True, slots=True)
class PlanTask:
    """A waiting task. `due_at` is the end of its job's objective.

    `useless_at` is when the caller stops waiting for the answer.
    `waits_for_better` says that it may wait for a runner on which it is in time while
    it could start late on another one.
    """

    task: TaskId
    upstream: str
    size: Resources
    declared_s: float
    due_at: float = NEVER
    label: str = ""
    rack: str = ""
    most_per_runner: int = 0
    avoid: AbstractSet[str] = frozenset()
    waits_for_better: bool = True
    useless_at: float = NEVER


@dataclass(frozen=True, slots=True)
class PlanRun:
    """A current run; from `unknown_from` on, its end is not predicted."""

    task: TaskId
    size: Resources
    ends_at: float
    unknown_from: float = NEVER

    def end_after(self, now: float) -> float:
        """Return the predicted end, not before `now`."""
        return max(self.ends_at, now) if now < self.unknown_from else NEVER


@dataclass(frozen=True, slots=True)
class PlanRunner:
    """A runner that may be used now. `pace` is run time over declared time."""

    id: str
    upstream: str
    labels: tuple[str, ...]
    free: Resources
    pace: float = 1.0
    slow: bool = False
    suspect: bool = False
    runs: tuple[PlanRun, ...] = ()


@dataclass(frozen=True, slots=True)
class Reservation:
    """A runner held for a task.

    `start_at` is the predicted start, `first_start_at` that of the round in which the
    reservation was made, `held_since` from when the runner has been held.
    """

    task: TaskId
    runner: str
    start_at: float
    first_start_at: float
    held_since: float


@dataclass(frozen=True, slots=True)
class PlanInput:
    """What a round plans for; `tasks` are in the order of urgency.

    `kept` are the reservations of the round before, `resting` the ids of runners that
    may not be reserved anew.
    """

    now: float
    horizon_s: float
    max_reservations: int
    tasks: Sequence[PlanTask]
    runners: Sequence[PlanRunner]
    kept: Sequence[Reservation] = ()
    resting: AbstractSet[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Plan:
    """Starts to send now and reservations; `expired` ones were late or held too long.

    `starts` maps tasks to ids of runners, in the order of urgency. `late` counts those
    that are expected to end after the objective of their job.
    """

    starts: dict[TaskId, str]
    reservations: tuple[Reservation, ...] = ()
    expired: tuple[Reservation, ...] = ()
    late: int = 0


@dataclass(slots=True, eq=False)
class Room:
    """A runner with the starts that were planned in this round."""

    runner: PlanRunner
    free: Resources
    runs: tuple[PlanRun, ...]
    held: Reservation | None = None
    spare: Resources | None = None

    def count_of(self, task: TaskId) -> int:
        """Return how many runs are of the same step."""
        step = (task.job, task.step)
        return sum((run.task.job, run.task.step) == step for run in self.runs)

    def may_run(self, task: PlanTask) -> bool:
        """Return whether the runner may run a task when it has free capacity."""
        runner = self.runner
        return (
            runner.upstream == task.upstream
            and runner.id not in task.avoid
            and (not task.label or task.label in runner.labels)
            and (
                not task.most_per_runner
                or self.count_of(task.task) < task.most_per_runner
            )
        )

    def first_fit_at(self, size: Resources, now: float) -> float:
        """Return when the runner is predicted to have enough free capacity."""
        free = self.free
        if free.can_fit(size):
            return now
        for run in sorted(self.runs, key=lambda run: run.end_after(now)):
            end_at = run.end_after(now)
            if end_at == NEVER:
                break
            free = free.plus(run.size)
            if free.can_fit(size):
                return end_at
        return NEVER

    def hold(self, held: Reservation, size: Resources, now: float) -> None:
        """Hold the runner for a task of a size."""
        free = self.free
        for run in self.runs:
            if run.end_after(now) <= held.start_at:
                free = free.plus(run.size)
        self.held, self.spare = held, free.minus(size)

    def is_useful(self, task: PlanTask, now: float) -> bool:
        """Return whether a task that starts now is to end while its caller waits.

        After that time the task may start: the caller may still be waiting.
        """
        end_at = now + task.declared_s * self.runner.pace
        return end_at <= task.useless_at or now >= task.useless_at

    def leaves_reserved(self, task: PlanTask, now: float) -> bool:
        """Return whether a start now is not expected to delay the reserved task."""
        if self.held is None or self.spare is None:
            return True
        if self.spare.can_fit(task.size):
            return True
        end_at = now + TIME_MARGIN * task.declared_s * self.runner.pace
        return end_at <= self.held.start_at

    def start(self, task: PlanTask, now: float) -> None:
        """Take up capacity for a task that starts now."""
        end_at = now + task.declared_s * self.runner.pace
        self.free = self.free.minus(task.size)
        self.runs = (*self.runs, PlanRun(task.task, task.size, end_at))
        if self.held is not None and self.spare is not None:
            margin_s = (TIME_MARGIN - 1) * task.declared_s * self.runner.pace
            if end_at + margin_s > self.held.start_at:
                self.spare = self.spare.minus(task.size)

    def is_in_time(
        self, task: PlanTask, start_at: float, margin: float = TIME_MARGIN
    ) -> bool:
        """Return whether a task that starts then ends within its job's objective."""
        return start_at + margin * task.declared_s * self.runner.pace <= task.due_at
