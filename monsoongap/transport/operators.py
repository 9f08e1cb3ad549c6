"""The operators' HTTP API: metrics, host status, and jobs in the product's own format.

Serves `GET /metrics`, `GET /v1/status`, `GET /v1/config`, `PUT /v1/jobs/ID` and
`DELETE /v1/jobs/ID` on a separate address, so that operators have access when callers
overload the host.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from monsoongap.coordination.host import Host
from monsoongap.errors import ANSWER_RULES, AnswerKind
from monsoongap.metrics import Metrics
from monsoongap.protocol.decoding import (
    Amount,
    DurationMs,
    Malformed,
    Text,
    decode_json,
)
from monsoongap.protocol.messages import (
    MAX_TASKS,
    Job,
    JobReply,
    Resources,
    Step,
    TaskCount,
    is_job_id,
)
from monsoongap.transport.http_server import HttpServer, ServerRequest
from monsoongap.transport.receive_budget import Source
from monsoongap.transport.receive_guard import ReceiveGuard
from monsoongap.transport.request_receiver import RequestLimits
from monsoongap.util.background import BackgroundTasks

log = logging.getLogger(__name__)

JOBS_PATH = "/v1/jobs/"
STATUS_PATH = "/v1/status"
METRICS_PATH = "/metrics"
CONFIG_PATH = "/v1/config"
NO_JOB_ID = "the job's id is not 16 hexadecimal digits"


@dataclass(frozen=True, slots=True)
class StepBody:
    """A step in the body of a job; see `monsoongap.protocol.messages.Step`."""

    count: Annotated[int, Meta(ge=1, le=MAX_TASKS)]
    cpu_milli: Amount = 0
    mem_mb: Amount = 0
    accelerators: Amount = 0
    estimate_ms: DurationMs = 0.0
    after: tuple[TaskCount, ...] = ()
    near_rack: Text = ""
    label: Text = ""
    most_per_runner: Amount = 0


@dataclass(frozen=True, slots=True)
class JobBody:
    """A job to submit: its queue, the payload of its tasks, and its steps."""

    queue: Text
    payload: str
    steps: tuple[StepBody, ...]


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """The answer to a submitted job; `promise` is what the caller may rely on."""

    outcome: str
    promise: str
    detail: str = ""
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CancelAnswer:
    """The answer to a cancellation; `told` says that the job's owner is notified."""

    job: str
    told: bool = field(default=True)


class OperatorServer:
    """Serves the operators' API on one address."""

    def __init__(
        self,
        host: Host,
        metrics: Metrics,
        status: Callable[[], Any],
        guard: ReceiveGuard | None = None,
    ) -> None:
        self._host = host
        self._metrics = metrics
        self._status = status
        self._background = BackgroundTasks()
        guard = guard or ReceiveGuard()
        limits = RequestLimits(body_bytes=guard.cfg.operator_bytes)
        self._server = HttpServer(self._handle, guard, Source.OPERATORS, lambda: limits)

    async def listen(self, address: str) -> None:
        """Listen on `IP:port`; raises `OSError`."""
        await self._server.listen(address)

    def close(self) -> None:
        """Stop listening."""
        self._server.stop_listening()

    def _handle(self, req: ServerRequest) -> None:
        match (req.method, req.path):
            case ("GET", path) if path == METRICS_PATH:
                content, headers = self._metrics.render()
                req.reply(HTTPStatus.OK, content, headers)
            case ("GET", path) if path == STATUS_PATH:
                _send_json(req, HTTPStatus.OK, self._status())
            case ("GET", path) if path == CONFIG_PATH:
                text = self._host.directory.text
                status = HTTPStatus.OK if text else HTTPStatus.NOT_FOUND
                req.reply(status, text, {"Content-Type": "application/json"})
            case ("PUT", path) if path.startswith(JOBS_PATH):
                self._background.spawn(self._submit(req), "operator's job")
            case ("DELETE", path) if path.startswith(JOBS_PATH):
                self._cancel(req, path.removeprefix(JOBS_PATH))
            case _:
                _send_answer(req, JobReply(AnswerKind.MALFORMED, "no such call"))

    def _cancel(self, req: ServerRequest, job_id: str) -> None:
        if not is_job_id(job_id):
            _send_answer(req, JobReply(AnswerKind.MALFORMED, NO_JOB_ID))
            return
        self._host.cancel(job_id)
        _send_json(req, HTTPStatus.OK, CancelAnswer(job_id))

    async def _submit(self, req: ServerRequest) -> None:
        try:
            job = decode_job(req.body, req.path.removeprefix(JOBS_PATH))
        except Malformed as exc:
            _send_answer(req, JobReply(AnswerKind.MALFORMED, str(exc)))
            return
        _send_answer(req, await self._host.submit(job))


def decode_job(body: bytes, job_id: str) -> Job:
    """Decode a job in the product's own format; raises `Malformed`."""
    if not is_job_id(job_id):
        raise Malformed(NO_JOB_ID)
    job_body = decode_json(body, JobBody)
    if not 0 < sum(step.count for step in job_body.steps) <= MAX_TASKS:
        raise Malformed(f"a job has 1 to {MAX_TASKS} tasks")
    for number, step in enumerate(job_body.steps):
        if any(not 0 <= dependency < number for dependency in step.after):
            raise Malformed(
                f"step {number} depends on a step that is not an earlier one"
            )
    return Job(
        job_id,
        job_body.queue,
        job_body.payload,
        tuple(_step(s) for s in job_body.steps),
    )


def _step(step_body: StepBody) -> Step:
    return Step(
        step_body.count,
        Resources(step_body.cpu_milli, step_body.mem_mb, step_body.accelerators),
        step_body.estimate_ms / 1000,
        step_body.after,
        step_body.near_rack,
        step_body.label,
        step_body.most_per_runner,
    )


def _send_answer(req: ServerRequest, reply: JobReply) -> None:
    rule = ANSWER_RULES[reply.kind]
    answer = JobAnswer(
        reply.kind.value, rule.promise.value, reply.detail, reply.retry_after_s
    )
    _send_json(req, rule.status, answer)


def _send_json(req: ServerRequest, status: int, body: Any) -> None:
    headers = {"Content-Type": "application/json"}
    req.reply(status, msgspec.json.encode(body), headers)
