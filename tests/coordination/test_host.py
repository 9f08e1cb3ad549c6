"""Tests of several entry hosts that share runners, on virtual time."""

import asyncio
from collections.abc import Coroutine
from dataclasses import replace
from typing import Any

import pytest

from monsoongap.errors import AnswerKind
from monsoongap.protocol.messages import Job, JobReply, Resources, Step, SubmitCall
from tests import clock
from tests.host_world import RequestFaults, World

# Longer than any test takes on virtual time; a test that exceeds it hangs.
VIRTUAL_LIMIT_S = 120.0
THREE_DCS = {"ibk": 2, "kuf": 2, "lnz": 2}


def run_virtual(main: Coroutine[Any, Any, None]) -> None:
    async def limited() -> None:
        async with asyncio.timeout(VIRTUAL_LIMIT_S):
            await main

    clock.run_virtual(limited())


async def open_world(**more: object) -> World:
    world = World(dict(THREE_DCS), **more)  # type: ignore[arg-type]
    await world.start()
    return world


def kinds(replies: list[JobReply]) -> list[str]:
    return [reply.kind.value for reply in replies]


def test_each_data_centre_has_one_owner_and_every_job_is_answered() -> None:
    async def main() -> None:
        world = await open_world()
        for dc in THREE_DCS:
            owners = [n for n, h in world.hosts.items() if h.owns(dc)]
            assert len(owners) == 1 and owners[0].startswith(dc)
        replies = await asyncio.gather(
            *(world.submit(host, f"{i:016x}", 2) for i, host in enumerate(world.hosts))
        )
        assert kinds(replies) == ["completed"] * 6
        world.check()

    run_virtual(main())


def test_a_wide_job_uses_the_capacity_of_other_data_centres() -> None:
    async def main() -> None:
        world = await open_world()
        loop = asyncio.get_running_loop()
        await asyncio.sleep(5)
        started_at = loop.time()
        # 20 tasks of one core each; a data centre has 8 cores.
        reply = await world.submit("ibk-h0", "a" * 16, 20, work_ms=300)
        assert reply.kind is AnswerKind.COMPLETED
        assert loop.time() - started_at < 0.4
        assert len({e.runner.partition("-")[0] for e in world.ledger}) == 3
        world.check()

    run_virtual(main())


def test_a_killed_owner_is_replaced_and_its_runs_are_adopted() -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        owner = world.owner("ibk")
        other = next(n for n in world.hosts if n.startswith("ibk") and n != owner)
        call = asyncio.create_task(world.submit(other, "b" * 16, 4, work_ms=1500))
        await asyncio.sleep(0.2)
        world.kill(owner)
        reply = await call
        assert reply.kind is AnswerKind.COMPLETED
        assert world.owner("ibk") == other
        assert len(world.ledger) == 4, "runs were adopted, none was started again"
        world.check()

    run_virtual(main())


def test_a_killed_owner_is_replaced_within_a_second() -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        owner = world.owner("ibk")
        other = next(n for n in world.hosts if n.startswith("ibk") and n != owner)
        world.kill(owner)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        reply = await world.submit(other, "c" * 16)
        assert reply.kind is AnswerKind.COMPLETED
        assert loop.time() - started_at < 1.0
        world.check()

    run_virtual(main())


def test_a_partitioned_data_centre_uses_its_own_runners() -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        for other in ("kuf", "lnz"):
            world.cut_off("ibk", other)
        await asyncio.sleep(1)
        replies = await asyncio.gather(
            world.submit("ibk-h0", "d" * 16, 4), world.submit("kuf-h0", "e" * 16, 4)
        )
        assert kinds(replies) == ["completed", "completed"]
        world.cut.clear()
        await asyncio.sleep(3)
        assert len([n for n, h in world.hosts.items() if h.ownership.claims]) == 3
        world.check()

    run_virtual(main())


def test_a_partition_while_tasks_are_lent_runs_no_task_twice() -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        call = asyncio.create_task(world.submit("ibk-h0", "f" * 16, 20, work_ms=2000))
        await asyncio.sleep(0.3)
        for other in ("kuf", "lnz"):
            world.cut_off("ibk", other)
        await asyncio.sleep(4)
        world.cut.clear()
        await asyncio.wait_for(call, 20)
        world.check()

    run_virtual(main())


