"""Which hosts a heartbeat is sent to, how often, and whether it is a full one.

Owners send heartbeats to the hosts of their data centre and to each other, so the
number of heartbeats grows with hosts times owners of one data centre, not with the
square of the hosts. Hosts that own no share report to the owners of their own data
centre. Only while one of its shares has no owner, or an owner is silent, they send to
each other, to agree on the next owner.
"""

import zlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from monsoongap.protocol.messages import Claim, Heartbeat, HostCard

# Intervals in ticks of 0.1 s. Between owners: each tick while there are jobs.
LOCAL_TICKS = 2
REPORT_TICKS = 5
REMOTE_TICKS = 20
# Every so often a heartbeat is a full one; the others are brief.
FULL_TICKS = 5
# An owner silent for this long missed two heartbeats; hosts exchange what they hear
# before its timeout.
SILENT_OWNER_S = 0.45
# Without an owner for longer than a start takes, hosts send less often.
SEEK_OFTEN_S = 3.0
# Hosts of one data centre start within 0.3 s of each other.
ALONE_S = 0.3
# An owner sends the hosts of its data centre a heartbeat each 0.2 s.
SILENT_RELAY_S = 0.3
# Owners send each other a heartbeat at least each 0.2 s; two may be lost.
IN_TOUCH_S = 0.65
MAX_CARDS = 6
NEVER = -1e9


@dataclass(slots=True)
class Peer:
    """Another entry host.

    It is heard until `timeout_s` after `last_heartbeat_at`. If this process was paused,
    that one may have arrived at `received_since` already. It is also live until
    `listed_until`, by the list of an owner of its data centre. `live_hosts` is the last
    list that it sent, `down_at` when its process was last known to have ended.
    """

    card: HostCard
    heartbeat: Heartbeat | None = None
    last_heartbeat_at: float = NEVER
    received_since: float = NEVER
    timeout_s: float = 0.0
    timeout_logged: bool = False
    listed_until: float = NEVER
    down_at: float = NEVER
    live_hosts: tuple[str, ...] = ()
    live_hosts_at: float = NEVER
    replied_at: float = NEVER
    phase: int = field(init=False)

    def __post_init__(self) -> None:
        self.phase = zlib.crc32(self.card.name.encode())

    @property
    def address(self) -> str:
        """The address at which the host accepts calls, as `IP:port`."""
        return f"{self.card.ip}:{self.card.port}"

    @property
    def has_ended(self) -> bool:
        """Return whether its process has ended since its last heartbeat."""
        return self.down_at > self.last_heartbeat_at

    @property
    def claims(self) -> tuple[Claim, ...]:
        """The claims of its last heartbeat; none if its process has ended since."""
        if self.heartbeat is None or self.has_ended:
            return ()
        return self.heartbeat.claims

    @property
    def is_leaving(self) -> bool:
        """Return whether its last heartbeat said that it shuts down."""
        return self.heartbeat is not None and self.heartbeat.leaving

    @property
    def hands_over(self) -> bool:
        """Return whether it leaves, and hands its shares over itself."""
        return self.heartbeat is not None and self.heartbeat.hands_over

    @property
    def queues(self) -> bool:
        """Return whether tasks waited there at its last heartbeat."""
        return self.heartbeat is not None and self.heartbeat.queued > 0

    def is_heard(self, now: float) -> bool:
        """Return whether its heartbeats arrive here."""
        return now - self.last_heartbeat_at < self.timeout_s

    def is_live(self, now: float) -> bool:
        """Return whether it is heard here, or by an owner of its data centre."""
        return self.is_heard(now) or now < self.listed_until

    def mark_down(self, now: float) -> None:
        """Forget its last signs of life: its process had ended at `now`."""
        self.last_heartbeat_at = self.listed_until = NEVER
        self.down_at = now

    def forget_leaving(self) -> None:
        """Discard a last heartbeat that announced leaving; the host has restarted."""
        if self.is_leaving:
            self.heartbeat = None

    def record(
        self, heartbeat: Heartbeat, now: float, received_since: float, timeout_s: float
    ) -> None:
        """Record a heartbeat that was read at `now`."""
        self.heartbeat = heartbeat
        self.last_heartbeat_at = now
        self.received_since = received_since
        self.timeout_s = timeout_s
        if heartbeat.claims:
            # Only its own heartbeats prove an owner to be live.
            self.listed_until = NEVER
        if not heartbeat.brief:
            self.live_hosts = heartbeat.live_hosts
            self.live_hosts_at = now


@dataclass(frozen=True, slots=True)
class HeartbeatParts:
    """What a heartbeat tells besides its sender's own state.

    `brief` leaves out the list of live hosts and the free capacity; `for_owners`
    includes what only owners use.
    """

    live_hosts: tuple[str, ...] = ()
    known_hosts: tuple[HostCard, ...] = ()
    brief: bool = False
    for_owners: bool = True


