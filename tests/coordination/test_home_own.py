"""Callers' own keys: claimed once, whatever host, log or peer fails."""

import asyncio

import msgspec
import pytest

from monsoongap.errors import ErrorKind, LogUnavailable
from monsoongap.protocol.messages import JobAnswer, JobError, JobOutcome
from monsoongap.settings import ClaimsSection, EntrySettings, HostSection, LimitsSection
from monsoongap.standin.faults import AppendReplyLost, LogOutage, LogSlow
from monsoongap.state.claims import ClaimRecord
from tests.clock import run_virtual
from tests.home_cluster import Cluster, answers, job

TRIO = {"h1": "dc1", "h2": "dc1", "h3": "dc1"}
TWO_DCS = {"h1": "dc1", "h2": "dc1", "h3": "dc2", "h4": "dc2"}


def error(outcome: JobOutcome) -> tuple[str, str]:
    assert isinstance(outcome, JobError), outcome
    return outcome.error, outcome.outcome


async def at_all(cluster: Cluster, key: str) -> list[JobOutcome]:
    """Submit one key to every host at once."""
    homes = [host.home for host in cluster.hosts.values()]
    return await asyncio.gather(*(home.submit(key, job(8)) for home in homes))


@pytest.mark.parametrize("hosts", [TRIO, TWO_DCS], ids=["one dc", "two dcs"])
@pytest.mark.parametrize(
    "fault", [None, AppendReplyLost(share=0.5), LogSlow(0.2)], ids=str
)
def test_one_key_at_every_host_runs_once(
    hosts: dict[str, str], fault: AppendReplyLost | LogSlow | None
) -> None:
    async def main() -> None:
        cluster = Cluster(hosts)
        cluster.platform.apply(*([fault] if fault else []))
        for number in range(8):
            key = f"frame-{number}"
            for outcome in await at_all(cluster, key):
                assert outcome == JobAnswer(key, answers(key, 8))
            assert cluster.starts(key) == 8
        assert not cluster.duplicates()
        await cluster.close()

    run_virtual(main())


def test_log_outage_is_unknown_and_the_key_runs_when_it_is_back() -> None:
    async def main() -> None:
        cluster = Cluster(TRIO)
        (issued,) = cluster.hosts["h1"].home.issue(1)
        cluster.platform.apply(LogOutage(10.0))
        for outcome in await at_all(cluster, "k"):
            assert error(outcome) == ("log_unavailable", "unknown")
        assert isinstance(
            await cluster.hosts["h2"].home.submit(issued, job()), JobAnswer
        )
        await asyncio.sleep(10)
        assert cluster.starts("k") == 0
        assert await at_all(cluster, "k") == [JobAnswer("k", answers("k", 8))] * 3
        assert cluster.starts("k") == 8
        await cluster.close()

    run_virtual(main())


def test_abandoned_claim_that_landed_is_taken_up_by_its_own_process_only() -> None:
    async def main() -> None:
        cluster = Cluster(TRIO)
        for number in range(16):  # every batcher knows where its streams stand
            await at_all(cluster, f"earlier-{number}")
        for host in cluster.hosts.values():
            host.log.read = unreadable  # type: ignore[method-assign]
        first = await cluster.hosts["h1"].home.submit("k", job(8))
        assert error(first) == ("log_unavailable", "unknown")
        for host in cluster.hosts.values():
            del host.log.read
        again = await cluster.hosts["h2"].home.submit("k", job(8))
        assert again == JobAnswer("k", answers("k", 8))
        assert cluster.starts("k") == 8
        view = await cluster.hosts["h3"].home.view("k")
        assert view is not None and view.home == "h1"
        await cluster.close()

    async def unreadable(*args: object) -> None:
        await asyncio.sleep(2.0)
        raise LogUnavailable("no reply")

    run_virtual(main())


