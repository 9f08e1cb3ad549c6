"""Operators' command-line program `monsoongap`.

Exit codes: 0 success, 1 job not completed or not known, or findings of `check`, 2 usage
error, 3 no reply from the entry host.
"""

import typer

from monsoongap.cli import check, explain, jobs, status
from monsoongap.util.command import VersionOption, run_program

app = typer.Typer(
    help="Operate a monsoongap deployment.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    add_completion=False,
)
app.command()(status.status)
app.command()(jobs.submit)
app.command()(jobs.cancel)
app.command()(explain.explain)
app.command()(check.check)


@app.callback()
def common(version: VersionOption = False) -> None:
    """Operate a monsoongap deployment."""


def main() -> None:
    """Run the program."""
    run_program(app, "monsoongap")


if __name__ == "__main__":
    main()
