"""Tests of takeovers in which an owner did not hear all that earlier ones did."""

import asyncio
from collections.abc import Callable
from itertools import combinations, product

import msgspec
import pytest

from monsoongap.coordination.coverage import Coverage, digest_of
from monsoongap.errors import AnswerKind
from monsoongap.protocol.messages import (
    Claim,
    Job,
    PrepareCall,
    Resources,
    RunnerDigest,
    ShareId,
    Step,
)
from monsoongap.standin.runner_model import TaskPlan
from tests.coordination.test_host import run_virtual
from tests.coordination.test_members import Clock
from tests.coordination.test_runner_lists import BOTH_RUNNERS, next_owner
from tests.host_world import QUEUE, World

LEASE_S = 1.0
SHARE = ShareId("a", 0)
HELD = ("r0", "r1")
STEP_S = 0.001


async def until(ready: Callable[[], bool], limit_s: float = 15.0) -> None:
    for _ in range(int(limit_s / STEP_S)):
        if ready():
            return
        await asyncio.sleep(STEP_S)
    raise AssertionError("did not come about")


def busy(world: World, runner: str) -> bool:
    return any(e.runner == runner and e.ended_at is None for e in world.ledger)


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def coverage(clock: Clock) -> Coverage:
    made = Coverage(clock, LEASE_S)
    clock.at += 10.0
    return made


# Guards against a digest of long ago: the data centre was divided otherwise since,
# and the last owner held a runner that this host does not know.
def test_a_digest_from_before_another_division_tells_nothing(
    coverage: Coverage, clock: Clock
) -> None:
    coverage.record_claims(
        (Claim(ShareId("a", 1), 2, 10),), (RunnerDigest(digest_of(HELD), 0),)
    )
    clock.at += 0.2
    coverage.record_claims(
        (Claim(SHARE, 1, 20),), (RunnerDigest(digest_of(("q", "r9", *HELD)), 0),)
    )
    clock.at += 0.2
    new = Claim(ShareId("a", 1), 2, 30)
    coverage.acquire(new)
    assert not coverage.is_complete(new, HELD)


# Guards against a digest of an owner that was replaced by one never heard.
def test_a_digest_heard_long_before_the_takeover_tells_nothing(
    coverage: Coverage, clock: Clock
) -> None:
    coverage.record_claims((Claim(SHARE, 1, 10),), (RunnerDigest(digest_of(HELD), 0),))
    clock.at += 30.0
    new = Claim(SHARE, 1, 30)
    coverage.acquire(new)
    assert not coverage.is_complete(new, HELD)


# Guards against runs of this host's own, from before it lost the share for a while to
# one that it never heard: the last digest heard is older than they are.
def test_a_digest_from_before_an_own_claim_tells_nothing(
    coverage: Coverage, clock: Clock
) -> None:
    coverage.record_claims((Claim(SHARE, 1, 10),), (RunnerDigest(digest_of(HELD), 0),))
    mine = Claim(SHARE, 1, 20)
    coverage.acquire(mine)
    assert coverage.digest(mine, HELD) == RunnerDigest(digest_of(HELD), 0)
    clock.at += 0.5
    coverage.release(mine)
    clock.at += 0.5
    again = Claim(SHARE, 1, 30)
    coverage.acquire(again)
    assert not coverage.is_complete(again, HELD)


# Guards against a wait that is counted from the start of a process though the owner
# of the undivided data centre was heard after it.
def test_an_owner_of_the_undivided_data_centre_was_not_lost_before_the_start(
    clock: Clock,
) -> None:
    coverage = Coverage(clock, LEASE_S)
    clock.at += 0.3
    coverage.record_claims((Claim(SHARE, 1, 10),), (RunnerDigest(digest_of(HELD), 0),))
    clock.at += 0.6
    new = Claim(ShareId("a", 1), 2, 30)
    coverage.acquire(new)
    # The owner lived 0.6 s ago, and gave a lease.
    clock.at += LEASE_S - 0.6 - 0.02
    assert not coverage.is_complete(new, ())
    clock.at += 0.37
    assert not coverage.is_complete(new, ())


# Guards against needless waits: what was known stays known as more runners join.
def test_a_runner_that_joins_later_does_not_bring_doubt_back(
    coverage: Coverage,
) -> None:
    coverage.record_claims((Claim(SHARE, 1, 10),), (RunnerDigest(digest_of(HELD), 0),))
    new = Claim(SHARE, 1, 20)
    coverage.acquire(new)
    assert coverage.is_complete(new, HELD)
    assert coverage.is_complete(new, (*HELD, "r2"))


