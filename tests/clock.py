"""An event loop on virtual time: its clock jumps to the next timer."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class _JumpingSelector(selectors.SelectSelector):
    """Never waits; reports the wanted wait to the loop instead."""

    def __init__(self) -> None:
        super().__init__()
        self.waited_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("deadlock: nothing is scheduled on virtual time")
        self.waited_s += max(timeout, 0.0)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers in order without waiting for them."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._jumping.waited_s


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run `main` to its end on a fresh virtual loop."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
