"""Which entry hosts live, told by heartbeats.

An owner beats often to its data centre and to other owners, all others beat seldom,
so what a host spends grows with the number of owners. A host says in each beat whom
it hears, so that one broken link is told from a dead host.
"""

import logging
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import msgspec

from monsoongap.coordination.ports import DatagramPort
from monsoongap.protocol.messages import Heartbeat, HostCard
from monsoongap.timers import TimerService

log = logging.getLogger(__name__)

# A killed owner is known by refused connections at once; silence has to tell of lost
# power, cuts and freezes, and must not be taken for a loop that is late.
BEAT_S = 0.1
SILENT_S = 0.7
# Owners of other data centres only lend; losing sight of one is no haste.
FAR_OWNER_SILENT_S = 1.0
# Hosts that own nothing take part in the next choice of an owner, no more.
NEAR_BEAT_EVERY = 5
NEAR_SILENT_S = 1.6
FAR_BEAT_EVERY = 20
FAR_SILENT_S = 6.0
# A host known by its card only is tried at this pace until it answers.
UNHEARD_BEAT_EVERY = 20
FORGET_S = 60.0
KNOWN_CARDS = 6
# Other hosts are named in every so many rounds of beats only.
CARDS_EVERY = 10


@dataclass(slots=True)
class Peer:
    """What this host knows of another one."""

    card: HostCard
    heartbeat: Heartbeat | None = None
    last_heartbeat_at: float = -1e9
    silent_s: float = 0.0
    told_silent: bool = False

    @property
    def address(self) -> str:
        """Where the host takes calls, as `IP:port`."""
        return f"{self.card.ip}:{self.card.port}"


@dataclass(slots=True)
class MemberCounts:
    """Heartbeats of this host, for the metrics."""

    sent: int = 0
    received: int = 0
    malformed: int = 0


