"""Claims of callers' own keys, as the log orders them.

The first claim of a key in log order names the key's home. The table keeps a hash and
an offset for each key, 32 to 64 bytes, so `MAX_CLAIMS` of them take at most 7.7 MB; the
`RECENT_RECORDS` latest records are kept whole as well, at 1.1 to 1.6 KB each.
"""

import hashlib
from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

from monsoongap.state.claim_index import OffsetIndex

MAX_CLAIMS = 120_000
GENERATIONS = 8
RECENT_RECORDS = 1_000
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
    """Return 64 bits, never all zero, that stand for a key."""
    digest = hashlib.blake2b(key.encode(), digest_size=KEY_HASH_BYTES).digest()
    return int.from_bytes(digest, "big") or 1


@dataclass(slots=True)
class _Generation:
    """The keys whose latest claim was read in one part of `keep_s`."""

    ends_at: float
    offsets: OffsetIndex


class ClaimTable:
    """Where the winning claim is of each key claimed in the last `keep_s`.

    Age counts from when this host read a claim, so it is never more than the true
    age and no claim is dropped too early, whatever the clocks of other hosts say.
    A later claim of the same key renews the age but not the winner. Claims expire
    together by `GENERATIONS`-th parts of `keep_s`.
    """

    def __init__(self, keep_s: float, limit: int = MAX_CLAIMS) -> None:
        self._keep_s = keep_s
        self._limit = limit
        self._generations: deque[_Generation] = deque()
        self._recent: OrderedDict[int, ClaimRecord] = OrderedDict()
        self._lossy_until = 0.0

    def __len__(self) -> int:
        return sum(len(part.offsets) for part in self._generations)

    def size_bytes(self) -> int:
        """Return the bytes of the index."""
        return sum(part.offsets.size_bytes() for part in self._generations)

    def note(self, offset: int, record: ClaimRecord, now: float) -> None:
        """Take in the next record of a stream."""
        known = self.offset(record.key, now)
        key = key_hash(record.key)
        if known is None:
            self._remember(key, record)
        first = offset if known is None else known
        self._newest(now).offsets.put(key, first)
        while len(self) > self._limit:
            dropped = self._generations.popleft()
            self._lossy_until = max(self._lossy_until, dropped.ends_at + self._keep_s)

    def offset(self, key: str, now: float) -> int | None:
        """Return where the winning claim of a key is, if one stands."""
        self._expire(now)
        hashed = key_hash(key)
        for part in reversed(self._generations):
            found = part.offsets.get(hashed)
            if found is not None:
                return found
        return None

    def record(self, key: str) -> ClaimRecord | None:
        """Return the winning claim of a key while it is kept whole."""
        record = self._recent.get(key_hash(key))
        return record if record is not None and record.key == key else None

    def complete(self, now: float) -> bool:
        """Tell whether a key without an entry is proved to be unclaimed."""
        return now >= self._lossy_until

    def _newest(self, now: float) -> _Generation:
        parts = self._generations
        if not parts or now >= parts[-1].ends_at:
            ends_at = now + self._keep_s / GENERATIONS
            parts.append(_Generation(ends_at, OffsetIndex()))
        return parts[-1]

    def _remember(self, key: int, record: ClaimRecord) -> None:
        self._recent.pop(key, None)
        self._recent[key] = record
        if len(self._recent) > RECENT_RECORDS:
            self._recent.popitem(last=False)

    def _expire(self, now: float) -> None:
        parts = self._generations
        while parts and now - parts[0].ends_at > self._keep_s:
            parts.popleft()
