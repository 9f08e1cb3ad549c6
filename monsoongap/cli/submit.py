"""`monsoongap submit`: send a job from a file and wait for its answer."""

import asyncio
from pathlib import Path
from typing import Annotated

import msgspec
import typer
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from monsoongap.cli.client import Endpoint, Rejected, Unreachable
from monsoongap.cli.jobs import job_path
from monsoongap.cli.options import (
    DEFAULT_ENTRY,
    CaOption,
    EntryOption,
    JsonOption,
    TokenOption,
    endpoint,
)
from monsoongap.cli.output import print_json
from monsoongap.errors import UserError
from monsoongap.protocol.messages import JobAnswer, JobRequest, JobView
from monsoongap.transport.callers import IssuedIds

POLL_S = 0.2
MS_PER_S = 1000
REPLY_MARGIN_S = 10.0


def submit(
    job: Annotated[Path, typer.Argument(help="JSON file with the job.")],
    key: Annotated[
        str | None, typer.Option("--key", help="Own key; else an issued id.")
    ] = None,
    entry: EntryOption = DEFAULT_ENTRY,
    token_file: TokenOption = None,
    ca: CaOption = None,
    as_json: JsonOption = False,
) -> None:
    """Submit a job and print its answers in order.

    After an interruption or an unreachable host, the same command with `--key`
    and the printed key joins the job or replays its answer.
    """
    req = read_job(job)
    answer = asyncio.run(_submit(endpoint(entry, token_file, ca), req, key, as_json))
    print_json(answer)


def read_job(path: Path) -> JobRequest:
    """Read and check a job file; raises `UserError`."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=JobRequest)
    except OSError as exc:
        raise UserError(f"cannot read the job: {exc}") from exc
    except msgspec.MsgspecError as exc:
        raise UserError(f"{path} is not a job: {exc}") from exc


async def _submit(
    where: Endpoint, req: JobRequest, key: str | None, quiet: bool
) -> JobAnswer:
    if key is None:
        path = "/v1/submissions?count=1"
        key = (await where.call("POST", path, IssuedIds)).submissions[0]
    console = Console(stderr=True, quiet=quiet)
    console.print(f"submission {key}")
    timeout_s = req.deadline_ms / MS_PER_S + REPLY_MARGIN_S
    answer = asyncio.ensure_future(
        where.call("PUT", job_path(key), JobAnswer, req, timeout_s)
    )
    await _show_progress(where, key, req, answer, console)
    try:
        return await answer
    except Unreachable as exc:
        raise UserError(f"{exc}; join the job again with --key {key}") from exc


async def _show_progress(
    where: Endpoint,
    key: str,
    req: JobRequest,
    answer: "asyncio.Future[JobAnswer]",
    console: Console,
) -> None:
    """Poll the job's state until its answer is there."""
    columns = (TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn())
    with Progress(*columns, console=console, transient=True) as progress:
        bar = progress.add_task("sent", total=len(req.tasks))
        while not answer.done():
            await asyncio.wait({answer}, timeout=POLL_S)
            if answer.done():
                return
            try:
                view = await where.call("GET", job_path(key), JobView)
            except (Unreachable, Rejected):
                continue
            progress.update(bar, description=view.phase, completed=view.done)
