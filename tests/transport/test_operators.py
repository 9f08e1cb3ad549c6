"""Tests of the operators' API of running daemons."""

import asyncio

import msgspec

from monsoongap.coordination.status import HostStatus
from monsoongap.transport.http_conn import HttpRequest
from monsoongap.transport.operators import CONFIG_PATH, JobAnswer, JobBody, StepBody
from tests.platform.site import CONFIG, Site, open_site

JOB_ID = "5c0e7a21d94b36f8"
# The users' record of a day keeps this many characters of a host's metrics.
RECORDED_CHARS = 4000


async def put_job(site: Site, job_id: str, body: bytes) -> tuple[int, JobAnswer]:
    req = HttpRequest("PUT", f"/v1/jobs/{job_id}", body)
    address = site.nodes[0].listen.operators
    reply = await site.http.exchange(address, req, 10.0)
    return reply.status, msgspec.json.decode(reply.body, type=JobAnswer)


def job(queue: str = "r-1") -> bytes:
    step = StepBody(3, 1000, 64, estimate_ms=30)
    return msgspec.json.encode(JobBody(queue, '{"work_ms": 30}', (step,)))


def test_jobs_status_and_metrics_are_served() -> None:
    async def main() -> None:
        async with open_site() as site:
            status, answer = await put_job(site, JOB_ID, job())
            assert (status, answer.outcome, answer.promise) == (
                200,
                "completed",
                "whole",
            )
            status, answer = await put_job(site, JOB_ID, job("none"))
            assert status in (200, 404)
            status, answer = await put_job(site, "f" * 16, job("none"))
            assert (status, answer.promise) == (404, "not_run")
            address = site.nodes[0].listen.operators
            status_reply = await site.get(address, "/v1/status")
            host_status = msgspec.json.decode(status_reply.body, type=HostStatus)
            assert host_status.ready and {row.host for row in host_status.hosts} == {
                "front-0",
                "front-1",
            }
            total_starts = sum(row.starts for row in host_status.runners)
            assert total_starts in (0, 3)
            running = await site.get(address, CONFIG_PATH)
            assert msgspec.json.decode(running.body) == CONFIG
            metrics = await site.get(address, "/metrics")
            assert b"monsoongap_jobs_submitted_total" in metrics.body
            recorded = metrics.body[:RECORDED_CHARS].decode()
            for name in ("ownership", "runners", "placement", "jobs"):
                assert f"# TYPE monsoongap_{name}_" in recorded
            assert "monsoongap_jobs_past_unsettled_total{" in recorded
            assert "monsoongap_log_lines_dropped_total{" in metrics.body.decode()
            assert b"# HELP monsoongap_response_seconds" in metrics.body

    asyncio.run(main())


def test_malformed_job_is_rejected_with_a_reason_and_not_run() -> None:
    async def main() -> None:
        async with open_site(nodes=1) as site:
            for job_id, body in (
                ("xyz", job()),
                (JOB_ID, b"{"),
                (JOB_ID, b'{"queue":"q"}'),
            ):
                status, answer = await put_job(site, job_id, body)
                assert (status, answer.promise) == (400, "not_run")
                assert answer.detail
            assert site.ledger == []

    asyncio.run(main())
