"""Membership: which entry hosts are live, detected by heartbeats.

`monsoongap.coordination.heartbeats` decides which hosts are sent one, and how often.
Hosts that own no share send theirs to the owners of their data centre only, and learn
from an owner's list which other hosts of the data centre are live. A full heartbeat
lists the hosts whose heartbeats its sender receives, so that a broken connection can be
distinguished from a dead host.
"""

import logging
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import msgspec

from monsoongap.coordination.heartbeats import (
    IN_TOUCH_S,
    NEVER,
    SILENT_RELAY_S,
    HeartbeatParts,
    Peer,
    Schedule,
    due_peers,
    sample_cards,
    seeks_owner,
)
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
LOCAL_TIMEOUT_S = 1.6
REMOTE_TIMEOUT_S = 6.0
REMOVE_PEER_AFTER_S = 60.0
REMOVE_TICKS = 50
# A list of live hosts tells whether a silent owner is heard by others only this long.
LIST_FRESH_S = 0.5
# An owner that lists a host heard that it does not leave, or not that it leaves yet.
RETURNED_S = 0.5
# Replies to hosts that do not hear an owner are not sent more often than this.
REPLY_INTERVAL_S = 0.1
# Cards of other hosts are included in one of this many rounds of heartbeats.
CARDS_TICKS = 10


@dataclass(slots=True)
class MemberCounts:
    """Counts of the heartbeats of this host, for the metrics."""

    sent: int = 0
    received: int = 0
    malformed: int = 0
    bytes_sent: int = 0


