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
OptionalMillis = Annotated[float, Meta(ge=0, le=86_400_000)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
ByteCount = Annotated[int, Meta(ge=1024, le=1_000_000_000)]
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


# A run without a caller is kept this much longer than a caller takes to submit again.
ORPHAN_MARGIN_S = 0.7
# A stop takes 50 ms, and is repeated if its reply is lost.
STOP_MARGIN_S = 0.4
# A runner's clock may be 2 % slow, and it ends what runs a little after the lease.
CUT_LEASE_MARGIN_S = 0.1
# Before this, other hosts take a silent owner's runs over.
TAKEOVER_S = 0.7
# Runs of a former owner or of an unresponsive lender, for which no caller is known to
# wait, have ended after this: the lender's timeout for its borrower, the time that
# orphans are kept, and a lease.
RECONCILED_S = 4.0


@dataclass(frozen=True, slots=True)
class BoundsSection:
    """Time limits of the deployment.

    `lease_ms` is the longest lease of a runner. A draining runner must not get a
    start request later than `drain_ms` after it began to drain. A configuration must
    be in force within `config_ms`. A caller without an answer to its job sends the job
    again after `resend_ms`. The process must end within `grace_s` seconds of SIGTERM.
    Nothing is started in a data centre later than `evac_ms` after its evacuation began;
    0 if data centres are never evacuated.
    For up to `handover_ms` of this time an owner hands its shares over to successors
    that it chooses; with 0, other hosts take them over as after a failure.
    """

    lease_ms: Millis = 1000.0
    drain_ms: Millis = 2000.0
    config_ms: Millis = 2000.0
    resend_ms: Millis = 1300.0
    grace_s: Annotated[float, Meta(gt=0, le=3600)] = 6.0
    evac_ms: OptionalMillis = 0.0
    handover_ms: Annotated[float, Meta(ge=0, le=86_400_000)] = 2000.0

    @property
    def orphan_s(self) -> float:
        """How long a run without a caller is kept, as the caller may submit again."""
        return self.resend_s + ORPHAN_MARGIN_S

    @property
    def cut_orphan_s(self) -> float:
        """How long such a run is kept while a data centre is out of touch.

        The caller may submit again there, and the run has to have ended by then.
        """
        return max(self.resend_s - STOP_MARGIN_S, 0.0)

    @property
    def cut_lease_s(self) -> float:
        """How long a lease may last from when a caller of a run was known to wait.

        Holds while a data centre is out of touch: the caller may submit again there.
        """
        return max(self.resend_s - CUT_LEASE_MARGIN_S, 0.0)

    @property
    def reconciled_s(self) -> float:
        """After how long the runs of a host that is out of touch have ended.

        It ends those of which it does not hear that a caller waits, by a stop or, if
        the runner does not confirm that, by a lease that lapses.
        """
        return max(RECONCILED_S, self.cut_orphan_s + 2 * self.lease_s + STOP_MARGIN_S)

    @property
    def cut_takeover_s(self) -> float:
        """How long a new owner keeps such a run while a data centre is out of touch."""
        return max(self.cut_orphan_s - TAKEOVER_S, 0.0)

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
    def evac_s(self) -> float:
        """Limit for evacuating a data centre, in seconds; 0 if there is none."""
        return self.evac_ms / MS_PER_S

    @property
    def handover_s(self) -> float:
        """Limit for handing shares over, in seconds; leaves time for a takeover."""
        return min(self.handover_ms / MS_PER_S, self.grace_s / 2)

    @property
    def resend_s(self) -> float:
        """Delay before a caller sends an unanswered job again, in seconds."""
        return self.resend_ms / MS_PER_S


@dataclass(frozen=True, slots=True)
class PlacementSection:
    """How tasks are placed.

    With `horizon_ms` above 0, placement plans that far ahead: it predicts the ends of
    runs and holds a runner for a task that fits nowhere yet, never for longer than
    that. With 0 each task goes to the runner that is left with the least capacity.
    """

    horizon_ms: Annotated[float, Meta(ge=0, le=10_000)] = 0.0

    @property
    def horizon_s(self) -> float:
        """How far ahead placement plans, in seconds; 0 if it does not."""
        return self.horizon_ms / MS_PER_S


@dataclass(frozen=True, slots=True)
class LogSection:
    """Level and rate limit of the log lines of this process.

    Lines below the level `warning` are dropped and counted above `lines_per_s`. The
    default rate takes up to about 3 % of a core, at 30 microseconds a line.
    """

    level: Literal["debug", "info", "warning", "error"] = "info"
    lines_per_s: Count = 300


@dataclass(frozen=True, slots=True)
class LimitsSection:
    """Limits on what others may cost this process.

    `memory_mb` and `max_fds` are those of the machine; the defaults are those of the
    smallest one. Data that is being received may take `receive_share` of the memory.
    A caller's request is limited by the operator's configuration; `call_bytes` limits a
    call of another host, `operator_bytes` an operator's request, and `reply_bytes` a
    reply of the store, a runner or a host. A request's body may take as long as
    `min_bytes_per_s` takes for it.
    """

    memory_mb: Annotated[int, Meta(ge=64, le=1_000_000)] = 160
    max_fds: Annotated[int, Meta(ge=64, le=1_000_000)] = 1638
    receive_share: Annotated[float, Meta(ge=0.01, le=0.5)] = 0.25
    call_bytes: ByteCount = 4_000_000
    operator_bytes: ByteCount = 1_000_000
    reply_bytes: ByteCount = 8_000_000
    min_bytes_per_s: Count = 4096

    @property
    def receive_bytes(self) -> int:
        """Memory for data that is being received, in bytes."""
        return int(self.memory_mb * 1_000_000 * self.receive_share)


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """All settings of an entry daemon."""

    host: HostSection
    listen: ListenSection
    store: StoreSection
    peers: PeersSection = field(default_factory=PeersSection)
    bounds: BoundsSection = field(default_factory=BoundsSection)
    log: LogSection = field(default_factory=LogSection)
    limits: LimitsSection = field(default_factory=LimitsSection)
    placement: PlacementSection = field(default_factory=PlacementSection)


def load_settings(path: Path, overrides: dict[str, str] | None = None) -> EntrySettings:
    """Read the settings of an entry daemon; raise `SettingsErrorGroup` on errors."""
    return load_ini(path, EntrySettings, overrides)
