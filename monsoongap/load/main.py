"""The `monsoongap-load` program: open-loop load with a check of every promise."""

import asyncio
import logging
from pathlib import Path
from typing import Annotated

import msgspec
import typer
from rich.console import Console
from rich.table import Table

from monsoongap.errors import UserError
from monsoongap.load.checker import broken_promises
from monsoongap.load.report import write_report
from monsoongap.load.runner import fetch_ledger, run_load
from monsoongap.load.settings import LoadProfile, load_profile
from monsoongap.load.summary import Summary, summarize
from monsoongap.transport.http_conn import NotConnected
from monsoongap.util.command import (
    CheckOption,
    SetOption,
    VersionOption,
    run_program,
)
from monsoongap.util.ini import parse_overrides

EXIT_PROMISE_BROKEN = 1
# Runs still in progress at the last answer end within this time.
LEDGER_SETTLE_S = 0.5

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


async def measure(cfg: LoadProfile) -> Summary:
    """Run a load profile and check the promises made to callers.

    Raises `UserError` if the ledger cannot be fetched.
    """
    calls = await run_load(cfg)
    if not cfg.target.ledger:
        return summarize(calls, None)
    await asyncio.sleep(LEDGER_SETTLE_S)
    try:
        ledger = await fetch_ledger(cfg.target.ledger)
    except NotConnected as exc:
        raise UserError(f"cannot fetch the ledger to check promises: {exc}") from exc
    return summarize(calls, broken_promises(calls, ledger))


def print_summary(console: Console, summary: Summary) -> None:
    """Print the statistics as a table, then one line for each broken promise."""
    table = Table(title=f"{summary.jobs} jobs", title_justify="left")
    for name in ("kind", "jobs", "completed", "response/ideal p50", "p99"):
        table.add_column(name, justify="right")
    for row in summary.kinds:
        p50, p99 = (
            f"{ratio:.2f}" if ratio else "" for ratio in (row.ratio_p50, row.ratio_p99)
        )
        table.add_row(row.kind, str(row.jobs), str(row.completed), p50, p99)
    console.print(table)
    outcomes = ", ".join(f"{n} {name}" for name, n in summary.outcomes.items())
    console.print(f"outcomes: {outcomes}", markup=False)
    if summary.broken is not None:
        console.print(f"promises broken: {len(summary.broken)}")
    for line in summary.broken or ():
        console.print(line, style="red", markup=False)


@app.command()
def run(
    profile: Annotated[Path, typer.Option(help="INI file with the load profile.")],
    set_: SetOption = None,
    json_: Annotated[
        bool, typer.Option("--json", help="Print the statistics as JSON.")
    ] = False,
    report: Annotated[
        Path | None, typer.Option(help="Write an HTML report with a plot.")
    ] = None,
    check_config: CheckOption = False,
    version: VersionOption = False,
) -> None:
    """Offer load to a deployment and report the results.

    Exits with 1 if a promise was broken and with 2 if the profile is invalid.
    """
    cfg = load_profile(profile, parse_overrides(set_ or []))
    if check_config:
        typer.echo(f"{profile}: valid")
        return
    logging.basicConfig(level=cfg.log.level.upper())
    summary = asyncio.run(measure(cfg))
    if json_:
        typer.echo(msgspec.json.encode(summary).decode())
    else:
        print_summary(Console(), summary)
    if report is not None:
        write_report(report, summary)
        typer.echo(f"report: {report}", err=True)
    if summary.broken:
        raise typer.Exit(EXIT_PROMISE_BROKEN)


def main() -> None:
    """Run the program."""
    run_program(app, "monsoongap-load")


if __name__ == "__main__":
    main()
