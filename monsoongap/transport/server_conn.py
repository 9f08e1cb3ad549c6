"""A client's connection to an HTTP/1.1 listener of this process.

Parsing is that of `httptools`, as in the client (decision 0605).
"""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import cast

from monsoongap.transport.receive_budget import Cause, Holding, Source
from monsoongap.transport.receive_guard import SWEEP_S, ReceiveGuard
from monsoongap.transport.request_receiver import (
    ReceivedRequest,
    RequestLimits,
    RequestReceiver,
    RequestRefused,
)
from monsoongap.transport.responses import encode_head, encode_refusal

# A refused client may still send. Its data is discarded for a while: a connection that
# is closed with unread data is reset, which can discard the response.
LINGER_S = 1.0
LINGER_BYTES = 262_144
# What may wait behind the request that is handled. Above it nothing is read, and a
# client that closes the connection is not noticed before the reply.
MAX_UNREAD_BYTES = 16_384


@dataclass(frozen=True, slots=True)
class Listener:
    """What the connections of one address share.

    `limits` change with the configuration. With `answers_refusals`, a client is told
    why its data was refused.
    """

    handle: Callable[["ServerRequest"], None]
    guard: ReceiveGuard
    source: Source
    limits: Callable[[], RequestLimits]
    answers_refusals: bool
    connections: "set[ServerConnection]" = field(default_factory=set)


