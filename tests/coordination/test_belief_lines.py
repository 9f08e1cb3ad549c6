"""Tests of the lines and counters that tell what a host believed as it decided."""

import asyncio
import json
import logging
import re
from collections.abc import Coroutine
from typing import Any

import msgspec
import pytest

from monsoongap.errors import AnswerKind
from monsoongap.logs import JsonFormatter
from monsoongap.metrics import Metrics
from monsoongap.protocol.messages import Job, Resources, Step, SubmitCall, TaskId
from monsoongap.standin.runner_model import TaskPlan
from tests import clock
from tests.host_world import QUEUE, World

LIMIT_S = 60.0


def run_virtual(main: Coroutine[Any, Any, None]) -> None:
    async def limited() -> None:
        async with asyncio.timeout(LIMIT_S):
            await main

    clock.run_virtual(limited())


class Told:
    """The lines of all hosts of a world, by event."""

    def __init__(self, caplog: pytest.LogCaptureFixture) -> None:
        caplog.set_level(logging.INFO, "monsoongap")
        self._caplog = caplog

    def clear(self) -> None:
        self._caplog.clear()

    def lines(self, event: str) -> list[dict[str, Any]]:
        formatter = JsonFormatter("any")
        lines = (json.loads(formatter.format(rec)) for rec in self._caplog.records)
        return [line for line in lines if line["event"] == event]


@pytest.fixture
def told(caplog: pytest.LogCaptureFixture) -> Told:
    return Told(caplog)


def other_of(world: World, owner: str) -> str:
    """Return the other host of an owner's data centre."""
    dc = owner.partition("-")[0]
    return next(n for n in world.hosts if n.startswith(dc) and n != owner)


def test_an_owner_tells_how_many_runners_it_knew_and_since_when(told: Told) -> None:
    async def main() -> None:
        world = World({"a": 2, "b": 1}, runners_per_dc=3)
        await world.start()
        owner = world.owner("a")
        other = other_of(world, owner)
        world.send_runner_list(world.hosts[other], "a-r1")
        await asyncio.sleep(2.0)
        told.clear()
        world.hosts[owner].leave()
        await asyncio.sleep(0.5)
        (line,) = told.lines("ownership acquired")
        assert (line["dc"], line["runners"]) == ("a", 2)
        assert 2000 <= line["list_age_ms"] <= 2500

    run_virtual(main())


def test_a_list_of_runners_is_told_when_its_ids_change(told: Told) -> None:
    async def main() -> None:
        world = World({"a": 2}, runners_per_dc=8)
        await world.start()
        host = world.hosts["a-h0"]
        first = told.lines("runner list changed")[0]
        assert (first["added"], first["removed"], first["by_dc"]) == (8, 0, {"a": 8})
        told.clear()
        for _ in range(5):
            world.send_runner_list(host)
        assert told.lines("runner list changed") == []
        world.send_runner_list(host, "a-r1", "a-r3")
        (line,) = told.lines("runner list changed")
        assert (line["source"], line["age_ms"]) == ("store", 0)
        assert (line["runners"], line["added"], line["removed"]) == (6, 0, 2)
        assert line["gone"] == ["a-r1", "a-r3"]
        counts = host.directory.runners_counts
        assert (counts.added, counts.removed, counts.lists_from_peers) == (8, 2, 0)

    run_virtual(main())


def test_a_list_of_a_peer_names_the_peer_and_its_age(told: Told) -> None:
    async def main() -> None:
        world = World({"a": 2}, runners_per_dc=8)
        await world.start()
        fresh = world.start_host("a-h1", listed=False)
        await asyncio.sleep(1.0)
        told.clear()
        assert await fresh.calls.fetch_runners()
        (line,) = told.lines("runner list changed")
        assert line["source"] == "host a-h0"
        assert 2400 <= line["age_ms"] <= 3000
        assert fresh.directory.runners_counts.lists_from_peers == 1
        world.send_runner_list(fresh, *(f"a-r{i}" for i in range(8)))
        assert len(told.lines("runner list changed")[-1]["gone"]) == 6

    run_virtual(main())


JOB = f"{5:016x}"


async def hand_over(world: World, *left_out: str) -> None:
    """Hand a job of six tasks to a host that was started again meanwhile."""
    owner = world.owner("a")
    other = other_of(world, owner)
    job = asyncio.create_task(world.submit(owner, JOB, 6, 1200.0))
    await asyncio.sleep(0.3)
    world.kill(other)
    fresh = world.start_host(other, listed=False)
    world.send_runner_list(fresh, *left_out)
    world.hosts[owner].leave()
    await asyncio.sleep(1.0)
    world.send_runner_list(fresh)
    assert (await job).kind is AnswerKind.COMPLETED
    world.check()


