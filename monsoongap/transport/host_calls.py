"""Calls and heartbeats between entry hosts.

A call is an HTTP POST whose path names the message's type and whose body is
MessagePack of the same data classes that the rest of the code uses. Heartbeats are
datagrams. Decision 0602 tells why this is not gRPC.
"""

import asyncio
import dataclasses
import logging
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerRequest

from monsoongap.coordination.ports import PeerGone, PeerLost
from monsoongap.protocol import messages
from monsoongap.transport.http_client import HttpClient
from monsoongap.transport.http_conn import (
    ExchangeLost,
    HttpRequest,
    NotConnected,
    Refused,
)
from monsoongap.transport.http_server import listen, send_reply
from monsoongap.util.background import Background

log = logging.getLogger(__name__)

CALL_TYPES = (
    messages.SubmitCall,
    messages.LendCall,
    messages.CancelCall,
    messages.FindCall,
    messages.ConfigCall,
    messages.RunnersCall,
)
_DECODERS = {f"/{kind.__name__}": msgspec.msgpack.Decoder(kind) for kind in CALL_TYPES}
OK = 200
BAD_REQUEST = 400
FAILED = 500
MAX_BODY_BYTES = 16_000_000


class HostCallServer:
    """Answers calls of other hosts."""

    def __init__(self, answer: Callable[[Any], Awaitable[Any]]) -> None:
        self._answer = answer
        self._background = Background()
        self._server = HTTPServer(
            self._handle, max_body_size=MAX_BODY_BYTES, max_buffer_size=MAX_BODY_BYTES
        )

    def listen(self, address: str) -> None:
        """Listen for calls on `IP:port`."""
        listen(self._server, address)

    def close(self) -> None:
        """Take no more calls."""
        self._server.stop()

    def _handle(self, req: HTTPServerRequest) -> None:
        self._background.spawn(self._serve(req), "call")

    async def _serve(self, req: HTTPServerRequest) -> None:
        decoder = _DECODERS.get(req.path)
        if decoder is None:
            send_reply(req, BAD_REQUEST, b"no such call", {})
            return
        try:
            call = decoder.decode(req.body)
        except msgspec.MsgspecError as exc:
            log.warning("call not understood", extra={"error": str(exc)})
            send_reply(req, BAD_REQUEST, str(exc).encode(), {})
            return
        try:
            reply = await self._answer(call)
        except Exception:
            log.exception("call failed", extra={"call": req.path})
            send_reply(req, FAILED, b"", {})
            return
        send_reply(req, OK, msgspec.msgpack.encode(reply), {})


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
        """Send a message and wait for its reply; raises `PeerLost`."""
        assert dataclasses.is_dataclass(request)
        path = f"/{type(request).__name__}"
        req = HttpRequest("POST", path, msgspec.msgpack.encode(request))
        try:
            reply = await self._http.exchange(address, req, timeout_s, fresh)
        except Refused as exc:
            raise PeerGone(str(exc)) from exc
        except (NotConnected, ExchangeLost) as exc:
            raise PeerLost(str(exc)) from exc
        if reply.status != OK:
            raise PeerLost(f"{address}: status {reply.status}")
        try:
            return msgspec.msgpack.decode(reply.body, type=reply_type)
        except msgspec.MsgspecError as exc:
            raise PeerLost(f"{address}: {exc}") from exc


class HeartbeatSocket(asyncio.DatagramProtocol):
    """Implements `DatagramPort`."""

    def __init__(self) -> None:
        self.on_datagram: Callable[[bytes], None] = lambda payload: None
        self._transport: asyncio.DatagramTransport | None = None

    async def listen(self, address: str) -> None:
        """Bind the socket to `IP:port`."""
        ip, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(ip, int(port))
        )

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass a datagram on."""
        self.on_datagram(data)

    def error_received(self, exc: Exception) -> None:
        """Take note of a datagram that could not be sent; beats are repeated."""
        log.debug("datagram not sent", extra={"error": str(exc)})

    def send(self, address: tuple[str, int], payload: bytes) -> None:
        """Send one datagram."""
        if self._transport is not None:
            self._transport.sendto(payload, address)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
