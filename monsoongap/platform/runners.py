"""The client of runners: requests and polls over kept-alive connections.

A start request does not tell which incarnation of the runner it is meant for, but a
connection always leads to the same one. So a start is sent only on a connection on
which a poll was answered by that incarnation; a new connection is polled first.
"""

import contextlib
from collections.abc import AsyncIterator

from monsoongap.coordination.ports import (
    HigherFence,
    NoAnswer,
    NotSent,
    Withheld,
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
    KeepAliveConnection,
    NotConnected,
)

EXPECTED_INSTANCE_HEADER = "X-Monsoongap-Expect-Instance"
# A reply takes a few milliseconds; after this time the request counts as unanswered.
REPLY_TIMEOUT_S = 0.3
# A poll lists up to 500 ends and the runs of one runner, each with its checkpoint.
MAX_REPLY_BYTES = 4_000_000
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
        async with self._connection(runner, False, request.born_ms) as conn:
            if request.born_ms and conn.peer != request.born_ms:
                await self._identify(conn, runner, request)
            if not request.may_send():
                raise Withheld(runner.id)
            reply = await self._send(
                conn, runner, "/monsoongap/run-start", body, REPLY_TIMEOUT_S
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
        async with self._connection(runner, True) as conn:
            reply = await self._send(
                conn, runner, "/monsoongap/run-stop", body, REPLY_TIMEOUT_S
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
        async with self._connection(runner, fresh) as conn:
            return await self._poll_on(conn, runner, body, timeout_s)

    async def _identify(
        self, conn: KeepAliveConnection, runner: RunnerInfo, request: StartRequest
    ) -> None:
        """Poll on a connection; raises if it reaches another incarnation.

        The poll renews no lease and acknowledges no end, and the link does not use its
        reply, which may be older than that of a poll on another connection.
        """
        body = wire.encode_poll(request.fence, 0, None, 0)
        try:
            view = await self._poll_on(conn, runner, body, REPLY_TIMEOUT_S)
        except NoAnswer as exc:
            raise NotSent(str(exc)) from exc
        if view.born_ms != request.born_ms:
            raise WrongInstance(runner.id)

    async def _poll_on(
        self,
        conn: KeepAliveConnection,
        runner: RunnerInfo,
        body: bytes,
        timeout_s: float,
    ) -> RunnerView:
        """Poll on a connection, and record the incarnation that it leads to."""
        reply = await self._send(conn, runner, "/monsoongap/hold", body, timeout_s)
        if reply.status == CONFLICT and _decoded(reply).reason == "fence":
            raise HigherFence
        if reply.status != OK:
            raise NoAnswer(f"status {reply.status}")
        try:
            view = wire.decode_poll_reply(reply.body)
        except Malformed as exc:
            raise NoAnswer(str(exc)) from exc
        conn.peer = view.born_ms
        return view

    def disconnect(self, runner: RunnerInfo) -> None:
        """Close the idle connections to a runner that is no longer used."""
        self._http.forget(runner.address)

    @contextlib.asynccontextmanager
    async def _connection(
        self, runner: RunnerInfo, fresh: bool, born_ms: int = 0
    ) -> AsyncIterator[KeepAliveConnection]:
        """Acquire a connection for some exchanges; raises `NotSent`."""
        try:
            conn = await self._http.acquire(runner.address, fresh, born_ms)
        except NotConnected as exc:
            raise NotSent(str(exc)) from exc
        try:
            yield conn
        finally:
            self._http.release(conn, runner.address)

    async def _send(
        self,
        conn: KeepAliveConnection,
        runner: RunnerInfo,
        path: str,
        body: bytes,
        timeout_s: float,
    ) -> HttpReply:
        headers = ((EXPECTED_INSTANCE_HEADER, runner.id),)
        req = HttpRequest("POST", path, body, headers, MAX_REPLY_BYTES)
        try:
            reply = await self._http.exchange_on(conn, runner.address, req, timeout_s)
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
