"""Planned placement on whole hosts, on virtual time."""

import asyncio
import random

import msgspec
import pytest

from monsoongap.coordination import planned_placement
from monsoongap.coordination.plan_data import Plan, PlanInput
from monsoongap.errors import AnswerKind
from monsoongap.metrics import Metrics
from monsoongap.protocol.messages import (
    Configuration,
    Job,
    JobReply,
    QueueRule,
    Resources,
    Step,
    UpstreamRule,
)
from monsoongap.standin.runner_model import TaskPlan
from tests.clock import run_virtual
from tests.coordination.test_settling_races import SCENARIOS, FaultScenario
from tests.host_world import QUEUE, UPSTREAM, World

HORIZON_MS = 200.0
FAST, SLOW = 1 / 1.2, 1 / 0.55


def world_of(horizon_ms: float, slow: tuple[float, ...], **more: int) -> World:
    """Return one data centre with runners of 64 cores, as slow as told."""
    rule = QueueRule(QUEUE, "h", "/q/", UPSTREAM, 8.0, 0, 3, 1.6, 0.06)
    config = Configuration(1, (rule,), (UpstreamRule(UPSTREAM, True),))
    dcs = {"a": 1, **more}
    room = Resources(64_000, 1 << 16)
    world = World(dcs, 0, 1, room=room, config=config, horizon_ms=horizon_ms)
    for dc in dcs:
        for i, factor in enumerate(slow):
            world.join_runner(dc, f"{dc}-r{i}").faults.slow = factor
    return world


async def submit(world: World, id_: int, tasks: int, work_s: float, cores: int) -> str:
    """Submit a job; return the name of its outcome."""
    plan = TaskPlan(1000 * work_s, 1000 * cores)
    step = Step(tasks, Resources(plan.cpu_milli, plan.mem_mb), work_s)
    payload = msgspec.json.encode(plan).decode()
    job = Job(f"{id_:016x}", QUEUE, payload, (step,))
    reply: JobReply = await world.submit_job("a-h0", job)
    return reply.kind.value


def runner_of(world: World, id_: int) -> list[str]:
    return [e.runner for e in world.ledger if e.task.job == f"{id_:016x}"]


async def learn_paces(world: World) -> None:
    """Keep all runners busy with short jobs until their paces are known."""
    count = 2 * len(world.models)
    for i in range(8):
        await submit(world, 1000 + i, count, 0.05, 30)


def test_a_long_task_waits_for_a_fast_runner_on_which_it_is_in_time() -> None:
    """Guards against long tasks on slow runners, where they are late whatever."""

    async def main(horizon_ms: float) -> list[str]:
        world = world_of(horizon_ms, (SLOW, FAST))
        await world.start()
        await learn_paces(world)
        # Fills the fast runner, and is over soon.
        short = asyncio.create_task(submit(world, 1, 1, 0.08, 50))
        await asyncio.sleep(0.02)
        if runner_of(world, 1) != ["a-r1"]:
            # Best fit chose the slow one; the next goes to the fast one.
            asyncio.create_task(submit(world, 2, 1, 0.08, 50))
            await short
            await asyncio.sleep(0.02)
        long = asyncio.create_task(submit(world, 3, 1, 0.76, 40))
        assert await long == AnswerKind.COMPLETED.value
        world.check()
        return runner_of(world, 3)

    assert run_virtual(main(HORIZON_MS)) == ["a-r1"]


def test_nothing_is_planned_without_a_horizon() -> None:
    """Guards against planned placement in a deployment that did not ask for it."""

    async def main() -> None:
        world = world_of(0.0, (FAST,))
        await world.start()
        assert world.hosts["a-h0"].pool.planned is None

    run_virtual(main())


def test_predictions_are_published_beside_response_times() -> None:
    """Guards against a histogram that hides or breaks the other metrics."""
    metrics = Metrics("h", "a")
    metrics.add_predictions()(1.1)
    text = metrics.render()[0].decode()
    assert 'run_time_over_predicted_bucket{dc="a",host="h",le="1.2"} 1' in text
    assert text.index("response_seconds") < text.index("run_time_over_predicted")


def test_a_wide_task_is_not_overtaken_for_ever_by_smaller_ones() -> None:
    """Guards against small tasks that take each gap before a wide one fits."""

    async def main(horizon_ms: float) -> int:
        world = world_of(horizon_ms, (FAST,))
        await world.start()
        await learn_paces(world)
        running = [asyncio.create_task(submit(world, 1, 1, 0.15, 30))]
        await asyncio.sleep(0.05)
        running.append(asyncio.create_task(submit(world, 2, 1, 0.15, 30)))
        await asyncio.sleep(0.01)
        running.append(asyncio.create_task(submit(world, 3, 1, 0.15, 48)))
        for i in range(6):
            await asyncio.sleep(0.01)
            running.append(asyncio.create_task(submit(world, 10 + i, 1, 0.15, 30)))
        await asyncio.gather(*running)
        world.check()
        order = [int(entry.task.job, 16) for entry in world.ledger]
        return sum(10 <= one < 20 for one in order[: order.index(3)])

    assert run_virtual(main(0.0)) > 0
    assert run_virtual(main(HORIZON_MS)) == 0


