"""Ownership: which host owns which share of the runners of a data centre.

The runners of a data centre are divided into as few shares as their number allows. Each
share is owned by one live entry host of the data centre. Heartbeats carry the claims
and their fences. Runners reject requests with a lower fence than the highest they have
seen, so two hosts that both consider themselves the owner do no harm. No store is
involved, so a data centre that is cut off continues with its own owners.
"""

import logging
import zlib
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from monsoongap.coordination.heartbeats import IN_TOUCH_S, NEVER, Peer
from monsoongap.coordination.members import Members
from monsoongap.protocol.messages import Claim, HostCard, ShareId, share_index
from monsoongap.timers import MS_PER_S, TimerService
from monsoongap.util import rendezvous

log = logging.getLogger(__name__)

# Heartbeats that change owners are checked at once; this finds timeouts.
CHECK_INTERVAL_S = 0.1
# Shares of other data centres are acquired only after a long wait, so they are checked
# less often.
REMOTE_CHECK_INTERVAL_S = 0.5
# Owners are looked up for each job, but change only with heartbeats.
OWNERS_CACHE_S = 0.01
# A runner ends about 10 tasks per second, each taking 2 ms of its owner's
# processor. An owner may use half of its cores.
CORES_PER_RUNNER = 0.02
OWNER_CPU_FRACTION = 0.5
# While hosts leave in turn, a successor may use more: dividing the runners into other
# shares costs more, and some of the load goes to hosts that return.
SUCCESSOR_CPU_FRACTION = 0.75
# Hosts start within 0.3 s of each other; the first owner waits for all heartbeats.
START_WAIT_S = 0.6
# The hosts of its data centre send an owner a heartbeat each 0.5 s; one may be lost.
UNHEARD_S = 1.1
# A host without live peers is more likely cut off than the only one running.
ISOLATED_WAIT_S = 2.5
# Network partitions heal within seconds; until then a data centre's own hosts have
# precedence.
REMOTE_WAIT_S = 8.0
# A data centre without listed runners and without an owner counts as gone after this:
# with runners, its shares would be acquired by hosts elsewhere.
UNSEEN_DC_S = REMOTE_WAIT_S
# After a runner accepted a higher fence, its holder's heartbeat takes time to arrive.
YIELD_WAIT_S = 1.0
# A host that told a claimant that it does not own the share hears of the claim within
# this time, even if four heartbeats are lost.
CLAIM_HEARD_S = 0.5
FENCE_HOSTS = 1024
# The clocks of two hosts differ by at most this much.
MAX_CLOCK_SKEW_MS = 3000


@dataclass(frozen=True, slots=True)
class Owner:
    """The owner of a share; `peer` is None for this host."""

    claim: Claim
    peer: Peer | None


@dataclass(slots=True)
class OwnershipCounts:
    """Counts of changes of ownership, for the metrics."""

    acquired: int = 0
    released: int = 0
    yielded_to_fence: int = 0


