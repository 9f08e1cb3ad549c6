"""Starting and ending the processes of a wall-clock benchmark, on loopback."""

import contextlib
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import psutil

STOP_TIMEOUT_S = 10.0
READY_TIMEOUT_S = 20.0
POLL_S = 0.1
LOG_LINES = 8


@dataclass(frozen=True, slots=True)
class Usage:
    """What a process used: processor seconds and resident megabytes."""

    cpu_s: float
    rss_mb: float


class Processes:
    """Processes of one benchmark run, ended in reverse order by their ids."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._running: list[tuple[str, subprocess.Popen[bytes]]] = []

    def run(self, name: str, module: str, *args: str) -> psutil.Process:
        """Start `python -m module args` with its output in a file."""
        output = (self.folder / f"{name}.log").open("wb")
        command = [sys.executable, "-m", module, *args]
        process = subprocess.Popen(command, stdout=output, stderr=output)
        output.close()
        self._running.append((name, process))
        return psutil.Process(process.pid)

    def write(self, name: str, text: str) -> str:
        """Write a settings file and return its path."""
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def print_logs(self) -> None:
        """Print the end of each process's output, to explain a failed run."""
        for name, _ in self._running:
            lines = (self.folder / f"{name}.log").read_text().splitlines()
            for line in lines[-LOG_LINES:]:
                print(f"{name}: {line}", file=sys.stderr)

    def stop(self) -> dict[str, int]:
        """End every process; returns the exit code of each by name."""
        codes = {}
        for name, process in reversed(self._running):
            process.terminate()
            try:
                codes[name] = process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                codes[name] = process.wait()
        self._running.clear()
        return codes


@contextlib.contextmanager
def processes() -> Iterator[Processes]:
    """Give a group of processes that is ended in any case."""
    with tempfile.TemporaryDirectory(prefix="monsoongap-") as folder:
        group = Processes(Path(folder))
        try:
            yield group
        except Exception:
            group.print_logs()
            raise
        finally:
            group.stop()


def usage(process: psutil.Process) -> Usage:
    """Read what a process has used so far."""
    times = process.cpu_times()
    rss_mb = process.memory_info().rss / 1e6
    return Usage(times.user + times.system, rss_mb)


def free_ports(count: int) -> list[int]:
    """Return loopback ports that are free now."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    ports: list[int] = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def wait_ready(url: str) -> None:
    """Wait until `url` answers 200; raises `TimeoutError`."""
    end = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < end:
        with contextlib.suppress(OSError), urllib.request.urlopen(url) as reply:
            if reply.status == 200:
                return
        time.sleep(POLL_S)
    raise TimeoutError(f"{url} did not become ready in {READY_TIMEOUT_S} s")
