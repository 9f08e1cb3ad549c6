"""The HTTP servers for callers and for the platform's readiness check."""

import asyncio
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus

import msgspec

from monsoongap.coordination.host import Host
from monsoongap.errors import ANSWER_RULES, AnswerKind
from monsoongap.metrics import Metrics
from monsoongap.platform import wire
from monsoongap.platform.caller_limits import CallerLimits
from monsoongap.protocol.decoding import DurationMs, Malformed, decode_json
from monsoongap.protocol.messages import JobReply, QueueRule
from monsoongap.transport.http_server import HttpServer, ServerRequest
from monsoongap.transport.receive_budget import Source
from monsoongap.transport.receive_guard import ReceiveGuard
from monsoongap.transport.request_receiver import RequestLimits
from monsoongap.util.background import BackgroundTasks

log = logging.getLogger(__name__)

READY_PATH = "/monsoongap/ready"
# How long the caller waits for the answer, in whole milliseconds since it sent the job.
WAIT_HEADER = "x-monsoongap-deadline-ms"
# A host receives its first configuration within a second of its start.
CONFIG_RETRY_S = 1.0
# A readiness check has no body.
READY_LIMITS = RequestLimits(body_bytes=4096)


@dataclass(slots=True)
class CallerCounts:
    """Counts of the callers' requests, for the metrics."""

    requests: int = 0
    malformed: int = 0
    left_early: int = 0


class Callers:
    """Serves callers' HTTP requests on one address."""

    def __init__(
        self, host: Host, metrics: Metrics, guard: ReceiveGuard | None = None
    ) -> None:
        self._host = host
        self._metrics = metrics
        self.counts = CallerCounts()
        self.open_requests = 0
        self._background = BackgroundTasks()
        guard = guard or ReceiveGuard()
        self._limits = CallerLimits(host, guard)
        self._server = HttpServer(
            self._handle, guard, Source.CALLERS, self._limits.current
        )

    async def listen(self, address: str) -> None:
        """Listen for callers on `address`, an `IP:port`."""
        await self._server.listen(address)

    def stop_listening(self) -> None:
        """Accept no new connections; open ones stay open."""
        self._server.stop_listening()

    def close_idle(self) -> None:
        """Close the connections that have no open request."""
        self._server.close_idle()

    def _handle(self, req: ServerRequest) -> None:
        self.counts.requests += 1
        self.open_requests += 1
        task = self._background.spawn(self._serve(req), "request")
        task.add_done_callback(self._on_request_end)

    def _on_request_end(self, task: "asyncio.Task[None]") -> None:
        self.open_requests -= 1

    async def _serve(self, req: ServerRequest) -> None:
        directory = self._host.directory
        if directory.version == 0:
            refusal = JobReply(
                AnswerKind.REFUSED, "no configuration yet", CONFIG_RETRY_S
            )
            self._answer(req, refusal)
            return
        rule = directory.match(req.host_name, req.path)
        if rule is None:
            self._answer(req, JobReply(AnswerKind.UNKNOWN_QUEUE, "no such queue"))
            return
        id_ = req.path[len(rule.path_prefix) :]
        match (req.method, id_):
            case ("GET", ""):
                pending = self._host.jobs.unstarted(rule.name)
                self._send(req, HTTPStatus.OK, {"pending": pending})
            case ("POST", _):
                await self._submit(req, rule, id_)
            case ("GET" | "DELETE", _):
                # Jobs whose result is the answer to their POST are not kept afterwards.
                self._answer(req, JobReply(AnswerKind.UNKNOWN_JOB, "no such job"))
            case _:
                self._answer(req, JobReply(AnswerKind.MALFORMED, "no such call"))

    async def _submit(self, req: ServerRequest, rule: QueueRule, id_: str) -> None:
        await self._host.timers.read_first()
        if not req.is_open:
            self.counts.left_early += 1
            log.info(
                "caller disconnected while this host was paused; dropping the job",
                extra={"job": id_},
            )
            return
        try:
            if rule.needs_advice:
                raise wire.Unsupported("queues with advice")
            job = wire.decode_job(req.body, id_, rule.name)
        except Malformed as exc:
            self.counts.malformed += 1
            self._answer(req, JobReply(AnswerKind.MALFORMED, str(exc)))
            return
        except wire.Unsupported as exc:
            log.warning(
                "job rejected: it needs an unsupported feature",
                extra={"job": id_, "asked": str(exc)},
            )
            detail = f"not supported: {exc}"
            self._answer(req, JobReply(AnswerKind.UNSUPPORTED, detail))
            return
        answered = False
        task = asyncio.current_task()
        assert task is not None

        def on_disconnect() -> None:
            if not answered:
                # The job must not be submitted to another owner from now on.
                task.cancel()
                self.counts.left_early += 1
                log.info(
                    "caller disconnected before the answer; cancelling the job",
                    extra={"job": id_},
                )
                self._host.cancel(id_)

        req.on_disconnect = on_disconnect
        wait_s = caller_wait_s(req.headers.get(WAIT_HEADER, "0"))
        started_at = self._host.timers.now()
        reply = await self._host.submit(job, wait_s)
        answered = True
        took_s = self._host.timers.now() - started_at
        self._metrics.observe_response(reply.kind.value, took_s)
        self._answer(req, reply)

    def _answer(self, req: ServerRequest, reply: JobReply) -> None:
        match reply.kind:
            case AnswerKind.COMPLETED | AnswerKind.FAILED:
                body = {"state": reply.kind.value}
            case _:
                body = {"error": reply.detail}
        self._send(req, ANSWER_RULES[reply.kind].status, body, reply.retry_after_s)

    def _send(
        self,
        req: ServerRequest,
        status: int,
        body: Mapping[str, object],
        retry_after_s: float = 0.0,
    ) -> None:
        headers = {"Content-Type": "application/json"}
        if retry_after_s > 0:
            headers["Retry-After"] = str(max(1, round(retry_after_s)))
        if self._host.leaving:
            headers["Connection"] = "close"
        req.reply(status, msgspec.json.encode(body), headers)


def caller_wait_s(text: str) -> float:
    """Return how long the caller waits by its header, in seconds; 0 if malformed."""
    try:
        return decode_json(text.encode(), DurationMs) / wire.MS_PER_S
    except Malformed as exc:
        log.info(
            "caller's deadline is malformed; using that of the queue",
            extra={"error": str(exc)},
        )
        return 0.0


class ReadyServer:
    """Reports to the platform whether it may route new connections to this host."""

    def __init__(
        self, ready: Callable[[], bool], guard: ReceiveGuard | None = None
    ) -> None:
        self._ready = ready
        self._server = HttpServer(
            self._handle, guard, Source.READY, lambda: READY_LIMITS
        )

    async def listen(self, address: str) -> None:
        """Listen on `address`, an `IP:port`."""
        await self._server.listen(address)

    def close(self) -> None:
        """Stop listening."""
        self._server.stop_listening()

    def _handle(self, req: ServerRequest) -> None:
        is_ready_path = req.path == READY_PATH
        ready_status = (
            HTTPStatus.OK if self._ready() else HTTPStatus.SERVICE_UNAVAILABLE
        )
        req.reply(ready_status if is_ready_path else HTTPStatus.NOT_FOUND)
