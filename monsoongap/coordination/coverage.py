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
from itertools import combinations

from monsoongap.coordination.lease import longest_lease_s
from monsoongap.protocol.messages import Claim, RunnerDigest, ShareId
from monsoongap.timers import MS_PER_S, TimerService

log = logging.getLogger(__name__)

DIGESTS = 1 << 32
# A digest tells of the last owner only if it was heard until that one was lost.
DIGEST_FRESH_S = 1.2
# More added runners would take too many combinations to tell apart.
MAX_ADDED = 2
# A replaced owner renews leases until it hears of its successor: two lost heartbeats.
RELEASE_S = 0.2
# If no owner is heard within this time, the last one was lost before the start.
FRESH_S = 1.0


def digest_of(runners: Iterable[str]) -> int:
    """Return a digest of a set of runners by their ids."""
    return sum(map(_number_of, runners)) % DIGESTS


def match_digest(digest: int, runners: Collection[str]) -> frozenset[str] | None:
    """Return the subset of the runners that has a digest, None if there is none.

    Up to `MAX_ADDED` of them may have been added since the digest was made.
    """
    numbers = {id_: _number_of(id_) for id_ in runners}
    total = sum(numbers.values())
    for count in range(MAX_ADDED + 1):
        for added in combinations(numbers, count):
            if (total - sum(numbers[id_] for id_ in added)) % DIGESTS == digest:
                return frozenset(numbers.keys() - added)
    return None


def _number_of(runner: str) -> int:
    return zlib.crc32(runner.encode())


@dataclass(frozen=True, slots=True)
class _Former:
    """The newest claim on a share from before the one held now, and what it held.

    `held` is None if that is not known. Until `complete_at` its owner may itself lack
    runners of an earlier one.
    """

    claim: Claim
    held: RunnerDigest | None
    heard_at: float

    @property
    def complete_at(self) -> float:
        """When its owner was to be sure of its runners."""
        return self.heard_at + (self.held.in_doubt_ms / MS_PER_S if self.held else 0.0)


@dataclass(slots=True)
class _Own:
    """A share owned here.

    Earlier owners may have given leases until `doubt_since`. `known` holds the runners
    of the last one, once they are certain, who was to be sure of them at `known_at`.
    """

    claim: Claim
    since: float
    doubt_since: float
    known: frozenset[str] | None = None
    known_at: float = 0.0
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

    def record_claims(
        self, claims: tuple[Claim, ...], told: tuple[RunnerDigest, ...]
    ) -> list[ShareId]:
        """Take in another host's claims and what it holds by each.

        A host of an earlier version tells of claims only. Returns the shares of this
        host that the other one still claims, which are in doubt from now on.
        """
        now = self.timers.now()
        rivalled: list[ShareId] = []
        for i, claim in enumerate(claims):
            former = self._former.get(claim.share)
            if former is None or claim.fence >= former.claim.fence:
                held = told[i] if i < len(told) else None
                self._former[claim.share] = _Former(claim, held, now)
            own = self._own.get(claim.share)
            if own is not None and claim.fence < own.claim.fence:
                # A replaced owner that has not heard of it still gives leases.
                self.mark_in_doubt(claim.share)
                rivalled.append(claim.share)
        return rivalled

    def mark_in_doubt(self, share: ShareId) -> None:
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
            self._former[claim.share] = _Former(claim, None, now)

    def is_complete(self, claim: Claim, runners: Collection[str]) -> bool:
        """Tell whether no earlier owner can have a run on a runner not among these."""
        own = self._own.get(claim.share)
        if own is None:
            return False
        complete = self._doubt_s(own, runners) <= 0
        self._tell(own, complete, len(runners))
        return complete

    def digest(self, claim: Claim, runners: Collection[str]) -> RunnerDigest:
        """Return what this owner tells of the runners that it holds."""
        own = self._own.get(claim.share)
        doubt_s = max(self._doubt_s(own, runners), 0.0) if own else self.lease_s
        return RunnerDigest(digest_of(runners), round(doubt_s * MS_PER_S))

    def _doubt_s(self, own: _Own, runners: Collection[str]) -> float:
        """Return for how long an earlier owner may have runs on other runners."""
        now = self.timers.now()
        longest_s = longest_lease_s(self.lease_s) + RELEASE_S
        doubt_s = own.doubt_since + longest_s - now
        if doubt_s <= 0:
            return doubt_s
        if own.known is None:
            self._find_known(own, runners)
        if own.known is not None and own.known.issubset(runners):
            doubt_s = min(doubt_s, own.known_at - now)
        return doubt_s

    def _find_known(self, own: _Own, runners: Collection[str]) -> None:
        """Take over what the last owner told, if it is told apart and of the last."""
        former = self._former.get(own.claim.share)
        if former is None or former.held is None or not self._is_last(former, own):
            return
        own.known = match_digest(former.held.digest, runners)
        own.known_at = former.complete_at

    def _is_last(self, former: _Former, own: _Own) -> bool:
        """Tell whether a claim surely is the last one before this host's own."""
        if former.claim.share_count != own.claim.share_count:
            return False
        if own.doubt_since - former.heard_at > DIGEST_FRESH_S:
            return False
        return not any(
            other.claim.fence > former.claim.fence
            and other.claim.share.dc == own.claim.share.dc
            and other.claim.share_count != own.claim.share_count
            for other in self._former.values()
        )

    def _tell(self, own: _Own, complete: bool, count: int) -> None:
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
            known = own.known is not None
            extra["reason"] = "as the former owner" if known else "leases lapsed"
            log.info("share's runners known", extra=extra)
        else:
            log.warning("share's runners in doubt", extra=extra)
