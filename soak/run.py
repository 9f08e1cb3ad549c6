"""Runs one soak by its seed, or a series of fresh ones.

python -m soak.run --seed 7 --seconds 20
"""

import asyncio
import random
import shutil
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import typer

from monsoongap.load.checker import broken_promises
from monsoongap.transport.http_conn import ExchangeLost, NotConnected
from soak.callers import Callers
from soak.deployment import Deployment, NotStarted, Size, open_deployment
from soak.troubles import Troubles

JOBS_PER_S = 20.0
HEAL_S = 5.0
DRAIN_S = 20.0
LAST_JOBS = 20
app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@dataclass(frozen=True, slots=True)
class Plan:
    """What to play: for how long, at what load, on what."""

    seconds: float
    jobs_per_s: float
    calm: bool
    size: Size


async def soak(seed: int, plan: Plan, out: Path) -> list[str]:
    """Run one soak; returns what was broken."""
    async with open_deployment(seed, out, plan.size) as site:
        found = await _under_load(site, seed, plan)
        if found:
            await _write_runs(site, out / "runs.txt")
        return found


async def _write_runs(site: Deployment, path: Path) -> None:
    """Write what the runners ran, in seconds as the logs of the daemons have them."""
    offset = time.time() - time.monotonic()
    with path.open("w") as file:
        for run in sorted(await site.ledger(), key=lambda run: run.began_at):
            ended = "..." if run.ended_at is None else f"{run.ended_at + offset:.3f}"
            task = f"{run.task.job} {run.task.step}.{run.task.index} run {run.run}"
            span = f"{run.began_at + offset:.3f} to {ended}"
            print(f"{span} {task} on {run.runner} {run.how}", file=file)


async def _under_load(site: Deployment, seed: int, plan: Plan) -> list[str]:
    callers = Callers(list(site.procs.nodes.values()), site.rng)
    sent: set[asyncio.Task[object]] = set()

    async def load() -> None:
        while True:
            sent.add(asyncio.create_task(callers.send()))
            await asyncio.sleep(1 / plan.jobs_per_s)

    loading = asyncio.create_task(load())
    if plan.calm:
        await asyncio.sleep(plan.seconds)
    else:
        await Troubles(site, seed).make_trouble(plan.seconds)
    await asyncio.sleep(HEAL_S)
    loading.cancel()
    late = await asyncio.wait(sent, timeout=DRAIN_S)
    last = await asyncio.gather(*(callers.send() for _ in range(LAST_JOBS)))
    found = list(broken_promises(callers.calls, await site.ledger()))
    found += [f"no answer at all: {len(late[1])} calls"] if late[1] else []
    bad = [call for call in last if not call.completed]
    found += [f"not served after all has healed: {c.id} {c.outcome}" for c in bad]
    outcomes = Counter(call.outcome for call in callers.calls)
    told = ", ".join(f"{n} {name}" for name, n in outcomes.items())
    print(f"  {len(callers.calls)} jobs: {told}")
    return found


@app.command()
def main(
    seed: Annotated[int | None, typer.Option(help="Play this seed only.")] = None,
    seconds: Annotated[float, typer.Option(help="Trouble of each soak.")] = 15.0,
    rounds: Annotated[int, typer.Option(help="Number of fresh seeds.")] = 1,
    out: Annotated[Path, typer.Option(help="Where logs go.")] = Path("out/soak"),
    calm: Annotated[bool, typer.Option(help="Load without any trouble.")] = False,
    jobs_per_s: Annotated[float, typer.Option(help="Load.")] = JOBS_PER_S,
    dcs: Annotated[int | None, typer.Option(help="Number of data centres.")] = None,
    nodes: Annotated[int | None, typer.Option(help="Daemons in each.")] = None,
    runners: Annotated[int, typer.Option(help="Runners in each.")] = 3,
) -> None:
    """Play soaks and fail at the first broken promise."""
    fresh = random.SystemRandom()
    seeds = (
        [seed] if seed is not None else [fresh.randrange(10**6) for _ in range(rounds)]
    )
    failed = 0
    for number in seeds:
        # Two or three of each, by the seed.
        size = Size(dcs or 2 + number % 2, nodes or 2 + number // 2 % 2, runners)
        plan = Plan(seconds, jobs_per_s, calm, size)
        print(f"seed {number}, {size}")
        try:
            shutil.rmtree(out / str(number), ignore_errors=True)
            (out / str(number)).mkdir(parents=True)
            found = asyncio.run(soak(number, plan, out / str(number)))
        except* (NotConnected, ExchangeLost, NotStarted) as group:
            found = [f"the stand-in is gone: {group.exceptions}"]
        failed += bool(found)
        for line in found:
            print(f"  BROKEN {line}")
    print(f"{len(seeds) - failed} passed, {failed} failed")
    raise typer.Exit(1 if failed else 0)


if __name__ == "__main__":
    app()
