"""The settings file that the platform lays beside each process (TOML).

Fields that are not named here are ignored, as new ones may come; a missing or
malformed one stops the start with a sentence that names it.
"""

import os
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from monsoongap.errors import UserError

# Names the variable that holds the path of the file.
PATH_VARIABLE = "MONSOONGAP_NODE_FILE"
# Named once more as `metrics` in deploy/system.toml.
METRICS_PORT = 9464


class _Bounds(msgspec.Struct, rename="camel"):
    hold_max_ms: float = 1000
    grace_s: float = 6
    drain_ms: float = 2000


class _Limits(msgspec.Struct, rename="camel"):
    # A share of one core; the core may be several times as fast as usual.
    cpu_share: float = 1.0
    cores: float = 1.0


class _Store(msgspec.Struct):
    address: str


class _File(msgspec.Struct, rename="camel"):
    node: str
    ip: str
    zone: str
    region: str
    port_range: tuple[int, int]
    bind_addrs: dict[str, str]
    platform: _Store
    bounds: _Bounds
    limits: _Limits = msgspec.field(default_factory=_Limits)
    seeds: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class NodeFile:
    """What a process is told at its start. Addresses are `IP:port`."""

    host: str
    ip: str
    dc: str
    region: str
    caller_address: str
    ready_address: str
    peer_port: int
    metrics_port: int
    store_address: str
    seed_ips: tuple[str, ...]
    lease_s: float
    grace_s: float
    cores: float = 1.0


def parse(text: str) -> NodeFile:
    """Read the file's text; raises `UserError`."""
    try:
        raw: Any = tomllib.loads(text)
        file = msgspec.convert(raw, _File, strict=False)
        return NodeFile(
            host=file.node,
            ip=file.ip,
            dc=file.zone,
            region=file.region,
            caller_address=file.bind_addrs["front"],
            ready_address=file.bind_addrs["ready"],
            peer_port=file.port_range[0],
            metrics_port=METRICS_PORT,
            store_address=file.platform.address,
            seed_ips=tuple(seed.rpartition(":")[0] for seed in file.seeds),
            lease_s=file.bounds.hold_max_ms / 1000,
            grace_s=file.bounds.grace_s,
            cores=round(file.limits.cpu_share * file.limits.cores, 3),
        )
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as exc:
        raise UserError(f"settings file not understood: {exc}") from exc
    except KeyError as exc:
        raise UserError(f"settings file lacks bindAddrs.{exc.args[0]}") from exc


def load() -> NodeFile:
    """Read the file that the environment names; raises `UserError`."""
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise UserError(f"{PATH_VARIABLE} is not set")
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise UserError(f"settings file {path} cannot be read: {exc}") from exc
    return parse(text)
