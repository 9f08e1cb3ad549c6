"""The interfaces through which decisions reach the outside world.

`monsoongap.transport` implements them over sockets and the tests over small
fakes on virtual time. Each method is a coroutine and may be cancelled.
"""

from typing import Protocol

from monsoongap.protocol.messages import (
    HostList,
    LogPage,
    TaskReport,
    TaskStart,
    WorkerUsage,
)
from monsoongap.protocol.peer import PeerMethod, ReplyT, RequestT


class WorkerPort(Protocol):
    """Talks to workers (runners with slots) by name.

    Raises `WorkerUnreachable` when nothing was sent and `StartAmbiguous` when a
    request was sent and its reply did not come.
    """

    async def start(self, worker: str, start: TaskStart) -> TaskReport:
        """Start a task and wait for its end or its refusal."""
        ...

    async def inspect(self, worker: str, task: str, wait_ms: int) -> TaskReport:
        """Ask on a fresh connection for a task's state, waiting for its end.

        Returns early with `RUNNING` after `wait_ms` milliseconds.
        """
        ...

    async def revoke(self, worker: str, task: str, fence: int) -> TaskReport:
        """Cancel a task on a fresh connection, or bar its start up to `fence`.

        The reply tells `REVOKED` when the task never started, `DONE` or `FAILED`
        when it had ended, `CANCELLED` when it was stopped half way.
        """
        ...

    async def usage(self, worker: str) -> WorkerUsage:
        """Ask for the worker's size, load, boot number and clock."""
        ...


class LogPort(Protocol):
    """The platform's append-only log. Raises `LogUnavailable`, `LogTrimmed`."""

    async def append(self, stream: str, records: tuple[str, ...]) -> int:
        """Append JSON texts in order and return the offset of the first."""
        ...

    async def read(self, stream: str, start: int, limit: int, wait_ms: int) -> LogPage:
        """Read from offset `start`, waiting up to `wait_ms` for a record."""
        ...


class HostListPort(Protocol):
    """The platform's host list. Raises `LogUnavailable` when out of reach."""

    async def fetch(self) -> HostList:
        """Fetch the list with its version."""
        ...


class PeerPort(Protocol):
    """Calls to another entry host by name. Raises `PeerUnreachable`."""

    async def call(
        self,
        host: str,
        method: PeerMethod[RequestT, ReplyT],
        body: RequestT,
        timeout_s: float,
    ) -> ReplyT:
        """Call the handler that the peer registered for `method`.

        A `DispatchError` raised by the handler is raised here again.
        """
        ...
