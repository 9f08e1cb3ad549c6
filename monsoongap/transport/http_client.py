"""HTTP exchanges with many addresses over connections that are kept alive.

A call takes an idle connection of its address or opens one, so a call that
waits for seconds never delays another. A connection whose exchange failed or
timed out is closed, never used again.
"""

import asyncio
from dataclasses import dataclass

from monsoongap.transport.http_conn import (
    ExchangeLost,
    HttpReply,
    HttpRequest,
    KeepAliveConnection,
    NotConnected,
)

# Servers close connections that were idle for about 15 s; stay well below.
IDLE_LIMIT_S = 8.0
# Calls that were many at once leave many connections; so many of them are kept.
IDLE_KEPT = 8
# Opening takes one round trip, a few milliseconds between data centres; the
# first repeat of a lost opening packet comes only after a second.
CONNECT_TIMEOUT_S = 0.4


@dataclass(slots=True)
class ClientCounts:
    """What the client did, for the metrics."""

    connections_opened: int = 0
    connections_failed: int = 0
    exchanges: int = 0
    exchanges_lost: int = 0


class HttpClient:
    """Carries exchanges with any number of addresses (`IP:port`)."""

    def __init__(self) -> None:
        self.counts = ClientCounts()
        self._idle: dict[str, list[tuple[float, KeepAliveConnection]]] = {}

    async def exchange(
        self, address: str, req: HttpRequest, timeout_s: float, fresh: bool = False
    ) -> HttpReply:
        """Carry one exchange; raises `NotConnected` or `ExchangeLost`.

        `timeout_s` bounds the exchange after the connection is open. `fresh` asks
        for a new connection, for use after an old one went silent.
        """
        conn = None if fresh else self._take_idle(address)
        if conn is None:
            conn = await self._open(address)
        self.counts.exchanges += 1
        try:
            reply = await conn.exchange(req, timeout_s)
        except ExchangeLost:
            self.counts.exchanges_lost += 1
            # Connections that went silent together are not tried one by one.
            self.forget(address)
            raise
        if not conn.closed:
            self._keep(address, conn)
        return reply

    def forget(self, address: str) -> None:
        """Close the idle connections of an address that is out of use."""
        for _, conn in self._idle.pop(address, []):
            conn.close()

    def close(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle):
            self.forget(address)

    async def _open(self, address: str) -> KeepAliveConnection:
        try:
            conn = await KeepAliveConnection.open(address, CONNECT_TIMEOUT_S)
        except NotConnected:
            self.counts.connections_failed += 1
            raise
        self.counts.connections_opened += 1
        return conn

    def _keep(self, address: str, conn: KeepAliveConnection) -> None:
        now = asyncio.get_running_loop().time()
        idle = self._idle.setdefault(address, [])
        idle.append((now, conn))
        if len(idle) > IDLE_KEPT:
            idle.pop(0)[1].close()

    def _take_idle(self, address: str) -> KeepAliveConnection | None:
        """Return the connection used last; close those that idled too long."""
        idle = self._idle.get(address)
        if not idle:
            return None
        oldest = asyncio.get_running_loop().time() - IDLE_LIMIT_S
        while idle and idle[0][0] < oldest:
            idle.pop(0)[1].close()
        while idle:
            _, conn = idle.pop()
            if not conn.closed:
                return conn
        return None
