"""The entry daemon on the users' platform: sockets, feeds and one host.

Takes no arguments: the platform names the settings file in the environment.
"""

import asyncio
import logging
import signal
import sys
import time

from monsoongap.coordination.fleet.host import Host, HostPorts
from monsoongap.errors import UserError
from monsoongap.metrics import Metrics
from monsoongap.platform import node_file, wire
from monsoongap.platform.callers import Callers, MetricsServer, ReadyServer
from monsoongap.platform.feeds import Feeds
from monsoongap.platform.node_file import NodeFile
from monsoongap.platform.runners import RunnerClient
from monsoongap.platform.store import StoreClient
from monsoongap.protocol.fleet import HostCard
from monsoongap.stream_logs import configure_stream_logging, dropped_lines
from monsoongap.timers import TimerService
from monsoongap.transport.host_calls import (
    HeartbeatSocket,
    HostCallClient,
    HostCallServer,
)
from monsoongap.transport.http_client import HttpClient

log = logging.getLogger(__name__)

# The platform takes a host out of rotation after two misses, one a second.
LISTEN_WHILE_LEAVING_S = 2.6
# Time kept free at the end of the grace for closing.
CLOSING_S = 0.4
STEP_S = 0.05
MS_PER_S = 1000


class Daemon:
    """Owns the sockets of one process."""

    def __init__(self, cfg: NodeFile) -> None:
        self._cfg = cfg
        self._timers = TimerService()
        self._http = HttpClient()
        self._heartbeats = HeartbeatSocket()
        card = HostCard(
            cfg.host,
            cfg.dc,
            cfg.ip,
            cfg.peer_port,
            int(time.time() * MS_PER_S),
            cfg.cores,
        )
        ports = HostPorts(
            RunnerClient(self._http), HostCallClient(self._http), self._heartbeats
        )
        self.host = Host(card, cfg.lease_s, ports, self._timers, wire.decode_config)
        self._heartbeats.on_datagram = self.host.members.receive
        metrics = Metrics(cfg.host, cfg.dc)
        self._callers = Callers(self.host, metrics)
        self._metrics_server = MetricsServer(metrics)
        self._calls = HostCallServer(self.host.answer)
        self._ready = ReadyServer(lambda: self.host.ready)
        store = StoreClient(cfg.store_address, self._http)
        self._feeds = Feeds(self.host, store, self._timers)
        self._leave = asyncio.Event()
        self._publish(metrics, store)

    async def run(self) -> None:
        """Serve until SIGTERM, then leave in good order."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._leave.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self.start()
        log.info("started", extra={"host": self._cfg.host, "dc": self._cfg.dc})
        await self._leave.wait()
        await self._leave_in_order()
        log.info("stopped", extra={"host": self._cfg.host})

    async def start(self) -> None:
        """Listen, beat and read what the store tells."""
        await self._heartbeats.listen(self._cfg.ip, self._cfg.peer_port)
        self._calls.listen(self._cfg.ip, self._cfg.peer_port)
        self._callers.listen(self._cfg.caller_address)
        self._ready.listen(self._cfg.ready_address)
        self._listen_for_metrics()
        seeds = tuple(
            HostCard(f"seed-{ip}", "", ip, self._cfg.peer_port, 0)
            for ip in self._cfg.seed_ips
            if ip != self._cfg.ip
        )
        self.host.members.learn(seeds)
        self.host.start()
        self._feeds.start()

    def _listen_for_metrics(self) -> None:
        """Serve metrics if the port is free; callers are served either way."""
        if not self._cfg.metrics_port:
            return
        try:
            self._metrics_server.listen(f"{self._cfg.ip}:{self._cfg.metrics_port}")
        except OSError as exc:
            log.error("no metrics", extra={"error": str(exc)})

    def close(self) -> None:
        """Stop at once, without leaving in order."""
        self._feeds.close()
        self.host.abandon()
        self._callers.stop_listening()
        self._ready.close()
        self._metrics_server.close()
        self._calls.close()
        self._heartbeats.close()
        self._http.close()

    def _publish(self, metrics: Metrics, store: StoreClient) -> None:
        """Name the counters and values that are told on the metrics address."""
        host = self.host
        metrics.add_counters("members", lambda: host.members.counts)
        metrics.add_counters("ownership", lambda: host.ownership.counts)
        metrics.add_counters("placement", lambda: host.pool.counts)
        metrics.add_counters("jobs", lambda: host.jobs.counts)
        metrics.add_counters("callers", lambda: self._callers.counts)
        metrics.add_counters("connections", lambda: self._http.counts)
        metrics.add_counters("store", lambda: store.counts)
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

    async def _leave_in_order(self) -> None:
        """Hand on what is owned, answer what is open, within the grace."""
        began = self._timers.now()
        log.info("leaving", extra={"open": self._callers.open_requests})
        self.host.leave()
        while self._timers.now() - began < self._cfg.grace_s - CLOSING_S:
            await asyncio.sleep(STEP_S)
            past = self._timers.now() - began
            if past > LISTEN_WHILE_LEAVING_S:
                self._callers.stop_listening()
                self._callers.close_idle()
                idle = not self._callers.open_requests and not self.host.jobs.in_flight
                if idle:
                    return

    def _reload(self) -> None:
        """Read the settings file again; what it holds is fixed for a process."""
        try:
            cfg = node_file.load()
        except UserError as exc:
            log.error("settings not reloaded", extra={"error": str(exc)})
            return
        log.info("settings read again", extra={"changed": cfg != self._cfg})


def main() -> None:
    """Run the daemon."""
    configure_stream_logging()
    try:
        cfg = node_file.load()
    except UserError as exc:
        print(f"monsoongap-entry: {exc}", file=sys.stderr)
        sys.exit(exc.exit_code)
    asyncio.run(_serve(cfg))


async def _serve(cfg: NodeFile) -> None:
    await Daemon(cfg).run()


if __name__ == "__main__":
    main()
