"""The tasks that wait for capacity, in the order in which they are placed."""

import bisect
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import accumulate, islice

from monsoongap.coordination.work import Work


@dataclass(frozen=True, slots=True)
class Backlog:
    """The sort keys of all waiting tasks, and the seconds of work before each."""

    sort_keys: list[tuple[float, ...]]
    seconds: list[float]

    def ahead_s(self, sort_key: tuple[float, ...]) -> float:
        """Estimate how long the tasks before `sort_key` occupy the capacity."""
        return self.seconds[bisect.bisect_left(self.sort_keys, sort_key)]


@dataclass(slots=True)
class Waiting:
    """A queue sorted by `Work.sort_key`."""

    _works: list[Work] = field(default_factory=list)

    def __len__(self) -> int:
        return len(self._works)

    def first(self, count: int) -> Iterator[Work]:
        """Yield the first `count` tasks of a snapshot."""
        return iter(list(islice(self._works, count)))

    def add(self, work: Work) -> None:
        """Add a task to the queue."""
        work.waiting = True
        bisect.insort(self._works, work, key=_sort_key)

    def remove(self, work: Work) -> None:
        """Remove a task from the queue."""
        work.waiting = False
        index = bisect.bisect_left(self._works, work.sort_key, key=_sort_key)
        while self._works[index] is not work:
            index += 1
        del self._works[index]

    def reorder(self, works: Iterable[Work], prefix: tuple[float, ...]) -> None:
        """Replace the first elements of the sort keys of waiting tasks by `prefix`."""
        for work in works:
            if work.waiting:
                self.remove(work)
                work.sort_key = (*prefix, *work.sort_key[len(prefix) :])
                self.add(work)

    def backlog(self, cores_milli: int) -> Backlog:
        """Return the backlog; `cores_milli` is the capacity that works on it."""
        seconds = (w.size.cpu_milli * w.estimate_s / cores_milli for w in self._works)
        return Backlog([w.sort_key for w in self._works], [0.0, *accumulate(seconds)])


def _sort_key(work: Work) -> tuple[float, ...]:
    return work.sort_key
