"""A runner for tests and the demo: a `RunnerModel` over HTTP, told of in the store."""

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
ORDERS = ("/monsoongap/run-start", "/monsoongap/run-stop")
_REASONS = {
    Refusal.OLD_RUN: "old",
    Refusal.LEASE_OVER: "late",
    Refusal.NO_ROOM: "room",
}


class RunnerServer:
    """One runner, which also tells the store of itself."""

    def __init__(
        self, info: RunnerInfo, ledger: list[LedgerEntry], store: StoreServer
    ) -> None:
        self.model = RunnerModel(info, asyncio.get_running_loop().time, ledger)
        self.draining = False
        self._listed = True
        self._store = store
        self._serial = 0
        self._serve = Serving(self._answer)
        self._beating: asyncio.Task[None] | None = None
        self._background = BackgroundTasks()

    def listen(self, address: str | None = None) -> None:
        """Listen, at another address than the told one if given, and beat."""
        self._serve.listen(address or self.model.info.address)
        self._beating = asyncio.create_task(self._beat())

    def close(self) -> None:
        """Stop serving and beating."""
        self._serve.close()
        if self._beating is not None:
            self._beating.cancel()
        self._background.cancel_all()

    def set_listed(self, listed: bool) -> None:
        """Have the store drop this runner's entry, or list it with the next beat."""
        if self._listed and not listed:
            self._store.topic(RUNNERS_TOPIC).append(self.model.info.id, b"")
        self._listed = listed

    async def _beat(self) -> None:
        while True:
            if not self._listed:
                await asyncio.sleep(HEARTBEAT_S)
                continue
            self._serial += 1
            info = self.model.info
            entry = {
                "service": info.upstream,
                "address": info.address,
                "zone": info.dc,
                "state": "draining" if self.draining else "ready",
                "capacity": {"cpu": info.room.cpu_milli, "memMb": info.room.mem_mb},
                "labels": list(info.labels),
                "seq": self._serial,
                "born": info.born_ms,
            }
            self._store.topic(RUNNERS_TOPIC).append(info.id, msgspec.json.encode(entry))
            await asyncio.sleep(HEARTBEAT_S)

    async def _answer(self, req: HTTPServerRequest) -> tuple[int, bytes]:
        meant = req.headers.get("X-Monsoongap-Expect-Instance", self.model.info.id)
        if meant != self.model.info.id:
            return HTTPStatus.MISDIRECTED_REQUEST, b"{}"
        faults = self.model.faults
        if faults.dark:
            # The connection stays open and silent, as behind a cut.
            await asyncio.Event().wait()
        body = msgspec.json.decode(req.body or b"{}")
        if faults.late_s and req.path in ORDERS:
            self._background.spawn(self._act_late(req.path, body), "late order")
            await asyncio.Event().wait()
        try:
            reply = await self._act(req.path, body)
            if faults.loses_answers and req.path in ORDERS:
                await asyncio.Event().wait()
            return reply
        except HigherFence:
            told = {"clockMs": self.model.clock_ms(), "reason": "fence"}
            return HTTPStatus.CONFLICT, msgspec.json.encode(told)

    async def _act_late(self, path: str, body: dict[str, object]) -> None:
        """Carry an order out after its caller has given it up."""
        await asyncio.sleep(self.model.faults.late_s)
        with contextlib.suppress(HigherFence):
            await self._act(path, body)

    async def _act(self, path: str, body: dict[str, object]) -> tuple[int, bytes]:
        model = self.model
        fence = _int(body.get("fencingToken"))
        match path:
            case "/monsoongap/run-start":
                order = StartRequest(
                    _task(str(body["task"])),
                    _int(body["runId"]),
                    str(body["spec"]),
                    _int(body["deadlineMs"]),
                    fence,
                )
                result = model.start(order)
                if isinstance(result, NotStarted):
                    told = {
                        "clockMs": result.clock_ms,
                        "reason": _REASONS[result.reason],
                    }
                    return HTTPStatus.CONFLICT, msgspec.json.encode(told)
                return HTTPStatus.OK, msgspec.json.encode({"clockMs": result.clock_ms})
            case "/monsoongap/run-stop":
                clock = model.stop(_task(str(body["task"])), _int(body["runId"]), fence)
                return HTTPStatus.OK, msgspec.json.encode({"clockMs": clock})
            case "/monsoongap/hold":
                return HTTPStatus.OK, await self._look(body, fence)
        return HTTPStatus.NOT_FOUND, b"{}"

    async def _look(self, body: dict[str, object], fence: int) -> bytes:
        seen = _int(body.get("lastSeen"))
        until = body.get("deadlineMs")
        self.model.poll(fence, seen, None if until is None else _int(until))
        await self.model.wait_for_end(_int(body.get("waitMs")) / 1000)
        view = self.model.poll(fence, seen, None)
        return msgspec.json.encode(
            {
                "clockMs": view.clock_ms,
                "born": view.born_ms,
                "running": [
                    [_name(r.task), r.run, "", r.progress, 0] for r in view.running
                ],
                "finished": [
                    [e.seq, _name(e.task), e.run, e.kind.value, ""] for e in view.ends
                ],
            }
        )


def _task(text: str) -> TaskId:
    job, _, step, index = text.split(".")
    return TaskId(job, int(step), int(index))


def _name(task: TaskId) -> str:
    return f"{task.job}.0.{task.step}.{task.index}"


def _int(value: object) -> int:
    return value if isinstance(value, int) else 0
