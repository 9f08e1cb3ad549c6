"""The processes of a soak: the stand-in's and the daemons, ended by their own id."""

import contextlib
import os
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

from monsoongap.platform.node_file import PATH_VARIABLE

ROOT = Path(__file__).parent.parent
GRACE_S = 4
NODE_FILE = """node = "{name}"
ip = "{ip}"
zone = "{dc}"
region = "soak"
portRange = [{peer}, {peer_end}]
seeds = []
[bindAddrs]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[platform]
address = "{store}"
[bounds]
holdMaxMs = 1000
graceS = {grace}
"""


@dataclass(frozen=True, slots=True)
class NodeAddress:
    """Where one daemon listens."""

    name: str
    dc: str
    ip: str
    front_port: int


@dataclass(slots=True)
class Processes:
    """Starts, signals and ends what a soak needs."""

    out: Path
    store: str
    base_port: int
    nodes: dict[str, NodeAddress] = field(default_factory=dict)
    _running: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)

    def start(self, name: str, *args: str, settings: Path | None = None) -> None:
        """Start a module as a process; its output goes to a file of its name."""
        env = dict(os.environ)
        if settings is not None:
            env[PATH_VARIABLE] = str(settings)
        with (self.out / f"{name}.log").open("ab") as log:
            self._running[name] = subprocess.Popen(
                [sys.executable, "-m", *args], cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def add_node(self, name: str, dc: str, ip: str) -> None:
        """Write the settings of a daemon and start it."""
        base = self.base_port
        self.nodes[name] = NodeAddress(name, dc, ip, base)
        text = NODE_FILE.format(
            name=name,
            ip=ip,
            dc=dc,
            peer=base + 2,
            peer_end=base + 9,
            front=base,
            ready=base + 1,
            store=self.store,
            grace=GRACE_S,
        )
        (self.out / f"{name}.toml").write_text(text)
        self.start_node(name)

    def start_node(self, name: str) -> None:
        """Start a daemon, or start it again."""
        path = self.out / f"{name}.toml"
        self.start(name, "monsoongap.platform.daemon", settings=path)

    def is_up(self, name: str) -> bool:
        """Tell whether a process runs."""
        return self._running[name].poll() is None

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process if it runs."""
        with contextlib.suppress(ProcessLookupError):
            self._running[name].send_signal(number)

    def wait(self, name: str, timeout_s: float) -> None:
        """Wait for a process to end."""
        self._running[name].wait(timeout_s)

    def end_all(self) -> None:
        """End every process that was started here."""
        for process in self._running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