@dataclass(slots=True)
class Members:
    """The hosts this one knows, itself left out."""

    card: HostCard
    timers: TimerService
    datagrams: DatagramPort
    make_beat: Callable[[tuple[str, ...], tuple[HostCard, ...]], Heartbeat]
    on_beat: Callable[[Peer, bool], None]
    is_owner: Callable[[], bool]
    counts: MemberCounts = field(default_factory=MemberCounts)
    _peers: dict[str, Peer] = field(default_factory=dict)
    _ticks: int = 0

    def start(self) -> None:
        """Begin to beat."""
        self.timers.every(BEAT_S, self._tick, "beat")

    def add_hosts(self, cards: tuple[HostCard, ...]) -> None:
        """Add hosts that were named by the store or by a peer."""
        for card in cards:
            known = self._peers.get(card.name)
            if card.name == self.card.name:
                continue
            if known is None or known.card.boot_ms < card.boot_ms:
                self._peers[card.name] = Peer(card)

    def all(self) -> Iterator[Peer]:
        """Yield every known host, live or not."""
        return iter(list(self._peers.values()))

    def live(self) -> Iterator[Peer]:
        """Yield the hosts that are heard now."""
        now = self.timers.now()
        return (p for p in self._peers.values() if self._is_live(p, now))

    def peer(self, name: str) -> Peer | None:
        """Return a host by name, live or not."""
        return self._peers.get(name)

    def is_live(self, name: str) -> bool:
        """Tell whether a host is heard now."""
        peer = self._peers.get(name)
        return peer is not None and self._is_live(peer, self.timers.now())

    def knows_any(self) -> bool:
        """Tell whether any other host is known, live or not."""
        return bool(self._peers)

    def heard_by_others(self, name: str) -> bool:
        """Tell whether a live host hears the host of that name."""
        return any(
            name in p.heartbeat.live_hosts
            for p in self.live()
            if p.heartbeat is not None and p.card.name != name
        )

    def lost(self, name: str) -> None:
        """Take note that a connection to a host was refused: its process is gone."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.last_heartbeat_at = -1e9
            self._note_silence(self.timers.now())

    def beat_now(self) -> None:
        """Send a beat to every live host outside the usual pace."""
        self._send(self.live())

    def greet(self, peer: Peer) -> None:
        """Send a beat to a host that was just heard, which may not hear this one."""
        self._send(iter((peer,)))

    def beat_to_owners(self) -> None:
        """Send a beat to every owner outside the usual pace."""
        self._send(
            p for p in self.live() if p.heartbeat is not None and p.heartbeat.claims
        )

    def receive(self, payload: bytes) -> None:
        """Take in a datagram."""
        try:
            beat = msgspec.msgpack.decode(payload, type=Heartbeat)
        except msgspec.MsgspecError as exc:
            self.counts.malformed += 1
            log.debug("datagram not understood", extra={"error": str(exc)})
            return
        self.counts.received += 1
        if beat.card.name == self.card.name:
            return
        now = self.timers.now()
        known = self._peers.get(beat.card.name)
        fresh = known is None or known.card.boot_ms < beat.card.boot_ms
        if known is not None and known.card.boot_ms > beat.card.boot_ms:
            return
        if known is None or fresh:
            known = self._peers[beat.card.name] = Peer(beat.card)
        elif known.heartbeat is not None and beat.serial <= known.heartbeat.serial:
            return
        was_live = self._is_live(known, now)
        if not was_live:
            log.info("host heard", extra={"peer": beat.card.name, "dc": beat.card.dc})
        known.heartbeat = beat
        known.last_heartbeat_at = now
        known.silent_s = self._silent_after(beat)
        self.add_hosts(beat.known_hosts)
        self.on_beat(known, not was_live)

    def _is_live(self, peer: Peer, now: float) -> bool:
        return now - peer.last_heartbeat_at < peer.silent_s

    def _silent_after(self, beat: Heartbeat) -> float:
        """Return how long a host that beats like this may be silent."""
        if beat.card.dc == self.card.dc:
            return SILENT_S if beat.claims else NEAR_SILENT_S
        # Owners beat often to each other, and seldom to other hosts far away.
        both_own = bool(beat.claims) and self.is_owner()
        return FAR_OWNER_SILENT_S if both_own else FAR_SILENT_S

    def _tick(self) -> None:
        self._ticks += 1
        now = self.timers.now()
        self._note_silence(now)
        for name, peer in list(self._peers.items()):
            if peer.heartbeat is not None and now - peer.last_heartbeat_at > FORGET_S:
                del self._peers[name]
        self._send(p for p in self._peers.values() if self._is_due(p, now))

    def _is_due(self, peer: Peer, now: float) -> bool:
        if not self._is_live(peer, now):
            haste = self._ticks < UNHEARD_BEAT_EVERY
            return haste or self._ticks % UNHEARD_BEAT_EVERY == 0
        near = peer.card.dc == self.card.dc
        far_owner = peer.heartbeat is not None and bool(peer.heartbeat.claims)
        if self.is_owner() and (near or far_owner):
            return True
        if near:
            return self._ticks % NEAR_BEAT_EVERY == 0
        # Far hosts of which neither owns anything have nothing to tell each other.
        owner_there = self.is_owner() or far_owner
        return owner_there and self._ticks % FAR_BEAT_EVERY == 0

    def _note_silence(self, now: float) -> None:
        """Tell the others at once that an owner of this data centre went silent."""
        newly = False
        for peer in self._peers.values():
            owner = peer.heartbeat is not None and bool(peer.heartbeat.claims)
            if not owner or peer.card.dc != self.card.dc:
                continue
            silent = not self._is_live(peer, now)
            if silent and not peer.told_silent:
                log.warning("owner silent", extra={"owner": peer.card.name})
                newly = True
            peer.told_silent = silent
        if newly:
            self._send(p for p in self.live() if p.card.dc == self.card.dc)

    def _send(self, peers: Iterator[Peer]) -> None:
        targets = list(peers)
        if not targets:
            return
        live = list(self.live())
        hears = tuple(p.card.name for p in live if p.card.dc == self.card.dc)
        some: tuple[HostCard, ...] = ()
        if live and self._ticks % CARDS_EVERY == 0:
            known = tuple(p.card for p in live)
            start = self._ticks // CARDS_EVERY % len(known)
            some = (known + known)[start : start + min(KNOWN_CARDS, len(known))]
        beat = msgspec.msgpack.encode(self.make_beat(hears, some))
        for peer in targets:
            self.datagrams.send((peer.card.ip, peer.card.port), beat)
            self.counts.sent += 1
