"""The settings of an entry daemon, read from an INI file.

Layers: the defaults below, then the file, then `--set section.key=value` of the
command line. An empty value in the file counts as left out. Queues and upstreams are
not here: they come with the operator's configuration, which the platform holds.
"""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Literal

from msgspec import Meta

from monsoongap.timers import MS_PER_S
from monsoongap.util.ini import load_ini

Address = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:\d{1,5}$")]
HostName = Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,63}$")]
Millis = Annotated[float, Meta(gt=0, le=86_400_000)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Factor = Annotated[float, Meta(gt=0, le=1024)]


@dataclass(frozen=True, slots=True)
class HostSection:
    """Who this process is, and what of a processor it may use.

    `processor_share` is a share of one core that is `processor_speed` times as fast
    as a usual one.
    """

    name: HostName
    dc: HostName
    region: HostName = "main"
    processor_share: Factor = 1.0
    processor_speed: Factor = 1.0

    @property
    def cores(self) -> float:
        """What the host may use of a processor, in cores of usual speed."""
        return round(self.processor_share * self.processor_speed, 3)


@dataclass(frozen=True, slots=True)
class ListenSection:
    """Addresses (IP:port) this process listens on; no operators', no metrics.

    Peers are called over TCP and send heartbeats over UDP, both to `peers`.
    """

    callers: Address
    ready: Address
    peers: Address
    operators: Annotated[str, Meta(pattern=r"^([0-9a-fA-F.:\[\]]+:\d{1,5})?$")] = ""


@dataclass(frozen=True, slots=True)
class StoreSection:
    """Where the platform's store is."""

    address: Address


@dataclass(frozen=True, slots=True)
class PeersSection:
    """Entry hosts that are known before the store names them (IP:port).

    Only their IP numbers count: peers listen on one port everywhere.
    """

    seeds: tuple[Address, ...] = ()


@dataclass(frozen=True, slots=True)
class BoundsSection:
    """What the deployment promises of itself and wants kept.

    `lease_ms` is the longest lease of a runner. `drain_ms` is the time after which
    a draining runner must get no start, `config_ms` that by which a configuration
    must be in force. A lost job comes again after `resend_ms`. `grace_s` is the
    time in seconds from SIGTERM to the end of the process.
    """

    lease_ms: Millis = 1000.0
    drain_ms: Millis = 2000.0
    config_ms: Millis = 2000.0
    resend_ms: Millis = 1300.0
    grace_s: Annotated[float, Meta(gt=0, le=3600)] = 6.0

    @property
    def lease_s(self) -> float:
        """The longest lease in seconds."""
        return self.lease_ms / MS_PER_S

    @property
    def drain_s(self) -> float:
        """The bound on draining in seconds."""
        return self.drain_ms / MS_PER_S

    @property
    def config_s(self) -> float:
        """The bound on configurations in seconds."""
        return self.config_ms / MS_PER_S

    @property
    def resend_s(self) -> float:
        """The pause before a lost job comes again, in seconds."""
        return self.resend_ms / MS_PER_S


@dataclass(frozen=True, slots=True)
class LogSection:
    """Level and bound of this process's log lines.

    Lines beyond `lines_per_s` are dropped and counted, warnings excepted. The
    default costs about 3 % of a core at 30 microseconds a line.
    """

    level: Literal["debug", "info", "warning", "error"] = "info"
    lines_per_s: Count = 300


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Everything an entry daemon is told at its start."""

    host: HostSection
    listen: ListenSection
    store: StoreSection
    peers: PeersSection = field(default_factory=PeersSection)
    bounds: BoundsSection = field(default_factory=BoundsSection)
    log: LogSection = field(default_factory=LogSection)


def load_settings(path: Path, overrides: dict[str, str] | None = None) -> EntrySettings:
    """Read an entry daemon's settings; raises `SettingsErrorGroup`."""
    return load_ini(path, EntrySettings, overrides)
