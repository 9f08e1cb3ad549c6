"""Submits the planned jobs to a deployment and records the answers."""

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
    """Submit each planned job when it is due, without waiting for earlier ones.

    Returns one record for each job, in order of arrival.
    """
    http = HttpClient()
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    submissions: list[asyncio.Task[CallRecord]] = []
    try:
        for job in plan_jobs(cfg):
            await asyncio.sleep(max(0.0, started_at + job.arrival_s - loop.time()))
            submissions.append(asyncio.create_task(_submit(cfg, http, job, started_at)))
        return await asyncio.gather(*submissions)
    finally:
        http.close()


async def _submit(
    cfg: LoadProfile, http: HttpClient, job: PlannedJob, started_at: float
) -> CallRecord:
    tasks = sum(step.count for step in job.body.steps)
    record = CallRecord(
        job.id, job.kind, tasks, job.ideal_s, started_at + job.arrival_s
    )
    body = msgspec.json.encode(job.body)
    req = HttpRequest("PUT", JOBS_PATH + job.id, body)
    address = cfg.target.entries[job.entry_index]
    outcome: AnswerKind | None = None
    try:
        reply = await http.exchange(address, req, cfg.target.timeout_s)
        answer = msgspec.json.decode(reply.body, type=JobAnswer)
        outcome = AnswerKind(answer.outcome)
    except (NotConnected, ExchangeLost, msgspec.MsgspecError, ValueError) as exc:
        log.warning(
            "job got no valid answer; it is not sent again",
            extra={"job": job.id, "reason": str(exc)},
        )
    record.attempts.append(Attempt(outcome))
    record.response_s = asyncio.get_running_loop().time() - record.due_at
    return record


async def fetch_ledger(address: str) -> list[LedgerEntry]:
    """Fetch all runs that the stand-in's runners recorded.

    Raises `NotConnected` or `ExchangeLost`.
    """
    http = HttpClient()
    try:
        req = HttpRequest("GET", LEDGER_PATH)
        reply = await http.exchange(address, req, LEDGER_TIMEOUT_S)
        return msgspec.json.decode(reply.body, type=list[LedgerEntry])
    finally:
        http.close()
