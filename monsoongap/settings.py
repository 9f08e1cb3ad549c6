"""The settings of an entry daemon, read from an INI file.

Layers: the defaults below, then the file, then `--set section.key=value` of the
command line. What operators change at run time lives in the settings tree that
the log carries, see `monsoongap.coordination`.
"""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Literal

from msgspec import Meta

from monsoongap.util.ini import load_ini

Port = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:\d{1,5}$")]
HostName = Annotated[str, Meta(pattern=r"^[A-Za-z0-9-]{1,63}$")]
Url = Annotated[str, Meta(pattern=r"^https?://[^/]+$")]
Seconds = Annotated[float, Meta(gt=0, le=86_400)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Share = Annotated[float, Meta(ge=0, le=1)]


@dataclass(frozen=True, slots=True)
class HostSection:
    """Who this process is. `region` groups data centres."""

    name: HostName
    dc: HostName
    region: HostName = "main"


@dataclass(frozen=True, slots=True)
class ListenSection:
    """Addresses (IP:port) this process listens on."""

    caller: Port = "127.0.0.1:8080"
    peer: Port = "127.0.0.1:8090"


@dataclass(frozen=True, slots=True)
class PlatformSection:
    """Where the platform's services are."""

    log_url: Url = "http://127.0.0.1:8000"
    hosts_url: Url = "http://127.0.0.1:8000"
    timeout_s: Seconds = 2.0


@dataclass(frozen=True, slots=True)
class PeersSection:
    """Peers known before the host list is, as `name=dc=address`, and heartbeats.

    `cross_dc` is the number of hosts of each other data centre that this host
    exchanges heartbeats with; both times are doubled there.
    """

    bootstrap: tuple[
        Annotated[str, Meta(pattern=r"^[\w-]+=[\w-]+=[0-9a-fA-F.:\[\]]+:\d{1,5}$")], ...
    ] = ()
    heartbeat_s: Seconds = 1.0
    suspect_after_s: Seconds = 2.5
    hosts_poll_s: Seconds = 2.0
    cross_dc: Annotated[int, Meta(ge=1, le=16)] = 2


@dataclass(frozen=True, slots=True)
class LimitsSection:
    """Limits that protect one caller from another."""

    body_bytes: Count = 1_000_000
    header_bytes: Count = 16_384
    connections: Count = 2_000
    body_timeout_s: Seconds = 10.0
    idle_s: Seconds = 300.0
    jobs: Count = 5_000
    issued_ids: Count = 20_000
    drain_s: Seconds = 30.0


@dataclass(frozen=True, slots=True)
class WorkersSection:
    """How this process talks to workers."""

    connections: Annotated[int, Meta(ge=1, le=64)] = 32
    connect_timeout_s: Seconds = 1.0
    reply_grace_s: Seconds = 1.0
    probe_s: Seconds = 1.0
    silent_after_s: Seconds = 0.5
    lease_s: Seconds = 3.0


@dataclass(frozen=True, slots=True)
class PlacementSection:
    """Queueing, shares, credits, ejection of bad workers.

    `short_s` parts short from long tasks until the gap between them has been
    measured. A job is refused when it would wait longer than `queue_wait_s` and
    longer than `queue_wait_runs` times its longest task.
    """

    short_s: Seconds = 1.0
    queue_tasks: Count = 10_000
    queue_wait_s: Seconds = 0.5
    queue_wait_runs: Annotated[float, Meta(ge=0, le=1000)] = 5.0
    credit_lease_s: Seconds = 2.0
    suspect_grace_s: Seconds = 5.0
    probe_s: Seconds = 1.0
    probe_max_s: Seconds = 30.0
    ejected_share: Share = 0.25


@dataclass(frozen=True, slots=True)
class ClaimsSection:
    """How callers' own keys are claimed in the log.

    `buckets` is the number of claims streams and must be equal on every host, as
    must `keep_s`, which must lie below the log's retention. Claims gather for
    `batch_s`. `appends_per_s` is the part of the log's rate that the claims of
    all hosts together may take.
    """

    buckets: Annotated[int, Meta(ge=1, le=4096)] = 2
    batch_s: Seconds = 0.01
    keep_s: Seconds = 600.0
    appends_per_s: Annotated[float, Meta(gt=0, le=100_000)] = 200.0


@dataclass(frozen=True, slots=True)
class TreeSection:
    """How the settings tree is replayed, passed on and first written to.

    `open` says whether teams that the tree does not name may submit.
    `admin_token_hash` (`sha256:` and 64 hexadecimal digits) lets a first operator
    change any subtree; empty means that only operators named in the tree may.
    `snapshot_s` must lie well below the log's retention. `start_empty` lets a host
    that finds neither a snapshot nor a peer begin with an empty tree.
    """

    digest_s: Seconds = 1.0
    snapshot_s: Seconds = 300.0
    open: bool = True
    start_empty: bool = False
    admin_token_hash: Annotated[str, Meta(pattern=r"^(sha256:[0-9a-f]{64})?\Z")] = ""


@dataclass(frozen=True, slots=True)
class TlsSection:
    """Certificate files (PEM); empty means plain connections."""

    certificate: str = ""
    key: str = ""
    ca: str = ""
    reload_s: Seconds = 5.0


@dataclass(frozen=True, slots=True)
class LogSection:
    """Form and level of this process's own log."""

    format: Literal["text", "json"] = "text"
    level: Literal["debug", "info", "warning", "error"] = "info"


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Everything an entry daemon is told at start."""

    host: HostSection
    listen: ListenSection = field(default_factory=ListenSection)
    platform: PlatformSection = field(default_factory=PlatformSection)
    peers: PeersSection = field(default_factory=PeersSection)
    limits: LimitsSection = field(default_factory=LimitsSection)
    workers: WorkersSection = field(default_factory=WorkersSection)
    placement: PlacementSection = field(default_factory=PlacementSection)
    claims: ClaimsSection = field(default_factory=ClaimsSection)
    tree: TreeSection = field(default_factory=TreeSection)
    tls: TlsSection = field(default_factory=TlsSection)
    log: LogSection = field(default_factory=LogSection)


def load_settings(path: Path, overrides: dict[str, str] | None = None) -> EntrySettings:
    """Read an entry daemon's settings; raises `SettingsErrors`."""
    return load_ini(path, EntrySettings, overrides)
