"""Gets configurations from other hosts that the store has not delivered to this one.

A heartbeat announces its sender's version. A host that is behind asks one holder of a
newer version after the other, each on a new connection: idle ones may have gone silent
without an error. Hosts ask the holders in different orders, and the reply is packed, so
that the link of a single holder carries a large configuration to dozens of hosts.
"""

import asyncio
import logging
from dataclasses import dataclass, field

from monsoongap.coordination.heartbeats import Peer
from monsoongap.coordination.members import Members
from monsoongap.coordination.ports import PeerCallFailed, PeerCallPort
from monsoongap.protocol.decoding import Malformed
from monsoongap.protocol.messages import ConfigCall, ConfigReply
from monsoongap.state.directory import Directory
from monsoongap.timers import MS_PER_S, TimerService
from monsoongap.util import rendezvous
from monsoongap.util.background import BackgroundTasks

log = logging.getLogger(__name__)

# The store delivers a change to all hosts that it serves within this time.
STORE_PRECEDENCE_S = 0.1
FETCH_TIMEOUT_S = 1.0
# A holder that has not replied by then may be unreachable: the next one is asked too.
NEXT_HOLDER_S = 0.3
MAX_FETCHES = 3
# A caller's deadline is 1.5 s; a new connection and a reply take a few milliseconds.
CALLER_WAIT_S = 0.5
POLL_S = 0.01
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
    _from_callers: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    _background: BackgroundTasks = field(default_factory=BackgroundTasks)

    def version_announced(self, version: int) -> None:
        """Start to fetch if a live host has a newer configuration."""
        if version > self.directory.version and not self._catching_up:
            self._catching_up = True
            self._background.spawn(self._catch_up(), "configuration")

    def close(self) -> None:
        """Cancel all fetches."""
        self._background.cancel_all()

    async def wait_for(self, version: int, caller: str) -> bool:
        """Wait a limited time for a caller's configuration; return if it is in use.

        The caller has it, and can be reached: it is asked at once.
        """
        if self.directory.version >= version:
            return True
        self.directory.config_counts.behind_caller += 1
        started_at = self.timers.now()
        asked = False
        while (
            self.directory.version < version
            and self.timers.now() - started_at < CALLER_WAIT_S
        ):
            asked = asked or self._fetch_from_caller(caller)
            await self.timers.sleep(POLL_S)
        log.info(
            "caller has a newer configuration; waited for it",
            extra={
                "caller": caller or None,
                "needed": version,
                "version": self.directory.version,
                "waited_ms": round((self.timers.now() - started_at) * MS_PER_S),
            },
        )
        return self.directory.version >= version

    def _fetch_from_caller(self, caller: str) -> bool:
        """Fetch from a caller; return False if other callers have to be awaited first.

        Many callers are ahead at the same time, and have the same version.
        """
        peer = self.members.peer(caller)
        if peer is None or caller in self._from_callers:
            return True
        if len(self._from_callers) >= MAX_FETCHES:
            return False
        fetch = self._background.spawn(self.fetch_from(peer), "configuration")
        self._from_callers[caller] = fetch
        fetch.add_done_callback(lambda _: self._from_callers.pop(caller))
        return True

    async def _catch_up(self) -> None:
        """Ask holders of newer versions until no live host is ahead."""
        fetches: set[asyncio.Task[None]] = set()
        try:
            await self.timers.sleep(STORE_PRECEDENCE_S)
            asked: set[str] = set()
            version = self.directory.version
            while holders := self._holders():
                if self.directory.version > version:
                    # The hosts asked so far may have the next version by now.
                    version = self.directory.version
                    asked.clear()
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
        except (PeerCallFailed, Malformed) as exc:
            self.directory.config_counts.fetches_failed += 1
            log.info(
                "configuration fetch failed; asking the next host",
                extra={"peer": peer.card.name, "reason": str(exc)},
            )
            return
        self.directory.accept_text(text, f"host {peer.card.name}")
