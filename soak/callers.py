"""Callers of a soak: they keep connections open and send lost jobs again."""

import asyncio
import random
from dataclasses import dataclass, field
from http import HTTPStatus

import msgspec

from monsoongap.errors import AnswerKind
from monsoongap.load.records import Attempt, CallRecord
from monsoongap.standin.runner_model import TaskPlan
from monsoongap.transport.http_client import HttpClient
from monsoongap.transport.http_conn import ExchangeLost, HttpRequest, NotConnected
from soak.processes import NodeAddress

SITE_HOST = "site"
RESEND_S = 1.3
TRIES = 3
DEADLINE_S = 6.0
# Long jobs are the ones that go on while owners change.
LONG_SHARE = 0.2


# How the platform's status codes tell an end; any other one is no answer.
OUTCOMES = {
    503: AnswerKind.REFUSED,
    504: AnswerKind.BROKEN,
}


@dataclass(slots=True)
class Callers:
    """Sends jobs to random hosts and records what came back."""

    nodes: list[NodeAddress]
    rng: random.Random
    http: HttpClient = field(default_factory=HttpClient)
    calls: list[CallRecord] = field(default_factory=list)

    async def send(self) -> CallRecord:
        """Send one job, again while its answer is lost."""
        rng = self.rng
        tasks = rng.choice((1, 2, 4, 8))
        long = rng.random() < LONG_SHARE
        work_ms = rng.uniform(300, 1400) if long else rng.uniform(20, 120)
        loop = asyncio.get_running_loop()
        kind = "load" if long else "scan"
        call = CallRecord(
            f"{rng.getrandbits(64):016x}", kind, tasks, work_ms / 1000, loop.time()
        )
        self.calls.append(call)
        body = _job(call, work_ms)
        for _ in range(TRIES):
            outcome = await self._try(
                rng.choice(self.nodes), f"/{kind}/{call.id}", body
            )
            call.attempts.append(Attempt(outcome))
            if outcome not in (None, AnswerKind.BROKEN):
                break
            await asyncio.sleep(RESEND_S)
        call.response_s = loop.time() - call.due_at
        return call

    async def _try(
        self, node: NodeAddress, path: str, body: bytes
    ) -> AnswerKind | None:
        req = HttpRequest("POST", path, body, (("Host", SITE_HOST),))
        try:
            reply = await self.http.exchange(node.callers, req, DEADLINE_S)
        except (NotConnected, ExchangeLost):
            # The caller sees no answer and comes back, as real ones do.
            return None
        if reply.status == HTTPStatus.OK:
            return AnswerKind(msgspec.json.decode(reply.body)["state"])
        return OUTCOMES.get(reply.status)


def _job(call: CallRecord, work_ms: float) -> bytes:
    plan = TaskPlan(work_ms)
    step = {
        "count": call.tasks,
        "cpu": plan.cpu_milli,
        "memMb": plan.mem_mb,
        "estRuntimeMs": work_ms,
    }
    spec = msgspec.json.encode(plan).decode()
    return msgspec.json.encode({"spec": spec, "steps": [step], "bestEffort": True})
