"""Applies the limits on received data to all connections of this process.

One guard counts the connections of each listener and what they hold, has those refused
that the budget names, and checks the time of unfinished requests in a periodic sweep,
which costs an ordinary request nothing.
"""

import logging
import resource
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from monsoongap.settings import LimitsSection
from monsoongap.timers import TimerService
from monsoongap.transport.receive_budget import (
    Cause,
    Holding,
    ReceiveBudget,
    Source,
)

log = logging.getLogger(__name__)

SWEEP_S = 0.5
# Part of the descriptors that each listener may use. A host that forwards its callers'
# jobs opens as many connections to owners; an owner has calls of many hosts and its
# runners. The rest, at least a fifth, is for runners, hosts and the store.
CONNECTION_SHARES: dict[Source, float] = {
    Source.CALLERS: 5 / 16,
    Source.HOSTS: 3 / 8,
    Source.OPERATORS: 1 / 16,
    Source.READY: 1 / 64,
}
# Part of a listener's connections that is closed when it has too many, so that not
# every new connection costs a search.
ROOM = 1 / 16
# Outcomes of ordinary clients, which are counted and not logged.
_ORDINARY = (Cause.IDLE,)


class Conn(Protocol):
    """A connection of a listener, as the guard sees it."""

    holding: Holding
    has_served: bool

    @property
    def is_busy(self) -> bool:
        """Whether a request is being answered."""

    @property
    def is_refused(self) -> bool:
        """Whether it was refused and only waits to be closed."""

    def drop(self) -> None:
        """Close it at once."""

    def check_time(self, now_s: float) -> None:
        """Refuse what takes too long."""


class ReceiveGuard:
    """The limits of one process; `now_s` is a clock that does not count its pauses."""

    def __init__(self, cfg: LimitsSection | None = None) -> None:
        self.cfg = cfg or LimitsSection()
        self.budget = ReceiveBudget(self.cfg.receive_bytes)
        self.counts: Counter[str] = Counter()
        self.now_s = 0.0
        self._conns: dict[Source, set[Conn]] = {source: set() for source in Source}
        self._unlogged: Counter[str] = Counter()
        self._last_client = ""
        self._clock: Callable[[], float] = lambda: self.now_s
        self._swept_at = 0.0
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        max_fds = self.cfg.max_fds
        if soft != resource.RLIM_INFINITY:
            max_fds = min(max_fds, soft)
        self._limits = {s: int(max_fds * part) for s, part in CONNECTION_SHARES.items()}

    def start(self, timers: TimerService) -> None:
        """Check the times periodically from now on."""
        self._clock = timers.now
        self._swept_at = timers.now()
        timers.every(SWEEP_S, self.sweep, "received data")

    def connection_limit(self, source: Source) -> int:
        """Return how many connections a listener may have."""
        return self._limits[source]

    def admit(self, conn: Conn) -> bool:
        """Count a new connection; return False if there is no room for it.

        Connections without a request make room: those that were refused first, then
        those that never sent a request, the longest silent ones first.
        """
        source = conn.holding.source
        conns, limit = self._conns[source], self._limits[source]
        if len(conns) >= limit:
            self._make_room(conns, max(1, int(limit * ROOM)))
        if len(conns) >= limit:
            self.count(Cause.CONNECTIONS, source)
            return False
        conns.add(conn)
        conn.holding.began_s = conn.holding.received_s = self.now_s
        self.budget.add(conn.holding)
        return True

    def forget(self, conn: Conn) -> None:
        """Forget a connection that was closed."""
        self._conns[conn.holding.source].discard(conn)
        self.budget.remove(conn.holding)

    def hold(
        self, holding: Holding, unfinished: int, handed_on: int, left: int = 0
    ) -> None:
        """Count what a connection holds; refuse unfinished data above the budget."""
        budget = self.budget
        budget.update(holding, unfinished, handed_on, left)
        if budget.used_bytes > budget.limit_bytes:
            for victim in budget.to_refuse(self.now_s):
                victim.refuse(Cause.MEMORY)

    def release(self, holding: Holding, handed_on: int) -> None:
        """Count that a connection has dropped its unfinished data."""
        self.budget.update(holding, 0, handed_on, 0)

    def count(self, cause: Cause, source: Source, client: str = "") -> None:
        """Count a refusal; `client` is the address of who was refused."""
        self.counts[cause.value] += 1
        if cause not in _ORDINARY:
            self._last_client = client or self._last_client
            self._unlogged[f"{source.value}_{cause.value}"] += 1

    def sweep(self) -> None:
        """Advance the clock, check the times and log what was refused."""
        now = self._clock()
        # Nothing can be received while the process is paused.
        self.now_s += min(max(now - self._swept_at, 0.0), 2 * SWEEP_S)
        self._swept_at = now
        for conn in [c for conns in self._conns.values() for c in conns]:
            conn.check_time(self.now_s)
        if self._unlogged:
            log.warning(
                "received data was refused or its connection closed",
                extra={
                    "refused": dict(self._unlogged),
                    "last_client": self._last_client,
                    "held_bytes": self.budget.used_bytes,
                },
            )
            self._unlogged.clear()

    def counters(self) -> dict[str, int]:
        """Return the number of refusals by cause, for the metrics."""
        return {cause.value: self.counts[cause.value] for cause in Cause}

    def _make_room(self, conns: set[Conn], count: int) -> None:
        idle = sorted((c for c in conns if not c.is_busy), key=_order_of_closing)
        for conn in idle[:count]:
            self.count(Cause.CONNECTIONS, conn.holding.source)
            # Its `connection_lost` comes later.
            self.forget(conn)
            conn.drop()


def _order_of_closing(conn: Conn) -> tuple[bool, bool, float]:
    return not conn.is_refused, conn.has_served, conn.holding.received_s
