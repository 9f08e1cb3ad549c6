"""`make demo`: a deployment on loopback under load while one entry host is killed.

The stand-in serves two data centres with two entry hosts each. Load goes through every
host, one is killed at peak load, every promise is checked, and one job is explained.
"""

import asyncio
import tempfile
from pathlib import Path

from rich.console import Console

from monsoongap.cli.explain import format_events, job_events, read_lines
from monsoongap.cli.status import status
from monsoongap.load.main import measure, print_summary
from monsoongap.load.settings import (
    ArrivalsSection,
    LoadProfile,
    MixSection,
    TargetSection,
)
from soak.deployment import open_deployment
from soak.troubles import FaultInjector

SEED = 1
KILL_AT_S = 3.0
ARRIVALS = ArrivalsSection(
    jobs_per_s=20.0,
    peak_jobs_per_s=40.0,
    peak_from_s=2.0,
    peak_for_s=2.0,
    duration_s=6.0,
)


async def run_demo(folder: Path) -> int:
    """Run the demonstration and return the number of broken promises."""
    console = Console()
    async with open_deployment(SEED, folder) as deployment:
        nodes = list(deployment.procs.nodes.values())
        entries = tuple(node.operators for node in nodes)
        target = TargetSection(entries, deployment.control)
        profile = LoadProfile(target, ARRIVALS, MixSection(straggler_share=0.03))
        measuring = asyncio.create_task(measure(profile))
        await asyncio.sleep(KILL_AT_S)
        console.print("killing one entry host")
        await FaultInjector(deployment, SEED).kill_node(deployment.rng)
        summary = await measuring
        print_summary(console, summary)
        await asyncio.to_thread(status, nodes[0].operators, False)
    logs = [folder / f"{node.name}.log" for node in nodes]
    explain_one(console, logs)
    return len(summary.broken or ())


def explain_one(console: Console, logs: list[Path]) -> None:
    """Print the explanation of the job with the most log lines."""
    lines = list(read_lines(logs))
    jobs = [str(line.fields["job"]) for line in lines if "job" in line.fields]
    if not jobs:
        return
    longest = max(set(jobs), key=jobs.count)
    console.print(f"\nmonsoongap explain {longest}")
    for text in format_events(list(job_events(longest, lines))):
        console.print(text, markup=False, highlight=False)


def main() -> int:
    """Run the demonstration in a folder that is removed afterwards."""
    with tempfile.TemporaryDirectory(prefix="monsoongap-demo-") as name:
        return asyncio.run(run_demo(Path(name)))


if __name__ == "__main__":
    raise SystemExit(main())
