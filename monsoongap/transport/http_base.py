"""What every HTTP handler of the entry daemon shares: bodies, errors, limits."""

import asyncio
import logging
import ssl
from typing import Any, TypeVar

import msgspec
import tornado.web
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders
from tornado.iostream import IOStream

from monsoongap.coordination.parts import DrainState
from monsoongap.errors import ANSWERS, DispatchError, ErrorKind
from monsoongap.protocol.messages import JobError
from monsoongap.settings import LimitsSection

log = logging.getLogger(__name__)

MS_PER_S = 1000
HEADER_SLACK = 4
HEADER_OVERHEAD_BYTES = 4
BodyT = TypeVar("BodyT")


def job_error(exc: DispatchError, submission: str | None = None) -> JobError:
    """Return the body of the answer for a failed request."""
    return JobError(
        error=exc.kind,
        outcome=exc.outcome,
        detail=exc.detail,
        retry_after_ms=exc.retry_after_ms,
        submission=submission,
    )


@tornado.web.stream_request_body
class JsonHandler(tornado.web.RequestHandler):
    """Reads a bounded body and answers every failure from the error table.

    The body is read as a stream, so a body over the limit or one that stops half
    way is answered instead of being dropped with its connection.
    """

    def initialize(
        self, limits: LimitsSection, drain: DrainState | None = None, **parts: Any
    ) -> None:
        """Keep the limits; subclasses take their parts by keyword.

        While `drain` tells that the host leaves, each answer closes its connection,
        so that callers which keep connections open move on.
        """
        self.limits = limits
        self._drain = drain
        for name, part in parts.items():
            setattr(self, name, part)
        self._chunks: list[bytes] = []
        self._received = 0
        self._body_timer: asyncio.TimerHandle | None = None

    def prepare(self) -> None:
        """Refuse headers or a declared body over the limits; time the body."""
        if _header_bytes(self.request.headers) > self.limits.header_bytes:
            self._refuse_body(
                ErrorKind.TOO_LARGE, f"headers over {self.limits.header_bytes} bytes"
            )
            return
        declared = self.request.headers.get("Content-Length", "0")
        if declared.isdigit() and int(declared) > self.limits.body_bytes:
            self._refuse_body(
                ErrorKind.TOO_LARGE, f"body over {self.limits.body_bytes} bytes"
            )
            return
        loop = asyncio.get_running_loop()
        self._body_timer = loop.call_later(self.limits.body_timeout_s, self._body_late)

    def data_received(self, chunk: bytes) -> None:
        """Gather the body, refusing it once it passes the limit."""
        if self._finished:
            return
        self._received += len(chunk)
        if self._received > self.limits.body_bytes:
            self._refuse_body(
                ErrorKind.TOO_LARGE, f"body over {self.limits.body_bytes} bytes"
            )
            return
        self._chunks.append(chunk)

    def body_as(self, kind: type[BodyT]) -> BodyT:
        """Decode the whole body; raises `DispatchError` with `bad_request`."""
        self._stop_body_timer()
        try:
            return msgspec.json.decode(b"".join(self._chunks), type=kind)
        except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
            raise DispatchError(ErrorKind.BAD_REQUEST, str(exc)) from exc

    def bearer_token(self) -> str | None:
        """Return the token of the Authorization header, or None."""
        scheme, _, token = self.request.headers.get("Authorization", "").partition(" ")
        return token.strip() if scheme.lower() == "bearer" and token else None

    def reply(self, body: Any, status: int = 200) -> None:
        """Answer with a data class as JSON."""
        self._stop_body_timer()
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        if self._drain is not None and self._drain.draining:
            self.set_header("Connection", "close")
        self.finish(msgspec.json.encode(body))

    def reply_error(self, error: JobError) -> None:
        """Answer with an error of the closed list."""
        if error.retry_after_ms is not None:
            seconds = max(1, -(-error.retry_after_ms // MS_PER_S))
            self.set_header("Retry-After", str(seconds))
        self.reply(error, ANSWERS[ErrorKind(error.error)].status)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Turn any exception of a handler into an answer of the error table."""
        exc = (kwargs.get("exc_info") or (None, None, None))[1]
        match exc:
            case DispatchError():
                self.reply_error(job_error(exc))
            case tornado.web.HTTPError(status_code=404):
                self._reply_kind(ErrorKind.NOT_FOUND, "no such path")
            case tornado.web.HTTPError():
                detail = exc.log_message or exc.reason or "refused"
                self._reply_kind(ErrorKind.BAD_REQUEST, detail)
            case _:
                self._reply_kind(ErrorKind.INTERNAL, "internal error, see the log")

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log only what is not an ordinary refusal."""
        if not isinstance(value, DispatchError | tornado.web.HTTPError):
            log.error("request failed", exc_info=(typ, value, tb))

    def on_finish(self) -> None:
        """Stop the body timer."""
        self._stop_body_timer()

    def on_connection_close(self) -> None:
        """Stop the body timer of a caller that is gone."""
        self._stop_body_timer()

    def _reply_kind(self, kind: ErrorKind, detail: str) -> None:
        self.reply_error(job_error(DispatchError(kind, detail)))

    def _refuse_body(self, kind: ErrorKind, detail: str) -> None:
        """Answer and close: the rest of the body is not worth reading."""
        self.set_header("Connection", "close")
        self._reply_kind(kind, detail)

    def _body_late(self) -> None:
        if not self._finished:
            self._refuse_body(
                ErrorKind.REQUEST_TIMEOUT,
                f"body not received in {self.limits.body_timeout_s} s",
            )

    def _stop_body_timer(self) -> None:
        if self._body_timer is not None:
            self._body_timer.cancel()
            self._body_timer = None


class NotFoundHandler(JsonHandler):
    """Answers unknown paths in the form of every other error."""

    def prepare(self) -> None:
        """Refuse whatever the method."""
        raise DispatchError(ErrorKind.NOT_FOUND, "no such path")


class LimitedServer(HTTPServer):
    """An HTTP server that refuses connections over its limit with an answer."""

    connection_limit = 1
    open_count = 0

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve a connection, or refuse it when too many are open."""
        if self.open_count >= self.connection_limit:
            _refuse(stream, self.connection_limit)
            return
        self.open_count += 1
        super().handle_stream(stream, address)

    def on_close(self, server_conn: object) -> None:
        """Count a closed connection."""
        self.open_count -= 1
        super().on_close(server_conn)


def listen(
    app: tornado.web.Application,
    address: str,
    limits: LimitsSection,
    tls: ssl.SSLContext | None = None,
) -> LimitedServer:
    """Serve `app` on `address` (`IP:port`) within the limits."""
    server = LimitedServer(
        app,
        ssl_options=tls,
        # The handler answers what is over the limit; beyond this tornado hangs up.
        max_header_size=limits.header_bytes * HEADER_SLACK,
        max_body_size=limits.body_bytes * 2,
        idle_connection_timeout=limits.idle_s,
    )
    server.connection_limit = limits.connections
    host, _, port = address.rpartition(":")
    server.listen(int(port), host.strip("[]"))
    return server


def _header_bytes(headers: HTTPHeaders) -> int:
    """Return the size of a request's headers as they were sent."""
    return sum(
        len(name) + len(value) + HEADER_OVERHEAD_BYTES
        for name, value in headers.get_all()
    )


def _refuse(stream: IOStream, limit: int) -> None:
    """Write one refusal to a connection that is over the limit and close it."""
    detail = f"over {limit} connections"
    body = msgspec.json.encode(job_error(DispatchError(ErrorKind.OVERLOADED, detail)))
    head = (
        "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    written = asyncio.ensure_future(stream.write(head.encode() + body))

    def close(done: asyncio.Future[None]) -> None:
        done.exception()  # A caller that is gone already is no fault.
        stream.close()

    written.add_done_callback(close)
