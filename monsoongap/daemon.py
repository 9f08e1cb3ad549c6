"""The daemon of an entry host: its sockets, store feeds and one `Host`.

The platform starts `python -m monsoongap.daemon` without arguments; an environment
variable names the settings file. This module does not import the command-line library,
which would take a quarter of the memory of the process. `monsoongap-entry` runs the
same daemon with command-line options.
"""

import asyncio
import logging
import os
import signal
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

import uvloop

from monsoongap import PROCESS_STARTED_AT
from monsoongap.coordination.host import Host, HostPorts
from monsoongap.coordination.status import status_of
from monsoongap.errors import UserError
from monsoongap.logs import configure_logging, dropped_lines
from monsoongap.metrics import Metrics
from monsoongap.platform import SETTINGS_VARIABLE, wire
from monsoongap.platform.callers import Callers, ReadyServer
from monsoongap.platform.feeds import Feeds
from monsoongap.platform.runners import RunnerClient
from monsoongap.platform.store import StoreClient
from monsoongap.protocol.messages import HostCard
from monsoongap.settings import EntrySettings, load_settings
from monsoongap.timers import MS_PER_S, TimerService
from monsoongap.transport.host_calls import (
    HeartbeatSocket,
    HostCallClient,
    HostCallServer,
)
from monsoongap.transport.http_client import HttpClient
from monsoongap.transport.operators import OperatorServer
from monsoongap.transport.receive_guard import ReceiveGuard
from monsoongap.util.addresses import split_address
from monsoongap.util.ini import SettingsErrorGroup

# `__name__` would be `__main__` when the platform starts this module.
log = logging.getLogger("monsoongap.daemon")

# The platform checks readiness once a second and takes a host out of rotation after two
# failed checks. Until then it sends new connections here.
LISTEN_WHILE_LEAVING_S = 2.6
# Part of the grace period that is reserved for closing sockets.
CLOSE_RESERVE_S = 0.4
SHUTDOWN_POLL_S = 0.05


@dataclass(frozen=True, slots=True)
class SettingsSource:
    """The settings file and overrides, kept so that SIGHUP can read them again."""

    path: Path
    overrides: dict[str, str] = field(default_factory=dict)

    def load(self) -> EntrySettings:
        """Read the settings; raise `SettingsErrorGroup` on errors."""
        return load_settings(self.path, self.overrides)


