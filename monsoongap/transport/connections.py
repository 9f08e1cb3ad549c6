"""The connections to one worker: one task each, within a budget.

Exchanges wait in order for a free connection. A few connections of the budget
are kept for settling starts, so that a worker whose connections are all taken by
silent exchanges can still be asked what became of them.
"""

import asyncio
import ssl
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from monsoongap.coordination.parts import SETTLE_CONNECTIONS
from monsoongap.settings import WorkersSection
from monsoongap.transport.http_conn import (
    ExchangeLost,
    HttpReply,
    HttpRequest,
    KeepAliveConnection,
    NotConnected,
)

IDLE_CLOSE_S = 10.0


@dataclass(slots=True)
class _Exchange:
    """A request that waits for its decoded reply."""

    req: HttpRequest
    timeout_s: float | None
    decode: Callable[[HttpReply], Any]
    fut: asyncio.Future[Any] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


@dataclass(slots=True)
class ConnectionCounts:
    """What became of the connections to one worker."""

    opened: int = 0
    failed: int = 0
    retired: int = 0


class WorkerConnections:
    """Carries exchanges with one worker within a budget of connections.

    The budget is this host's `share` of what the worker takes, at most
    `cfg.connections`, and enough for one start and settling in any case.
    """

    def __init__(
        self,
        cfg: WorkersSection,
        address: str,
        tls: ssl.SSLContext | None,
        share: Callable[[], int],
    ) -> None:
        self.address = address
        self.counts = ConnectionCounts()
        self._cfg = cfg
        self._tls = tls
        self._share = share
        self._waiting: deque[_Exchange] = deque()
        self._waiting_fresh: deque[_Exchange] = deque()
        # Idle connections with the time since when, the one used last at the end.
        self._idle: dict[asyncio.Future[_Exchange | None], float] = {}
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def open_count(self) -> int:
        """Number of connections open or being opened."""
        return len(self._tasks)

    async def exchange(
        self,
        req: HttpRequest,
        timeout_s: float | None,
        decode: Callable[[HttpReply], Any],
        fresh: bool = False,
    ) -> Any:
        """Carry one exchange; raises `NotConnected` or `ExchangeLost`.

        `decode` raises `ExchangeLost` for a reply that is not the one asked for;
        the connection is out of step then and is closed. `fresh` asks for a new
        connection. Cancelling closes the connection that carries the exchange.
        """
        exchange = _Exchange(req, timeout_s, decode)
        if fresh:
            self._waiting_fresh.append(exchange)
        else:
            self._waiting.append(exchange)
        self._assign()
        return await exchange.fut

    def close(self) -> None:
        """Close every connection; exchanges under way are lost."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        for task in self._tasks:
            task.cancel()

    def _assign(self) -> None:
        """Hand waiting exchanges to idle connections, then to new ones."""
        _drop_done(self._waiting_fresh)
        _drop_done(self._waiting)
        budget = max(min(self._share(), self._cfg.connections), SETTLE_CONNECTIONS + 1)
        while self._waiting_fresh and self.open_count < budget:
            self._open(self._waiting_fresh.popleft())
        while self._waiting and (idle := self._take_idle()) is not None:
            idle.set_result(self._waiting.popleft())
        while self._waiting and self.open_count < budget - SETTLE_CONNECTIONS:
            self._open(self._waiting.popleft())
        if self._waiting_fresh and (idle := self._take_idle()) is not None:
            # The budget is used up: an idle connection makes room.
            idle.set_result(None)

    def _take_idle(self) -> asyncio.Future[_Exchange | None] | None:
        """Return the connection used last that still waits for an exchange."""
        while self._idle:
            idle, _ = self._idle.popitem()
            if not idle.done():
                return idle
        return None

    def _open(self, exchange: _Exchange) -> None:
        task = asyncio.create_task(self._run(exchange), name=f"conn:{self.address}")
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self._assign()

    async def _run(self, exchange: _Exchange) -> None:
        """Open a connection, carry exchanges one by one, close when idle."""
        try:
            conn = await KeepAliveConnection.open(
                self.address, self._cfg.connect_timeout_s, self._tls
            )
        except NotConnected as exc:
            self.counts.failed += 1
            _fail(exchange, exc)
            return
        except BaseException:
            _fail(exchange, NotConnected(f"{self.address}: closing"))
            raise
        self.counts.opened += 1
        try:
            await self._serve(conn, exchange)
        finally:
            conn.close()

    async def _serve(self, conn: KeepAliveConnection, first: _Exchange) -> None:
        exchange: _Exchange | None = first
        while exchange is not None:
            await _carry(conn, exchange)
            if conn.closed:
                self.counts.retired += 1
                return
            exchange = await self._next(conn)

    async def _next(self, conn: KeepAliveConnection) -> _Exchange | None:
        """Wait for the next exchange; None when idle too long or not needed."""
        loop = asyncio.get_running_loop()
        idle: asyncio.Future[_Exchange | None] = loop.create_future()
        self._idle[idle] = loop.time()
        self._assign()
        self._schedule_sweep()
        try:
            exchange = await idle
        finally:
            self._idle.pop(idle, None)
        if exchange is not None and conn.closed:
            self._waiting.appendleft(exchange)
            return None
        return exchange

    def _schedule_sweep(self) -> None:
        """See to it that connections idle for too long are closed."""
        if self._idle and self._sweep_timer is None:
            loop = asyncio.get_running_loop()
            self._sweep_timer = loop.call_later(IDLE_CLOSE_S, self._sweep)

    def _sweep(self) -> None:
        self._sweep_timer = None
        oldest = asyncio.get_running_loop().time() - IDLE_CLOSE_S
        for idle, since in list(self._idle.items()):
            if since <= oldest and not idle.done():
                del self._idle[idle]
                idle.set_result(None)
        self._schedule_sweep()


async def _carry(conn: KeepAliveConnection, exchange: _Exchange) -> None:
    fut = exchange.fut
    if fut.done():
        return

    def abandon(done: asyncio.Future[Any]) -> None:
        if done.cancelled():
            conn.close()

    fut.add_done_callback(abandon)
    try:
        reply = await conn.exchange(exchange.req, exchange.timeout_s)
        decoded = exchange.decode(reply)
    except ExchangeLost as exc:
        conn.close()
        _fail(exchange, exc)
    except BaseException:
        _fail(exchange, ExchangeLost(f"{exchange.req.path}: connection closing"))
        raise
    else:
        if not fut.done():
            fut.set_result(decoded)


def _fail(exchange: _Exchange, exc: Exception) -> None:
    if not exchange.fut.done():
        exchange.fut.set_exception(exc)


def _drop_done(waiting: deque[_Exchange]) -> None:
    """Remove exchanges at the front whose caller has given up."""
    while waiting and waiting[0].fut.done():
        waiting.popleft()
