"""A lost home: what its own keys' callers are told, and what never starts."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from monsoongap.coordination.parts import PeerStatus
from monsoongap.protocol.messages import JobAnswer, JobError, JobOutcome
from monsoongap.standin.faults import Die, Pause
from tests.clock import run_virtual
from tests.home_cluster import Cluster, answers, job

TRIO = {"h1": "dc1", "h2": "dc1", "h3": "dc1"}
DEADLINE_MS = 60_000


def told(outcome: JobOutcome) -> tuple[str, str]:
    assert isinstance(outcome, JobError), outcome
    return outcome.error, outcome.outcome


async def recovered(
    tasks: int,
    busy: bool,
    fault: Callable[[Cluster], Awaitable[None]],
    run_ms: float = 500.0,
) -> tuple[Cluster, JobOutcome]:
    """Kill the home 0.4 s into a job and submit it again at another host.

    With `busy` every slot of the home is taken, so that no task starts.
    """
    cluster = Cluster(TRIO, workers=2)
    home = cluster.hosts["h1"].home
    if busy:
        (blocker,) = home.issue(1)
        asyncio.create_task(home.submit(blocker, job(4, 30_000, DEADLINE_MS)))
        await asyncio.sleep(0.1)
    req = job(tasks, run_ms, DEADLINE_MS)
    asyncio.create_task(home.submit("k", req))
    await asyncio.sleep(0.4)
    await fault(cluster)
    outcome = await cluster.hosts["h2"].home.submit("k", req)
    starts = cluster.starts("k")
    await asyncio.sleep(90)
    assert cluster.starts("k") == starts and not cluster.duplicates()
    return cluster, outcome


async def kill(cluster: Cluster) -> None:
    cluster.hosts["h1"].kill()


async def restart(cluster: Cluster) -> None:
    cluster.hosts["h1"].kill()
    cluster.boot("h1", "dc1", 2)


async def kill_and_lose_a_worker(cluster: Cluster) -> None:
    cluster.hosts["h1"].kill()
    cluster.platform.apply(Die("dc1-w1", restart_s=0.1))


async def kill_and_cut_a_worker(cluster: Cluster) -> None:
    cluster.hosts["h1"].kill()
    for host in cluster.hosts.values():
        host.workers.link("dc1-w1").cut = True


async def kill_and_pause_workers(cluster: Cluster) -> None:
    cluster.hosts["h1"].kill()
    cluster.platform.apply(Pause(2.0))


@pytest.mark.parametrize("fault", [kill, restart, kill_and_pause_workers])
def test_answers_that_the_workers_have_are_complete(
    fault: Callable[[Cluster], Awaitable[None]],
) -> None:
    async def main() -> None:
        cluster, outcome = await recovered(4, False, fault)
        assert outcome == JobAnswer("k", answers("k", 4))
        assert cluster.starts("k") == 4
        replay = await cluster.hosts["h3"].home.submit("k", job(4, 500.0, DEADLINE_MS))
        assert replay == outcome
        await cluster.close()

    run_virtual(main())


@pytest.mark.parametrize(
    ("tasks", "busy", "fault", "promise", "starts"),
    [
        (4, True, kill, "not_run", 0),
        (4, True, restart, "not_run", 0),
        (4, True, kill_and_cut_a_worker, "unknown", 0),
        (4, True, kill_and_lose_a_worker, "unknown", 0),
        (12, False, kill, "failed", 4),
        (2, False, kill_and_lose_a_worker, "unknown", 2),
    ],
)
def test_lost_jobs_are_told_what_can_be_proved(
    tasks: int,
    busy: bool,
    fault: Callable[[Cluster], Awaitable[None]],
    promise: str,
    starts: int,
) -> None:
    async def main() -> None:
        cluster, outcome = await recovered(tasks, busy, fault, run_ms=10_000)
        assert told(outcome) == ("home_lost", promise)
        assert cluster.starts("k") == starts
        await cluster.close()

    run_virtual(main())


def test_paused_home_wakes_to_fences_and_tells_its_callers_the_truth() -> None:
    async def main() -> None:
        cluster = Cluster(TRIO, workers=2)
        paused = cluster.hosts["h1"]
        (blocker,) = paused.home.issue(1)
        asyncio.create_task(paused.home.submit(blocker, job(4, 5_000, DEADLINE_MS)))
        await asyncio.sleep(0.1)
        req = job(2, 100, DEADLINE_MS)
        first = asyncio.create_task(paused.home.submit("k", req))
        await asyncio.sleep(0.4)
        paused.running.clear()
        cluster.tell(paused.identity, PeerStatus.SUSPECT)
        assert told(await cluster.hosts["h2"].home.submit("k", req)) == (
            "home_lost",
            "not_run",
        )
        await asyncio.sleep(3)
        paused.running.set()
        assert told(await first) == ("home_lost", "not_run")
        assert cluster.starts("k") == 0
        await cluster.close()

    run_virtual(main())


def test_issued_ids_of_a_lost_home_are_answered_by_workers_or_unknown() -> None:
    async def main() -> None:
        cluster = Cluster({"h1": "dc1", "h2": "dc1", "h3": "dc2"}, workers=2)
        home = cluster.hosts["h1"].home
        whole, half, unused = home.issue(3)
        asyncio.create_task(home.submit(whole, job(2, 2_000.0)))
        asyncio.create_task(home.submit(half, job(30, 2_000.0)))
        await asyncio.sleep(0.5)
        cluster.hosts["h1"].kill()
        started = cluster.starts(half)
        assert 0 < started < 30
        answer = JobAnswer(whole, answers(whole, 2))
        assert await cluster.hosts["h2"].home.submit(whole, job(2, 2_000.0)) == answer
        cluster.boot("h1", "dc1", 2)
        for name in ("h1", "h2", "h3"):
            home = cluster.hosts[name].home
            assert await home.submit(whole, job(2, 2_000.0)) == answer
            for submission, req in ((half, job(30, 2_000.0)), (unused, job(2))):
                outcome = await home.submit(submission, req)
                assert told(outcome) == ("home_lost", "unknown")
        await asyncio.sleep(30)
        assert cluster.starts(half) == started and cluster.starts(unused) == 0
        assert not cluster.duplicates()
        await cluster.close()

    run_virtual(main())


def test_unsettled_outcome_is_completed_once_the_worker_is_back() -> None:
    async def main() -> None:
        cluster = Cluster({"h1": "dc1"}, workers=2)
        host = cluster.hosts["h1"]
        (issued,) = host.home.issue(1)
        for submission in (issued, "key"):
            work = asyncio.create_task(host.home.submit(submission, job(2)))
            await asyncio.sleep(0.05)
            link = host.workers.link("dc1-w1")
            link.silence(new_works=False)
            assert told(await work) == ("start_unsettled", "unknown")
            assert told(await host.home.submit(submission, job(2)))[1] == "unknown"
            link.heal()
            again = await host.home.submit(submission, job(2))
            assert again == JobAnswer(submission, answers(submission, 2))
            link.cut = True
            assert await host.home.submit(submission, job(2)) == again
            link.heal()
            assert cluster.starts(submission) == 2
        await cluster.close()

    run_virtual(main())


def test_forward_to_a_cut_off_home_waits_for_it_within_the_deadline() -> None:
    async def main() -> None:
        cluster = Cluster({"h1": "dc1", "h2": "dc2"}, workers=2)
        one, two = cluster.hosts["h1"].home.issue(2)
        cluster.network.cut("dc1", "dc2")
        work = asyncio.create_task(cluster.hosts["h2"].home.submit(one, job(2)))
        assert told(await cluster.hosts["h2"].home.submit(two, job(2, 9, 1_000))) == (
            "home_unreachable",
            "unknown",
        )
        cluster.network.heal("dc1", "dc2")
        cluster.network.lose_replies("h1", "home.submit")
        assert await work == JobAnswer(one, answers(one, 2))
        assert cluster.starts(one) == 2
        await cluster.close()

    run_virtual(main())
