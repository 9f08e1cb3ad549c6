"""HTTP server of the stand-in, whose handler is a coroutine."""

from collections.abc import Awaitable, Callable

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerRequest

from monsoongap.transport.http_server import listen, send_reply
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
