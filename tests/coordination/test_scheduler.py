"""The scheduler's single decisions, on virtual time."""

import asyncio
from dataclasses import replace

import pytest

from bench.placement_world import SimTeams, World
from monsoongap.coordination.parts import (
    Slot,
    SlotEnd,
    SlotResult,
    TeamLimits,
    Ticket,
    WorkerStatus,
)
from monsoongap.coordination.scheduler import Scheduler
from monsoongap.errors import DispatchError, ErrorKind
from monsoongap.protocol.messages import (
    JobRequest,
    Refusal,
    TaskReport,
    TaskSpec,
    TaskState,
)
from monsoongap.settings import PlacementSection
from tests.clock import run_virtual


def ticket(index: int = 0, **changes: object) -> Ticket:
    base = Ticket(f"s/{index}", "s", "a", "k", 1.0, 64, 100, 1000.0, 8)
    return replace(base, **changes)  # type: ignore[arg-type]


def one_host(workers: int = 1, slots: int = 1) -> tuple[World, Scheduler]:
    world = World(1, workers, slots)
    world.start()
    return world, world.hosts[0].scheduler


def ended(slot: Slot, end: SlotEnd, **report: object) -> SlotResult:
    state = TaskState.DONE if end is SlotEnd.DONE else TaskState.REFUSED
    fields: dict[str, object] = {"refusal": None, "run_ms": 100.0, **report}
    return SlotResult(end, TaskReport("t", state, 1, 0, **fields))  # type: ignore[arg-type]


@pytest.mark.parametrize(
    "team, spec, kind",
    [
        ("a", TaskSpec(cpus=17.0), ErrorKind.NO_FIT),
        ("a", TaskSpec(memory_mb=32_001), ErrorKind.NO_FIT),
        ("nobody", TaskSpec(), ErrorKind.FORBIDDEN),
    ],
)
def test_admit_refuses_at_once(team: str, spec: TaskSpec, kind: ErrorKind) -> None:
    async def main() -> None:
        world, scheduler = one_host()
        with pytest.raises(DispatchError) as caught:
            scheduler.admit(JobRequest(team, "k", (TaskSpec(), spec)), 10.0)
        assert caught.value.kind is kind
        await world.close()

    run_virtual(main())


def test_the_deadline_of_a_team_is_bounded() -> None:
    async def main() -> None:
        teams = SimTeams(TeamLimits("a", max_deadline_ms=5_000))
        world = World(1, 1, 1, teams=teams)
        world.start()
        scheduler = world.hosts[0].scheduler
        scheduler.admit(JobRequest("a", "k", (TaskSpec(),), 5_000), 5.0)
        with pytest.raises(DispatchError) as caught:
            scheduler.admit(JobRequest("a", "k", (TaskSpec(),), 5_001), 5.001)
        assert caught.value.kind is ErrorKind.BAD_REQUEST
        await world.close()

    run_virtual(main())


def test_room_is_bounded_and_given_back() -> None:
    async def main() -> None:
        world, scheduler = one_host()
        req = JobRequest("a", "k", (TaskSpec(),) * 280)
        admitted = 0
        with pytest.raises(DispatchError) as caught:
            while True:
                scheduler.admit(req, 1e6)
                admitted += 1
        assert caught.value.kind in (ErrorKind.OVERLOADED, ErrorKind.OVER_QUOTA)
        assert caught.value.retry_after_ms
        for number in range(admitted):
            scheduler.withdraw(f"s{number}", "a", 280)
        scheduler.admit(req, 1e6)
        await world.close()

    run_virtual(main())


@pytest.mark.parametrize("status", [WorkerStatus.LEAVING, WorkerStatus.SILENT])
def test_no_start_on_a_worker_that_is_not_live(status: WorkerStatus) -> None:
    async def main() -> None:
        world, scheduler = one_host(workers=2, slots=4)
        world.leave("w000", status)
        slots = [await scheduler.acquire(ticket(n)) for n in range(4)]
        assert {slot.worker for slot in slots} == {"w001"}
        waiting = asyncio.create_task(scheduler.acquire(ticket(9)))
        await asyncio.sleep(0.5)
        assert not waiting.done()
        world.leave("w000", WorkerStatus.LIVE)
        assert (await waiting).worker == "w000"
        await world.close()

    run_virtual(main())