@dataclass(slots=True)
class Ownership:
    """Decides from heartbeats which shares this host owns."""

    members: Members
    timers: TimerService
    on_acquire: Callable[[Claim], None]
    on_release: Callable[[ShareId], None]
    leaving: bool = False
    counts: OwnershipCounts = field(default_factory=OwnershipCounts)
    claims: dict[ShareId, Claim] = field(default_factory=dict)
    _highest_fence: int = 0
    _started_at: float = NEVER
    _last_contact_at: float = 0.0
    _unowned_since: dict[ShareId, float] = field(default_factory=dict)
    _yield_until: dict[ShareId, float] = field(default_factory=dict)
    # Of claims that this host confirmed not to own; their heartbeats may be lost.
    _told_fences: dict[ShareId, int] = field(default_factory=dict)
    _last_owner: dict[ShareId, str] = field(default_factory=dict)
    _last_count: dict[str, int] = field(default_factory=dict)
    _runner_counts: Counter[str] = field(default_factory=Counter)
    _runners_read_at: float = -1e9
    _owners: dict[ShareId, Owner] = field(default_factory=dict)
    _owners_updated_at: float = -1e9
    _contact_at: float = NEVER
    _contact_checked_at: float = NEVER
    # When each data centre last had an owner.
    _seen_at: dict[str, float] = field(default_factory=dict)
    _remote_checked_at: float = -1e9

    def start(self) -> None:
        """Start checking shares periodically."""
        self._started_at = self._last_contact_at = self.timers.now()
        self.timers.every(CHECK_INTERVAL_S, self.check, "ownership")

    def record_runner_counts(self, dcs: Counter[str], read_at: float) -> None:
        """Record the number of runners of each data centre, as read at `read_at`."""
        self._runner_counts = dcs
        self._runners_read_at = read_at

    def shares_of(self, dc: str) -> list[ShareId]:
        """Return the shares of a data centre.

        Their number comes from the newest claim or, without one, from the number of
        runners.
        """
        owners = self._owners_by_share().values()
        of_dc = [owner for owner in owners if owner.claim.share.dc == dc]
        newest = max(of_dc, key=lambda owner: owner.claim.fence, default=None)
        if newest is None:
            # Between two owners the number is kept, as while one of them leaves.
            kept = self._last_count.get(dc, 0)
            carried = kept > 0 and self._can_carry(dc, kept)
            count = kept if carried else self._share_count(dc)
        else:
            count = self._last_count[dc] = newest.claim.share_count
            peer = newest.peer
            # The hosts that stay may be weaker than the one that leaves. A change of
            # the number makes every owner release its shares, so it is kept while they
            # can carry them.
            if (
                peer is not None
                and peer.is_leaving
                and not peer.hands_over
                and not self._can_carry(dc, count)
            ):
                count = max(count, self._share_count(dc))
        return [ShareId(dc, index) for index in range(count)]

    def _share_count(self, dc: str) -> int:
        """Return the least number of shares that the hosts of a data centre can carry.

        The strongest hosts own the shares. One of them may be lost: the next one has to
        be able to carry a share as well.
        """
        cards = self._hosts_of(dc)
        if dc == self.members.card.dc and not self.leaving:
            cards.append(self.members.card)
        cores = sorted((card.cores for card in cards), reverse=True) or [1.0]
        runners = self._runner_counts[dc]
        for count in range(1, runners):
            if self._carries(dc, count, cores[min(count, len(cores) - 1)]):
                return count
        return max(runners, 1)

    def _can_carry(self, dc: str, count: int) -> bool:
        """Return whether the hosts that stay in a data centre can carry its shares.

        Unlike in `_share_count`, none of them may be lost meanwhile: the hosts that
        leave return.
        """
        cards = self._hosts_of(dc)
        if dc == self.members.card.dc and not self.leaving:
            cards.append(self.members.card)
        cores = sorted((card.cores for card in cards), reverse=True)
        return len(cores) >= count and self._carries(dc, count, cores[count - 1])

    def _carries(
        self, dc: str, count: int, cores: float, fraction: float = OWNER_CPU_FRACTION
    ) -> bool:
        """Return whether a fraction of a host's cores is enough for a share."""
        needed = -(-self._runner_counts[dc] // count) * CORES_PER_RUNNER
        return needed <= fraction * cores

    def can_add(self, runners: int) -> bool:
        """Return whether this host can take over more runners from one that leaves."""
        owned = sum(
            -(-self._runner_counts[claim.share.dc] // claim.share_count)
            for claim in self.claims.values()
        )
        needed = (owned + runners) * CORES_PER_RUNNER
        return needed <= SUCCESSOR_CPU_FRACTION * self.members.card.cores

    def all_shares(self) -> list[ShareId]:
        """Return the shares of every data centre that has runners or an owner.

        One that had an owner until lately may still run tasks, and only its owner can
        tell. Entries of runners alone may name a data centre that does not exist.
        """
        self._owners_by_share()
        oldest = self.timers.now() - UNSEEN_DC_S
        seen = {dc for dc, seen_at in self._seen_at.items() if seen_at > oldest}
        dcs = sorted(seen.union(self._runner_counts))
        return [share for dc in dcs for share in self.shares_of(dc)]

    def is_in_touch(self) -> bool:
        """Return whether this host and the owners of all shares hear each other.

        An owner that hears this host learns of its jobs.
        """
        return self.timers.now() - self.contact_at() <= IN_TOUCH_S

    def contact_at(self) -> float:
        """Return when this host last heard the one of all owners heard the longest ago.

        `NEVER` if a share has no owner, or one that does not hear this host.
        """
        now = self.timers.now()
        if now - self._contact_checked_at > OWNERS_CACHE_S:
            self._contact_checked_at = now
            owners = map(self.owner_of, self.all_shares())
            self._contact_at = min(map(self._heard_at, owners), default=now)
        return self._contact_at

    def _heard_at(self, owner: Owner | None) -> float:
        if owner is None:
            return NEVER
        own, peer = self.members.card, owner.peer
        if owner.claim.share.dc != (own if peer is None else peer.card).dc:
            # The hosts of that data centre may serve on behind a cut.
            return NEVER
        if peer is None:
            return self.timers.now()
        unheard = peer.heartbeat.unheard if peer.heartbeat else ()
        lacks = own.name in unheard or any(s.dc in unheard for s in self.claims)
        return NEVER if lacks else peer.received_since

    def unheard(self) -> tuple[str, ...]:
        """Return whom this owner does not hear: owners, and data centres without one.

        One that has become an owner since can only be missed by its data centre.
        """
        lacking = {s.dc for s in self.all_shares() if self.owner_of(s) is None}
        return (*self.members.unheard_owners(), *sorted(lacking))

    def hears_former_owners(self, dc: str) -> bool:
        """Return whether former owners of a data centre's runners would be heard here.

        They are other hosts of that data centre, whose processes have not ended. Within
        its own one, a host that hears any other host learns from that one of an owner
        that it does not hear itself.
        """
        peers = (p for p in self.members.all() if p.card.dc == dc)
        if all(peer.has_ended for peer in peers):
            return True
        heard_at = self.members.heard_at
        if dc == self.members.card.dc:
            last_at = max(heard_at.values(), default=NEVER)
        else:
            last_at = heard_at.get(dc, NEVER)
        return self.timers.now() - last_at <= UNHEARD_S

    def share_of_job(self, job: str, dc: str = "") -> ShareId:
        """Return the share of a data centre, by default this one, of a job."""
        dc = dc or self.members.card.dc
        return ShareId(dc, share_index(job, len(self.shares_of(dc))))

    def owner_of(self, share: ShareId) -> Owner | None:
        """Return the live claimant of a share that has the highest fence, if any."""
        return self._owners_by_share().get(share)

    def _owners_by_share(self) -> dict[ShareId, Owner]:
        """Return the owner of each claimed share, cached for `OWNERS_CACHE_S`."""
        now = self.timers.now()
        if now - self._owners_updated_at > OWNERS_CACHE_S:
            owners: dict[ShareId, Owner] = {}
            for owner in self._all_claims():
                known = owners.get(owner.claim.share)
                if known is None or owner.claim.fence > known.claim.fence:
                    owners[owner.claim.share] = owner
            self._owners = owners
            self._owners_updated_at = now
            self._seen_at |= dict.fromkeys((share.dc for share in owners), now)
        return self._owners

    def yield_to_fence(self, share: ShareId) -> None:
        """Release a share of which a runner accepted a higher fence."""
        if share in self.claims:
            self.counts.yielded_to_fence += 1
            self._yield_until[share] = self.timers.now() + YIELD_WAIT_S
            # The other holder's clock may be ahead of this host's.
            self._highest_fence += FENCE_HOSTS * MAX_CLOCK_SKEW_MS
            self._release(share, "runner accepted a higher fence")

    def yield_to_claim(self, claim: Claim) -> None:
        """Do not acquire a share before its claimant's heartbeats have arrived."""
        self._highest_fence = max(self._highest_fence, claim.fence)
        until = self.timers.now() + CLAIM_HEARD_S
        share = claim.share
        told = self._told_fences.get(share, 0)
        self._told_fences[share] = max(told, claim.fence)
        self._yield_until[share] = max(self._yield_until.get(share, 0.0), until)

    def claims_changed(self) -> None:
        """Check shares now: another host's claims changed, or it is lost or leaves."""
        self._owners_updated_at = -1e9
        if self._started_at != NEVER:
            self.check()

    def check(self) -> None:
        """Release shares that another host owns, and acquire those without an owner."""
        now = self.timers.now()
        if any(True for _ in self.members.live()):
            self._last_contact_at = now
        self._check_dc(self.members.card.dc, now)
        if not self.claims:
            # Only owners take over the shares of other data centres.
            return
        if now - self._remote_checked_at >= REMOTE_CHECK_INTERVAL_S:
            self._remote_checked_at = now
            for dc in sorted(self._runner_counts):
                if dc != self.members.card.dc:
                    self._check_dc(dc, now)

    def _check_dc(self, dc: str, now: float) -> None:
        shares = self.shares_of(dc)
        for share in [s for s in self.claims if s.dc == dc]:
            if self.claims[share].share_count != len(shares):
                self._release(share, "the number of shares changed")
        for share in shares:
            self._check_share(share, now)

    def _all_claims(self) -> Iterator[Owner]:
        """Yield every claim of a live host, including this one."""
        for peer in self.members.live():
            for claim in peer.claims:
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
            self._unowned_since.pop(share, None)
            return
        since = self._unowned_since.setdefault(share, now)
        if self._may_acquire(share, owner, now, since):
            self._acquire(share)

    def _owner_stays(self, share: ShareId, owner: Owner | None) -> bool:
        if owner is None:
            return False
        if owner.peer is None:
            is_remote = share.dc != self.members.card.dc
            if is_remote and self._hosts_of(share.dc):
                self._release(share, "hosts of its own data centre are live again")
            return True
        # It hands a share of its data centre over to a host there, if there is one.
        is_remote = share.dc != self.members.card.dc
        return not owner.peer.is_leaving or (owner.peer.hands_over and not is_remote)

    def _hosts_of(self, dc: str) -> list[HostCard]:
        return [
            p.card for p in self.members.live() if p.card.dc == dc and not p.is_leaving
        ]

    def _may_acquire(
        self, share: ShareId, owner: Owner | None, now: float, since: float
    ) -> bool:
        own = self.members.card
        if self.leaving or now < self._yield_until.get(share, 0.0):
            return False
        if not self._runner_counts:
            # Without a list of runners this host could not find out what runs on them.
            return False
        if now - self._started_at < START_WAIT_S:
            return False
        candidates = self._hosts_of(share.dc)
        if share.dc != own.dc:
            if candidates or now - since < REMOTE_WAIT_S:
                return False
            candidates = [p.card for p in self.members.live_owners()]
        if self._preferred_owner(share, [*candidates, own]) != own.name:
            return False
        if owner is not None:
            return True
        if self._is_being_divided(share.dc, len(self.shares_of(share.dc))):
            return False
        if now - self._last_contact_at > 0 and self.members.knows_any():
            return now - self._last_contact_at >= ISOLATED_WAIT_S
        previous_owner = self._last_owner.get(share)
        return previous_owner is None or not self.members.is_live_for_others(
            previous_owner
        )

    def _preferred_owner(
        self,
        share: ShareId,
        cards: list[HostCard],
        planned: Counter[str] | None = None,
    ) -> str:
        """Return the host that should own a share.

        Hosts that see the same live hosts return the same one. An owner needs more
        processor time than other hosts, so the host with the most cores left per share
        is chosen; rendezvous hashing breaks ties. `planned` counts the shares that
        hosts are about to own besides.
        """
        owned = {self.members.card.name: len(self.claims)}
        for peer in self.members.live():
            owned[peer.card.name] = len(peer.claims)
        for name, count in (planned or {}).items():
            owned[name] = owned.get(name, 0) + count
        cores_left = {c.name: c.cores / (1 + owned.get(c.name, 0)) for c in cards}
        most = max(cores_left.values())
        names = [name for name, cores in cores_left.items() if cores >= most]
        return rendezvous.choose(f"{share.dc}/{share.index}", names)

    def successor(self, share: ShareId, passed_over: set[str]) -> Peer | None:
        """Return the host to which this one, which leaves, hands a share over.

        None if no host that stays can carry the share alone.
        """
        count = self.claims[share].share_count
        cards = self._hosts_of(share.dc)
        if share.dc != self.members.card.dc and not cards:
            cards = [p.card for p in self.members.live_owners() if not p.is_leaving]
        cards = [card for card in cards if card.name not in passed_over]
        if not cards:
            return None
        peer = self.members.peer(self._preferred_owner(share, cards))
        if peer is None:
            return None
        cores = peer.card.cores / (1 + len(peer.claims))
        fraction = SUCCESSOR_CPU_FRACTION
        return peer if self._carries(share.dc, count, cores, fraction) else None

    def has_candidates(self, share: ShareId) -> bool:
        """Return whether any live host could own a share instead of this one."""
        hosts = self._hosts_of(share.dc)
        return bool(hosts) or share.dc != self.members.card.dc

    def division(
        self, share: ShareId, passed_over: set[str]
    ) -> dict[ShareId, Peer] | None:
        """Return the owners of the shares into which an undivided one is divided.

        None if the share is one of several, or there is no host.
        """
        cards = [c for c in self._hosts_of(share.dc) if c.name not in passed_over]
        if self.claims[share].share_count != 1 or not cards:
            return None
        owners: dict[ShareId, Peer] = {}
        planned: Counter[str] = Counter()
        for index in range(self._share_count(share.dc)):
            part = ShareId(share.dc, index)
            name = self._preferred_owner(part, cards, planned)
            peer = self.members.peer(name)
            if peer is None:
                return None
            planned[name] += 1
            owners[part] = peer
        return owners

    def _is_being_divided(self, dc: str, count: int) -> bool:
        """Return whether a host that leaves hands the shares of a data centre over."""
        return any(
            claim.share.dc == dc and claim.share_count != count
            for peer in self.members.live()
            if peer.hands_over
            for claim in peer.claims
        )

    def transfer(self, share: ShareId) -> None:
        """Release a share that is transferred to a successor."""
        self._release(share, "transferred to its successor")

    def acquire_transferred(self, previous: Claim) -> Claim | None:
        """Acquire a share that its owner transfers; None if this host may not."""
        share = previous.share
        if self.leaving or self.has_newer_claim(previous):
            return None
        self.take_back(previous)
        return self.claims[share]

    def has_newer_claim(self, claim: Claim) -> bool:
        """Return whether another host has claimed a share after the given claim."""
        owner = self.owner_of(claim.share)
        told = self._told_fences.get(claim.share, 0)
        return told > claim.fence or (
            owner is not None and owner.claim.fence > claim.fence
        )

    def take_back(self, previous: Claim) -> None:
        """Acquire a share by a claim that follows the given one."""
        self._highest_fence = max(self._highest_fence, previous.fence)
        self._acquire(previous.share, previous.share_count)

    def _acquire(self, share: ShareId, share_count: int = 0) -> None:
        own = self.members.card.name
        host_bits = zlib.crc32(own.encode()) % FENCE_HOSTS
        fence = self.timers.wall_ms() * FENCE_HOSTS + host_bits
        if fence <= self._highest_fence:
            fence = (self._highest_fence // FENCE_HOSTS + 1) * FENCE_HOSTS + host_bits
        self._highest_fence = fence
        claim = Claim(share, share_count or len(self.shares_of(share.dc)), fence)
        self.claims[share] = claim
        self._owners_updated_at = -1e9
        self.counts.acquired += 1
        self._unowned_since.pop(share, None)
        log.info(
            "ownership acquired",
            extra={
                "dc": share.dc,
                "share": share.index,
                "of": claim.share_count,
                "fence": fence,
                "runners": self._runner_counts[share.dc],
                "list_age_ms": round(
                    (self.timers.now() - self._runners_read_at) * MS_PER_S
                ),
            },
        )
        self.on_acquire(claim)
        self.members.send_heartbeats_to_all()

    def _release(self, share: ShareId, why: str) -> None:
        claim = self.claims.pop(share, None)
        if claim is None:
            return
        self._owners_updated_at = -1e9
        self.counts.released += 1
        log.info(
            "ownership released",
            extra={"dc": share.dc, "share": share.index, "reason": why},
        )
        self.on_release(share)
        if not self.leaving:
            self.members.send_heartbeats()
