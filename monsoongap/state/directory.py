"""The configuration and the runners as this process knows them.

The configuration only ever moves to a higher version within one process, whoever
brings it. One that cannot be read leaves the last good one in force.
"""

import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from monsoongap.protocol.messages import Configuration, QueueRule, RunnerInfo
from monsoongap.timers import MS_PER_S

log = logging.getLogger(__name__)

# A fetch from a peer is not repeated before the first has had time to end.
FETCH_AGAIN_S = 0.3
# So many runners that left the list are named in one line.
NAMED_GONE = 6


@dataclass(slots=True)
class RunnersCounts:
    """Changes of the list of runners, for the metrics."""

    added: int = 0
    removed: int = 0
    lists_from_peers: int = 0


@dataclass(slots=True)
class Directory:
    """What the operator and the runners last told."""

    decode: Callable[[bytes], Configuration]
    on_change: Callable[[], None]
    config: Configuration = field(default_factory=lambda: Configuration(0))
    text: bytes = b""
    runners: tuple[RunnerInfo, ...] = ()
    runners_read_at: float = -1e9
    runners_counts: RunnersCounts = field(default_factory=RunnersCounts)
    _rules: dict[str, QueueRule] = field(default_factory=dict)
    _guards: dict[str, bool] = field(default_factory=dict)
    _by_host: dict[str, list[QueueRule]] = field(default_factory=dict)
    _fetching: tuple[int, float] = (0, -1e9)

    @property
    def version(self) -> int:
        """Version in force; 0 before the first."""
        return self.config.version

    def accept_text(self, text: bytes, source: str) -> bool:
        """Put a configuration in force if it can be read and is newer."""
        try:
            config = self.decode(text)
        except ValueError as exc:
            log.error(
                "configuration not understood, the last good one stays",
                extra={"source": source, "error": str(exc), "version": self.version},
            )
            return False
        if config.version <= self.version:
            return False
        log.info(
            "configuration in force",
            extra={
                "source": source,
                "version": config.version,
                "former": self.version,
                "queues": len(config.queues),
            },
        )
        self.config = config
        self.text = text
        self._rules = {rule.name: rule for rule in config.queues}
        self._guards = {rule.name: rule.checks_capacity for rule in config.upstreams}
        by_host: dict[str, list[QueueRule]] = {}
        for rule in config.queues:
            by_host.setdefault(rule.host, []).append(rule)
        for rules in by_host.values():
            rules.sort(key=lambda rule: -len(rule.path_prefix))
        self._by_host = by_host
        self.on_change()
        return True

    def update_runners(
        self, runners: tuple[RunnerInfo, ...], read_at: float, now: float, source: str
    ) -> None:
        """Take in a list of runners that the store or a peer told."""
        former = {r.id for r in self.runners}
        listed = {r.id for r in runners}
        added, gone = listed - former, sorted(former - listed)
        self.runners = runners
        self.runners_read_at = read_at
        self.runners_counts.lists_from_peers += source != "store"
        if not added and not gone:
            return
        self.runners_counts.added += len(added)
        self.runners_counts.removed += len(gone)
        log.info(
            "runners listed",
            extra={
                "source": source,
                "age_ms": round((now - read_at) * MS_PER_S),
                "runners": len(listed),
                "added": len(added),
                "removed": len(gone),
                "gone": gone[:NAMED_GONE] or None,
                "by_dc": dict(Counter(r.dc for r in runners)),
            },
        )

    def rule(self, name: str) -> QueueRule | None:
        """Return the queue of that name."""
        return self._rules.get(name)

    def upstream_of(self, queue: str) -> str | None:
        """Return the name of the upstream that serves a queue."""
        rule = self._rules.get(queue)
        return rule.upstream if rule else None

    def checks_capacity(self, upstream: str) -> bool:
        """Tell whether an upstream's runners refuse what does not fit."""
        return self._guards.get(upstream, False)

    def match(self, host: str, path: str) -> QueueRule | None:
        """Return the queue of the host with the longest prefix of the path."""
        for rule in self._by_host.get(host, ()):
            if path.startswith(rule.path_prefix):
                return rule
        return None

    def start_fetch(self, version: int, now: float) -> bool:
        """Tell whether a peer should be asked for a version now."""
        asked, at = self._fetching
        if asked >= version and now - at < FETCH_AGAIN_S:
            return False
        self._fetching = (version, now)
        return True
