"""The settings tree as a value, and the replay that decides about changes.

`advance` is a pure function of the tree and one log record. Hosts that replay
the same records in offset order therefore hold equal trees and give equal
verdicts, with no lock and no vote. Compare-and-set on the revision of a subtree
settles races: the first record in log order wins.
"""

import hashlib
import logging
from dataclasses import dataclass, field, replace

import msgspec

from monsoongap.protocol.messages import LogRecord
from monsoongap.protocol.tree import (
    MAX_SUBTREES,
    RECORD_VERSION,
    ROOT,
    Change,
    Decision,
    Difference,
    SettingsRecord,
    Snapshot,
    Subtree,
    Verdict,
)
from monsoongap.state.tree_schema import canonical, find_faults

log = logging.getLogger(__name__)

RECENT_VERDICTS = 256
MAX_SHOWN_CHARS = 200
DIGEST_CHARS = 32
CONTENT_CHARS = 16

_decoder = msgspec.json.Decoder(SettingsRecord)


@dataclass(frozen=True, slots=True)
class Tree:
    """Every subtree after the replay of all records below `offset`.

    `recent` holds the latest `RECENT_VERDICTS` verdicts, oldest first. A retry of
    an older change id is decided anew and can't be applied twice: the revision
    that its first application made is above its base for good.
    """

    offset: int = 0
    subtrees: dict[str, Subtree] = field(default_factory=dict)
    recent: tuple[Verdict, ...] = ()

    def subtree(self, name: str) -> Subtree:
        """Return a subtree; one never changed is empty at revision 0."""
        return self.subtrees.get(name) or Subtree(name)

    def verdict(self, change: str) -> Verdict | None:
        """Return the remembered verdict about a change id."""
        found = (item for item in reversed(self.recent) if item.change == change)
        return next(found, None)


@dataclass(frozen=True, slots=True)
class Step:
    """What one record did. `fault` tells why a record was skipped."""

    tree: Tree
    verdict: Verdict | None = None
    duplicate: bool = False
    snapshot: Snapshot | None = None
    fault: str = ""


def advance(tree: Tree, record: LogRecord) -> Step:
    """Replay one record; never raises, so that no record can stop the rest."""
    moved = replace(tree, offset=record.offset + 1)
    try:
        settings_record = decode_record(record.data)
    except (msgspec.MsgspecError, RecursionError, UnicodeError) as exc:
        return Step(moved, fault=str(exc)[:MAX_SHOWN_CHARS])
    match settings_record:
        case SettingsRecord(change=Change() as change, snapshot=None):
            return _replay_change(moved, change, record.offset)
        case SettingsRecord(change=None, snapshot=Snapshot() as snapshot):
            return _replay_snapshot(moved, snapshot, record.offset)
        case _:
            return Step(moved, fault="neither a change nor a snapshot")


def decode_record(data: str) -> SettingsRecord:
    """Decode one record; raises `msgspec.MsgspecError`."""
    record = _decoder.decode(data)
    if record.version != RECORD_VERSION:
        raise msgspec.ValidationError(f"unknown record version {record.version}")
    return record


def encode_record(body: Change | Snapshot) -> str:
    """Encode a change or a snapshot as the JSON text of a log record."""
    match body:
        case Change():
            record = SettingsRecord(RECORD_VERSION, change=body)
        case Snapshot():
            record = SettingsRecord(RECORD_VERSION, snapshot=body)
    return msgspec.json.encode(record).decode()


def decide(tree: Tree, change: Change, offset: int) -> Verdict:
    """Return the verdict about a change that follows everything in `tree`."""
    current = tree.subtree(change.subtree)
    faults = find_faults(change, tree.subtree(ROOT))
    decision = _decision(tree, change, current, faults)
    accepted = decision is Decision.ACCEPTED
    return Verdict(
        change=change.id,
        subtree=change.subtree,
        author=change.author,
        decision=decision,
        revision=current.revision + 1 if accepted else current.revision,
        winner=change.author if accepted else current.author,
        offset=offset,
        at_ms=change.at_ms,
        content=content_digest(change),
        faults=faults,
        differences=() if faults else _differences(current, change),
    )


