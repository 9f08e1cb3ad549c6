"""Tests of `monsoongap check`: what it finds in a configuration before it is sent."""

import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from typer.testing import CliRunner

from monsoongap.cli.config_findings import differences, findings
from monsoongap.cli.main import app
from monsoongap.platform import wire
from monsoongap.protocol.decoding import Malformed
from tests.odd_values import odd_json
from tests.platform.site import CONFIG


def config(version: int = 3, route: dict[str, Any] | None = None, **more: Any) -> str:
    routes = [{**CONFIG["routes"][0], **(route or {})}]
    return json.dumps({**CONFIG, "version": version, "routes": routes, **more})


def run(tmp_path: Path, text: str, *args: str) -> tuple[int, str]:
    path = tmp_path / "config.json"
    path.write_text(text)
    result = CliRunner().invoke(app, ["check", str(path), *args])
    code = getattr(result.exception, "exit_code", result.exit_code)
    return code, result.output + str(result.exception or "")


def test_a_sound_configuration_has_no_findings(tmp_path: Path) -> None:
    assert run(tmp_path, config()) == (0, "version 3: 1 queues, no findings\n")


@pytest.mark.parametrize(
    ("text", "finding"),
    [
        (config(route={"host": "Q.example"}), "not lower-case"),
        (config(route={"host": "q.example:80"}), "has a port"),
        (config(route={"pathPrefix": "scan/"}), "lacks the first /"),
        (config(route={"service": "none"}), "'none' is not configured"),
        (config(route={"service": "none"}), "upstream inspect: no queue"),
        (config(route={"maxAttempts": 0}), "no attempt"),
        (config(route={"stretch": 0.5}), "less than the run time"),
        (config(route={"targetLatencyMs": 2000}), "above its timeout, 1.5 s"),
        (config(limits={"headerTimeoutMs": 9, "idleTimeoutMs": 5}), "time for a head"),
        (config(routes=[*CONFIG["routes"]] * 2), "2 entries have this name"),
        (
            config(routes=[CONFIG["routes"][0], {**CONFIG["routes"][0], "name": "b"}]),
            "queue r-1 has the same host and prefix",
        ),
    ],
)
def test_what_cannot_work_is_found(tmp_path: Path, text: str, finding: str) -> None:
    code, output = run(tmp_path, text)
    assert code == 1
    assert finding in output


@pytest.mark.parametrize(
    "text", ["{", '{"version": -1}', config(route={"stretch": "x"})]
)
def test_an_error_is_told_with_its_place(tmp_path: Path, text: str) -> None:
    code, output = run(tmp_path, text)
    assert code == 2
    assert "config.json is no valid configuration" in output


def test_a_file_that_cannot_be_read_is_an_error(tmp_path: Path) -> None:
    result = CliRunner().invoke(app, ["check", str(tmp_path / "none.json")])
    assert getattr(result.exception, "exit_code", 0) == 2


def test_differences_from_another_version_are_told(tmp_path: Path) -> None:
    old = tmp_path / "old.json"
    old.write_text(config(2, {"timeoutMs": 900}))
    code, output = run(tmp_path, config(), "--against", str(old))
    assert code == 0
    assert "changes queue r-1: timeout_s 0.9 -> 1.5" in output
    code, output = run(tmp_path, config(2), "--against", str(old))
    assert code == 1
    assert "version: 2 does not replace 2" in output


# Guards against a check that raises for a configuration that hosts would accept.
@given(odd_json(CONFIG))
def test_odd_configurations_are_malformed_or_checked(body: bytes) -> None:
    try:
        odd = wire.decode_config(body)
    except Malformed:
        return
    list(findings(odd))
    list(differences(odd, wire.decode_config(config().encode())))
