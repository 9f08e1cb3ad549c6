"""Tasks that run beside their starter and are never awaited."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

log = logging.getLogger(__name__)


class BackgroundTasks:
    """Keeps such tasks alive, and logs the fault of one that fails."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, Any], name: str) -> asyncio.Task[Any]:
        """Run a coroutine beside the caller."""
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def cancel_all(self) -> None:
        """Cancel what still runs."""
        for task in list(self._tasks):
            task.cancel()

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (exc := task.exception()) is not None:
            log.error("task failed", extra={"task": task.get_name()}, exc_info=exc)
