"""Serves one worker model over HTTP on an address of its own."""

import asyncio
import logging
from collections.abc import Awaitable
from typing import Any, TypeVar
from urllib.parse import unquote
from weakref import WeakSet

import msgspec
import tornado.web
from tornado.httpserver import HTTPServer
from tornado.iostream import BaseIOStream

from monsoongap.protocol.messages import TaskReport, TaskStart, TaskState
from monsoongap.standin.faults import Die, Silence, WorkerFault, concerns
from monsoongap.standin.http_calls import (
    BAD_REQUEST,
    OK,
    JsonCall,
    listen_on,
    no_access_log,
)
from monsoongap.standin.standing_faults import ReplyDropped
from monsoongap.standin.worker_model import WorkerGone, WorkerModel

log = logging.getLogger(__name__)

MAX_BODY_BYTES = 4_000_000
MAX_WAIT_MS = 600_000
REFUSED = 409

T = TypeVar("T")


class Streams:
    """The open connections of a worker and which of them went silent."""

    def __init__(self) -> None:
        self.open: WeakSet[BaseIOStream] = WeakSet()
        self._silent: WeakSet[BaseIOStream] = WeakSet()
        self._new_too = False

    def note(self, stream: BaseIOStream) -> None:
        """Take note of a connection that carries a request."""
        if stream not in self.open:
            self.open.add(stream)
            if self._new_too:
                self._silent.add(stream)

    def silence(self, new_too: bool) -> None:
        """Make every open connection silent for good."""
        self._silent.update(self.open)
        self._new_too = new_too

    def accept_new(self) -> None:
        """Let new connections work again."""
        self._new_too = False

    def is_silent(self, stream: BaseIOStream) -> bool:
        """Tell whether a connection is silent."""
        return stream in self._silent

    def close(self) -> None:
        """Close every connection, as a dying process does."""
        for stream in list(self.open):
            stream.close()


class _Gone(Exception):
    """The connection is closed or silent: no reply is due."""


class WorkerHandler(JsonCall):
    """What the calls of a worker share: silent connections and lost replies."""

    def initialize(self, model: WorkerModel, streams: Streams) -> None:
        """Keep the model and the connections of this worker."""
        self.model = model
        self.streams = streams
        self.closed: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    async def prepare(self) -> None:
        """Swallow the requests of silent connections before they take effect."""
        self.streams.note(self._stream())
        await self._hang_if_silent()

    def on_connection_close(self) -> None:
        """Release a request that hangs."""
        if not self.closed.done():
            self.closed.set_result(None)

    def compute_etag(self) -> None:
        """Leave out the entity tag: no reply is ever repeated."""

    async def ask(self, call: Awaitable[T]) -> T:
        """Await the model; raises `_Gone` when the reply must not be sent."""
        try:
            reply = await call
        except WorkerGone as exc:
            self._stream().close()
            raise _Gone from exc
        except ReplyDropped as exc:
            if exc.silent:
                await self.closed
            self._stream().close()
            raise _Gone from exc
        await self._hang_if_silent()
        return reply

    def reply_report(self, report: TaskReport) -> None:
        """Answer with a report, as a conflict when it is a refusal."""
        refused = report.state is TaskState.REFUSED
        self.reply(report, REFUSED if refused else OK)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer a faulty request with its reason."""
        exc = (kwargs.get("exc_info") or (None, None, None))[1]
        if isinstance(exc, _Gone):
            return
        reason = getattr(exc, "log_message", None) or self._reason
        self.reply({"error": "bad_request", "detail": reason}, status_code)

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log only what no fault asked for."""
        if not isinstance(value, _Gone):
            super().log_exception(typ, value, tb)

    async def _hang_if_silent(self) -> None:
        if self.streams.is_silent(self._stream()):
            await self.closed
            raise _Gone

    def _stream(self) -> BaseIOStream:
        stream: BaseIOStream = self.request.connection.stream  # type: ignore[union-attr]
        return stream


class TaskHandler(WorkerHandler):
    """`PUT`, `GET` and `DELETE /v1/tasks/{task}`."""

    async def put(self, task: str) -> None:
        """Start a task and answer when it ends or is refused."""
        try:
            start = msgspec.json.decode(self.request.body, type=TaskStart)
        except msgspec.MsgspecError as exc:
            raise tornado.web.HTTPError(BAD_REQUEST, str(exc)) from exc
        if start.task != unquote(task):
            raise tornado.web.HTTPError(BAD_REQUEST, "path and body name two tasks")
        self.reply_report(await self.ask(self.model.start(start)))

    async def get(self, task: str) -> None:
        """Tell a task's state."""
        wait_ms = self.int_argument("wait_ms", 0, MAX_WAIT_MS)
        self.reply_report(await self.ask(self.model.inspect(unquote(task), wait_ms)))

    async def delete(self, task: str) -> None:
        """Cancel a task, or bar its start."""
        fence = self.int_argument("fence", None, 2**63 - 1)
        self.reply_report(await self.ask(self.model.revoke(unquote(task), fence)))


class UsageHandler(WorkerHandler):
    """`GET /v1/usage`."""

    async def get(self) -> None:
        """Tell size, load, boot and clock."""
        self.reply(await self.ask(self.model.usage()))


class WorkerServer:
    """Listens for one worker while its modelled process is alive."""

    def __init__(self, model: WorkerModel, address: str) -> None:
        self.model = model
        self.address = address
        self._streams = Streams()
        parts = {"model": model, "streams": self._streams}
        self._app = tornado.web.Application(
            [
                (r"/v1/tasks/([^/]+)", TaskHandler, parts),
                (r"/v1/usage", UsageHandler, parts),
            ],
            log_function=no_access_log,
        )
        self._server: HTTPServer | None = None

    def listen(self) -> None:
        """Start to listen, unless that is the case already."""
        if self._server is not None:
            return
        self._server = HTTPServer(self._app, max_body_size=MAX_BODY_BYTES)
        listen_on(self._server, self.address)

    def stop(self) -> None:
        """Stop listening; open connections go on."""
        if self._server is not None:
            self._server.stop()
            self._server = None

    def set_faults(self, faults: tuple[WorkerFault, ...]) -> None:
        """Replace the standing faults and carry out the single ones."""
        self._streams.accept_new()
        self.model.set_faults(faults)
        mine = (fault for fault in faults if concerns(fault, self.model.shape.name))
        for fault in mine:
            match fault:
                case Silence(_, new_too):
                    self._streams.silence(new_too)
                case Die(_, restart_s):
                    self._die(restart_s)
                case _:
                    pass

    def _die(self, restart_s: float | None) -> None:
        self.stop()
        self._streams.close()
        log.info("worker died", extra={"upstream": self.model.shape.name})
        if restart_s is not None:
            asyncio.get_running_loop().call_later(restart_s, self.listen)
