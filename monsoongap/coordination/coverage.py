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

from monsoongap.coordination.lease import longest_lease_s
from monsoongap.protocol.messages import Claim, ShareId
from monsoongap.timers import MS_PER_S, TimerService

log = logging.getLogger(__name__)

# The digest of an owner that may itself lack runners of an earlier one.
INCOMPLETE = 0
DIGEST_BITS = 32
# An owner that was replaced may give leases until it hears so: a lost beat or two.
RELEASE_S = 0.2
# Of a share that is acquired so soon after the start, with no owner heard, the last
# owner was lost before the start.
FRESH_S = 1.0


def digest_of(runners: Iterable[str]) -> int:
    """Return a digest of a set of runners by their ids, never `INCOMPLETE`."""
    total = sum(zlib.crc32(id_.encode()) for id_ in runners)
    return total % (1 << DIGEST_BITS) or 1


@dataclass(frozen=True, slots=True)
class _Former:
    """The newest claim of another host on a share, and the runners it held."""

    claim: Claim
    digest: int


@dataclass(slots=True)
class Coverage:
    """Compares the runners held here with those that earlier owners told of.

    `lease_s` is the longest lease of a runner.
    """

    timers: TimerService
    lease_s: float
    _started_at: float = field(init=False)
    _former: dict[ShareId, _Former] = field(default_factory=dict)
    _owned_since: dict[ShareId, float] = field(default_factory=dict)
    _doubt_since: dict[ShareId, float] = field(default_factory=dict)
    _complete: set[ShareId] = field(default_factory=set)

    def __post_init__(self) -> None:
        self._started_at = self.timers.now()

    def hear(self, claims: tuple[Claim, ...], digests: tuple[int, ...]) -> None:
        """Take in another host's claims and the digests of what it holds."""
        for i, claim in enumerate(claims):
            former = self._former.get(claim.share)
            if former is None or claim.fence >= former.claim.fence:
                digest = digests[i] if i < len(digests) else INCOMPLETE
                self._former[claim.share] = _Former(claim, digest)
            if claim.share in self._owned_since:
                # A replaced owner that has not heard of it still gives leases.
                self._doubt_since[claim.share] = self.timers.now()

    def acquire(self, claim: Claim) -> None:
        """Take note that this host owns a share from now on."""
        now = self.timers.now()
        unheard = claim.share not in self._former
        fresh = unheard and now - self._started_at < FRESH_S
        self._owned_since[claim.share] = now
        self._doubt_since[claim.share] = self._started_at if fresh else now
        self._complete.discard(claim.share)

    def release(self, claim: Claim) -> None:
        """Take note that this host no longer owns a share.

        What was heard before its own claim says nothing of the owner that comes next.
        """
        self._owned_since.pop(claim.share, None)
        former = self._former.get(claim.share)
        if former is not None and former.claim.fence < claim.fence:
            del self._former[claim.share]

    def is_complete(self, claim: Claim, runners: Collection[str]) -> bool:
        """Tell whether no earlier owner can have a run on a runner not among these."""
        former = self._former.get(claim.share)
        known = (
            former is not None
            and former.claim.of == claim.of
            and former.digest == digest_of(runners)
        )
        doubt_s = self.timers.now() - self._doubt_since.get(claim.share, 0.0)
        lapsed = doubt_s > longest_lease_s(self.lease_s) + RELEASE_S
        self._note(claim.share, known or lapsed, known, len(runners))
        return known or lapsed

    def digest(self, claim: Claim, runners: Collection[str]) -> int:
        """Return what this owner tells of the runners that it holds."""
        return digest_of(runners) if self.is_complete(claim, runners) else INCOMPLETE

    def _note(self, share: ShareId, complete: bool, known: bool, count: int) -> None:
        """Log a change of what is known of a share's runners."""
        if complete == (share in self._complete):
            return
        waited_s = self.timers.now() - self._owned_since.get(share, 0.0)
        extra = {
            "dc": share.dc,
            "share": share.index,
            "runners": count,
            "reason": "as the former owner" if known else "leases lapsed",
            "waited_ms": round(waited_s * MS_PER_S),
        }
        if complete:
            self._complete.add(share)
            log.info("share's runners known", extra=extra)
        else:
            self._complete.discard(share)
            extra["reason"] = "another host claims the share"
            log.warning("share's runners in doubt", extra=extra)
