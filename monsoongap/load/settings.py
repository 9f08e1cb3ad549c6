"""The profile of a load run, read from an INI file."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Literal

from msgspec import Meta

from monsoongap.settings import Address, Count, Factor
from monsoongap.util.ini import SettingsError, SettingsErrorGroup, load_ini

Millis = Annotated[float, Meta(gt=0, le=3_600_000)]
Seconds = Annotated[float, Meta(gt=0, le=86_400)]
NotNegative = Annotated[float, Meta(ge=0, le=86_400)]
Share = Annotated[float, Meta(ge=0, le=1)]


@dataclass(frozen=True, slots=True)
class TargetSection:
    """Where the deployment is: operators' addresses of its entry hosts.

    `ledger` is the stand-in's control address; without it promises are not checked.
    """

    entries: tuple[Address, ...]
    ledger: str = ""
    timeout_s: Seconds = 10.0


@dataclass(frozen=True, slots=True)
class ArrivalsSection:
    """When jobs arrive: an open loop, Poisson, from a seed.

    `peak_jobs_per_s` is offered from `peak_from_s` on for `peak_for_s`.
    """

    jobs_per_s: Factor = 20.0
    peak_jobs_per_s: Factor = 20.0
    peak_from_s: NotNegative = 0.0
    peak_for_s: NotNegative = 0.0
    duration_s: Seconds = 10.0
    seed: int = 1


@dataclass(frozen=True, slots=True)
class MixSection:
    """What jobs are made of; run times are drawn evenly on a log scale.

    A share of jobs is long; a share of tasks runs `straggler_factor` times longer
    than declared.
    """

    short_queue: str = "r-scan"
    long_queue: str = "r-load"
    long_share: Share = 0.1
    tasks_min: Count = 1
    tasks_max: Count = 8
    short_min_ms: Millis = 20.0
    short_max_ms: Millis = 120.0
    long_min_ms: Millis = 300.0
    long_max_ms: Millis = 900.0
    straggler_share: Share = 0.0
    straggler_factor: Factor = 7.0
    cpu_milli: Count = 1000
    mem_mb: Count = 64


@dataclass(frozen=True, slots=True)
class LogSection:
    """Whether callers' errors are printed as they come."""

    level: Literal["info", "warning", "error"] = "warning"


@dataclass(frozen=True, slots=True)
class LoadProfile:
    """Everything a load run is told."""

    target: TargetSection
    arrivals: ArrivalsSection = field(default_factory=ArrivalsSection)
    mix: MixSection = field(default_factory=MixSection)
    log: LogSection = field(default_factory=LogSection)


def load_profile(path: Path, overrides: dict[str, str] | None = None) -> LoadProfile:
    """Read a profile; raises `SettingsErrorGroup` with every fault."""
    cfg = load_ini(path, LoadProfile, overrides)
    faults = [
        SettingsError(str(path), "mix", f"{name}_max", f"is below {name}_min")
        for name, low, high in (
            ("tasks", cfg.mix.tasks_min, cfg.mix.tasks_max),
            ("short", cfg.mix.short_min_ms, cfg.mix.short_max_ms),
            ("long", cfg.mix.long_min_ms, cfg.mix.long_max_ms),
        )
        if high < low
    ]
    if not cfg.target.entries:
        faults.append(SettingsError(str(path), "target", "entries", "names no host"))
    if faults:
        raise SettingsErrorGroup(f"{len(faults)} fault(s) in {path}", faults)
    return cfg
