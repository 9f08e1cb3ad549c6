"""Claims of callers' own keys, as the log orders them.

The first claim of a key in log order names the key's home. A table entry takes
about 260 bytes, so `MAX_CLAIMS` of them take 7.8 MB; the `RECENT_RECORDS` latest
records are kept whole as well, at about 900 bytes each (1.8 MB).
"""

import hashlib
from collections import OrderedDict
from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

MAX_CLAIMS = 30_000
RECENT_RECORDS = 2_000
MAX_CLAIM_WORKERS = 16
KEY_HASH_BYTES = 8


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """One record of a claims stream.

    `home`, `boot` and `serial` name the one process that may turn the claim into
    starts, and which of its claims this is. `workers` maps the only workers that
    it may use to their boot numbers. `refused` is set on a claim that closes its
    key without running it: the error kind that its caller was told. `live_from` is
    the appending host's word that every record before this offset was read more than
    `claims.keep_s` before, so that a new reader may begin there.
    """

    key: Annotated[str, Meta(max_length=200)]
    team: str
    digest: bytes
    tasks: int
    home: str
    dc: str
    boot: int
    serial: int
    workers: dict[str, int]
    refused: str | None = None
    live_from: int = 0

    def same_claim(self, other: "ClaimRecord") -> bool:
        """Tell whether two records are copies of one claim."""
        mine = (self.home, self.boot, self.serial)
        return mine == (other.home, other.boot, other.serial)


def key_hash(key: str) -> int:
    """Return 64 bits that stand for a key in buckets and tables."""
    digest = hashlib.blake2b(key.encode(), digest_size=KEY_HASH_BYTES).digest()
    return int.from_bytes(digest, "big")


def rendezvous(subject: str, hosts: list[str]) -> str:
    """Choose one host for a subject; hosts that agree on the list agree on it."""
    return max(hosts, key=lambda host: key_hash(f"{subject}|{host}"))


@dataclass(frozen=True, slots=True)
class ClaimPlace:
    """Where the winning claim of a key is in its stream."""

    offset: int
    noted_at: float


class ClaimTable:
    """The winning claim's place for each key claimed in the last `keep_s`.

    Age counts from when this host read a claim, so it is never more than the true
    age and no claim is dropped too early, whatever the clocks of other hosts say.
    A later claim of the same key renews the age but not the winner.
    """

    def __init__(self, keep_s: float, limit: int = MAX_CLAIMS) -> None:
        self._keep_s = keep_s
        self._limit = limit
        self._places: OrderedDict[int, ClaimPlace] = OrderedDict()
        self._recent: OrderedDict[int, ClaimRecord] = OrderedDict()
        self._lossy_until = 0.0

    def __len__(self) -> int:
        return len(self._places)

    def note(self, offset: int, record: ClaimRecord, now: float) -> None:
        """Take in the next record of a stream."""
        self._expire(now)
        key = key_hash(record.key)
        known = self._places.pop(key, None)
        first = offset if known is None else known.offset
        self._places[key] = ClaimPlace(first, now)
        if known is None:
            self._remember(key, record)
        while len(self._places) > self._limit:
            _, place = self._places.popitem(last=False)
            self._lossy_until = max(self._lossy_until, place.noted_at + self._keep_s)

    def place(self, key: str, now: float) -> ClaimPlace | None:
        """Return where the winning claim of a key is, if one stands."""
        self._expire(now)
        return self._places.get(key_hash(key))

    def record(self, key: str) -> ClaimRecord | None:
        """Return the winning claim of a key while it is kept whole."""
        record = self._recent.get(key_hash(key))
        return record if record is not None and record.key == key else None

    def complete(self, now: float) -> bool:
        """Tell whether a key without an entry is proved to be unclaimed."""
        return now >= self._lossy_until

    def _remember(self, key: int, record: ClaimRecord) -> None:
        self._recent.pop(key, None)
        self._recent[key] = record
        if len(self._recent) > RECENT_RECORDS:
            self._recent.popitem(last=False)

    def _expire(self, now: float) -> None:
        while self._places:
            key, place = next(iter(self._places.items()))
            if now - place.noted_at <= self._keep_s:
                return
            del self._places[key]
            self._recent.pop(key, None)
