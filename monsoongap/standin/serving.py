"""HTTP server of the stand-in, whose handler is a coroutine."""

import asyncio
from collections.abc import Awaitable, Callable
from http.client import responses

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

from monsoongap.transport.http_server import BACKLOG
from monsoongap.util.addresses import split_address
from monsoongap.util.background import BackgroundTasks


class Serving:
    """HTTP server that answers each request from a coroutine."""

    def __init__(
        self, answer: Callable[[HTTPServerRequest], Awaitable[tuple[int, bytes]]]
    ) -> None:
        self._answer = answer
        self._background = BackgroundTasks()
        self._server = HTTPServer(self._handle)

    def listen(self, address: str) -> None:
        """Listen on `IP:port`."""
        listen(self._server, address)

    def close(self) -> None:
        """Stop listening and cancel the requests in progress."""
        self._server.stop()
        self._background.cancel_all()

    def _handle(self, req: HTTPServerRequest) -> None:
        self._background.spawn(self._reply(req), "reply")

    async def _reply(self, req: HTTPServerRequest) -> None:
        status, body = await self._answer(req)
        send_reply(req, status, body, {"Content-Type": "application/json"})


def listen(server: HTTPServer, address: str) -> None:
    """Listen on `IP:port`."""
    ip, port = split_address(address)
    server.listen(port, ip, backlog=BACKLOG)


def send_reply(
    req: HTTPServerRequest,
    status: int,
    body: bytes,
    headers: dict[str, str],
) -> None:
    """Write a complete response; a caller that disconnected is not an error."""
    conn = req.connection
    if conn is None:
        return
    all_headers = HTTPHeaders({"Content-Length": str(len(body)), **headers})
    line = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
    write_future = asyncio.ensure_future(conn.write_headers(line, all_headers, body))
    write_future.add_done_callback(_ignore_write_error)
    conn.finish()


def _ignore_write_error(write_future: "asyncio.Future[None]") -> None:
    if not write_future.cancelled():
        # The caller closed the connection. Retrieving the exception keeps asyncio
        # from logging it.
        write_future.exception()