def test_refused_key_is_closed_for_every_host() -> None:
    async def main() -> None:
        cluster = Cluster(TRIO)
        slots = cluster.hosts["h1"].slots
        slots.refuse_with = ErrorKind.OVERLOADED
        started = asyncio.get_running_loop().time()
        refused = await cluster.hosts["h1"].home.submit("k", job())
        assert asyncio.get_running_loop().time() - started <= 0.05
        slots.refuse_with = None
        assert error(refused) == ("overloaded", "not_run")
        for outcome in await asyncio.gather(
            *(host.home.submit("k", job()) for host in cluster.hosts.values())
        ):
            assert error(outcome) == ("overloaded", "not_run")
        assert cluster.starts("k") == 0
        await cluster.close()

    run_virtual(main())


def test_host_that_just_started_waits_for_its_workers_before_it_claims() -> None:
    async def main() -> None:
        cluster = Cluster(TRIO, workers=4)
        host = cluster.hosts["h1"]
        host.workers.link("dc1-w1").delay_s = 0.1
        host.workers.cut_all()
        asyncio.get_running_loop().call_later(0.5, host.workers.cut_all, False)
        outcome = await host.home.submit("k", job())
        assert outcome == JobAnswer("k", answers("k", 2))
        records = [
            msgspec.json.decode(record.data, type=ClaimRecord)
            for stream in cluster.platform.log.streams()
            for record in cluster.platform.log.stored(stream)
        ]
        assert [len(record.workers) for record in records] == [4]
        await cluster.close()

    run_virtual(main())


def test_call_without_permission_does_not_close_the_key() -> None:
    async def main() -> None:
        cluster = Cluster(TRIO)
        slots = cluster.hosts["h1"].slots
        slots.refuse_with = ErrorKind.FORBIDDEN
        assert (
            error(await cluster.hosts["h1"].home.submit("k", job()))[0] == "forbidden"
        )
        slots.refuse_with = None
        assert await cluster.hosts["h1"].home.submit("k", job()) == JobAnswer(
            "k", answers("k", 2)
        )
        await cluster.close()

    run_virtual(main())


