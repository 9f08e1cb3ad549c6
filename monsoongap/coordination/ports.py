"""What the decisions need from outside, met over sockets or by fakes."""

from typing import Any, Protocol

from monsoongap.protocol.messages import (
    NotStarted,
    RunnerInfo,
    RunnerView,
    Started,
    StartRequest,
    TaskId,
)


class NoAnswer(Exception):
    """An order got no answer: it may be, or may yet be, carried out."""


class NotSent(Exception):
    """No connection could be had: nothing was sent."""


class HigherFence(Exception):
    """The runner obeys a holder with a higher fence."""


class WrongInstance(Exception):
    """The runner is another one, or a later life of it, than was meant."""


class PeerCallFailed(Exception):
    """A call to another entry host got no answer; it may have taken effect."""


class PeerDown(PeerCallFailed):
    """Nothing listens there any more: the other host's process has ended."""


class RunnerPort(Protocol):
    """Orders to runners.

    Raises `NotSent`, `NoAnswer`, `HigherFence`, `WrongInstance`.
    """

    async def start(
        self, runner: RunnerInfo, request: StartRequest
    ) -> Started | NotStarted:
        """Order a run; also answers `Started` for a run that is there already."""
        ...

    async def stop(self, runner: RunnerInfo, task: TaskId, run: int, fence: int) -> int:
        """Stop a run and bar it from starting later; returns the runner's clock."""
        ...

    async def poll(
        self,
        runner: RunnerInfo,
        fence: int,
        last_seen_seq: int,
        lease_until_ms: int | None,
        wait_ms: int,
        fresh: bool,
    ) -> RunnerView:
        """Extend the lease, take note of ends up to `seen`, tell what runs.

        Waits up to `wait_ms` for an end. `fresh` asks for a new connection.
        """
        ...

    def disconnect(self, runner: RunnerInfo) -> None:
        """Close the connections to a runner that is gone."""
        ...


class PeerCallPort(Protocol):
    """Calls to other entry hosts.

    Raises `PeerCallFailed`, of which `PeerDown` is one.
    """

    async def call(
        self,
        address: str,
        request: Any,
        reply_type: type[Any],
        timeout_s: float,
        fresh: bool = False,
    ) -> Any:
        """Send a message and wait for the reply of the given type.

        `fresh` asks for a new connection.
        """
        ...


class DatagramPort(Protocol):
    """Heartbeats to other entry hosts; may be lost."""

    def send(self, address: tuple[str, int], payload: bytes) -> None:
        """Send one datagram."""
        ...
