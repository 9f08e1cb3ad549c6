"""Issued ids: admitted once, joined, replayed, cancelled, ended in time."""

import asyncio

import pytest

from monsoongap.errors import ErrorKind
from monsoongap.protocol.messages import JobAnswer, JobError
from monsoongap.standin.faults import Die, FailAll, ReplyLost
from tests.clock import run_virtual
from tests.home_cluster import Cluster, answers, job


def test_many_callers_get_one_run_and_a_replay() -> None:
    async def main() -> None:
        cluster = Cluster({"h1": "dc1"})
        home = cluster.hosts["h1"].home
        (submission,) = home.issue(1)
        gone = asyncio.create_task(home.submit(submission, job()))
        await asyncio.sleep(0.01)
        gone.cancel()
        first, second = await asyncio.gather(
            home.submit(submission, job()), home.submit(submission, job())
        )
        replay = await home.submit(submission, job())
        other = await home.submit(submission, job(tasks=3))
        assert (
            first == second == replay == JobAnswer(submission, answers(submission, 2))
        )
        assert isinstance(other, JobError) and other.error == ErrorKind.CONFLICT
        assert cluster.starts(submission) == 2
        assert home.in_flight() == 0 and cluster.hosts["h1"].slots.admitted == 0
        await cluster.close()

    run_virtual(main())


def test_never_issued_and_forgotten_ids_are_never_run() -> None:
    async def main() -> None:
        cluster = Cluster({"h1": "dc1", "h2": "dc1"})
        home = cluster.hosts["h1"].home
        (submission,) = home.issue(1)
        for asked in ("key", submission):
            answer = await home.submit(asked, job())
            assert answer == JobAnswer(asked, answers(asked, 2))
            home._jobs.table.forget(asked)
            for host in cluster.hosts.values():
                host.home._jobs.table.forget(asked)
                assert await host.home.submit(asked, job()) == answer
                host.home._jobs.table.forget(asked)
                assert isinstance(await host.home.submit(asked, job(1)), JobError)
        for host in cluster.hosts.values():
            host.workers.cut_all()
            for asked in ("key", submission, submission[:-1] + "9"):
                host.home._jobs.table.forget(asked)
                outcome = await host.home.submit(asked, job())
                assert isinstance(outcome, JobError)
                assert (outcome.error, outcome.outcome) == ("not_found", "unknown")
        assert cluster.starts(submission) == cluster.starts("key") == 2
        await cluster.close()

    run_virtual(main())


@pytest.mark.parametrize("fault", [ReplyLost(), ReplyLost(silent=True)])
def test_lost_replies_are_settled_with_one_start(fault: ReplyLost) -> None:
    async def main() -> None:
        cluster = Cluster({"h1": "dc1"})
        home = cluster.hosts["h1"].home
        cluster.platform.apply(fault)
        (submission,) = home.issue(1)
        outcome = await home.submit(submission, job(tasks=8))
        assert outcome == JobAnswer(submission, answers(submission, 8))
        assert cluster.starts(submission) == 8
        await cluster.close()

    run_virtual(main())


def test_start_that_never_arrived_is_barred_then_placed_again() -> None:
    async def main() -> None:
        cluster = Cluster({"h1": "dc1"}, workers=2)
        host = cluster.hosts["h1"]
        host.workers.link("dc1-w1").stale = 1
        (submission,) = host.home.issue(1)
        outcome = await host.home.submit(submission, job(tasks=1))
        assert outcome == JobAnswer(submission, answers(submission, 1))
        assert cluster.starts(submission) == 1
        assert host.home.counters()["retries"] == 1
        await cluster.close()

    run_virtual(main())


