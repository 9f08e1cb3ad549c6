"""Issued ids that outlive a host which left in good order."""

import asyncio

import pytest

from monsoongap.protocol.messages import JobAnswer, JobError
from monsoongap.state.jobs import IssuedWindow
from tests.clock import run_virtual
from tests.home_cluster import Cluster, job

HOSTS = {"h1": "dc1", "h2": "dc1", "h3": "dc2"}
DEADLINE_S = 10.0


@pytest.mark.parametrize("asked", ["h2", "h3", "h1 again"])
@pytest.mark.parametrize("lost_replies", [0, 1])
def test_unused_ids_of_a_host_that_left_are_proved_not_run(
    asked: str, lost_replies: int
) -> None:
    async def main() -> None:
        cluster = Cluster(HOSTS)
        home = cluster.hosts["h1"]
        used, unused = home.home.issue(2)
        assert isinstance(await home.home.submit(used, job()), JobAnswer)
        cluster.network.lose_replies("h3", "farewell", lost_replies)
        home.drain.begin()
        refused = await home.home.submit(unused, job())
        await asyncio.sleep(1.0)
        home.kill()
        if asked == "h1 again":
            cluster.boot("h1", "dc1", 2)
        other = cluster.hosts[asked.split()[0]].home
        began_at = asyncio.get_running_loop().time()
        late = await other.submit(unused, job())
        replayed = await other.submit(used, job())
        took_s = asyncio.get_running_loop().time() - began_at
        for outcome in (refused, late):
            assert isinstance(outcome, JobError)
            assert (outcome.error, outcome.outcome) == ("draining", "not_run")
        assert isinstance(replayed, JobAnswer)
        assert took_s < DEADLINE_S / 2
        assert cluster.starts(unused) == 0 and not cluster.duplicates()
        await cluster.close()

    run_virtual(main())


def test_a_host_that_died_without_farewell_proves_nothing() -> None:
    async def main() -> None:
        cluster = Cluster(HOSTS)
        (unused,) = cluster.hosts["h1"].home.issue(1)
        cluster.hosts["h1"].kill()
        outcome = await cluster.hosts["h2"].home.submit(unused, job())
        assert isinstance(outcome, JobError) and outcome.outcome == "unknown"
        await cluster.close()

    run_virtual(main())


@pytest.mark.parametrize("size", [8, 100])
def test_snapshot_agrees_with_the_window(size: int) -> None:
    window = IssuedWindow(size)
    serials = [window.issue() for _ in range(40)]
    taken = [serial for serial in serials if serial % 3 == 0 and window.take(serial)]
    snapshot = window.snapshot()
    for serial in serials:
        assert snapshot.is_unused(serial) == (not window.is_used(serial))
        assert not (serial in taken and snapshot.is_unused(serial))
    assert snapshot.is_unused(41) and not snapshot.is_unused(0)