@dataclass(slots=True)
class Schedule:
    """What determines which peers are due; `ticks` counts rounds of heartbeats.

    `seeking` says that this host owns nothing and an owner of its data centre is
    missing or silent; it has been so since `seeking_since`. `seeks_everywhere` says
    that no host of the data centre is heard: this one may be cut off, or the only one.
    `has_news` says that owners are to be told of new jobs, `awaits` that callers of
    this host wait for jobs that are not new, `lacks_relay` that no owner of its data
    centre is heard that would pass that on. Hosts of the data centres in
    `evacuated` submit new jobs to all owners, so they have to hear them often.
    """

    ticks: int = 0
    is_owner: bool = False
    has_news: bool = False
    awaits: bool = False
    lacks_relay: bool = False
    seeking: bool = False
    seeks_everywhere: bool = False
    seeking_since: float = NEVER
    evacuated: frozenset[str] = frozenset()

    def advance(
        self, is_owner: bool, seeking: bool, hears_local: bool, now: float
    ) -> None:
        """Begin the next round."""
        self.ticks += 1
        self.is_owner = is_owner
        if seeking and not self.seeking:
            self.seeking_since = now
        self.seeking = seeking
        sought_s = now - self.seeking_since
        self.seeks_everywhere = seeking and not hears_local and sought_s >= ALONE_S


def seeks_owner(dc: str, peers: Iterable[Peer], now: float) -> bool:
    """Return whether a share of a data centre has no owner that was heard lately."""
    claims = [(c, p) for p in peers for c in p.claims if c.share.dc == dc]
    if not claims:
        return True
    newest = max(claims, key=lambda entry: entry[0].fence)[0]
    holders: dict[int, tuple[int, Peer]] = {}
    for claim, peer in claims:
        if claim.share_count != newest.share_count:
            continue
        known = holders.get(claim.share.index)
        if known is None or claim.fence > known[0]:
            holders[claim.share.index] = (claim.fence, peer)
    return len(holders) < newest.share_count or any(
        now - peer.last_heartbeat_at > _silent_after_s(dc, peer)
        for _, peer in holders.values()
    )


def _silent_after_s(dc: str, peer: Peer) -> float:
    return SILENT_OWNER_S if peer.card.dc == dc else peer.timeout_s


def due_peers(
    schedule: Schedule, dc: str, peers: Iterable[Peer], now: float
) -> Iterator[tuple[Peer, bool]]:
    """Yield the peers that are due in this round, and whether for a full heartbeat.

    `dc` is this host's data centre.
    """
    for peer in peers:
        ticks = _interval(schedule, dc, peer, now)
        if ticks and (schedule.ticks + peer.phase) % ticks == 0:
            is_full_round = (schedule.ticks + peer.phase) % FULL_TICKS < ticks
            # Remote hosts that own nothing use only the claims and the version.
            yield peer, schedule.seeking or (is_full_round and ticks < REMOTE_TICKS)


def _interval(schedule: Schedule, dc: str, peer: Peer, now: float) -> int:
    """Return the ticks between heartbeats to a peer; 0 for none."""
    if schedule.is_owner:
        is_local = peer.card.dc == dc
        if peer.card.dc in schedule.evacuated and not is_local and not peer.claims:
            # It sends no heartbeats to this host, so its liveness is unknown.
            return REPORT_TICKS
        if not peer.is_live(now):
            return REMOTE_TICKS
        if peer.claims and (schedule.has_news or is_local):
            return 1
        return LOCAL_TICKS if peer.claims or is_local else REMOTE_TICKS
    # The data centre of a seed is not known.
    if schedule.seeking and (schedule.seeks_everywhere or peer.card.dc in (dc, "")):
        often = now - schedule.seeking_since < SEEK_OFTEN_S
        return LOCAL_TICKS if often else REPORT_TICKS
    if schedule.awaits and schedule.lacks_relay and peer.claims:
        return LOCAL_TICKS if peer.is_live(now) else 0
    serves = any(claim.share.dc == dc for claim in peer.claims)
    if not (serves and peer.is_heard(now)):
        return 0
    return LOCAL_TICKS if schedule.awaits else REPORT_TICKS


def sample_cards(
    cards: Iterable[HostCard], targets: list[Peer], round_: int
) -> tuple[HostCard, ...]:
    """Return some of the cards, others in each round; a single target's peers first."""
    found = tuple(cards)
    if len(targets) == 1:
        dc = targets[0].card.dc
        found = tuple(card for card in found if card.dc == dc) or found
    if not found:
        return ()
    start = round_ * MAX_CARDS % len(found)
    return (found + found)[start : start + min(MAX_CARDS, len(found))]
