"""The settings of an entry daemon, read from an INI file.

The file overrides the defaults below, and `--set section.key=value` on the command
line overrides the file. An empty value in the file leaves the default in place. Queues
and upstreams are not settings; they are part of the operator's configuration, which
the platform's store holds.
"""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Literal

from msgspec import Meta

from monsoongap.timers import MS_PER_S
from monsoongap.util.addresses import ADDRESS_PATTERN
from monsoongap.util.ini import load_ini

Address = Annotated[str, Meta(pattern=ADDRESS_PATTERN)]
OptionalAddress = Annotated[str, Meta(pattern=rf"^\Z|{ADDRESS_PATTERN}")]
HostName = Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,63}\Z")]
Millis = Annotated[float, Meta(gt=0, le=86_400_000)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Factor = Annotated[float, Meta(gt=0, le=1024)]


@dataclass(frozen=True, slots=True)
class HostSection:
    """The identity of the host, and the processor time that it may use.

    `processor_share` is a share of one core, which is `processor_speed` times as fast
    as a standard core.
    """

    name: HostName
    dc: HostName
    region: HostName = "main"
    processor_share: Factor = 1.0
    processor_speed: Factor = 1.0

    @property
    def cores(self) -> float:
        """Processor time that the host may use, in cores of standard speed."""
        return round(self.processor_share * self.processor_speed, 3)


@dataclass(frozen=True, slots=True)
class ListenSection:
    """Addresses (IP:port) on which this process listens.

    Peers call `peers` over TCP and send heartbeats to it over UDP. If `operators` is
    empty, the host serves no metrics, status or operators' jobs.
    """

    callers: Address
    ready: Address
    peers: Address
    operators: OptionalAddress = ""


@dataclass(frozen=True, slots=True)
class StoreSection:
    """Address (IP:port) of the platform's store."""

    address: Address


@dataclass(frozen=True, slots=True)
class PeersSection:
    """Addresses (IP:port) of entry hosts to contact before the store lists them.

    Their ports are ignored: all peers listen on the port of this host's `peers`.
    `dcs` names the data centres of the deployment; runners elsewhere are not used. If
    it is empty, any data centre is accepted.
    """

    seeds: tuple[Address, ...] = ()
    dcs: tuple[HostName, ...] = ()


@dataclass(frozen=True, slots=True)
class BoundsSection:
    """Time limits of the deployment.

    `lease_ms` is the longest lease of a runner. A draining runner must not get a
    start request later than `drain_ms` after it began to drain. A configuration must
    be in force within `config_ms`. A caller without an answer to its job sends the job
    again after `resend_ms`. The process must end within `grace_s` seconds of SIGTERM.
    For up to `handover_ms` of this time an owner hands its shares over to successors
    that it chooses; with 0, other hosts take them over as after a failure.
    """

    lease_ms: Millis = 1000.0
    drain_ms: Millis = 2000.0
    config_ms: Millis = 2000.0
    resend_ms: Millis = 1300.0
    grace_s: Annotated[float, Meta(gt=0, le=3600)] = 6.0
    handover_ms: Annotated[float, Meta(ge=0, le=86_400_000)] = 2000.0

    @property
    def lease_s(self) -> float:
        """Longest lease of a runner, in seconds."""
        return self.lease_ms / MS_PER_S

    @property
    def drain_s(self) -> float:
        """Limit for draining, in seconds."""
        return self.drain_ms / MS_PER_S

    @property
    def config_s(self) -> float:
        """Limit for applying a configuration, in seconds."""
        return self.config_ms / MS_PER_S

    @property
    def handover_s(self) -> float:
        """Limit for handing shares over, in seconds; leaves time for a takeover."""
        return min(self.handover_ms / MS_PER_S, self.grace_s / 2)

    @property
    def resend_s(self) -> float:
        """Delay before a caller sends an unanswered job again, in seconds."""
        return self.resend_ms / MS_PER_S


@dataclass(frozen=True, slots=True)
class LogSection:
    """Level and rate limit of the log lines of this process.

    Lines below the level `warning` are dropped and counted above `lines_per_s`. The
    default rate takes up to about 3 % of a core, at 30 microseconds a line.
    """

    level: Literal["debug", "info", "warning", "error"] = "info"
    lines_per_s: Count = 300


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """All settings of an entry daemon."""

    host: HostSection
    listen: ListenSection
    store: StoreSection
    peers: PeersSection = field(default_factory=PeersSection)
    bounds: BoundsSection = field(default_factory=BoundsSection)
    log: LogSection = field(default_factory=LogSection)


def load_settings(path: Path, overrides: dict[str, str] | None = None) -> EntrySettings:
    """Read the settings of an entry daemon; raise `SettingsErrorGroup` on errors."""
    return load_ini(path, EntrySettings, overrides)