def test_job_of_an_own_key_cannot_outlive_its_claim() -> None:
    async def main() -> None:
        cluster = Cluster(TRIO)
        home = cluster.hosts["h1"].home
        keep_ms = round(cluster.cfg.claims.keep_s * 1000)
        too_long = job(deadline_ms=keep_ms // 5 + 1)
        assert error(await home.submit("k", too_long)) == ("bad_request", "not_run")
        assert isinstance(await home.submit("k", job()), JobAnswer)
        (issued,) = home.issue(1)
        assert isinstance(await home.submit(issued, too_long), JobAnswer)
        await cluster.close()

    run_virtual(main())


def test_another_body_is_a_conflict_at_any_host() -> None:
    async def main() -> None:
        cluster = Cluster(TRIO)
        await cluster.hosts["h1"].home.submit("k", job())
        for host in cluster.hosts.values():
            assert error(await host.home.submit("k", job(3)))[0] == "conflict"
        assert await cluster.hosts["h3"].home.submit("k", job()) == JobAnswer(
            "k", answers("k", 2)
        )
        await cluster.close()

    run_virtual(main())


def test_dead_batcher_costs_an_append_and_no_answer() -> None:
    async def main() -> None:
        cluster = Cluster(TRIO)
        for name in ("h2", "h3"):
            cluster.network.cut("h1", name)
        home = cluster.hosts["h1"].home
        keys = [f"k{number}" for number in range(20)]
        outcomes = await asyncio.gather(*(home.submit(key, job(1)) for key in keys))
        assert outcomes == [JobAnswer(key, answers(key, 1)) for key in keys]
        await cluster.close()

    run_virtual(main())


def test_new_reader_of_a_long_stream_reads_only_what_may_stand() -> None:
    async def main() -> None:
        claims = ClaimsSection(buckets=1, keep_s=60.0)
        cfg = EntrySettings(HostSection("h1", "dc1"), claims=claims)
        cluster = Cluster({"h1": "dc1", "h2": "dc1"}, cfg=cfg)
        old = cluster.hosts["h1"].home
        for number in range(400):
            await old.submit(f"k{number}", job(1, run_ms=1.0))
            await asyncio.sleep(1)
        cluster.hosts["h1"].kill()
        cluster.hosts["h2"].kill()
        host = cluster.boot("h2", "dc1", 2)
        outcome = await host.home.submit("k399", job(1, run_ms=1.0))
        assert outcome == JobAnswer("k399", answers("k399", 1))
        assert cluster.starts("k399") == 1
        assert 60 <= host.home.counters()["claims_known"] <= 60 + 30
        await cluster.close()

    run_virtual(main())


def test_log_that_lost_its_records_serves_new_keys_again() -> None:
    async def main() -> None:
        cluster = Cluster(TRIO)
        for number in range(16):
            await at_all(cluster, f"earlier-{number}")
        cluster.platform.log._streams.clear()
        for number in range(16):
            key = f"later-{number}"
            assert await at_all(cluster, key) == [JobAnswer(key, answers(key, 8))] * 3
            assert cluster.starts(key) == 8
        await cluster.close()

    run_virtual(main())


def test_leaving_host_lets_a_peer_claim() -> None:
    async def main() -> None:
        cluster = Cluster(TRIO)
        leaving = cluster.hosts["h1"]
        work = asyncio.create_task(leaving.home.submit("before", job()))
        await asyncio.sleep(0.08)
        leaving.drain.begin()
        after = await leaving.home.submit("after", job())
        assert after == JobAnswer("after", answers("after", 2))
        await leaving.home.drained()
        assert work.done() and isinstance(work.result(), JobAnswer)
        assert (await cluster.hosts["h2"].home.view("after")).home != "h1"  # type: ignore[union-attr]
        (issued,) = leaving.home.issue(1)
        assert error(await leaving.home.submit(issued, job())) == (
            "draining",
            "not_run",
        )
        await cluster.close()

    run_virtual(main())


def test_host_that_ends_at_once_tells_every_caller_the_truth() -> None:
    async def main() -> None:
        cluster = Cluster(TRIO, workers=1)
        leaving, other = cluster.hosts["h1"].home, cluster.hosts["h2"].home
        mine, queued = leaving.issue(2)
        theirs, _ = other.issue(2)
        long = job(2, run_ms=9_000)
        calls = {}
        asyncio.create_task(other.submit("followed", long))
        await asyncio.sleep(0.1)
        for submission in (mine, queued, theirs, "followed"):
            calls[submission] = asyncio.create_task(leaving.submit(submission, long))
            await asyncio.sleep(0.1)
        await leaving.end_all()
        await asyncio.wait(calls.values(), timeout=1.0)
        told = {name: error(call.result()) for name, call in calls.items()}
        assert told == {
            mine: ("draining", "failed"),
            queued: ("draining", "not_run"),
            theirs: ("home_unreachable", "unknown"),
            "followed": ("home_unreachable", "unknown"),
        }
        assert isinstance(await other.submit("followed", long), JobAnswer)
        await leaving.drained()
        assert cluster.starts(queued) == 0
        await cluster.close()

    run_virtual(main())


def test_key_refused_for_want_of_room_is_unknown_and_may_run_elsewhere() -> None:
    async def main() -> None:
        cfg = EntrySettings(HostSection("h1", "dc1"), limits=LimitsSection(jobs=1))
        cluster = Cluster(TRIO, cfg=cfg)
        full = cluster.hosts["h1"].home
        asyncio.create_task(full.submit("first", job(run_ms=3_000)))
        await asyncio.sleep(0.1)
        assert error(await full.submit("k", job())) == ("overloaded", "unknown")
        outcome = await cluster.hosts["h2"].home.submit("k", job())
        assert outcome == JobAnswer("k", answers("k", 2))
        await cluster.close()

    run_virtual(main())


def test_job_is_viewed_and_cancelled_from_any_host() -> None:
    async def main() -> None:
        cluster = Cluster(TWO_DCS)
        (issued,) = cluster.hosts["h1"].home.issue(1)
        for submission in ("k", issued):
            work = asyncio.create_task(
                cluster.hosts["h1"].home.submit(submission, job(run_ms=5_000))
            )
            await asyncio.sleep(0.5)
            view = await cluster.hosts["h4"].home.view(submission)
            assert view is not None and (view.home, view.phase) == ("h1", "running")
            assert await cluster.hosts["h4"].home.cancel(submission)
            assert error(await work) == ("cancelled", "failed")
        assert await cluster.hosts["h2"].home.view("never-seen") is None
        await cluster.close()

    run_virtual(main())
