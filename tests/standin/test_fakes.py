"""Tests that the fakes raise what the ports promise."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from monsoongap.errors import LogUnavailable, StartAmbiguous, WorkerUnreachable
from monsoongap.protocol.messages import StartLease, TaskStart, TaskState
from monsoongap.standin import faults
from tests.clock import run_virtual
from tests.fakes import FakePlatform, FakeWorkers, worker_shapes


def make_start(task: str) -> TaskStart:
    lease = StartLease(1, 10**9)
    payload = {"run_ms": 100}
    return TaskStart(task, "s", "team", "kind", "h1", 1, lease, payload)


def run(scenario: Callable[[FakePlatform, FakeWorkers], Awaitable[None]]) -> None:
    async def main() -> None:
        platform = FakePlatform(worker_shapes(2))
        await scenario(platform, platform.workers_for("h1"))
        await platform.close()

    run_virtual(main())


def test_unreachable_means_nothing_was_sent() -> None:
    async def scenario(platform: FakePlatform, port: FakeWorkers) -> None:
        port.link("w1").cut = True
        platform.models["w2"].die()
        for worker in ("w1", "w2"):
            with pytest.raises(WorkerUnreachable):
                await port.start(worker, make_start("s/0"))
        assert platform.ledger.starts("s") == 0
        other_host = platform.workers_for("h2")
        assert (await other_host.start("w1", make_start("s/0"))).state is TaskState.DONE

    run(scenario)


@pytest.mark.parametrize(
    "fault", [faults.ReplyLost(), faults.CrossedReply(), faults.Die("w1")]
)
def test_lost_reply_is_ambiguous_though_the_task_started(fault: faults.Fault) -> None:
    async def scenario(platform: FakePlatform, port: FakeWorkers) -> None:
        pending = asyncio.create_task(port.start("w1", make_start("s/0")))
        await asyncio.sleep(0.05)
        platform.apply(fault)
        with pytest.raises(StartAmbiguous):
            await pending
        assert platform.ledger.starts("s") == 1

    run(scenario)


def test_silent_requests_hang_and_new_ones_work() -> None:
    async def scenario(platform: FakePlatform, port: FakeWorkers) -> None:
        pending = asyncio.create_task(port.start("w1", make_start("s/0")))
        await asyncio.sleep(0.05)
        port.link("w1").silence(stale=1)
        stale = asyncio.create_task(port.start("w1", make_start("s/1")))
        await asyncio.sleep(60)
        assert not pending.done() and not stale.done()
        assert (await port.inspect("w1", "s/0", 0)).state is TaskState.DONE
        assert (await port.revoke("w1", "s/1", 3)).state is TaskState.REVOKED
        pending.cancel()
        stale.cancel()

    run(scenario)


def test_delayed_start_arrives_after_its_sender_gave_up() -> None:
    async def scenario(platform: FakePlatform, port: FakeWorkers) -> None:
        port.link("w1").delay_s = 5.0
        pending = asyncio.create_task(port.start("w1", make_start("s/0")))
        await asyncio.sleep(0.1)
        pending.cancel()
        await asyncio.sleep(6)
        assert platform.ledger.starts("s") == 1

    run(scenario)


def test_a_paused_worker_makes_quick_requests_ambiguous() -> None:
    async def scenario(platform: FakePlatform, port: FakeWorkers) -> None:
        platform.apply(faults.Pause(10.0, "w1"))
        with pytest.raises(StartAmbiguous):
            await port.revoke("w1", "s/0", 3)
        await asyncio.sleep(10)
        assert (await port.inspect("w1", "s/0", 0)).state is TaskState.REVOKED

    run(scenario)


def test_a_host_cut_off_from_the_log_cannot_tell_whether_it_appended() -> None:
    async def main() -> None:
        platform = FakePlatform(())
        cut_off, other = platform.log_for("h1"), platform.log_for("h2")
        pending = asyncio.create_task(cut_off.append("a", ("x",)))
        await asyncio.sleep(0.004)
        cut_off.cut = True
        with pytest.raises(LogUnavailable):
            await pending
        page = await other.read("a", 0, 10, 0)
        assert [record.data for record in page.records] == ["x"]

    run_virtual(main())
