"""Runner for tests and the demo: serves a `RunnerModel` and registers in the store."""

import asyncio
import contextlib
from http import HTTPStatus

import msgspec
from tornado.httputil import HTTPServerRequest

from monsoongap.coordination.ports import HigherFence
from monsoongap.protocol.messages import (
    NotStarted,
    Refusal,
    RunnerInfo,
    StartRequest,
    TaskId,
)
from monsoongap.standin.runner_model import LedgerEntry, RunnerModel
from monsoongap.standin.serving import Serving
from monsoongap.standin.store import StoreServer
from monsoongap.util.background import BackgroundTasks

HEARTBEAT_S = 0.5
RUNNERS_TOPIC = "keyed.servers"
REQUEST_PATHS = ("/monsoongap/run-start", "/monsoongap/run-stop")
_REASONS = {
    Refusal.OLD_RUN: "old",
    Refusal.LEASE_OVER: "late",
    Refusal.NO_ROOM: "room",
}


class RunnerServer:
    """HTTP server of one runner, which also sends heartbeats to the store."""

    def __init__(
        self, info: RunnerInfo, ledger: list[LedgerEntry], store: StoreServer
    ) -> None:
        self.model = RunnerModel(info, asyncio.get_running_loop().time, ledger)
        self.draining = False
        self._listed = True
        self._store = store
        self._seq = 0
        self._server = Serving(self._handle)
        self._heartbeat_task: asyncio.Task[None] | None = None
        self._background = BackgroundTasks()

    def listen(self, address: str | None = None) -> None:
        """Listen on `address` (default: the advertised one) and start heartbeats."""
        self._server.listen(address or self.model.info.address)
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())

    def close(self) -> None:
        """Stop the server and the heartbeats."""
        self._server.close()
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        self._background.cancel_all()

    def set_listed(self, listed: bool) -> None:
        """Remove this runner's store entry, or add it with the next heartbeat."""
        if self._listed and not listed:
            self._store.topic(RUNNERS_TOPIC).append(self.model.info.id, b"")
        self._listed = listed

    async def _send_heartbeats(self) -> None:
        while True:
            if not self._listed:
                await asyncio.sleep(HEARTBEAT_S)
                continue
            self._seq += 1
            info = self.model.info
            entry = {
                "service": info.upstream,
                "address": info.address,
                "zone": info.dc,
                "state": "draining" if self.draining else "ready",
                "capacity": {"cpu": info.room.cpu_milli, "memMb": info.room.mem_mb},
                "labels": list(info.labels),
                "seq": self._seq,
                "born": info.born_ms,
            }
            self._store.topic(RUNNERS_TOPIC).append(info.id, msgspec.json.encode(entry))
            await asyncio.sleep(HEARTBEAT_S)

    async def _handle(self, req: HTTPServerRequest) -> tuple[int, bytes]:
        expected = req.headers.get("X-Monsoongap-Expect-Instance", self.model.info.id)
        if expected != self.model.info.id:
            return HTTPStatus.MISDIRECTED_REQUEST, b"{}"
        faults = self.model.faults
        if faults.dark:
            # Keep the connection open without a reply, as in a network partition.
            await asyncio.Event().wait()
        body = msgspec.json.decode(req.body or b"{}")
        if faults.late_s and req.path in REQUEST_PATHS:
            self._background.spawn(self._perform_late(req.path, body), "late request")
            await asyncio.Event().wait()
        try:
            reply = await self._perform(req.path, body)
            if faults.loses_answers and req.path in REQUEST_PATHS:
                await asyncio.Event().wait()
            return reply
        except HigherFence:
            refusal = {"clockMs": self.model.clock_ms(), "reason": "fence"}
            return HTTPStatus.CONFLICT, msgspec.json.encode(refusal)

    async def _perform_late(self, path: str, body: dict[str, object]) -> None:
        """Perform a request after its caller has timed out."""
        await asyncio.sleep(self.model.faults.late_s)
        with contextlib.suppress(HigherFence):
            await self._perform(path, body)

    async def _perform(self, path: str, body: dict[str, object]) -> tuple[int, bytes]:
        model = self.model
        fence = _int(body.get("fencingToken"))
        match path:
            case "/monsoongap/run-start":
                request = StartRequest(
                    _parse_task(str(body["task"])),
                    _int(body["runId"]),
                    str(body["spec"]),
                    _int(body["deadlineMs"]),
                    fence,
                )
                result = model.start(request)
                if isinstance(result, NotStarted):
                    refusal = {
                        "clockMs": result.clock_ms,
                        "reason": _REASONS[result.reason],
                    }
                    return HTTPStatus.CONFLICT, msgspec.json.encode(refusal)
                return HTTPStatus.OK, msgspec.json.encode({"clockMs": result.clock_ms})
            case "/monsoongap/run-stop":
                clock = model.stop(
                    _parse_task(str(body["task"])), _int(body["runId"]), fence
                )
                return HTTPStatus.OK, msgspec.json.encode({"clockMs": clock})
            case "/monsoongap/hold":
                return HTTPStatus.OK, await self._poll(body, fence)
        return HTTPStatus.NOT_FOUND, b"{}"

    async def _poll(self, body: dict[str, object], fence: int) -> bytes:
        last_seen_seq = _int(body.get("lastSeen"))
        until = body.get("deadlineMs")
        self.model.poll(fence, last_seen_seq, None if until is None else _int(until))
        await self.model.wait_for_end(_int(body.get("waitMs")) / 1000)
        view = self.model.poll(fence, last_seen_seq, None)
        return msgspec.json.encode(
            {
                "clockMs": view.clock_ms,
                "born": view.born_ms,
                "running": [
                    [_format_task(r.task), r.run, "", r.progress, 0]
                    for r in view.running
                ],
                "finished": [
                    [e.seq, _format_task(e.task), e.run, e.kind.value, ""]
                    for e in view.ends
                ],
            }
        )


def _parse_task(text: str) -> TaskId:
    job, _, step, index = text.split(".")
    return TaskId(job, int(step), int(index))


def _format_task(task: TaskId) -> str:
    return f"{task.job}.0.{task.step}.{task.index}"


def _int(value: object) -> int:
    return value if isinstance(value, int) else 0
