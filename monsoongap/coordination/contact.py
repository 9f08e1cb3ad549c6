"""Which hosts and data centres this host hears, for log lines."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from monsoongap.coordination.heartbeats import IN_TOUCH_S, NEVER
from monsoongap.coordination.ownership import Ownership
from monsoongap.protocol.messages import ShareId
from monsoongap.timers import MS_PER_S

# Many jobs start in one turn of the loop.
CACHE_S = 0.05


@dataclass(slots=True)
class Contact:
    """What this host hears of others. It decides nothing."""

    ownership: Ownership
    _silent_dcs: Mapping[str, int | None] = field(default_factory=dict)
    _checked_at: float = NEVER

    def silent_dcs(self) -> Mapping[str, int | None]:
        """Return the data centres out of touch, each with the ms since it was heard.

        None stands for one of which no host was ever heard. A data centre is also out
        of touch if a host of another one has taken it over and no host of it is heard.
        """
        now = self.ownership.timers.now()
        if now - self._checked_at >= CACHE_S:
            self._checked_at = now
            self._silent_dcs = self._find_silent_dcs(now)
        return self._silent_dcs

    def sender_fields(self, sender: str) -> dict[str, object]:
        """Return whether a host is live, and the ms since it was last heard, if ever.

        Hosts of other data centres that own nothing send no heartbeats to this one.
        """
        members = self.ownership.members
        peer = members.peer(sender)
        heard_at = NEVER if peer is None else peer.last_heartbeat_at
        return {
            "live": members.is_live(sender),
            "heard_ms": _age_ms(self.ownership.timers.now(), heard_at),
        }

    def _find_silent_dcs(self, now: float) -> dict[str, int | None]:
        heard_at: dict[str, float] = {}
        for peer in self.ownership.members.all():
            dc = peer.card.dc
            heard_at[dc] = max(heard_at.get(dc, NEVER), peer.last_heartbeat_at)
        oldest = now - IN_TOUCH_S
        return {
            share.dc: _age_ms(now, heard_at.get(share.dc, NEVER))
            for share in self.ownership.all_shares()
            if not self._is_heard(share, heard_at.get(share.dc), oldest)
        }

    def _is_heard(
        self, share: ShareId, dc_heard_at: float | None, oldest: float
    ) -> bool:
        """Return whether the owner of a share, or a host of its data centre, is heard.

        `dc_heard_at` is None if no host of the data centre is known.
        """
        owner = self.ownership.owner_of(share)
        if owner is None:
            return False
        if owner.peer is not None and owner.peer.last_heartbeat_at < oldest:
            return False
        is_own = share.dc == self.ownership.members.card.dc
        return is_own or dc_heard_at is None or dc_heard_at >= oldest


def _age_ms(now: float, heard_at: float) -> int | None:
    return None if heard_at == NEVER else round((now - heard_at) * MS_PER_S)
