"""Open-loop load against a running deployment, with a check of every promise."""

import asyncio
import logging
import sys
from pathlib import Path
from typing import Annotated

import msgspec
import typer
from rich.console import Console
from rich.table import Table

from monsoongap import __version__
from monsoongap.load.fault_schedule import ScheduleStep, load_schedule
from monsoongap.load.report import summary_rows, write_report
from monsoongap.load.runner import run_load
from monsoongap.load.settings import LoadProfile, load_profile
from monsoongap.load.summary import Summary, samples_of, summarize
from monsoongap.logs import configure_logging
from monsoongap.util.ini import SettingsErrors

log = logging.getLogger(__name__)

EXIT_VIOLATIONS = 1
EXIT_BAD_SETTINGS = 2

app = typer.Typer(add_completion=False)


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


def _read_profile(path: Path, overrides: list[str]) -> LoadProfile:
    """Read the profile, or print its faults and exit."""
    pairs = (item.partition("=") for item in overrides)
    try:
        return load_profile(path, {dotted: value for dotted, _, value in pairs})
    except SettingsErrors as exc:
        for fault in exc.exceptions:
            typer.echo(str(fault), err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS) from exc


def read_schedule(path: Path | None) -> tuple[ScheduleStep, ...]:
    """Read the schedule of faults, or print its fault and exit."""
    if path is None:
        return ()
    try:
        return load_schedule(path)
    except (msgspec.MsgspecError, OSError) as exc:
        typer.echo(f"{path}: {exc}", err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS) from exc


def _print_version(wanted: bool) -> None:
    if wanted:
        typer.echo(f"monsoongap-load {__version__}")
        raise typer.Exit


@app.command()
def run(
    profile: Annotated[Path, typer.Option(help="INI file with the profile.")],
    faults: Annotated[
        Path | None, typer.Option(help="JSON file with faults to show meanwhile.")
    ] = None,
    set_: Annotated[
        list[str] | None,
        typer.Option("--set", help="Override a setting: section.key=value."),
    ] = None,
    json_: Annotated[
        bool, typer.Option("--json", help="Print the figures as JSON.")
    ] = False,
    report: Annotated[
        Path | None, typer.Option(help="Write an HTML page with plots.")
    ] = None,
    check_config: Annotated[
        bool, typer.Option("--check-config", help="Check the profile and exit.")
    ] = False,
    version: Annotated[
        bool,
        typer.Option("--version", callback=_print_version, is_eager=True),
    ] = False,
) -> None:
    """Offer load to a deployment and report how it was served.

    Exits 1 when a promise was broken and 2 when the profile is faulty.
    """
    cfg = _read_profile(profile, set_ or [])
    schedule = read_schedule(faults)
    if check_config:
        typer.echo(f"{profile}: valid")
        return
    if not cfg.target.entries:
        typer.echo(f"{profile}: [target] entries: needs at least one", err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS)
    if schedule and not cfg.target.ledgers:
        typer.echo(f"{profile}: [target] ledgers: --faults needs one", err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS)
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
    sys.exit(app())


if __name__ == "__main__":
    main()
