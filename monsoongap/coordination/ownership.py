"""Who owns which share of the runners of a data centre.

The runners of a data centre are divided into as few shares as their number lets;
a live entry host of the data centre owns each. Claims and their fences ride on
heartbeats; the runners arbitrate, since each obeys the highest fence it has seen. So
a cut-off data centre goes on with its own owners, no store is asked, and two hosts
that both believe themselves owners can do no harm.
"""

import logging
import zlib
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from statistics import median

from monsoongap.coordination.members import Members, Peer
from monsoongap.protocol.messages import Claim, HostCard, ShareId, share_index
from monsoongap.timers import MS_PER_S, TimerService
from monsoongap.util import rendezvous

log = logging.getLogger(__name__)

CHECK_S = 0.05
# Shares of other data centres are owned from here only after long, so that looking at
# them seldom costs little.
FOREIGN_CHECK_S = 0.5
# Owners are asked for with each job; who they are changes with heartbeats only.
OWNERS_FRESH_S = 0.01
# A runner ends some ten tasks a second, each takes 2 ms of its owner's processor. An
# owner may spend half of what a usual host of its data centre has.
CORES_PER_RUNNER = 0.02
OWNER_PART = 0.5
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
    """The owner of a share; `peer` is None for this host."""

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
    """Decides, from what is heard, which shares this host owns."""

    members: Members
    timers: TimerService
    on_acquire: Callable[[Claim], None]
    on_release: Callable[[ShareId], None]
    leaving: bool = False
    counts: OwnershipCounts = field(default_factory=OwnershipCounts)
    claims: dict[ShareId, Claim] = field(default_factory=dict)
    _highest_fence: int = 0
    _started_at: float = 0.0
    _heard_someone_at: float = 0.0
    _absent_since: dict[ShareId, float] = field(default_factory=dict)
    _yield_until: dict[ShareId, float] = field(default_factory=dict)
    _last_owner: dict[ShareId, str] = field(default_factory=dict)
    _runners: Counter[str] = field(default_factory=Counter)
    _runners_read_at: float = -1e9
    _owners: dict[ShareId, Owner] = field(default_factory=dict)
    _owners_at: float = -1e9
    _foreign_checked_at: float = -1e9

    def start(self) -> None:
        """Begin to watch."""
        self._started_at = self._heard_someone_at = self.timers.now()
        self.timers.every(CHECK_S, self.check, "ownership")

    def note_runners(self, dcs: Counter[str], read_at: float) -> None:
        """Tell how many runners each data centre has, as read at `read_at`."""
        self._runners = dcs
        self._runners_read_at = read_at

    def shares_of(self, dc: str) -> list[ShareId]:
        """Return the shares of a data centre: as claimed, else by its runners."""
        owners = self._owners_by_share().values()
        claims = [owner.claim for owner in owners if owner.claim.share.dc == dc]
        newest = max(claims, key=lambda claim: claim.fence, default=None)
        if newest is not None:
            count = newest.share_count
        else:
            count = -(-self._runners[dc] // self._runners_per_share(dc)) or 1
        return [ShareId(dc, index) for index in range(count)]

    def _runners_per_share(self, dc: str) -> int:
        """Return how many runners one owner has the processor for."""
        cards = self._hosts_of(dc)
        if dc == self.members.card.dc:
            cards.append(self.members.card)
        usual = median(card.cores for card in cards) if cards else 1.0
        return max(int(OWNER_PART * usual / CORES_PER_RUNNER), 1)

    def all_shares(self) -> list[ShareId]:
        """Return the shares of every data centre that has runners or an owner."""
        owned = {share.dc for share in self._owners_by_share()}
        dcs = sorted(owned.union(self._runners))
        return [share for dc in dcs for share in self.shares_of(dc)]

    def home_share(self, job: str) -> ShareId:
        """Return the share of this data centre that a job falls to."""
        dc = self.members.card.dc
        return ShareId(dc, share_index(job, len(self.shares_of(dc))))

    def owner_of(self, share: ShareId) -> Owner | None:
        """Return the owner as this host sees it, the highest fence first."""
        return self._owners_by_share().get(share)

    def _owners_by_share(self) -> dict[ShareId, Owner]:
        """Return the owner of each claimed share, worked out anew each few ms."""
        now = self.timers.now()
        if now - self._owners_at > OWNERS_FRESH_S:
            owners: dict[ShareId, Owner] = {}
            for owner in self._claimed():
                known = owners.get(owner.claim.share)
                if known is None or owner.claim.fence > known.claim.fence:
                    owners[owner.claim.share] = owner
            self._owners = owners
            self._owners_at = now
        return self._owners

    def yield_to_fence(self, share: ShareId) -> None:
        """Give up a share one of whose runners obeys a higher fence."""
        if share in self.claims:
            self.counts.yielded_to_fence += 1
            self._yield_until[share] = self.timers.now() + YIELD_S
            # The other holder's clock may run ahead of this host's.
            self._highest_fence += FENCE_HOSTS * FENCE_LEAP_MS
            self._release(share, "runner obeys a higher fence")

    def check(self) -> None:
        """Release what another holds, acquire what nobody holds."""
        now = self.timers.now()
        if any(True for _ in self.members.live()):
            self._heard_someone_at = now
        self._check_dc(self.members.card.dc, now)
        if now - self._foreign_checked_at >= FOREIGN_CHECK_S:
            self._foreign_checked_at = now
            for dc in sorted(self._runners):
                if dc != self.members.card.dc:
                    self._check_dc(dc, now)

    def _check_dc(self, dc: str, now: float) -> None:
        shares = self.shares_of(dc)
        for share in [s for s in self.claims if s.dc == dc]:
            if self.claims[share].share_count != len(shares):
                self._release(share, "the data centre is divided otherwise")
        for share in shares:
            self._check_share(share, now)

    def _claimed(self) -> Iterator[Owner]:
        """Yield every claim of a live host, this one's too."""
        for peer in self.members.live():
            for claim in peer.heartbeat.claims if peer.heartbeat else ():
                yield Owner(claim, peer)
        for claim in self.claims.values():
            yield Owner(claim, None)

    def _check_share(self, share: ShareId, now: float) -> None:
        owner = self.owner_of(share)
        if owner is not None:
            self._highest_fence = max(self._highest_fence, owner.claim.fence)
            if owner.peer is not None:
                self._last_owner[share] = owner.peer.card.name
                if share in self.claims:
                    self._release(share, f"owned by {owner.peer.card.name}")
        if self._owner_stays(share, owner):
            self._absent_since.pop(share, None)
            return
        since = self._absent_since.setdefault(share, now)
        if self._may_acquire(share, owner, now, since):
            self._acquire(share)

    def _owner_stays(self, share: ShareId, owner: Owner | None) -> bool:
        if owner is None:
            return False
        if owner.peer is None:
            foreign = share.dc != self.members.card.dc
            if foreign and self._hosts_of(share.dc):
                self._release(share, "its own hosts are back")
            return True
        return not (owner.peer.heartbeat and owner.peer.heartbeat.leaving)

    def _hosts_of(self, dc: str) -> list[HostCard]:
        return [
            p.card
            for p in self.members.live()
            if p.card.dc == dc and p.heartbeat is not None and not p.heartbeat.leaving
        ]

    def _may_acquire(
        self, share: ShareId, owner: Owner | None, now: float, since: float
    ) -> bool:
        own = self.members.card
        if self.leaving or now < self._yield_until.get(share, 0.0):
            return False
        if not self._runners:
            # An owner that knows no runner could not tell what runs on them.
            return False
        if now - self._started_at < START_WAIT_S:
            return False
        candidates = self._hosts_of(share.dc)
        if share.dc != own.dc:
            if candidates or now - since < FOREIGN_WAIT_S:
                return False
            candidates = [p.card for p in self.members.live()]
        if self._preferred_owner(share, [*candidates, own]) != own.name:
            return False
        if owner is not None:
            return True
        if now - self._heard_someone_at > 0 and self.members.knows_any():
            return now - self._heard_someone_at >= ISOLATED_WAIT_S
        former = self._last_owner.get(share)
        return former is None or not self.members.heard_by_others(former)

    def _preferred_owner(self, share: ShareId, cards: list[HostCard]) -> str:
        """Return the host that should own a share, alike on hosts that hear alike.

        An owner needs more of its processor than any other host, so the one with
        the most left is taken; equals are told apart by rendezvous hashing.
        """
        owned = {self.members.card.name: len(self.claims)}
        for peer in self.members.live():
            owned[peer.card.name] = len(peer.heartbeat.claims) if peer.heartbeat else 0
        left = {c.name: c.cores / (1 + owned.get(c.name, 0)) for c in cards}
        most = max(left.values())
        names = [name for name, cores in left.items() if cores >= most]
        return rendezvous.choose(f"{share.dc}/{share.index}", names)

    def _acquire(self, share: ShareId) -> None:
        own = self.members.card.name
        low = zlib.crc32(own.encode()) % FENCE_HOSTS
        fence = self.timers.wall_ms() * FENCE_HOSTS + low
        if fence <= self._highest_fence:
            fence = (self._highest_fence // FENCE_HOSTS + 1) * FENCE_HOSTS + low
        self._highest_fence = fence
        claim = Claim(share, len(self.shares_of(share.dc)), fence)
        self.claims[share] = claim
        self._owners_at = -1e9
        self.counts.acquired += 1
        self._absent_since.pop(share, None)
        log.info(
            "ownership acquired",
            extra={
                "dc": share.dc,
                "share": share.index,
                "of": claim.share_count,
                "fence": fence,
                "runners": self._runners[share.dc],
                "list_age_ms": round(
                    (self.timers.now() - self._runners_read_at) * MS_PER_S
                ),
            },
        )
        self.on_acquire(claim)
        self.members.beat_now()

    def _release(self, share: ShareId, why: str) -> None:
        claim = self.claims.pop(share, None)
        if claim is None:
            return
        self._owners_at = -1e9
        self.counts.released += 1
        log.info(
            "ownership released",
            extra={"dc": share.dc, "share": share.index, "reason": why},
        )
        self.on_release(share)
