"""Writes the INI files of a whole deployment on loopback.

It starts nothing: a script that starts the processes reads the files' paths and
addresses from what is returned.
"""

import configparser
import socket
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from pathlib import Path

from monsoongap.load.settings import DeploymentSection, LoadProfile, TargetSection

LOOPBACK = "127.0.0.1"

Sections = Mapping[str, Mapping[str, object]]


@dataclass(frozen=True, slots=True)
class LocalEntry:
    """One entry host: its name, data centre, settings file and addresses."""

    name: str
    dc: str
    config: Path
    caller: str
    peer: str

    @property
    def url(self) -> str:
        """Return the base URL for callers."""
        return f"http://{self.caller}"


@dataclass(frozen=True, slots=True)
class LocalDeployment:
    """The settings files of a stand-in and of its entry hosts."""

    platform_config: Path
    control: str
    entries: tuple[LocalEntry, ...]

    def target(self) -> TargetSection:
        """Return where a load run finds the deployment."""
        urls = tuple(entry.url for entry in self.entries)
        return TargetSection(entries=urls, ledgers=(f"http://{self.control}",))


def write_deployment(
    folder: Path, cfg: DeploymentSection, extra: Sections | None = None
) -> LocalDeployment:
    """Write all settings files into `folder`, with free ports.

    Entry hosts and workers are dealt out to the data centres in turn. `extra` is
    added to the settings of every entry host.
    """
    addresses = iter(_free_addresses(1 + cfg.workers + 2 * cfg.entries))
    control = next(addresses)
    entries = tuple(_entries(folder, cfg, addresses))
    workers = [
        f"w{number + 1}={_dc(cfg, number)}={next(addresses)}"
        for number in range(cfg.workers)
    ]
    deployment = LocalDeployment(folder / "platform.ini", control, entries)
    _write_ini(deployment.platform_config, _platform_sections(cfg, deployment, workers))
    for entry in entries:
        sections = _entry_sections(entry, deployment) | dict(extra or {})
        _write_ini(entry.config, sections)
    return deployment


def aim_at(cfg: LoadProfile, deployment: LocalDeployment) -> LoadProfile:
    """Return the profile with the deployment as its target."""
    return replace(cfg, target=deployment.target())


def _entries(
    folder: Path, cfg: DeploymentSection, addresses: Iterator[str]
) -> Iterator[LocalEntry]:
    for number in range(cfg.entries):
        name = f"e{number + 1}"
        config = folder / f"{name}.ini"
        dc = _dc(cfg, number)
        yield LocalEntry(name, dc, config, next(addresses), next(addresses))


def _platform_sections(
    cfg: DeploymentSection, deployment: LocalDeployment, workers: list[str]
) -> Sections:
    return {
        "listen": {"control": deployment.control},
        "workers": {
            "locations": ", ".join(workers),
            "slots": cfg.slots,
            "connections": cfg.connections,
            "cpus": cfg.cpus,
            "memory_mb": cfg.memory_mb,
            "per_rack": cfg.per_rack,
        },
        "entries": {"locations": _peer_locations(deployment)},
    }


def _entry_sections(
    entry: LocalEntry, deployment: LocalDeployment
) -> dict[str, Mapping[str, object]]:
    platform = f"http://{deployment.control}"
    return {
        "host": {"name": entry.name, "dc": entry.dc},
        "listen": {"caller": entry.caller, "peer": entry.peer},
        "platform": {"log_url": platform, "hosts_url": platform},
        "peers": {"bootstrap": _peer_locations(deployment)},
    }


def _peer_locations(deployment: LocalDeployment) -> str:
    return ", ".join(f"{e.name}={e.dc}={e.peer}" for e in deployment.entries)


def _dc(cfg: DeploymentSection, number: int) -> str:
    return cfg.dcs[number % len(cfg.dcs)]


def _write_ini(path: Path, sections: Sections) -> None:
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_dict(sections)
    with path.open("w", encoding="utf-8") as file:
        parser.write(file)


def _free_addresses(count: int) -> list[str]:
    """Return addresses that were free a moment ago."""
    sockets = [socket.create_server((LOOPBACK, 0)) for _ in range(count)]
    addresses = [f"{LOOPBACK}:{sock.getsockname()[1]}" for sock in sockets]
    for sock in sockets:
        sock.close()
    return addresses
