"""Open-loop load against a running deployment, with a check of every promise."""

import asyncio
import logging
from pathlib import Path
from typing import Annotated

import msgspec
import typer
from rich.console import Console
from rich.table import Table

from monsoongap.errors import UserError
from monsoongap.load.fault_schedule import ScheduleStep, load_schedule
from monsoongap.load.report import summary_rows, write_report
from monsoongap.load.runner import run_load
from monsoongap.load.settings import load_profile
from monsoongap.load.summary import Summary, samples_of, summarize
from monsoongap.logs import configure_logging
from monsoongap.util.command import (
    CheckOption,
    SetOption,
    VersionOption,
    run_program,
)
from monsoongap.util.ini import parse_overrides

log = logging.getLogger(__name__)

EXIT_VIOLATIONS = 1

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


def print_summary(console: Console, title: str, summary: Summary) -> None:
    """Print the figures as a table, then each violation on a line."""
    table = Table(title=title, show_header=False)
    table.add_column("figure")
    table.add_column("value", justify="right")
    for row in summary_rows(summary):
        table.add_row(row.label, row.value)
    console.print(table)
    for violation in summary.violations or ():
        console.print(str(violation), style="red", markup=False)


def read_schedule(path: Path | None) -> tuple[ScheduleStep, ...]:
    """Read the schedule of faults; raises `UserError`."""
    if path is None:
        return ()
    try:
        return load_schedule(path)
    except (msgspec.MsgspecError, OSError) as exc:
        raise UserError(f"{path}: {exc}") from exc


@app.command()
def run(
    profile: Annotated[Path, typer.Option(help="INI file with the profile.")],
    faults: Annotated[
        Path | None, typer.Option(help="JSON file with faults to show meanwhile.")
    ] = None,
    set_: SetOption = None,
    json_: Annotated[
        bool, typer.Option("--json", help="Print the figures as JSON.")
    ] = False,
    report: Annotated[
        Path | None, typer.Option(help="Write an HTML page with plots.")
    ] = None,
    check_config: CheckOption = False,
    version: VersionOption = False,
) -> None:
    """Offer load to a deployment and report how it was served.

    Exits 1 when a promise was broken and 2 when the profile is faulty.
    """
    cfg = load_profile(profile, parse_overrides(set_ or []))
    schedule = read_schedule(faults)
    if check_config:
        typer.echo(f"{profile}: valid")
        return
    if not cfg.target.entries:
        raise UserError(f"{profile}: [target] entries: needs at least one")
    if schedule and not cfg.target.ledgers:
        raise UserError(f"{profile}: [target] ledgers: --faults needs one")
    configure_logging(cfg.log)
    result = asyncio.run(run_load(cfg, schedule))
    summary = summarize(cfg, result)
    if json_:
        typer.echo(msgspec.json.encode(summary).decode())
    else:
        print_summary(Console(), cfg.deployment.name, summary)
    if report is not None:
        write_report(report, cfg, samples_of(cfg, result), summary)
        typer.echo(f"report: {report}", err=True)
    if summary.violations:
        raise typer.Exit(EXIT_VIOLATIONS)


def main() -> None:
    """Run the program."""
    run_program(app, "monsoongap-load")


if __name__ == "__main__":
    main()
