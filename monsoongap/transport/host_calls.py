"""Calls and heartbeats between entry hosts.

A call is an HTTP POST whose path is the name of the message's class and whose body is
the message in MessagePack, encoded from the data classes that the rest of the code
uses. Heartbeats are datagrams. Decision 0602 says why gRPC is not used.
"""

import asyncio
import dataclasses
import logging
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any, cast

import httptools
import msgspec

from monsoongap.coordination.ports import PeerCallFailed, PeerDown
from monsoongap.protocol import messages
from monsoongap.protocol.decoding import Malformed, decode_msgpack
from monsoongap.timers import TimerService
from monsoongap.transport.http_client import HttpClient
from monsoongap.transport.http_conn import (
    ExchangeLost,
    HttpRequest,
    NotConnected,
    Refused,
)
from monsoongap.transport.http_server import BACKLOG
from monsoongap.util.addresses import split_address
from monsoongap.util.background import BackgroundTasks

log = logging.getLogger(__name__)

CALL_TYPES = (
    messages.SubmitCall,
    messages.LocateCall,
    messages.LendCall,
    messages.CancelCall,
    messages.FindCall,
    messages.ConfigCall,
    messages.RunnersCall,
    messages.PrepareCall,
    messages.TransferCall,
)
_CALL_TYPES_BY_PATH = {f"/{kind.__name__}": kind for kind in CALL_TYPES}
MAX_BODY_BYTES = 16_000_000


class HostCallServer:
    """Serves calls from other hosts; `answer` returns the reply to a decoded call."""

    def __init__(
        self, answer: Callable[[Any], Awaitable[Any]], timers: TimerService
    ) -> None:
        self._answer = answer
        self._timers = timers
        self._background = BackgroundTasks()
        self._server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Listen for calls on `IP:port`."""
        ip, port = split_address(address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _CallConnection(self._serve),
            ip,
            port,
            backlog=BACKLOG,
        )

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def _serve(self, conn: "_CallConnection", path: str, body: bytes) -> None:
        self._background.spawn(self._reply(conn, path, body), "call")

    async def _reply(self, conn: "_CallConnection", path: str, body: bytes) -> None:
        kind = _CALL_TYPES_BY_PATH.get(path)
        if kind is None:
            conn.reply(HTTPStatus.NOT_FOUND, b"no such call")
            return
        await self._timers.read_first()
        if not conn.is_open:
            log.info(
                "call was given up while this host was paused; dropping it",
                extra={"call": path},
            )
            return
        try:
            call = decode_msgpack(body, kind)
        except Malformed as exc:
            log.warning("malformed call; replying 400", extra={"error": str(exc)})
            conn.reply(HTTPStatus.BAD_REQUEST, str(exc).encode())
            return
        try:
            reply = msgspec.msgpack.encode(await self._answer(call))
        except Exception:
            log.exception("call failed; replying 500", extra={"call": path})
            conn.reply(HTTPStatus.INTERNAL_SERVER_ERROR, b"")
            return
        conn.reply(HTTPStatus.OK, reply)


class _CallConnection(asyncio.Protocol):
    """A connection from another host, which sends one call at a time."""

    def __init__(self, serve: Callable[["_CallConnection", str, bytes], None]) -> None:
        self._serve = serve
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._path = b""
        self._body_chunks: list[bytes] = []
        self._received_bytes = 0

    @property
    def is_open(self) -> bool:
        """Whether the other host still waits for a reply."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None

    def data_received(self, data: bytes) -> None:
        self._received_bytes += len(data)
        try:
            if self._received_bytes > MAX_BODY_BYTES:
                raise httptools.HttpParserError("call too large")
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            log.warning(
                "malformed call; closing the connection", extra={"error": str(exc)}
            )
            if self._transport is not None:
                self._transport.abort()

    def on_url(self, url: bytes) -> None:
        self._path += url

    def on_body(self, body: bytes) -> None:
        self._body_chunks.append(body)

    def on_message_complete(self) -> None:
        path, body = self._path.decode("latin-1"), b"".join(self._body_chunks)
        self._path = b""
        self._body_chunks.clear()
        self._received_bytes = 0
        self._serve(self, path, body)

    def reply(self, status: HTTPStatus, body: bytes) -> None:
        """Send a reply, unless the other host closed the connection."""
        if self._transport is not None and self.is_open:
            head = f"HTTP/1.1 {status.value} {status.phrase}\r\n"
            size = f"Content-Length: {len(body)}\r\n\r\n"
            self._transport.write((head + size).encode() + body)


class HostCallClient:
    """Implements `PeerCallPort`."""

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    async def call(
        self,
        address: str,
        request: Any,
        reply_type: type[Any],
        timeout_s: float,
        fresh: bool = False,
    ) -> Any:
        """Send a message and wait for its reply; raises `PeerCallFailed`."""
        assert dataclasses.is_dataclass(request)
        path = f"/{type(request).__name__}"
        req = HttpRequest("POST", path, msgspec.msgpack.encode(request))
        try:
            reply = await self._http.exchange(address, req, timeout_s, fresh)
        except Refused as exc:
            raise PeerDown(str(exc)) from exc
        except (NotConnected, ExchangeLost) as exc:
            raise PeerCallFailed(str(exc)) from exc
        if reply.status != HTTPStatus.OK:
            raise PeerCallFailed(f"{address}: status {reply.status}")
        try:
            return decode_msgpack(reply.body, reply_type)
        except Malformed as exc:
            raise PeerCallFailed(f"{address}: {exc}") from exc


class HeartbeatSocket(asyncio.DatagramProtocol):
    """Implements `DatagramPort`."""

    def __init__(self) -> None:
        self.on_datagram: Callable[[bytes], None] = lambda payload: None
        self._transport: asyncio.DatagramTransport | None = None

    async def listen(self, address: str) -> None:
        """Bind the socket to `IP:port`; raises `OSError`."""
        ip, port = split_address(address)
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(ip, port)
        )

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass a datagram to `on_datagram`."""
        self.on_datagram(data)

    def error_received(self, exc: Exception) -> None:
        """Log a datagram that could not be sent; heartbeats are sent periodically."""
        log.debug("datagram not sent", extra={"error": str(exc)})

    def send(self, address: tuple[str, int], payload: bytes) -> None:
        """Send one datagram."""
        if self._transport is not None:
            self._transport.sendto(payload, address)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