def test_dead_worker_leaves_unknown_or_failed_never_a_second_start() -> None:
    async def main(tasks: int) -> JobError:
        cluster = Cluster({"h1": "dc1"}, workers=2)
        home = cluster.hosts["h1"].home
        (submission,) = home.issue(1)
        work = asyncio.create_task(home.submit(submission, job(tasks)))
        await asyncio.sleep(0.05)
        cluster.platform.apply(Die("dc1-w1", restart_s=0.2))
        outcome = await work
        assert isinstance(outcome, JobError)
        assert not cluster.duplicates()
        await cluster.close()
        return outcome

    assert run_virtual(main(1)).outcome == "unknown"

    async def cut(tasks: int) -> JobError:
        cluster = Cluster({"h1": "dc1"}, workers=2)
        host = cluster.hosts["h1"]
        (submission,) = host.home.issue(1)
        work = asyncio.create_task(host.home.submit(submission, job(tasks)))
        await asyncio.sleep(0.05)
        host.workers.link("dc1-w1").silence(new_works=False)
        outcome = await work
        assert isinstance(outcome, JobError)
        await cluster.close()
        return outcome

    # The cut-off worker may still hold the one missing answer.
    assert run_virtual(cut(2)).outcome == "unknown"
    # Another host may have collected both answers before the worker died.
    assert run_virtual(main(2)).outcome == "unknown"
    assert run_virtual(main(40)).outcome == "failed"


def test_first_failed_task_stops_the_rest() -> None:
    async def main() -> None:
        cluster = Cluster({"h1": "dc1"}, workers=2)
        home = cluster.hosts["h1"].home
        cluster.platform.apply(FailAll("dc1-w1"))
        (submission,) = home.issue(1)
        started = asyncio.get_running_loop().time()
        outcome = await home.submit(submission, job(tasks=40, run_ms=5_000))
        assert isinstance(outcome, JobError)
        assert (outcome.error, outcome.outcome) == ("task_failed", "failed")
        assert asyncio.get_running_loop().time() - started < 0.5
        assert all(model.busy == 0 for model in cluster.platform.models.values())
        await cluster.close()

    run_virtual(main())


@pytest.mark.parametrize("stop", ["deadline", "cancel"])
@pytest.mark.parametrize("busy", [False, True])
def test_stopped_job_tells_whether_it_started(stop: str, busy: bool) -> None:
    async def main() -> None:
        cluster = Cluster({"h1": "dc1"}, workers=1)
        home = cluster.hosts["h1"].home
        blocker, submission = home.issue(2)
        if busy:
            asyncio.create_task(home.submit(blocker, job(8, run_ms=9_000)))
            await asyncio.sleep(0.1)
        work = asyncio.create_task(
            home.submit(submission, job(1, run_ms=5_000, deadline_ms=1_000))
        )
        await asyncio.sleep(0.5)
        if stop == "cancel":
            assert await home.cancel(submission)
        outcome = await work
        assert isinstance(outcome, JobError)
        before = {
            "deadline": "deadline_before_start",
            "cancel": "cancelled_before_start",
        }
        after = {"deadline": "deadline", "cancel": "cancelled"}
        if busy:
            assert (outcome.error, outcome.outcome) == (before[stop], "not_run")
        else:
            assert (outcome.error, outcome.outcome) == (after[stop], "failed")
        await asyncio.sleep(10)
        assert cluster.starts(submission) == (0 if busy else 1)
        await cluster.close()

    run_virtual(main())


def test_cancellation_wave_is_bounded_and_leaves_nothing_running() -> None:
    async def main() -> None:
        cluster = Cluster({"h1": "dc1"}, workers=24)
        host = cluster.hosts["h1"]
        submissions = host.home.issue(200)
        work = [
            asyncio.create_task(host.home.submit(s, job(4, run_ms=3_000)))
            for s in submissions
        ]
        await asyncio.sleep(0.5)
        for submission in submissions:
            assert await host.home.cancel(submission)
        outcomes = await asyncio.gather(*work)
        for submission, outcome in zip(submissions, outcomes, strict=True):
            assert isinstance(outcome, JobError)
            promised = "failed" if cluster.starts(submission) else "not_run"
            assert outcome.outcome == promised
        assert (
            host.workers.counts["revoke"]
            <= cluster.platform.models["dc1-w1"].shape.slots * 24
        )
        assert sum(model.busy for model in cluster.platform.models.values()) == 0
        await cluster.close()

    run_virtual(main())
