"""Tests of the platform's models on virtual time."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

import msgspec
import pytest

from monsoongap.errors import LogTrimmed, LogUnavailable
from monsoongap.protocol.messages import (
    HostEntry,
    HostRole,
    Refusal,
    StartLease,
    TaskReport,
    TaskStart,
    TaskState,
)
from monsoongap.standin import faults
from monsoongap.standin.host_list_model import HostListModel
from monsoongap.standin.ledger import StartLedger
from monsoongap.standin.log_model import LogModel, LogShape
from monsoongap.standin.standing_faults import ReplyDropped
from monsoongap.standin.worker_model import WorkerGone, WorkerModel, WorkerShape
from tests.clock import run_virtual

FOREVER_MS = 10**9


def make_start(task: str = "s1/0", run_ms: float = 100, **changes: object) -> TaskStart:
    start = TaskStart(
        task=task,
        submission=task.rpartition("/")[0],
        team="team",
        kind="check",
        holder="h1",
        fence=1,
        lease=StartLease(1, FOREVER_MS),
        payload={"run_ms": run_ms, "value": 7},
    )
    return replace(start, **changes)  # type: ignore[arg-type]


def run_worker(
    scenario: Callable[[WorkerModel, StartLedger], Awaitable[None]], slots: int = 2
) -> None:
    async def main() -> None:
        ledger = StartLedger()
        worker = WorkerModel(WorkerShape("w1", slots=slots, keep_tasks=3), ledger)
        await scenario(worker, ledger)
        await worker.close()

    run_virtual(main())


def test_repeated_starts_join_the_task_and_then_get_its_kept_answer() -> None:
    async def scenario(worker: WorkerModel, ledger: StartLedger) -> None:
        first, second = await asyncio.gather(
            worker.start(make_start()), worker.start(make_start())
        )
        third = await worker.start(make_start(fence=9))
        answer = {"task": "s1/0", "value": 7}
        assert [r.answer for r in (first, second, third)] == [answer] * 3
        assert first.run_ms == pytest.approx(100)
        assert ledger.starts("s1") == 1 and ledger.duplicates() == ()

    run_worker(scenario)


@pytest.mark.parametrize(
    ("change", "refusal"),
    [
        ({"lease": StartLease(2, FOREVER_MS)}, Refusal.FENCED),
        ({"lease": StartLease(1, 4_999)}, Refusal.LEASE_EXPIRED),
        ({"memory_mb": 40_000}, Refusal.TOO_LARGE),
        ({"cpus": 17.0}, Refusal.TOO_LARGE),
        ({"task": "barred/0", "fence": 5}, Refusal.FENCED),
    ],
)
def test_refused_start_leaves_no_trace(
    change: dict[str, object], refusal: Refusal
) -> None:
    async def scenario(worker: WorkerModel, ledger: StartLedger) -> None:
        await asyncio.sleep(5)
        await worker.revoke("barred/0", 5)
        report = await worker.start(make_start(**change))  # type: ignore[arg-type]
        assert (report.state, report.refusal) == (TaskState.REFUSED, refusal)
        assert ledger.snapshot().entries == ()

    run_worker(scenario)


def test_full_and_leaving_workers_refuse_but_finish_what_runs() -> None:
    async def scenario(worker: WorkerModel, ledger: StartLedger) -> None:
        running = [
            asyncio.create_task(worker.start(make_start(f"s{n}/0"))) for n in (1, 2)
        ]
        await asyncio.sleep(0.01)
        full = await worker.start(make_start("s3/0"))
        worker.draining = True
        leaving = await worker.start(make_start("s4/0"))
        assert (full.refusal, leaving.refusal) == (Refusal.BUSY, Refusal.DRAINING)
        assert {r.state for r in await asyncio.gather(*running)} == {TaskState.DONE}

    run_worker(scenario)


def test_revoke_tells_what_became_of_the_task() -> None:
    async def scenario(worker: WorkerModel, ledger: StartLedger) -> None:
        running = asyncio.create_task(worker.start(make_start("s1/0")))
        await worker.start(make_start("s2/0", run_ms=10))
        reports = [await worker.revoke(f"s{n}/0", 4) for n in (1, 2, 3)]
        states = [report.state for report in reports]
        assert states == [TaskState.CANCELLED, TaskState.DONE, TaskState.REVOKED]
        assert (await running).state is TaskState.CANCELLED
        again = await worker.start(make_start("s1/0", fence=9))
        above = await worker.start(make_start("s3/0", fence=5))
        assert (again.state, above.state) == (TaskState.CANCELLED, TaskState.DONE)
        assert ledger.duplicates() == ()

    run_worker(scenario)


def test_inspect_waits_no_longer_than_asked() -> None:
    async def scenario(worker: WorkerModel, ledger: StartLedger) -> None:
        loop = asyncio.get_running_loop()
        assert (await worker.inspect("s1/0", 50)).state is TaskState.UNKNOWN
        running = asyncio.create_task(worker.start(make_start(run_ms=100)))
        await asyncio.sleep(0)
        assert (await worker.inspect("s1/0", 50)).state is TaskState.RUNNING
        assert loop.time() == pytest.approx(0.05)
        assert (await worker.inspect("s1/0", 500)).state is TaskState.DONE
        assert loop.time() == pytest.approx(0.1)
        await running

    run_worker(scenario)


def test_pause_freezes_work_and_wakes_with_an_old_lease_refused() -> None:
    async def scenario(worker: WorkerModel, ledger: StartLedger) -> None:
        running = asyncio.create_task(worker.start(make_start("s1/0", run_ms=100)))
        await asyncio.sleep(0.05)
        worker.set_faults((faults.Pause(2.0),))
        late = await worker.start(make_start("s2/0", lease=StartLease(1, 1_000)))
        assert late.refusal is Refusal.LEASE_EXPIRED
        assert (await running).run_ms == pytest.approx(2050)

    run_worker(scenario)


def test_death_loses_the_tasks_and_a_restart_has_a_new_boot() -> None:
    async def scenario(worker: WorkerModel, ledger: StartLedger) -> None:
        running = asyncio.create_task(worker.start(make_start("s1/0")))
        await asyncio.sleep(0.01)
        worker.set_faults((faults.Die("w1", restart_s=1.0),))
        with pytest.raises(WorkerGone):
            await running
        with pytest.raises(WorkerGone):
            await worker.usage()
        await asyncio.sleep(1.5)
        assert (await worker.start(make_start("s1/0"))).refusal is Refusal.FENCED
        assert (await worker.inspect("s1/0")).state is TaskState.UNKNOWN
        assert (await worker.usage()).boot == 2
        assert [entry.state for entry in ledger.snapshot().entries] == ["lost"]

    run_worker(scenario)


def test_faults_of_tasks_and_replies() -> None:
    async def scenario(worker: WorkerModel, ledger: StartLedger) -> None:
        worker.set_faults((faults.FailKind("check"),))
        assert (await worker.start(make_start("a/0"))).state is TaskState.FAILED
        worker.set_faults((faults.FailAll("other"), faults.Slow(20.0)))
        assert (await worker.start(make_start("b/0"))).run_ms == pytest.approx(2000)
        worker.set_faults((faults.CrossedReply(),))
        assert (await worker.start(make_start("c/0"))).task != "c/0"
        worker.set_faults((faults.ReplyLost(silent=True),))
        with pytest.raises(ReplyDropped):
            await worker.start(make_start("d/0"))
        assert (await worker.inspect("d/0")).state is TaskState.DONE
        assert ledger.starts("d") == 1

    run_worker(scenario)


def test_kept_tasks_are_bounded_in_count_and_usage_lags() -> None:
    async def scenario(worker: WorkerModel, ledger: StartLedger) -> None:
        for n in range(5):
            await worker.start(make_start(f"s{n}/0", run_ms=0))
        states = [(await worker.inspect(f"s{n}/0")).state for n in range(5)]
        assert states == [TaskState.UNKNOWN] * 2 + [TaskState.DONE] * 3
        running = asyncio.create_task(worker.start(make_start("t/0", run_ms=3000)))
        await asyncio.sleep(0.5)
        assert ((await worker.usage()).busy, worker.busy) == (0, 1)
        await asyncio.sleep(1.0)
        assert (await worker.usage()).busy == 1
        await running

    run_worker(scenario)


def test_seeded_share_strikes_alike_in_every_run() -> None:
    def draw() -> list[bool]:
        chance = faults.Chance()
        fault = faults.ReplyLost(share=0.3, seed=5)
        return [chance.strikes(fault, "w1") for _ in range(200)]

    assert draw() == draw()
    assert 30 <= sum(draw()) <= 90


def test_log_keeps_order_limits_appends_and_long_polls() -> None:
    async def main() -> None:
        model = LogModel(LogShape(appends_per_s=100, append_ms=5))
        poll = asyncio.create_task(model.read("a", 0, 10, 1_000))
        appends = [model.append("a", (str(n), f"{n}b")) for n in range(10)]
        assert await asyncio.gather(*appends) == list(range(0, 20, 2))
        assert asyncio.get_running_loop().time() == pytest.approx(0.105)
        assert [record.data for record in (await poll).records] == ["0", "0b"]
        page = await model.read("a", 18, 1, 0)
        assert (page.records[0].data, page.next) == ("9", 19)
        assert (await model.read("a", 20, 5, 300)).records == ()
        assert asyncio.get_running_loop().time() == pytest.approx(0.405)

    run_virtual(main())


def test_log_trims_by_count_and_age() -> None:
    async def main() -> None:
        model = LogModel(LogShape(keep_records=3, keep_s=60))
        await model.append("a", tuple("abcde"))
        with pytest.raises(LogTrimmed) as trimmed:
            await model.read("a", 0, 10, 0)
        assert trimmed.value.first_offset == 2
        assert (await model.read("a", 2, 10, 0)).first == 2
        await asyncio.sleep(61)
        assert (await model.read("a", 5, 10, 0)).first == 5

    run_virtual(main())


def test_log_faults() -> None:
    async def main() -> None:
        model = LogModel()
        model.set_faults((faults.AppendReplyLost(),))
        with pytest.raises(LogUnavailable):
            await model.append("a", ("x",))
        assert [record.data for record in model.stored("a")] == ["x"]
        model.set_faults((faults.LogOutage(5.0),))
        for call in (model.append("a", ("y",)), model.read("a", 0, 1, 0)):
            with pytest.raises(LogUnavailable):
                await call
        await asyncio.sleep(5.1)
        model.set_faults((faults.LogSlow(2.0),))
        began = asyncio.get_running_loop().time()
        assert await model.append("a", ("z",)) == 1
        assert asyncio.get_running_loop().time() - began > 2.0

    run_virtual(main())


def test_host_list_lags_shrinks_and_goes_out() -> None:
    async def main() -> None:
        hosts = tuple(
            HostEntry(f"w{n}", HostRole.WORKER, "dc1", f"127.0.0.1:{n}") for n in (1, 2)
        )
        model = HostListModel(hosts, lag_s=10.0)
        model.set_leaving("w1")
        await asyncio.sleep(9)
        assert not (await model.fetch()).hosts[0].leaving
        await asyncio.sleep(2)
        assert (await model.fetch()).hosts[0].leaving
        versions = [(await model.fetch()).version]
        for fault, shown in (
            (faults.HostListShrink(1), 1),
            (faults.HostListEmpty(), 0),
        ):
            model.set_faults((fault,))
            page = await model.fetch()
            versions.append(page.version)
            assert len(page.hosts) == shown
        assert versions == sorted(set(versions))
        model.set_faults((faults.HostListOutage(),))
        with pytest.raises(LogUnavailable):
            await model.fetch()

    run_virtual(main())


def test_fault_bodies_round_trip_and_name_what_is_wrong() -> None:
    wanted = (faults.Die("w1", 2.0), faults.ReplyLost(share=0.5), faults.LogOutage(3.0))
    assert faults.decode_faults(faults.encode_faults(wanted)) == wanted
    for body, clue in (
        (b'{"faults": [{"fault": "explode"}]}', r"faults\[0\]\.fault is 'explode'"),
        (b'{"faults": [{"fault": "pause", "pause_s": -1}]}', "pause_s"),
        (b'{"faults": [{"fault": "die", "wroker": "w"}]}', "wroker"),
        (b'{"faults": 3}', "faults"),
    ):
        with pytest.raises(msgspec.ValidationError, match=clue):
            faults.decode_faults(body)


def test_report_carries_boot_and_the_workers_own_clock() -> None:
    async def main() -> TaskReport:
        shape = WorkerShape("w1", clock_offset_s=1000.0)
        worker = WorkerModel(shape, StartLedger(), boot=42)
        return await worker.inspect("s/0")

    report = run_virtual(main())
    assert (report.boot, report.clock_ms) == (42, 1_000_000)
