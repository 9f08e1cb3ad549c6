"""Messages of the settings tree: log records, verdicts, and calls between hosts.

The tree is a set of subtrees: `root` holds platform-wide keys and `teams/<team>`
the keys of one team. Values travel as the text of an INI file; the schema in
`monsoongap.state.tree_schema` gives them their types.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated

from msgspec import Meta

from monsoongap.protocol.messages import LogRecord
from monsoongap.protocol.peer import PeerMethod

STREAM = "settings"
ROOT = "root"
TEAM_PREFIX = "teams/"
RECORD_VERSION = 1

MAX_ENTRIES_PER_CHANGE = 16
MAX_VALUE_CHARS = 1_024
MAX_SUBTREES = 512

SubtreeName = Annotated[
    str, Meta(max_length=70, pattern=r"^(root|teams/[A-Za-z0-9_.-]{1,64})\Z")
]
ChangeId = Annotated[str, Meta(pattern=r"^[A-Za-z0-9_-]{8,64}\Z")]
Author = Annotated[str, Meta(min_length=1, max_length=100)]
Key = Annotated[str, Meta(min_length=1, max_length=64)]
Revision = Annotated[int, Meta(ge=0)]


@dataclass(frozen=True, slots=True)
class Entry:
    """One key of a subtree with its value as INI text."""

    key: Key
    value: Annotated[str, Meta(max_length=MAX_VALUE_CHARS)]


@dataclass(frozen=True, slots=True)
class Change:
    """An operator's change of one subtree, made against its revision `base`.

    `id` is chosen by the operator's client and makes a retry idempotent. `at_ms`
    is the wall clock of the host that took the change, for display only.
    """

    id: ChangeId
    author: Author
    subtree: SubtreeName
    base: Revision
    set: Annotated[tuple[Entry, ...], Meta(max_length=MAX_ENTRIES_PER_CHANGE)] = ()
    unset: Annotated[tuple[Key, ...], Meta(max_length=MAX_ENTRIES_PER_CHANGE)] = ()
    at_ms: int = 0


class Decision(StrEnum):
    """What the replay of the log decided about a change.

    `STALE`: another change of the same subtree came first. `INVALID`: a value is
    refused by the schema or by a bound of the parent. `FULL`: too many subtrees.
    """

    ACCEPTED = "accepted"
    STALE = "stale"
    INVALID = "invalid"
    FULL = "full"


@dataclass(frozen=True, slots=True)
class Difference:
    """One key with two values; None where the key is not set.

    In an accepted change `before` is the value it replaced and `after` its own.
    In a stale one `before` is the winner's value and `after` the loser's.
    """

    key: str
    before: str | None
    after: str | None


@dataclass(frozen=True, slots=True)
class Verdict:
    """The decision about one change, the same on every host.

    `revision` is the subtree's after the decision and `winner` the author of
    that revision. `content` is a digest of the change, so that a change id used
    for something else is noticed.
    """

    change: str
    subtree: str
    author: str
    decision: Decision
    revision: int
    winner: str
    offset: int
    at_ms: int
    content: str
    faults: tuple[str, ...] = ()
    differences: tuple[Difference, ...] = ()

    @property
    def accepted(self) -> bool:
        """Tell whether the change is in force."""
        return self.decision is Decision.ACCEPTED


@dataclass(frozen=True, slots=True)
class Subtree:
    """One subtree at one revision; `values` are in key order."""

    name: SubtreeName
    revision: Revision = 0
    author: str = ""
    change: str = ""
    at_ms: int = 0
    values: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The whole tree as of `offset`: every record below it has been replayed.

    `recent` are the latest verdicts, oldest first, so that a retried change id
    is known to a host that starts from the snapshot.
    """

    offset: Annotated[int, Meta(ge=0)]
    subtrees: tuple[Subtree, ...]
    recent: tuple[Verdict, ...]
    digest: str


@dataclass(frozen=True, slots=True)
class SettingsRecord:
    """One record of the log stream: exactly one of the two is given."""

    version: int
    change: Change | None = None
    snapshot: Snapshot | None = None


@dataclass(frozen=True, slots=True)
class TreeDigest:
    """How far a host has replayed. `loaded` is false until it knows the tree."""

    offset: int
    digest: str
    loaded: bool


@dataclass(frozen=True, slots=True)
class ExchangeRequest:
    """Tells a peer how far this host is and asks for what it lacks."""

    host: str
    have: TreeDigest


@dataclass(frozen=True, slots=True)
class ExchangeReply:
    """What the asking host lacks: records from `start` on, or a snapshot."""

    have: TreeDigest
    start: int = 0
    records: tuple[LogRecord, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(frozen=True, slots=True)
class StatusRequest:
    """Asks a host which revision of one subtree it has in force."""

    subtree: SubtreeName


@dataclass(frozen=True, slots=True)
class HostStatus:
    """What one host has in force, and since when.

    `in_force_s` is how long the host has had this revision. `log_age_s` is the
    time since the log last answered, None when it never did. `error` is empty,
    or tells why the host could not be asked.
    """

    host: str
    dc: str
    offset: int = 0
    digest: str = ""
    revision: int = 0
    in_force_s: float = 0.0
    log_age_s: float | None = None
    loaded: bool = False
    error: str = ""


EXCHANGE = PeerMethod("tree.exchange", ExchangeRequest, ExchangeReply)
STATUS = PeerMethod("tree.status", StatusRequest, HostStatus)


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """Body of a change or of its validation; the author comes from the token."""

    change: ChangeId
    base: Revision
    set: Annotated[tuple[Entry, ...], Meta(max_length=MAX_ENTRIES_PER_CHANGE)] = ()
    unset: Annotated[tuple[Key, ...], Meta(max_length=MAX_ENTRIES_PER_CHANGE)] = ()


@dataclass(frozen=True, slots=True)
class SubtreeReply:
    """One subtree as it stands. `in_force` has defaults and parents' bounds."""

    subtree: Subtree
    in_force: tuple[Entry, ...]
    offset: int


@dataclass(frozen=True, slots=True)
class SubtreeSummary:
    """Name and latest revision of one subtree."""

    name: str
    revision: int
    author: str
    at_ms: int


@dataclass(frozen=True, slots=True)
class ListReply:
    """Every subtree in name order."""

    subtrees: tuple[SubtreeSummary, ...]


@dataclass(frozen=True, slots=True)
class DiffReply:
    """What changed between two revisions of a subtree."""

    subtree: str
    base: int
    revision: int
    differences: tuple[Difference, ...]


@dataclass(frozen=True, slots=True)
class HistoryReply:
    """The remembered verdicts of a subtree, oldest first."""

    verdicts: tuple[Verdict, ...]


@dataclass(frozen=True, slots=True)
class ValidateReply:
    """Every fault that a change would be rejected for now; empty means none."""

    faults: tuple[str, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class StatusReply:
    """One line per entry host, in name order."""

    subtree: str
    hosts: tuple[HostStatus, ...]
