"""Who the other entry hosts are and how they fare.

Within a data centre every host exchanges heartbeats with every other. Across data
centres each host follows `cfg.cross_dc` hosts of each, chosen by rendezvous hash,
and takes the state of the others from them; so traffic grows with the size of the
own data centre and the number of data centres, not with the number of hosts.
"""

import logging
from collections.abc import Iterable
from itertools import groupby

from monsoongap.coordination.membership_messages import Heartbeat, Member, Members
from monsoongap.coordination.parts import HostIdentity, PeerInfo, PeerStatus
from monsoongap.protocol.messages import HostEntry
from monsoongap.settings import PeersSection
from monsoongap.state.peers import (
    Heard,
    PeerRecord,
    PeerTable,
    members_hash,
)
from monsoongap.timers import TimerService
from monsoongap.util import rendezvous

log = logging.getLogger(__name__)

PEER_FORGET_S = 60.0
REMOTE_PERIOD_FACTOR = 2


class Peers:
    """The table of peers with the rules for their status."""

    def __init__(
        self,
        cfg: PeersSection,
        identity: HostIdentity,
        address: str,
        timers: TimerService,
    ) -> None:
        self._cfg = cfg
        self._own = identity
        self._address = address
        self._timers = timers
        self._table = PeerTable()
        self._view: tuple[PeerInfo, ...] = ()
        self._by_name: dict[str, PeerInfo] = {}

    def add_bootstrap(self) -> None:
        """Take up the peers that the settings name."""
        for text in self._cfg.bootstrap:
            name, dc, address = text.split("=", 2)
            if name != self._own.name:
                self._table.add(name, dc, address, self._timers.now())

    def view(self) -> tuple[PeerInfo, ...]:
        """Return every peer, in name order, as of the last `refresh`."""
        return self._view

    def get(self, name: str) -> PeerInfo | None:
        """Return one peer as of the last `refresh`, or None."""
        return self._by_name.get(name)

    def address_of(self, name: str) -> str | None:
        """Return the address for calls to a peer, or None."""
        record = self._table.get(name)
        return record.address if record is not None and record.address else None

    def refresh(self) -> bool:
        """Work out every status anew; True when one changed."""
        now = self._timers.now()
        view = tuple(self._info(record, now) for record in self._table.all())
        if view == self._view:
            return False
        for info in view:
            self._log_change(self._by_name.get(info.name), info)
        self._view = view
        self._by_name = {info.name: info for info in view}
        return True

    def apply_list(self, entries: Iterable[HostEntry]) -> None:
        """Take up the listed hosts and forget unlisted ones that do not answer."""
        now = self._timers.now()
        listed = {
            entry.name: entry for entry in entries if entry.name != self._own.name
        }
        for entry in listed.values():
            record = self._table.add(entry.name, entry.dc, entry.address, now)
            record.dc = entry.dc
            record.address = entry.address
            record.list_leaving = entry.leaving
        for record in self._table.all():
            record.listed = record.name in listed
        gone = [record for record in self._table.all() if self._is_gone(record, now)]
        for record in gone[: max(1, len(self._table) // 10)]:
            self._table.remove(record.name)
            log.info("peer removed", extra={"peer": record.name})

    def learn(self, beat: Heartbeat) -> Heard:
        """Take up a peer's heartbeat."""
        now = self._timers.now()
        record = self._table.add(beat.sender, beat.dc, beat.address, now)
        if beat.address and not record.listed:
            record.address = beat.address
        return self._table.heard(beat.sender, beat.boot, beat.draining, now)

    def learn_news(self, sender: str, boot: int, draining: bool) -> Heard:
        """Take up a peer's word about itself; unknown senders are ignored."""
        if self._table.get(sender) is None:
            return Heard.OLDER_BOOT
        return self._table.heard(sender, boot, draining, self._timers.now())

    def learn_members(self, relay: str, members: Members) -> None:
        """Take up which hosts of its data centre answer the peer `relay`."""
        names = frozenset(member.name for member in members.members)
        self.adopt(members.members)
        if members.dc != self._own.dc:
            self._table.told(relay, members.dc, names)

    def adopt(self, members: Iterable[Member]) -> None:
        """Take up hosts that a peer knows; own observation outranks its word."""
        now = self._timers.now()
        for member in members:
            if member.name == self._own.name:
                continue
            record = self._table.add(member.name, member.dc, member.address, now)
            if member.boot >= record.boot and not self._is_fresh(record, now):
                record.boot = member.boot
                record.draining = member.draining

    def known(self, draining: bool) -> tuple[Member, ...]:
        """Return all known hosts, this one included, for a starting host."""
        return (self._self(draining), *map(_member, self._table.all()))

    def answering(self, draining: bool) -> Members:
        """Return the hosts of this data centre that answer, this one included."""
        now = self._timers.now()
        local = self._table.of_dc(self._own.dc)
        fresh = (_member(record) for record in local if self._is_fresh(record, now))
        return Members(self._own.dc, (self._self(draining), *fresh))

    def answering_hash(self, draining: bool) -> bytes:
        """Hash what `answering` returns."""
        members = self.answering(draining).members
        return members_hash([(one.name, one.boot, one.draining) for one in members])

    def to_follow(self) -> frozenset[str]:
        """Choose the hosts to exchange heartbeats with."""
        chosen: set[str] = set()
        by_dc = sorted(self._table.all(), key=lambda record: record.dc)
        for dc, group in groupby(by_dc, key=lambda record: record.dc):
            names = [record.name for record in group]
            chosen.update(names if dc == self._own.dc else self._choose(names))
        return frozenset(chosen)

    def reachable(self, dc: str | None = None) -> list[str]:
        """Return the peers heard lately, of one data centre or of all."""
        now = self._timers.now()
        return [
            record.name
            for record in self._table.all()
            if (dc is None or record.dc == dc) and self._is_fresh(record, now)
        ]

    def _choose(self, names: list[str]) -> list[str]:
        """Choose hosts of another data centre, going past those that are silent."""
        now = self._timers.now()
        chosen: list[str] = []
        answering = 0
        for name in rendezvous.order(self._own.name, frozenset(names)):
            if answering >= self._cfg.cross_dc or len(chosen) >= 2 * self._cfg.cross_dc:
                break
            chosen.append(name)
            record = self._table.get(name)
            answering += record is not None and self._is_fresh(record, now)
        return chosen

    def _info(self, record: PeerRecord, now: float) -> PeerInfo:
        return PeerInfo(
            record.name,
            record.dc,
            record.address,
            record.boot,
            self._status(record, now),
        )

    def _status(self, record: PeerRecord, now: float) -> PeerStatus:
        if not self._is_fresh(record, now) and not self._is_vouched_for(record, now):
            return PeerStatus.SUSPECT
        if record.draining or record.list_leaving:
            return PeerStatus.LEAVING
        return PeerStatus.LIVE

    def _is_fresh(self, record: PeerRecord, now: float) -> bool:
        factor = 1 if record.dc == self._own.dc else REMOTE_PERIOD_FACTOR
        return now - record.heard_at <= factor * self._cfg.suspect_after_s

    def _is_vouched_for(self, record: PeerRecord, now: float) -> bool:
        """Tell whether a host of its data centre that answers says it does too."""
        relays = (self._table.get(name) for name in record.told_by)
        return any(relay is not None and self._is_fresh(relay, now) for relay in relays)

    def _is_gone(self, record: PeerRecord, now: float) -> bool:
        silent_s = now - max(record.heard_at, record.known_at)
        vouched = self._is_vouched_for(record, now)
        return not record.listed and not vouched and silent_s > PEER_FORGET_S

    def _self(self, draining: bool) -> Member:
        own = self._own
        return Member(own.name, own.dc, self._address, own.boot, draining)

    def _log_change(self, before: PeerInfo | None, after: PeerInfo) -> None:
        status_before = before.status.value if before is not None else "unknown"
        if status_before == after.status.value and before and before.boot == after.boot:
            return
        extra = {
            "peer": after.name,
            "boot": after.boot,
            "status": after.status.value,
            "reason": f"was {status_before}",
        }
        log.info("peer changed", extra=extra)


def _member(record: PeerRecord) -> Member:
    return Member(record.name, record.dc, record.address, record.boot, record.draining)
