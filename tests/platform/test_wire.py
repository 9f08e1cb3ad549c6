"""Tests of decoding the messages of the platform, its runners and its callers."""

import ast
import re
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

import monsoongap
from monsoongap.platform import wire
from monsoongap.platform.caller_limits import limits_of
from monsoongap.protocol.messages import EndKind, Resources, TaskId
from monsoongap.settings import LimitsSection
from monsoongap.transport.receive_guard import ReceiveGuard
from monsoongap.transport.request_receiver import RequestLimits

# Names of the wire format, for which the rest of the code has its own terms.
WIRE_NAMES = re.compile(
    r"fencingToken|lastSeen|waitMs|deadlineMs|clockMs|runId|pathPrefix|maxAttempts"
    r"|admissionCheck|bestEffort|dependsOn|estRuntimeMs|run-start|run-stop|log-read"
    r"|log-append|log-newest|keyed\.|X-Monsoongap|/monsoongap/|holdMaxMs|bindAddrs"
)
# The adapter, and the stand-in that implements the other side of the protocol.
ALLOWED_PACKAGES = ("platform", "standin")


def test_poll_reply_is_decoded_with_its_runs_and_ends() -> None:
    view = wire.decode_poll_reply(
        b'{"clockMs":5,"born":9,"running":[["ab.0.1.17",2,"c",41,500]],'
        b'"finished":[[58,"ab.0.1.9",1,"done",""],[59,"ab.0.1.8",1,"alone",""]]}'
    )
    assert (view.clock_ms, view.born_ms) == (5, 9)
    assert view.running[0].task == TaskId("ab", 1, 17)
    assert view.running[0].progress == 41
    assert [end.kind for end in view.ends] == [EndKind.DONE, EndKind.LAPSED]


def test_job_is_decoded_with_its_steps() -> None:
    body = (
        b'{"spec":"s","bestEffort":true,"steps":[{"count":4,"cpu":500,"memMb":256,'
        b'"affinity":"r1"},{"count":2,"cpu":9,"dependsOn":[0],"antiAffinity":1}]}'
    )
    job = wire.decode_job(body, "5c0e7a21d94b36f8", "q")
    assert job.steps[0].size == Resources(500, 256)
    assert job.steps[0].near_rack == "r1"
    assert job.steps[1].after == (0,)
    assert job.steps[1].most_per_runner == 1


@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_only_malformed_or_unsupported(data: bytes) -> None:
    for decode in (
        wire.decode_poll_reply,
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


def test_wire_names_occur_only_in_the_adapter_and_the_stand_in() -> None:
    root = Path(monsoongap.__file__).parent
    found = [
        f"{path.relative_to(root)}: {node.value!r}"
        for path in sorted(root.rglob("*.py"))
        if path.relative_to(root).parts[0] not in ALLOWED_PACKAGES
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Constant)
        and isinstance(node.value, str)
        and WIRE_NAMES.search(node.value)
    ]
    assert found == []


# The limits of the configuration were read and not applied.
def test_limits_of_the_configuration_apply_to_callers() -> None:
    guard = ReceiveGuard(LimitsSection(memory_mb=160))

    def limits(text: bytes) -> RequestLimits:
        config = wire.decode_config(b'{"version":1,"limits":' + text + b"}")
        return limits_of(config, guard)

    assert limits(b"{}") == RequestLimits(16_384, 262_144, 3.0, 15.0)
    assert limits(
        b'{"maxHeaderBytes":4096,"maxBodyBytes":65536,'
        b'"headerTimeoutMs":500,"idleTimeoutMs":2000}'
    ) == RequestLimits(4096, 65_536, 0.5, 2.0)
    # What is 0 counts as left out, and no body may take all of the memory.
    assert limits(b'{"maxHeaderBytes":0,"headerTimeoutMs":0}') == limits(b"{}")
    assert limits(b'{"maxBodyBytes":999999999}').body_bytes == 20_000_000
