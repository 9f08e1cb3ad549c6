"""The callers' side: their HTTP requests become jobs, answers become responses."""

import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import msgspec
from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerRequest
from tornado.iostream import IOStream

from monsoongap.coordination.fleet.host import Host
from monsoongap.metrics import Metrics
from monsoongap.platform import wire
from monsoongap.protocol.fleet import AnswerKind, JobReply, QueueRule, SubmitCall
from monsoongap.transport.host_calls import send_reply
from monsoongap.util.background import Background

log = logging.getLogger(__name__)

READY_PATH = "/monsoongap/ready"
OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
GONE = 410
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
MAX_HEADER_BYTES = 65_536

# The one table from how a job ended to the status its caller gets.
_STATUS = {
    AnswerKind.COMPLETED: OK,
    AnswerKind.FAILED: OK,
    AnswerKind.REFUSED: UNAVAILABLE,
    AnswerKind.UNKNOWN_QUEUE: NOT_FOUND,
    AnswerKind.UNSUPPORTED: UNAVAILABLE,
    AnswerKind.BROKEN: GATEWAY_TIMEOUT,
    AnswerKind.HANDED_ON: GATEWAY_TIMEOUT,
}


@dataclass(slots=True)
class CallerCounts:
    """Requests of callers, for the metrics."""

    requests: int = 0
    malformed: int = 0
    left_early: int = 0


class Callers:
    """Serves callers on one address."""

    def __init__(self, host: Host, metrics: Metrics) -> None:
        self._host = host
        self._metrics = metrics
        self.counts = CallerCounts()
        self.open_requests = 0
        self._background = Background()
        self._busy: set[IOStream] = set()
        self._server = TrackingServer(self._handle, max_header_size=MAX_HEADER_BYTES)

    def listen(self, address: str) -> None:
        """Listen for callers on `IP:port`."""
        _listen(self._server, address)

    def stop_listening(self) -> None:
        """Take no new connections; open ones go on."""
        self._server.stop()

    def close_idle(self) -> None:
        """Close the connections on which no request is under way."""
        for stream in self._server.streams - self._busy:
            stream.close()

    def _handle(self, req: HTTPServerRequest) -> None:
        self.counts.requests += 1
        self.open_requests += 1
        conn = req.connection
        stream = conn.stream if isinstance(conn, HTTP1Connection) else None
        if stream is not None:
            self._busy.add(stream)
        task = self._background.spawn(self._serve(req), "request")
        task.add_done_callback(lambda _: self._ended(stream))

    def _ended(self, stream: IOStream | None) -> None:
        self.open_requests -= 1
        if stream is not None:
            self._busy.discard(stream)

    async def _serve(self, req: HTTPServerRequest) -> None:
        directory = self._host.directory
        if directory.version == 0:
            self._reply(req, UNAVAILABLE, {"error": "no configuration yet"}, 1.0)
            return
        rule = directory.match(req.host_name, req.path)
        if rule is None:
            self._reply(req, NOT_FOUND, {"error": "no such queue"})
            return
        id_ = req.path[len(rule.path_prefix) :]
        match (req.method, id_):
            case ("GET", ""):
                self._reply(req, OK, {"pending": self._host.jobs.untouched(rule.name)})
            case ("POST", _):
                await self._submit(req, rule, id_)
            case ("GET" | "DELETE", _):
                # Jobs whose answer is their result are not kept to be asked for.
                self._reply(req, GONE, {"error": "no such job"})
            case _:
                self._reply(req, BAD_REQUEST, {"error": "no such call"})

    async def _submit(self, req: HTTPServerRequest, rule: QueueRule, id_: str) -> None:
        try:
            if rule.needs_advice:
                raise wire.Unsupported("queues with advice")
            job = wire.decode_job(req.body, id_, rule.name)
        except wire.Malformed as exc:
            self.counts.malformed += 1
            self._reply(req, BAD_REQUEST, {"error": str(exc)})
            return
        except wire.Unsupported as exc:
            log.warning("job not supported", extra={"job": id_, "asked": str(exc)})
            self._reply(req, UNAVAILABLE, {"error": f"not supported: {exc}"})
            return
        done = False

        def left() -> None:
            if not done:
                self.counts.left_early += 1
                log.info("caller left", extra={"job": id_})
                self._host.cancel(id_)

        conn = req.connection
        if isinstance(conn, HTTP1Connection):
            conn.set_close_callback(left)
        host = self._host
        share = host.ownership.home_share(job.id)
        call = SubmitCall(job, host.card.name, host.directory.version, share)
        began = self._host.timers.now()
        reply = await self._host.submit(call)
        done = True
        took_s = self._host.timers.now() - began
        self._metrics.observe_response(reply.kind.value, took_s)
        self._answer(req, reply)

    def _answer(self, req: HTTPServerRequest, reply: JobReply) -> None:
        match reply.kind:
            case AnswerKind.COMPLETED | AnswerKind.FAILED:
                body = {"state": reply.kind.value}
            case _:
                body = {"error": reply.detail}
        self._reply(req, _STATUS[reply.kind], body, reply.retry_after_s)

    def _reply(
        self,
        req: HTTPServerRequest,
        status: int,
        body: Mapping[str, object],
        retry_after_s: float = 0.0,
    ) -> None:
        headers = {"Content-Type": "application/json"}
        if retry_after_s > 0:
            headers["Retry-After"] = str(max(1, round(retry_after_s)))
        if self._host.leaving:
            headers["Connection"] = "close"
        send_reply(req, status, msgspec.json.encode(body), headers)


class TrackingServer(HTTPServer):
    """An HTTP server that knows its open connections."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Begin without connections."""
        super().initialize(*args, **kwargs)
        self.streams: set[IOStream] = set()

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Take note of a connection until it is closed."""
        self.streams.add(stream)
        super().handle_stream(stream, address)

    def on_close(self, server_conn: object) -> None:
        """Forget closed connections."""
        self.streams = {stream for stream in self.streams if not stream.closed()}
        super().on_close(server_conn)


class MetricsServer:
    """Serves the metrics as text to whoever scrapes them."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._server = HTTPServer(self._handle)

    def listen(self, address: str) -> None:
        """Listen on `IP:port`."""
        _listen(self._server, address)

    def close(self) -> None:
        """Stop listening."""
        self._server.stop()

    def _handle(self, req: HTTPServerRequest) -> None:
        accepts = req.headers.get_list("Accept")
        content, headers = self._metrics.render(accepts)
        send_reply(req, OK, content, headers)


class ReadyServer:
    """Tells the platform whether new connections should come here."""

    def __init__(self, ready: Callable[[], bool]) -> None:
        self._ready = ready
        self._server = HTTPServer(self._handle)

    def listen(self, address: str) -> None:
        """Listen on `IP:port`."""
        _listen(self._server, address)

    def close(self) -> None:
        """Stop listening."""
        self._server.stop()

    def _handle(self, req: HTTPServerRequest) -> None:
        if req.path != READY_PATH:
            send_reply(req, NOT_FOUND, b"", {})
            return
        send_reply(req, OK if self._ready() else UNAVAILABLE, b"", {})


def _listen(server: HTTPServer, address: str) -> None:
    ip, _, port = address.rpartition(":")
    server.listen(int(port), ip)