def test_a_past_found_with_all_owners_tells_what_the_call_named(told: Told) -> None:
    async def main() -> None:
        world = World({"a": 2, "b": 1})
        await world.start()
        await hand_over(world)
        (line,) = told.lines("previous runs reconciled")
        assert (line["job"], line["by"], line["again"]) == (JOB, "owners", True)
        assert (line["runs_named"], line["held"]) == (6, 2)
        assert line["waited_ms"] < 300
        fresh = world.hosts[world.owner("a")]
        assert fresh.jobs.counts.past_found == 1

    run_virtual(main())


def test_a_past_that_waited_for_a_runner_tells_how_long(told: Told) -> None:
    async def main() -> None:
        world = World({"a": 2, "b": 1})
        await world.start()
        await hand_over(world, "a-r0")
        (line,) = told.lines("previous runs reconciled")
        assert line["waited_ms"] > 300 and line["tries"] > 3

    run_virtual(main())


def test_a_past_that_cannot_be_settled_is_told_with_few_lines(told: Told) -> None:
    async def main() -> None:
        world = World({"a": 2, "b": 1, "c": 1})
        await world.start()
        await asyncio.sleep(5)
        owner = world.owner("a")
        other = other_of(world, owner)
        for dc in ("b", "c"):
            world.cut_off("a", dc)
        world.kill(owner)
        await asyncio.sleep(0.9)
        assert world.owner("a") == other
        told.clear()
        jobs = [world.submit(other, f"{i:016x}", 1) for i in range(20, 40)]
        await asyncio.gather(*jobs)
        lines = told.lines("previous runs not reconciled")
        assert len(lines) == 20 and all(line["tries"] > 1 for line in lines)
        assert all(line["runs_named"] == 0 for line in lines)
        assert world.hosts[other].jobs.counts.past_unsettled == 20
        found = told.lines("share not reconciled")
        assert {line["reason"] for line in found} == {"no reply"}
        assert 1 <= len(found) <= 8
        assert sum(line.get("untold", 0) for line in found) > 20
        # A while later nothing is left of what the former owner began.
        told.clear()
        await asyncio.sleep(2.4)
        reply = await world.submit(other, JOB, 1)
        assert reply.kind is AnswerKind.COMPLETED
        assert told.lines("previous runs reconciled") == []

    run_virtual(main())


def test_a_past_that_time_settles_says_so(told: Told) -> None:
    async def main() -> None:
        world = World({"a": 2, "b": 1})
        await world.start()
        await asyncio.sleep(5)
        owner = world.owner("a")
        other = other_of(world, owner)
        world.cut_off("a", "b")
        world.kill(owner)
        await asyncio.sleep(0.9 + 3.0)
        assert (await world.submit(other, JOB, 1)).kind is AnswerKind.COMPLETED
        (line,) = told.lines("previous runs reconciled")
        assert (line["by"], line["again"]) == ("time", False)
        assert line["waited_ms"] > 200
        assert world.hosts[other].jobs.counts.past_lapsed == 1

    run_virtual(main())


def test_a_new_job_right_after_a_takeover_is_counted_only(told: Told) -> None:
    async def main() -> None:
        world = World({"a": 2, "b": 1})
        await world.start()
        await asyncio.sleep(5)
        owner = world.owner("a")
        other = other_of(world, owner)
        world.kill(owner)
        await asyncio.sleep(0.9)
        told.clear()
        assert (await world.submit(other, JOB, 1)).kind is AnswerKind.COMPLETED
        assert told.lines("previous runs reconciled") == []
        assert world.hosts[other].jobs.counts.past_found == 1

    run_virtual(main())


def test_a_joined_call_tells_what_it_names(told: Told) -> None:
    async def main() -> None:
        world = World({"a": 1})
        await world.start()
        await asyncio.sleep(5)
        host = world.hosts["a-h0"]
        first = asyncio.create_task(world.submit("a-h0", JOB, 1, 300.0))
        await asyncio.sleep(0.1)
        rec = host.jobs.records[JOB]
        runs = ((TaskId(JOB, 0, 0), 2),)
        call = SubmitCall(rec.job, "a-h1", 1, rec.share, runs=runs, again=True)
        assert await host.jobs.submit(call) == await first
        (line,) = told.lines("repeated submission joined job")
        assert (line["runs_named"], line["again"]) == (1, True)

    run_virtual(main())


