"""The client of runners: requests and polls over kept-alive connections."""

from monsoongap.coordination.ports import (
    HigherFence,
    NoAnswer,
    NotSent,
    WrongInstance,
)
from monsoongap.platform import wire
from monsoongap.protocol.decoding import Malformed
from monsoongap.protocol.messages import (
    NotStarted,
    Refusal,
    RunnerInfo,
    RunnerView,
    Started,
    StartRequest,
    TaskId,
)
from monsoongap.transport.http_client import HttpClient
from monsoongap.transport.http_conn import (
    ExchangeLost,
    HttpReply,
    HttpRequest,
    NotConnected,
)

EXPECTED_INSTANCE_HEADER = "X-Monsoongap-Expect-Instance"
# A reply takes a few milliseconds; after this time the request counts as unanswered.
REPLY_TIMEOUT_S = 0.3
OK = 200
CONFLICT = 409
MISDIRECTED = 421
BAD_REQUEST = 400

_REFUSALS = {
    "fence": Refusal.FENCED,
    "old": Refusal.OLD_RUN,
    "late": Refusal.LEASE_OVER,
    "room": Refusal.NO_ROOM,
}


class RunnerClient:
    """Implements `RunnerPort` over HTTP."""

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    async def start(
        self, runner: RunnerInfo, request: StartRequest
    ) -> Started | NotStarted:
        """Request a start; see `RunnerPort`."""
        body = wire.encode_start(request)
        reply = await self._send(
            runner, "/monsoongap/run-start", body, REPLY_TIMEOUT_S, False
        )
        if reply.status == BAD_REQUEST:
            return NotStarted(Refusal.MALFORMED)
        if reply.status not in (OK, CONFLICT):
            return NotStarted(Refusal.UNHEALTHY)
        runner_reply = _decoded(reply)
        if reply.status == OK:
            return Started(runner_reply.clock_ms)
        reason = _REFUSALS.get(runner_reply.reason, Refusal.UNHEALTHY)
        if reason is Refusal.FENCED:
            raise HigherFence
        return NotStarted(reason, runner_reply.clock_ms)

    async def stop(self, runner: RunnerInfo, task: TaskId, run: int, fence: int) -> int:
        """Request a stop; see `RunnerPort`."""
        body = wire.encode_stop(task, run, fence)
        reply = await self._send(
            runner, "/monsoongap/run-stop", body, REPLY_TIMEOUT_S, True
        )
        runner_reply = _decoded(reply)
        if reply.status == CONFLICT and runner_reply.reason == "fence":
            raise HigherFence
        if reply.status not in (OK, CONFLICT) or runner_reply.clock_ms is None:
            raise NoAnswer(f"status {reply.status}")
        return runner_reply.clock_ms

    async def poll(
        self,
        runner: RunnerInfo,
        fence: int,
        last_seen_seq: int,
        lease_until_ms: int | None,
        wait_ms: int,
        fresh: bool,
    ) -> RunnerView:
        """Poll a runner; see `RunnerPort`."""
        body = wire.encode_poll(fence, last_seen_seq, lease_until_ms, wait_ms)
        timeout_s = wait_ms / wire.MS_PER_S + REPLY_TIMEOUT_S
        reply = await self._send(runner, "/monsoongap/hold", body, timeout_s, fresh)
        if reply.status == CONFLICT and _decoded(reply).reason == "fence":
            raise HigherFence
        if reply.status != OK:
            raise NoAnswer(f"status {reply.status}")
        try:
            return wire.decode_poll_reply(reply.body)
        except Malformed as exc:
            raise NoAnswer(str(exc)) from exc

    def disconnect(self, runner: RunnerInfo) -> None:
        """Close the idle connections to a runner that is no longer used."""
        self._http.forget(runner.address)

    async def _send(
        self, runner: RunnerInfo, path: str, body: bytes, timeout_s: float, fresh: bool
    ) -> HttpReply:
        headers = ((EXPECTED_INSTANCE_HEADER, runner.id),)
        req = HttpRequest("POST", path, body, headers)
        try:
            reply = await self._http.exchange(runner.address, req, timeout_s, fresh)
        except NotConnected as exc:
            raise NotSent(str(exc)) from exc
        except ExchangeLost as exc:
            raise NoAnswer(str(exc)) from exc
        if reply.status == MISDIRECTED:
            raise WrongInstance(runner.id)
        return reply


def _decoded(reply: HttpReply) -> wire.RunnerReply:
    try:
        return wire.decode_reply(reply.body)
    except Malformed as exc:
        raise NoAnswer(str(exc)) from exc
