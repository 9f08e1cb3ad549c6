"""Ending the wait of a task without ending the task, and without another task.

`asyncio.wait` over a wrapped coroutine and an event costs two callbacks and a task
per wait; this costs none. It works as `asyncio.timeout` does, on demand instead of
at a time.
"""

import asyncio
from types import TracebackType
from typing import Any


class Interrupted(Exception):
    """The wait was ended from outside."""


class Interruptible:
    """A block of the running task whose wait `fire` ends with `Interrupted`.

    A result that arrives in the same loop turn is lost to the block, so what is
    awaited must hand back what it was given when it is cancelled. `fire` must be
    called from outside the task. A cancellation of the task itself goes through.
    """

    __slots__ = ("_active", "_before", "_fired", "_task")

    def __init__(self) -> None:
        self._active = False
        self._fired = False

    def __enter__(self) -> "Interruptible":
        task = asyncio.current_task()
        if task is None:
            raise RuntimeError("Interruptible needs a running task")
        self._task: asyncio.Task[Any] = task
        self._before = task.cancelling()
        self._active = True
        return self

    def fire(self, _: object = None) -> None:
        """End the wait; does nothing once the block was left."""
        if self._active and not self._fired:
            self._fired = True
            self._task.cancel()

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._active = False
        if not self._fired:
            return
        others = self._task.uncancel() > self._before
        if kind is asyncio.CancelledError and not others:
            raise Interrupted from None


class InterruptedBy(Interruptible):
    """An interruptible block that ends when a future is done."""

    __slots__ = ("_future",)

    def __init__(self, future: "asyncio.Future[Any]") -> None:
        super().__init__()
        self._future = future

    def __enter__(self) -> "InterruptedBy":
        if self._future.done():
            raise Interrupted
        super().__enter__()
        self._future.add_done_callback(self.fire)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._future.remove_done_callback(self.fire)
        super().__exit__(kind, exc, trace)