# Guards against a runner that left the list before it was reached: what the former
# owner began there may go on.
def test_a_runner_that_leaves_after_it_was_counted_brings_doubt_back(
    coverage: Coverage,
) -> None:
    coverage.record_claims((Claim(SHARE, 1, 10),), (RunnerDigest(digest_of(HELD), 0),))
    new = Claim(SHARE, 1, 20)
    coverage.acquire(new)
    assert coverage.is_complete(new, HELD)
    assert not coverage.is_complete(new, HELD[:1])


# Guards against needless waits: an owner that hears its successor's claim stays a
# witness of what it holds until it lets go.
def test_an_owner_that_hears_its_successor_still_tells_what_it_holds(
    coverage: Coverage, clock: Clock
) -> None:
    mine = Claim(SHARE, 1, 10)
    coverage.acquire(mine)
    clock.at += 5.0
    assert coverage.digest(mine, HELD) == RunnerDigest(digest_of(HELD), 0)
    coverage.record_claims((Claim(SHARE, 1, 20),), (RunnerDigest(0, 1250),))
    assert coverage.digest(mine, HELD) == RunnerDigest(digest_of(HELD), 0)


def test_digests_of_like_ids_do_not_collide() -> None:
    pairs = list(combinations("0123456789abcdef", 2))
    for pad in ("", "x" * 3, "x" * 7):
        for (a, b), (c, d) in product(pairs, pairs):
            one, two = (a + pad + c, b + pad + d), (a + pad + d, b + pad + c)
            assert digest_of(one) != digest_of(two)


# Guards against a lost beat: the owner opens a new runner, starts work there and dies
# before its next beat.
@pytest.mark.parametrize("lost", [True, False])
def test_a_runner_opened_in_the_last_beat_s_time_is_counted(lost: bool) -> None:
    async def main() -> None:
        world = World({"a": 2, "b": 1})
        await world.start()
        await asyncio.sleep(5)
        owner, successor = world.owner("a"), next_owner(world, "a")
        for host in world.hosts.values():
            world.send_runner_list(host, "a-r1", "b-r0", "b-r1")
        await asyncio.sleep(6)
        job = asyncio.create_task(
            world.submit(
                successor, f"{1:016x}", 6, works_ms=(450.0,) * 4 + (1500.0,) * 2
            )
        )
        await asyncio.sleep(0.2)
        if lost:
            world.cut_off(owner, successor)
        world.send_runner_list(world.hosts[owner], "b-r0", "b-r1")
        await asyncio.sleep(STEP_S / 2)
        world.cut.clear()
        await asyncio.sleep(0.015)
        world.kill(owner)
        assert (await job).kind in (AnswerKind.COMPLETED, AnswerKind.BROKEN)
        world.check()

    run_virtual(main())


# Guards against an owner in between that this host never heard.
def test_an_owner_in_between_that_was_not_heard_is_counted() -> None:
    async def main() -> None:
        world = World({"a": 3, "b": 1})
        await world.start()
        await asyncio.sleep(5)
        first = world.owner("a")
        others = [n for n in world.hosts if n.startswith("a") and n != first]
        for host in world.hosts.values():
            world.send_runner_list(host, "a-r1", "b-r0", "b-r1")
        await asyncio.sleep(5)
        cards = [world.hosts[n].card for n in others]
        second = world.hosts[others[0]].ownership._preferred_owner(SHARE, cards)
        third = next(n for n in others if n != second)
        for name in (first, second, "b"):
            world.cut_off(third, name)
        world.hosts[first].leave()
        await until(lambda: world.hosts[second].owns("a"))
        world.send_runner_list(world.hosts[second], "b-r0", "b-r1")
        works_ms = (600.0,) * 4 + (3000.0,) * 2
        job = asyncio.create_task(
            world.submit(second, f"{1:016x}", BOTH_RUNNERS, works_ms=works_ms)
        )
        await until(lambda: busy(world, "a-r1"))
        world.kill(first)
        await asyncio.sleep(0.2)
        world.kill(second)
        world.cut.clear()
        await until(lambda: world.hosts[third].owns("a"))
        again = await world.submit(third, f"{1:016x}", BOTH_RUNNERS, works_ms=works_ms)
        assert again.kind in (AnswerKind.COMPLETED, AnswerKind.BROKEN)
        await job
        world.check()

    run_virtual(main())


