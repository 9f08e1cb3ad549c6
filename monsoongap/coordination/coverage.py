"""Whether an owner knows every runner that an earlier owner of its share used.

The list of runners may lack some that work on: entries of living runners lapse while
the store cannot be reached, and new ones are read late. What runs there can neither be
seen nor barred. So an owner tells with its heartbeats a digest of the runners that it
holds. The next one vouches for the share once it holds the same runners, or when
every lease that an earlier owner may have given has lapsed.
"""

import logging
import zlib
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from itertools import combinations, zip_longest

from monsoongap.coordination.lease import longest_lease_s
from monsoongap.protocol.messages import Claim, ShareId
from monsoongap.timers import MS_PER_S, TimerService

log = logging.getLogger(__name__)

# The digest of an owner that may itself lack runners of an earlier one.
INCOMPLETE = 0
DIGEST_BITS = 32
# A digest tells of the last owner only if it was heard until that one was lost.
DIGEST_FRESH_S = 1.2
# So many runners may have been added since the digest that they still are told apart.
MOST_ADDED = 2
# An owner that was replaced may give leases until it hears so: a lost beat or two.
RELEASE_S = 0.2
# Of a share that is acquired so soon after the start, with no owner heard, the last
# owner was lost before the start.
FRESH_S = 1.0


def digest_of(runners: Iterable[str]) -> int:
    """Return a digest of a set of runners by their ids, never `INCOMPLETE`."""
    return _digest(sum(map(_number_of, runners)))


def told_by(digest: int, runners: Collection[str]) -> frozenset[str] | None:
    """Return those of the runners that a digest stands for, None if it can't be told.

    Up to `MOST_ADDED` of them may be left out.
    """
    numbers = {id_: _number_of(id_) for id_ in runners}
    total = sum(numbers.values())
    for count in range(MOST_ADDED + 1):
        for added in combinations(numbers, count):
            if _digest(total - sum(numbers[id_] for id_ in added)) == digest:
                return frozenset(numbers.keys() - added)
    return None


def _number_of(runner: str) -> int:
    return zlib.crc32(runner.encode())


def _digest(total: int) -> int:
    return total % (1 << DIGEST_BITS) or 1


@dataclass(frozen=True, slots=True)
class _Former:
    """The newest claim on a share from before the one held now, and what it held."""

    claim: Claim
    digest: int
    heard_at: float


@dataclass(slots=True)
class _Own:
    """A share owned here.

    Earlier owners may have given leases until `doubt_since`. `known` holds the runners
    of the last one, once they are certain.
    """

    claim: Claim
    since: float
    doubt_since: float
    known: frozenset[str] | None = None
    told_complete: bool = False


@dataclass(slots=True)
class Coverage:
    """Compares the runners held here with those that earlier owners told of.

    `lease_s` is the longest lease of a runner.
    """

    timers: TimerService
    lease_s: float
    _started_at: float = field(init=False)
    _former: dict[ShareId, _Former] = field(default_factory=dict)
    _own: dict[ShareId, _Own] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._started_at = self.timers.now()

    def hear(self, claims: tuple[Claim, ...], digests: tuple[int, ...]) -> None:
        """Take in another host's claims and the digests of what it holds."""
        now = self.timers.now()
        for claim, digest in zip_longest(claims, digests, fillvalue=INCOMPLETE):
            if not isinstance(claim, Claim):
                return
            former = self._former.get(claim.share)
            if former is None or claim.fence >= former.claim.fence:
                self._former[claim.share] = _Former(claim, digest, now)
            own = self._own.get(claim.share)
            if own is not None and claim.fence < own.claim.fence:
                # A replaced owner that has not heard of it still gives leases.
                self.doubt(claim.share)

    def doubt(self, share: ShareId) -> None:
        """Take note that an earlier owner may have given leases until now."""
        own = self._own.get(share)
        if own is not None:
            own.doubt_since = self.timers.now()
            own.known = None

    def acquire(self, claim: Claim) -> None:
        """Take note that this host owns a share from now on."""
        now = self.timers.now()
        unheard = all(share.dc != claim.share.dc for share in self._former)
        fresh = unheard and now - self._started_at < FRESH_S
        # An owner that was lost before the start gave no lease after it.
        doubt_since = self._started_at - RELEASE_S if fresh else now
        self._own[claim.share] = _Own(claim, now, doubt_since)

    def release(self, claim: Claim) -> None:
        """Take note that this host no longer owns a share.

        What was heard before its own claim says nothing of the owner that comes next.
        """
        self._own.pop(claim.share, None)
        former = self._former.get(claim.share)
        if former is None or former.claim.fence < claim.fence:
            now = self.timers.now()
            self._former[claim.share] = _Former(claim, INCOMPLETE, now)

    def is_complete(self, claim: Claim, runners: Collection[str]) -> bool:
        """Tell whether no earlier owner can have a run on a runner not among these."""
        own = self._own.get(claim.share)
        if own is None:
            return False
        if own.known is None:
            digest = self._digest_before(own)
            own.known = told_by(digest, runners) if digest != INCOMPLETE else None
        known = own.known is not None and own.known.issubset(runners)
        doubt_s = self.timers.now() - own.doubt_since
        lapsed = doubt_s > longest_lease_s(self.lease_s) + RELEASE_S
        self._tell(own, known or lapsed, known, len(runners))
        return known or lapsed

    def digest(self, claim: Claim, runners: Collection[str]) -> int:
        """Return what this owner tells of the runners that it holds."""
        return digest_of(runners) if self.is_complete(claim, runners) else INCOMPLETE

    def _digest_before(self, own: _Own) -> int:
        """Return the last owner's digest, if it surely is of the last one."""
        former = self._former.get(own.claim.share)
        if former is None or former.claim.of != own.claim.of:
            return INCOMPLETE
        if own.doubt_since - former.heard_at > DIGEST_FRESH_S:
            return INCOMPLETE
        for other in self._former.values():
            newer = other.claim.fence > former.claim.fence
            if (
                newer
                and other.claim.share.dc == own.claim.share.dc
                and other.claim.of != own.claim.of
            ):
                return INCOMPLETE
        return former.digest

    def _tell(self, own: _Own, complete: bool, known: bool, count: int) -> None:
        """Log a change of what is known of a share's runners."""
        if complete == own.told_complete:
            return
        own.told_complete = complete
        share = own.claim.share
        extra = {
            "dc": share.dc,
            "share": share.index,
            "runners": count,
            "waited_ms": round((self.timers.now() - own.since) * MS_PER_S),
        }
        if complete:
            extra["reason"] = "as the former owner" if known else "leases lapsed"
            log.info("share's runners known", extra=extra)
        else:
            log.warning("share's runners in doubt", extra=extra)
