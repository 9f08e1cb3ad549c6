"""What an operator typed: key=value pairs and INI files of one subtree."""

import configparser
import re
import shlex
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from monsoongap.errors import UserError
from monsoongap.protocol.tree import ChangeRequest, Entry, Subtree

_REVISION_LINE = re.compile(r"^[#;] revision (\d+)\s*$", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class SubtreeFile:
    """An INI file of one subtree; `revision` is the one it was read at, if told."""

    entries: tuple[Entry, ...]
    revision: int | None


@dataclass(frozen=True, slots=True)
class Edit:
    """What is to be set and unset, and the revision it was made against, if told."""

    set: tuple[Entry, ...]
    unset: tuple[str, ...]
    base: int | None


def read_edit(
    subtree: str,
    pairs: Iterable[str],
    unset: Iterable[str],
    file: Path | None,
    base: int | None,
) -> Edit:
    """Gather an edit from the command line; raises `UserError`.

    A pair on the command line outranks the file, and `base` the file's revision.
    """
    entries: dict[str, Entry] = {}
    if file is not None:
        read = read_file(file, subtree)
        base = read.revision if base is None else base
        entries.update((entry.key, entry) for entry in read.entries)
    entries.update((entry.key, entry) for entry in map(_pair, pairs))
    return Edit(tuple(entries.values()), tuple(unset), base)


def replacing(edit: Edit, held: Subtree) -> Edit:
    """Return the edit that also unsets every key that it does not name."""
    named = {entry.key for entry in edit.set} | set(edit.unset)
    missing = (entry.key for entry in held.values if entry.key not in named)
    return Edit(edit.set, (*edit.unset, *missing), edit.base)


def read_file(path: Path, subtree: str) -> SubtreeFile:
    """Read an INI file whose one section is the subtree; raises `UserError`."""
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        text = path.read_text(encoding="utf-8")
        parser.read_string(text, str(path))
    except (OSError, UnicodeDecodeError) as exc:
        raise UserError(f"cannot read {path}: {exc}") from exc
    except configparser.Error as exc:
        raise UserError(f"{path} is not an INI file: {exc.message}") from exc
    if parser.sections() != [subtree]:
        raise UserError(f"{path} must have the one section [{subtree}]")
    told = _REVISION_LINE.search(text)
    entries = (Entry(key, value) for key, value in parser[subtree].items())
    return SubtreeFile(tuple(entries), int(told[1]) if told else None)


def format_ini(subtree: str, revision: int, entries: Iterable[Entry]) -> str:
    """Return the INI text of a subtree, with the revision it is made against."""
    lines = [f"# revision {revision}", f"[{subtree}]"]
    lines.extend(f"{entry.key} = {entry.value}" for entry in entries)
    return "\n".join(lines) + "\n"


def keep_edit(subtree: str, body: ChangeRequest, revision: int, entry_url: str) -> str:
    """Save what a rejected change held; return the command to try it again.

    The file is written to the working directory and stands against `revision`.
    Raises `UserError` when it cannot be written.
    """
    path = Path(f"config-{body.change}.ini")
    try:
        path.write_text(format_ini(subtree, revision, body.set), encoding="utf-8")
    except OSError as exc:
        raise UserError(f"cannot save what was typed: {exc}") from exc
    words = ["monsoongap", "config", "set", subtree, "--entry", entry_url]
    words.extend(("--file", str(path), "--base", str(revision)))
    for key in body.unset:
        words.extend(("--unset", key))
    return shlex.join(words)


def _pair(text: str) -> Entry:
    key, sign, value = text.partition("=")
    if not sign or not key.strip():
        raise UserError(f"{text!r} is not of the form key=value")
    return Entry(key.strip(), value.strip())
