"""Membership: which entry hosts are live, detected by heartbeats.

An owner sends heartbeats often to the hosts of its data centre and to other owners; all
other hosts send them seldom, so that a host's cost grows with the number of owners.
Each heartbeat lists the hosts whose heartbeats its sender receives, so that a broken
connection can be distinguished from a dead host.
"""

import logging
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import msgspec

from monsoongap.coordination.ports import DatagramPort
from monsoongap.protocol.decoding import Malformed, decode_msgpack
from monsoongap.protocol.messages import Heartbeat, HostCard
from monsoongap.timers import TimerService

log = logging.getLogger(__name__)

# A killed owner is detected at once by refused connections. The timeouts detect power
# loss, network partitions and paused processes, and exceed the lag of an event loop.
HEARTBEAT_S = 0.1
OWNER_TIMEOUT_S = 0.7
# Owners of other data centres only lend, so detecting their failure is not urgent.
REMOTE_OWNER_TIMEOUT_S = 1.0
# Hosts that own no share only matter for choosing the next owner.
LOCAL_HEARTBEAT_TICKS = 5
LOCAL_TIMEOUT_S = 1.6
REMOTE_HEARTBEAT_TICKS = 20
REMOTE_TIMEOUT_S = 6.0
# Hosts that are not live are sent a heartbeat at this interval.
UNRESPONSIVE_HEARTBEAT_TICKS = 20
REMOVE_PEER_AFTER_S = 60.0
MAX_CARDS = 6
# Cards of other hosts are included in one of this many rounds of heartbeats.
CARDS_TICKS = 10


@dataclass(slots=True)
class Peer:
    """Another entry host.

    It is live until `timeout_s` after `last_heartbeat_at`.
    """

    card: HostCard
    heartbeat: Heartbeat | None = None
    last_heartbeat_at: float = -1e9
    timeout_s: float = 0.0
    timeout_logged: bool = False

    @property
    def address(self) -> str:
        """The address at which the host accepts calls, as `IP:port`."""
        return f"{self.card.ip}:{self.card.port}"


@dataclass(slots=True)
class MemberCounts:
    """Counts of the heartbeats of this host, for the metrics."""

    sent: int = 0
    received: int = 0
    malformed: int = 0


