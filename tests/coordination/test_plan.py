"""Property-based tests of the planner, for one round and over many rounds."""

from dataclasses import dataclass, field, replace

from hypothesis import given, settings
from hypothesis import strategies as st

from monsoongap.coordination.plan import LATE_SHARE, make_plan
from monsoongap.coordination.plan_data import (
    Plan,
    PlanInput,
    PlanRun,
    PlanRunner,
    PlanTask,
    Reservation,
    Room,
)
from monsoongap.protocol.messages import Resources, TaskId

HORIZON_S = 0.2
STEP_S = 0.02
LABELS = ("a", "b")
UPSTREAMS = ("u", "v")

cores = st.integers(20, 48)
ids = st.integers(0, 5).map("r{}".format)


def size_of(count: int) -> Resources:
    return Resources(1000 * count, 64)


tasks_of_jobs = st.lists(
    st.builds(
        PlanTask,
        task=st.just(TaskId("0", 0, 0)),
        upstream=st.sampled_from(UPSTREAMS),
        size=cores.map(size_of),
        declared_s=st.sampled_from([0.05, 0.17, 0.76]),
        due_at=st.sampled_from([-0.1, 0.1, 0.3, 1.3, float("inf")]),
        label=st.sampled_from(["", *LABELS]),
        rack=st.sampled_from(["", "a"]),
        most_per_runner=st.integers(0, 2),
        avoid=st.frozensets(ids, max_size=2),
        waits_for_better=st.booleans(),
        useless_at=st.sampled_from([-0.1, 0.1, 1.0, float("inf")]),
    ),
    max_size=12,
).map(
    # Two tasks of each job, so that `most_per_runner` has an effect.
    lambda tasks: [
        replace(t, task=TaskId(f"{i // 2:x}", 0, i % 2)) for i, t in enumerate(tasks)
    ]
)


@st.composite
def runner_lists(draw: st.DrawFn) -> list[PlanRunner]:
    runners = []
    for i in range(draw(st.integers(0, 6))):
        room = size_of(draw(st.sampled_from([64, 96])))
        runs: list[PlanRun] = []
        for number, count in enumerate(draw(st.lists(cores, max_size=3))):
            if room.can_fit(size_of(count)):
                room = room.minus(size_of(count))
                end_at = draw(st.floats(-0.1, 0.5))
                unknown = end_at + draw(st.sampled_from([0.01, 1.0]))
                task = TaskId(draw(st.sampled_from("0ab")), 0, 10 * i + number)
                runs.append(PlanRun(task, size_of(count), end_at, unknown))
        runners.append(
            PlanRunner(
                f"r{i}",
                draw(st.sampled_from(UPSTREAMS)),
                draw(st.sampled_from([("a",), ("b",), LABELS])),
                room,
                draw(st.sampled_from([0.83, 1.8])),
                draw(st.booleans()),
                draw(st.booleans()),
                tuple(runs),
            )
        )
    return runners


reservations = st.lists(
    st.builds(
        Reservation,
        task=st.integers(0, 11).map(lambda i: TaskId(f"{i // 2:x}", 0, i % 2)),
        runner=ids,
        start_at=st.floats(-0.1, 0.2),
        first_start_at=st.floats(-0.1, 0.2),
        held_since=st.floats(-0.25, 0.0),
    ),
    max_size=4,
    unique_by=(lambda r: r.task, lambda r: r.runner),
)

inputs = st.builds(
    PlanInput,
    now=st.just(0.0),
    horizon_s=st.just(HORIZON_S),
    max_reservations=st.integers(0, 3),
    tasks=tasks_of_jobs,
    runners=runner_lists(),
    kept=reservations,
    resting=st.frozensets(ids, max_size=2),
)


