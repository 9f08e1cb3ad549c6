"""What operators see of the scheduler."""

from dataclasses import dataclass

from monsoongap.coordination.credits_book import CreditBook
from monsoongap.coordination.queues import TaskQueues
from monsoongap.coordination.worker_health import WorkerHealth


@dataclass(frozen=True, slots=True)
class WorkerView:
    """What this host holds of one worker, in slots, and the worker's health."""

    worker: str
    own: int
    borrowed: int
    lent: int
    busy: int
    health: str


@dataclass(frozen=True, slots=True)
class QueueView:
    """How many tasks of one team wait in one class, `short` or `long`."""

    team: str
    task_class: str
    length: int


@dataclass(frozen=True, slots=True)
class SchedulerView:
    """The scheduler's state at one moment.

    `long_limit` is how many slots long work may hold, `long_busy` how many it
    holds, `reserve` how many free ones are kept from jobs with long tasks.
    `split_ms` is the run time that parts short from long.
    """

    workers: tuple[WorkerView, ...]
    queues: tuple[QueueView, ...]
    long_limit: int
    long_busy: int
    reserve: int
    split_ms: float


def view_workers(
    book: CreditBook, health: WorkerHealth, now: float
) -> tuple[WorkerView, ...]:
    """Return the credits on each worker, in name order."""
    return tuple(
        WorkerView(
            worker=name,
            own=account.own,
            borrowed=account.borrowed.total(),
            lent=account.lent,
            busy=account.busy,
            health=health.health(name, now).value,
        )
        for name, account in sorted(book.accounts.items())
    )


def view_queues(queues: TaskQueues) -> tuple[QueueView, ...]:
    """Return the queue lengths by team and class."""
    return tuple(
        QueueView(team, "short" if urgent else "long", length)
        for (team, urgent), length in sorted(queues.by_team.items())
    )
