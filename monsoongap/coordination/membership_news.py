"""Telling peers at once what must not wait for the next heartbeat.

Two things can't wait: that this host leaves, which every peer is told, and that a
worker leaves, which concerns the hosts of its data centre. What happens within
`GATHER_S` goes out together. A peer that misses a call gets the same by its next
heartbeat.
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any

from monsoongap.coordination.heartbeats import PeerLink
from monsoongap.coordination.membership_messages import NEWS, News, NewsTaken
from monsoongap.coordination.membership_peers import Peers
from monsoongap.coordination.membership_workers import WorkerTable
from monsoongap.coordination.parts import DrainState, HostIdentity
from monsoongap.errors import DispatchError, PeerUnreachable
from monsoongap.protocol.peer import PeerHandlers
from monsoongap.timers import TimerService

log = logging.getLogger(__name__)

CALL_TIMEOUT_S = 1.0
GATHER_S = 0.02

Spawn = Callable[[Coroutine[Any, Any, None], str], None]


class NewsSpread:
    """Sends this host's news and hands on those of peers to `heard`."""

    def __init__(
        self,
        identity: HostIdentity,
        peers: Peers,
        workers: WorkerTable,
        link: PeerLink,
        handlers: PeerHandlers,
        drain: DrainState,
        timers: TimerService,
        heard: Callable[[News], None],
        spawn: Spawn,
    ) -> None:
        self._own = identity
        self._peers = peers
        self._workers = workers
        self._link = link
        self._drain = drain
        self._timers = timers
        self._heard = heard
        self._spawn = spawn
        self._waiting = False
        self._is_for_all = False
        handlers.register(NEWS, self._on_news)

    def tell_local(self) -> None:
        """Tell the hosts of this data centre of the leaving workers."""
        if not self._waiting:
            self._waiting = True
            self._spawn(self._tell_soon(), "news")

    def tell_all(self) -> None:
        """Tell every peer of this host's own state too."""
        self._is_for_all = True
        self.tell_local()

    async def _tell_soon(self) -> None:
        await self._timers.sleep(GATHER_S)
        self._waiting = False
        is_for_all, self._is_for_all = self._is_for_all, False
        local = self._peers.reachable(self._own.dc)
        remote = set(self._peers.reachable()) - set(local) if is_for_all else set()
        own, draining = self._own, self._drain.draining
        full = News(own.name, own.boot, draining, self._workers.leaving_news())
        short = News(own.name, own.boot, draining)
        calls = [self._tell(host, full) for host in local]
        calls += [self._tell(host, short) for host in sorted(remote)]
        await asyncio.gather(*calls)

    async def _tell(self, host: str, news: News) -> None:
        try:
            await self._link.call(host, NEWS, news, CALL_TIMEOUT_S)
        except (PeerUnreachable, DispatchError) as exc:
            extra = {"peer": host, "reason": str(exc)}
            log.debug("news not confirmed", extra=extra)

    async def _on_news(self, news: News) -> NewsTaken:
        self._heard(news)
        return NewsTaken()