def test_a_restarted_runner_gets_another_pace() -> None:
    """Guards against a fast pace that is kept for a slow incarnation."""

    async def main() -> tuple[float, float]:
        world = world_of(HORIZON_MS, (SLOW, FAST))
        await world.start()
        await learn_paces(world)
        host = world.hosts["a-h0"]
        assert host.pool.planned is not None
        views, link = host.pool.planned.views, host.pool.links["a-r0"]
        before = views.pace(link)
        world.crash_runner("a-r0")
        await asyncio.sleep(0.5)
        world.models["a-r0"].restart()
        world.send_runner_lists()
        await asyncio.sleep(2.0)
        return before / views.usual_pace, views.pace(link) / views.usual_pace

    before, after = run_virtual(main())
    assert before > planned_placement.RunnerViews().usual_pace * 1.4
    assert after == 1.0


def test_a_planner_that_raises_does_not_stop_placement(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a fault of the planner that leaves every task waiting."""

    def fails(given: PlanInput) -> Plan:
        raise ValueError("fault")

    async def main() -> None:
        world = world_of(HORIZON_MS, (FAST, FAST))
        await world.start()
        assert await submit(world, 1, 4, 0.05, 30) == AnswerKind.COMPLETED.value
        world.check()

    monkeypatch.setattr(planned_placement, "make_plan", fails)
    run_virtual(main())


def test_tasks_beyond_the_own_runners_are_lent_in_time() -> None:
    """Guards against tasks that wait on a reservation while another owner is idle."""

    async def main() -> set[str]:
        world = world_of(HORIZON_MS, (FAST, FAST), b=1)
        await world.start()
        await learn_paces(world)
        began = asyncio.get_running_loop().time()
        assert await submit(world, 1, 8, 0.3, 30) == AnswerKind.COMPLETED.value
        assert asyncio.get_running_loop().time() - began < 2 * 0.3
        world.check()
        return {runner.partition("-")[0] for runner in runner_of(world, 1)}

    assert run_virtual(main()) == {"a", "b"}


@pytest.mark.parametrize(("name", "seed"), [("rolls", 1), ("orders", 1), ("all", 1)])
def test_random_faults_cause_no_overlapping_runs(name: str, seed: int) -> None:
    """Guards against starts of a plan that no longer holds."""

    async def main() -> None:
        dcs = {"ibk": 3, "kuf": 2, "lnz": 2}
        world = World(dcs, runners_per_dc=3, seed=seed, horizon_ms=HORIZON_MS)
        await world.start()
        await asyncio.sleep(3)
        scenario = FaultScenario(world, random.Random(seed), SCENARIOS[name])
        await scenario.run(8.0)
        try:
            world.check()
        except AssertionError as exc:
            raise AssertionError(f"{exc}\n" + "\n".join(scenario.events)) from exc

    run_virtual(main())


def test_a_task_that_failed_on_every_runner_is_tried_again() -> None:
    """Guards against a task that waits for ever as it avoids all runners."""

    async def main() -> None:
        world = world_of(HORIZON_MS, (FAST,))
        await world.start()
        model = world.models["a-r0"]
        model.faults.fails = True
        job = asyncio.create_task(submit(world, 1, 1, 0.05, 30))
        await asyncio.sleep(0.03)
        assert len(world.ledger) == 1
        await asyncio.sleep(0.02)
        model.faults.fails = False
        assert await asyncio.wait_for(job, 3.0) == AnswerKind.COMPLETED.value

    run_virtual(main())


def test_a_start_of_a_plan_is_not_sent_if_its_runner_has_filled_meanwhile() -> None:
    """Guards against an adopted run, larger than assumed, beside a planned start."""

    async def main() -> None:
        world = world_of(HORIZON_MS, (FAST,))
        await world.start()
        pool = world.hosts["a-h0"].pool
        assert pool.planned is not None
        job = asyncio.create_task(submit(world, 1, 1, 0.05, 40))
        await asyncio.sleep(0.02)
        link = pool.links["a-r0"]
        (run,) = link.table.runs.values()
        assert run.work is not None
        pool.planned._chosen = {run.task: "a-r0"}
        best = pool.planned.best_link(run.work, UPSTREAM, pool.links, 0.0, 1.0)
        assert best is None
        await job

    run_virtual(main())
