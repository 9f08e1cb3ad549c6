"""Messages that entry hosts exchange about who is there.

A `Heartbeat` is sent whole when a stream opens and whenever it differs from the
one before; an empty beat stands for "no change". `News` carries the same facts at
once, without waiting for the next heartbeat.
"""

from dataclasses import dataclass

from monsoongap.coordination.parts import WorkerInfo
from monsoongap.protocol.peer import PeerMethod


@dataclass(frozen=True, slots=True)
class WorkerLeaving:
    """A worker that takes no new starts; `boot` is 0 while it is not known."""

    name: str
    boot: int = 0


@dataclass(frozen=True, slots=True)
class DigestEntry:
    """The short digest that one part of a host passes to its counterparts."""

    name: str
    data: bytes


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """What a host tells of itself.

    `members` is a hash over the hosts of the sender's data centre that answer it,
    `list_version` the version of its host list. `leaving` is empty towards other
    data centres.
    """

    sender: str
    dc: str
    address: str
    boot: int
    draining: bool = False
    list_version: int = 0
    members: bytes = b""
    leaving: tuple[WorkerLeaving, ...] = ()
    digests: tuple[DigestEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class News:
    """A host's own state and the leaving workers it knows of, sent at once."""

    sender: str
    boot: int
    draining: bool
    leaving: tuple[WorkerLeaving, ...] = ()


@dataclass(frozen=True, slots=True)
class NewsTaken:
    """Confirms that news were taken up."""


@dataclass(frozen=True, slots=True)
class Member:
    """An entry host as another one knows it."""

    name: str
    dc: str
    address: str
    boot: int = 0
    draining: bool = False


@dataclass(frozen=True, slots=True)
class MembersRequest:
    """Asks for the hosts of the peer's data centre that answer the peer."""


@dataclass(frozen=True, slots=True)
class Members:
    """The hosts of one data centre, the sender included."""

    dc: str
    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """Asks for all that a peer knows, for a host that starts without a list."""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A peer's routing table; `workers` are those of data centre `dc`."""

    dc: str
    list_version: int
    workers: tuple[WorkerInfo, ...]
    members: tuple[Member, ...]
    leaving: tuple[WorkerLeaving, ...] = ()


NEWS = PeerMethod("membership.news", News, NewsTaken)
MEMBERS = PeerMethod("membership.members", MembersRequest, Members)
SNAPSHOT = PeerMethod("membership.snapshot", SnapshotRequest, Snapshot)
