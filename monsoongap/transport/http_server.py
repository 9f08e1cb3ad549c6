"""Listening and replying, for all HTTP servers of this process."""

import asyncio
from http.client import responses

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

from monsoongap.util.addresses import split_address

# Connections waiting to be accepted. One that exceeds the backlog is dropped, and its
# client is delayed by seconds.
BACKLOG = 512


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
