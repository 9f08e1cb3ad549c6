"""Tests of the caller interface over real sockets: limits, faults, errors."""

import asyncio
import json
from collections.abc import Awaitable, Callable

import msgspec
import pytest
import tornado.web

from monsoongap.errors import DispatchError, ErrorKind
from monsoongap.protocol.messages import (
    JobAnswer,
    JobError,
    JobOutcome,
    JobPhase,
    JobRequest,
    JobView,
)
from monsoongap.settings import LimitsSection
from monsoongap.transport import callers
from monsoongap.transport.http_base import NotFoundHandler, listen

LIMITS = LimitsSection(
    body_bytes=2_000, header_bytes=2_000, connections=3, body_timeout_s=0.3
)
JOB = json.dumps({"team": "t", "kind": "k", "tasks": [{"payload": 1}]})


class ScriptedJobs:
    """Answers as its submission's name asks."""

    def __init__(self) -> None:
        self.arrived = asyncio.Event()
        self.left = asyncio.Event()

    def issue(self, count: int) -> tuple[str, ...]:
        return tuple(f"mg1:dc:h:1:{n}" for n in range(count))

    async def submit(self, submission: str, req: JobRequest) -> JobOutcome:
        if submission == "wait":
            self.arrived.set()
            try:
                await asyncio.sleep(60)
            finally:
                self.left.set()
        if submission == "busy":
            return JobError("overloaded", "not_run", "full", 1500, submission)
        if submission == "broken":
            raise ValueError("a fault of the product")
        return JobAnswer(submission, tuple(task.payload for task in req.tasks))

    async def view(self, submission: str) -> JobView | None:
        if submission != "known":
            return None
        return JobView("known", JobPhase.RUNNING, "t", "k", 1, 1, 0, "h")

    async def cancel(self, submission: str) -> bool:
        return True

    def check_caller(self, team: str, token: str | None) -> None:
        if team == "closed" and token != "opensesame":
            raise DispatchError(ErrorKind.UNAUTHORIZED, "token needed")


Body = Callable[[str, ScriptedJobs], Awaitable[None]]


def serve(body: Body) -> None:
    """Run `body` with the address of a server and its jobs."""

    async def main() -> None:
        jobs = ScriptedJobs()
        parts = {"limits": LIMITS, "jobs": jobs, "tokens": jobs}
        routes = [
            (r"/v1/submissions", callers.SubmissionsHandler, parts),
            (r"/v1/jobs", callers.JobsHandler, parts),
            (r"/v1/jobs/(.+)", callers.JobHandler, parts),
        ]
        app = tornado.web.Application(
            routes,
            default_handler_class=NotFoundHandler,
            default_handler_args={"limits": LIMITS},
        )
        server = listen(app, "127.0.0.1:0", LIMITS)
        sock = next(iter(server._sockets.values()))  # noqa: SLF001
        address = "{}:{}".format(*sock.getsockname())
        try:
            async with asyncio.timeout(10):
                await body(address, jobs)
        finally:
            server.stop()
            await server.close_all_connections()

    asyncio.run(main())


