"""The memory budget of this process for data that is being received.

A pure decision module, without sockets and without a clock. One budget covers all
connections. When it is used up, it names the connections whose unfinished data has to
be refused: first those that are expected to occupy the most memory for the longest
time. Requests that were handed on are counted, and never refused.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

# Refusals free this part of the budget at once, so that a full budget does not cost a
# search for each block of data that arrives.
RELIEF = 0.125
# Assumed age of data that has just arrived, so that the amount alone decides.
MIN_AGE_S = 0.1


class Source(StrEnum):
    """Who sends data to this process."""

    CALLERS = "callers"
    HOSTS = "hosts"
    OPERATORS = "operators"
    READY = "ready"
    REPLIES = "replies"


# Part of the budget that nobody else can take from a source. Their sum is below 1: when
# the budget is used up, some source is above its part.
GUARANTEED: dict[Source, float] = {
    Source.CALLERS: 0.5,
    Source.HOSTS: 0.2,
    Source.REPLIES: 0.2,
    Source.OPERATORS: 0.06,
    Source.READY: 0.02,
}


class Cause(StrEnum):
    """Why received data was refused, or its connection closed."""

    HEAD_SIZE = "head_size"
    EMPTY_LINES = "empty_lines"
    BODY_SIZE = "body_size"
    BODY_OVERHEAD = "body_overhead"
    HEAD_TIME = "head_time"
    BODY_TIME = "body_time"
    UNREAD_REPLY = "unread_reply"
    IDLE = "idle"
    MEMORY = "memory"
    CONNECTIONS = "connections"
    MALFORMED = "malformed"
    REPLY_SIZE = "reply_size"


@dataclass(slots=True, eq=False)
class Holding:
    """What one connection holds; times are in seconds by one monotonic clock.

    `unfinished_bytes` can be refused through `refuse`; `handed_on_bytes` belong to a
    request that is being answered. `left_bytes` is what the unfinished message may
    still bring. `began_s` is when the message began, or the connection became idle.
    """

    source: Source
    refuse: Callable[[Cause], None]
    unfinished_bytes: int = 0
    handed_on_bytes: int = 0
    left_bytes: int = 0
    began_s: float = 0.0
    received_s: float = 0.0

    def cost(self, now_s: float) -> float:
        """Return the expected occupation in byte seconds, from now on.

        The rest is expected at the rate so far. A connection that was silent for some
        time is expected to be silent for as long again, however little is missing.
        """
        age_s = now_s - self.began_s + MIN_AGE_S
        rest_s = self.left_bytes * age_s / max(self.unfinished_bytes, 1)
        silent_s = now_s - self.received_s
        return self.unfinished_bytes * (max(rest_s, silent_s) + MIN_AGE_S)


@dataclass(slots=True)
class ReceiveBudget:
    """Counts the received bytes of all connections against one limit."""

    limit_bytes: int
    used_bytes: int = 0
    _used_by: dict[Source, int] = field(
        default_factory=lambda: dict.fromkeys(Source, 0)
    )
    _holdings: set[Holding] = field(default_factory=set)

    def add(self, holding: Holding) -> None:
        """Count a connection from now on."""
        self._holdings.add(holding)

    def remove(self, holding: Holding) -> None:
        """Forget a connection that was closed."""
        self.update(holding, 0, 0, 0)
        self._holdings.discard(holding)

    def update(
        self, holding: Holding, unfinished: int, handed_on: int, left: int
    ) -> None:
        """Set what a connection holds, in bytes."""
        before = holding.unfinished_bytes + holding.handed_on_bytes
        change = unfinished + handed_on - before
        holding.unfinished_bytes = unfinished
        holding.handed_on_bytes = handed_on
        holding.left_bytes = left
        if change:
            self.used_bytes += change
            self._used_by[holding.source] += change

    def used_by(self, source: Source) -> int:
        """Return what the connections of a source hold, in bytes."""
        return self._used_by[source]

    def to_refuse(self, now_s: float) -> list[Holding]:
        """Return the connections whose unfinished data is to be refused, if any.

        A source keeps its guaranteed part. If what is left over the limit was handed
        on, the list does not suffice; then new requests are refused as they arrive.
        """
        if self.used_bytes <= self.limit_bytes:
            return []
        excess = self.used_bytes - int(self.limit_bytes * (1 - RELIEF))
        used_by = dict(self._used_by)
        chosen = []
        ranked = sorted(
            (h for h in self._holdings if h.unfinished_bytes),
            key=lambda h: h.cost(now_s),
            reverse=True,
        )
        for holding in ranked:
            if excess <= 0:
                break
            guaranteed = GUARANTEED[holding.source] * self.limit_bytes
            if used_by[holding.source] <= guaranteed:
                continue
            chosen.append(holding)
            used_by[holding.source] -= holding.unfinished_bytes
            excess -= holding.unfinished_bytes
        return chosen
