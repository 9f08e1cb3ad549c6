"""`monsoongap explain`: the story of one job, from the log lines of all hosts.

Lines may come from many files in any order, with anything in front of the JSON that a
log shipper adds. Lines of hosts and runners that concern the job's time are told too:
a silent runner that held one of its tasks, a lost or gained share.
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
# Lines that name a runner, not a job, and tell why its runs went wrong.
_OF_RUNNER = ("runner", "lender", "owner")


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a host's log; `fields` are the inputs of the decision."""

    time: float
    host: str
    event: str
    fields: dict[str, Any] = field(default_factory=dict)


def explain(
    id_: Annotated[str, typer.Argument(metavar="ID", help="The job's id.")],
    files: Annotated[
        list[Path] | None, typer.Argument(help="Log files; else standard input.")
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Tell what became of a job, step by step, from the logs of any hosts."""
    story = list(job_events(check_id(id_), list(read_lines(files or []))))
    if not story:
        print(f"no line names job {id_}", file=sys.stderr)
        raise typer.Exit(EXIT_UNKNOWN)
    if as_json:
        print_json(story)
        return
    for line in format_events(story):
        print(line)


def read_lines(files: Iterable[Path]) -> Iterator[LogLine]:
    """Yield the lines of files, or of standard input; others are passed over."""
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
    """Yield the log lines among texts."""
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
            # Not one of our lines, or one cut short: the others tell enough.
            continue


def job_events(job: str, lines: list[LogLine]) -> Iterator[LogLine]:
    """Yield what concerns a job, in order of time."""
    own = sorted((x for x in lines if x.fields.get("job") == job), key=_when)
    if not own:
        return
    begin, end = own[0].time, own[-1].time
    named = {str(x.fields[key]) for x in own for key in _OF_RUNNER if key in x.fields}
    around = (
        x
        for x in lines
        if "job" not in x.fields
        and begin <= x.time <= end
        and any(str(x.fields.get(key)) in named for key in (*_OF_RUNNER, "peer"))
    )
    yield from sorted([*own, *around], key=_when)


def format_events(story: list[LogLine]) -> Iterator[str]:
    """Yield a text for each line: time from the first one, host, event, inputs."""
    begin = story[0].time
    for line in story:
        inputs = " ".join(f"{key}={value}" for key, value in line.fields.items())
        at_ms = round((line.time - begin) * 1000)
        yield f"{at_ms:6d} ms  {line.host}  {line.event}  {inputs}".rstrip()


def _when(line: LogLine) -> float:
    return line.time
