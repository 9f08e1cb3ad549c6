"""Tests of the command line of `monsoongap-entry`."""

from pathlib import Path

from typer.testing import CliRunner

from monsoongap import __version__
from monsoongap.entry import app
from monsoongap.util.ini import SettingsErrorGroup
from tests.test_settings import INVALID_SETTINGS, VALID_SETTINGS


def test_check_config_accepts_valid_settings(tmp_path: Path) -> None:
    path = tmp_path / "entry.ini"
    path.write_text(VALID_SETTINGS)
    result = CliRunner().invoke(app, ["--config", str(path), "--check-config"])
    assert result.exit_code == 0
    assert "valid" in result.output


def test_check_config_reports_every_error(tmp_path: Path) -> None:
    path = tmp_path / "entry.ini"
    path.write_text(INVALID_SETTINGS)
    result = CliRunner().invoke(app, ["--config", str(path), "--check-config"])
    assert isinstance(result.exception, SettingsErrorGroup)
    assert len(result.exception.exceptions) == 7


def test_version_option_prints_the_version() -> None:
    result = CliRunner().invoke(app, ["--version"])
    assert result.output.strip().endswith(__version__)