@dataclass(slots=True)
class Members:
    """The other entry hosts known to this one.

    `on_heartbeat` is called with a peer and whether it was not live before.
    """

    card: HostCard
    timers: TimerService
    datagrams: DatagramPort
    make_heartbeat: Callable[[tuple[str, ...], tuple[HostCard, ...]], Heartbeat]
    on_heartbeat: Callable[[Peer, bool], None]
    is_owner: Callable[[], bool]
    counts: MemberCounts = field(default_factory=MemberCounts)
    _peers: dict[str, Peer] = field(default_factory=dict)
    _ticks: int = 0

    def start(self) -> None:
        """Start sending heartbeats."""
        self.timers.every(HEARTBEAT_S, self._tick, "beat")

    def add_hosts(self, cards: tuple[HostCard, ...]) -> None:
        """Add hosts listed by the settings, the store or a peer.

        A host's own heartbeat outranks a card from elsewhere, which may be wrong.
        """
        now = self.timers.now()
        for card in cards:
            peer = self._peers.get(card.name)
            if card.name == self.card.name:
                continue
            is_newer = peer is not None and peer.card.boot_ms < card.boot_ms
            if peer is None or (is_newer and not self._is_live(peer, now)):
                self._peers[card.name] = Peer(card)

    def all(self) -> Iterator[Peer]:
        """Yield every known host, live or not."""
        return iter(list(self._peers.values()))

    def live(self) -> Iterator[Peer]:
        """Yield the hosts that are live now."""
        now = self.timers.now()
        return (p for p in self._peers.values() if self._is_live(p, now))

    def peer(self, name: str) -> Peer | None:
        """Return a host by name, live or not."""
        return self._peers.get(name)

    def is_live(self, name: str) -> bool:
        """Return whether a host is live now."""
        peer = self._peers.get(name)
        return peer is not None and self._is_live(peer, self.timers.now())

    def knows_any(self) -> bool:
        """Return whether any other host is known, live or not."""
        return bool(self._peers)

    def is_live_for_others(self, name: str) -> bool:
        """Return whether another live host receives heartbeats of a host."""
        return any(
            name in p.heartbeat.live_hosts
            for p in self.live()
            if p.heartbeat is not None and p.card.name != name
        )

    def mark_down(self, name: str) -> None:
        """Mark a host as not live: it refused a connection, so its process exited."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.last_heartbeat_at = -1e9
            self._check_owner_timeouts(self.timers.now())

    def send_heartbeats(self) -> None:
        """Send a heartbeat to every live host now."""
        self._send(self.live())

    def send_heartbeat_to(self, peer: Peer) -> None:
        """Send a heartbeat to a host that became live; it may not know this one."""
        self._send(iter((peer,)))

    def send_heartbeats_to_owners(self) -> None:
        """Send a heartbeat to every live owner now."""
        self._send(
            p for p in self.live() if p.heartbeat is not None and p.heartbeat.claims
        )

    def receive(self, payload: bytes) -> None:
        """Process a datagram; one that cannot be decoded is counted and ignored."""
        try:
            heartbeat = decode_msgpack(payload, Heartbeat)
        except Malformed as exc:
            self.counts.malformed += 1
            log.debug(
                "datagram is not a valid heartbeat; ignoring it",
                extra={"error": str(exc)},
            )
            return
        self.counts.received += 1
        if heartbeat.card.name == self.card.name:
            return
        now = self.timers.now()
        peer = self._peers.get(heartbeat.card.name)
        if peer is not None and peer.heartbeat is not None:
            known, received = peer.heartbeat, heartbeat
            if (received.card.boot_ms, received.serial) <= (
                known.card.boot_ms,
                known.serial,
            ):
                return
        if peer is None or peer.card != heartbeat.card:
            peer = self._peers[heartbeat.card.name] = Peer(heartbeat.card)
        was_live = self._is_live(peer, now)
        if not was_live:
            log.info(
                "host became live",
                extra={"peer": heartbeat.card.name, "dc": heartbeat.card.dc},
            )
        peer.heartbeat = heartbeat
        peer.last_heartbeat_at = now
        peer.timeout_s = self._timeout_after(heartbeat)
        self.add_hosts(heartbeat.known_hosts)
        self.on_heartbeat(peer, not was_live)

    def _is_live(self, peer: Peer, now: float) -> bool:
        return now - peer.last_heartbeat_at < peer.timeout_s

    def _timeout_after(self, heartbeat: Heartbeat) -> float:
        """Return for how many seconds the sender stays live after a heartbeat."""
        if heartbeat.card.dc == self.card.dc:
            return OWNER_TIMEOUT_S if heartbeat.claims else LOCAL_TIMEOUT_S
        # Owners send heartbeats often to each other, and seldom to other remote hosts.
        both_own = bool(heartbeat.claims) and self.is_owner()
        return REMOTE_OWNER_TIMEOUT_S if both_own else REMOTE_TIMEOUT_S

    def _tick(self) -> None:
        self._ticks += 1
        now = self.timers.now()
        self._check_owner_timeouts(now)
        for name, peer in list(self._peers.items()):
            if (
                peer.heartbeat is not None
                and now - peer.last_heartbeat_at > REMOVE_PEER_AFTER_S
            ):
                del self._peers[name]
        self._send(p for p in self._peers.values() if self._is_due(p, now))

    def _is_due(self, peer: Peer, now: float) -> bool:
        if not self._is_live(peer, now):
            is_starting = self._ticks < UNRESPONSIVE_HEARTBEAT_TICKS
            return is_starting or self._ticks % UNRESPONSIVE_HEARTBEAT_TICKS == 0
        is_local = peer.card.dc == self.card.dc
        peer_owns = peer.heartbeat is not None and bool(peer.heartbeat.claims)
        if self.is_owner() and (is_local or peer_owns):
            return True
        if is_local:
            return self._ticks % LOCAL_HEARTBEAT_TICKS == 0
        # Remote hosts need no heartbeats from each other if neither is an owner.
        either_owns = self.is_owner() or peer_owns
        return either_owns and self._ticks % REMOTE_HEARTBEAT_TICKS == 0

    def _check_owner_timeouts(self, now: float) -> None:
        """Log owners of this data centre that timed out, and notify its hosts."""
        any_timed_out = False
        for peer in self._peers.values():
            owns_share = peer.heartbeat is not None and bool(peer.heartbeat.claims)
            if not owns_share or peer.card.dc != self.card.dc:
                continue
            timed_out = not self._is_live(peer, now)
            if timed_out and not peer.timeout_logged:
                log.warning("owner is no longer live", extra={"owner": peer.card.name})
                any_timed_out = True
            peer.timeout_logged = timed_out
        if any_timed_out:
            self._send(p for p in self.live() if p.card.dc == self.card.dc)

    def _send(self, peers: Iterator[Peer]) -> None:
        targets = list(peers)
        if not targets:
            return
        live = list(self.live())
        live_hosts = tuple(p.card.name for p in live if p.card.dc == self.card.dc)
        sample: tuple[HostCard, ...] = ()
        if live and self._ticks % CARDS_TICKS == 0:
            cards = tuple(p.card for p in live)
            start = self._ticks // CARDS_TICKS % len(cards)
            sample = (cards + cards)[start : start + min(MAX_CARDS, len(cards))]
        heartbeat = msgspec.msgpack.encode(self.make_heartbeat(live_hosts, sample))
        for peer in targets:
            self.datagrams.send((peer.card.ip, peer.card.port), heartbeat)
            self.counts.sent += 1
