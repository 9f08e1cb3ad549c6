"""An HTTP client that keeps a pool of kept-alive connections per address.

An exchange uses an idle connection to its address or opens a new one, so an
exchange that waits for seconds never delays another. A connection whose exchange
failed or timed out is closed and never reused.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from monsoongap.transport.http_conn import (
    ExchangeLost,
    HttpReply,
    HttpRequest,
    KeepAliveConnection,
    NotConnected,
)
from monsoongap.transport.receive_guard import ReceiveGuard

# Servers close connections after about 15 s without a request; stay well below.
MAX_IDLE_S = 8.0
# A burst of exchanges opens many connections; idle ones above this number are closed.
MAX_IDLE_PER_ADDRESS = 8
# A connection opens in one round trip, a few milliseconds between data centres.
# TCP retransmits a lost SYN only after 1 s.
CONNECT_TIMEOUT_S = 0.4


@dataclass(slots=True)
class ClientCounts:
    """Counts of connections and exchanges, for the metrics."""

    connections_opened: int = 0
    connections_failed: int = 0
    exchanges: int = 0
    exchanges_lost: int = 0


class HttpClient:
    """Exchanges HTTP requests and replies with any number of addresses (`IP:port`)."""

    def __init__(self, guard: ReceiveGuard | None = None) -> None:
        self._guard = guard or ReceiveGuard()
        self.counts = ClientCounts()
        # Called with an address whose server has closed an idle connection.
        self.on_idle_lost: Callable[[str], None] = lambda address: None
        self._idle: dict[str, list[tuple[float, KeepAliveConnection]]] = {}

    async def exchange(
        self,
        address: str,
        req: HttpRequest,
        timeout_s: float,
        fresh: bool = False,
        transfer_s: float = 0.0,
    ) -> HttpReply:
        """Send a request and return the reply.

        Raises `NotConnected` if no connection could be opened, and `ExchangeLost` if
        the request may have been sent and no complete reply came. `timeout_s` starts
        when the connection is open; a reply that has begun may take `transfer_s` more.
        `fresh` requires a new connection, for use after
        an exchange on a reused one got no reply.
        """
        conn = await self.acquire(address, fresh)
        reply = await self.exchange_on(conn, address, req, timeout_s, transfer_s)
        self.release(conn, address)
        return reply

    async def acquire(
        self, address: str, fresh: bool = False, peer: int = 0
    ) -> KeepAliveConnection:
        """Return an idle connection, or open one; raises `NotConnected`.

        `peer` prefers a connection to that process and excludes those to other ones.
        The caller passes the connection to `release`, unless an exchange on it failed.
        """
        conn = None if fresh else self._take_idle(address, peer)
        return await self._open(address) if conn is None else conn

    def release(self, conn: KeepAliveConnection, address: str) -> None:
        """Keep a connection for the next exchange, unless it was closed."""
        if not conn.closed:
            self._keep(address, conn)

    async def exchange_on(
        self,
        conn: KeepAliveConnection,
        address: str,
        req: HttpRequest,
        timeout_s: float,
        transfer_s: float = 0.0,
    ) -> HttpReply:
        """Send a request on an acquired connection; raises `ExchangeLost`."""
        self.counts.exchanges += 1
        try:
            return await conn.exchange(req, timeout_s, transfer_s)
        except ExchangeLost:
            self.counts.exchanges_lost += 1
            # The other idle connections have probably failed too; do not let
            # later exchanges time out on them one by one.
            self.forget(address)
            raise

    def forget(self, address: str) -> None:
        """Close the idle connections to `address`, which is no longer in use."""
        for _, conn in self._idle.pop(address, []):
            conn.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.forget(address)

    async def _open(self, address: str) -> KeepAliveConnection:
        try:
            conn = await KeepAliveConnection.open(
                address, CONNECT_TIMEOUT_S, self._guard
            )
        except NotConnected:
            self.counts.connections_failed += 1
            raise
        self.counts.connections_opened += 1
        return conn

    def _keep(self, address: str, conn: KeepAliveConnection) -> None:
        now = asyncio.get_running_loop().time()
        conn.on_idle_lost = partial(self.on_idle_lost, address)
        idle = self._idle.setdefault(address, [])
        idle.append((now, conn))
        if len(idle) > MAX_IDLE_PER_ADDRESS:
            idle.pop(0)[1].close()

    def _take_idle(self, address: str, peer: int) -> KeepAliveConnection | None:
        """Return the most recently used idle connection; close those idle too long.

        If `peer` is given, connections to that process come first, and those to other
        processes are left idle.
        """
        idle = self._idle.get(address)
        if not idle:
            return None
        cutoff = asyncio.get_running_loop().time() - MAX_IDLE_S
        while idle and idle[0][0] < cutoff:
            idle.pop(0)[1].close()
        for known in (peer, 0) if peer else (None,):
            for index in reversed(range(len(idle))):
                conn = idle[index][1]
                if known is not None and conn.peer != known:
                    continue
                del idle[index]
                if not conn.closed:
                    conn.on_idle_lost = None
                    return conn
        return None
