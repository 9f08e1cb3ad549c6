"""Tests of the operators' address over whole daemons."""

import asyncio

import msgspec

from monsoongap.coordination.status import HostStatus
from monsoongap.transport.http_conn import HttpRequest
from monsoongap.transport.operators import JobAnswer, JobBody, StepBody
from tests.platform.site import Site, open_site

JOB = "5c0e7a21d94b36f8"
# So much of a host's metrics is kept in the users' record of a day.
RECORDED_CHARS = 4000


async def put(site: Site, id_: str, body: bytes) -> tuple[int, JobAnswer]:
    req = HttpRequest("PUT", f"/v1/jobs/{id_}", body)
    address = site.nodes[0].listen.operators
    reply = await site.http.exchange(address, req, 10.0)
    return reply.status, msgspec.json.decode(reply.body, type=JobAnswer)


def job(queue: str = "r-1") -> bytes:
    step = StepBody(3, 1000, 64, estimate_ms=30)
    return msgspec.json.encode(JobBody(queue, '{"work_ms": 30}', (step,)))


def test_jobs_status_and_metrics_are_served() -> None:
    async def main() -> None:
        async with open_site() as site:
            status, answer = await put(site, JOB, job())
            assert (status, answer.outcome, answer.promise) == (
                200,
                "completed",
                "whole",
            )
            status, answer = await put(site, JOB, job("none"))
            assert status in (200, 404)
            status, answer = await put(site, "f" * 16, job("none"))
            assert (status, answer.promise) == (404, "not_run")
            address = site.nodes[0].listen.operators
            told = await site.get(address, "/v1/status")
            seen = msgspec.json.decode(told.body, type=HostStatus)
            assert seen.ready and {row.host for row in seen.hosts} == {
                "front-0",
                "front-1",
            }
            owned = sum(row.starts for row in seen.runners)
            assert owned in (0, 3)
            metrics = await site.get(address, "/metrics")
            assert b"monsoongap_jobs_submitted_total" in metrics.body
            kept = metrics.body[:RECORDED_CHARS].decode()
            for name in ("ownership", "runners", "placement", "jobs"):
                assert f"# TYPE monsoongap_{name}_" in kept
            assert "monsoongap_jobs_past_unsettled_total{" in kept
            assert "monsoongap_log_lines_dropped_total{" in metrics.body.decode()
            assert b"# HELP monsoongap_response_seconds" in metrics.body

    asyncio.run(main())


def test_bad_input_is_named_and_runs_nothing() -> None:
    async def main() -> None:
        async with open_site(nodes=1) as site:
            for id_, body in (("xyz", job()), (JOB, b"{"), (JOB, b'{"queue":"q"}')):
                status, answer = await put(site, id_, body)
                assert (status, answer.promise) == (400, "not_run")
                assert answer.detail
            assert site.ledger == []

    asyncio.run(main())