@dataclass(slots=True, eq=False)
class ServerRequest:
    """A complete request; `path` has no query, names of `headers` are lower-case.

    `on_disconnect` is called if the client closes the connection before the reply.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    conn: "ServerConnection"
    keeps_alive: bool = True
    on_disconnect: Callable[[], None] = lambda: None

    @property
    def host_name(self) -> str:
        """The Host header without its port, lower-case."""
        return self.headers.get("host", "").partition(":")[0].lower()

    @property
    def is_open(self) -> bool:
        """Whether the client still waits for the reply."""
        return self.conn.waits_for(self)

    def reply(
        self, status: int, body: bytes = b"", headers: Mapping[str, str] | None = None
    ) -> None:
        """Send the response, unless the client closed the connection."""
        self.conn.reply(self, status, body, headers or {})


class ServerConnection(asyncio.Protocol):
    """A client's connection, whose requests are handled one after the other.

    A refusal concerns only unfinished data: a request that was handed on is answered
    before the connection is closed.
    """

    def __init__(self, listener: "Listener") -> None:
        self._listener = listener
        self._guard = listener.guard
        self._transport: asyncio.Transport | None = None
        self._receiver = RequestReceiver(listener.limits)
        self._current: ServerRequest | None = None
        self._current_bytes = 0
        self._is_advancing = False
        self._is_write_paused = False
        self._is_reading = True
        self._was_receiving = False
        # Unfinished data was refused while a request was handled.
        self._closes = False
        self._discarded_bytes = 0
        self.is_refused = False
        self.has_served = False
        self.holding = Holding(listener.source, self._refuse)

    @property
    def is_busy(self) -> bool:
        """Return whether a request waits for its reply."""
        return self._current is not None

    @property
    def _client(self) -> str:
        name = self._transport and self._transport.get_extra_info("peername")
        return str(name[0]) if name else ""

    def waits_for(self, req: ServerRequest) -> bool:
        """Return whether the connection is open and a request has no reply yet."""
        return self._transport is not None and self._current is req

    def close(self) -> None:
        """Close the connection after the data already written was sent."""
        if self._transport:
            self._transport.close()

    def drop(self) -> None:
        """Close the connection at once."""
        self.is_refused = True
        if self._transport:
            self._transport.abort()

    def reply(
        self, req: ServerRequest, status: int, body: bytes, headers: Mapping[str, str]
    ) -> None:
        """Send the response to the current request, and handle the next one."""
        if req is not self._current:
            return
        self._current, self._current_bytes = None, 0
        self.has_served = True
        # What follows has its own time.
        self.holding.began_s = self.holding.received_s = self._guard.now_s
        if self._transport is None or self._transport.is_closing():
            return
        closes = (
            not req.keeps_alive or self._closes or headers.get("Connection") == "close"
        )
        content = b"" if req.method == "HEAD" else body
        head = encode_head(status, headers, len(body), closes)
        self._transport.write(head + content)
        if closes:
            self._transport.close()
        else:
            self._advance()

    def check_time(self, now_s: float) -> None:
        """Refuse a request that takes too long; close an idle connection."""
        if self.is_busy or self.is_refused:
            return
        limits = self._listener.limits()
        # The clock advances by sweeps, so an age may be one sweep too high.
        age_s = now_s - self.holding.began_s - SWEEP_S
        if self._is_write_paused:
            if age_s > limits.idle_s:
                self._guard.count(Cause.UNREAD_REPLY, self.holding.source)
                self.drop()
        elif self._receiver.in_head:
            if age_s > limits.head_s:
                self._refuse(Cause.HEAD_TIME)
        elif self._receiver.in_body:
            transfer_s = self._receiver.body_bytes / limits.min_bytes_per_s
            if age_s > limits.idle_s + transfer_s:
                self._refuse(Cause.BODY_TIME)
        elif age_s > limits.idle_s:
            self._guard.count(Cause.IDLE, self.holding.source)
            self.close()

    def _advance(self) -> None:
        """Handle the requests that are complete, until one waits for its reply."""
        if self._is_advancing:
            return
        self._is_advancing = True
        try:
            while not (self._current or self.is_refused or self._is_write_paused):
                received = self._receiver.next()
                if received is None:
                    break
                self._handle(received)
        except RequestRefused as exc:
            self._refuse(exc.cause)
        finally:
            self._is_advancing = False
        if self._receiver.wants_continue and self._transport is not None:
            self._receiver.wants_continue = False
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._account()

    def _handle(self, received: ReceivedRequest) -> None:
        if self._transport is None or self._transport.is_closing():
            # The reply before it closed the connection.
            self._receiver.discard()
            self.is_refused = True
            return
        self._current_bytes = received.held_bytes
        self._current = ServerRequest(
            received.method,
            received.url.partition(b"?")[0].decode("latin-1"),
            received.headers,
            bytes(received.body),
            self,
            received.keeps_alive,
        )
        self._listener.handle(self._current)

    def _account(self) -> None:
        """Report what the connection holds, and read more unless much waits."""
        receiver = self._receiver
        if receiver.is_idle:
            self._was_receiving = False
            self._read(True)
            self._guard.hold(self.holding, 0, self._current_bytes)
            return
        receives = receiver.in_head or receiver.in_body
        if receives and not self._was_receiving:
            self.holding.began_s = self._guard.now_s
        self._was_receiving = receives
        self._read(receiver.unread_bytes <= MAX_UNREAD_BYTES)
        self._guard.hold(
            self.holding, receiver.held_bytes, self._current_bytes, receiver.left_bytes
        )

    def _refuse(self, cause: Cause) -> None:
        """Refuse unfinished data, and close the connection after the current reply."""
        self._receiver.discard()
        self._guard.count(cause, self.holding.source, self._client)
        self._guard.release(self.holding, self._current_bytes)
        if self._current is not None:
            self._closes = True
            return
        self.is_refused = True
        if self._transport is None or self._transport.is_closing():
            return
        response = encode_refusal(cause) if self._listener.answers_refusals else b""
        if not response:
            self._transport.abort()
            return
        self._read(True)
        self._transport.write(response)
        self._transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_S, self._transport.abort)

    def _discard(self, size: int) -> None:
        self._discarded_bytes += size
        self._read(self._discarded_bytes <= LINGER_BYTES)

    def _read(self, reads: bool) -> None:
        """Read from the socket, or let the client wait."""
        transport = self._transport
        if reads == self._is_reading or transport is None or transport.is_closing():
            return
        self._is_reading = reads
        (transport.resume_reading if reads else transport.pause_reading)()

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to those of the server, if there is room for it."""
        self._transport = cast(asyncio.Transport, transport)
        self._listener.connections.add(self)
        if not self._guard.admit(self):
            self.drop()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the handler of an open request that its client has gone."""
        self._transport = None
        self._listener.connections.discard(self)
        self._receiver.discard()
        self._guard.forget(self)
        if self._current is not None:
            self._current.on_disconnect()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; a request that cannot be read ends the connection."""
        if self.is_refused:
            self._discard(len(data))
            return
        self.holding.received_s = self._guard.now_s
        self._receiver.add(data)
        if self._current is None and not self._is_write_paused:
            self._advance()
        else:
            self._account()

    def pause_writing(self) -> None:
        """Handle no further request while the client does not read its replies."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Handle the requests that have waited."""
        self._is_write_paused = False
        self.holding.began_s = self._guard.now_s
        if not self._is_advancing and self._current is None and not self.is_refused:
            self._advance()
