"""What every HTTP call of the stand-in shares."""

from typing import Any

import msgspec
import tornado.web
from tornado.httpserver import HTTPServer

OK = 200
BAD_REQUEST = 400


class JsonCall(tornado.web.RequestHandler):
    """A call with whole numbers in its query and a JSON reply."""

    def int_argument(self, name: str, default: int | None, most: int) -> int:
        """Return a whole number of the query; raises `HTTPError` 400."""
        given = "" if default is None else str(default)
        text = self.get_query_argument(name, given) or ""
        if not text.isdigit() or int(text) > most:
            raise tornado.web.HTTPError(
                BAD_REQUEST, f"{name} must be a whole number from 0 to {most}"
            )
        return int(text)

    def reply(self, body: Any, status: int = OK) -> None:
        """Answer with a data class as JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))


def listen_on(server: HTTPServer, address: str) -> None:
    """Bind a server to `address` (`IP:port`)."""
    host, _, port = address.rpartition(":")
    server.listen(int(port), host.strip("[]"))


def no_access_log(handler: tornado.web.RequestHandler) -> None:
    """Write no line per request."""
