"""The profile of a load run, read from an INI file."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Literal

from msgspec import Meta

from monsoongap.protocol.messages import MAX_DEADLINE_MS, MAX_TASKS_PER_JOB, Name
from monsoongap.settings import Count, HostName, LogSection, Seconds, Share, Url
from monsoongap.util.ini import SettingsErrors, SettingsFault, load_ini

MS_PER_S = 1000

Millis = Annotated[float, Meta(gt=0, le=MAX_DEADLINE_MS)]
NotNegative = Annotated[float, Meta(ge=0, le=86_400)]
Factor = Annotated[float, Meta(ge=1, le=1000)]


@dataclass(frozen=True, slots=True)
class TargetSection:
    """Where the deployment under load is.

    `entries` are caller addresses of entry hosts, `ledgers` the control addresses
    of all processes of the stand-in; without them the checker is not run.
    """

    entries: tuple[Url, ...] = ()
    ledgers: tuple[Url, ...] = ()
    token: str = ""


@dataclass(frozen=True, slots=True)
class DeploymentSection:
    """Size of the deployment; its slots are what offered load is a share of.

    `round_trips_ms` is what an empty system needs beside the task itself.
    """

    name: HostName = "default"
    dcs: tuple[HostName, ...] = ("dc1",)
    entries: Count = 1
    workers: Count = 1
    slots: Annotated[int, Meta(ge=1, le=1024)] = 8
    connections: Annotated[int, Meta(ge=1, le=64)] = 64
    cpus: Annotated[float, Meta(gt=0, le=1024)] = 16.0
    memory_mb: Count = 32_768
    per_rack: Count = 6
    round_trips_ms: Millis = 1.0


@dataclass(frozen=True, slots=True)
class ArrivalsSection:
    """When jobs arrive: an open loop, Poisson, from a seed.

    `load` and `peak` are shares of capacity. `step` offers `peak` from
    `peak_from_s` for `peak_for_s`; `burst` adds `burst_jobs` at once then.
    """

    shape: Literal["steady", "step", "burst"] = "steady"
    load: Annotated[float, Meta(gt=0, le=100)] = 0.5
    peak: Annotated[float, Meta(gt=0, le=100)] = 2.0
    peak_from_s: NotNegative = 5.0
    peak_for_s: Seconds = 5.0
    burst_jobs: Count = 100
    duration_s: Seconds = 20.0
    seed: int = 1


@dataclass(frozen=True, slots=True)
class MixSection:
    """What the jobs are made of; run times are drawn evenly on a log scale.

    A share of jobs is long, a share of tasks are stragglers that run
    `straggler_factor` times longer, and a share of declared run times is wrong by
    up to `wrong_factor` either way.
    """

    team: Name = "load"
    short_kind: Name = "short"
    long_kind: Name = "long"
    tasks_min: Annotated[int, Meta(ge=1, le=MAX_TASKS_PER_JOB)] = 1
    tasks_max: Annotated[int, Meta(ge=1, le=MAX_TASKS_PER_JOB)] = 8
    short_min_ms: Millis = 50.0
    short_max_ms: Millis = 1000.0
    long_share: Share = 0.1
    long_min_ms: Millis = 2000.0
    long_max_ms: Millis = 5000.0
    straggler_share: Share = 0.0
    straggler_factor: Factor = 20.0
    wrong_share: Share = 0.0
    wrong_factor: Factor = 10.0
    unrepeatable_share: Share = 0.0


@dataclass(frozen=True, slots=True)
class CallsSection:
    """How callers submit: own keys or issued ids, and resubmissions."""

    deadline_ms: Annotated[int, Meta(ge=1, le=MAX_DEADLINE_MS)] = 30_000
    own_key_share: Share = 0.5
    resubmit_share: Share = 0.0
    grace_s: Seconds = 5.0
    max_connections: Count = 5_000


@dataclass(frozen=True, slots=True)
class LoadProfile:
    """Everything a load run is told."""

    target: TargetSection = field(default_factory=TargetSection)
    deployment: DeploymentSection = field(default_factory=DeploymentSection)
    arrivals: ArrivalsSection = field(default_factory=ArrivalsSection)
    mix: MixSection = field(default_factory=MixSection)
    calls: CallsSection = field(default_factory=CallsSection)
    log: LogSection = field(default_factory=LogSection)


def load_profile(path: Path, overrides: dict[str, str] | None = None) -> LoadProfile:
    """Read a profile; raises `SettingsErrors` with every fault."""
    cfg = load_ini(path, LoadProfile, overrides)
    faults = [
        SettingsFault(str(path), "mix", f"{name}_max", f"is below {name}_min")
        for name, low, high in (
            ("tasks", cfg.mix.tasks_min, cfg.mix.tasks_max),
            ("short", cfg.mix.short_min_ms, cfg.mix.short_max_ms),
            ("long", cfg.mix.long_min_ms, cfg.mix.long_max_ms),
        )
        if high < low
    ]
    if faults:
        raise SettingsErrors(f"{len(faults)} fault(s) in {path}", faults)
    return cfg
