"""The tasks that wait for room, in the one order in which they are placed."""

import bisect
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import accumulate, islice

from monsoongap.coordination.work import Work


@dataclass(frozen=True, slots=True)
class Backlog:
    """The orders of all that waits, and the seconds of work up to each of them."""

    orders: list[tuple[float, ...]]
    seconds: list[float]

    def ahead_s(self, order: tuple[float, ...]) -> float:
        """Estimate how long what goes before `order` keeps the owned room busy."""
        return self.seconds[bisect.bisect_left(self.orders, order)]


@dataclass(slots=True)
class Waiting:
    """A queue sorted by `Work.sort_key`."""

    _works: list[Work] = field(default_factory=list)

    def __len__(self) -> int:
        return len(self._works)

    def first(self, count: int) -> Iterator[Work]:
        """Yield what goes first, as it stands now."""
        return iter(list(islice(self._works, count)))

    def add(self, work: Work) -> None:
        """Let a task wait."""
        work.waiting = True
        bisect.insort(self._works, work, key=_order)

    def take(self, work: Work) -> None:
        """Take a task out."""
        work.waiting = False
        at = bisect.bisect_left(self._works, work.sort_key, key=_order)
        while self._works[at] is not work:
            at += 1
        del self._works[at]

    def reorder(self, works: Iterable[Work], order: tuple[float, ...]) -> None:
        """Give waiting tasks another order, their own last parts kept."""
        for work in works:
            if work.waiting:
                self.take(work)
                work.sort_key = (*order, *work.sort_key[len(order) :])
                self.add(work)

    def backlog(self, cores_milli: int) -> Backlog:
        """Return what waits as work over the room that works it off."""
        work = (w.size.cpu_milli * w.estimate_s / cores_milli for w in self._works)
        return Backlog([w.sort_key for w in self._works], [0.0, *accumulate(work)])


def _order(work: Work) -> tuple[float, ...]:
    return work.sort_key