# Guards against a hand-over by an owner that gave leases long after it was replaced:
# it was cut off from the other hosts and from all but one runner, and learns of its
# successor from a runner, so that nobody hears its old claim.
@pytest.mark.parametrize("cut_s", [2.5, 3.0, 5.0, 7.0])
def test_a_job_handed_on_after_a_cut_is_not_begun_beside_its_runs(
    cut_s: float,
) -> None:
    async def main() -> None:
        world = World({"a": 2, "b": 1})
        await world.start()
        await asyncio.sleep(5)
        owner, successor = world.owner("a"), next_owner(world, "a")
        world.send_runner_list(world.hosts[successor], "a-r1")
        for name in (successor, "b", "a-r0"):
            world.cut_off(owner, name)
        await asyncio.sleep(cut_s - 0.5)
        job = asyncio.create_task(world.submit(owner, f"{1:016x}", 2, 2000.0))
        await asyncio.sleep(0.5)
        world.cut.clear()
        await job
        world.check()

    run_virtual(main())


# Guards against an owner that counts a silent runner's runs as lapsed though its
# successor renews their leases: it is cut off from hosts and that runner only.
def test_runs_whose_leases_a_successor_renews_are_not_counted_as_lapsed() -> None:
    async def main() -> None:
        world = World({"a": 2, "b": 1})
        await world.start()
        await asyncio.sleep(5)
        owner, successor = world.owner("a"), next_owner(world, "a")
        job = asyncio.create_task(
            world.submit(owner, f"{1:016x}", BOTH_RUNNERS, 4000.0)
        )
        await until(lambda: busy(world, "a-r1"))
        await asyncio.sleep(0.1)
        for name in (successor, "b", "a-r0"):
            world.cut_off(owner, name)
        for name in (successor, "b"):
            world.cut_off("a-r1", name)
        await asyncio.sleep(2.5)
        world.cut.clear()
        await job
        world.check()

    run_virtual(main())


# Guards against an owner that goes on for as long as it is cut off from other hosts,
# with a runner that its successor does not know, or cannot reach. With `rests` it
# reaches the other runner too, which knows of the successor, but does not look at it.
@pytest.mark.parametrize("case", ["unlisted", "unreachable", "rests"])
def test_an_owner_cut_off_with_a_runner_is_bounded(case: str) -> None:
    async def main() -> None:
        world = World({"a": 2, "b": 1})
        await world.start()
        await asyncio.sleep(5)
        owner, successor = world.owner("a"), next_owner(world, "a")
        if case != "unreachable":
            world.send_runner_list(world.hosts[successor], "a-r1")
        works_ms = (150.0 if case == "rests" else 6000.0,) * 4 + (6000.0,) * 2
        job = asyncio.create_task(
            world.submit(successor, f"{1:016x}", 6, works_ms=works_ms)
        )
        await until(lambda: busy(world, "a-r1"))
        await asyncio.sleep(0.3)
        for name in (successor, "b"):
            world.cut_off(owner, name)
            if case == "unreachable":
                world.cut_off("a-r1", name)
        if case != "rests":
            world.cut_off(owner, "a-r0")
        await asyncio.sleep(5.0)
        world.cut.clear()
        await job
        world.check()

    run_virtual(main())


# Guards against "not run" said of a job of which an earlier owner began a task: its
# caller's new try came to the new owner before the hand-over did, and the new owner
# started too late to hear of the job.
@pytest.mark.parametrize("restarted", [True, False])
@pytest.mark.parametrize("transfers", [True, False])
def test_a_handed_on_job_that_a_new_try_was_first_with_is_not_called_not_run(
    restarted: bool, transfers: bool
) -> None:
    async def main() -> None:
        world = World({"a": 2, "b": 1})
        await world.start()
        await asyncio.sleep(5)
        owner, successor = world.owner("a"), next_owner(world, "a")
        first = asyncio.create_task(
            world.submit(owner, f"{1:016x}", BOTH_RUNNERS, 4000.0)
        )
        await asyncio.sleep(0.5)
        if restarted:
            world.kill(successor)
            await asyncio.sleep(0.2)
            world.start_host(successor)
            await asyncio.sleep(1.6)
        world.send_runner_list(world.hosts[successor], "a-r1")
        # Nothing of the past can be settled: a data centre is out of reach.
        world.cut_off("a", "b")
        if not transfers:
            world.call_types_unknown.add(PrepareCall)
        world.hosts[owner].leave()
        await until(lambda: world.hosts[successor].owns("a"))
        # An owner that transfers its share has released it before.
        assert world.hosts[owner].owns("a") is not transfers
        second = asyncio.create_task(
            world.submit(successor, f"{1:016x}", BOTH_RUNNERS, 4000.0)
        )
        await asyncio.gather(first, second)
        world.check()

    run_virtual(main())


