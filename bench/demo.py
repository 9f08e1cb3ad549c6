"""Starts a whole deployment on loopback, sends a burst through it, checks it.

Exits 0 when every promise held and every process left in good order.
"""

import asyncio
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
from typing import Annotated, Any

import typer
from rich.console import Console
from rich.table import Table

from monsoongap.load.local_deployment import (
    LocalDeployment,
    aim_at,
    write_deployment,
)
from monsoongap.load.main import read_schedule
from monsoongap.load.plan import JobClass
from monsoongap.load.report import write_report
from monsoongap.load.runner import run_load
from monsoongap.load.settings import (
    ArrivalsSection,
    CallsSection,
    DeploymentSection,
    LoadProfile,
    LogSection,
    MixSection,
    load_profile,
)
from monsoongap.load.summary import Summary, samples_of, summarize

READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
POLL_S = 0.1
LOG_TAIL_LINES = 15

DEMO = LoadProfile(
    deployment=DeploymentSection(name="demo", dcs=("dc1", "dc2"), entries=4, workers=8),
    arrivals=ArrivalsSection(
        shape="burst",
        load=0.4,
        peak_from_s=4,
        peak_for_s=2,
        burst_jobs=40,
        duration_s=10,
    ),
    mix=MixSection(
        short_max_ms=400,
        long_share=0.05,
        long_min_ms=1500,
        long_max_ms=3000,
        wrong_share=0.3,
        unrepeatable_share=0.3,
    ),
    calls=CallsSection(deadline_ms=20_000, own_key_share=0.3, resubmit_share=0.1),
    log=LogSection(level="error"),
)


class NotReady(Exception):
    """A program ended or stayed unready after its start."""


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


class Programs:
    """The processes of a deployment, stopped in the reverse order of starting."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self.started: list[Program] = []
        self.faults: list[str] = []

    def start(self, name: str, module: str, config: Path) -> Program:
        """Start a program of the project with its settings file."""
        log = self._folder / f"{name}.log"
        command = [sys.executable, "-m", module, "--config", str(config)]
        with log.open("wb") as file:
            process = subprocess.Popen(command, stdout=file, stderr=file)
        program = Program(name, process, log)
        self.started.append(program)
        return program

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
def running(deployment: LocalDeployment, folder: Path) -> Iterator[Programs]:
    """Start a deployment, and stop it in the end."""
    programs = Programs(folder)
    try:
        config = deployment.platform_config
        platform = programs.start("platform", "monsoongap.platform.main", config)
        programs.wait_ready(platform, f"http://{deployment.control}/v1/hosts")
        started = [
            (programs.start(entry.name, "monsoongap.entry", entry.config), entry)
            for entry in deployment.entries
        ]
        for program, entry in started:
            programs.wait_ready(program, f"{entry.url}/readyz")
        yield programs
    finally:
        programs.stop()


def _answers(url: str) -> bool:
    try:
        with urllib.request.urlopen(url, timeout=1) as reply:
            return bool(reply.status == 200)
    except (urllib.error.URLError, OSError):
        return False


def _print_table(console: Console, summary: Summary) -> None:
    figures = summary.classes
    table = Table("figure", "value", title="monsoongap demo")
    table.add_row("jobs answered", f"{summary.outcomes.get('answered', 0)}")
    table.add_row("jobs offered", f"{summary.jobs}")
    for kind in (JobClass.SHORT, JobClass.LONG):
        p50, p99 = figures[kind].ratio_p50, figures[kind].ratio_p99
        if p50 is not None and p99 is not None:
            table.add_row(f"response/ideal p50, {kind} jobs", f"{p50:.2f}")
            table.add_row(f"response/ideal p99, {kind} jobs", f"{p99:.2f}")
    table.add_row("starts", f"{summary.starts}")
    table.add_row("duplicates", f"{summary.duplicates}")
    table.add_row("not-run", f"{summary.outcomes.get('not_run', 0)}")
    table.add_row("promises broken", f"{len(summary.violations or ())}")
    console.print(table)
    for outcome in sorted(set(summary.outcomes) - {"answered", "not_run"}):
        console.print(f"jobs with outcome {outcome}: {summary.outcomes[outcome]}")
    for error, count in summary.errors.items():
        console.print(f"calls with error {error}: {count}")


def demo(
    profile: Annotated[
        Path | None, typer.Option(help="Start and load this profile instead.")
    ] = None,
    faults: Annotated[
        Path | None, typer.Option(help="JSON file with faults to show meanwhile.")
    ] = None,
    report: Annotated[
        Path | None, typer.Option(help="Write an HTML page with plots.")
    ] = None,
    keep: Annotated[
        Path | None, typer.Option(help="Keep settings and logs in this folder.")
    ] = None,
) -> None:
    """Run a deployment on loopback under load and check every promise."""
    console = Console()
    cfg = load_profile(profile) if profile else DEMO
    schedule = read_schedule(faults)
    with tempfile.TemporaryDirectory(prefix="monsoongap-demo-") as name:
        folder = keep or Path(name)
        folder.mkdir(parents=True, exist_ok=True)
        deployment = write_deployment(folder, cfg.deployment)
        cfg = aim_at(cfg, deployment)
        try:
            with running(deployment, folder) as programs:
                result = asyncio.run(run_load(cfg, schedule))
        except NotReady as exc:
            console.print(str(exc), style="red", markup=False)
            raise typer.Exit(1) from exc
    summary = summarize(cfg, result)
    _print_table(console, summary)
    if report is not None:
        write_report(report, cfg, samples_of(cfg, result), summary)
    for violation in summary.violations or ():
        console.print(str(violation), style="red", markup=False)
    for fault in programs.faults:
        console.print(fault, style="red", markup=False)
    answered = summary.outcomes.get("answered", 0)
    raise typer.Exit(bool(summary.violations or programs.faults or not answered))


if __name__ == "__main__":
    typer.run(demo)
