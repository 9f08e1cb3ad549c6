"""Which data centres are evacuated: no task is started on their runners.

The state is the set of evacuated data centres and the offset in the operator's log up
to which the log was read to find it. Within one process it only changes to a higher
offset, from any source. A deployment without a limit for evacuations has none.
"""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from monsoongap.state.list_age import ListAge

log = logging.getLogger(__name__)

# Offset of a state that was never read.
UNKNOWN = -1
# The rest of the limit is for the poll that confirms the state and for the request.
MAX_AGE_FACTOR = 0.8


@dataclass(slots=True)
class EvacuationCounts:
    """Changes of the set by source, and their effects, for the metrics.

    `starts_withheld` counts starts that were placed before a change and not sent.
    """

    from_store: int = 0
    from_peers: int = 0
    starts_withheld: int = 0
    jobs_rerouted: int = 0


@dataclass(slots=True)
class Evacuation:
    """The evacuated data centres, as of `offset`; off while `limit_s` is 0.

    `age` tells when the store last confirmed the state: a host that was paused may
    have missed a change.
    """

    limit_s: float = 0.0
    on_change: Callable[[], None] = lambda: None
    dcs: frozenset[str] = frozenset()
    offset: int = UNKNOWN
    age: ListAge = field(default_factory=ListAge)
    counts: EvacuationCounts = field(default_factory=EvacuationCounts)

    @property
    def is_enabled(self) -> bool:
        """Return whether the deployment evacuates data centres."""
        return self.limit_s > 0

    @property
    def is_known(self) -> bool:
        """Return whether the state was read, or is not needed."""
        return self.offset > UNKNOWN or not self.is_enabled

    def limit_age(self) -> None:
        """Bound the age of the state, once a reader keeps it current."""
        if self.is_enabled:
            self.age.max_age_s = MAX_AGE_FACTOR * self.limit_s

    def accept(self, dcs: Iterable[str], offset: int, peer: str = "") -> None:
        """Apply a state if its offset is higher than that of the one in force.

        `peer` is the host that told it; empty if it was read from the store.
        """
        if not self.is_enabled or offset <= self.offset:
            return
        previous, was_known = self.dcs, self.is_known
        self.dcs = frozenset(dcs)
        self.offset = offset
        if self.dcs == previous and was_known:
            return
        if self.dcs != previous:
            if peer:
                self.counts.from_peers += 1
            else:
                self.counts.from_store += 1
            log.info(
                "evacuated data centres changed",
                extra={
                    "source": f"host {peer}" if peer else "store",
                    "offset": offset,
                    "evacuated": sorted(self.dcs),
                    "begun": sorted(self.dcs - previous) or None,
                    "ended": sorted(previous - self.dcs) or None,
                },
            )
        self.on_change()

    def allows_start(self, dc: str, now: float) -> bool:
        """Return whether a task may start on a runner of a data centre."""
        if not self.is_enabled:
            return True
        is_current = self.is_known and self.age.allows_placement(now)
        return is_current and dc not in self.dcs
