"""The operators' program `monsoongap`.

Exit codes: 0 done, 1 refused by the system, 2 wrong use, 3 no answer from the
entry host.
"""

import typer

from monsoongap.cli import config, hosts, jobs, submit
from monsoongap.util.command import VersionOption, run_program

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


@app.callback()
def common(
    version: VersionOption = False,
) -> None:
    """Operate a monsoongap deployment."""


def main() -> None:
    """Run the program."""
    run_program(app, "monsoongap")
