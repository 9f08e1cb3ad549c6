"""Tests of `monsoongap explain` on the logs of several hosts."""

from pathlib import Path

import msgspec
from typer.testing import CliRunner

from monsoongap.cli.main import app

JOB = "5c0e7a21d94b36f8"


def log_line(at: float, host: str, event: str, **inputs: str) -> str:
    head = {"time": at, "host": host, "event": event}
    return msgspec.json.encode({**head, **inputs}).decode()


LINES_OF_A1 = [
    "a line of another program",
    "12.5 front-1 " + log_line(10.0, "a1", "job forwarded", job=JOB, owner="a2"),
    log_line(11.0, "a1", "job forwarded", job="00000000000000aa", owner="a2"),
    log_line(10.9, "a1", "owner silent", owner="a2"),
    log_line(10.1, "a1", "cut short", job=JOB)[:40],
]
LINES_OF_A2 = [
    log_line(10.41, "a2", "job answered", job=JOB, outcome="completed"),
    log_line(10.002, "a2", "task placed", job=JOB, runner="r7"),
    log_line(10.2, "a2", "runner silent", runner="r7", reason="look failed"),
    log_line(10.3, "a2", "runner silent", runner="r8"),
]


def run_explain(tmp_path: Path, *args: str) -> tuple[int, str]:
    (tmp_path / "a.log").write_text("\n".join(LINES_OF_A1))
    (tmp_path / "b.log").write_text("\n".join(LINES_OF_A2))
    files = [str(tmp_path / name) for name in ("a.log", "b.log")]
    result = CliRunner().invoke(app, ["explain", *args, *files])
    return result.exit_code, result.output


def test_events_of_all_hosts_are_printed_in_order_of_time(tmp_path: Path) -> None:
    code, output = run_explain(tmp_path, JOB)
    assert code == 0
    events = [text.split("  ")[-3:-1] for text in output.strip().splitlines()]
    assert events == [
        ["a1", "job forwarded"],
        ["a2", "task placed"],
        ["a2", "runner silent"],
        ["a2", "job answered"],
    ]
    assert "410 ms" in output and "runner=r7" in output and "r8" not in output


def test_an_unknown_job_and_an_invalid_id_are_reported(tmp_path: Path) -> None:
    assert run_explain(tmp_path, "0" * 16)[0] == 1
    (tmp_path / "x").write_text("")
    result = CliRunner().invoke(app, ["explain", "zz", str(tmp_path / "x")])
    assert "not a job id" in str(result.exception)


def test_json_output_holds_the_fields_of_each_line(tmp_path: Path) -> None:
    code, output = run_explain(tmp_path, "--json", JOB)
    assert code == 0
    assert '"reason": "look failed"' in output