@settings(deadline=None, max_examples=100)
@given(inputs)
def test_starts_keep_capacity_and_the_requirements_of_tasks(given: PlanInput) -> None:
    """Guards against a start that its runner would refuse or may not get."""
    plan = make_plan(given)
    runners = {r.id: r for r in given.runners}
    by_task = {t.task: t for t in given.tasks}
    for id_, runner in runners.items():
        placed = [by_task[t] for t, on in plan.starts.items() if on == id_]
        free = runner.free
        running = [run.task for run in runner.runs]
        for task in placed:
            assert free.can_fit(task.size)
            free = free.minus(task.size)
            assert task.upstream == runner.upstream
            assert not task.label or task.label in runner.labels
            assert id_ not in task.avoid
            same = [t for t in running if t.job == task.task.job]
            assert not task.most_per_runner or len(same) < task.most_per_runner
            running.append(task.task)
            if task.useless_at > given.now:
                end_at = given.now + task.declared_s * runner.pace
                assert end_at <= task.useless_at


@settings(deadline=None, max_examples=100)
@given(inputs)
def test_reservations_are_bounded_in_number_and_time(given: PlanInput) -> None:
    """Guards against runners that are held without bound."""
    plan = make_plan(given)
    known, waiting = {r.id for r in given.runners}, {t.task for t in given.tasks}
    held = plan.reservations
    assert len(held) <= given.max_reservations
    assert len({r.runner for r in held}) == len(held) == len({r.task for r in held})
    expired = {r.runner for r in plan.expired}
    for one in held:
        assert one.runner in known
        assert one.runner not in expired
        assert one.task in waiting
        assert one.task not in plan.starts
        assert one.start_at - one.held_since <= HORIZON_S
        old = [r for r in given.kept if (r.task, r.runner) == (one.task, one.runner)]
        if not old:
            assert one.runner not in given.resting
        else:
            assert given.now <= one.first_start_at + LATE_SHARE * HORIZON_S


@settings(deadline=None, max_examples=100)
@given(inputs, st.integers(0, 11))
def test_less_urgent_tasks_change_nothing_for_more_urgent_ones(
    given: PlanInput, count: int
) -> None:
    """Guards against a reservation or start that delays a more urgent task."""
    whole = make_plan(given)
    first = replace(given, tasks=given.tasks[:count])
    names = {t.task for t in first.tasks}
    alone = make_plan(first)
    assert alone.starts == {t: r for t, r in whole.starts.items() if t in names}
    assert alone.reservations == tuple(r for r in whole.reservations if r.task in names)


@settings(deadline=None, max_examples=100)
@given(inputs)
def test_a_reserved_task_is_not_delayed_by_backfill(given: PlanInput) -> None:
    """Guards against smaller tasks that take what a reserved one waits for."""
    plan = make_plan(given)
    by_task = {t.task: t for t in given.tasks}
    runners = {r.id: r for r in given.runners}
    for held in plan.reservations:
        runner, free = runners[held.runner], runners[held.runner].free
        for run in runner.runs:
            if run.end_after(given.now) <= held.start_at:
                free = free.plus(run.size)
        for name, on in plan.starts.items():
            task = by_task[name]
            if on != held.runner or given.now + task.declared_s * runner.pace <= (
                held.start_at
            ):
                continue
            free = free.minus(task.size)
        assert free.can_fit(by_task[held.task].size)


@settings(deadline=None, max_examples=100)
@given(inputs)
def test_without_reservations_a_task_waits_only_if_nothing_fits(
    given: PlanInput,
) -> None:
    """Guards against idle capacity that no reservation holds."""
    plan = make_plan(replace(given, max_reservations=0))
    assert plan.reservations == ()
    for task in given.tasks:
        if task.task in plan.starts or task.most_per_runner:
            continue
        for runner in given.runners:
            free = runner.free
            for name, on in plan.starts.items():
                if on == runner.id:
                    free = free.minus(
                        next(t for t in given.tasks if t.task == name).size
                    )
            assert not (
                free.can_fit(task.size)
                and runner.upstream == task.upstream
                and runner.id not in task.avoid
                and (not task.label or task.label in runner.labels)
                and Room(runner, free, ()).is_useful(task, given.now)
            )


