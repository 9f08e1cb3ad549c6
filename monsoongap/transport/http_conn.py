"""An HTTP/1.1 client connection that stays open between exchanges.

`tornado.simple_httpclient` opens a connection per request, and tornado's connection
class takes 0.4 ms of processor time per exchange. An exchange with `httptools` takes
0.15 ms in total (decision 0605). A connection carries one exchange at a time and is
used by one task at a time.
"""

import asyncio
import re
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import cast

import httptools

from monsoongap.settings import LimitsSection
from monsoongap.timers import Timer
from monsoongap.transport.receive_budget import Cause, Holding, Source
from monsoongap.transport.receive_guard import ReceiveGuard
from monsoongap.util.addresses import split_address

MAX_REPLY_BYTES = LimitsSection().reply_bytes
# The head of a reply; the parser gathers a header without a limit.
MAX_REPLY_HEAD_BYTES = 65_536
# Up to 18 digits; the parser checks the number.
ANNOUNCED_SIZE = re.compile(rb"\r\nContent-Length: *(\d{1,18})\r", re.IGNORECASE)
# SO_LINGER's two integers, enabled and 0 s: closing discards data not yet sent.
LINGER_DISCARD = struct.pack("ii", 1, 0)
# Connections are reused after at most 8 s of idle time. A connection whose data is not
# acknowledged is dropped by a caller's deadline of 1.5 s.
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 2
UNACKNOWLEDGED_TIMEOUT_MS = 1500


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request to send. `path` starts with a slash and is percent-encoded.

    `headers` are sent in addition to Content-Length and Content-Type. A Host header
    among them replaces the default, the address. `max_reply_bytes` limits the reply
    below the limit of all replies.
    """

    method: str
    path: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    max_reply_bytes: int = MAX_REPLY_BYTES

    def encode(self, address: str) -> bytes:
        """Return the bytes of the request to `address`."""
        lines = [f"{self.method} {self.path} HTTP/1.1"]
        if not any(name == "Host" for name, _ in self.headers):
            lines.append(f"Host: {address}")
        lines += [f"{name}: {value}" for name, value in self.headers]
        if self.body:
            lines.append("Content-Type: application/json")
        lines.append(f"Content-Length: {len(self.body)}\r\n\r\n")
        return "\r\n".join(lines).encode("latin-1") + self.body


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A complete reply."""

    status: int
    body: bytes


class NotConnected(Exception):
    """The connection could not be opened; no request was sent."""


class Refused(NotConnected):
    """The connection was refused: no process listens at the address."""


class ExchangeLost(Exception):
    """The request may have been sent, and no complete reply was received."""


