"""The processes of a soak: the stand-in and the entry hosts, ended by their ids."""

import contextlib
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

ROOT = Path(__file__).parent.parent
GRACE_S = 4
# Above the port for callers.
PEERS_OFFSET = 3
# Above the ports on which an entry host listens itself.
CALLERS_PROXY_OFFSET = 4
# Limit for evacuating a data centre.
EVAC_MS = 5000
# High enough to keep all lines; the cause of a broken promise is traced from them.
LOG_LINES_PER_S = 5000
SETTINGS_TEMPLATE = """[host]
name = {name}
dc = {dc}
[listen]
callers = {ip}:{port}
ready = {ip}:{ready}
operators = {ip}:{operators}
peers = {ip}:{peers}
[store]
address = {store}
[bounds]
grace_s = {grace}
evac_ms = {evac_ms}
[log]
lines_per_s = {log_lines}
"""


@dataclass(frozen=True, slots=True)
class NodeAddress:
    """The addresses on which one entry host listens."""

    name: str
    dc: str
    ip: str
    port: int

    @property
    def callers(self) -> str:
        """Return the address for callers."""
        return f"{self.ip}:{self.port}"

    @property
    def proxied_callers(self) -> str:
        """Return the address of the proxy in front of that for callers."""
        return f"{self.ip}:{self.port + CALLERS_PROXY_OFFSET}"

    @property
    def ready(self) -> str:
        """Return the address of the readiness check."""
        return f"{self.ip}:{self.port + 1}"

    @property
    def operators(self) -> str:
        """Return the address for operators."""
        return f"{self.ip}:{self.port + 2}"


@dataclass(slots=True)
class Processes:
    """Starts, signals and ends processes; writes their files to `out`."""

    out: Path
    base_port: int
    log_lines_per_s: int = LOG_LINES_PER_S
    nodes: dict[str, NodeAddress] = field(default_factory=dict)
    _running: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    _links: dict[str, Path] = field(default_factory=dict)

    def start(self, name: str, *args: str) -> None:
        """Start a module as a process; its output is appended to `NAME.log`."""
        with (self.out / f"{name}.log").open("ab") as log:
            self._running[name] = subprocess.Popen(
                [sys.executable, "-m", *args], cwd=ROOT, stdout=log, stderr=log
            )

    def write_links(self, dc: str, links: dict[str, str]) -> None:
        """Have the hosts of a data centre use proxies for the addresses in `links`."""
        self._links[dc] = self.out / f"links-{dc}.json"
        self._links[dc].write_bytes(msgspec.json.encode(links))

    def add_node(self, name: str, dc: str, ip: str, store: str) -> None:
        """Write the settings of an entry host and start it."""
        port = self.base_port
        self.nodes[name] = NodeAddress(name, dc, ip, port)
        text = SETTINGS_TEMPLATE.format(
            name=name,
            ip=ip,
            dc=dc,
            port=port,
            ready=port + 1,
            operators=port + 2,
            peers=port + PEERS_OFFSET,
            store=store,
            grace=GRACE_S,
            evac_ms=EVAC_MS,
            log_lines=self.log_lines_per_s,
        )
        (self.out / f"{name}.ini").write_text(text)
        self.start_node(name)

    def start_node(self, name: str) -> None:
        """Start an entry host unless it runs; another fault may have restarted it."""
        if name in self._running and self.is_up(name):
            return
        path = self.out / f"{name}.ini"
        if links := self._links.get(self.nodes[name].dc):
            self.start(name, "soak.linked_host", str(path), str(links))
        else:
            self.start(name, "monsoongap.entry", f"--config={path}")

    def is_up(self, name: str) -> bool:
        """Return whether a process runs."""
        return self._running[name].poll() is None

    def pid(self, name: str) -> int:
        """Return the id of a process."""
        return self._running[name].pid

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process if it runs."""
        with contextlib.suppress(ProcessLookupError):
            self._running[name].send_signal(number)

    def wait(self, name: str, timeout_s: float) -> None:
        """Wait for a process to end."""
        self._running[name].wait(timeout_s)

    def end_all(self) -> None:
        """Kill every process that was started and wait for its end."""
        for process in self._running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
