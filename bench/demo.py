"""Starts a whole deployment on loopback, sends a burst through it, checks it.

Exits 0 when every promise held and every process left in good order.
"""

import asyncio
import tempfile
from pathlib import Path
from typing import Annotated

import typer
from rich.console import Console
from rich.table import Table

from bench.processes import NotReady, running
from monsoongap.load.local_deployment import (
    aim_at,
    write_deployment,
)
from monsoongap.load.main import read_schedule
from monsoongap.load.plan import JobClass
from monsoongap.load.report import write_report
from monsoongap.load.runner import run_load
from monsoongap.load.settings import (
    ArrivalsSection,
    CallsSection,
    DeploymentSection,
    LoadProfile,
    LogSection,
    MixSection,
    load_profile,
)
from monsoongap.load.summary import Summary, samples_of, summarize

DEMO = LoadProfile(
    deployment=DeploymentSection(name="demo", dcs=("dc1", "dc2"), entries=4, workers=8),
    arrivals=ArrivalsSection(
        shape="burst",
        load=0.4,
        peak_from_s=4,
        peak_for_s=2,
        burst_jobs=40,
        duration_s=10,
    ),
    mix=MixSection(
        short_max_ms=400,
        long_share=0.05,
        long_min_ms=1500,
        long_max_ms=3000,
        wrong_share=0.3,
        unrepeatable_share=0.3,
    ),
    calls=CallsSection(deadline_ms=20_000, own_key_share=0.3, resubmit_share=0.1),
    log=LogSection(level="error"),
)


def _print_table(console: Console, summary: Summary) -> None:
    figures = summary.classes
    table = Table("figure", "value", title="monsoongap demo")
    table.add_row("jobs answered", f"{summary.outcomes.get('answered', 0)}")
    table.add_row("jobs offered", f"{summary.jobs}")
    for kind in (JobClass.SHORT, JobClass.LONG):
        p50, p99 = figures[kind].ratio_p50, figures[kind].ratio_p99
        if p50 is not None and p99 is not None:
            table.add_row(f"response/ideal p50, {kind} jobs", f"{p50:.2f}")
            table.add_row(f"response/ideal p99, {kind} jobs", f"{p99:.2f}")
    table.add_row("starts", f"{summary.starts}")
    table.add_row("duplicates", f"{summary.duplicates}")
    table.add_row("not-run", f"{summary.outcomes.get('not_run', 0)}")
    table.add_row("promises broken", f"{len(summary.violations or ())}")
    console.print(table)
    for outcome in sorted(set(summary.outcomes) - {"answered", "not_run"}):
        console.print(f"jobs with outcome {outcome}: {summary.outcomes[outcome]}")
    for error, count in summary.errors.items():
        console.print(f"calls with error {error}: {count}")


def demo(
    profile: Annotated[
        Path | None, typer.Option(help="Start and load this profile instead.")
    ] = None,
    faults: Annotated[
        Path | None, typer.Option(help="JSON file with faults to show meanwhile.")
    ] = None,
    report: Annotated[
        Path | None, typer.Option(help="Write an HTML page with plots.")
    ] = None,
    keep: Annotated[
        Path | None, typer.Option(help="Keep settings and logs in this folder.")
    ] = None,
) -> None:
    """Run a deployment on loopback under load and check every promise."""
    console = Console()
    cfg = load_profile(profile) if profile else DEMO
    schedule = read_schedule(faults)
    with tempfile.TemporaryDirectory(prefix="monsoongap-demo-") as name:
        folder = keep or Path(name)
        folder.mkdir(parents=True, exist_ok=True)
        deployment = write_deployment(folder, cfg.deployment)
        cfg = aim_at(cfg, deployment)
        try:
            with running(deployment, folder) as programs:
                result = asyncio.run(run_load(cfg, schedule))
        except NotReady as exc:
            console.print(str(exc), style="red", markup=False)
            raise typer.Exit(1) from exc
    summary = summarize(cfg, result)
    _print_table(console, summary)
    if report is not None:
        write_report(report, cfg, samples_of(cfg, result), summary)
    for violation in summary.violations or ():
        console.print(str(violation), style="red", markup=False)
    for fault in programs.faults:
        console.print(fault, style="red", markup=False)
    answered = summary.outcomes.get("answered", 0)
    raise typer.Exit(bool(summary.violations or programs.faults or not answered))


if __name__ == "__main__":
    typer.run(demo)
