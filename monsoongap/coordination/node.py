"""One entry host: the parts put together over the ports to the outside.

Everything here runs without sockets, so the tests build whole hosts on fakes and
virtual time, and `monsoongap.entry` builds one on real transports.
"""

import logging
from dataclasses import dataclass

from monsoongap.coordination.heartbeats import PeerLink
from monsoongap.coordination.home import Home
from monsoongap.coordination.membership import Membership
from monsoongap.coordination.parts import DrainState, HostIdentity
from monsoongap.coordination.ports import HostListPort, LogPort, WorkerPort
from monsoongap.coordination.scheduler import Scheduler
from monsoongap.coordination.tokens import Tokens
from monsoongap.coordination.tree import SettingsTree
from monsoongap.coordination.tree_service import ConfigService
from monsoongap.coordination.watch import WatchedWorkers
from monsoongap.protocol.peer import PeerHandlers
from monsoongap.settings import EntrySettings
from monsoongap.timers import TimerService

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Ports:
    """The outside as one host reaches it."""

    workers: WorkerPort
    log: LogPort
    host_list: HostListPort
    peers: PeerLink


class Node:
    """Builds the parts in the order of their needs and starts and stops them."""

    def __init__(
        self,
        cfg: EntrySettings,
        identity: HostIdentity,
        ports: Ports,
        handlers: PeerHandlers,
        timers: TimerService,
    ) -> None:
        self.cfg = cfg
        self.identity = identity
        self.timers = timers
        self.drain = DrainState()
        self.membership = Membership(
            cfg, identity, ports.host_list, ports.peers, handlers, self.drain, timers
        )
        self.tree = SettingsTree(
            cfg.tree,
            identity,
            ports.log,
            ports.peers,
            handlers,
            self.membership,
            timers,
        )
        self.tokens = Tokens(cfg.tree, self.tree)
        self.config = ConfigService(self.tree, self.tokens)
        self.scheduler = Scheduler(
            cfg.placement,
            identity,
            self.membership,
            self.tree,
            ports.peers,
            handlers,
            timers,
        )
        self.watched = WatchedWorkers(
            cfg.workers, ports.workers, self.membership, timers
        )
        self.home = Home(
            cfg,
            identity,
            self.membership,
            self.scheduler,
            self.watched,
            ports.log,
            ports.peers,
            handlers,
            self.drain,
            timers,
        )
        self.membership.use_probe(ports.workers.usage)
        self.membership.add_digest(
            "settings", self.tree.digest_bytes, self.tree.heard_bytes
        )
        self.started = False

    async def start(self) -> None:
        """Learn the members, then take part.

        The settings may come later, from the log or from peers; until then this
        host is not ready and refuses jobs, since it cannot know their limits.
        """
        await self.membership.start()
        self.tree.start()
        self.scheduler.start()
        self.watched.begin()
        self.home.start()
        self.started = True
        log.info(
            "host started",
            extra={"host": self.identity.name, "boot": self.identity.boot},
        )

    def ready(self) -> bool:
        """Tell whether callers may be sent here."""
        return self.started and self.tree.loaded and not self.drain.draining

    async def close(self) -> None:
        """Stop every part at once."""
        self.home.close()
        self.watched.close()
        await self.scheduler.close()
        await self.tree.close()
        self.membership.stop()
        self.timers.close()