@dataclass(slots=True)
class Members:
    """The other entry hosts known to this one.

    `on_heartbeat` is called with a peer and whether it was not live before,
    `on_owner_lost` when an owner of this data centre timed out. `has_news` tells
    whether there are new jobs of which other owners are to be told, `awaits` whether
    callers here wait for older ones. `evacuated` returns the evacuated data centres.
    """

    card: HostCard
    timers: TimerService
    datagrams: DatagramPort
    make_heartbeat: Callable[[HeartbeatParts], Heartbeat]
    on_heartbeat: Callable[[Peer, bool], None]
    is_owner: Callable[[], bool]
    on_owner_lost: Callable[[], None] = lambda: None
    has_news: Callable[[], bool] = lambda: True
    awaits: Callable[[], bool] = lambda: False
    evacuated: Callable[[], frozenset[str]] = frozenset
    counts: MemberCounts = field(default_factory=MemberCounts)
    # Whether the list of all hosts was read from the store since the start.
    lists_all_hosts: bool = False
    # When the last heartbeat of another host arrived, by its data centre.
    heard_at: dict[str, float] = field(default_factory=dict)
    _peers: dict[str, Peer] = field(default_factory=dict)
    _schedule: Schedule = field(default_factory=Schedule)

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
            if peer is None or (is_newer and not peer.is_live(now)):
                self._peers[card.name] = Peer(card)

    def all(self) -> Iterator[Peer]:
        """Yield every known host, live or not."""
        return iter(list(self._peers.values()))

    def live(self) -> Iterator[Peer]:
        """Yield the hosts that are live now."""
        now = self.timers.now()
        return (p for p in self._peers.values() if p.is_live(now))

    def live_owners(self) -> Iterator[Peer]:
        """Yield the live hosts that own a share."""
        return (p for p in self.live() if p.claims)

    def peer(self, name: str) -> Peer | None:
        """Return a host by name, live or not."""
        return self._peers.get(name)

    def is_live(self, name: str) -> bool:
        """Return whether a host is live now."""
        peer = self._peers.get(name)
        return peer is not None and peer.is_live(self.timers.now())

    def unheard_owners(self) -> tuple[str, ...]:
        """Return the names of owners whose heartbeats no longer arrive here.

        One that refused a connection has ended and is not among them.
        """
        oldest = self.timers.now() - IN_TOUCH_S
        return tuple(
            peer.card.name
            for peer in self._peers.values()
            if peer.claims and NEVER < peer.last_heartbeat_at < oldest
        )

    def knows_any(self) -> bool:
        """Return whether any other host is known whose process has not ended."""
        return not all(peer.has_ended for peer in self._peers.values())

    def is_live_for_others(self, name: str) -> bool:
        """Return whether another live host receives heartbeats of a host."""
        fresh_since = self.timers.now() - LIST_FRESH_S
        return any(
            name in p.live_hosts
            for p in self.live()
            if p.live_hosts_at >= fresh_since and p.card.name != name
        )

    def mark_down(self, name: str) -> None:
        """Mark a host as not live: it refused a connection, so its process exited."""
        peer = self._peers.get(name)
        if peer is not None:
            now = self.timers.now()
            peer.mark_down(now)
            self._check_owner_timeouts(now)

    def send_heartbeats(self) -> None:
        """Send a full heartbeat to every live host now."""
        self._send(self.live())

    def send_heartbeats_to_all(self) -> None:
        """Send a full heartbeat to every known host: this one is a new owner.

        Owners of other data centres reply, and only then are known here to be live.
        """
        self._send(self.all())

    def send_heartbeat_to(self, peer: Peer) -> None:
        """Send a heartbeat to a host that became live; it may not know this one."""
        self._send(iter((peer,)), cards=True)

    def send_heartbeats_to_owners(self) -> None:
        """Send a heartbeat to every live owner now."""
        self._send(self.live_owners())

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
        now = self.heard_at[heartbeat.card.dc] = self.timers.now()
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
        was_live = peer.is_live(now)
        if not was_live:
            log.info(
                "host became live",
                extra={"peer": heartbeat.card.name, "dc": heartbeat.card.dc},
            )
        received_since = self.timers.received_since()
        peer.record(heartbeat, now, received_since, self._timeout_after(heartbeat))
        if heartbeat.known_hosts:
            self.add_hosts(heartbeat.known_hosts)
        if not heartbeat.brief:
            self._apply_live_hosts(peer, now)
        self.on_heartbeat(peer, not was_live)

    def _apply_live_hosts(self, peer: Peer, now: float) -> None:
        """Use an owner's list of live hosts; tell others of owners heard here."""
        if peer.card.dc != self.card.dc:
            return
        if peer.claims:
            for name in peer.live_hosts:
                listed = self._peers.get(name)
                if listed is not None and not listed.claims:
                    listed.listed_until = now + LOCAL_TIMEOUT_S
                    if now - listed.last_heartbeat_at > RETURNED_S:
                        listed.forget_leaving()
            return
        is_reply_due = now - peer.replied_at >= REPLY_INTERVAL_S
        hears_all = all(
            p.card.name in peer.live_hosts
            for p in self.live_owners()
            if p.card.dc == self.card.dc and p is not peer
        )
        if not hears_all and is_reply_due:
            peer.replied_at = now
            self._send(iter((peer,)))

    def _timeout_after(self, heartbeat: Heartbeat) -> float:
        """Return for how many seconds the sender stays live after a heartbeat."""
        if heartbeat.card.dc == self.card.dc:
            return OWNER_TIMEOUT_S if heartbeat.claims else LOCAL_TIMEOUT_S
        # Owners send heartbeats often to each other, and seldom to other remote hosts.
        both_own = bool(heartbeat.claims) and self.is_owner()
        return REMOTE_OWNER_TIMEOUT_S if both_own else REMOTE_TIMEOUT_S

    def _tick(self) -> None:
        now = self.timers.now()
        self._check_owner_timeouts(now)
        if self._schedule.ticks % REMOVE_TICKS == 0:
            self._remove_silent(now)
        heard = [p for p in self._peers.values() if p.heartbeat is not None]
        is_owner = self.is_owner()
        seeking = not is_owner and seeks_owner(self.card.dc, heard, now)
        hears_local = any(p.card.dc == self.card.dc and p.is_live(now) for p in heard)
        self._schedule.advance(is_owner, seeking, hears_local, now)
        self._schedule.has_news = self.has_news()
        self._schedule.awaits = self.awaits()
        self._schedule.lacks_relay = not any(
            p.claims
            and p.card.dc == self.card.dc
            and now - p.last_heartbeat_at < SILENT_RELAY_S
            for p in heard
        )
        self._schedule.evacuated = self.evacuated()
        peers = self._peers.values() if is_owner or seeking else heard
        due = list(due_peers(self._schedule, self.card.dc, peers, now))
        for full in (False, True):
            self._send((p for p, is_full in due if is_full is full), full)

    def _remove_silent(self, now: float) -> None:
        """Remove the hosts that were heard once and not for a long time."""
        for name, peer in list(self._peers.items()):
            # One that has restarted is listed by name soon, maybe before its card.
            last = max(peer.last_heartbeat_at, peer.down_at)
            silent = peer.heartbeat is not None and not peer.is_live(now)
            if silent and now - last > REMOVE_PEER_AFTER_S:
                del self._peers[name]

    def _check_owner_timeouts(self, now: float) -> None:
        """Log owners of this data centre that timed out, and notify its hosts."""
        any_timed_out = False
        for peer in self._peers.values():
            is_local = peer.card.dc == self.card.dc
            if not (is_local and peer.heartbeat and peer.heartbeat.claims):
                continue
            timed_out = not peer.is_live(now)
            if timed_out and not peer.timeout_logged:
                log.warning("owner is no longer live", extra={"owner": peer.card.name})
                any_timed_out = True
            peer.timeout_logged = timed_out
        if any_timed_out:
            self._send(p for p in self.live() if p.card.dc == self.card.dc)
            self.on_owner_lost()

    def _send(
        self, peers: Iterator[Peer], full: bool = True, cards: bool = False
    ) -> None:
        """Send one heartbeat to each of some hosts; `cards` includes known hosts."""
        owners: list[Peer] = []
        others: list[Peer] = []
        for peer in peers:
            (owners if peer.claims else others).append(peer)
        for targets, for_owners in ((owners, True), (others, False)):
            if not targets:
                continue
            live_hosts = self._heard_hosts() if full else ()
            with_cards = full and (cards or self._schedule.ticks % CARDS_TICKS == 0)
            cards_of_live = (p.card for p in self.live()) if with_cards else ()
            known_hosts = sample_cards(
                cards_of_live, targets, self._schedule.ticks // CARDS_TICKS
            )
            parts = HeartbeatParts(live_hosts, known_hosts, not full, for_owners)
            payload = msgspec.msgpack.encode(self.make_heartbeat(parts))
            for peer in targets:
                self.datagrams.send((peer.card.ip, peer.card.port), payload)
            self.counts.sent += len(targets)
            self.counts.bytes_sent += len(targets) * len(payload)

    def _heard_hosts(self) -> tuple[str, ...]:
        """Return the hosts of this data centre that send heartbeats to this one."""
        now = self.timers.now()
        return tuple(
            p.card.name
            for p in self._peers.values()
            if p.card.dc == self.card.dc and p.is_heard(now) and not p.is_leaving
        )
