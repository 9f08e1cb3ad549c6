"""Callers of a soak: they keep connections open and send lost jobs again."""

import asyncio
import random
from dataclasses import dataclass, field

import msgspec

from monsoongap.standin.fleet_runner import TaskPlan
from monsoongap.transport.http_client import HttpClient
from monsoongap.transport.http_conn import ExchangeLost, HttpRequest, NotConnected
from soak.processes import NodeAddress

SITE_HOST = "site"
RESEND_S = 1.3
TRIES = 3
DEADLINE_S = 6.0
OK, UNAVAILABLE, GATEWAY_TIMEOUT = 200, 503, 504


@dataclass(slots=True)
class Call:
    """One job as its caller saw it: the status of each try, 0 for none."""

    id: str
    tasks: int
    tries: list[int] = field(default_factory=list)
    state: str = ""
    sent_at: float = 0.0
    took_s: float = 0.0


@dataclass(slots=True)
class Callers:
    """Sends jobs to random hosts and records what came back."""

    nodes: list[NodeAddress]
    rng: random.Random
    http: HttpClient = field(default_factory=HttpClient)
    calls: list[Call] = field(default_factory=list)

    async def send(self) -> Call:
        """Send one job, again while its answer is lost."""
        rng = self.rng
        call = Call(f"{rng.getrandbits(64):016x}", rng.choice((1, 2, 4, 8)))
        self.calls.append(call)
        long = rng.random() < 0.1
        work_ms = rng.uniform(300, 900) if long else rng.uniform(20, 120)
        body, path = _job(call, work_ms), "/load/" if long else "/scan/"
        loop = asyncio.get_running_loop()
        call.sent_at = loop.time()
        for _ in range(TRIES):
            node = rng.choice(self.nodes)
            req = HttpRequest("POST", path + call.id, body, (("Host", SITE_HOST),))
            try:
                reply = await self.http.exchange(
                    f"{node.ip}:{node.front_port}", req, DEADLINE_S
                )
            except (NotConnected, ExchangeLost):
                call.tries.append(0)
            else:
                call.tries.append(reply.status)
                if reply.status == OK:
                    call.state = msgspec.json.decode(reply.body)["state"]
                if reply.status != GATEWAY_TIMEOUT:
                    break
            await asyncio.sleep(RESEND_S)
        call.took_s = loop.time() - call.sent_at
        return call


def _job(call: Call, work_ms: float) -> bytes:
    plan = TaskPlan(work_ms)
    step = {
        "count": call.tasks,
        "cpu": plan.cpu_milli,
        "memMb": plan.mem_mb,
        "estRuntimeMs": work_ms,
    }
    spec = msgspec.json.encode(plan).decode()
    return msgspec.json.encode({"spec": spec, "steps": [step], "bestEffort": True})
