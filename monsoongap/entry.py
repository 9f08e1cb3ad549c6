"""The program `monsoongap-entry`: the daemon on each entry host."""

import asyncio
import logging
import signal
import time
from pathlib import Path
from typing import Annotated

import typer

from monsoongap.coordination.leaving import LeaveHooks, Leaving
from monsoongap.coordination.node import Node, Ports
from monsoongap.coordination.parts import HostIdentity
from monsoongap.errors import UserError
from monsoongap.logs import configure_logging
from monsoongap.metrics import Metrics
from monsoongap.protocol.peer import PeerHandlers
from monsoongap.settings import EntrySettings, load_settings
from monsoongap.timers import TimerService
from monsoongap.transport.app import build_app
from monsoongap.transport.http_base import LimitedServer, listen
from monsoongap.transport.node_view import MeteredJobs, ServedNode
from monsoongap.transport.peers import GrpcPeers
from monsoongap.transport.platform_client import HostListClient, LogClient
from monsoongap.transport.tls import TlsFault, TlsFiles
from monsoongap.transport.workers import HttpWorkers
from monsoongap.util.command import (
    CheckOption,
    SetOption,
    VersionOption,
    run_program,
)
from monsoongap.util.ini import parse_overrides

log = logging.getLogger(__name__)

MS_PER_S = 1000
LISTEN_CLOSE_S = 0.2

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


class Daemon:
    """Owns the sockets and the node of one process."""

    def __init__(self, cfg: EntrySettings) -> None:
        self._cfg = cfg
        self._timers = TimerService()
        self._identity = HostIdentity(
            cfg.host.name, cfg.host.dc, int(time.time() * MS_PER_S), cfg.host.region
        )
        self._tls = TlsFiles(cfg.tls, self._timers)
        handlers = PeerHandlers()
        self._peers = GrpcPeers(
            cfg,
            self._identity,
            handlers,
            self._peer_address,
            self._tls if self._tls.enabled else None,
        )
        self._workers = HttpWorkers(
            cfg.workers, self._worker_address, self._connection_share
        )
        self._log = LogClient(cfg)
        self._host_list = HostListClient(cfg)
        ports = Ports(self._workers, self._log, self._host_list, self._peers)
        self.node = Node(cfg, self._identity, ports, handlers, self._timers)
        self._metrics = Metrics(cfg.host.name, cfg.host.dc)
        self._server: LimitedServer | None = None
        self._leave = asyncio.Event()
        self._leaving = Leaving(
            cfg.limits,
            self.node.drain,
            LeaveHooks(
                return_credits=self.node.scheduler.return_idle_credits,
                stop_listening=self._stop_listening,
                in_flight=self.node.home.in_flight,
                end_all=self.node.home.end_all,
            ),
            self._timers,
        )

    async def run(self) -> None:
        """Serve until a signal, then leave in good order."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_signal)
        self._tls.start()
        await self._peers.start()
        view = ServedNode(self.node, self._workers, self._metrics, self._leave.set)
        jobs = MeteredJobs(self.node.home, self._metrics)
        application = build_app(
            self._cfg.limits, jobs, self.node.tokens, view, self.node.config
        )
        self._server = listen(
            application,
            self._cfg.listen.caller,
            self._cfg.limits,
            self._tls.server_context(),
        )
        log.info("listening", extra={"address": self._cfg.listen.caller})
        await self.node.start()
        await self._leave.wait()
        await self._leaving.leave()
        await self._close()

    def _on_signal(self) -> None:
        if self._leave.is_set():
            self._leaving.hurry()
        self._leave.set()

    def _stop_listening(self) -> None:
        if self._server is not None:
            self._server.stop()

    async def _close(self) -> None:
        self._stop_listening()
        if self._server is not None:
            await asyncio.sleep(LISTEN_CLOSE_S)
            await self._server.close_all_connections()
        await self.node.close()
        self._workers.close()
        await self._peers.stop()
        log.info("stopped", extra={"host": self._identity.name})

    def _peer_address(self, host: str) -> str | None:
        return self.node.membership.address_of(host)

    def _connection_share(self, worker: str) -> int:
        return self.node.scheduler.connections(worker)

    def _worker_address(self, worker: str) -> str | None:
        info = self.node.membership.worker(worker)
        return info.address if info else None


async def _serve(cfg: EntrySettings) -> None:
    await Daemon(cfg).run()


@app.command()
def serve(
    config: Annotated[
        Path, typer.Option("--config", help="INI file with the settings.")
    ],
    set_: SetOption = None,
    check_config: CheckOption = False,
    version: VersionOption = False,
) -> None:
    """Run an entry host: callers in front, upstreams behind."""
    cfg = load_settings(config, parse_overrides(set_ or []))
    if check_config:
        typer.echo(f"{config}: valid")
        return
    configure_logging(cfg.log)
    try:
        asyncio.run(_serve(cfg))
    except (TlsFault, OSError) as exc:
        raise UserError(f"cannot start: {exc}") from exc


def main() -> None:
    """Run the program."""
    run_program(app, "monsoongap-entry")


if __name__ == "__main__":
    main()
