"""How old the list of runners is, and whether tasks may be placed by it.

A runner that drains must get no start request after a time limit, so a list that is
older may name it as ready. A host that takes over runners, or wakes from a pause, has
such a list and reads it anew before it places anything. While the store cannot be read,
the last list stays in use.
"""

from dataclasses import dataclass

# The store answers in a few milliseconds. A read without an answer for this long counts
# as failed: waiting for its timeout would cost callers most of their time.
UNANSWERED_S = 0.5


@dataclass(slots=True)
class ListAge:
    """When the list was read; times are in seconds by the timer service.

    `max_age_s` limits the age of a list by which tasks are placed; it is infinite until
    a reader keeps the list current.
    """

    max_age_s: float = float("inf")
    read_at: float = -1e9
    _reading_since: float | None = None
    _failing: bool = False

    def begin_read(self, now: float) -> None:
        """Record that a read of the list begins."""
        self._reading_since = now

    def finish_read(self, read_at: float) -> None:
        """Record the list that was requested at `read_at`."""
        self._reading_since = None
        self._failing = False
        self.confirm(read_at)

    def confirm(self, read_at: float) -> None:
        """Record that the list was as it is at `read_at`."""
        self.read_at = max(self.read_at, read_at)

    def fail_read(self) -> None:
        """Record that a read got no list."""
        self._reading_since = None
        self._failing = True

    def resume(self, now: float) -> None:
        """Expect a newer list after a pause of this process that ended at `now`."""
        self._failing = False
        self._reading_since = now

    def allows_placement(self, now: float) -> bool:
        """Return whether tasks may be placed by the list."""
        if now - self.read_at <= self.max_age_s or self._failing:
            return True
        since = self._reading_since
        return since is not None and now - since > UNANSWERED_S