def test_a_job_whose_location_has_expired_is_told_at_its_start_and_stop(
    told: Told,
) -> None:
    async def main() -> None:
        world = World({"a": 1, "b": 1})
        await world.start()
        await asyncio.sleep(5)
        await world.submit("a-h0", JOB, 1)
        await asyncio.sleep(16)
        owner = world.hosts["b-h0"]
        assert owner.job_locations.owner_of_job(JOB) is None
        assert owner.job_locations.by_owner() == ()
        call = asyncio.create_task(world.submit("b-h0", JOB, 1, 1000.0))
        await asyncio.sleep(0.3)
        (line,) = told.lines("location of the job has expired; executing it here")
        assert (line["level"], line["job"]) == ("warning", JOB)
        assert (line["owner"], line["again"]) == ("a-h0", False)
        assert 15 < line["age_s"] < 17
        assert owner.jobs.counts.location_expired == 1
        assert world.hosts["a-h0"].jobs.counts.location_expired == 0
        owner.cancel(JOB)
        assert (await call).kind is AnswerKind.BROKEN
        (stop,) = told.lines("stop requested")
        assert (stop["level"], stop["located"]) == ("warning", "a-h0")

    run_virtual(main())


def test_a_job_that_outlives_its_caller_s_wait_is_told_once(told: Told) -> None:
    async def main() -> None:
        world = World({"a": 1})
        await world.start()
        await asyncio.sleep(5)
        payload = msgspec.json.encode(TaskPlan(3000.0)).decode()
        job = Job(JOB, QUEUE, payload, (Step(1, Resources(1000, 64), 0.5),))
        call = asyncio.create_task(world.submit_job("a-h0", job, wait_s=1.0))
        jobs = world.hosts["a-h0"].jobs
        await asyncio.sleep(1.4)
        assert jobs.counts.overdue == 0 and jobs.oldest_s == pytest.approx(1.4)
        assert (await call).kind is AnswerKind.COMPLETED
        (line,) = told.lines(
            "job outlived its callers' wait; keeping it for a repeated submission"
        )
        assert (line["level"], line["job"], line["wait_ms"]) == ("warning", JOB, 1000)
        assert 1500 < line["age_ms"] < 1600
        assert (line["runs"], line["lent"], line["waiting"]) == (1, 0, 0)
        assert jobs.counts.overdue == 1 and jobs.oldest_s == 0
        (placed,) = told.lines("task placed")
        assert placed["age_ms"] < 10 and "again" not in placed

    run_virtual(main())


def test_a_cancel_of_a_job_that_is_at_another_owner_is_told(told: Told) -> None:
    async def main() -> None:
        world = World({"a": 1, "b": 1})
        await world.start()
        await asyncio.sleep(5)
        call = asyncio.create_task(world.submit("a-h0", JOB, 1, 500.0))
        await asyncio.sleep(0.3)
        other = world.hosts["b-h0"]
        other.cancel(JOB)
        (line,) = told.lines("cancelled job is not here; ignoring the cancel")
        assert (line["job"], line["located"]) == (JOB, "a-h0")
        assert other.jobs.counts.cancel_missed == 1
        assert (await call).kind is AnswerKind.COMPLETED

    run_virtual(main())


def long_job(run_s: float = 30.0) -> Job:
    """Return a job of one task whose caller waits for as long as it takes."""
    payload = msgspec.json.encode(TaskPlan(run_s * 1000)).decode()
    return Job(JOB, QUEUE, payload, (Step(1, Resources(1000, 64), run_s),))


def test_a_job_that_ends_without_callers_tells_who_waited_and_how_late_it_stops(
    told: Told,
) -> None:
    async def main() -> None:
        world = World({"a": 2, "b": 1}, handlers_outlive_calls=True)
        await world.start()
        await asyncio.sleep(20)
        owner = world.owner("a")
        entry = other_of(world, owner)
        world.cut_off("a", "b")
        await asyncio.sleep(1.5)
        asyncio.create_task(world.submit_job(entry, long_job(), wait_s=60.0))
        await asyncio.sleep(1)
        (placed,) = told.lines("task placed")
        assert (placed["reconciled_by"], list(placed["silent_dcs"])) == ("new", ["b"])
        assert 1400 < placed["silent_dcs"]["b"] < 1800
        assert (placed["share_reconciled"], placed["unpolled"]) == (True, 0)
        world.power_off(entry)
        await asyncio.sleep(3)
        (end,) = told.lines("job's callers are gone; ending the job")
        (call,) = end["calls"]
        assert (call["sender"], call["kind"]) == (entry, "caller")
        assert call["live"] and "closed_ms" not in end
        assert 900 <= end["awaited_ms"] < 1000
        assert end["awaited_ms"] - 100 <= call["heard_ms"] <= end["awaited_ms"]
        assert (end["in_touch"], list(end["silent_dcs"])) == (False, ["b"])
        assert (end["runs"], end["lent"]) == (1, 0)
        (stop,) = told.lines("stop requested")
        assert stop["after_callers_ms"] == end["awaited_ms"]
        (confirmed,) = told.lines("stop confirmed")
        assert stop["after_callers_ms"] <= confirmed["after_callers_ms"]
        assert (confirmed["run"], confirmed["runner"]) == (stop["run"], stop["runner"])

    run_virtual(main())


