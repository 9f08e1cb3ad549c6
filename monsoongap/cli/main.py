"""The operators' program `monsoongap`.

Exit codes: 0 done, 1 refused by the system, 2 wrong use, 3 no answer from the
entry host.
"""

import sys
from typing import Annotated

import typer

import monsoongap
from monsoongap.cli import config, hosts, jobs, submit
from monsoongap.cli.client import (
    EXIT_REJECTED,
    EXIT_UNREACHABLE,
    EXIT_USAGE,
    Rejected,
    Unreachable,
)
from monsoongap.errors import UserError

app = typer.Typer(
    help="Operate a monsoongap deployment.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
app.add_typer(config.app, name="config")
app.add_typer(jobs.app, name="jobs")
app.command()(submit.submit)
app.command()(hosts.hosts)
app.command()(hosts.upstreams)
app.command()(hosts.drain)


def _print_version(wanted: bool) -> None:
    if wanted:
        print(monsoongap.__version__)
        raise typer.Exit


@app.callback()
def common(
    version: Annotated[
        bool,
        typer.Option(
            "--version",
            callback=_print_version,
            is_eager=True,
            help="Print the version and exit.",
        ),
    ] = False,
) -> None:
    """Operate a monsoongap deployment."""


def main() -> None:
    """Run the program; a user's mistake becomes one sentence and an exit code."""
    try:
        app()
    except UserError as exc:
        print(f"monsoongap: {exc}", file=sys.stderr)
        match exc:
            case Unreachable():
                sys.exit(EXIT_UNREACHABLE)
            case Rejected():
                sys.exit(EXIT_REJECTED)
            case _:
                sys.exit(EXIT_USAGE)
