"""The program `monsoongap-entry`: the daemon of an entry host, with options."""

from pathlib import Path
from typing import Annotated

import typer

from monsoongap.daemon import SettingsSource, serve
from monsoongap.util.command import (
    CheckOption,
    SetOption,
    VersionOption,
    run_program,
)
from monsoongap.util.ini import parse_overrides

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def run(
    config: Annotated[Path, typer.Option(help="Path of the INI settings file.")],
    set_: SetOption = None,
    check_config: CheckOption = False,
    version: VersionOption = False,
) -> None:
    """Run the daemon of an entry host until SIGTERM."""
    source = SettingsSource(config, parse_overrides(set_ or []))
    if check_config:
        source.load()
        typer.echo(f"{config}: valid")
        return
    serve(source)


def main() -> None:
    """Run the program."""
    run_program(app, "monsoongap-entry")


if __name__ == "__main__":
    main()