@dataclass
class Play:
    """Rounds over runners whose runs end later or earlier than predicted."""

    free: dict[str, Resources]
    slow: set[str]
    waiting: list[PlanTask]
    errors: list[float]
    now: float = 0.0
    runs: dict[TaskId, tuple[str, PlanRun, float]] = field(default_factory=dict)
    kept: tuple[Reservation, ...] = ()
    resting: dict[str, float] = field(default_factory=dict)
    impatient: set[TaskId] = field(default_factory=set)
    held_for: dict[str, float] = field(default_factory=dict)
    started_at: dict[TaskId, float] = field(default_factory=dict)

    def round(self) -> Plan:
        for name, (id_, run, ends_at) in list(self.runs.items()):
            if ends_at <= self.now:
                del self.runs[name]
                self.free[id_] = self.free[id_].plus(run.size)
        runners = [
            PlanRunner(
                id_,
                "u",
                (),
                free,
                1.8 if id_ in self.slow else 0.83,
                id_ in self.slow,
                False,
                tuple(run for on, run, _ in self.runs.values() if on == id_),
            )
            for id_, free in self.free.items()
        ]
        tasks = [
            replace(t, waits_for_better=t.task not in self.impatient)
            for t in self.waiting
        ]
        resting = {id_ for id_, until in self.resting.items() if until > self.now}
        plan = make_plan(
            PlanInput(self.now, HORIZON_S, 2, tasks, runners, self.kept, resting)
        )
        for held in plan.expired:
            self.resting[held.runner] = self.now + HORIZON_S
            self.impatient.add(held.task)
        self.kept = plan.reservations
        by_task = {t.task: t for t in tasks}
        for name, id_ in plan.starts.items():
            task = by_task[name]
            assert self.free[id_].can_fit(task.size)
            self.free[id_] = self.free[id_].minus(task.size)
            run_s = task.declared_s * (1.8 if id_ in self.slow else 0.83)
            run = PlanRun(name, task.size, self.now + run_s, self.now + 1.5 * run_s)
            error = self.errors[len(self.started_at) % len(self.errors)]
            self.runs[name] = (id_, run, self.now + run_s * error)
            self.started_at[name] = self.now
        self.waiting = [t for t in self.waiting if t.task not in plan.starts]
        held_now = {r.runner for r in plan.reservations}
        started_on = set(plan.starts.values())
        for id_ in self.free:
            kept_on = id_ in held_now and id_ not in started_on
            self.held_for[id_] = self.held_for.get(id_, 0.0) + STEP_S if kept_on else 0
        self.now += STEP_S
        return plan


plays = st.builds(
    Play,
    free=st.lists(st.sampled_from([64, 96]), min_size=1, max_size=4).map(
        lambda rooms: {f"r{i}": size_of(count) for i, count in enumerate(rooms)}
    ),
    slow=st.frozensets(ids, max_size=2).map(set),
    waiting=st.lists(
        st.tuples(cores, st.sampled_from([0.05, 0.17, 0.3]), st.floats(0.1, 1.0)),
        min_size=1,
        max_size=10,
    ).map(
        lambda rows: [
            PlanTask(TaskId(f"{i:x}", 0, 0), "u", size_of(count), declared_s, due_at)
            for i, (count, declared_s, due_at) in enumerate(rows)
        ]
    ),
    errors=st.lists(st.sampled_from([0.6, 1.0, 1.4, 7.0]), min_size=1, max_size=8),
)


@settings(deadline=None, max_examples=40)
@given(plays)
def test_no_runner_is_held_longer_than_the_horizon_and_no_task_starves(
    play: Play,
) -> None:
    """Guards against wrong predictions that hold runners idle, or tasks for ever."""
    tasks = len(play.waiting)
    # The longest run, seven times as long as declared on a slow runner, one by one.
    longest_s = 0.3 * 1.8 * 7 + HORIZON_S * (1 + LATE_SHARE)
    while play.waiting:
        play.round()
        assert max(play.held_for.values()) <= HORIZON_S * (1 + LATE_SHARE) + 2 * STEP_S
        assert play.now <= tasks * longest_s


@settings(deadline=None, max_examples=40)
@given(plays)
def test_the_most_urgent_task_starts_as_soon_as_it_fits_or_will_be_in_time(
    play: Play,
) -> None:
    """Guards against less urgent tasks that overtake on the same capacity."""
    while play.waiting:
        head = play.waiting[0]
        plan = play.round()
        if head.task in plan.starts:
            continue
        # What it waits for is held for it, or it fits on no runner.
        if not any(r.task == head.task for r in plan.reservations):
            assert not any(free.can_fit(head.size) for free in play.free.values())
