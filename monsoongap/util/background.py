"""Background tasks that are never awaited."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

log = logging.getLogger(__name__)


class BackgroundTasks:
    """Holds references to background tasks and logs their exceptions."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, coro: Coroutine[Any, Any, Any], name: str) -> asyncio.Task[Any]:
        """Run a coroutine as a task; `name` identifies it in log lines."""
        task = asyncio.create_task(coro, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def cancel_all(self) -> None:
        """Cancel all tasks that have not finished."""
        for task in list(self._tasks):
            task.cancel()

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (exc := task.exception()) is not None:
            log.error(
                "background task raised an exception",
                extra={"task": task.get_name()},
                exc_info=exc,
            )
