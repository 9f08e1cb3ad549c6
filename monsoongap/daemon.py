"""The daemon on each entry host: its sockets, feeds and one `Host`.

`python -m monsoongap.daemon` takes no arguments, as the platform starts it: a variable
names its settings file. It leaves the command line's library out, which would take
a quarter of its memory; `monsoongap-entry` is the same daemon with options.
"""

import asyncio
import logging
import os
import signal
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

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
from monsoongap.util.addresses import split_address
from monsoongap.util.ini import SettingsErrorGroup

# Not `__name__`, which is another one in a program.
log = logging.getLogger("monsoongap.daemon")

# The platform takes a host out of rotation after two misses, one a second.
LISTEN_WHILE_LEAVING_S = 2.6
# Time kept free at the end of the grace for closing.
CLOSING_S = 0.4
STEP_S = 0.05


@dataclass(frozen=True, slots=True)
class SettingsSource:
    """Where the settings were read from, to read them again."""

    path: Path
    overrides: dict[str, str] = field(default_factory=dict)

    def load(self) -> EntrySettings:
        """Read the settings; raises `SettingsErrorGroup`."""
        return load_settings(self.path, self.overrides)


class Daemon:
    """Owns the sockets of one process."""

    def __init__(self, cfg: EntrySettings) -> None:
        self._cfg = cfg
        self._timers = TimerService()
        self._http = HttpClient()
        self._heartbeats = HeartbeatSocket()
        ports = HostPorts(
            RunnerClient(self._http), HostCallClient(self._http), self._heartbeats
        )
        card = _card_of(cfg, int(time.time() * MS_PER_S))
        self.host = Host(cfg, card, ports, self._timers, wire.decode_config)
        self._heartbeats.on_datagram = self.host.members.receive
        metrics = Metrics(cfg.host.name, cfg.host.dc)
        self._callers = Callers(self.host, metrics)
        self._operators = OperatorServer(
            self.host, metrics, lambda: status_of(self.host)
        )
        self._calls = HostCallServer(self.host.calls.answer)
        self._ready = ReadyServer(lambda: self.host.ready)
        store = StoreClient(cfg.store, self._http)
        self._feeds = Feeds(cfg.bounds, self.host, store, self._timers)
        self._leave = asyncio.Event()
        self._publish(metrics, store)

    async def run(self, source: SettingsSource) -> None:
        """Serve until SIGTERM, then leave in good order."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._leave.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload, source)
        await self.start()
        log.info("started", extra={"dc": self._cfg.host.dc})
        await self._leave.wait()
        await self._leave_in_order()
        log.info("stopped")

    async def start(self) -> None:
        """Listen, beat and read what the store tells."""
        listen = self._cfg.listen
        await self._heartbeats.listen(listen.peers)
        await self._calls.listen(listen.peers)
        self._callers.listen(listen.callers)
        self._ready.listen(listen.ready)
        self._listen_for_operators()
        self.host.members.learn(tuple(_seed_cards(self._cfg)))
        self.host.start()
        self._feeds.start()

    def _listen_for_operators(self) -> None:
        """Serve operators if the port is free; callers are served either way."""
        address = self._cfg.listen.operators
        if not address:
            return
        try:
            self._operators.listen(address)
        except OSError as exc:
            log.error("no metrics", extra={"address": address, "error": str(exc)})

    def close(self) -> None:
        """Stop at once, without leaving in order."""
        self._feeds.close()
        self.host.abandon()
        self._callers.stop_listening()
        self._ready.close()
        self._operators.close()
        self._calls.close()
        self._heartbeats.close()
        self._http.close()

    def _publish(self, metrics: Metrics, store: StoreClient) -> None:
        """Name the counters and values that are told on the metrics address."""
        host = self.host
        # What tells of owners and placement first, see `Metrics.render`.
        metrics.add_counters("ownership", lambda: host.ownership.counts)
        metrics.add_counters("runners", lambda: host.directory.runners_counts)
        metrics.add_counters("placement", lambda: host.pool.counts)
        metrics.add_counters("jobs", lambda: host.jobs.counts)
        metrics.add_counters("members", lambda: host.members.counts)
        metrics.add_counters("store", lambda: store.counts)
        metrics.add_counters("callers", lambda: self._callers.counts)
        metrics.add_counters("connections", lambda: self._http.counts)
        metrics.add_counters("log", lambda: {"lines_dropped": dropped_lines()})
        metrics.add_gauge(
            "config_version",
            "Version of the configuration in force.",
            lambda: host.directory.version,
        )
        metrics.add_gauge(
            "owned_runners",
            "Runners that this host owns.",
            lambda: len(host.pool.links),
        )
        metrics.add_gauge(
            "waiting_tasks", "Tasks that wait for room.", lambda: host.pool.waiting
        )
        metrics.add_gauge(
            "loop_lag_seconds",
            "How late this host's loop is, smoothed.",
            lambda: host.jobs.lag_s,
        )

    async def _leave_in_order(self) -> None:
        """Hand on what is owned, answer what is open, within the grace."""
        began = self._timers.now()
        log.info("leaving", extra={"open": self._callers.open_requests})
        self.host.leave()
        while self._timers.now() - began < self._cfg.bounds.grace_s - CLOSING_S:
            await asyncio.sleep(STEP_S)
            past = self._timers.now() - began
            if past > LISTEN_WHILE_LEAVING_S:
                self._callers.stop_listening()
                self._callers.close_idle()
                idle = not self._callers.open_requests and not self.host.jobs.in_flight
                if idle:
                    return

    def _reload(self, source: SettingsSource) -> None:
        """Read the settings again; what they hold is fixed for a process."""
        try:
            cfg = source.load()
        except SettingsErrorGroup as exc:
            faults = [str(fault) for fault in exc.exceptions]
            log.error("settings not reloaded", extra={"faults": faults})
            return
        log.info("settings read again", extra={"changed": cfg != self._cfg})


def _card_of(cfg: EntrySettings, boot_ms: int) -> HostCard:
    ip, port = split_address(cfg.listen.peers)
    return HostCard(cfg.host.name, cfg.host.dc, ip, port, boot_ms, cfg.host.cores)


def _seed_cards(cfg: EntrySettings) -> list[HostCard]:
    """Return cards of the seeds, whose names are not known yet."""
    own, port = split_address(cfg.listen.peers)
    ips = (split_address(seed)[0] for seed in cfg.peers.seeds)
    return [HostCard(f"seed-{ip}", "", ip, port, 0) for ip in ips if ip != own]


def serve(source: SettingsSource) -> None:
    """Run the daemon until it is told to leave; raises `SettingsErrorGroup`."""
    cfg = source.load()
    configure_logging(cfg.host.name, cfg.log)
    asyncio.run(_serve(cfg, source))


async def _serve(cfg: EntrySettings, source: SettingsSource) -> None:
    await Daemon(cfg).run(source)


def main() -> None:
    """Run the daemon as the platform starts it."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        print(f"monsoongap: {SETTINGS_VARIABLE} is not set", file=sys.stderr)
        sys.exit(UserError.exit_code)
    try:
        serve(SettingsSource(Path(path)))
    except SettingsErrorGroup as exc:
        for fault in exc.exceptions:
            print(f"monsoongap: {fault}", file=sys.stderr)
        sys.exit(UserError.exit_code)


if __name__ == "__main__":
    main()
