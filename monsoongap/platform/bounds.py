"""Limits that only some platforms have, from the list that the platform fills in."""

import math
from dataclasses import replace

from monsoongap.settings import EntrySettings

EVACUATION_NAME = "evacMs"
# The platform names the limit, but its value was not filled in: shorter than any known.
ASSUMED_EVAC_MS = 2000.0


def apply_listed_bounds(cfg: EntrySettings) -> EntrySettings:
    """Return settings whose limit for evacuations is the listed one, if it is unset."""
    values = dict(_split(entry) for entry in cfg.bounds.listed)
    if cfg.bounds.evac_ms or EVACUATION_NAME not in values:
        return cfg
    evac_ms = _number(values[EVACUATION_NAME])
    return replace(cfg, bounds=replace(cfg.bounds, evac_ms=evac_ms))


def _split(entry: str) -> tuple[str, str]:
    name, _, value = entry.partition("=")
    return name.strip(), value.strip()


def _number(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        return ASSUMED_EVAC_MS
    return value if math.isfinite(value) and value >= 0 else ASSUMED_EVAC_MS
