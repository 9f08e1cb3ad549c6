"""The configuration and the list of runners that this process uses.

Within one process the configuration only changes to a higher version, from any source.
If one cannot be decoded, the last valid one stays in use.
"""

import logging
import zlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from monsoongap.protocol.decoding import Malformed
from monsoongap.protocol.messages import Configuration, QueueRule, RunnerInfo
from monsoongap.state.evacuation import Evacuation
from monsoongap.state.list_age import ListAge
from monsoongap.timers import MS_PER_S

log = logging.getLogger(__name__)

SOURCE_STORE = "store"
# Packs 0.5 MB to a thirteenth in 2 ms; level 6 takes twice as long to save a tenth.
PACKING_LEVEL = 1
# At most so many removed runners are named in one log line.
MAX_REMOVED_LOGGED = 6


@dataclass(slots=True)
class RunnersCounts:
    """Changes of the list of runners, for the metrics."""

    added: int = 0
    removed: int = 0
    lists_from_peers: int = 0


@dataclass(slots=True)
class ConfigCounts:
    """How configurations arrive, for the metrics.

    `behind_caller` counts calls of hosts that had a newer configuration.
    """

    from_store: int = 0
    from_peers: int = 0
    invalid: int = 0
    fetches_failed: int = 0
    behind_caller: int = 0


@dataclass(slots=True)
class Directory:
    """The configuration in use and the latest list of runners."""

    decode: Callable[[bytes], Configuration]
    on_change: Callable[[], None]
    config: Configuration = field(default_factory=lambda: Configuration(0))
    text: bytes = b""
    runners: tuple[RunnerInfo, ...] = ()
    list_age: ListAge = field(default_factory=ListAge)
    evacuation: Evacuation = field(default_factory=Evacuation)
    runners_counts: RunnersCounts = field(default_factory=RunnersCounts)
    config_counts: ConfigCounts = field(default_factory=ConfigCounts)
    _rules: dict[str, QueueRule] = field(default_factory=dict)
    _guards: dict[str, bool] = field(default_factory=dict)
    _by_host: dict[str, list[QueueRule]] = field(default_factory=dict)
    _packed: tuple[int, bytes] = (0, b"")
    _dcs_by_upstream: dict[str, Counter[str]] = field(default_factory=dict)

    @property
    def version(self) -> int:
        """Version in use; 0 before the first."""
        return self.config.version

    def accept_text(self, text: bytes, source: str) -> bool:
        """Apply a configuration if it is valid and newer; return whether it was."""
        try:
            config = self.decode(text)
        except Malformed as exc:
            self.config_counts.invalid += 1
            log.error(
                "configuration invalid; keeping the last valid one",
                extra={"source": source, "error": str(exc), "version": self.version},
            )
            return False
        if config.version <= self.version:
            return False
        log.info(
            "configuration applied",
            extra={
                "source": source,
                "version": config.version,
                "former": self.version,
                "queues": len(config.queues),
            },
        )
        if source == SOURCE_STORE:
            self.config_counts.from_store += 1
        else:
            self.config_counts.from_peers += 1
        self.config = config
        self.text = text
        self._rules = {rule.name: rule for rule in config.queues}
        self._guards = {rule.name: rule.checks_capacity for rule in config.upstreams}
        by_host: dict[str, list[QueueRule]] = {}
        for rule in config.queues:
            # Host names have no case.
            by_host.setdefault(rule.host.lower(), []).append(rule)
        for rules in by_host.values():
            rules.sort(key=lambda rule: -len(rule.path_prefix))
        self._by_host = by_host
        self.on_change()
        return True

    def update_runners(
        self, runners: tuple[RunnerInfo, ...], read_at: float, now: float, source: str
    ) -> None:
        """Replace the list of runners by one that the store or a peer sent."""
        previous = {r.id for r in self.runners}
        listed = {r.id for r in runners}
        added, gone = listed - previous, sorted(previous - listed)
        self.runners = runners
        self._dcs_by_upstream = {}
        self.list_age.confirm(read_at)
        self.runners_counts.lists_from_peers += source != SOURCE_STORE
        if not added and not gone:
            return
        self.runners_counts.added += len(added)
        self.runners_counts.removed += len(gone)
        log.info(
            "runner list changed",
            extra={
                "source": source,
                "age_ms": round((now - read_at) * MS_PER_S),
                "runners": len(listed),
                "added": len(added),
                "removed": len(gone),
                "gone": gone[:MAX_REMOVED_LOGGED] or None,
                "by_dc": dict(Counter(r.dc for r in runners)),
            },
        )

    def dcs_of(self, upstream: str) -> Counter[str]:
        """Return the number of an upstream's runners in each data centre."""
        if upstream not in self._dcs_by_upstream:
            dcs = Counter(r.dc for r in self.runners if r.upstream == upstream)
            self._dcs_by_upstream[upstream] = dcs
        return self._dcs_by_upstream[upstream]

    def is_evacuated(self, upstream: str) -> bool:
        """Return whether all data centres with runners of an upstream are evacuated."""
        evacuated = self.evacuation.dcs
        if not evacuated:
            return False
        dcs = self.dcs_of(upstream)
        return bool(dcs) and dcs.keys() <= evacuated

    def rule(self, name: str) -> QueueRule | None:
        """Return the queue of that name."""
        return self._rules.get(name)

    def upstream_of(self, queue: str) -> str | None:
        """Return the name of the upstream that serves a queue."""
        rule = self._rules.get(queue)
        return rule.upstream if rule else None

    def checks_capacity(self, upstream: str) -> bool:
        """Return whether an upstream's runners reject a run that does not fit."""
        return self._guards.get(upstream, False)

    def match(self, host: str, path: str) -> QueueRule | None:
        """Return the queue of the host with the longest prefix of the path.

        `host` is in lower case.
        """
        for rule in self._by_host.get(host, ()):
            if path.startswith(rule.path_prefix):
                return rule
        return None

    def packed_text(self) -> bytes:
        """Return the text of the configuration in use, compressed by zlib."""
        version, packed = self._packed
        if version != self.version:
            packed = zlib.compress(self.text, PACKING_LEVEL)
            self._packed = (self.version, packed)
        return packed