class KeepAliveConnection(asyncio.Protocol):
    """A connection to one address (`IP:port`)."""

    def __init__(self, address: str, guard: ReceiveGuard) -> None:
        self._address = address
        self._guard = guard
        self._holding = Holding(Source.REPLIES, self._refuse)
        self._is_counted = False
        self._max_bytes = 0
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._body = bytearray()
        self._in_head = True
        self._received_bytes = 0
        self._pending_reply: asyncio.Future[HttpReply] | None = None
        self._limit: Timer | None = None
        self._transfer_s = 0.0
        # Identity of the process at the other end, as a reply on this connection told
        # it; 0 if unknown. It cannot change: a new process has new connections.
        self.peer = 0
        # Called once if the peer closes the connection between two exchanges.
        self.on_idle_lost: Callable[[], None] | None = None

    @classmethod
    async def open(
        cls, address: str, timeout_s: float, guard: ReceiveGuard | None = None
    ) -> "KeepAliveConnection":
        """Connect to `address`; raises `NotConnected`, if refused as `Refused`."""
        loop = asyncio.get_running_loop()
        guard = guard or ReceiveGuard()
        try:
            ip, port = split_address(address)
            async with asyncio.timeout(timeout_s):
                _, conn = await loop.create_connection(
                    lambda: cls(address, guard), ip, port
                )
        except ConnectionRefusedError as exc:
            raise Refused(f"{address}: connection refused") from exc
        except (OSError, TimeoutError, ValueError) as exc:
            raise NotConnected(f"{address}: {exc or type(exc).__name__}") from exc
        return conn

    @property
    def closed(self) -> bool:
        """Return whether the connection can no longer be used."""
        return self._transport is None or self._transport.is_closing()

    def close(self) -> None:
        """Close the connection after the data already written was sent."""
        self.on_idle_lost = None
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once and discard data that was not delivered yet."""
        if self._transport is not None and not self._transport.is_closing():
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_DISCARD)
            self._transport.abort()

    async def exchange(
        self, req: HttpRequest, timeout_s: float, transfer_s: float = 0.0
    ) -> HttpReply:
        """Send a request and return the complete reply; raises `ExchangeLost`.

        A reply that has begun within `timeout_s` may take `transfer_s` more. An
        exchange that fails, times out or is cancelled closes the connection, so that a
        late reply is never taken for the reply to a later request.
        """
        if self._transport is None or self.closed:
            raise ExchangeLost(f"{self._address}: connection closed")
        loop = asyncio.get_running_loop()
        self._pending_reply = loop.create_future()
        self._transfer_s = transfer_s
        self._max_bytes = min(req.max_reply_bytes, self._guard.cfg.reply_bytes)
        self._limit = Timer(loop.time() + timeout_s, partial(self._expire, timeout_s))
        try:
            self._transport.write(req.encode(self._address))
            return await self._pending_reply
        except BaseException:
            self.abort()
            raise
        finally:
            self._limit.cancel()
            self._pending_reply = self._limit = None

    def _expire(self, timeout_s: float) -> None:
        what = "incomplete" if self._received_bytes else "no"
        self._fail(f"{what} reply in {timeout_s} s")

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Enable TCP keep-alive, which detects a dead peer without extra requests."""
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in (
            (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
            (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
            (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
            (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
        ):
            sock.setsockopt(socket.IPPROTO_TCP, option, value)

    def data_received(self, data: bytes) -> None:
        """Parse part of a reply; close the connection if no reply is expected."""
        if self._pending_reply is None:
            self.close()
            return
        is_first = not self._received_bytes
        if is_first:
            self._extend_limit()
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._fail(f"malformed reply: {exc}")
            return
        # Most replies are complete in one block, and cost nothing of what follows.
        if self._received_bytes:
            self._check_incomplete(data if is_first else b"")

    def _check_incomplete(self, first_block: bytes) -> None:
        """Limit an incomplete reply, if possible by the size that it announces."""
        now_s = self._guard.now_s
        announced = 0
        if first_block:
            self._holding.began_s = now_s
            self._guard.budget.add(self._holding)
            self._is_counted = True
            head = first_block[: first_block.find(b"\r\n\r\n") + 1]
            found = ANNOUNCED_SIZE.search(head)
            announced = int(found[1]) if found else 0
        limit = MAX_REPLY_HEAD_BYTES if self._in_head else self._max_bytes
        if max(self._received_bytes, announced) > limit:
            self._refuse(Cause.REPLY_SIZE)
            return
        self._holding.received_s = now_s
        left = max(self._max_bytes - self._received_bytes, 1)
        self._guard.hold(self._holding, self._received_bytes, 0, left)

    def _refuse(self, cause: Cause) -> None:
        """Give up a reply that is too large, or for which there is no memory."""
        self._guard.count(cause, Source.REPLIES)
        self._fail(f"reply refused: {cause.value}")

    def _extend_limit(self) -> None:
        """Give the rest of a reply that has begun its own time."""
        if self._limit is None or not self._transfer_s:
            return
        self._limit.cancel()
        due = self._limit.due + self._transfer_s
        self._limit = Timer(due, partial(self._expire, self._transfer_s))

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange that waits for a reply, or report an idle connection."""
        if self.on_idle_lost is not None and self._pending_reply is None:
            self.on_idle_lost()
        self._fail(str(exc) if exc else "connection closed")

    def _fail(self, reason: str) -> None:
        if self._pending_reply is not None and not self._pending_reply.done():
            self._pending_reply.set_exception(
                ExchangeLost(f"{self._address}: {reason}")
            )
        self._end_reply()
        self.abort()

    def _end_reply(self) -> None:
        self._body.clear()
        self._received_bytes = 0
        self._in_head = True
        if self._is_counted:
            self._is_counted = False
            self._guard.budget.remove(self._holding)

    # Callbacks of the parser.

    def on_headers_complete(self) -> None:
        """Count what follows as the body."""
        self._in_head = False

    def on_body(self, body: bytes) -> None:
        """Store part of the body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Pass the complete reply to the task that waits for it."""
        reply = HttpReply(self._parser.get_status_code(), bytes(self._body))
        self._end_reply()
        if not self._parser.should_keep_alive():
            self.close()
        if self._pending_reply is not None and not self._pending_reply.done():
            self._pending_reply.set_result(reply)
