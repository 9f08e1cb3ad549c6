"""Tests of complete daemons with the stand-in store and runners, on real sockets."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import uvloop

from monsoongap.standin.runner_model import overlapping_runs
from tests.platform.site import CONFIG, Site, job_body, open_site


def run_on_site(test: Callable[[Site], Awaitable[None]], **counts: int) -> None:
    async def main() -> None:
        async with open_site(**counts) as site:
            await test(site)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main())


def without_queues(version: int) -> bytes:
    return msgspec.json.encode({**CONFIG, "version": version, "routes": []})


def test_every_host_answers_jobs_and_no_task_runs_twice() -> None:
    async def test(site: Site) -> None:
        replies = await asyncio.gather(
            *(site.post(i % 2, f"{i:016x}", job_body(3, work_ms=30)) for i in range(6))
        )
        assert [r.status for r in replies] == [200] * 6
        assert {msgspec.json.decode(r.body)["state"] for r in replies} == {"completed"}
        assert len(site.ledger) == 18 and not overlapping_runs(site.ledger)

    run_on_site(test)


def test_invalid_request_is_rejected_and_runs_nothing() -> None:
    async def test(site: Site) -> None:
        job_id = "a" * 16
        cases = {
            "body": await site.post(0, job_id, b"{not json"),
            "id": await site.post(0, "xyz", job_body()),
            "empty": await site.post(
                0, job_id, b'{"spec":"","steps":[],"bestEffort":true}'
            ),
        }
        for name, reply in cases.items():
            assert reply.status == 400, name
            assert msgspec.json.decode(reply.body)["error"]
        unsupported = await site.post(0, job_id, job_body(best_effort=False))
        assert unsupported.status == 503
        unknown = await site.get(site.nodes[0].listen.callers, f"/other/{job_id}")
        assert unknown.status == 404
        pending = await site.get(site.nodes[0].listen.callers, "/scan/")
        assert msgspec.json.decode(pending.body) == {"pending": 0}
        assert site.ledger == []

    run_on_site(test, nodes=1)


def test_new_configuration_is_applied_and_malformed_and_older_ones_are_not() -> None:
    async def test(site: Site) -> None:
        job_id = "b" * 16
        operator_topic = site.store.topic("keyed.op")
        operator_topic.append("config", b"{broken")
        operator_topic.append(
            "config", msgspec.json.encode({**CONFIG, "version": 1, "routes": []})
        )
        await asyncio.sleep(0.2)
        assert (await site.post(0, job_id, job_body())).status == 200
        operator_topic.append(
            "config", msgspec.json.encode({**CONFIG, "version": 9, "routes": []})
        )
        await asyncio.sleep(0.2)
        assert [(await site.post(n, job_id, job_body())).status for n in (0, 1)] == [
            404
        ] * 2

    run_on_site(test)


def test_malformed_runner_entries_are_ignored() -> None:
    async def test(site: Site) -> None:
        runner_topic = site.store.topic("keyed.servers")
        runner_topic.append("i-odd", b"\xff\x00")
        runner_topic.append("i-half", b'{"service":"inspect","state":"ready"}')
        runner_topic.append("i-new", b'{"service":"inspect","state":"resting"}')
        await asyncio.sleep(0.8)
        assert (await site.post(0, "c" * 16, job_body(6))).status == 200

    run_on_site(test)


def test_expired_history_and_outage_of_the_store_fail_no_job() -> None:
    async def test(site: Site) -> None:
        for topic in site.store.topics.values():
            topic.expire()
        await asyncio.sleep(0.8)
        site.store.faults.down = True
        await asyncio.sleep(0.5)
        replies = [await site.post(n, f"{n:016x}", job_body()) for n in (0, 1)]
        assert [r.status for r in replies] == [200, 200]

    run_on_site(test)


def test_draining_runner_gets_no_start_request() -> None:
    async def test(site: Site) -> None:
        site.runners[0].draining = True
        await asyncio.sleep(1.6)
        for i in range(4):
            assert (
                await site.post(0, f"{i:016x}", job_body(2, work_ms=5))
            ).status == 200
        assert "i-0" not in {entry.runner for entry in site.ledger}

    run_on_site(test, nodes=1)


def test_job_of_a_queue_with_advice_is_refused_before_any_task_runs() -> None:
    async def test(site: Site) -> None:
        route = {**CONFIG["routes"][0], "advice": {"decideMs": 5}}  # type: ignore[index]
        config = {**CONFIG, "version": 12, "routes": [route]}
        site.store.topic("keyed.op").append("config", msgspec.json.encode(config))
        await asyncio.sleep(0.3)
        reply = await site.post(0, "d" * 16, job_body())
        assert reply.status == 503
        assert b"not supported" in reply.body
        assert site.ledger == []

    run_on_site(test, nodes=1)
