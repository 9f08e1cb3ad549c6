"""Callers of a soak: they keep connections open and resend unanswered jobs."""

import asyncio
import random
import time
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TextIO

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
# A caller that stops waiting may leave its connection open, for at most this long.
LEFT_OPEN_S = 120.0
# A patient caller states this many times the work of its job.
PATIENCE_FACTOR = 4.0
LONGEST_PAUSE_S = 35.0
# Jobs that outlast all that hosts remember of them. Some declare the mean time of their
# kind, of which they take many times.
OUTLASTING_S = (20.0, 45.0)
UNDERSTATED_FACTOR = 50.0
# Little, so that runners have room for many of them at a time.
OUTLASTING_CPU_MILLI = 100
# Jobs that begin together, and of which some are declared as the mean of their kind.
STEADY_S = (37.0, 39.0)
STEADY_WAIT_S = 150.0
# Long jobs are the ones that are still running when an owner changes.
LONG_SHARE = 0.2
# Answers that take longer are logged.
LATE_S = 5.0

# Outcomes by status code of the platform; any other status counts as no answer.
OUTCOME_OF_STATUS = {
    503: AnswerKind.REFUSED,
    504: AnswerKind.BROKEN,
}


@dataclass(slots=True)
class Callers:
    """Sends jobs to random entry hosts and records the answers.

    A share `long_share` of the jobs outlasts what hosts remember; their callers draw
    from `long_rng` alone, so that the others are the same without them. With
    `all_wait`, they wait for the answer. `log` gets a line for each attempt that is
    answered late, or without a result.
    """

    nodes: list[NodeAddress]
    rng: random.Random
    http: HttpClient = field(default_factory=HttpClient)
    calls: list[CallRecord] = field(default_factory=list)
    long_share: float = 0.0
    long_rng: random.Random = field(default_factory=random.Random)
    all_wait: bool = False
    log: TextIO | None = None
    _left_open: set[asyncio.Task[AnswerKind | None]] = field(default_factory=set)

    async def send(self, may_hurry: bool = True) -> CallRecord:
        """Send one job, and resend it while it gets no answer or `BROKEN`.

        Half of the callers give up after `HURRIED_WAIT_S`, unless `may_hurry` is false.
        """
        if may_hurry and self.long_rng.random() < self.long_share:
            if self.all_wait:
                return await self.send_steady()
            waits = self.long_rng.random() < 0.5
            return await (self._send_patiently() if waits else self._send_long())
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
        body = _encode_job(call, TaskPlan(work_ms), work_ms)
        hurries = rng.random() < 0.5 and may_hurry
        wait_s = HURRIED_WAIT_S if hurries else PATIENT_WAIT_S
        for _ in range(MAX_ATTEMPTS):
            outcome = await self._send_once(
                rng.choice(self.nodes), f"/{kind}/{call.id}", body, wait_s, wait_s
            )
            call.attempts.append(Attempt(outcome))
            if outcome not in (None, AnswerKind.BROKEN):
                break
            await asyncio.sleep(RESEND_DELAY_S)
        call.response_s = loop.time() - call.due_at
        return call

    async def send_steady(self) -> CallRecord:
        """Send a job of `STEADY_S`, declared as that or as far less, and wait."""
        work_s = self.long_rng.uniform(*STEADY_S)
        factor = self.long_rng.choice((1.0, UNDERSTATED_FACTOR))
        return await self._send_until(work_s, work_s / factor, STEADY_WAIT_S)

    async def _send_patiently(self) -> CallRecord:
        """Send a job that outlasts what hosts remember, and wait for its answer."""
        work_s = self.long_rng.uniform(*OUTLASTING_S)
        return await self._send_until(work_s, work_s, PATIENCE_FACTOR * work_s)

    async def _send_until(
        self, work_s: float, declared_s: float, patience_s: float
    ) -> CallRecord:
        """Send a job, and wait for its answer for `patience_s`.

        The caller sends it again, to any host, when its connection breaks or it gets no
        result, as when its host ends.
        """
        rng = self.long_rng
        plan = TaskPlan(work_s * 1000, OUTLASTING_CPU_MILLI)
        now = asyncio.get_running_loop().time
        call = CallRecord(f"{rng.getrandbits(64):016x}", "load", 1, work_s, now())
        self.calls.append(call)
        body = _encode_job(call, plan, declared_s * 1000)
        until = now() + patience_s
        while (left_s := until - now()) > 0:
            outcome = await self._send_once(
                rng.choice(self.nodes), f"/load/{call.id}", body, left_s, left_s
            )
            call.attempts.append(Attempt(outcome))
            if outcome not in (None, AnswerKind.BROKEN):
                break
            await asyncio.sleep(RESEND_DELAY_S)
        call.response_s = now() - call.due_at
        return call

    async def _send_long(self) -> CallRecord:
        """Send a job that outlasts its caller, and again to another data centre.

        The caller states its wait or none. It stops waiting without closing its
        connection.
        """
        rng = self.long_rng
        work_s = rng.uniform(*OUTLASTING_S)
        plan = TaskPlan(work_s * 1000, OUTLASTING_CPU_MILLI)
        declared_ms = plan.work_ms / rng.choice((1.0, UNDERSTATED_FACTOR))
        now = asyncio.get_running_loop().time
        call = CallRecord(f"{rng.getrandbits(64):016x}", "load", 1, work_s, now())
        self.calls.append(call)
        body = _encode_job(call, plan, declared_ms)
        stated_s = rng.choice((HURRIED_WAIT_S, 0.0))
        first = rng.choice(self.nodes)
        others = [node for node in self.nodes if node.dc != first.dc] or self.nodes
        any_pause_s = rng.uniform(RESEND_DELAY_S, LONGEST_PAUSE_S)
        pause_s = rng.choice((RESEND_DELAY_S, any_pause_s))
        for node in (first, rng.choice(others)):
            if call.attempts:
                await asyncio.sleep(pause_s)
            sending = asyncio.create_task(
                self._send_once(node, f"/load/{call.id}", body, stated_s, LEFT_OPEN_S)
            )
            self._left_open.add(sending)
            sending.add_done_callback(self._left_open.discard)
            await asyncio.wait({sending}, timeout=HURRIED_WAIT_S)
            call.attempts.append(Attempt(sending.result() if sending.done() else None))
        call.response_s = now() - call.due_at
        return call

    async def _send_once(
        self,
        node: NodeAddress,
        path: str,
        body: bytes,
        stated_s: float,
        wait_s: float,
    ) -> AnswerKind | None:
        """Send a job; `stated_s` is the wait that the caller states, 0 for none."""
        headers: tuple[tuple[str, str], ...] = (("Host", ROUTE_HOST),)
        if stated_s:
            headers += ((WAIT_HEADER, str(round(stated_s * 1000))),)
        req = HttpRequest("POST", path, body, headers)
        address = node.proxied_callers if self.long_share else node.callers
        began_at = time.time()
        try:
            reply = await self.http.exchange(address, req, wait_s)
        except (NotConnected, ExchangeLost) as exc:
            # The caller gets no answer and sends the job again, as real callers do.
            self._log_attempt(node, path, began_at, str(exc))
            return None
        if reply.status != HTTPStatus.OK or time.time() - began_at > LATE_S:
            answer = f"{reply.status} {reply.body.decode(errors='replace')}"
            self._log_attempt(node, path, began_at, answer)
        if reply.status == HTTPStatus.OK:
            return AnswerKind(msgspec.json.decode(reply.body)["state"])
        return OUTCOME_OF_STATUS.get(reply.status)

    def _log_attempt(
        self, node: NodeAddress, path: str, began_at: float, end: str
    ) -> None:
        if self.log is not None:
            times = f"{began_at:.3f} to {time.time():.3f}"
            print(f"{times} {path} at {node.name}: {end}", file=self.log)


def _encode_job(call: CallRecord, plan: TaskPlan, declared_ms: float) -> bytes:
    step = {
        "count": call.tasks,
        "cpu": plan.cpu_milli,
        "memMb": plan.mem_mb,
        "estRuntimeMs": declared_ms,
    }
    spec = msgspec.json.encode(plan).decode()
    return msgspec.json.encode({"spec": spec, "steps": [step], "bestEffort": True})
