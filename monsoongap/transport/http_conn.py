"""One HTTP/1.1 client connection that is kept alive between exchanges.

`tornado.simple_httpclient` opens a connection per request, so the project drives
`HTTP1Connection` over its own stream. A connection carries one exchange at a
time; its owner is the single task that uses it.
"""

import asyncio
import socket
import struct
from dataclasses import dataclass

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

MAX_REPLY_BYTES = 8_000_000
# The two integers of SO_LINGER: on, for no time.
DROP_UNSENT = struct.pack("ii", 1, 0)
# A connection that went silent is found within some 3 s while idle, and while data
# waits to be acknowledged, so that it is not taken for the next exchange.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
UNACKNOWLEDGED_MS = 1500


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request to send. `path` starts with a slash and is already encoded.

    `headers` are sent beside Content-Length and Content-Type; a Host among them
    takes the place of the address.
    """

    method: str
    path: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A complete reply."""

    status: int
    body: bytes


class NotConnected(Exception):
    """The connection could not be opened: nothing was sent."""


class Refused(NotConnected):
    """Nothing listens at the address."""


class ExchangeLost(Exception):
    """The request was sent, or may have been, and no whole reply came."""


class _Collector(HTTPMessageDelegate):
    """Gathers the parts of one reply."""

    def __init__(self) -> None:
        self.status = 0
        self.chunks: list[bytes] = []
        self.complete = False

    def headers_received(self, start_line: object, headers: HTTPHeaders) -> None:
        if isinstance(start_line, ResponseStartLine):
            self.status = start_line.code

    def data_received(self, chunk: bytes) -> None:
        self.chunks.append(chunk)

    def finish(self) -> None:
        self.complete = True

    def on_connection_close(self) -> None:
        self.complete = False


class KeepAliveConnection:
    """A connection to one address (`IP:port`)."""

    def __init__(self, stream: IOStream, address: str) -> None:
        self._stream = stream
        self._address = address
        params = HTTP1ConnectionParameters(
            no_keep_alive=False, max_body_size=MAX_REPLY_BYTES
        )
        self._http = HTTP1Connection(stream, True, params)

    @classmethod
    async def open(cls, address: str, timeout_s: float) -> "KeepAliveConnection":
        """Connect to `address`; raises `NotConnected`."""
        host, _, port = address.rpartition(":")
        host = host.strip("[]")
        try:
            async with asyncio.timeout(timeout_s):
                stream = await TCPClient().connect(host, int(port))
        except ConnectionRefusedError as exc:
            raise Refused(f"{address}: connection refused") from exc
        except (OSError, TimeoutError, StreamClosedError, ValueError) as exc:
            if isinstance(getattr(exc, "real_error", None), ConnectionRefusedError):
                raise Refused(f"{address}: connection refused") from exc
            raise NotConnected(f"{address}: {exc or type(exc).__name__}") from exc
        stream.set_nodelay(True)
        _enable_tcp_keepalive(stream.socket)
        return cls(stream, address)

    @property
    def closed(self) -> bool:
        """Tell whether the connection is of no more use."""
        return self._stream.closed()

    def close(self) -> None:
        """Close the connection at once."""
        self._stream.close()

    def abort(self) -> None:
        """Close the connection and drop what was sent and has not arrived yet."""
        if not self._stream.closed():
            sock = self._stream.socket
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, DROP_UNSENT)
        self._stream.close()

    async def exchange(self, req: HttpRequest, timeout_s: float | None) -> HttpReply:
        """Send a request and read the whole reply; raises `ExchangeLost`.

        Without `timeout_s` it waits until the reply or a cancellation. A failed,
        cancelled or late exchange closes the connection, so that its reply can
        never be taken for the reply of a later request.
        """
        collector = _Collector()
        try:
            if timeout_s is None:
                reusable = await self._send_and_read(req, collector)
            else:
                async with asyncio.timeout(timeout_s):
                    reusable = await self._send_and_read(req, collector)
        except (StreamClosedError, OSError) as exc:
            self.abort()
            raise ExchangeLost(f"{self._address}: connection closed") from exc
        except TimeoutError as exc:
            self.abort()
            raise ExchangeLost(f"{self._address}: no reply in {timeout_s} s") from exc
        except Exception as exc:
            # The library has faults of its own for connections that break half way.
            self.abort()
            raise ExchangeLost(f"{self._address}: {exc!r}") from exc
        except BaseException:
            self.abort()
            raise
        if not collector.complete:
            self.abort()
            raise ExchangeLost(f"{self._address}: reply cut short")
        if not reusable:
            self.close()
        return HttpReply(collector.status, b"".join(collector.chunks))

    async def _send_and_read(self, req: HttpRequest, collector: _Collector) -> bool:
        """Tell whether the connection can carry another exchange."""
        headers = HTTPHeaders()
        headers.add("Content-Length", str(len(req.body)))
        if req.body:
            headers.add("Content-Type", "application/json")
        for name, value in req.headers:
            headers.add(name, value)
        if "Host" not in headers:
            headers.add("Host", self._address)
        line = RequestStartLine(req.method, req.path, "HTTP/1.1")
        await self._http.write_headers(line, headers, req.body)
        self._http.finish()
        return await self._http.read_response(collector)


def _enable_tcp_keepalive(sock: socket.socket) -> None:
    """Let the kernel find a peer that is gone, at no cost in messages."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
