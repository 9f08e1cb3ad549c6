"""Gets configurations from other hosts that the store has not delivered to this one.

A heartbeat announces its sender's version. A host that is behind asks one holder of a
newer version after the other, each on a new connection: idle ones may have gone silent
without an error. Hosts ask the holders in different orders, and the reply is packed, so
that the link of a single holder carries a large configuration to dozens of hosts.
"""

import asyncio
import logging
from dataclasses import dataclass, field

from monsoongap.coordination.members import Members, Peer
from monsoongap.coordination.ports import PeerCallFailed, PeerCallPort
from monsoongap.protocol.messages import ConfigCall, ConfigReply
from monsoongap.state.directory import Directory
from monsoongap.timers import TimerService
from monsoongap.util import rendezvous
from monsoongap.util.background import BackgroundTasks

log = logging.getLogger(__name__)

# The store delivers a change to all hosts that it serves within this time.
STORE_PRECEDENCE_S = 0.1
FETCH_TIMEOUT_S = 1.0
# A holder that has not replied by then may be unreachable: the next one is asked too.
NEXT_HOLDER_S = 0.3
MAX_FETCHES = 3
# Pause after all holders were asked in vain.
ROUND_PAUSE_S = 0.5


@dataclass(slots=True)
class ConfigFetcher:
    """Fetches configurations that are newer than the one in use."""

    members: Members
    peers: PeerCallPort
    directory: Directory
    timers: TimerService
    _catching_up: bool = False
    _background: BackgroundTasks = field(default_factory=BackgroundTasks)

    def version_announced(self, version: int) -> None:
        """Start to fetch if a live host has a newer configuration."""
        if version > self.directory.version and not self._catching_up:
            self._catching_up = True
            self._background.spawn(self._catch_up(), "configuration")

    def close(self) -> None:
        """Cancel all fetches."""
        self._background.cancel_all()

    async def _catch_up(self) -> None:
        """Ask holders of newer versions until no live host is ahead."""
        fetches: set[asyncio.Task[None]] = set()
        try:
            await self.timers.sleep(STORE_PRECEDENCE_S)
            asked: set[str] = set()
            while holders := self._holders():
                remaining = frozenset(holders.keys() - asked)
                if not remaining and not fetches:
                    asked.clear()
                    await self.timers.sleep(ROUND_PAUSE_S)
                    continue
                if remaining and len(fetches) < MAX_FETCHES:
                    name = rendezvous.choose(self.members.card.name, remaining)
                    asked.add(name)
                    fetches.add(asyncio.create_task(self.fetch_from(holders[name])))
                _, fetches = await asyncio.wait(
                    fetches,
                    timeout=NEXT_HOLDER_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
        finally:
            self._catching_up = False
            for fetch in fetches:
                fetch.cancel()

    def _holders(self) -> dict[str, Peer]:
        """Return the live hosts that have a newer configuration, by name."""
        return {
            peer.card.name: peer
            for peer in self.members.live()
            if peer.heartbeat is not None
            and peer.heartbeat.config_version > self.directory.version
        }

    async def fetch_from(self, peer: Peer) -> None:
        """Apply the configuration of a host if it is newer."""
        try:
            reply: ConfigReply = await self.peers.call(
                peer.address,
                ConfigCall(accepts_packed=True),
                ConfigReply,
                FETCH_TIMEOUT_S,
                fresh=True,
            )
            text = reply.unpack()
        except (PeerCallFailed, ValueError) as exc:
            self.directory.config_counts.fetches_failed += 1
            log.info(
                "configuration fetch failed; asking the next host",
                extra={"peer": peer.card.name, "reason": str(exc)},
            )
            return
        self.directory.accept_text(text, f"host {peer.card.name}")
