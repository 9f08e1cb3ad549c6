"""The HTTP/1.1 server of this process, for callers, hosts, operators and the platform.

Its connections are in `server_conn`, the limits on what they receive in
`request_receiver` and `receive_guard`.
"""

import asyncio
from collections.abc import Callable

from monsoongap.transport.receive_budget import Source
from monsoongap.transport.receive_guard import ReceiveGuard
from monsoongap.transport.request_receiver import RequestLimits
from monsoongap.transport.server_conn import Listener, ServerConnection, ServerRequest
from monsoongap.util.addresses import split_address

__all__ = ["HttpServer", "ServerRequest"]

# Connections waiting to be accepted. One that exceeds the backlog is dropped, and its
# client is delayed by seconds.
BACKLOG = 512
# Limits of a listener that states no others.
MAX_HEADER_BYTES = 65_536
MAX_BODY_BYTES = 16_000_000
DEFAULT_LIMITS = RequestLimits(MAX_HEADER_BYTES, MAX_BODY_BYTES)


class HttpServer:
    """Listens on one address and passes each request to `handle`.

    See `Listener` for the other arguments.
    """

    def __init__(
        self,
        handle: Callable[[ServerRequest], None],
        guard: ReceiveGuard | None = None,
        source: Source = Source.CALLERS,
        limits: Callable[[], RequestLimits] = lambda: DEFAULT_LIMITS,
        answers_refusals: bool = True,
    ) -> None:
        self._listener = Listener(
            handle, guard or ReceiveGuard(), source, limits, answers_refusals
        )
        self._server: asyncio.Server | None = None

    @property
    def connections(self) -> set[ServerConnection]:
        """Return the open connections."""
        return self._listener.connections

    async def listen(self, address: str) -> None:
        """Listen on `IP:port`; raises `OSError`."""
        ip, port = split_address(address)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: ServerConnection(self._listener), ip, port, backlog=BACKLOG
        )

    def stop_listening(self) -> None:
        """Accept no new connections; open ones stay open."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close the connections on which no request waits for its reply."""
        for conn in [c for c in self.connections if not c.is_busy]:
            conn.close()
