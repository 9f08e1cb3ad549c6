"""`monsoongap submit` and `cancel`: jobs in the product's own form."""

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
# Longer than any job of sub-second tasks; a lost answer can be asked for again.
SUBMIT_TIMEOUT_S = 60.0


def submit(
    job: Annotated[Path, typer.Argument(help="JSON file with the job.")],
    id_: Annotated[
        str | None, typer.Option("--id", help="16 hexadecimal digits; else drawn.")
    ] = None,
    entry: EntryOption = DEFAULT_ENTRY,
) -> None:
    """Submit a job, wait for its answer and print it.

    After a lost answer, the same command with the printed id joins the job. Exits 1
    when the job is not completed.
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
    """Stop what runs of a job; its caller is told that it broke off."""
    print_json(call(entry, "DELETE", JOBS_PATH + check_id(id_), CancelAnswer))


def check_id(text: str) -> str:
    """Return a job's id; raises `UserError` if it is none."""
    if not is_job_id(text):
        raise UserError(f"{text!r} is no job's id: {JOB_ID_DIGITS} hexadecimal digits")
    return text


def read_job(path: Path) -> JobBody:
    """Read and check a job file; raises `UserError`."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=JobBody)
    except OSError as exc:
        raise UserError(f"cannot read the job: {exc}") from exc
    except msgspec.MsgspecError as exc:
        raise UserError(f"{path} is not a job: {exc}") from exc
