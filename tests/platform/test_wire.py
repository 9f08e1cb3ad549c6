"""Tests of decoding what the platform, its runners and its callers write."""

import ast
import re
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

import monsoongap
from monsoongap.errors import UserError
from monsoongap.platform import node_file, wire
from monsoongap.protocol.fleet import EndKind, Room, TaskId

NODE_FILE = """
node = "front-a-1"
ip = "10.1.0.13"
zone = "a"
region = "t"
portRange = [7720, 7735]
seeds = ["10.1.0.13:8166", "10.2.0.30:8166"]
newField = 3
[bindAddrs]
front = "10.1.0.13:8161"
ready = "10.1.0.13:8167"
[platform]
address = "10.200.1.7:8169"
[bounds]
holdMaxMs = 1000
graceS = 6
"""
# Names that only the platform uses; product code has its own words for them.
WIRE_NAMES = re.compile(
    r"fencingToken|lastSeen|waitMs|deadlineMs|clockMs|runId|pathPrefix|maxAttempts"
    r"|admissionCheck|bestEffort|dependsOn|estRuntimeMs|run-start|run-stop|log-read"
    r"|log-append|log-newest|keyed\.|X-Monsoongap|/monsoongap/|holdMaxMs|bindAddrs"
)
# The adapter, and the stand-in that speaks with it.
MAY_NAME = ("platform", "standin")


def test_the_settings_file_is_read_and_new_fields_ignored() -> None:
    cfg = node_file.parse(NODE_FILE)
    assert (cfg.host, cfg.dc, cfg.peer_port) == ("front-a-1", "a", 7720)
    assert cfg.seed_ips == ("10.1.0.13", "10.2.0.30")
    assert (cfg.lease_s, cfg.grace_s) == (1.0, 6.0)


@pytest.mark.parametrize("spoilt", ["zone", "portRange", "front", "address"])
def test_a_missing_field_is_named(spoilt: str) -> None:
    lines = [x for x in NODE_FILE.splitlines() if not x.startswith(f"{spoilt} =")]
    with pytest.raises(UserError, match=spoilt):
        node_file.parse("\n".join(lines))


def test_a_look_is_decoded_with_its_runs_and_ends() -> None:
    view = wire.decode_look(
        b'{"clockMs":5,"born":9,"running":[["ab.0.1.17",2,"c",41,500]],'
        b'"finished":[[58,"ab.0.1.9",1,"done",""],[59,"ab.0.1.8",1,"alone",""]]}'
    )
    assert (view.clock_ms, view.born_ms) == (5, 9)
    assert view.running[0].task == TaskId("ab", 1, 17)
    assert view.running[0].progress == 41
    assert [end.kind for end in view.ends] == [EndKind.DONE, EndKind.LAPSED]


def test_a_job_is_decoded_with_its_steps() -> None:
    body = (
        b'{"spec":"s","bestEffort":true,"steps":[{"count":4,"cpu":500,"memMb":256,'
        b'"affinity":"r1"},{"count":2,"cpu":9,"dependsOn":[0],"antiAffinity":1}]}'
    )
    job = wire.decode_job(body, "5c0e7a21d94b36f8", "q")
    assert job.steps[0].size == Room(500, 256)
    assert job.steps[0].near_rack == "r1"
    assert job.steps[1].after == (0,)
    assert job.steps[1].most_per_runner == 1


@given(st.binary(max_size=200))
def test_any_bytes_are_decoded_or_called_malformed(data: bytes) -> None:
    for decode in (
        wire.decode_look,
        wire.decode_reply,
        wire.decode_config,
        wire.decode_newest,
        wire.decode_records,
        wire.split_key,
        lambda b: wire.decode_runner("i", b),
        lambda b: wire.decode_job(b, "5c0e7a21d94b36f8", "q"),
    ):
        try:
            decode(data)  # type: ignore[operator]
        except (wire.Malformed, wire.Unsupported):
            continue


def test_wire_names_stay_in_the_adapter_and_the_stand_in() -> None:
    root = Path(monsoongap.__file__).parent
    found = [
        f"{path.relative_to(root)}: {node.value!r}"
        for path in sorted(root.rglob("*.py"))
        if path.relative_to(root).parts[0] not in MAY_NAME
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Constant)
        and isinstance(node.value, str)
        and WIRE_NAMES.search(node.value)
    ]
    assert found == []
