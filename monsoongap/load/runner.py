"""Plays a plan against a deployment and gathers what can be seen of it."""

import asyncio
import logging

import msgspec

from monsoongap.errors import AnswerKind
from monsoongap.load.plan import PlannedJob, plan_jobs
from monsoongap.load.records import Attempt, CallRecord
from monsoongap.load.settings import LoadProfile
from monsoongap.standin.runner_model import LedgerEntry
from monsoongap.transport.http_client import HttpClient
from monsoongap.transport.http_conn import ExchangeLost, HttpRequest, NotConnected
from monsoongap.transport.operators import JOBS_PATH, JobAnswer

log = logging.getLogger(__name__)

LEDGER_PATH = "/ledger"
LEDGER_TIMEOUT_S = 10.0


async def run_load(cfg: LoadProfile) -> list[CallRecord]:
    """Submit each planned job when it is due, whatever became of those before."""
    http = HttpClient()
    loop = asyncio.get_running_loop()
    began = loop.time()
    running: list[asyncio.Task[CallRecord]] = []
    try:
        for job in plan_jobs(cfg):
            await asyncio.sleep(max(0.0, began + job.at_s - loop.time()))
            running.append(asyncio.create_task(_call(cfg, http, job, began)))
        return await asyncio.gather(*running)
    finally:
        http.close()


async def _call(
    cfg: LoadProfile, http: HttpClient, job: PlannedJob, began: float
) -> CallRecord:
    tasks = sum(step.count for step in job.body.steps)
    record = CallRecord(job.id, job.kind, tasks, job.ideal_s, began + job.at_s)
    body = msgspec.json.encode(job.body)
    req = HttpRequest("PUT", JOBS_PATH + job.id, body)
    address = cfg.target.entries[job.entry]
    outcome: AnswerKind | None = None
    try:
        reply = await http.exchange(address, req, cfg.target.timeout_s)
        answer = msgspec.json.decode(reply.body, type=JobAnswer)
        outcome = AnswerKind(answer.outcome)
    except (NotConnected, ExchangeLost, msgspec.MsgspecError, ValueError) as exc:
        log.warning("no answer", extra={"job": job.id, "reason": str(exc)})
    record.attempts.append(Attempt(outcome))
    record.took_s = asyncio.get_running_loop().time() - record.due_at
    return record


async def fetch_ledger(address: str) -> list[LedgerEntry]:
    """Fetch every run that the stand-in's runners saw; raises `NotConnected`."""
    http = HttpClient()
    try:
        req = HttpRequest("GET", LEDGER_PATH)
        reply = await http.exchange(address, req, LEDGER_TIMEOUT_S)
        return msgspec.json.decode(reply.body, type=list[LedgerEntry])
    finally:
        http.close()
