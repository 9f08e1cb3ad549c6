"""An event loop on virtual time, which jumps to the next timer without waiting."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class _VirtualTimeSelector(selectors.SelectSelector):
    """Never waits; adds each requested timeout to the virtual time."""

    def __init__(self) -> None:
        super().__init__()
        self.elapsed_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("deadlock: no timer or callback is scheduled")
        self.elapsed_s += max(timeout, 0.0)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs timers in the order of their times without waiting for them."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.elapsed_s


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run `main` on a new event loop with virtual time, and return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