def test_tasks_of_a_restarted_runner_run_again() -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        call = asyncio.create_task(world.submit("ibk-h0", "1" * 16, 6, work_ms=800))
        await asyncio.sleep(0.2)
        model = world.models[world.ledger[0].runner]
        model.crash()
        model.restart()
        reply = await call
        assert reply.kind is AnswerKind.COMPLETED
        world.check()

    run_virtual(main())


def test_tasks_of_an_unreachable_runner_run_elsewhere_after_its_lease() -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        call = asyncio.create_task(world.submit("ibk-h0", "2" * 16, 6, work_ms=600))
        await asyncio.sleep(0.1)
        world.models[world.ledger[0].runner].faults.dark = True
        reply = await asyncio.wait_for(call, 8)
        assert reply.kind is AnswerKind.COMPLETED
        world.check()

    run_virtual(main())


def test_late_requests_and_lost_replies_run_no_task_twice() -> None:
    async def main(seed: int) -> None:
        world = await open_world(seed=seed)
        await asyncio.sleep(5)
        world.request_faults = RequestFaults(lost_reply_share=0.1, late_share=0.1)
        calls = [
            asyncio.create_task(world.submit(host, f"{i:016x}", 3, work_ms=200))
            for i, host in enumerate(list(world.hosts) * 4)
        ]
        await asyncio.wait(calls, timeout=60)
        assert all(call.done() for call in calls)
        world.check()

    for seed in range(5):
        run_virtual(main(seed))


def test_a_resubmitted_job_runs_once() -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        first = asyncio.create_task(world.submit("ibk-h0", "3" * 16, 2, work_ms=500))
        await asyncio.sleep(0.1)
        replies = [await world.submit("ibk-h1", "3" * 16, 2, work_ms=500), await first]
        replies.append(await world.submit("ibk-h1", "3" * 16, 2, work_ms=500))
        assert kinds(replies) == ["completed"] * 3
        assert len(world.ledger) == 2
        world.check()

    run_virtual(main())


def test_a_job_whose_task_always_fails_fails_after_its_attempts() -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        reply = await world.submit("ibk-h0", "4" * 16, 1, fails=True)
        assert reply.kind is AnswerKind.FAILED
        assert len(world.ledger) == 2
        world.check()

    run_virtual(main())


def test_a_leaving_owner_hands_its_jobs_over() -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        owner = world.owner("ibk")
        calls = [
            asyncio.create_task(world.submit(h, c * 16, 2, work_ms=900))
            for h, c in (("ibk-h0", "5"), ("ibk-h1", "6"))
        ]
        await asyncio.sleep(0.1)
        world.hosts[owner].leave()
        replies = [await call for call in calls]
        assert kinds(replies) == ["completed"] * 2
        assert world.owner("ibk") != owner
        assert len(world.ledger) == 4
        world.check()

    run_virtual(main())


def test_hosts_that_were_all_killed_serve_again_within_three_seconds() -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        calls = [
            asyncio.create_task(world.submit(h, f"{i:016x}", 3, work_ms=900))
            for i, h in enumerate(world.hosts)
        ]
        await asyncio.sleep(0.2)
        names = list(world.hosts)
        for name in names:
            world.kill(name)
        await asyncio.gather(*calls)
        await asyncio.sleep(0.5)
        for name in names:
            world.start_host(name)
        await asyncio.sleep(1.3)
        again = [
            asyncio.create_task(world.submit(h, f"{i:016x}", 3, work_ms=900))
            for i, h in enumerate(names)
        ]
        replies = await asyncio.gather(*again)
        assert kinds(replies) == ["completed"] * 6
        world.check()

    run_virtual(main())


def test_tasks_of_a_hanging_runner_run_elsewhere() -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        call = asyncio.create_task(world.submit("ibk-h0", "7" * 16, 4, work_ms=300))
        await asyncio.sleep(0.05)
        world.models[world.ledger[0].runner].faults.hangs = True
        reply = await asyncio.wait_for(call, 4)
        assert reply.kind is AnswerKind.COMPLETED
        world.check()

    run_virtual(main())


def test_a_runner_that_fails_every_run_fails_no_job() -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        world.models["ibk-r0"].faults.fails = True
        replies = []
        for i in range(12):
            replies.append(await world.submit("ibk-h0", f"{i:016x}", 2, work_ms=20))
        assert kinds(replies) == ["completed"] * 12
        failed = [entry for entry in world.ledger if entry.how == "failed"]
        assert len(failed) <= 4
        world.check()

    run_virtual(main())


