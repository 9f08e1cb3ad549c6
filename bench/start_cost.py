"""`make bench`: processor time that the owner spends for each start of a task.

One entry host takes 60 jobs a second and owns all 24 runners of the stand-in. The
target is that the owner uses at most 0.15 core. Exits with 1 if it uses more or if a
job is not completed.
"""

import asyncio
import os
import tempfile
import time
from pathlib import Path

from monsoongap.load.runner import run_load
from monsoongap.load.settings import (
    ArrivalsSection,
    LoadProfile,
    MixSection,
    TargetSection,
)
from monsoongap.settings import LogSection
from soak.processes import Processes

IP = "127.0.0.1"
BASE_PORT = 31_000
RUNNERS = 24
JOBS_PER_S = 60.0
DURATION_S = 10.0
WARM_UP_S = 4.0
MAX_CORES = 0.15


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def main() -> int:
    """Start the deployment, measure, and return the exit status."""
    with tempfile.TemporaryDirectory(prefix="monsoongap-bench-") as folder:
        procs = Processes(Path(folder), BASE_PORT + 10, LogSection().lines_per_s)
        try:
            procs.start(
                "standin",
                "monsoongap.standin.main",
                f"--port={BASE_PORT}",
                f"--runner-port={BASE_PORT + 50}",
                "--dcs=a",
                f"--runners={RUNNERS}",
            )
            procs.add_node("a0", "a", IP, f"{IP}:{BASE_PORT}")
            time.sleep(WARM_UP_S)
            return measure(procs)
        finally:
            procs.end_all()


def measure(procs: Processes) -> int:
    """Offer the load; return 1 if the host exceeds `MAX_CORES` or a job fails."""
    node, pid = procs.nodes["a0"], procs.pid("a0")
    cfg = LoadProfile(
        TargetSection((node.operators,)),
        ArrivalsSection(JOBS_PER_S, JOBS_PER_S, duration_s=DURATION_S),
        MixSection(tasks_min=3, tasks_max=4),
    )
    before, started_at = cpu_s(pid), time.monotonic()
    calls = asyncio.run(run_load(cfg))
    cpu_used_s, elapsed_s = cpu_s(pid) - before, time.monotonic() - started_at
    tasks = sum(call.tasks for call in calls)
    completed = sum(call.completed for call in calls)
    cores = cpu_used_s / elapsed_s
    print(f"{len(calls)} jobs, {completed} completed, {tasks} tasks")
    print(f"{1000 * cpu_used_s / tasks:.2f} ms a start, {cores:.3f} core")
    missed = cores > MAX_CORES or completed < len(calls)
    print(f"bound {MAX_CORES} core: {'missed' if missed else 'kept'}")
    return int(missed)


if __name__ == "__main__":
    raise SystemExit(main())
