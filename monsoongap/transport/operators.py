"""The operators' side: metrics, the host's state, and jobs in the product's own form.

`GET /metrics`, `GET /v1/status`, `PUT /v1/jobs/ID` and `DELETE /v1/jobs/ID`, served on
an address of their own, so that a flood of callers does not shut operators out.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Annotated, Any

import msgspec
from msgspec import Meta
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerRequest

from monsoongap.coordination.host import Host
from monsoongap.errors import ANSWER_RULES, AnswerKind
from monsoongap.metrics import Metrics
from monsoongap.protocol.messages import (
    MAX_TASKS,
    Job,
    JobReply,
    Resources,
    Step,
    is_job_id,
)
from monsoongap.transport.http_server import listen, send_reply
from monsoongap.util.background import BackgroundTasks

log = logging.getLogger(__name__)

JOBS_PATH = "/v1/jobs/"
STATUS_PATH = "/v1/status"
METRICS_PATH = "/metrics"

Amount = Annotated[int, Meta(ge=0)]


@dataclass(frozen=True, slots=True)
class StepBody:
    """Tasks of one size in a job's body; see `monsoongap.protocol.messages.Step`."""

    count: Annotated[int, Meta(ge=1, le=MAX_TASKS)]
    cpu_milli: Amount = 0
    mem_mb: Amount = 0
    accelerators: Amount = 0
    estimate_ms: Annotated[float, Meta(ge=0)] = 0.0
    after: tuple[int, ...] = ()
    near_rack: str = ""
    label: str = ""
    most_per_runner: Amount = 0


@dataclass(frozen=True, slots=True)
class JobBody:
    """A job to submit: its queue, what its tasks get, and its steps."""

    queue: str
    payload: str
    steps: tuple[StepBody, ...]


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """The answer to a job; `promise` is what the caller may rely on."""

    outcome: str
    promise: str
    detail: str = ""
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CancelAnswer:
    """The answer to a cancellation, which is passed on to the job's owner."""

    job: str
    told: bool = field(default=True)


class OperatorServer:
    """Serves operators on one address."""

    def __init__(self, host: Host, metrics: Metrics, status: Callable[[], Any]) -> None:
        self._host = host
        self._metrics = metrics
        self._status = status
        self._background = BackgroundTasks()
        self._server = HTTPServer(self._handle)

    def listen(self, address: str) -> None:
        """Listen on `IP:port`."""
        listen(self._server, address)

    def close(self) -> None:
        """Stop listening."""
        self._server.stop()

    def _handle(self, req: HTTPServerRequest) -> None:
        match (req.method, req.path):
            case ("GET", path) if path == METRICS_PATH:
                content, headers = self._metrics.render()
                send_reply(req, HTTPStatus.OK, content, headers)
            case ("GET", path) if path == STATUS_PATH:
                _send_json(req, HTTPStatus.OK, self._status())
            case ("PUT", path) if path.startswith(JOBS_PATH):
                self._background.spawn(self._submit(req), "operator's job")
            case ("DELETE", path) if path.startswith(JOBS_PATH):
                id_ = path.removeprefix(JOBS_PATH)
                self._host.cancel(id_)
                _send_json(req, HTTPStatus.OK, CancelAnswer(id_))
            case _:
                _send_answer(req, JobReply(AnswerKind.MALFORMED, "no such call"))

    async def _submit(self, req: HTTPServerRequest) -> None:
        try:
            job = decode_job(req.body, req.path.removeprefix(JOBS_PATH))
        except ValueError as exc:
            _send_answer(req, JobReply(AnswerKind.MALFORMED, str(exc)))
            return
        _send_answer(req, await self._host.submit(job))


def decode_job(body: bytes, id_: str) -> Job:
    """Read a job in the product's own form; raises `ValueError`."""
    if not is_job_id(id_):
        raise ValueError("the job's id is not 16 hexadecimal digits")
    raw = msgspec.json.decode(body, type=JobBody)
    if not 0 < sum(step.count for step in raw.steps) <= MAX_TASKS:
        raise ValueError(f"a job has 1 to {MAX_TASKS} tasks")
    for number, step in enumerate(raw.steps):
        if any(not 0 <= before < number for before in step.after):
            raise ValueError(f"step {number} comes after a later one")
    return Job(id_, raw.queue, raw.payload, tuple(_step(s) for s in raw.steps))


def _step(raw: StepBody) -> Step:
    return Step(
        raw.count,
        Resources(raw.cpu_milli, raw.mem_mb, raw.accelerators),
        raw.estimate_ms / 1000,
        raw.after,
        raw.near_rack,
        raw.label,
        raw.most_per_runner,
    )


def _send_answer(req: HTTPServerRequest, reply: JobReply) -> None:
    rule = ANSWER_RULES[reply.kind]
    answer = JobAnswer(
        reply.kind.value, rule.promise.value, reply.detail, reply.retry_after_s
    )
    _send_json(req, rule.status, answer)


def _send_json(req: HTTPServerRequest, status: int, body: Any) -> None:
    headers = {"Content-Type": "application/json"}
    send_reply(req, status, msgspec.json.encode(body), headers)
