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
    `origin` is the host that holds the caller, empty in a handover.
    `on_close` is called once, if the sender closes the connection before the reply.
    """

    sender: str = ""
    boot_ms: int = 0
    is_open: bool = True
    on_close: Callable[[], object] = _ignore
    origin: str = ""

    @property
    def kind(self) -> str:
        """Return the kind of call, for log lines.

        `own` is that of a caller of this host or one that this host forwards to itself,
        `caller` that of the host that holds the caller, `forwarded` that of a host in
        between, `handover` that of the previous owner.
        """
        if not self.sender:
            return "own"
        if not self.origin:
            return "handover"
        return "caller" if self.origin == self.sender else "forwarded"

    def close(self) -> None:
        """Record that the sender no longer waits for the reply."""
        if self.is_open:
            self.is_open = False
            self.on_close()