def test_a_job_that_cannot_finish_in_time_is_refused_at_once() -> None:
    async def main() -> None:
        world = World({"ibk": 1})
        await world.start()
        await asyncio.sleep(5)
        loop = asyncio.get_running_loop()
        long_job = asyncio.create_task(
            world.submit("ibk-h0", "8" * 16, 60, work_ms=500)
        )
        await asyncio.sleep(0.05)
        started_at = loop.time()
        reply = await world.submit("ibk-h0", "9" * 16, 8, work_ms=100)
        assert reply.kind is AnswerKind.REFUSED
        assert reply.retry_after_s > 0
        assert loop.time() - started_at < 0.1
        assert (await long_job).kind is AnswerKind.COMPLETED
        world.check()

    run_virtual(main())


def test_a_job_that_a_killed_owner_may_have_started_is_not_refused() -> None:
    async def main() -> None:
        world = World({"ibk": 2})
        await world.start()
        await asyncio.sleep(5)
        owner = world.owner("ibk")
        other = next(n for n in world.hosts if n != owner)
        world.hosts[other].ownership.leaving = True
        call = asyncio.create_task(world.submit(other, "a1" * 8, 4, work_ms=900))
        await asyncio.sleep(0.1)
        world.kill(owner)
        reply = await asyncio.wait_for(call, 5)
        assert reply.kind is AnswerKind.BROKEN
        world.check()

    run_virtual(main())


def test_a_job_resubmitted_to_another_data_centre_is_answered_by_its_owner() -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        first = asyncio.create_task(world.submit("ibk-h0", "b2" * 8, 4, work_ms=2500))
        await asyncio.sleep(1.3)
        second = await world.submit("kuf-h1", "b2" * 8, 4, work_ms=2500)
        assert kinds([second, await first]) == ["completed"] * 2
        assert len(world.ledger) == 4
        world.check()

    run_virtual(main())


def test_a_job_resubmitted_after_its_owner_was_killed_runs_no_task_twice() -> None:
    async def main() -> None:
        world = World({"ibk": 1, "kuf": 2, "lnz": 2})
        await world.start()
        await asyncio.sleep(5)
        first = asyncio.create_task(world.submit("ibk-h0", "c3" * 8, 12, work_ms=2500))
        await asyncio.sleep(0.5)
        world.kill("ibk-h0")
        await first
        await asyncio.sleep(1.3)
        await world.submit("kuf-h1", "c3" * 8, 12, work_ms=2500)
        world.check()

    run_virtual(main())


def test_a_replaced_borrower_is_lent_nothing() -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        old = world.owner("ibk")
        other = next(n for n in world.hosts if n.startswith("ibk") and n != old)
        # The old owner is cut off from all other hosts and keeps working.
        for name in world.hosts:
            if name != old:
                world.cut_off(old, name)
        await asyncio.sleep(4)
        assert world.hosts[other].owns("ibk")
        world.cut.clear()
        replies = await asyncio.gather(
            world.submit(old, "d4" * 8, 12, work_ms=900),
            world.submit(other, "d4" * 8, 12, work_ms=900),
        )
        assert {r.kind for r in replies} <= {AnswerKind.COMPLETED, AnswerKind.BROKEN}
        world.check()

    run_virtual(main())


def test_a_lender_that_is_replaced_leaves_its_runs_to_the_next_owner() -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        call = asyncio.create_task(world.submit("ibk-h0", "e5" * 8, 20, work_ms=1500))
        await asyncio.sleep(0.2)
        for dc in ("kuf", "lnz"):
            world.hosts[world.owner(dc)].leave()
        reply = await asyncio.wait_for(call, 20)
        assert reply.kind is AnswerKind.COMPLETED
        world.check()

    run_virtual(main())


def test_ownership_changes_under_load_run_no_task_twice() -> None:
    async def main(seed: int) -> None:
        world = await open_world(seed=seed)
        await asyncio.sleep(5)
        names = list(world.hosts)
        calls = []
        for round_ in range(3):
            for i, name in enumerate(names):
                id_ = f"{seed:04x}{round_:04x}{i:08x}"
                job = world.submit(name, id_, 6, work_ms=400)
                calls.append(asyncio.create_task(job))
            await asyncio.sleep(0.15)
            for name in names:
                if world.hosts[name].ownership.claims:
                    world.hosts[name].ownership.leaving ^= True
                    world.hosts[name].leaving ^= True
            await asyncio.sleep(0.3)
            for host in world.hosts.values():
                host.leaving = host.ownership.leaving = False
        await asyncio.gather(*calls)
        world.check()

    for seed in range(3):
        run_virtual(main(seed))


