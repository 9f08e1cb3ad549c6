"""What a worker knows of its tasks, bounded in count and time."""

import asyncio
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import Any

from monsoongap.protocol.messages import TaskState


@dataclass(slots=True)
class KnownTask:
    """One task that a worker runs, has run, or was told never to start.

    `fence` is the highest of its start and its revocations. `serial` names the
    start in the ledger and is negative when there was none.
    """

    task: str
    state: TaskState
    fence: int
    serial: int = -1
    started_at: float = 0.0
    ended_at: float = 0.0
    answer: Any = None
    error: str | None = None
    runner: asyncio.Task[None] | None = None
    ended: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def started(self) -> bool:
        """Tell whether the task ever started here."""
        return self.serial >= 0

    def stop(self) -> None:
        """Cancel what still runs for the task."""
        if self.runner is not None:
            self.runner.cancel()


class TaskTable:
    """Running tasks, and ended ones for `keep_s` seconds, at most `keep_tasks`."""

    def __init__(self, keep_tasks: int, keep_s: float) -> None:
        self.running: dict[str, KnownTask] = {}
        self._ended: OrderedDict[str, KnownTask] = OrderedDict()
        self._keep_tasks = keep_tasks
        self._keep_s = keep_s

    def find(self, task: str) -> KnownTask | None:
        """Return a running or kept task."""
        return self.running.get(task) or self._ended.get(task)

    def add_running(self, known: KnownTask) -> None:
        """Add a task that started, replacing a tombstone of it."""
        self._ended.pop(known.task, None)
        self.running[known.task] = known

    def keep(self, known: KnownTask) -> None:
        """Move a task to the kept ones and forget the oldest beyond the bounds."""
        self.running.pop(known.task, None)
        self._ended[known.task] = known
        oldest = known.ended_at - self._keep_s
        while self._over_bounds(oldest):
            self._ended.popitem(last=False)

    def clear(self) -> None:
        """Forget everything."""
        self.running.clear()
        self._ended.clear()

    def _over_bounds(self, oldest: float) -> bool:
        if len(self._ended) > self._keep_tasks:
            return True
        return bool(self._ended) and next(iter(self._ended.values())).ended_at < oldest


class LaggingGauge:
    """Shows the value that a number had `lag_s` seconds ago."""

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._changes: deque[tuple[float, int]] = deque([(float("-inf"), 0)])

    def set(self, now: float, value: int) -> None:
        """Record a new value at time `now` in seconds."""
        self._changes.append((now, value))
        self.get(now)

    def get(self, now: float) -> int:
        """Return the value as seen at time `now`."""
        while len(self._changes) > 1 and self._changes[1][0] <= now - self._lag_s:
            self._changes.popleft()
        return self._changes[0][1]
