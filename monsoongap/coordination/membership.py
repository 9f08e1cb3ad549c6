"""Membership: the routing table of this host, from every source there is.

Sources are the platform's host list, heartbeats, news of peers and what the
dispatcher meets itself. None of them is needed for the others to work: with the
list out of reach the table lives on what peers and workers say, and without peers
on the list.
"""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from monsoongap.coordination.digests import Digests, OnPeer, Supplier
from monsoongap.coordination.heartbeats import Heartbeats, Pace, PeerLink
from monsoongap.coordination.host_list import HostListWatch
from monsoongap.coordination.membership_bootstrap import Bootstrap
from monsoongap.coordination.membership_messages import (
    Heartbeat,
    News,
    Snapshot,
    WorkerLeaving,
)
from monsoongap.coordination.membership_news import NewsSpread
from monsoongap.coordination.membership_peers import REMOTE_PERIOD_FACTOR, Peers
from monsoongap.coordination.membership_probes import Probe, WorkerProbes
from monsoongap.coordination.membership_views import MemberViews
from monsoongap.coordination.membership_workers import WorkerTable
from monsoongap.coordination.parts import (
    DrainState,
    HostIdentity,
    PeerInfo,
    PeerStatus,
    WorkerInfo,
)
from monsoongap.coordination.ports import HostListPort
from monsoongap.protocol.messages import HostList, HostRole, WorkerUsage
from monsoongap.protocol.peer import PeerHandlers
from monsoongap.settings import EntrySettings
from monsoongap.state.peers import Heard
from monsoongap.timers import TimerService

log = logging.getLogger(__name__)

NOTIFY_GAP_S = 0.05
WILDCARD_ADDRESSES = ("0.0.0.0:", "[::]:")


@dataclass(frozen=True, slots=True)
class MembershipStatus:
    """Figures for operators; `list_age_s` is None before the first list."""

    list_version: int
    list_age_s: float | None
    workers: int
    peers_live: int
    peers: int
    followed: int
    leaving_news: int