def content_digest(change: Change) -> str:
    """Return a digest of what a change asks for, without its time stamp."""
    encoded = msgspec.json.encode(replace(change, at_ms=0))
    return hashlib.sha256(encoded).hexdigest()[:CONTENT_CHARS]


def tree_digest(tree: Tree) -> str:
    """Return a digest of the whole content; equal offsets must have equal ones."""
    content = (tree.offset, _ordered(tree), tree.recent)
    return hashlib.sha256(msgspec.json.encode(content)).hexdigest()[:DIGEST_CHARS]


def take_snapshot(tree: Tree) -> Snapshot:
    """Return the tree as a snapshot that speaks for the tree's own offset."""
    return Snapshot(tree.offset, _ordered(tree), tree.recent, tree_digest(tree))


def load_snapshot(snapshot: Snapshot) -> Tree:
    """Return the tree of a snapshot; raises `ValueError` on a wrong digest."""
    subtrees = {subtree.name: subtree for subtree in snapshot.subtrees}
    tree = Tree(snapshot.offset, subtrees, snapshot.recent)
    if tree_digest(tree) != snapshot.digest:
        raise ValueError(f"snapshot of offset {snapshot.offset} has a wrong digest")
    return tree


def _ordered(tree: Tree) -> tuple[Subtree, ...]:
    return tuple(tree.subtrees[name] for name in sorted(tree.subtrees))


def _replay_change(moved: Tree, change: Change, offset: int) -> Step:
    known = moved.verdict(change.id)
    if known is not None:
        return Step(moved, verdict=known, duplicate=True)
    verdict = decide(moved, change, offset)
    recent = (*moved.recent, verdict)[-RECENT_VERDICTS:]
    tree = replace(moved, recent=recent)
    if verdict.accepted:
        changed = _apply(tree.subtree(change.subtree), change)
        tree = replace(tree, subtrees={**tree.subtrees, change.subtree: changed})
    return Step(tree, verdict=verdict)


def _replay_snapshot(moved: Tree, snapshot: Snapshot, offset: int) -> Step:
    # A snapshot speaks for its own offset only, so a replica past it has nothing
    # to learn from it: whatever it says, the tree stays as the changes made it.
    if snapshot.offset > offset:
        return Step(moved, fault="snapshot of an offset that is not yet written")
    return Step(moved, snapshot=snapshot)


def _decision(
    tree: Tree, change: Change, current: Subtree, faults: tuple[str, ...]
) -> Decision:
    if change.base != current.revision:
        return Decision.STALE
    if faults:
        return Decision.INVALID
    if change.subtree not in tree.subtrees and len(tree.subtrees) >= MAX_SUBTREES:
        return Decision.FULL
    return Decision.ACCEPTED


def _apply(current: Subtree, change: Change) -> Subtree:
    values = {entry.key: entry for entry in current.values}
    for key in change.unset:
        values.pop(key, None)
    for entry in canonical(change.subtree, change.set):
        values[entry.key] = entry
    return Subtree(
        name=change.subtree,
        revision=current.revision + 1,
        author=change.author,
        change=change.id,
        at_ms=change.at_ms,
        values=tuple(values[key] for key in sorted(values)),
    )


def _differences(current: Subtree, change: Change) -> tuple[Difference, ...]:
    """Compare a valid change with the subtree it meets, long values cut."""
    entries = canonical(change.subtree, change.set)
    wanted: dict[str, str | None] = {entry.key: entry.value for entry in entries}
    wanted.update(dict.fromkeys(change.unset))
    held = {entry.key: entry.value for entry in current.values}
    return tuple(
        Difference(key, _shown(held.get(key)), _shown(wanted[key]))
        for key in sorted(wanted)
        if held.get(key) != wanted[key]
    )


def _shown(value: str | None) -> str | None:
    return None if value is None else value[:MAX_SHOWN_CHARS]
