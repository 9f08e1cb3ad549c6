"""Reads INI files into frozen data classes and reports all errors at once.

A settings class is a frozen data class. Each field is a section, which is itself a
frozen data class with `msgspec.Meta` constraints. msgspec validates the values; this
module goes through the sections and collects the errors.
"""

import configparser
import dataclasses
from pathlib import Path
from typing import Any, TypeVar, get_type_hints

import msgspec

from monsoongap.errors import UserError

SettingsT = TypeVar("SettingsT")


class SettingsError(Exception):
    """One error in a settings file: its place, and the reason."""

    def __init__(self, source: str, section: str, key: str, reason: str) -> None:
        location = (f"[{section}]" if section else "") + (f" {key}" if key else "")
        place = f"{source}: {location}" if location else source
        super().__init__(f"{place}: {reason}")
        self.source = source
        self.section = section
        self.key = key
        self.reason = reason


class SettingsErrorGroup(ExceptionGroup[SettingsError]):
    """All errors in one settings file."""


def load_ini(
    path: Path,
    settings_class: type[SettingsT],
    overrides: dict[str, str] | None = None,
) -> SettingsT:
    """Read the file at `path` into an instance of `settings_class`.

    `overrides` maps `section.key` to a text that replaces the value in the file.
    Raise `SettingsErrorGroup` with every error.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        error = SettingsError(str(path), "", "", f"cannot be read: {exc}")
        raise SettingsErrorGroup("settings", [error]) from exc
    return parse_ini(text, str(path), settings_class, overrides)


def parse_overrides(assignments: list[str]) -> dict[str, str]:
    """Parse `section.key=value` texts into overrides; raise `UserError` on others."""
    overrides = {}
    for assignment in assignments:
        setting, equals, value = assignment.partition("=")
        if not equals or "." not in setting:
            raise UserError(f"--set requires section.key=value, not {assignment!r}")
        overrides[setting] = value
    return overrides


def parse_ini(
    text: str,
    source: str,
    settings_class: type[SettingsT],
    overrides: dict[str, str] | None = None,
) -> SettingsT:
    """Parse INI text into an instance of `settings_class`.

    `source` names the file in errors; `overrides` is as for `load_ini`.
    Raise `SettingsErrorGroup` with every error.
    """
    parser = configparser.ConfigParser(interpolation=None)
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        parser.read_string(text, source)
    except configparser.Error as exc:
        error = SettingsError(source, "", "", exc.message)
        raise SettingsErrorGroup("settings", [error]) from exc
    values = {
        name: {k: v for k, v in parser[name].items() if not _is_left_out(v)}
        for name in parser.sections()
    }
    for setting, value in (overrides or {}).items():
        section, _, key = setting.partition(".")
        values.setdefault(section, {})[key] = value
    return _build(values, source, settings_class)


def _is_left_out(text: str) -> bool:
    """Return whether a template had no value for a key.

    Where a platform lacks the field, renderers leave nothing, null or the placeholder.
    """
    is_placeholder = text.startswith("{{") and text.endswith("}}")
    return text in ("", "null") or is_placeholder


def _build(
    values: dict[str, dict[str, str]], source: str, settings_class: type[SettingsT]
) -> SettingsT:
    section_classes = get_type_hints(settings_class, include_extras=True)
    errors = [
        SettingsError(
            source, name, "", f"unknown section, allowed: {_join(section_classes)}"
        )
        for name in values
        if name not in section_classes
    ]
    sections: dict[str, Any] = {}
    for name, section_class in section_classes.items():
        section, section_errors = _build_section(
            values.get(name, {}), source, name, section_class
        )
        sections[name] = section
        errors.extend(section_errors)
    if errors:
        raise SettingsErrorGroup(f"{len(errors)} error(s) in {source}", errors)
    return settings_class(**sections)


def _build_section(
    values: dict[str, str], source: str, section: str, section_class: type[Any]
) -> tuple[Any, list[SettingsError]]:
    """Return the section, or None if there are errors, and the errors."""
    hints = get_type_hints(section_class, include_extras=True)
    errors = [
        SettingsError(source, section, key, f"unknown key, allowed: {_join(hints)}")
        for key in values
        if key not in hints
    ]
    converted: dict[str, Any] = {}
    for field in dataclasses.fields(section_class):
        if field.name not in values:
            if _is_required(field):
                error = SettingsError(source, section, field.name, "is required")
                errors.append(error)
            continue
        try:
            converted[field.name] = _convert(values[field.name], hints[field.name])
        except msgspec.ValidationError as exc:
            reason = f"{values[field.name]!r} is invalid: {exc}"
            errors.append(SettingsError(source, section, field.name, reason))
    return (None if errors else section_class(**converted)), errors


def _convert(text: str, hint: Any) -> Any:
    """Convert a text to the annotated type; raise `msgspec.ValidationError`."""
    origin = getattr(hint, "__origin__", None)
    if origin is tuple:
        items = [item.strip() for item in text.split(",") if item.strip()]
        return msgspec.convert(items, hint, strict=False)
    return msgspec.convert(text, hint, strict=False)


def _is_required(field: "dataclasses.Field[Any]") -> bool:
    missing = dataclasses.MISSING
    return field.default is missing and field.default_factory is missing


def _join(names: Any) -> str:
    return ", ".join(sorted(names))
