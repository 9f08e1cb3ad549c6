"""Callers of a soak: they keep connections open and resend unanswered jobs."""

import asyncio
import random
from dataclasses import dataclass, field
from http import HTTPStatus

import msgspec

from monsoongap.errors import AnswerKind
from monsoongap.load.records import Attempt, CallRecord
from monsoongap.platform.callers import WAIT_HEADER
from monsoongap.standin.runner_model import TaskPlan
from monsoongap.transport.http_client import HttpClient
from monsoongap.transport.http_conn import ExchangeLost, HttpRequest, NotConnected
from soak.processes import NodeAddress

# The host that the routes of the stand-in's configuration name.
ROUTE_HOST = "site"
RESEND_DELAY_S = 1.3
MAX_ATTEMPTS = 3
# Callers say how long they wait, and then close the connection.
HURRIED_WAIT_S = 1.5
PATIENT_WAIT_S = 6.0
# Long jobs are the ones that are still running when an owner changes.
LONG_SHARE = 0.2

# Outcomes by status code of the platform; any other status counts as no answer.
OUTCOME_OF_STATUS = {
    503: AnswerKind.REFUSED,
    504: AnswerKind.BROKEN,
}


@dataclass(slots=True)
class Callers:
    """Sends jobs to random entry hosts and records the answers."""

    nodes: list[NodeAddress]
    rng: random.Random
    http: HttpClient = field(default_factory=HttpClient)
    calls: list[CallRecord] = field(default_factory=list)

    async def send(self, may_hurry: bool = True) -> CallRecord:
        """Send one job, and resend it while it gets no answer or `BROKEN`.

        Half of the callers give up after `HURRIED_WAIT_S`, unless `may_hurry` is false.
        """
        rng = self.rng
        tasks = rng.choice((1, 2, 4, 8))
        is_long = rng.random() < LONG_SHARE
        work_ms = rng.uniform(300, 1400) if is_long else rng.uniform(20, 120)
        loop = asyncio.get_running_loop()
        kind = "load" if is_long else "scan"
        call = CallRecord(
            f"{rng.getrandbits(64):016x}", kind, tasks, work_ms / 1000, loop.time()
        )
        self.calls.append(call)
        body = _encode_job(call, work_ms)
        hurries = rng.random() < 0.5 and may_hurry
        wait_s = HURRIED_WAIT_S if hurries else PATIENT_WAIT_S
        for _ in range(MAX_ATTEMPTS):
            outcome = await self._send_once(
                rng.choice(self.nodes), f"/{kind}/{call.id}", body, wait_s
            )
            call.attempts.append(Attempt(outcome))
            if outcome not in (None, AnswerKind.BROKEN):
                break
            await asyncio.sleep(RESEND_DELAY_S)
        call.response_s = loop.time() - call.due_at
        return call

    async def _send_once(
        self, node: NodeAddress, path: str, body: bytes, wait_s: float
    ) -> AnswerKind | None:
        headers = (("Host", ROUTE_HOST), (WAIT_HEADER, str(round(wait_s * 1000))))
        req = HttpRequest("POST", path, body, headers)
        try:
            reply = await self.http.exchange(node.callers, req, wait_s)
        except (NotConnected, ExchangeLost):
            # The caller gets no answer and sends the job again, as real callers do.
            return None
        if reply.status == HTTPStatus.OK:
            return AnswerKind(msgspec.json.decode(reply.body)["state"])
        return OUTCOME_OF_STATUS.get(reply.status)


def _encode_job(call: CallRecord, work_ms: float) -> bytes:
    plan = TaskPlan(work_ms)
    step = {
        "count": call.tasks,
        "cpu": plan.cpu_milli,
        "memMb": plan.mem_mb,
        "estRuntimeMs": work_ms,
    }
    spec = msgspec.json.encode(plan).decode()
    return msgspec.json.encode({"spec": spec, "steps": [step], "bestEffort": True})
