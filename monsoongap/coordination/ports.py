"""Interfaces through which the coordination code reaches runners and other hosts.

The daemon implements them over sockets, tests with fakes.
"""

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
    """The runner did not answer a request, which may still be carried out later."""


class NotSent(Exception):
    """No connection to the runner could be made; the request was not sent."""


class HigherFence(Exception):
    """The runner has accepted a higher fence than that of the request."""


class WrongInstance(Exception):
    """The runner at the address is not the one addressed, or has restarted since."""


class Withheld(Exception):
    """The request was not sent: a check right before it failed."""


class PeerCallFailed(Exception):
    """A call to another entry host got no reply; it may have taken effect."""


class NoReply(PeerCallFailed):
    """No reply arrived in time; the peer may still work on the call."""


class PeerRestarted(PeerCallFailed):
    """Another process than the one called answers, or sends heartbeats, as the peer."""


class PeerDown(PeerCallFailed):
    """The connection was refused: the other host's process has exited."""


class RunnerPort(Protocol):
    """Requests to runners.

    They raise `NotSent`, `NoAnswer`, `HigherFence` or `WrongInstance`.
    """

    async def start(
        self, runner: RunnerInfo, request: StartRequest
    ) -> Started | NotStarted:
        """Start a run; returns `Started` also if the run is there already.

        The request is sent only if the runner is certainly in the incarnation
        `request.born_ms`; otherwise raises `WrongInstance` or `NotSent`. Raises
        `Withheld` if `request.may_send` returns false once a connection is open.
        """
        ...

    async def stop(self, runner: RunnerInfo, task: TaskId, run: int, fence: int) -> int:
        """Stop a run and make the runner reject a later start of it.

        Returns the runner's clock in milliseconds.
        """
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
        """Renew the lease, acknowledge ends up to `last_seen_seq`, list the runs.

        `lease_until_ms` is a time on the runner's clock; None leaves the lease as it
        is. The runner replies once it has an end to report, after `wait_ms` at the
        latest. `fresh` asks for a new connection.
        """
        ...

    def disconnect(self, runner: RunnerInfo) -> None:
        """Close the connections to a runner that is no longer used."""
        ...


class PeerCallPort(Protocol):
    """Calls to other entry hosts.

    They raise `PeerCallFailed`, or its subclass `PeerDown`.
    """

    async def call(
        self,
        address: str,
        request: Any,
        reply_type: type[Any],
        timeout_s: float,
        fresh: bool = False,
    ) -> Any:
        """Send a message and return the reply, which is of the given type.

        `fresh` asks for a new connection.
        """
        ...

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address; later calls open new ones."""
        ...


class DatagramPort(Protocol):
    """Datagrams with heartbeats to other entry hosts; they may be lost."""

    def send(self, address: tuple[str, int], payload: bytes) -> None:
        """Send one datagram to an IP address and port."""
        ...