async def exchange(address: str, raw: bytes, wait_s: float = 2.0) -> tuple[int, bytes]:
    """Send raw bytes, read until the server closes; return status and body."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(raw)
    async with asyncio.timeout(wait_s):
        answer = await reader.read()
    writer.close()
    head, _, body = answer.partition(b"\r\n\r\n")
    return int(head.split()[1]), body


def request(method: str, path: str, body: str = "", extra: str = "") -> bytes:
    """Build a request that asks for the connection to be closed."""
    head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
    return f"{head}{extra}Content-Length: {len(body)}\r\n\r\n{body}".encode()


NO_TASKS = '{"team": "t", "kind": "k", "tasks": []}'
CLOSED = JOB.replace('"t"', '"closed"')
TOKEN = "Authorization: Bearer opensesame\r\n"
LONG_HEADER = f"X-Long: {'y' * 3000}\r\n"
CASES = [
    (request("POST", "/v1/submissions?count=2"), 200, None, None),
    (request("POST", "/v1/submissions?count=0"), 400, "bad_request", "not_run"),
    (request("PUT", "/v1/jobs/a%2Fb", JOB), 200, None, None),
    (request("POST", "/v1/jobs", JOB), 200, None, None),
    (request("PUT", "/v1/jobs/mg1:forged", JOB), 400, "bad_request", "not_run"),
    (request("PUT", "/v1/jobs/a%20b", JOB), 400, "bad_request", "not_run"),
    (request("PUT", "/v1/jobs/k", "{"), 400, "bad_request", "not_run"),
    (request("PUT", "/v1/jobs/k", NO_TASKS), 400, "bad_request", "not_run"),
    (request("PUT", "/v1/jobs/k", "x" * 2001), 413, "too_large", "not_run"),
    (request("PUT", "/v1/jobs/k", CLOSED), 401, "unauthorized", "not_run"),
    (request("PUT", "/v1/jobs/k", CLOSED, TOKEN), 200, None, None),
    (request("PUT", "/v1/jobs/busy", JOB), 503, "overloaded", "not_run"),
    (request("PUT", "/v1/jobs/broken", JOB), 500, "internal", "unknown"),
    (request("GET", "/v1/jobs/known"), 200, None, None),
    (request("GET", "/v1/jobs/other"), 404, "not_found", "unknown"),
    (request("DELETE", "/v1/jobs/known"), 200, None, None),
    (request("PATCH", "/v1/jobs/known"), 400, "bad_request", "not_run"),
    (request("GET", "/nowhere"), 404, "not_found", "unknown"),
    (request("GET", "/v1/jobs/known", "", LONG_HEADER), 413, "too_large", "not_run"),
]


@pytest.mark.parametrize(("raw", "status", "error", "outcome"), CASES)
def test_each_request_gets_its_answer(
    raw: bytes, status: int, error: str | None, outcome: str | None
) -> None:
    async def body(address: str, jobs: ScriptedJobs) -> None:
        got, answer = await exchange(address, raw)
        assert got == status, answer
        if error is not None:
            told = msgspec.json.decode(answer, type=JobError)
            assert (told.error, told.outcome) == (error, outcome)

    serve(body)


def test_half_sent_and_over_long_requests_cost_others_nothing() -> None:
    half = request("PUT", "/v1/jobs/k", JOB)[:-5]
    chunk = b"7d0\r\n" + b"x" * 2000 + b"\r\n"
    head = b"PUT /v1/jobs/k HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"

    async def body(address: str, jobs: ScriptedJobs) -> None:
        slow = asyncio.create_task(exchange(address, half))
        fine, _ = await exchange(address, request("PUT", "/v1/jobs/k", JOB))
        assert fine == 200
        status, answer = await slow
        assert (status, json.loads(answer)["error"]) == (408, "request_timeout")
        status, answer = await exchange(address, head + chunk * 2)
        assert (status, json.loads(answer)["error"]) == (413, "too_large")

    serve(body)


def test_connections_over_the_limit_are_refused_with_an_answer() -> None:
    async def body(address: str, jobs: ScriptedJobs) -> None:
        host, port = address.split(":")
        held = [
            await asyncio.open_connection(host, int(port))
            for _ in range(LIMITS.connections)
        ]
        await asyncio.sleep(0.05)
        status, answer = await exchange(address, b"")
        assert (status, json.loads(answer)["outcome"]) == (503, "not_run")
        held[0][1].close()
        await asyncio.sleep(0.05)
        status, _ = await exchange(address, request("GET", "/v1/jobs/known"))
        assert status == 200
        for _, writer in held:
            writer.close()

    serve(body)


def test_a_caller_that_is_gone_stops_waiting() -> None:
    async def body(address: str, jobs: ScriptedJobs) -> None:
        host, port = address.split(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(request("PUT", "/v1/jobs/wait", JOB))
        await jobs.arrived.wait()
        writer.close()
        await jobs.left.wait()

    serve(body)
