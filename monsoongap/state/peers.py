"""The table of other entry hosts: boot numbers and when each was last heard.

Bound: `MAX_PEERS` records of about 600 bytes. A full table forgets the record
that was heard longest ago among those that the host list does not name.
"""

import hashlib
from dataclasses import dataclass, field
from enum import Enum, auto

MAX_PEERS = 256
OLDER_BOOT_S = 30.0
NEVER = float("-inf")


class Heard(Enum):
    """What a beat told about a peer's process."""

    OLDER_BOOT = auto()
    SAME = auto()
    CHANGED = auto()


@dataclass(slots=True)
class PeerRecord:
    """One other entry host.

    `heard_at` is when the peer itself was heard, on the timer service's clock.
    `told_by` holds the hosts of its data centre that say it answers them.
    """

    name: str
    dc: str
    address: str
    boot: int = 0
    draining: bool = False
    listed: bool = False
    list_leaving: bool = False
    heard_at: float = NEVER
    known_at: float = NEVER
    told_by: set[str] = field(default_factory=set)


class PeerTable:
    """Every other entry host that this one knows of."""

    def __init__(self) -> None:
        self._records: dict[str, PeerRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def get(self, name: str) -> PeerRecord | None:
        """Return one record, or None."""
        return self._records.get(name)

    def all(self) -> tuple[PeerRecord, ...]:
        """Return every record, in name order."""
        return tuple(self._records[name] for name in sorted(self._records))

    def of_dc(self, dc: str) -> tuple[PeerRecord, ...]:
        """Return the records of one data centre, in name order."""
        return tuple(record for record in self.all() if record.dc == dc)

    def add(self, name: str, dc: str, address: str, now: float) -> PeerRecord:
        """Return the record of `name`, made when it is new."""
        record = self._records.get(name)
        if record is None:
            self._make_room()
            record = PeerRecord(name, dc, address, known_at=now)
            self._records[name] = record
        return record

    def heard(self, name: str, boot: int, draining: bool, now: float) -> Heard:
        """Note that a known peer was heard; an older boot changes nothing.

        Boot numbers come from the wall clock. A host whose clock was put back
        restarts with a lower one, which is believed once the newer process has
        been silent for `OLDER_BOOT_S`.
        """
        record = self._records[name]
        if boot < record.boot and now - record.heard_at < OLDER_BOOT_S:
            return Heard.OLDER_BOOT
        changed = (boot, draining) != (record.boot, record.draining)
        record.boot = boot
        record.draining = draining
        record.heard_at = now
        return Heard.CHANGED if changed else Heard.SAME

    def told(self, relay: str, dc: str, members: frozenset[str]) -> None:
        """Note which hosts of `dc` answer the peer `relay`."""
        for record in self._records.values():
            if record.dc == dc and record.name in members:
                record.told_by.add(relay)
            else:
                record.told_by.discard(relay)

    def remove(self, name: str) -> None:
        """Forget a peer."""
        del self._records[name]
        for record in self._records.values():
            record.told_by.discard(name)

    def _make_room(self) -> None:
        if len(self._records) < MAX_PEERS:
            return
        by_age = sorted(self._records.values(), key=lambda rec: rec.heard_at)
        unlisted = (record for record in by_age if not record.listed)
        self.remove(next(unlisted, by_age[0]).name)


def members_hash(members: list[tuple[str, int, bool]]) -> bytes:
    """Hash names, boot numbers and draining flags of a data centre's hosts."""
    text = ";".join(f"{name},{boot},{flag}" for name, boot, flag in sorted(members))
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