def test_many_runners_are_divided_among_several_owners() -> None:
    async def main() -> None:
        world = World({"ibk": 4, "kuf": 4}, runners_per_dc=25, cores=0.45)
        await world.start()
        await asyncio.sleep(5)
        owned = {n: len(h.ownership.claims) for n, h in world.hosts.items()}
        assert sorted(owned.values()) == [0, 0, 1, 1, 1, 1, 1, 1]
        held = [id_ for host in world.hosts.values() for id_ in host.pool.links]
        assert sorted(held) == sorted(world.models)
        calls = [
            asyncio.create_task(world.submit(host, f"{i:016x}", 6, work_ms=900))
            for i, host in enumerate(list(world.hosts) * 3)
        ]
        await asyncio.sleep(0.2)
        world.kill(world.owner("ibk"))
        replies = await asyncio.gather(*calls)
        assert AnswerKind.COMPLETED in {r.kind for r in replies}
        world.check()

    run_virtual(main())


def test_a_new_owner_stops_the_runs_it_lent_to_the_previous_one() -> None:
    async def main() -> None:
        world = World({"ibk": 2, "kuf": 2}, runners_per_dc=2)
        await world.start()
        await asyncio.sleep(5)
        ibk = world.hosts[world.owner("ibk")]
        call = asyncio.create_task(
            world.submit(world.owner("kuf"), "f6" * 8, 14, work_ms=1500)
        )
        await asyncio.sleep(0.2)
        lent = [e for e in world.ledger if e.runner.startswith("ibk")]
        assert lent, "the job borrowed capacity"
        assert not ibk.lending.stop_lent("f6" * 8)
        await asyncio.sleep(0.1)
        assert {entry.how for entry in lent} == {"stopped"}
        reply = await asyncio.wait_for(call, 20)
        assert reply.kind is AnswerKind.COMPLETED
        world.check()

    run_virtual(main())


def test_a_job_handed_over_while_it_is_reconciled_is_answered_by_the_next_owner() -> (
    None
):
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        old = world.owner("ibk")
        host = world.hosts[old]
        share = next(iter(host.ownership.claims))
        # In doubt, with a data centre unreachable: the job cannot be reconciled.
        host.jobs.in_doubt_since[share] = host.timers.now()
        world.cut_off("ibk", "kuf")
        await asyncio.sleep(1.2)
        host.jobs.in_doubt_since[share] = host.timers.now()
        call = asyncio.create_task(world.submit(old, "ab" * 8, 2, work_ms=300))
        await asyncio.sleep(0.05)
        host.leave()
        await asyncio.sleep(0.3)
        world.cut.clear()
        reply = await asyncio.wait_for(call, 10)
        assert world.owner("ibk") != old
        assert reply.kind is not AnswerKind.REFUSED or not world.ledger
        world.check()

    run_virtual(main())


def test_a_lender_stops_the_runs_of_a_replaced_borrower() -> None:
    async def main() -> None:
        world = await open_world()
        await asyncio.sleep(5)
        borrower = world.owner("kuf")
        call = asyncio.create_task(world.submit(borrower, "cd" * 8, 20, work_ms=9000))
        await asyncio.sleep(0.3)
        # The borrower is killed and restarted under its name, and knows no job.
        world.kill(borrower)
        await call
        await asyncio.sleep(0.2)
        world.start_host(borrower)
        await asyncio.sleep(3.5)
        lent = [e for e in world.ledger if not e.runner.startswith("kuf")]
        assert lent and {e.how for e in lent} == {"stopped"}
        world.check()

    run_virtual(main())


def test_the_last_attempt_does_not_go_to_the_runner_that_failed_the_first() -> None:
    async def main() -> None:
        world = World({"ibk": 1}, runners_per_dc=3)
        await world.start()
        await asyncio.sleep(5)
        world.models["ibk-r0"].faults.fails = True
        # The two healthy runners are full for a while.
        busy = asyncio.create_task(world.submit("ibk-h0", "e1" * 8, 11, work_ms=300))
        await asyncio.sleep(0.01)
        reply = await world.submit("ibk-h0", "e2" * 8, 1, work_ms=30)
        assert reply.kind is AnswerKind.COMPLETED
        await busy
        world.check()

    run_virtual(main())


