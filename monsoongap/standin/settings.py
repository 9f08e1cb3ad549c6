"""The settings of the stand-in, read from an INI file."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

from msgspec import Meta

from monsoongap.protocol.messages import HostEntry, HostRole
from monsoongap.settings import Count, LogSection, Port, Seconds
from monsoongap.standin.log_model import LogShape
from monsoongap.standin.worker_model import WorkerShape
from monsoongap.util.ini import SettingsErrors, SettingsFault, load_ini

CLOCK_STEP_S = 1000.0
LOCATION_PATTERN = r"^[A-Za-z0-9-]{1,63}=[A-Za-z0-9-]{1,63}=[0-9a-fA-F.:\[\]]+:\d{1,5}$"

Location = Annotated[str, Meta(pattern=LOCATION_PATTERN)]


@dataclass(frozen=True, slots=True)
class ListenSection:
    """Address (IP:port) of the log, the host list and the control calls."""

    control: Port = "127.0.0.1:8000"


@dataclass(frozen=True, slots=True)
class WorkersSection:
    """The workers, as `name=dc=IP:port`, and the size that all of them have."""

    locations: tuple[Location, ...] = ()
    slots: Annotated[int, Meta(ge=1, le=1024)] = 8
    connections: Annotated[int, Meta(ge=1, le=1024)] = 64
    cpus: Annotated[float, Meta(gt=0, le=1024)] = 16.0
    memory_mb: Count = 32_768
    accelerators: Annotated[int, Meta(ge=0, le=64)] = 0
    per_rack: Count = 6
    keep_tasks: Count = 20_000
    keep_s: Seconds = 600.0
    usage_lag_s: Annotated[float, Meta(ge=0, le=3600)] = 1.0


@dataclass(frozen=True, slots=True)
class EntriesSection:
    """The entry hosts shown in the host list, as `name=dc=IP:port` of their peers."""

    locations: tuple[Location, ...] = ()


@dataclass(frozen=True, slots=True)
class HostListSection:
    """How far the host list lags behind the truth."""

    lag_s: Annotated[float, Meta(ge=0, le=3600)] = 0.0


@dataclass(frozen=True, slots=True)
class ShutdownSection:
    """How long running tasks may take to end after SIGTERM."""

    drain_s: Seconds = 5.0


@dataclass(frozen=True, slots=True)
class StandInSettings:
    """Everything the stand-in is told at start."""

    listen: ListenSection = field(default_factory=ListenSection)
    workers: WorkersSection = field(default_factory=WorkersSection)
    entries: EntriesSection = field(default_factory=EntriesSection)
    host_list: HostListSection = field(default_factory=HostListSection)
    log_service: LogShape = field(default_factory=LogShape)
    shutdown: ShutdownSection = field(default_factory=ShutdownSection)
    log: LogSection = field(default_factory=LogSection)


def load_settings(
    path: Path, overrides: dict[str, str] | None = None
) -> StandInSettings:
    """Read the stand-in's settings; raises `SettingsErrors`."""
    cfg = load_ini(path, StandInSettings, overrides)
    faults = list(_repeated(cfg, str(path)))
    if faults:
        raise SettingsErrors(f"{len(faults)} fault(s) in {path}", faults)
    return cfg


def worker_shapes(cfg: WorkersSection) -> tuple[WorkerShape, ...]:
    """Return the shapes of all workers; no two clocks agree."""
    return tuple(
        WorkerShape(
            name=_split(location)[0],
            slots=cfg.slots,
            connections=cfg.connections,
            cpus=cfg.cpus,
            memory_mb=cfg.memory_mb,
            accelerators=cfg.accelerators,
            keep_tasks=cfg.keep_tasks,
            keep_s=cfg.keep_s,
            usage_lag_s=cfg.usage_lag_s,
            clock_offset_s=CLOCK_STEP_S * index,
        )
        for index, location in enumerate(cfg.locations)
    )


def host_entries(cfg: StandInSettings) -> tuple[HostEntry, ...]:
    """Return the lines of the host list: entry hosts, then workers."""
    return (*_entry_hosts(cfg.entries), *_worker_hosts(cfg.workers))


def _entry_hosts(cfg: EntriesSection) -> Iterator[HostEntry]:
    for location in cfg.locations:
        name, dc, address = _split(location)
        yield HostEntry(name, HostRole.ENTRY, dc, address)


def _worker_hosts(cfg: WorkersSection) -> Iterator[HostEntry]:
    in_dc: dict[str, int] = {}
    for location in cfg.locations:
        name, dc, address = _split(location)
        rack = in_dc.get(dc, 0) // cfg.per_rack
        in_dc[dc] = in_dc.get(dc, 0) + 1
        yield HostEntry(
            name=name,
            role=HostRole.WORKER,
            dc=dc,
            address=address,
            slots=cfg.slots,
            connections=cfg.connections,
            cpus=cfg.cpus,
            memory_mb=cfg.memory_mb,
            rack=f"{dc}-rack{rack + 1}",
        )


def _repeated(cfg: StandInSettings, source: str) -> Iterator[SettingsFault]:
    """Yield a fault for each name or address that is given twice."""
    seen = {cfg.listen.control}
    for section, locations in (
        ("workers", cfg.workers.locations),
        ("entries", cfg.entries.locations),
    ):
        for location in locations:
            name, _, address = _split(location)
            for text in (name, address):
                if text in seen:
                    reason = f"{text!r} is given twice"
                    yield SettingsFault(source, section, "locations", reason)
                seen.add(text)


def _split(location: str) -> tuple[str, str, str]:
    name, dc, address = location.split("=")
    return name, dc, address
