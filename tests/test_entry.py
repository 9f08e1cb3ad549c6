"""Tests of the entry program's command line."""

from pathlib import Path

from typer.testing import CliRunner

from monsoongap import __version__
from monsoongap.entry import app
from monsoongap.util.ini import SettingsErrorGroup
from tests.test_settings import BAD, GOOD


def test_good_settings_are_called_valid(tmp_path: Path) -> None:
    path = tmp_path / "entry.ini"
    path.write_text(GOOD)
    result = CliRunner().invoke(app, ["--config", str(path), "--check-config"])
    assert result.exit_code == 0
    assert "valid" in result.output


def test_faulty_settings_stop_the_start_with_every_fault(tmp_path: Path) -> None:
    path = tmp_path / "entry.ini"
    path.write_text(BAD)
    result = CliRunner().invoke(app, ["--config", str(path), "--check-config"])
    assert isinstance(result.exception, SettingsErrorGroup)
    assert len(result.exception.exceptions) == 7


def test_the_version_is_told() -> None:
    result = CliRunner().invoke(app, ["--version"])
    assert result.output.strip().endswith(__version__)