# Guards against a try in another data centre that nobody told of the job's home.
@pytest.mark.parametrize("told", [True, False])
def test_a_job_sent_again_over_a_cut_is_not_begun_beside_its_runs(told: bool) -> None:
    async def main() -> None:
        world = World({"a": 2, "b": 2})
        await world.start()
        await asyncio.sleep(5)
        owner = world.owner("a")
        if not told:
            world.cut_off("a", "b")
        job = asyncio.create_task(world.submit(owner, f"{1:016x}", 4, 2500.0))
        await asyncio.sleep(0.4)
        world.cut_off("a", "b")
        await asyncio.sleep(0.9)
        await world.submit(next_owner(world, "b"), f"{1:016x}", 4, 2500.0)
        await job
        world.check()

    run_virtual(main())


# Guards against "not run" said of a job under way: its owner, which hands it on and
# finds no successor, answered a repeated call as one that has nothing.
@pytest.mark.parametrize("yields_after_s", [0.2, 0.3, 0.6])
def test_a_job_that_finds_no_next_owner_is_not_called_not_run(
    yields_after_s: float,
) -> None:
    async def main() -> None:
        world = World({"a": 2, "b": 1})
        await world.start()
        await asyncio.sleep(5)
        owner, forwarder = world.owner("a"), next_owner(world, "a")
        (share,) = world.hosts[owner].ownership.claims
        payload = msgspec.json.encode(TaskPlan(3000.0)).decode()
        job = Job(f"{1:016x}", QUEUE, payload, (Step(2, Resources(1000, 64), 0.05),))
        call = asyncio.create_task(world.submit_job(forwarder, job))
        await until(lambda: busy(world, "a-r0") or busy(world, "a-r1"))
        # The past cannot be settled, and no other host may own the share.
        world.cut_off("a", "b")
        world.hosts[forwarder].ownership.leaving = True
        await asyncio.sleep(yields_after_s)
        world.hosts[owner].ownership.yield_to_fence(share)
        assert (await call).kind is not AnswerKind.REFUSED
        world.check()

    run_virtual(main())


# Guards against an owner that forgets a job with its share, and calls it not run when
# its caller sends it again to the share's owner of then: this host itself.
def test_a_job_handed_on_and_sent_again_is_not_called_not_run() -> None:
    async def main() -> None:
        world = World({"a": 2, "b": 1})
        await world.start()
        await asyncio.sleep(5)
        owner, other = world.owner("a"), next_owner(world, "a")
        (share,) = world.hosts[owner].ownership.claims
        first = asyncio.create_task(world.submit(owner, f"{1:016x}", 2, 5000.0))
        await until(lambda: busy(world, "a-r0") or busy(world, "a-r1"))
        world.cut_off("a", "b")
        world.hosts[other].ownership.leaving = True
        world.hosts[owner].ownership.yield_to_fence(share)
        assert (await first).kind is AnswerKind.BROKEN
        await until(lambda: world.hosts[owner].owns("a"))
        second = await world.submit(owner, f"{1:016x}", 2, 5000.0)
        assert second.kind is not AnswerKind.REFUSED
        world.check()

    run_virtual(main())


# Guards against a doubtful job that is begun without asking a data centre whose runners
# have left the list and whose hosts are not heard, while its owner renews their leases.
def test_an_unlisted_data_centre_that_is_not_heard_is_still_asked() -> None:
    async def main() -> None:
        world = World({"a": 2, "b": 2, "c": 2})
        await world.start()
        await asyncio.sleep(5)
        asyncio.create_task(world.submit(world.owner("a"), "ab" * 8, 1, 10_000.0))
        await asyncio.sleep(0.5)
        world.unlisted |= {name for name in world.models if name.startswith("a")}
        world.send_runner_lists()
        world.cut_off("a", "c")
        asyncio.create_task(world.submit(world.owner("c"), "ab" * 8, 1, 10_000.0))
        await asyncio.sleep(3)
        world.check()

    run_virtual(main())
