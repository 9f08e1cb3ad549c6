"""The stand-in for the platform: log service, host list and workers.

One process serves any number of workers, each on an address of its own. Started
several times with `--workers`, the workers are shared out over processes.
"""

import asyncio
import logging
import signal
import time
from pathlib import Path
from typing import Annotated

import typer

from monsoongap.errors import UserError
from monsoongap.logs import configure_logging
from monsoongap.standin.control_server import ControlServer, StandIn
from monsoongap.standin.host_list_model import HostListModel
from monsoongap.standin.ledger import StartLedger
from monsoongap.standin.log_model import LogModel
from monsoongap.standin.settings import (
    StandInSettings,
    host_entries,
    load_settings,
    worker_shapes,
)
from monsoongap.standin.worker_model import WorkerModel
from monsoongap.standin.worker_server import WorkerServer
from monsoongap.util.command import (
    CheckOption,
    SetOption,
    VersionOption,
    run_program,
)
from monsoongap.util.ini import parse_overrides

log = logging.getLogger(__name__)

DRAIN_POLL_S = 0.05

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


def build(cfg: StandInSettings, only: frozenset[str]) -> StandIn:
    """Build the parts; `only` names the workers to serve, all when empty."""
    wall_offset_s = time.time() - asyncio.get_running_loop().time()
    boot = int(time.time() * 1000)
    ledger = StartLedger(wall_offset_s)
    addresses = {host.name: host.address for host in host_entries(cfg)}
    workers = tuple(
        WorkerServer(WorkerModel(shape, ledger, boot), addresses[shape.name])
        for shape in worker_shapes(cfg.workers)
        if not only or shape.name in only
    )
    host_list = HostListModel(host_entries(cfg), cfg.host_list.lag_s)
    return StandIn(ledger, workers, LogModel(cfg.log_service), host_list)


async def serve(cfg: StandInSettings, only: frozenset[str], workers_only: bool) -> None:
    """Serve until SIGTERM or SIGINT, then let running tasks end."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    parts = build(cfg, only)
    control = ControlServer(parts, cfg.listen.control, workers_only)
    for worker in parts.workers:
        worker.listen()
    control.listen()
    log.info(
        "stand-in ready",
        extra={"workers": len(parts.workers), "control": cfg.listen.control},
    )
    await stopping.wait()
    await _drain(parts, cfg.shutdown.drain_s)
    control.stop()
    log.info("stand-in stopped")


async def _drain(parts: StandIn, drain_s: float) -> None:
    """Refuse new starts, wait for running tasks, then stop the rest."""
    for worker in parts.workers:
        worker.model.draining = True
    give_up_at = asyncio.get_running_loop().time() + drain_s
    while any(worker.model.busy for worker in parts.workers):
        if asyncio.get_running_loop().time() >= give_up_at:
            break
        await asyncio.sleep(DRAIN_POLL_S)
    for worker in parts.workers:
        worker.stop()
        await worker.model.close()


@app.command()
def run(
    config: Annotated[Path, typer.Option(help="INI file with the settings.")],
    workers: Annotated[
        str, typer.Option(help="Serve only these workers, separated by commas.")
    ] = "",
    workers_only: Annotated[
        bool, typer.Option("--workers-only", help="Leave out log and host list.")
    ] = False,
    set_: SetOption = None,
    check_config: CheckOption = False,
    version: VersionOption = False,
) -> None:
    """Serve a log, a host list and workers whose faults can be set."""
    cfg = load_settings(config, parse_overrides(set_ or []))
    only = frozenset(name.strip() for name in workers.split(",") if name.strip())
    unknown = only - {shape.name for shape in worker_shapes(cfg.workers)}
    if unknown:
        raise UserError(f"--workers: not in {config}: {', '.join(sorted(unknown))}")
    if check_config:
        typer.echo(f"{config}: valid")
        return
    configure_logging(cfg.log)
    asyncio.run(serve(cfg, only, workers_only))


def main() -> None:
    """Run the program."""
    run_program(app, "monsoongap-standin")


if __name__ == "__main__":
    main()
