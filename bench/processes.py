"""Starting and ending the project's programs on loopback, for scripts and tests."""

import contextlib
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import psutil

from monsoongap.load.local_deployment import LocalDeployment

READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
POLL_S = 0.1
LOG_TAIL_LINES = 15


class NotReady(Exception):
    """A program ended or stayed unready after its start."""


@dataclass(frozen=True, slots=True)
class Usage:
    """What a process used: processor seconds and resident megabytes."""

    cpu_s: float
    rss_mb: float


@dataclass(frozen=True)
class Program:
    """One started process and where its log goes."""

    name: str
    process: subprocess.Popen[bytes]
    log: Path

    def log_tail(self) -> str:
        """Return the last lines of its log."""
        lines = self.log.read_text(errors="replace").splitlines()
        return "\n".join(lines[-LOG_TAIL_LINES:])

    def usage(self) -> Usage:
        """Read what the process has used so far."""
        process = psutil.Process(self.process.pid)
        times = process.cpu_times()
        rss_mb = process.memory_info().rss / 1e6
        return Usage(times.user + times.system, rss_mb)


class Programs:
    """Processes that are stopped by their ids, in the reverse order of starting."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.started: list[Program] = []
        self.faults: list[str] = []

    def start(self, name: str, module: str, *args: str | Path) -> Program:
        """Start `python -m module args`; its output goes to a file."""
        log = self.folder / f"{name}.log"
        command = [sys.executable, "-m", module, *map(str, args)]
        with log.open("ab") as file:
            process = subprocess.Popen(command, stdout=file, stderr=file)
        program = Program(name, process, log)
        self.started.append(program)
        return program

    def write(self, name: str, text: str) -> Path:
        """Write a settings file and return its path."""
        path = self.folder / name
        path.write_text(text)
        return path

    def wait_ready(self, program: Program, url: str) -> None:
        """Wait until `url` answers 200; raises `NotReady` with the log."""
        give_up_at = time.monotonic() + READY_TIMEOUT_S
        while not _answers(url):
            code = program.process.poll()
            if code is not None or time.monotonic() > give_up_at:
                state = "not ready" if code is None else f"exited with {code}"
                raise NotReady(f"{program.name} {state}\n{program.log_tail()}")
            time.sleep(POLL_S)

    def stop(self) -> None:
        """Ask every process to leave and note those that did not do so well."""
        for program in reversed(self.started):
            self._stop_one(program)

    def _stop_one(self, program: Program) -> None:
        process = program.process
        if process.poll() is None:
            process.terminate()
        try:
            code: Any = process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            code = "nothing: it had to be killed"
        if code != 0:
            self.faults.append(
                f"{program.name} exited with {code}\n{program.log_tail()}"
            )


@contextmanager
def programs() -> Iterator[Programs]:
    """Give a group of programs in a folder of its own, stopped in the end."""
    with tempfile.TemporaryDirectory(prefix="monsoongap-") as folder:
        group = Programs(Path(folder))
        try:
            yield group
        finally:
            group.stop()


@contextmanager
def running(deployment: LocalDeployment, folder: Path) -> Iterator[Programs]:
    """Start a deployment, and stop it in the end."""
    group = Programs(folder)
    try:
        config = deployment.platform_config
        platform = group.start(
            "platform", "monsoongap.standin.main", "--config", config
        )
        group.wait_ready(platform, f"http://{deployment.control}/v1/hosts")
        started = [
            (group.start(e.name, "monsoongap.entry", "--config", e.config), e)
            for e in deployment.entries
        ]
        for program, entry in started:
            group.wait_ready(program, f"{entry.url}/readyz")
        yield group
    finally:
        group.stop()


def free_ports(count: int) -> list[int]:
    """Return loopback ports that are free now."""
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind(("127.0.0.1", 0))
        return [int(sock.getsockname()[1]) for sock in socks]


def _answers(url: str) -> bool:
    try:
        with urllib.request.urlopen(url, timeout=1) as reply:
            return bool(reply.status == 200)
    except (urllib.error.URLError, OSError):
        return False
