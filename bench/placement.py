"""Placement against its targets and simple baselines, on virtual time.

`python -m bench.placement` prints one table per target; `--cost` measures the
processor time of a placement on a real event loop.
"""

import asyncio
import logging
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Annotated

import typer
from rich.console import Console
from rich.table import Table

from bench import placement_scenarios as scenarios
from bench.placement_baselines import Baseline, run_baseline
from bench.placement_cost import QUEUED_TASKS, WORKERS, measure_cost
from bench.placement_loads import Mix, MixedLoad
from bench.placement_scenarios import SLOTS, Stretch
from bench.placement_scenarios import WORKERS as RUNNERS

MIN_TASKS_PER_S = 5000.0
LENDING = "this scheduler"
NO_LENDING = "this scheduler, no lending"
ONE_HOST = "this scheduler, one host"

app = typer.Typer(add_completion=False)


@dataclass(frozen=True, slots=True)
class Case:
    """One policy under one load."""

    policy: str
    load: MixedLoad


def run_case(case: Case) -> Stretch:
    """Run one policy and return its percentiles."""
    logging.disable(logging.CRITICAL)
    warm_up = case.load.jobs // 10
    if case.policy in set(Baseline):
        policy = Baseline(case.policy)
        records = run_baseline(policy, case.load, RUNNERS, SLOTS)
    else:
        hosts = 1 if case.policy == ONE_HOST else 2
        lending = case.policy != NO_LENDING
        world = scenarios.run(scenarios.blocking(case.load, hosts, lending))
        records = world.records
    return scenarios.stretch_of(records, warm_up)


def blocking_table(console: Console, tasks: int, seed: int, processes: int) -> None:
    """Print blocking of short work by long work, all policies beside each other."""
    policies = [LENDING, ONE_HOST, NO_LENDING, *(policy.value for policy in Baseline)]
    loads = [
        MixedLoad(mix, size, jobs=tasks // size, seed=seed)
        for mix, size in (
            (Mix.TASKS, 8),
            (Mix.TASKS, 1),
            (Mix.KINDS, 8),
            (Mix.KINDS, 1),
            (Mix.SURPRISE, 1),
        )
    ]
    cases = [Case(policy, load) for load in loads for policy in policies]
    with ProcessPoolExecutor(processes) as pool:
        found = dict(zip(cases, pool.map(run_case, cases), strict=True))
    for load in loads:
        title = f"mix {load.mix}, jobs of {load.job_size}, seed {seed}"
        table = Table("policy", title=f"response over ideal, {title}")
        for column in ("short p50", "short p99", "long p50", "long p99", "refused"):
            table.add_column(column, justify="right")
        for policy in policies:
            result = found[Case(policy, load)]
            table.add_row(
                policy,
                f"{result.short_p50:.2f}",
                f"{result.short_p99:.2f}",
                f"{result.long_p50:.2f}",
                f"{result.long_p99:.2f}",
                str(result.refused),
            )
        console.print(table)


def other_targets(console: Console, seed: int) -> None:
    """Print slot use, the crest, a flood and bad workers."""
    table = Table("target", "bound", "measured", title=f"other targets, seed {seed}")
    lending = scenarios.run(scenarios.skewed(True, seed=seed))
    static = scenarios.run(scenarios.skewed(False, seed=seed))
    table.add_row(
        "slot use while queueing, lending", ">= 0.95", f"{lending.slot_use:.3f}"
    )
    table.add_row("slot use while queueing, static split", "", f"{static.slot_use:.3f}")
    calls = lending.credit_calls / lending.starts
    table.add_row("credit calls per start, lending", "< 1", f"{calls:.2f}")
    crest = scenarios.run(scenarios.crest(seed))
    table.add_row("crest goodput over capacity", ">= 0.9", f"{crest.goodput:.3f}")
    refusal_ms = 1000.0 * crest.slowest_refusal_s
    table.add_row("slowest refusal in ms", "<= 50", f"{refusal_ms:.1f}")
    table.add_row("p99 of response/ideal before", "", f"{crest.p99_before:.2f}")
    table.add_row("p99 from 2 s after", "<= before", f"{crest.p99_after:.2f}")
    table.add_row("errors over the crest", "", str(dict(crest.errors)))
    table.add_row("starts of jobs without an answer", "", str(crest.wasted_starts))
    flood = scenarios.run(scenarios.flood(seed))
    table.add_row("flooded team's jobs answered", "1.0", f"{flood.quiet_answered:.3f}")
    table.add_row("their p99 of response/ideal", "", f"{flood.quiet_p99:.2f}")
    bad = scenarios.run(scenarios.bad_worker(seed))
    table.add_row("starts lost in the first second", "", str(bad.lost_first_second))
    table.add_row("most lost per probe period", "<= 5", str(max(bad.lost_per_period)))
    table.add_row("worker readmitted when healed", "True", str(bad.readmitted))
    ejected = scenarios.run(scenarios.bad_kind(seed))
    table.add_row("workers ejected by a bad kind", "0", str(ejected))
    lossy = scenarios.run(scenarios.lossy_lending(seed))
    table.add_row("busy refusals under lost calls", "0", str(lossy.busy_refusals))
    console.print(table)


def cost_table(console: Console) -> bool:
    """Print the cost of a placement; returns whether it meets its bound."""
    cost = asyncio.run(measure_cost())
    table = Table("workers", "tasks waiting", "tasks/s of one core", "bound")
    table.add_row(
        str(WORKERS),
        str(QUEUED_TASKS),
        f"{cost.tasks_per_s:.0f}",
        f">= {MIN_TASKS_PER_S:.0f}",
    )
    console.print(table)
    return cost.tasks_per_s >= MIN_TASKS_PER_S


@app.command()
def main(
    cost: Annotated[bool, typer.Option(help="Measure processor time only.")] = False,
    tasks: Annotated[int, typer.Option(help="Tasks per load.")] = 48_000,
    seed: Annotated[int, typer.Option(help="Seed of every load.")] = 1,
    processes: Annotated[int, typer.Option(help="Runs at a time.")] = 4,
) -> None:
    """Measure placement; with `--cost` exits 1 below the bound."""
    logging.disable(logging.CRITICAL)
    console = Console(width=110)
    if cost:
        raise typer.Exit(0 if cost_table(console) else 1)
    blocking_table(console, tasks, seed, processes)
    other_targets(console, seed)


if __name__ == "__main__":
    app()
