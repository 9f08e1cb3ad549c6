"""Reading an INI file into frozen data classes, every fault found at once.

A settings class is a frozen data class whose fields are sections, themselves
frozen data classes with `msgspec.Meta` bounds. Validation is msgspec's; this
module only walks the sections and collects what it reports.
"""

import configparser
import dataclasses
from pathlib import Path
from typing import Any, TypeVar, get_type_hints

import msgspec

from monsoongap.errors import UserError

SettingsT = TypeVar("SettingsT")


class SettingsError(Exception):
    """One fault of a settings file: where it is and what is allowed."""

    def __init__(self, source: str, section: str, key: str, reason: str) -> None:
        where = (f"[{section}]" if section else "") + (f" {key}" if key else "")
        place = f"{source}: {where}" if where else source
        super().__init__(f"{place}: {reason}")
        self.source = source
        self.section = section
        self.key = key
        self.reason = reason


class SettingsErrorGroup(ExceptionGroup[SettingsError]):
    """All faults of one settings file."""


def load_ini(
    path: Path, kind: type[SettingsT], overrides: dict[str, str] | None = None
) -> SettingsT:
    """Read `path` into `kind`; raises `SettingsErrorGroup` with every fault.

    `overrides` maps `section.key` to text and outranks the file.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        fault = SettingsError(str(path), "", "", f"cannot be read: {exc}")
        raise SettingsErrorGroup("settings", [fault]) from exc
    return parse_ini(text, str(path), kind, overrides)


def parse_overrides(pairs: list[str]) -> dict[str, str]:
    """Turn `section.key=value` texts into overrides; raises `UserError`."""
    overrides = {}
    for pair in pairs:
        dotted, equals, value = pair.partition("=")
        if not equals or "." not in dotted:
            raise UserError(f"--set wants section.key=value, not {pair!r}")
        overrides[dotted] = value
    return overrides


def parse_ini(
    text: str,
    source: str,
    kind: type[SettingsT],
    overrides: dict[str, str] | None = None,
) -> SettingsT:
    """Parse INI `text` into `kind`; raises `SettingsErrorGroup` with every fault."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        parser.read_string(text, source)
    except configparser.Error as exc:
        fault = SettingsError(source, "", "", exc.message)
        raise SettingsErrorGroup("settings", [fault]) from exc
    # A template leaves a value empty that its source does not have.
    values = {
        name: {key: value for key, value in parser[name].items() if value}
        for name in parser.sections()
    }
    for dotted, value in (overrides or {}).items():
        section, _, key = dotted.partition(".")
        values.setdefault(section, {})[key] = value
    return _build(values, source, kind)


def _build(
    values: dict[str, dict[str, str]], source: str, kind: type[SettingsT]
) -> SettingsT:
    sections = get_type_hints(kind, include_extras=True)
    faults = [
        SettingsError(source, name, "", f"unknown section, allowed: {_list(sections)}")
        for name in values
        if name not in sections
    ]
    built: dict[str, Any] = {}
    for name, section_kind in sections.items():
        section, found = _build_section(
            values.get(name, {}), source, name, section_kind
        )
        built[name] = section
        faults.extend(found)
    if faults:
        raise SettingsErrorGroup(f"{len(faults)} fault(s) in {source}", faults)
    return kind(**built)


def _build_section(
    values: dict[str, str], source: str, section: str, kind: type[Any]
) -> tuple[Any, list[SettingsError]]:
    hints = get_type_hints(kind, include_extras=True)
    faults = [
        SettingsError(source, section, key, f"unknown key, allowed: {_list(hints)}")
        for key in values
        if key not in hints
    ]
    converted: dict[str, Any] = {}
    for field in dataclasses.fields(kind):
        if field.name not in values:
            if _required(field):
                fault = SettingsError(source, section, field.name, "is required")
                faults.append(fault)
            continue
        try:
            converted[field.name] = _convert(values[field.name], hints[field.name])
        except msgspec.ValidationError as exc:
            reason = f"{values[field.name]!r} refused: {exc}"
            faults.append(SettingsError(source, section, field.name, reason))
    return (None if faults else kind(**converted)), faults


def _convert(text: str, hint: Any) -> Any:
    origin = getattr(hint, "__origin__", None)
    if origin is tuple:
        items = [item.strip() for item in text.split(",") if item.strip()]
        return msgspec.convert(items, hint, strict=False)
    return msgspec.convert(text, hint, strict=False)


def _required(field: "dataclasses.Field[Any]") -> bool:
    missing = dataclasses.MISSING
    return field.default is missing and field.default_factory is missing


def _list(names: Any) -> str:
    return ", ".join(sorted(names))
