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
from typing import Any

import msgspec

from monsoongap.coordination.open_call import OpenCall
from monsoongap.coordination.ports import PeerCallFailed, PeerDown
from monsoongap.protocol import messages
from monsoongap.protocol.decoding import Malformed, decode_msgpack
from monsoongap.settings import LimitsSection
from monsoongap.timers import TimerService
from monsoongap.transport.http_client import HttpClient
from monsoongap.transport.http_conn import (
    ExchangeLost,
    HttpRequest,
    NotConnected,
    Refused,
)
from monsoongap.transport.http_server import HttpServer, ServerRequest
from monsoongap.transport.receive_budget import Source
from monsoongap.transport.receive_guard import ReceiveGuard
from monsoongap.transport.request_receiver import RequestLimits
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
    messages.UnownedCall,
    messages.PrepareCall,
    messages.TransferCall,
)
_CALL_TYPES_BY_PATH = {f"/{kind.__name__}": kind for kind in CALL_TYPES}
# A job's payload has up to 65,536 characters; its 280 tasks and their runs add 30 kB.
MAX_BODY_BYTES = LimitsSection().call_bytes
MAX_HEAD_BYTES = 16_384


class HostCallServer:
    """Serves calls from other hosts; `answer` returns the reply to a decoded call.

    The open call that it gets too is closed if its sender closes the connection.
    """

    def __init__(
        self,
        answer: Callable[[Any, OpenCall], Awaitable[Any]],
        timers: TimerService,
        guard: ReceiveGuard | None = None,
    ) -> None:
        self._answer = answer
        self._timers = timers
        self._background = BackgroundTasks()
        guard = guard or ReceiveGuard()
        limits = RequestLimits(MAX_HEAD_BYTES, guard.cfg.call_bytes)
        # A host takes a closed connection for a call that failed, as it does a refusal.
        self._server = HttpServer(
            self._serve, guard, Source.HOSTS, lambda: limits, answers_refusals=False
        )

    async def listen(self, address: str) -> None:
        """Listen for calls on `IP:port`."""
        await self._server.listen(address)

    def close(self) -> None:
        """Stop listening."""
        self._server.stop_listening()

    def _serve(self, req: ServerRequest) -> None:
        self._background.spawn(self._reply(req), "call")

    async def _reply(self, req: ServerRequest) -> None:
        path = req.path
        kind = _CALL_TYPES_BY_PATH.get(path)
        if kind is None:
            req.reply(HTTPStatus.NOT_FOUND, b"no such call")
            return
        await self._timers.read_first()
        if not req.is_open:
            log.info(
                "call was given up while this host was paused; dropping it",
                extra={"call": path},
            )
            return
        try:
            call = decode_msgpack(req.body, kind)
        except Malformed as exc:
            log.warning("malformed call; replying 400", extra={"error": str(exc)})
            req.reply(HTTPStatus.BAD_REQUEST, str(exc).encode())
            return
        open_call = OpenCall()
        req.on_disconnect = open_call.close
        try:
            reply = msgspec.msgpack.encode(await self._answer(call, open_call))
        except Exception:
            log.exception("call failed; replying 500", extra={"call": path})
            req.reply(HTTPStatus.INTERNAL_SERVER_ERROR, b"")
            return
        req.reply(HTTPStatus.OK, reply)


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

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address (`IP:port`)."""
        self._http.forget(address)


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
