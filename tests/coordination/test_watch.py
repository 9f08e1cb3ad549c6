"""Tests of the reply watch: silent connections settled at a bounded cost."""

import asyncio
import random
from collections.abc import Callable

import pytest

from monsoongap.coordination.watch import WatchedWorkers
from monsoongap.errors import StartAmbiguous
from monsoongap.protocol.messages import StartLease, TaskReport, TaskStart, TaskState
from monsoongap.settings import WorkersSection
from monsoongap.timers import TimerService
from tests.clock import run_virtual
from tests.fakes import FakePlatform, FakeWorkers, worker_shapes

SERVICE_BACK_S = 2.0
CHECK_SHARE_LIMIT = 0.05


class NotedReports:
    """A directory that notes what is reported of workers."""

    def __init__(self) -> None:
        self.noted: list[tuple[str, str]] = []

    def report_silent(self, worker: str) -> None:
        self.noted.append(("silent", worker))

    def report_alive(self, worker: str) -> None:
        self.noted.append(("alive", worker))


class Bench:
    """One watched caller host with one or more workers."""

    def __init__(self, workers: int = 1) -> None:
        self.platform = FakePlatform(worker_shapes(workers))
        self.raw: FakeWorkers = self.platform.workers_for("e1")
        self.reports = NotedReports()
        self.timers = TimerService()
        self.watched = WatchedWorkers(
            WorkersSection(),
            self.raw,
            self.reports,  # type: ignore[arg-type]
            self.timers,
        )
        self.watched.begin()

    async def start(self, task: str, run_ms: float, worker: str = "w1") -> TaskReport:
        usage = await self.raw.usage(worker)
        return await self.watched.start(
            worker,
            TaskStart(
                task=task,
                submission=task.partition("/")[0],
                team="t",
                kind="k",
                holder="e1",
                fence=1,
                lease=StartLease(usage.boot, usage.clock_ms + 3000),
                payload={"run_ms": run_ms, "value": task},
            ),
        )

    async def close(self) -> None:
        self.watched.close()
        self.timers.close()
        await self.platform.close()


@pytest.mark.parametrize("run_ms", [100, 900, 4000])
def test_all_connections_silent_is_settled_in_time(run_ms: float) -> None:
    async def main() -> None:
        bench = Bench()
        starts = [asyncio.create_task(bench.start(f"s/{n}", run_ms)) for n in range(8)]
        await asyncio.sleep(0.05)
        silent_at = bench.timers.now()
        bench.raw.link("w1").silence()
        reports = await asyncio.gather(*starts)
        took_s = bench.timers.now() - silent_at
        assert [r.answer["value"] for r in reports] == [f"s/{n}" for n in range(8)]
        assert took_s <= SERVICE_BACK_S + run_ms / 1000
        assert not bench.platform.ledger.duplicates()
        assert bench.reports.noted == []
        await bench.close()

    run_virtual(main())


def test_start_lost_on_a_silent_connection_is_ambiguous_in_time() -> None:
    async def main() -> None:
        bench = Bench()
        bench.raw.link("w1").silence(stale=1)
        began = bench.timers.now()
        with pytest.raises(StartAmbiguous):
            await bench.start("s/0", 100)
        assert bench.timers.now() - began <= SERVICE_BACK_S
        report = await bench.raw.revoke("w1", "s/0", 1)
        assert report.state is TaskState.REVOKED
        await bench.close()

    run_virtual(main())


def test_worker_is_reported_only_when_a_new_connection_fails_too() -> None:
    async def main() -> None:
        bench = Bench()
        work = asyncio.create_task(bench.start("s/0", 500))
        await asyncio.sleep(0.05)
        bench.raw.link("w1").silence(new_works=False)
        with pytest.raises(StartAmbiguous):
            await work
        assert bench.reports.noted[0] == ("silent", "w1")
        bench.raw.link("w1").heal()
        await bench.start("s/1", 50)
        assert bench.reports.noted[-1] == ("alive", "w1")
        await bench.close()

    run_virtual(main())


def test_cancelling_the_caller_wins_over_a_verdict() -> None:
    async def main() -> None:
        bench = Bench()
        work = asyncio.create_task(bench.start("s/0", 5000))
        await asyncio.sleep(0.5)
        work.cancel()
        with pytest.raises(asyncio.CancelledError):
            await work
        await bench.close()

    run_virtual(main())


def mixed_run_ms(rng: random.Random) -> float:
    """Draw 100 ms, or 2 s for one task in ten."""
    return 2000 if rng.random() < 0.1 else 100


@pytest.mark.parametrize("draw", [mixed_run_ms, lambda rng: 3000.0])
def test_checks_cost_little_on_a_healthy_system(
    draw: Callable[[random.Random], float],
) -> None:
    async def main() -> None:
        rng = random.Random(4)
        bench = Bench(workers=3)
        slots = asyncio.Semaphore(19)  # 80 % of three workers with 8 slots
        started = 0

        async def one(n: int) -> None:
            async with slots:
                await bench.start(f"s{n}/0", draw(rng), f"w{n % 3 + 1}")

        async with asyncio.TaskGroup() as group:
            for n in range(600):
                group.create_task(one(n))
                started += 1
        assert bench.watched.found_silent == 0
        assert bench.watched.checks <= CHECK_SHARE_LIMIT * started
        await bench.close()

    run_virtual(main())
