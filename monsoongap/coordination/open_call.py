"""The calls by which other hosts wait for the answer of a job."""

from collections.abc import Callable
from dataclasses import dataclass


def _ignore() -> None:
    """Do nothing."""


@dataclass(slots=True, eq=False)
class OpenCall:
    """A call that waits for the answer of a job.

    `sender` is the name of the host that sent it, empty for a caller of this host, and
    `boot_ms` when its process started by its last heartbeat, 0 if it sent none.
    `on_close` is called once, if the sender closes the connection before the reply.
    """

    sender: str = ""
    boot_ms: int = 0
    is_open: bool = True
    on_close: Callable[[], object] = _ignore

    def close(self) -> None:
        """Record that the sender no longer waits for the reply."""
        if self.is_open:
            self.is_open = False
            self.on_close()