def test_a_job_is_answered_although_open_connections_lose_calls() -> None:
    async def main() -> None:
        world = World({"a": 2}, runners_per_dc=1)
        await world.start()
        owner = world.owner("a")
        other = next(name for name in world.hosts if name != owner)
        world.calls_lost.add(frozenset((owner, other)))
        reply = await world.submit(other, f"{7:016x}", 2, 100.0)
        assert reply.kind is AnswerKind.COMPLETED
        assert len(world.ledger) == 2
        world.check()

    run_virtual(main())


def test_a_lent_task_whose_reply_is_lost_runs_once() -> None:
    async def main() -> None:
        world = World({"a": 1, "b": 1}, runners_per_dc=1)
        await world.start()
        world.replies_lost.add(frozenset(("a-h0", "b-h0")))
        reply = await world.submit("a-h0", f"{5:016x}", 6, 300.0)
        assert reply.kind is AnswerKind.COMPLETED
        lent = [e for e in world.ledger if e.runner.startswith("b")]
        assert len(lent) == 2 and len(world.ledger) == 6
        world.check()

    run_virtual(main())


def test_a_refused_job_that_is_resubmitted_stays_refused() -> None:
    async def main() -> None:
        world = World({"a": 2}, runners_per_dc=1)
        await world.start()
        owner = world.owner("a")
        jobs = [
            asyncio.create_task(world.submit(owner, f"{i:016x}", 8, 900.0))
            for i in range(1, 6)
        ]
        await asyncio.sleep(0.1)
        job_id = f"{99:016x}"
        first = await world.submit(owner, job_id, 1, 50.0)
        assert first.kind is AnswerKind.REFUSED
        await asyncio.sleep(0.5)
        again = await world.submit(owner, job_id, 1, 50.0)
        assert again == first
        await asyncio.gather(*jobs)
        world.check()

    run_virtual(main())


def test_hosts_with_few_cores_divide_the_runners_into_more_shares() -> None:
    async def main() -> None:
        for cores, shares in ((1.0, 1), (0.12, 6)):
            world = World({"a": 4}, runners_per_dc=16, cores=cores)
            await world.start()
            assert len(world.hosts["a-h0"].ownership.shares_of("a")) == shares
            world.check()

    run_virtual(main())


@pytest.mark.parametrize("left_out", [(), ("a-r0",), ("a-r0", "a-r1")])
def test_a_new_owner_that_lacks_listed_runners_runs_no_task_twice(
    left_out: tuple[str, ...],
) -> None:
    """Guard against a restarted host that takes over before it has read the list."""

    async def main() -> None:
        world = World({"a": 2, "b": 1})
        await world.start()
        owner = world.owner("a")
        other = next(n for n in world.hosts if n.startswith("a") and n != owner)
        job = asyncio.create_task(world.submit(owner, f"{5:016x}", 6, 1200.0))
        await asyncio.sleep(0.3)
        world.kill(other)
        restarted = world.start_host(other, listed=False)
        if left_out:
            world.send_runner_list(restarted, *left_out)
        world.hosts[owner].leave()
        await asyncio.sleep(1.0)
        world.send_runner_list(restarted)
        await asyncio.sleep(1.0)
        assert restarted.owns("a")
        assert (await job).kind is AnswerKind.COMPLETED
        world.check()

    run_virtual(main())


@pytest.mark.parametrize("left_out", [(), ("a-r0",), ("a-r0", "a-r1")])
def test_a_forwarding_host_that_becomes_the_owner_runs_no_task_twice(
    left_out: tuple[str, ...],
) -> None:
    """Guard against a forwarding host that takes over and lacks some runners.

    It submits its callers' jobs to itself before the previous owner hands them over.
    """

    async def main(leaves_after_s: float) -> None:
        world = World({"a": 2, "b": 1})
        await world.start()
        await asyncio.sleep(5)
        owner = world.owner("a")
        other = next(n for n in world.hosts if n.startswith("a") and n != owner)
        world.kill(other)
        restarted = world.start_host(other, listed=False)
        await asyncio.sleep(1.0)
        calls = [world.submit(other, f"{i:016x}", 2, 2000.0) for i in range(1, 5)]
        jobs = asyncio.gather(*calls)
        await asyncio.sleep(leaves_after_s)
        world.send_runner_list(restarted, *left_out)
        world.hosts[owner].leave()
        await asyncio.sleep(1.5)
        world.send_runner_list(restarted)
        await jobs
        world.check()

    # The forwarding host checks for a new owner 0.35 s after it forwarded a job.
    for ms in range(290, 370, 10):
        run_virtual(main(ms / 1000))