def test_an_ordinary_job_tells_nothing_of_reconciliation_or_stops(told: Told) -> None:
    async def main() -> None:
        world = World({"a": 2, "b": 1})
        await world.start()
        await asyncio.sleep(20)
        await world.submit(world.owner("a"), JOB, 1)
        (placed,) = told.lines("task placed")
        assert "reconciled_by" not in placed and "silent_dcs" not in placed
        call = asyncio.create_task(world.submit(world.owner("b"), f"{6:016x}", 1, 500))
        await asyncio.sleep(0.1)
        world.hosts[world.owner("b")].cancel(f"{6:016x}")
        await call
        (stop,) = told.lines("stop requested")
        assert "after_callers_ms" not in stop
        assert told.lines("stop confirmed") == []

    run_virtual(main())


def test_a_job_started_by_time_tells_which_limit_passed(told: Told) -> None:
    async def main() -> None:
        world = World({"a": 2, "b": 1})
        await world.start()
        await asyncio.sleep(5)
        owner = world.owner("a")
        other = other_of(world, owner)
        world.cut_off("a", "b")
        world.kill(owner)
        await asyncio.sleep(0.9 + 3.0)
        assert (await world.submit(other, JOB, 1)).kind is AnswerKind.COMPLETED
        (line,) = told.lines("previous runs reconciled")
        (placed,) = told.lines("task placed")
        assert (line["by"], placed["reconciled_by"]) == ("time", "time")
        for found in (line, placed):
            assert found["limit"] == "share" and found["limit_ago_ms"] < 200
            assert found["silent_dcs"]["b"] > 3000
            assert (found["share_reconciled"], found["unpolled"]) == (True, 0)

    run_virtual(main())


def test_a_job_at_two_owners_is_told_and_counted_once_at_each(told: Told) -> None:
    async def main() -> None:
        world = World({"a": 1, "b": 1})
        await world.start()
        await asyncio.sleep(5)
        world.cut_off("a", "b")
        await asyncio.sleep(1.5)
        calls = [
            asyncio.create_task(world.submit_job(name, long_job(8.0), wait_s=60.0))
            for name in world.hosts
        ]
        await asyncio.sleep(2)
        assert told.lines("job is in progress at two owners") == []
        world.cut.clear()
        await asyncio.sleep(3)
        lines = told.lines("job is in progress at two owners")
        assert {(line["owner"], line["other"]) for line in lines} == {
            ("a-h0", "b-h0"),
            ("b-h0", "a-h0"),
        }
        for line in lines:
            assert (line["level"], line["job"], line["runs"]) == ("warning", JOB, 1)
            assert line["calls"] == [{"sender": "", "kind": "own"}]
            assert line["age_ms"] > 1900
        assert len(lines) == 2
        for host in world.hosts.values():
            metrics = Metrics(host.card.name, host.card.dc)
            metrics.add_counters("jobs", lambda host=host: host.jobs.counts)
            text = metrics.render()[0].decode()
            (sample,) = re.findall(r"jobs_at_two_owners_total{.*} (\d+)", text)
            assert sample == "1"
        await asyncio.gather(*calls)

    run_virtual(main())


def test_a_job_that_is_handed_over_is_not_taken_for_one_at_two_owners(
    told: Told,
) -> None:
    async def main() -> None:
        world = World({"a": 2, "b": 1})
        await world.start()
        await asyncio.sleep(5)
        owner = world.owner("a")
        call = asyncio.create_task(world.submit_job(owner, long_job(3.0), wait_s=60.0))
        await asyncio.sleep(0.2)
        world.hosts[owner].leave()
        assert (await call).kind is AnswerKind.COMPLETED
        assert told.lines("ownership acquired")
        assert told.lines("job is in progress at two owners") == []

    run_virtual(main())
