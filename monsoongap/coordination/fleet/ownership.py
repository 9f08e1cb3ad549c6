"""Who owns the runners of a data centre.

One live entry host of a data centre owns its runners. The claim and its fence ride
on heartbeats; the runners arbitrate, since each obeys the highest fence it has
seen. So a cut-off data centre goes on with its own owner, no store is asked, and
two hosts that both believe themselves owners can do no harm.
"""

import logging
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field

from monsoongap.coordination.fleet.members import Members, Peer
from monsoongap.protocol.fleet import Claim, HostCard
from monsoongap.timers import TimerService
from monsoongap.util import rendezvous

log = logging.getLogger(__name__)

CHECK_S = 0.05
# Hosts start within 0.3 s of each other; a first owner waits to hear them all.
START_WAIT_S = 0.6
# A host that hears nobody is more likely cut off than the last one left.
ISOLATED_WAIT_S = 2.5
# Cuts of a data centre heal within seconds; its own hosts come first till then.
FOREIGN_WAIT_S = 8.0
# After a runner obeyed another holder, the heartbeats need time to name it.
YIELD_S = 1.0
FENCE_HOSTS = 1024
# Times of day on two hosts differ by up to this much.
FENCE_LEAP_MS = 3000


@dataclass(frozen=True, slots=True)
class Owner:
    """The owner of a data centre's runners; `peer` is None for this host."""

    claim: Claim
    peer: Peer | None


@dataclass(slots=True)
class OwnershipCounts:
    """Changes of ownership, for the metrics."""

    acquired: int = 0
    released: int = 0
    yielded_to_fence: int = 0


@dataclass(slots=True)
class Ownership:
    """Decides, from what is heard, which data centres this host owns."""

    members: Members
    timers: TimerService
    on_acquire: Callable[[Claim], None]
    on_release: Callable[[str], None]
    leaving: bool = False
    counts: OwnershipCounts = field(default_factory=OwnershipCounts)
    claims: dict[str, Claim] = field(default_factory=dict)
    _highest_fence: int = 0
    _started_at: float = 0.0
    _heard_someone_at: float = 0.0
    _absent_since: dict[str, float] = field(default_factory=dict)
    _yield_until: dict[str, float] = field(default_factory=dict)
    _last_owner: dict[str, str] = field(default_factory=dict)
    _foreign: frozenset[str] = frozenset()

    def start(self) -> None:
        """Begin to watch."""
        self._started_at = self._heard_someone_at = self.timers.now()
        self.timers.every(CHECK_S, self.check, "ownership")

    def note_upstream_dcs(self, dcs: frozenset[str]) -> None:
        """Tell in which data centres there are runners."""
        self._foreign = dcs - {self.members.card.dc}

    def owner_of(self, dc: str) -> Owner | None:
        """Return the owner as this host sees it, the highest fence first."""
        owners = [
            Owner(claim, peer)
            for peer in self.members.live()
            if peer.beat is not None
            for claim in peer.beat.claims
            if claim.dc == dc
        ]
        if dc in self.claims:
            owners.append(Owner(self.claims[dc], None))
        return max(owners, key=lambda o: o.claim.fence, default=None)

    def yield_to_fence(self, dc: str) -> None:
        """Give up a data centre whose runner obeys a higher fence."""
        if dc in self.claims:
            self.counts.yielded_to_fence += 1
            self._yield_until[dc] = self.timers.now() + YIELD_S
            # The other holder's clock may run ahead of this host's.
            self._highest_fence += FENCE_HOSTS * FENCE_LEAP_MS
            self._release(dc, "runner obeys a higher fence")

    def check(self) -> None:
        """Release what another holds, acquire what nobody holds."""
        now = self.timers.now()
        if any(True for _ in self.members.live()):
            self._heard_someone_at = now
        dcs = self._foreign | {self.members.card.dc}
        for dc in sorted(dcs):
            self._check_dc(dc, now)

    def _check_dc(self, dc: str, now: float) -> None:
        owner = self.owner_of(dc)
        if owner is not None:
            self._highest_fence = max(self._highest_fence, owner.claim.fence)
            if owner.peer is not None:
                self._last_owner[dc] = owner.peer.card.name
            if owner.peer is not None and dc in self.claims:
                self._release(dc, f"owned by {owner.peer.card.name}")
        if self._owner_stays(dc, owner):
            self._absent_since.pop(dc, None)
            return
        since = self._absent_since.setdefault(dc, now)
        if self._may_acquire(dc, owner, now, since):
            self._acquire(dc)

    def _owner_stays(self, dc: str, owner: Owner | None) -> bool:
        if owner is None:
            return False
        if owner.peer is None:
            home_again = dc in self._foreign and self._hosts_of(dc)
            if home_again:
                self._release(dc, "its own hosts are back")
            return True
        return not (owner.peer.beat and owner.peer.beat.leaving)

    def _hosts_of(self, dc: str) -> list[HostCard]:
        return [
            p.card
            for p in self.members.live()
            if p.card.dc == dc and p.beat is not None and not p.beat.leaving
        ]

    def _may_acquire(
        self, dc: str, owner: Owner | None, now: float, since: float
    ) -> bool:
        own = self.members.card
        if self.leaving or now < self._yield_until.get(dc, 0.0):
            return False
        if now - self._started_at < START_WAIT_S:
            return False
        candidates = self._hosts_of(dc)
        if dc != own.dc:
            if candidates or now - since < FOREIGN_WAIT_S:
                return False
            candidates = [p.card for p in self.members.live()]
        if fittest(dc, [*candidates, own]) != own.name:
            return False
        if owner is not None:
            return True
        if now - self._heard_someone_at > 0 and self.members.knows_any():
            return now - self._heard_someone_at >= ISOLATED_WAIT_S
        former = self._last_owner.get(dc)
        return former is None or not self.members.heard_by_others(former)

    def _acquire(self, dc: str) -> None:
        own = self.members.card.name
        low = zlib.crc32(own.encode()) % FENCE_HOSTS
        fence = self.timers.wall_ms() * FENCE_HOSTS + low
        if fence <= self._highest_fence:
            fence = (self._highest_fence // FENCE_HOSTS + 1) * FENCE_HOSTS + low
        self._highest_fence = fence
        claim = Claim(dc, fence)
        self.claims[dc] = claim
        self.counts.acquired += 1
        self._absent_since.pop(dc, None)
        log.info("ownership acquired", extra={"dc": dc, "fence": fence})
        self.on_acquire(claim)
        self.members.beat_now()

    def _release(self, dc: str, why: str) -> None:
        claim = self.claims.pop(dc, None)
        if claim is None:
            return
        self.counts.released += 1
        log.info("ownership released", extra={"dc": dc, "reason": why})
        self.on_release(dc)


def fittest(dc: str, cards: list[HostCard]) -> str:
    """Return the host that should own a data centre, alike on every host.

    An owner needs more of its processor than any other host, so the strongest one
    is taken; equals are told apart by rendezvous hashing.
    """
    most = max(card.cores for card in cards)
    return rendezvous.choose(dc, [c.name for c in cards if c.cores >= most])
