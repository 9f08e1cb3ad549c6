"""Command-line options and error handling that all programs share."""

import sys
from typing import Annotated

import typer

import monsoongap
from monsoongap.errors import UserError
from monsoongap.util.ini import SettingsErrorGroup


def _print_version(requested: bool) -> None:
    if requested:
        typer.echo(f"monsoongap {monsoongap.__version__}")
        raise typer.Exit


VersionOption = Annotated[
    bool,
    typer.Option(
        "--version",
        callback=_print_version,
        is_eager=True,
        help="Print the version and exit.",
    ),
]
SetOption = Annotated[
    list[str] | None,
    typer.Option("--set", help="Override a setting: section.key=value."),
]
CheckOption = Annotated[
    bool, typer.Option("--check-config", help="Check the settings and exit.")
]


def run_program(app: typer.Typer, name: str) -> None:
    """Run a program; print each settings error or usage error as one line.

    End the process with the exit status of the program, or that of the error.
    """
    try:
        app()
    except SettingsErrorGroup as exc:
        for error in exc.exceptions:
            print(f"{name}: {error}", file=sys.stderr)
        sys.exit(UserError.exit_code)
    except UserError as exc:
        print(f"{name}: {exc}", file=sys.stderr)
        sys.exit(exc.exit_code)
