"""Runs one soak with a given seed, or a series with random seeds.

python -m soak.run --seed 7 --seconds 20
"""

import asyncio
import random
import shutil
import time
from collections import Counter
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Annotated, TextIO

import typer

from monsoongap.load.checker import broken_promises
from monsoongap.transport.http_conn import ExchangeLost, NotConnected
from soak.callers import Callers
from soak.cuts import CutInjector
from soak.deployment import Deployment, Size, StartTimeout, open_deployment
from soak.power import PowerInjector
from soak.troubles import FaultInjector

DEFAULT_JOBS_PER_S = 20.0
RECOVERY_S = 5.0
ANSWER_WAIT_S = 20.0
FINAL_JOBS = 20
# In a soak of links that fail, so many long jobs begin together, so many seconds after
# the load.
STEADY_JOBS = 24
STEADY_AT_S = (2.8, 3.3)
LINKED_SIZE = Size(4, 2, 3, 1)
# A long job may be begun anew after the last fault, and takes up to 45 s then.
LONG_ANSWER_WAIT_S = 60.0
# Faults that need links between hosts.
LINKED_INJECTORS = {"cut_dc": CutInjector, "lose_power": PowerInjector}
app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@dataclass(frozen=True, slots=True)
class Plan:
    """Parameters of one soak; `calm` means without faults, `only` one kind of them.

    `long_share` is the share of callers whose jobs outlast what hosts remember.
    """

    seconds: float
    jobs_per_s: float
    calm: bool
    size: Size
    only: str = ""
    long_share: float = 0.0

    @property
    def is_linked(self) -> bool:
        """Return whether hosts reach each other through links that can fail."""
        return self.only in LINKED_INJECTORS


async def soak(seed: int, plan: Plan, out: Path) -> list[str]:
    """Run one soak and return a sentence for each failure."""
    async with open_deployment(seed, out, plan.size, plan.is_linked) as deployment:
        with (out / "attempts.txt").open("w") as log:
            failures = await _run_under_load(deployment, seed, plan, log)
        await _write_runs(deployment, out / "runs.txt")
        return failures


async def _write_runs(deployment: Deployment, path: Path) -> None:
    """Write all runs with their times as seconds since the epoch, as logs have them."""
    offset = time.time() - time.monotonic()
    with path.open("w") as file:
        for run in sorted(await deployment.ledger(), key=lambda run: run.began_at):
            ended = "..." if run.ended_at is None else f"{run.ended_at + offset:.3f}"
            task = f"{run.task.job} {run.task.step}.{run.task.index} run {run.run}"
            span = f"{run.began_at + offset:.3f} to {ended}"
            print(f"{span} {task} on {run.runner} {run.how}", file=file)


async def _run_under_load(
    deployment: Deployment, seed: int, plan: Plan, log: TextIO
) -> list[str]:
    callers = Callers(
        list(deployment.procs.nodes.values()),
        deployment.rng,
        long_share=plan.long_share,
        long_rng=random.Random(f"long {seed}"),
        all_wait=plan.is_linked,
        log=log,
    )
    sends: set[asyncio.Task[object]] = set()
    kind = LINKED_INJECTORS.get(plan.only, FaultInjector)
    injector = kind(deployment, seed, plan.only, plan.long_share > 0)

    async def send_steady(rng: random.Random) -> None:
        await asyncio.sleep(rng.uniform(*STEADY_AT_S))
        await callers.send_steady()

    async def load() -> None:
        while True:
            sends.add(asyncio.create_task(callers.send()))
            await asyncio.sleep(1 / plan.jobs_per_s)

    loading = asyncio.create_task(load())
    if plan.is_linked:
        rng = random.Random(f"steady {seed}")
        sends |= {asyncio.create_task(send_steady(rng)) for _ in range(STEADY_JOBS)}
    if plan.calm:
        await asyncio.sleep(plan.seconds)
    else:
        await injector.inject_faults(plan.seconds)
    await asyncio.sleep(RECOVERY_S)
    loading.cancel()
    has_long = plan.long_share or plan.is_linked
    wait_s = LONG_ANSWER_WAIT_S if has_long else ANSWER_WAIT_S
    done_pending = await asyncio.wait(sends, timeout=wait_s)
    final_sends = (callers.send(may_hurry=False) for _ in range(FINAL_JOBS))
    final_calls = await asyncio.gather(*final_sends)
    ledger = await deployment.ledger()
    failures = list(broken_promises(callers.calls, ledger))
    failures += injector.late_starts(ledger)
    failures += (
        [f"not answered before the end of the soak: {len(done_pending[1])} calls"]
        if done_pending[1]
        else []
    )
    incomplete = [call for call in final_calls if not call.completed]
    failures += [
        f"not completed after the recovery time: {c.id} {c.outcome}" for c in incomplete
    ]
    outcomes = Counter(call.outcome for call in callers.calls)
    counts = ", ".join(f"{n} {name}" for name, n in outcomes.items())
    print(f"  {len(callers.calls)} jobs: {counts}")
    return failures


@app.command()
def main(
    seed: Annotated[
        int | None, typer.Option(help="Run one soak with this seed.")
    ] = None,
    seconds: Annotated[
        float, typer.Option(help="Seconds of faults in each soak.")
    ] = 15.0,
    rounds: Annotated[int, typer.Option(help="Number of random seeds.")] = 1,
    out: Annotated[Path, typer.Option(help="Folder for logs.")] = Path("out/soak"),
    calm: Annotated[bool, typer.Option(help="Inject no faults.")] = False,
    jobs_per_s: Annotated[
        float, typer.Option(help="Jobs sent per second.")
    ] = DEFAULT_JOBS_PER_S,
    dcs: Annotated[int | None, typer.Option(help="Number of data centres.")] = None,
    nodes: Annotated[int | None, typer.Option(help="Entry hosts in each.")] = None,
    runners: Annotated[int, typer.Option(help="Runners in each.")] = 3,
    only: Annotated[str, typer.Option(help="Inject faults of this kind only.")] = "",
    long_share: Annotated[
        float, typer.Option(help="Share of callers whose jobs take 20 to 45 s.")
    ] = 0.0,
) -> None:
    """Run soaks; exit with 1 if any of them failed."""
    seed_source = random.SystemRandom()
    seeds = (
        [seed]
        if seed is not None
        else [seed_source.randrange(10**6) for _ in range(rounds)]
    )
    failed = 0
    for soak_seed in seeds:
        # By default two or three of each, depending on the seed.
        size = Size(dcs or 2 + soak_seed % 2, nodes or 2 + soak_seed // 2 % 2, runners)
        plan = Plan(seconds, jobs_per_s, calm, size, only, long_share)
        if plan.is_linked and not (dcs or nodes):
            plan = replace(plan, size=replace(LINKED_SIZE, runners=runners))
        print(f"seed {soak_seed}, {plan.size}")
        try:
            shutil.rmtree(out / str(soak_seed), ignore_errors=True)
            (out / str(soak_seed)).mkdir(parents=True)
            failures = asyncio.run(soak(soak_seed, plan, out / str(soak_seed)))
        except* (NotConnected, ExchangeLost, StartTimeout) as group:
            failures = [f"not started, or the stand-in failed: {group.exceptions}"]
        failed += bool(failures)
        for line in failures:
            print(f"  BROKEN {line}")
    print(f"{len(seeds) - failed} passed, {failed} failed")
    raise typer.Exit(1 if failed else 0)


if __name__ == "__main__":
    app()