class Daemon:
    """Owns the sockets, clients and servers of the process."""

    def __init__(self, cfg: EntrySettings) -> None:
        self._cfg = cfg
        # The loop's own time stands still within one round of callbacks, also while the
        # process is paused.
        self._timers = TimerService(time.monotonic, PROCESS_STARTED_AT)
        self._guard = ReceiveGuard(cfg.limits)
        self._http = HttpClient(self._guard)
        self._heartbeats = HeartbeatSocket()
        ports = HostPorts(
            RunnerClient(self._http), HostCallClient(self._http), self._heartbeats
        )
        card = _card_of(cfg, int(time.time() * MS_PER_S))
        self.host = Host(cfg, card, ports, self._timers, wire.decode_config)
        self._heartbeats.on_datagram = self.host.members.receive
        self._http.on_idle_lost = self.host.pool.connection_lost
        metrics = Metrics(cfg.host.name, cfg.host.dc)
        self._callers = Callers(self.host, metrics, self._guard)
        self._operators = OperatorServer(
            self.host, metrics, lambda: status_of(self.host), self._guard
        )
        self._calls = HostCallServer(self.host.calls.answer, self._timers, self._guard)
        self._ready = ReadyServer(lambda: self.host.ready, self._guard)
        store = StoreClient(cfg.store, self._http)
        self._feeds = Feeds(cfg.bounds, self.host, store, self._timers, cfg.peers.dcs)
        self._stop_requested = asyncio.Event()
        self._publish(metrics, store)

    async def run(self, source: SettingsSource) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully.

        SIGHUP checks the settings of `source` again.
        """
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload, source)
        await self.start()
        log.info(
            "daemon started",
            extra={"dc": self._cfg.host.dc, "evac_ms": self._cfg.bounds.evac_ms},
        )
        await self._stop_requested.wait()
        await self._shut_down()
        log.info("daemon stopped")

    async def start(self) -> None:
        """Start the servers, the host and the store feeds."""
        listen = self._cfg.listen
        self._guard.start(self._timers)
        await self._heartbeats.listen(listen.peers)
        await self._calls.listen(listen.peers)
        await self._callers.listen(listen.callers)
        await self._ready.listen(listen.ready)
        await self._listen_for_operators()
        self.host.members.add_hosts(tuple(_seed_cards(self._cfg)))
        self.host.start()
        self._feeds.start()

    async def _listen_for_operators(self) -> None:
        """Listen for operators; if the port is not free, serve callers without them."""
        address = self._cfg.listen.operators
        if not address:
            return
        try:
            await self._operators.listen(address)
        except OSError as exc:
            log.error(
                "cannot listen for operators; continuing without metrics",
                extra={"address": address, "error": str(exc)},
            )

    def close(self) -> None:
        """Stop immediately, without a graceful shutdown."""
        self._feeds.close()
        self.host.abandon()
        self._callers.stop_listening()
        self._ready.close()
        self._operators.close()
        self._calls.close()
        self._heartbeats.close()
        self._http.close()

    def _publish(self, metrics: Metrics, store: StoreClient) -> None:
        """Register the counters and gauges that operators can read."""
        host = self.host
        # Ownership and placement come first because the users' record keeps only the
        # beginning; see `Metrics.render`.
        metrics.add_counters("ownership", lambda: host.ownership.counts)
        metrics.add_counters("configuration", lambda: host.directory.config_counts)
        metrics.add_counters("runners", lambda: host.directory.runners_counts)
        metrics.add_counters("placement", lambda: host.pool.counts)
        metrics.add_counters("jobs", lambda: host.jobs.counts)
        metrics.add_counters("handover", lambda: host.handover.counts)
        metrics.add_counters("succession", lambda: host.succession.counts)
        metrics.add_counters("prior_owners", lambda: host.prior_owners.counts)
        losses = host.pool.lost_replies
        metrics.add_counters(
            "replies", lambda: {"lost": losses.count, "probes": losses.probes}
        )
        metrics.add_counters("members", lambda: host.members.counts)
        metrics.add_counters("store", lambda: store.counts)
        metrics.add_counters("callers", lambda: self._callers.counts)
        metrics.add_counters("connections", lambda: self._http.counts)
        metrics.add_counters("received_refused", self._guard.counters)
        metrics.add_counters("evacuation", lambda: host.directory.evacuation.counts)
        if (planned := host.pool.planned) is not None:
            metrics.add_counters("plan", lambda: planned.counts)
            planned.on_prediction = metrics.add_predictions()
        metrics.add_counters("log", lambda: {"lines_dropped": dropped_lines()})
        metrics.add_gauge(
            "config_version",
            "Version of the configuration in force.",
            lambda: host.directory.version,
        )
        metrics.add_gauge(
            "evacuated_dcs",
            "Number of data centres that are evacuated.",
            lambda: len(host.directory.evacuation.dcs),
        )
        metrics.add_gauge(
            "owned_runners",
            "Number of runners that this host owns.",
            lambda: len(host.pool.links),
        )
        metrics.add_gauge(
            "waiting_tasks",
            "Number of tasks that wait for capacity.",
            lambda: host.pool.waiting,
        )
        metrics.add_gauge(
            "received_bytes",
            "Memory of data that is being received or answered, in bytes.",
            lambda: self._guard.budget.used_bytes,
        )
        metrics.add_gauge(
            "loop_lag_seconds",
            "Smoothed delay of the event loop of this host.",
            lambda: host.jobs.lag_s,
        )
        metrics.add_gauge(
            "oldest_job_s",
            "Age of the oldest job in progress at this owner.",
            lambda: round(host.jobs.oldest_s, 1),
        )

    async def _shut_down(self) -> None:
        """Hand over owned shares and answer open requests within the grace period."""
        started_at = self._timers.now()
        log.info(
            "shutdown started; answering open requests",
            extra={"open_requests": self._callers.open_requests},
        )
        self.host.leave()
        while (
            self._timers.now() - started_at < self._cfg.bounds.grace_s - CLOSE_RESERVE_S
        ):
            await asyncio.sleep(SHUTDOWN_POLL_S)
            elapsed_s = self._timers.now() - started_at
            if elapsed_s > LISTEN_WHILE_LEAVING_S:
                self._callers.stop_listening()
                self._callers.close_idle()
                idle = not self._callers.open_requests and not self.host.jobs.in_flight
                if idle and not self.host.handover.active:
                    return

    def _reload(self, source: SettingsSource) -> None:
        """Check the settings file; changes take effect only after a restart."""
        try:
            cfg = source.load()
        except SettingsErrorGroup as exc:
            errors = [str(error) for error in exc.exceptions]
            log.error(
                "settings file is invalid; keeping the current settings",
                extra={"errors": errors},
            )
            return
        log.info(
            "settings file is valid; changes take effect after a restart",
            extra={"changed": cfg != self._cfg},
        )


def _card_of(cfg: EntrySettings, boot_ms: int) -> HostCard:
    ip, port = split_address(cfg.listen.peers)
    return HostCard(cfg.host.name, cfg.host.dc, ip, port, boot_ms, cfg.host.cores)


def _seed_cards(cfg: EntrySettings) -> list[HostCard]:
    """Return cards of the seed hosts, without this host.

    The cards have placeholder names, because the names are not known yet.
    """
    own_ip, port = split_address(cfg.listen.peers)
    ips = (split_address(seed)[0] for seed in cfg.peers.seeds)
    return [HostCard(f"seed-{ip}", "", ip, port, 0) for ip in ips if ip != own_ip]


def serve(source: SettingsSource) -> None:
    """Run the daemon until SIGTERM or SIGINT.

    Raise `SettingsErrorGroup` if the settings are invalid.
    """
    cfg = source.load()
    configure_logging(cfg.host.name, cfg.log)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(cfg, source))


async def _serve(cfg: EntrySettings, source: SettingsSource) -> None:
    await Daemon(cfg).run(source)


def main() -> None:
    """Run the daemon with the settings file that the environment names."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        print(f"monsoongap: {SETTINGS_VARIABLE} is not set", file=sys.stderr)
        sys.exit(UserError.exit_code)
    try:
        serve(SettingsSource(Path(path)))
    except SettingsErrorGroup as exc:
        for error in exc.exceptions:
            print(f"monsoongap: {error}", file=sys.stderr)
        sys.exit(UserError.exit_code)


if __name__ == "__main__":
    main()
