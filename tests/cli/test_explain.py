"""Tests of telling one job's story from the logs of several hosts."""

from pathlib import Path

import msgspec
from typer.testing import CliRunner

from monsoongap.cli.main import app

JOB = "5c0e7a21d94b36f8"


def line(at: float, host: str, event: str, **inputs: str) -> str:
    head = {"time": at, "host": host, "event": event}
    return msgspec.json.encode({**head, **inputs}).decode()


A = [
    "not a line of ours",
    "12.5 front-1 " + line(10.0, "a1", "job forwarded", job=JOB, owner="a2"),
    line(11.0, "a1", "job forwarded", job="00000000000000aa", owner="a2"),
    line(10.9, "a1", "owner silent", owner="a2"),
    line(10.1, "a1", "cut short", job=JOB)[:40],
]
B = [
    line(10.41, "a2", "job answered", job=JOB, outcome="completed"),
    line(10.002, "a2", "task placed", job=JOB, runner="r7"),
    line(10.2, "a2", "runner silent", runner="r7", reason="look failed"),
    line(10.3, "a2", "runner silent", runner="r8"),
]


def run(tmp_path: Path, *args: str) -> tuple[int, str]:
    (tmp_path / "a.log").write_text("\n".join(A))
    (tmp_path / "b.log").write_text("\n".join(B))
    files = [str(tmp_path / name) for name in ("a.log", "b.log")]
    result = CliRunner().invoke(app, ["explain", *args, *files])
    return result.exit_code, result.output


def test_a_job_s_story_is_told_in_order_across_hosts(tmp_path: Path) -> None:
    code, output = run(tmp_path, JOB)
    assert code == 0
    told = [text.split("  ")[-3:-1] for text in output.strip().splitlines()]
    assert told == [
        ["a1", "job forwarded"],
        ["a2", "task placed"],
        ["a2", "runner silent"],
        ["a2", "job answered"],
    ]
    assert "410 ms" in output and "runner=r7" in output and "r8" not in output


def test_an_unknown_job_and_a_bad_id_are_said_so(tmp_path: Path) -> None:
    assert run(tmp_path, "0" * 16)[0] == 1
    (tmp_path / "x").write_text("")
    result = CliRunner().invoke(app, ["explain", "zz", str(tmp_path / "x")])
    assert "no job's id" in str(result.exception)


def test_json_holds_the_inputs_of_each_decision(tmp_path: Path) -> None:
    code, output = run(tmp_path, "--json", JOB)
    assert code == 0
    assert '"reason": "look failed"' in output
