"""`monsoongap explain`: the events of one job, from the log lines of all hosts.

Log lines may come from many files, in any order, with any prefix that a log shipper
adds before the JSON. Lines without a job are included if they fall into the job's time
and name one of its runners or owners: an unresponsive runner, a lost or gained share.
"""

import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer

from monsoongap.cli.client import JsonOption
from monsoongap.cli.jobs import check_id
from monsoongap.cli.output import print_json
from monsoongap.errors import UserError

EXIT_UNKNOWN = 1
_HEAD = ("time", "host", "level", "logger", "event")
# Keys that link a line without a job to the runners and owners of a job.
_RELATED_KEYS = ("runner", "lender", "owner")


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a host's log; `time` is in seconds, `fields` holds all other keys."""

    time: float
    host: str
    event: str
    fields: dict[str, Any] = field(default_factory=dict)


def explain(
    id_: Annotated[str, typer.Argument(metavar="ID", help="The job's id.")],
    files: Annotated[
        list[Path] | None, typer.Argument(help="Log files; default: standard input.")
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Print the events of a job in order of time, from the logs of any hosts."""
    events = list(job_events(check_id(id_), list(read_lines(files or []))))
    if not events:
        print(f"no log line of job {id_}", file=sys.stderr)
        raise typer.Exit(EXIT_UNKNOWN)
    if as_json:
        print_json(events)
        return
    for line in format_events(events):
        print(line)


def read_lines(files: Iterable[Path]) -> Iterator[LogLine]:
    """Yield the log lines of files, or of standard input if there are none.

    Raises `UserError` if a file cannot be read.
    """
    paths = list(files)
    if not paths:
        yield from parse_lines(sys.stdin)
    for path in paths:
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                yield from parse_lines(file)
        except OSError as exc:
            raise UserError(f"cannot read {path}: {exc}") from exc


def parse_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines among lines of text; skip all others."""
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            raw = msgspec.json.decode(text[start:].strip(), type=dict[str, Any])
            head = {name: raw.pop(name, None) for name in _HEAD}
            yield LogLine(
                float(head["time"]), str(head["host"]), str(head["event"]), raw
            )
        except (msgspec.MsgspecError, TypeError, ValueError):
            # A line of another program, or a truncated one.
            continue


def job_events(job: str, lines: list[LogLine]) -> Iterator[LogLine]:
    """Yield the lines of a job and the lines related to it, in order of time."""
    own = sorted((line for line in lines if line.fields.get("job") == job), key=_time)
    if not own:
        return
    start, end = own[0].time, own[-1].time
    names = {
        str(line.fields[key])
        for line in own
        for key in _RELATED_KEYS
        if key in line.fields
    }
    related = (
        line
        for line in lines
        if "job" not in line.fields
        and start <= line.time <= end
        and any(str(line.fields.get(key)) in names for key in (*_RELATED_KEYS, "peer"))
    )
    yield from sorted([*own, *related], key=_time)


def format_events(events: list[LogLine]) -> Iterator[str]:
    """Yield a text for each line: ms since the first one, host, event, fields."""
    start = events[0].time
    for line in events:
        inputs = " ".join(f"{key}={value}" for key, value in line.fields.items())
        at_ms = round((line.time - start) * 1000)
        yield f"{at_ms:6d} ms  {line.host}  {line.event}  {inputs}".rstrip()


def _time(line: LogLine) -> float:
    return line.time
