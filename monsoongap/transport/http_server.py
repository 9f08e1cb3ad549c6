"""What every HTTP server of this process shares: listening and replying."""

import asyncio
from http.client import responses

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

from monsoongap.util.addresses import split_address

# New connections that wait to be taken; one that finds no place is lost for seconds.
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
    """Write a whole response and finish it; a caller that left is no fault."""
    conn = req.connection
    if conn is None:
        return
    all_headers = HTTPHeaders({"Content-Length": str(len(body)), **headers})
    line = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
    written = asyncio.ensure_future(conn.write_headers(line, all_headers, body))
    written.add_done_callback(_ignore_closed)
    conn.finish()


def _ignore_closed(done: "asyncio.Future[None]") -> None:
    if not done.cancelled():
        # The caller's connection is closed: nobody is left to be told.
        done.exception()