def test_a_job_submitted_while_every_runner_is_down_waits_for_one() -> None:
    """Guard against refusal by a backlog that no runner is working on."""

    async def main() -> None:
        world = World({"a": 1}, runners_per_dc=1)
        await world.start()
        (model,) = world.models.values()
        first = asyncio.create_task(world.submit("a-h0", f"{1:016x}", 1, 400.0))
        await asyncio.sleep(0.1)
        model.crash()
        await asyncio.sleep(1.0)
        jobs = [
            asyncio.create_task(world.submit("a-h0", f"{i:016x}", 1, 50.0))
            for i in range(2, 6)
        ]
        await asyncio.sleep(0.3)
        model.restart()
        # The new incarnation registers, and the owner reads its entry.
        world.send_runner_lists()
        replies = await asyncio.gather(first, *jobs)
        assert {r.kind for r in replies} == {AnswerKind.COMPLETED}
        world.check()

    run_virtual(main())


def test_a_job_without_capacity_is_refused_within_its_caller_s_wait() -> None:
    async def main() -> None:
        world = World({"a": 1}, runners_per_dc=1)
        await world.start()
        host = world.hosts["a-h0"]
        running = asyncio.create_task(world.submit("a-h0", f"{1:016x}", 4, 1400.0))
        await asyncio.sleep(0.05)
        started_at = host.timers.now()
        job = Job(f"{2:016x}", "scan", "{}", (Step(1, Resources(1000, 64), 0.05),))
        reply = await host.submit(job, wait_s=0.8)
        assert reply.kind is AnswerKind.REFUSED
        assert 0.3 < host.timers.now() - started_at < 0.45
        assert reply.retry_after_s > 0
        await running
        assert all(entry.task.job != job.id for entry in world.ledger)

    run_virtual(main())


def test_a_call_that_an_overloaded_host_refused_stays_refused() -> None:
    """Guard against an owner that resumes after a pause and reads a call twice.

    The second call is a repeat of the first.
    """

    async def main() -> None:
        world = World({"a": 1})
        await world.start()
        host = world.hosts["a-h0"]
        step = Step(1, Resources(1000, 64), 0.05)
        job = Job(f"{3:016x}", "scan", '{"work_ms": 50}', (step,))
        share = host.ownership.share_of_job(job.id)
        call = SubmitCall(job, "a-h9", 1, share, number=7)
        host.jobs.admission_control.lag_s = 1.0
        first = await host.jobs.submit(call)
        assert first.kind is AnswerKind.REFUSED
        for _ in range(3):
            await asyncio.sleep(1.1)
            assert (await host.jobs.submit(call)).kind is AnswerKind.REFUSED
        assert world.ledger == []
        other = await host.jobs.submit(replace(call, number=8))
        assert other.kind is AnswerKind.COMPLETED

    run_virtual(main())


def test_a_long_job_resubmitted_to_a_newer_owner_runs_no_task_twice() -> None:
    async def main(wait_s: float) -> None:
        world = World({"ibk": 2, "lnz": 2})
        await world.start()
        await asyncio.sleep(5 + wait_s)
        job = world.submit(world.owner("ibk"), "5" * 16, 8, work_ms=7000)
        call = asyncio.create_task(job)
        await asyncio.sleep(0.1)
        world.kill(world.owner("lnz"))
        # Longer than a new owner of a share reconciles jobs with the other owners.
        await asyncio.sleep(5.5)
        job = world.submit(world.owner("lnz"), "5" * 16, 8, work_ms=7000)
        again = asyncio.create_task(job)
        await asyncio.gather(call, again)
        await asyncio.sleep(2)
        world.check()

    for wait_s in (0.0, 0.5, 1.0, 1.5):
        run_virtual(main(wait_s))
