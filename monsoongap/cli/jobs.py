"""`monsoongap submit` and `monsoongap cancel`, for jobs in the operators' JSON form."""

import secrets
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from monsoongap.cli.client import DEFAULT_ENTRY, EntryOption, call
from monsoongap.cli.output import print_json
from monsoongap.errors import AnswerKind, UserError
from monsoongap.protocol.messages import JOB_ID_DIGITS, is_job_id
from monsoongap.transport.operators import (
    JOBS_PATH,
    CancelAnswer,
    JobAnswer,
    JobBody,
)

EXIT_NOT_COMPLETED = 1
# Longer than any job of sub-second tasks takes; after a timeout the command can be
# repeated with the same id.
SUBMIT_TIMEOUT_S = 60.0


def submit(
    job: Annotated[Path, typer.Argument(help="JSON file that holds the job.")],
    id_: Annotated[
        str | None, typer.Option("--id", help="16 hexadecimal digits; default: random.")
    ] = None,
    entry: EntryOption = DEFAULT_ENTRY,
) -> None:
    """Submit a job, wait for its result and print it.

    If the reply is lost, repeat the command with the printed id to get the result of
    the same job. The exit code is 1 if the job is not completed.
    """
    body = read_job(job)
    id_ = check_id(id_ or secrets.token_hex(JOB_ID_DIGITS // 2))
    typer.echo(f"job {id_}", err=True)
    answer = call(entry, "PUT", JOBS_PATH + id_, JobAnswer, body, SUBMIT_TIMEOUT_S)
    print_json(answer)
    if answer.outcome != AnswerKind.COMPLETED:
        raise typer.Exit(EXIT_NOT_COMPLETED)


def cancel(
    id_: Annotated[str, typer.Argument(metavar="ID", help="The job's id.")],
    entry: EntryOption = DEFAULT_ENTRY,
) -> None:
    """Cancel a job: stop its runs and report to its caller that it was broken off."""
    print_json(call(entry, "DELETE", JOBS_PATH + check_id(id_), CancelAnswer))


def check_id(text: str) -> str:
    """Return `text` if it is a job id; otherwise raise `UserError`."""
    if not is_job_id(text):
        raise UserError(f"{text!r} is not a job id: {JOB_ID_DIGITS} hexadecimal digits")
    return text


def read_job(path: Path) -> JobBody:
    """Read and decode a job file; raise `UserError` if that fails."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=JobBody)
    except OSError as exc:
        raise UserError(f"cannot read the job file: {exc}") from exc
    except msgspec.MsgspecError as exc:
        raise UserError(f"{path} is not a job: {exc}") from exc
