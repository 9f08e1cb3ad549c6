"""Tests of whole daemons over the stand-in's store and runners, on real sockets."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from monsoongap.standin.runner_model import twice
from tests.platform.site import CONFIG, Site, job_body, open_site


def on_site(test: Callable[[Site], Awaitable[None]], **shape: int) -> None:
    async def main() -> None:
        async with open_site(**shape) as site:
            await test(site)

    asyncio.run(main())


def without_queues(version: int) -> bytes:
    return msgspec.json.encode({**CONFIG, "version": version, "routes": []})


def test_a_job_is_answered_through_every_host() -> None:
    async def test(site: Site) -> None:
        replies = await asyncio.gather(
            *(site.post(i % 2, f"{i:016x}", job_body(3, work_ms=30)) for i in range(6))
        )
        assert [r.status for r in replies] == [200] * 6
        assert {msgspec.json.decode(r.body)["state"] for r in replies} == {"completed"}
        assert len(site.ledger) == 18 and not twice(site.ledger)

    on_site(test)


def test_bad_input_gets_a_clear_error_and_runs_nothing() -> None:
    async def test(site: Site) -> None:
        one = "a" * 16
        cases = {
            "body": await site.post(0, one, b"{not json"),
            "id": await site.post(0, "xyz", job_body()),
            "empty": await site.post(
                0, one, b'{"spec":"","steps":[],"bestEffort":true}'
            ),
        }
        for name, reply in cases.items():
            assert reply.status == 400, name
            assert msgspec.json.decode(reply.body)["error"]
        unsupported = await site.post(0, one, job_body(best_effort=False))
        assert unsupported.status == 503
        unknown = await site.get(site.nodes[0].listen.callers, f"/other/{one}")
        assert unknown.status == 404
        pending = await site.get(site.nodes[0].listen.callers, "/scan/")
        assert msgspec.json.decode(pending.body) == {"pending": 0}
        assert site.ledger == []

    on_site(test, nodes=1)


def test_a_new_configuration_is_in_force_soon_and_a_bad_one_never() -> None:
    async def test(site: Site) -> None:
        one = "b" * 16
        ops = site.store.topic("keyed.op")
        ops.append("config", b"{broken")
        ops.append(
            "config", msgspec.json.encode({**CONFIG, "version": 1, "routes": []})
        )
        await asyncio.sleep(0.2)
        assert (await site.post(0, one, job_body())).status == 200
        ops.append(
            "config", msgspec.json.encode({**CONFIG, "version": 9, "routes": []})
        )
        await asyncio.sleep(0.2)
        assert [(await site.post(n, one, job_body())).status for n in (0, 1)] == [
            404
        ] * 2

    on_site(test)


def test_entries_of_other_writers_name_no_runner() -> None:
    async def test(site: Site) -> None:
        servers = site.store.topic("keyed.servers")
        servers.append("i-odd", b"\xff\x00")
        servers.append("i-half", b'{"service":"inspect","state":"ready"}')
        servers.append("i-new", b'{"service":"inspect","state":"resting"}')
        await asyncio.sleep(0.8)
        assert (await site.post(0, "c" * 16, job_body(6))).status == 200

    on_site(test)


def test_the_store_s_history_and_its_outage_cost_no_job() -> None:
    async def test(site: Site) -> None:
        for topic in site.store.topics.values():
            topic.expire()
        await asyncio.sleep(0.8)
        site.store.faults.down = True
        await asyncio.sleep(0.5)
        replies = [await site.post(n, f"{n:016x}", job_body()) for n in (0, 1)]
        assert [r.status for r in replies] == [200, 200]

    on_site(test)


def test_a_draining_runner_gets_no_start() -> None:
    async def test(site: Site) -> None:
        site.runners[0].draining = True
        await asyncio.sleep(1.6)
        for i in range(4):
            assert (
                await site.post(0, f"{i:016x}", job_body(2, work_ms=5))
            ).status == 200
        assert "i-0" not in {entry.runner for entry in site.ledger}

    on_site(test, nodes=1)


def test_a_queue_with_advice_is_refused_before_anything_runs() -> None:
    async def test(site: Site) -> None:
        route = {**CONFIG["routes"][0], "advice": {"decideMs": 5}}  # type: ignore[index]
        config = {**CONFIG, "version": 12, "routes": [route]}
        site.store.topic("keyed.op").append("config", msgspec.json.encode(config))
        await asyncio.sleep(0.3)
        reply = await site.post(0, "d" * 16, job_body())
        assert reply.status == 503
        assert b"not supported" in reply.body
        assert site.ledger == []

    on_site(test, nodes=1)