def test_deadline_ends_the_wait_and_cancelling_gives_the_slot_back() -> None:
    async def main() -> None:
        world, scheduler = one_host()
        held = await scheduler.acquire(ticket(0))
        with pytest.raises(DispatchError) as caught:
            await scheduler.acquire(ticket(1, deadline_at=2.0))
        assert caught.value.kind is ErrorKind.DEADLINE_BEFORE_START
        given_up = asyncio.create_task(scheduler.acquire(ticket(2)))
        await asyncio.sleep(0.1)
        scheduler.release(held, ticket(0), ended(held, SlotEnd.DONE))
        await asyncio.sleep(0)
        given_up.cancel()
        await asyncio.gather(given_up, return_exceptions=True)
        again = await scheduler.acquire(ticket(3))
        assert again.serial != held.serial
        assert world.queued() == 0
        await world.close()

    run_virtual(main())


def test_refusals_back_off_and_are_reported() -> None:
    async def main() -> None:
        world, scheduler = one_host()
        loop = asyncio.get_running_loop()
        began = loop.time()
        for _ in range(5):
            slot = await scheduler.acquire(ticket(0))
            busy = ended(slot, SlotEnd.REFUSED, refusal=Refusal.BUSY)
            scheduler.release(slot, ticket(0), busy)
        slot = await scheduler.acquire(ticket(0))
        assert 0.05 <= loop.time() - began <= 1.0
        draining = ended(slot, SlotEnd.REFUSED, refusal=Refusal.DRAINING)
        scheduler.release(slot, ticket(0), draining)
        assert world.hosts[0].directory.draining == [slot.worker]
        await world.close()

    run_virtual(main())


def test_avoided_worker_is_taken_only_when_no_other_is_left() -> None:
    async def main() -> None:
        world, scheduler = one_host(workers=2)
        first = await scheduler.acquire(ticket(0, avoid=frozenset({"w000"})))
        assert first.worker == "w001"
        waiting = asyncio.create_task(
            scheduler.acquire(ticket(1, avoid=frozenset({"w000"})))
        )
        await asyncio.sleep(0.1)
        assert not waiting.done()
        world.leave("w001", WorkerStatus.LEAVING)
        assert (await waiting).worker == "w000"
        await world.close()

    run_virtual(main())


def test_slot_of_a_lapsed_loan_is_not_used() -> None:
    async def main() -> None:
        cfg = PlacementSection(credit_lease_s=1.0)
        world = World(2, 1, 8, cfg)
        world.start()
        scheduler = world.hosts[0].scheduler
        slots = [await scheduler.acquire(ticket(n)) for n in range(8)]
        lent = [slot for slot in slots if slot.lender]
        assert len(lent) == 4
        world.peers.cut = set(world.host_names)
        await asyncio.sleep(3.0)
        for number, slot in enumerate(slots):
            scheduler.release(slot, ticket(number), ended(slot, SlotEnd.DONE))
        again = [await scheduler.acquire(ticket(n)) for n in range(4)]
        assert not any(slot.lender for slot in again)
        waiting = asyncio.create_task(scheduler.acquire(ticket(9)))
        await asyncio.sleep(0.2)
        assert not waiting.done()
        (account,) = world.hosts[1].scheduler.view().workers
        assert account.lent == 0
        waiting.cancel()
        await world.close()

    run_virtual(main())


def test_closing_host_returns_what_it_borrowed() -> None:
    async def main() -> None:
        world = World(2, 1, 8)
        world.start()
        scheduler = world.hosts[0].scheduler
        slots = [await scheduler.acquire(ticket(n)) for n in range(8)]
        for number, slot in enumerate(slots):
            scheduler.release(slot, ticket(number), ended(slot, SlotEnd.DONE))
        await scheduler.close()
        (account,) = world.hosts[1].scheduler.view().workers
        assert account.lent == 0
        await world.close()

    run_virtual(main())


def test_leaving_host_returns_idle_credits_at_once_and_goes_on() -> None:
    async def main() -> None:
        world = World(2, 1, 8)
        world.start()
        scheduler, lender = (host.scheduler for host in world.hosts)
        slots = [await scheduler.acquire(ticket(n)) for n in range(8)]
        for number, slot in enumerate(slots[1:], 1):
            scheduler.release(slot, ticket(number), ended(slot, SlotEnd.DONE))
        lent_before = lender.view().workers[0].lent
        await scheduler.return_idle_credits()
        await asyncio.sleep(0.02)
        lent_after = lender.view().workers[0].lent
        assert lent_before == 4 and lent_after <= 1
        scheduler.release(slots[0], ticket(0), ended(slots[0], SlotEnd.DONE))
        assert (await scheduler.acquire(ticket(8))).worker == slots[0].worker
        await world.close()

    run_virtual(main())
