"""`monsoongap jobs show`, `jobs list` and `jobs cancel`."""

from typing import Annotated
from urllib.parse import quote

import typer

from monsoongap.cli.client import call
from monsoongap.cli.options import (
    DEFAULT_ENTRY,
    CaOption,
    EntryOption,
    JsonOption,
    TokenOption,
    endpoint,
)
from monsoongap.cli.output import print_json, print_reply
from monsoongap.protocol.messages import JobView
from monsoongap.transport.callers import Cancelled

app = typer.Typer(help="Look at jobs and cancel them.", no_args_is_help=True)

SubmissionArgument = Annotated[str, typer.Argument(help="Submission id or own key.")]


def job_path(submission: str) -> str:
    """Return the path of a job on an entry host."""
    return f"/v1/jobs/{quote(submission, safe='')}"


@app.command()
def show(
    submission: SubmissionArgument,
    entry: EntryOption = DEFAULT_ENTRY,
    token_file: TokenOption = None,
    ca: CaOption = None,
    as_json: JsonOption = False,
) -> None:
    """Show where a job stands."""
    where = endpoint(entry, token_file, ca)
    view = call(where, "GET", job_path(submission), JobView)
    print_reply(as_json, view, "job", JobView, [view])


@app.command("list")
def list_jobs(
    entry: EntryOption = DEFAULT_ENTRY,
    token_file: TokenOption = None,
    ca: CaOption = None,
    as_json: JsonOption = False,
) -> None:
    """List the jobs in flight at one entry host."""
    where = endpoint(entry, token_file, ca)
    views = call(where, "GET", "/v1/operator/jobs", tuple[JobView, ...])
    print_reply(as_json, views, "jobs in flight", JobView, views)


@app.command()
def cancel(
    submission: SubmissionArgument,
    entry: EntryOption = DEFAULT_ENTRY,
    token_file: TokenOption = None,
    ca: CaOption = None,
    as_json: JsonOption = False,
) -> None:
    """Cancel a job; its caller is told what had started."""
    where = endpoint(entry, token_file, ca)
    told = call(where, "DELETE", job_path(submission), Cancelled)
    if as_json:
        print_json(told)
    else:
        verb = "cancelled" if told.cancelled else "had ended already"
        print(f"{told.submission} {verb}")
