"""The profile of a load run, read from an INI file."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Literal

from msgspec import Meta

from monsoongap.settings import Address, Count, Factor
from monsoongap.util.ini import SettingsError, SettingsErrorGroup, load_ini

PositiveMillis = Annotated[float, Meta(gt=0, le=3_600_000)]
PositiveSeconds = Annotated[float, Meta(gt=0, le=86_400)]
NonNegativeSeconds = Annotated[float, Meta(ge=0, le=86_400)]
Share = Annotated[float, Meta(ge=0, le=1)]


@dataclass(frozen=True, slots=True)
class TargetSection:
    """The deployment under load: the operators' addresses of its entry hosts.

    `ledger` is the stand-in's control address; if it is empty, promises are not
    checked. `timeout_s` bounds the wait for an answer.
    """

    entries: tuple[Address, ...]
    ledger: str = ""
    timeout_s: PositiveSeconds = 10.0


@dataclass(frozen=True, slots=True)
class ArrivalsSection:
    """The arrivals of jobs: an open-loop Poisson process drawn from `seed`.

    The rate is `peak_jobs_per_s` from `peak_from_s` on for `peak_for_s`, and
    `jobs_per_s` at other times.
    """

    jobs_per_s: Factor = 20.0
    peak_jobs_per_s: Factor = 20.0
    peak_from_s: NonNegativeSeconds = 0.0
    peak_for_s: NonNegativeSeconds = 0.0
    duration_s: PositiveSeconds = 10.0
    seed: int = 1


@dataclass(frozen=True, slots=True)
class MixSection:
    """The composition of jobs; run times follow a log-uniform distribution.

    `long_share` of the jobs are long. `straggler_share` of the short jobs take
    `straggler_factor` times their declared run time.
    """

    short_queue: str = "r-scan"
    long_queue: str = "r-load"
    long_share: Share = 0.1
    tasks_min: Count = 1
    tasks_max: Count = 8
    short_min_ms: PositiveMillis = 20.0
    short_max_ms: PositiveMillis = 120.0
    long_min_ms: PositiveMillis = 300.0
    long_max_ms: PositiveMillis = 900.0
    straggler_share: Share = 0.0
    straggler_factor: Factor = 7.0
    cpu_milli: Count = 1000
    mem_mb: Count = 64


@dataclass(frozen=True, slots=True)
class LogSection:
    """Lowest level of the log lines to print; failed calls are warnings."""

    level: Literal["info", "warning", "error"] = "warning"


@dataclass(frozen=True, slots=True)
class LoadProfile:
    """All settings of a load run."""

    target: TargetSection
    arrivals: ArrivalsSection = field(default_factory=ArrivalsSection)
    mix: MixSection = field(default_factory=MixSection)
    log: LogSection = field(default_factory=LogSection)


def load_profile(path: Path, overrides: dict[str, str] | None = None) -> LoadProfile:
    """Read a load profile; raises `SettingsErrorGroup` with all invalid settings."""
    cfg = load_ini(path, LoadProfile, overrides)
    faults = [
        SettingsError(str(path), "mix", f"{name}_max", f"must not be below {name}_min")
        for name, low, high in (
            ("tasks", cfg.mix.tasks_min, cfg.mix.tasks_max),
            ("short", cfg.mix.short_min_ms, cfg.mix.short_max_ms),
            ("long", cfg.mix.long_min_ms, cfg.mix.long_max_ms),
        )
        if high < low
    ]
    if not cfg.target.entries:
        faults.append(
            SettingsError(str(path), "target", "entries", "must name at least one host")
        )
    if faults:
        raise SettingsErrorGroup(f"{len(faults)} error(s) in {path}", faults)
    return cfg