class Membership:
    """The routing table; implements `parts.Directory`.

    `start` has to be awaited on the running loop. The node gives the probe of
    workers by `use_probe`, since the connections to workers need this table first.
    """

    def __init__(
        self,
        cfg: EntrySettings,
        identity: HostIdentity,
        host_list: HostListPort,
        peers: PeerLink,
        handlers: PeerHandlers,
        drain: DrainState,
        timers: TimerService,
    ) -> None:
        self._cfg = cfg.peers
        self._own = identity
        self._drain = drain
        self._timers = timers
        self._address = _advertised(cfg.listen.peer)
        rng = random.Random(f"{identity.name}:{identity.boot}")
        self._workers = WorkerTable()
        self._peers = Peers(self._cfg, identity, self._address, timers)
        self._digests = Digests()
        self._watch = HostListWatch(self._cfg, host_list, self._take_list, timers, rng)
        self._beats = Heartbeats(
            self._cfg,
            identity,
            peers,
            self._compose,
            self._learn,
            self._pace_of,
            timers,
            rng,
        )
        self._views = MemberViews(self._peers, peers, handlers, drain, self._is_local)
        self._bootstrap = Bootstrap(
            identity,
            self._peers,
            self._workers,
            self._watch,
            peers,
            handlers,
            drain,
            self._take_snapshot,
        )
        self._news = NewsSpread(
            identity,
            self._peers,
            self._workers,
            peers,
            handlers,
            drain,
            timers,
            self._learn_news,
            self._spawn,
        )
        self._probes = WorkerProbes(
            self._probe_answered, self._probe_failed, timers, rng
        )
        self._subscribers: list[Callable[[], None]] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._composed: dict[bool, Heartbeat] = {}
        self._is_telling = False
        self._is_untold = False
        self.ready = False
        drain.listeners.append(self._on_drain)

    # Directory

    def workers(self) -> tuple[WorkerInfo, ...]:
        """Return the workers of this data centre, in name order."""
        return self._workers.view()

    def worker(self, name: str) -> WorkerInfo | None:
        """Return one worker, or None when it is not listed."""
        return self._workers.get(name)

    def peers(self) -> tuple[PeerInfo, ...]:
        """Return every other entry host, in name order."""
        return self._peers.view()

    def peer(self, name: str) -> PeerInfo | None:
        """Return one peer, or None when it is not known."""
        return self._peers.get(name)

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Call `changed` after every change, at most once in `NOTIFY_GAP_S`."""
        self._subscribers.append(changed)

    def report_draining(self, worker: str, boot: int = 0) -> None:
        """Note that a worker, of the given boot if known, refused as leaving."""
        self._learn_leaving((WorkerLeaving(worker, boot),), own=True)

    def report_silent(self, worker: str) -> None:
        """Note that a new connection to a worker failed too."""
        if self._workers.note_silent(worker):
            self._changed()
            self._probe_workers()

    def report_alive(self, worker: str) -> None:
        """Note that a worker answered."""
        if self._workers.note_alive(worker, self._timers.now()):
            self._changed()

    # For the node and the other parts

    def use_probe(self, probe: Probe) -> None:
        """Take the call that asks a worker for its usage."""
        self._probes.probe = probe

    def observe_usage(self, usage: WorkerUsage) -> None:
        """Take up a usage report that another part got from a worker."""
        self._probe_answered(usage)

    def address_of(self, host: str) -> str | None:
        """Return the address for calls to a peer, or None."""
        return self._peers.address_of(host)

    def add_digest(self, name: str, supplier: Supplier, on_peer: OnPeer) -> None:
        """Carry a part's digest in heartbeats; see `Digests.add`."""
        self._digests.add(name, supplier, on_peer)

    def status(self) -> MembershipStatus:
        """Return figures for operators and metrics."""
        taken_at = self._watch.taken_at
        view = self._peers.view()
        return MembershipStatus(
            list_version=self._watch.version,
            list_age_s=None if taken_at is None else self._timers.now() - taken_at,
            workers=len(self._workers.view()),
            peers_live=sum(info.status is PeerStatus.LIVE for info in view),
            peers=len(view),
            followed=len(self._beats.followed),
            leaving_news=len(self._workers.leaving_news()),
        )

    async def start(self) -> None:
        """Fill the table from the list, else from peers, and keep it up.

        Returns also when neither answers; `ready` tells, and the search goes on.
        """
        self._peers.add_bootstrap()
        self._peers.refresh()
        if not await self._watch.refresh():
            await self._bootstrap.run()
        self._tick()
        self._timers.every(self._cfg.heartbeat_s / 2, self._tick, "membership")
        self._spawn(self._watch.run(), "host-list")

    def stop(self) -> None:
        """Stop every task."""
        self._beats.stop()
        self._probes.stop()
        for task in self._tasks:
            task.cancel()

    # Heartbeats and news

    def _compose(self, host: str) -> Heartbeat:
        """Return this host's heartbeat for a peer, made anew at every tick."""
        local = self._is_local(host)
        if local not in self._composed:
            self._composed[local] = Heartbeat(
                sender=self._own.name,
                dc=self._own.dc,
                address=self._address,
                boot=self._own.boot,
                draining=self._drain.draining,
                list_version=self._watch.version,
                members=self._views.own_hash(),
                leaving=self._workers.leaving_news() if local else (),
                digests=self._digests.collect(),
            )
        return self._composed[local]

    def _pace_of(self, host: str) -> Pace:
        """Return the pace of heartbeats with a peer, slower across dcs."""
        factor = 1 if self._is_local(host) else REMOTE_PERIOD_FACTOR
        return Pace(factor * self._cfg.heartbeat_s, factor * self._cfg.suspect_after_s)

    def _is_local(self, host: str) -> bool:
        info = self._peers.get(host)
        return info is not None and info.dc == self._own.dc

    def _learn(self, beat: Heartbeat) -> bool:
        """Take up a peer's heartbeat; False when it is from an older boot."""
        heard = self._peers.learn(beat)
        if heard is Heard.OLDER_BOOT:
            extra = {"peer": beat.sender, "boot": beat.boot}
            log.warning("heartbeat of an older boot ignored", extra=extra)
            return False
        self._views.hear(beat)
        info = self._peers.get(beat.sender)
        if heard is Heard.CHANGED or info is None or info.status is PeerStatus.SUSPECT:
            self._refresh_peers()
        if beat.dc == self._own.dc:
            self._learn_leaving(beat.leaving, own=False)
        self._digests.deliver(beat.sender, beat.digests)
        return True

    def _learn_leaving(self, news: tuple[WorkerLeaving, ...], own: bool) -> None:
        now = self._timers.now()
        new = [one for one in news if self._workers.learn_leaving(one, now, own)]
        if not new:
            return
        self._changed()
        self._probe_workers()
        if own:
            self._news.tell_local()

    def _learn_news(self, news: News) -> None:
        heard = self._peers.learn_news(news.sender, news.boot, news.draining)
        if heard is not Heard.OLDER_BOOT:
            self._refresh_peers()
            self._learn_leaving(news.leaving, own=False)

    def _on_drain(self) -> None:
        self._composed.clear()
        self._news.tell_all()

    # The host list, and what peers know

    def _take_list(self, listed: HostList) -> None:
        now = self._timers.now()
        entries = [one for one in listed.hosts if one.role is HostRole.ENTRY]
        workers = [
            one
            for one in listed.hosts
            if one.role is HostRole.WORKER and one.dc == self._own.dc
        ]
        news_before = self._workers.leaving_news()
        changed = self._workers.apply_list(workers, now)
        self._peers.apply_list(entries)
        self.ready = True
        self._refresh_peers()
        self._after_workers(changed, news_before)

    def _take_snapshot(self, snapshot: Snapshot) -> None:
        self._learn_leaving(snapshot.leaving, own=False)
        self.ready = True
        self._refresh_peers()
        self._changed()

    async def _fetch_members(self, fetch: Callable[[], Awaitable[None]]) -> None:
        await fetch()
        self._refresh_peers()

    # Time

    def _tick(self) -> None:
        """Look at what only the passing of time changes."""
        self._composed.clear()
        if self._workers.sweep(self._timers.now()):
            self._changed()
        self._refresh_peers()
        self._beats.follow(self._peers.to_follow())
        self._probe_workers()
        for fetch in self._views.to_fetch():
            self._spawn(self._fetch_members(fetch), "members")
        if not self.ready and not self._is_running("bootstrap"):
            self._spawn(self._bootstrap.run(), "bootstrap")

    def _probe_workers(self) -> None:
        self._probes.tick(self._workers.to_probe(self._timers.now()))

    def _probe_answered(self, usage: WorkerUsage) -> None:
        news_before = self._workers.leaving_news()
        changed = self._workers.note_usage(usage, self._timers.now())
        self._after_workers(changed, news_before)

    def _probe_failed(self, worker: str) -> None:
        self._workers.note_failed_probe(worker)

    def _after_workers(
        self, changed: bool, news_before: tuple[WorkerLeaving, ...]
    ) -> None:
        """Tell subscribers, and peers when there are more news than before."""
        if changed:
            self._changed()
        if set(self._workers.leaving_news()) - set(news_before):
            self._news.tell_local()

    def _refresh_peers(self) -> None:
        if self._peers.refresh():
            self._changed()

    def _changed(self) -> None:
        """Tell subscribers at once, or together with what follows closely.

        Subscribers look at the whole table, so a thousand workers that fall silent
        one by one must not cost a thousand looks.
        """
        self._composed.clear()
        if self._is_telling:
            self._is_untold = True
            return
        self._tell_subscribers()
        self._is_telling = True
        self._spawn(self._tell_later(), "tell-subscribers")

    async def _tell_later(self) -> None:
        await self._timers.sleep(NOTIFY_GAP_S)
        self._is_telling = False
        if self._is_untold:
            self._is_untold = False
            self._changed()

    def _tell_subscribers(self) -> None:
        for changed in self._subscribers:
            try:
                changed()
            except Exception:
                log.exception("subscriber of the routing table failed")

    def _spawn(self, work: Coroutine[Any, Any, None], name: str) -> None:
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _is_running(self, name: str) -> bool:
        return any(task.get_name() == name for task in self._tasks)


def _advertised(listen: str) -> str:
    """Return the address to tell peers, empty when it is a wildcard."""
    return "" if listen.startswith(WILDCARD_ADDRESSES) else listen
