"""The HTTP/1.1 server of this process, for callers, operators and the platform.

Parsing is that of `httptools`, as in the client (decision 0605).
"""

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import cast

import httptools

from monsoongap.util.addresses import split_address

log = logging.getLogger(__name__)

# Connections waiting to be accepted. One that exceeds the backlog is dropped, and its
# client is delayed by seconds.
BACKLOG = 512
MAX_HEADER_BYTES = 65_536
MAX_BODY_BYTES = 16_000_000
# Requests of one connection that wait for the reply to an earlier one.
MAX_PIPELINED = 64


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


@dataclass(slots=True)
class _Incoming:
    """The request that is being received."""

    url: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    header_bytes: int = 0
    body: bytearray = field(default_factory=bytearray)


class RequestTooLarge(Exception):
    """The headers, the body or the queue of a connection exceed their limits."""


class ServerConnection(asyncio.Protocol):
    """A client's connection, whose requests are handled one after the other."""

    def __init__(self, server: "HttpServer") -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._incoming = _Incoming()
        self._waiting: deque[ServerRequest] = deque()
        self._current: ServerRequest | None = None
        self._rejected = False

    @property
    def is_busy(self) -> bool:
        """Return whether a request waits for its reply."""
        return self._current is not None

    def waits_for(self, req: ServerRequest) -> bool:
        """Return whether the connection is open and a request has no reply yet."""
        return self._transport is not None and self._current is req

    def close(self) -> None:
        """Close the connection after the data already written was sent."""
        if self._transport is not None:
            self._transport.close()

    def reply(
        self, req: ServerRequest, status: int, body: bytes, headers: Mapping[str, str]
    ) -> None:
        """Send the response to the current request, and handle the next one."""
        if req is not self._current:
            return
        self._current = None
        if self._transport is None or self._transport.is_closing():
            return
        closes = not req.keeps_alive or headers.get("Connection") == "close"
        lines = [f"HTTP/1.1 {status} {_PHRASES.get(status, 'Unknown')}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if closes and "Connection" not in headers:
            lines.append("Connection: close")
        lines.append(f"Content-Length: {len(body)}\r\n\r\n")
        content = b"" if req.method == "HEAD" else body
        self._transport.write("\r\n".join(lines).encode("latin-1") + content)
        if closes:
            self._transport.close()
        elif self._waiting:
            self._handle(self._waiting.popleft())

    def _handle(self, req: ServerRequest) -> None:
        self._current = req
        self._server.handle(req)

    def _reject(self, status: HTTPStatus) -> None:
        """Answer a request that cannot be read, and close the connection."""
        self._rejected = True
        if self._transport is None or self._transport.is_closing():
            return
        if self._current is None:
            head = f"HTTP/1.1 {status.value} {status.phrase}\r\nConnection: close\r\n"
            self._transport.write((head + "Content-Length: 0\r\n\r\n").encode())
        self._transport.close()

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to those of the server."""
        self._transport = cast(asyncio.Transport, transport)
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the handler of an open request that its client has gone."""
        self._transport = None
        self._server.connections.discard(self)
        self._waiting.clear()
        if self._current is not None:
            self._current.on_disconnect()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; a request that cannot be read ends the connection."""
        if self._rejected:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            too_large = isinstance(exc.__context__, RequestTooLarge)
            status = (
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE
                if too_large
                else HTTPStatus.BAD_REQUEST
            )
            log.warning(
                "request cannot be read; closing the connection",
                extra={"status": status.value, "error": repr(exc.__context__ or exc)},
            )
            self._reject(status)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._incoming = _Incoming()

    def on_url(self, url: bytes) -> None:
        """Store part of the target."""
        self._incoming.url += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; a repeated one is joined by commas."""
        self._count_header(len(name) + len(value))
        key, text = name.decode("latin-1").lower(), value.decode("latin-1")
        known = self._incoming.headers.get(key)
        self._incoming.headers[key] = text if known is None else f"{known},{text}"

    def on_headers_complete(self) -> None:
        """Ask for the body if the client waits to be asked."""
        expects = self._incoming.headers.get("expect", "").lower() == "100-continue"
        if expects and self._transport is not None and self._current is None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Store part of the body."""
        self._incoming.body += body
        if len(self._incoming.body) > MAX_BODY_BYTES:
            raise RequestTooLarge

    def on_message_complete(self) -> None:
        """Handle a complete request, or queue it behind an earlier one."""
        incoming = self._incoming
        req = ServerRequest(
            self._parser.get_method().decode("latin-1"),
            incoming.url.partition(b"?")[0].decode("latin-1"),
            incoming.headers,
            bytes(incoming.body),
            self,
            self._parser.should_keep_alive(),
        )
        self._incoming = _Incoming()
        if self._current is None:
            self._handle(req)
        elif len(self._waiting) < MAX_PIPELINED:
            self._waiting.append(req)
        else:
            raise RequestTooLarge

    def _count_header(self, size: int) -> None:
        self._incoming.header_bytes += size
        if self._incoming.header_bytes > MAX_HEADER_BYTES:
            raise RequestTooLarge


class HttpServer:
    """Listens on one address and passes each request to `handle`."""

    def __init__(self, handle: Callable[[ServerRequest], None]) -> None:
        self.handle = handle
        self.connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Listen on `IP:port`; raises `OSError`."""
        ip, port = split_address(address)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: ServerConnection(self), ip, port, backlog=BACKLOG
        )

    def stop_listening(self) -> None:
        """Accept no new connections; open ones stay open."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close the connections on which no request waits for its reply."""
        for conn in [c for c in self.connections if not c.is_busy]:
            conn.close()


_PHRASES = {status.value: status.phrase for status in HTTPStatus}
