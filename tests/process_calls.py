"""Calls to entry processes and to the stand-in, for tests of real processes."""

import time

import msgspec

from monsoongap.load.local_deployment import LocalEntry
from monsoongap.load.records import CallRecord, Reception
from monsoongap.protocol.messages import (
    JobAnswer,
    JobError,
    JobOutcome,
    JobRequest,
    Ledger,
)
from monsoongap.transport.http_conn import HttpRequest, KeepAliveConnection

CONNECT_TIMEOUT_S = 2.0
REPLY_TIMEOUT_S = 30.0


async def send_job(entry: LocalEntry, key: str, req: JobRequest) -> CallRecord:
    """Submit a job and record what came back.

    Raises `NotConnected` when nothing was sent and `ExchangeLost` without a reply.
    """
    sent_ms = time.time() * 1000
    conn = await KeepAliveConnection.open(entry.caller, CONNECT_TIMEOUT_S)
    try:
        put = HttpRequest("PUT", f"/v1/jobs/{key}", msgspec.json.encode(req))
        reply = await conn.exchange(put, REPLY_TIMEOUT_S)
    finally:
        conn.close()
    kind: type[JobOutcome] = JobAnswer if reply.status == 200 else JobError
    outcome = msgspec.json.decode(reply.body, type=kind)
    received = (Reception(time.time() * 1000, outcome),)
    return CallRecord(key, req, sent_ms, received, entry.name)


async def fetch_ledger(control: str) -> Ledger:
    """Fetch every start that the workers made."""
    conn = await KeepAliveConnection.open(control, CONNECT_TIMEOUT_S)
    reply = await conn.exchange(HttpRequest("GET", "/v1/ledger"), REPLY_TIMEOUT_S)
    conn.close()
    return msgspec.json.decode(reply.body, type=Ledger)
