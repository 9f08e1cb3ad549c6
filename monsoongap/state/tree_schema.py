"""The types of the settings tree's keys and the bounds between subtrees.

Operators write INI text, so the checks are those of any INI file: unknown keys
are refused and every fault is found at once. What is stored is the canonical
text, so that two hosts never differ by a blank or a leading zero.
"""

import dataclasses
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Annotated, Any

from msgspec import Meta

from monsoongap.protocol.messages import MAX_DEADLINE_MS
from monsoongap.protocol.tree import ROOT, Change, Entry, Subtree
from monsoongap.util.ini import SettingsErrors, SettingsFault, parse_ini

MAX_FAULTS = 8
MAX_FAULT_CHARS = 200
HASHES_SUFFIX = "_hashes"

TokenHash = Annotated[
    str, Meta(pattern=r"^([A-Za-z0-9_.-]{1,32}=)?sha256:[0-9a-f]{64}\Z")
]
TokenHashes = tuple[TokenHash, ...]
QuotaSlots = Annotated[int, Meta(ge=0, le=100_000)]
TaskCount = Annotated[int, Meta(ge=1, le=1_000_000)]
DeadlineMs = Annotated[int, Meta(ge=1, le=MAX_DEADLINE_MS)]


@dataclass(frozen=True, slots=True)
class RootSettings:
    """Platform-wide keys; the `max_team_` keys bound every team's values."""

    max_team_quota_slots: QuotaSlots = 100_000
    max_team_tasks: TaskCount = 1_000_000
    max_team_deadline_ms: DeadlineMs = MAX_DEADLINE_MS
    operator_hashes: TokenHashes = ()


@dataclass(frozen=True, slots=True)
class TeamSettings:
    """One team's keys. A team without `token_hashes` asks callers for no token."""

    quota_slots: QuotaSlots = 0
    max_tasks: TaskCount = 10_000
    max_deadline_ms: DeadlineMs = MAX_DEADLINE_MS
    token_hashes: TokenHashes = ()
    operator_hashes: TokenHashes = ()


@dataclass(frozen=True, slots=True)
class _RootFile:
    settings: RootSettings = field(default_factory=RootSettings)


@dataclass(frozen=True, slots=True)
class _TeamFile:
    settings: TeamSettings = field(default_factory=TeamSettings)


@dataclass(frozen=True, slots=True)
class _Bound:
    """A team's key and the root key that bounds it."""

    team_key: str
    root_key: str


_BOUNDS = (
    _Bound("quota_slots", "max_team_quota_slots"),
    _Bound("max_tasks", "max_team_tasks"),
    _Bound("max_deadline_ms", "max_team_deadline_ms"),
)


def known_keys(subtree: str) -> frozenset[str]:
    """Return the keys that the schema of a subtree allows."""
    kind = RootSettings if subtree == ROOT else TeamSettings
    return frozenset(item.name for item in dataclasses.fields(kind))


def parse_root(values: Iterable[Entry]) -> RootSettings:
    """Return the typed root settings; raises `SettingsErrors`."""
    return _parse(ROOT, values, _RootFile).settings


def parse_team(subtree: str, values: Iterable[Entry]) -> TeamSettings:
    """Return a team's typed settings; raises `SettingsErrors`."""
    return _parse(subtree, values, _TeamFile).settings


def team_in_force(own: TeamSettings, root: RootSettings) -> TeamSettings:
    """Clamp a team's values, set or by default, to the bounds of the root.

    A bound that is lowered later wins over what a team had set before, so no
    team can hold up the parent.
    """
    clamped = {
        bound.team_key: min(getattr(own, bound.team_key), getattr(root, bound.root_key))
        for bound in _BOUNDS
    }
    return dataclasses.replace(own, **clamped)


def canonical(subtree: str, entries: Iterable[Entry]) -> tuple[Entry, ...]:
    """Return valid entries with the canonical text of their values."""
    entries = tuple(entries)
    typed = _typed(subtree, entries)
    return tuple(Entry(item.key, _text(getattr(typed, item.key))) for item in entries)


def as_entries(settings: RootSettings | TeamSettings) -> tuple[Entry, ...]:
    """Return every key of typed settings with its text, in key order."""
    names = sorted(item.name for item in dataclasses.fields(settings))
    return tuple(Entry(name, _text(getattr(settings, name))) for name in names)


def find_faults(change: Change, root: Subtree) -> tuple[str, ...]:
    """Return every reason to refuse a change, whatever its base revision.

    The number and length of the reasons are bounded, since verdicts are kept.
    """
    faults = schema_faults(change)
    if not faults and change.subtree != ROOT:
        faults = tuple(_bound_faults(change, parse_root(root.values)))
    return faults


def schema_faults(change: Change) -> tuple[str, ...]:
    """Return the reasons to refuse a change whatever the tree holds."""
    faults = [*_shape_faults(change), *_type_faults(change)]
    return tuple(fault[:MAX_FAULT_CHARS] for fault in faults[:MAX_FAULTS])


def _shape_faults(change: Change) -> Iterable[str]:
    keys = [*(entry.key for entry in change.set), *change.unset]
    if not keys:
        yield "the change sets and unsets nothing"
    for key in sorted({key for key in keys if keys.count(key) > 1}):
        yield f"{key}: named more than once"
    known = known_keys(change.subtree)
    for key in change.unset:
        if key not in known:
            yield f"{key}: unknown key, allowed: {', '.join(sorted(known))}"


def _type_faults(change: Change) -> Iterable[str]:
    try:
        _typed(change.subtree, change.set)
    except SettingsErrors as exc:
        for fault in exc.exceptions:
            if isinstance(fault, SettingsFault):
                yield f"{fault.key}: {_reason(fault)}"


def _reason(fault: SettingsFault) -> str:
    # A token that is put where its hash belongs must not be repeated anywhere.
    if fault.key.endswith(HASHES_SUFFIX):
        return "expected items of the form [name=]sha256:<64 hexadecimal digits>"
    return fault.reason


def _bound_faults(change: Change, root: RootSettings) -> Iterable[str]:
    typed = parse_team(change.subtree, change.set)
    named = {entry.key for entry in change.set}
    for bound in _BOUNDS:
        value = getattr(typed, bound.team_key)
        limit = getattr(root, bound.root_key)
        if bound.team_key in named and value > limit:
            yield (
                f"{bound.team_key}: {value} is beyond the bound {limit} that"
                f" {bound.root_key} of {ROOT} sets"
            )


def _typed(subtree: str, entries: Iterable[Entry]) -> RootSettings | TeamSettings:
    return parse_root(entries) if subtree == ROOT else parse_team(subtree, entries)


def _parse(subtree: str, values: Iterable[Entry], kind: type[Any]) -> Any:
    overrides = {f"settings.{entry.key}": entry.value for entry in values}
    return parse_ini("", subtree, kind, overrides)


def _text(value: object) -> str:
    return ", ".join(value) if isinstance(value, tuple) else str(value)
