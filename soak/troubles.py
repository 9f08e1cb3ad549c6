"""The faults of a soak, injected from outside the processes, in overlapping series."""

import asyncio
import signal
import time
from collections.abc import Callable, Coroutine, Iterable, Iterator
from dataclasses import dataclass, field
from random import Random

from monsoongap.coordination.ownership import REMOTE_WAIT_S
from monsoongap.standin.runner_model import LedgerEntry
from soak.deployment import Deployment
from soak.processes import EVAC_MS, GRACE_S
from soak.proxy import ProxyFault

# Delay between the restarts of successive hosts.
RESTART_STAGGER_S = 1.5
# Polls for longer than a start and a takeover, after which a host is ready again.
READY_POLLS = 100
POLL_INTERVAL_S = 0.05
# A host that owns nothing has learnt of a new runner within this time.
DISCOVERY_S = 5.0
# Limit on draining, after which a runner may leave.
DRAIN_TIMEOUT_S = 2.0
# Evacuations take this much longer while other faults disturb hosts and store.
EVAC_STRETCH_S = 6.0


def _draw_duration_s(rng: Random) -> float:
    return rng.uniform(0.5, 4.0)


@dataclass(frozen=True, slots=True)
class Evacuated:
    """A time, by the steady clock, in which nothing may start in a data centre."""

    dc: str
    since: float
    until: float


@dataclass(slots=True)
class FaultInjector:
    """Injects faults into a deployment; a seed gives the same faults at any load.

    `only` names the kind of fault to inject; empty for all kinds. Callers' connections
    go silent only if `silences_callers`.
    """

    deployment: Deployment
    seed: int
    only: str = ""
    silences_callers: bool = False
    _started_at: float = field(default_factory=time.monotonic)
    evacuated: list[Evacuated] = field(default_factory=list)
    _evacuating: set[str] = field(default_factory=set)
    _joined_count: int = 0

    async def kill_node(self, rng: Random) -> None:
        """Kill a host and start it again."""
        await self._kill(rng, rng.choice(list(self.deployment.procs.nodes)))

    async def _kill(self, rng: Random, name: str) -> None:
        self._print_event(f"kill {name}")
        self.deployment.procs.signal(name, signal.SIGKILL)
        self.deployment.procs.wait(name, 5)
        await asyncio.sleep(rng.uniform(0.1, 2.0))
        self.deployment.procs.start_node(name)

    async def pause_node(self, rng: Random) -> None:
        """Pause a host for a while."""
        await self._pause(
            [rng.choice(list(self.deployment.procs.nodes))], _draw_duration_s(rng)
        )

    async def _pause(self, names: list[str], duration_s: float) -> None:
        self._print_event(f"pause {names} for {duration_s:.2f} s")
        for name in names:
            self.deployment.procs.signal(name, signal.SIGSTOP)
        try:
            await asyncio.sleep(duration_s)
        finally:
            for name in names:
                self.deployment.procs.signal(name, signal.SIGCONT)

    async def pause_dc(self, rng: Random) -> None:
        """Pause all hosts of a data centre, for longer than others wait for them."""
        dc = rng.choice(self.deployment.size.dc_names)
        await self._pause(self.deployment.nodes_of(dc), rng.uniform(3.0, 11.0))

    async def lose_dc(self, rng: Random) -> None:
        """Kill all hosts of a data centre until others own it; start them again."""
        dc = rng.choice(self.deployment.size.dc_names)
        duration_s = rng.uniform(REMOTE_WAIT_S + 0.5, REMOTE_WAIT_S + 3.0)
        self._print_event(f"kill the hosts of {dc} for {duration_s:.2f} s")
        names = self.deployment.nodes_of(dc)
        for name in names:
            self.deployment.procs.signal(name, signal.SIGKILL)
            self.deployment.procs.wait(name, 5)
        await asyncio.sleep(duration_s)
        for name in names:
            self.deployment.procs.start_node(name)

    async def restart_node(self, rng: Random) -> None:
        """Shut a host down with SIGTERM and start it again."""
        await self._restart(rng.choice(list(self.deployment.procs.nodes)))

    async def _restart(self, name: str) -> None:
        procs = self.deployment.procs
        self._print_event(f"restart {name}")
        old_pid = procs.pid(name)
        procs.signal(name, signal.SIGTERM)
        for _ in range(GRACE_S * 20):
            await asyncio.sleep(POLL_INTERVAL_S)
            if not procs.is_up(name) or procs.pid(name) != old_pid:
                break
        else:
            procs.signal(name, signal.SIGKILL)
            procs.wait(name, 5)
        procs.start_node(name)

    async def _lose_node(self, rng: Random, dc: str, within_s: float) -> None:
        """Kill or restart a host of a data centre within `within_s`."""
        await asyncio.sleep(rng.uniform(0.0, within_s))
        name = rng.choice(self.deployment.nodes_of(dc))
        if rng.random() < 0.5:
            await self._kill(rng, name)
        else:
            await self._restart(name)

    async def restart_all(self, rng: Random) -> None:
        """Restart all hosts in turn, without waiting until the previous one is back."""
        names = list(self.deployment.procs.nodes)
        rng.shuffle(names)
        await self._restart_in_turn(names)

    async def _restart_in_turn(self, names: list[str]) -> None:
        async with asyncio.TaskGroup() as group:
            for name in names:
                group.create_task(self._restart(name))
                await asyncio.sleep(RESTART_STAGGER_S)

    async def restart_ready(self, rng: Random) -> None:
        """Restart the hosts of a data centre one by one, each when it is ready."""
        names = self.deployment.nodes_of(rng.choice(self.deployment.size.dc_names))
        rng.shuffle(names)
        for name in names:
            for _ in range(READY_POLLS):
                if await self.deployment.is_ready(name):
                    break
                await asyncio.sleep(POLL_INTERVAL_S)
            await self._restart(name)

    async def impair_runner(self, rng: Random) -> None:
        """Impair the connections to a runner for a while."""
        proxy = rng.choice(self.deployment.proxies)
        kinds = (
            ProxyFault.SLOW,
            ProxyFault.SILENT,
            ProxyFault.ONE_WAY,
            ProxyFault.REFUSE,
        )
        proxy.fault = rng.choice(kinds)
        self._print_event(
            f"connections to the runner at port {proxy.port}: {proxy.fault.name}"
        )
        await asyncio.sleep(_draw_duration_s(rng))
        proxy.fault = ProxyFault.NONE

    async def silence_callers(self, rng: Random) -> None:
        """Drop what callers and a host send to each other for a while."""
        proxy = rng.choice(self.deployment.callers_proxies)
        self._print_event(f"connections of callers to {proxy.ip}: silent")
        proxy.fault = ProxyFault.SILENT
        await asyncio.sleep(_draw_duration_s(rng))
        proxy.fault = ProxyFault.NONE

    async def reset_runner_connections(self, rng: Random) -> None:
        """Reset the open connections of a runner."""
        rng.choice(self.deployment.proxies).reset_all()
        await asyncio.sleep(0)

    async def inject_runner_fault(self, rng: Random) -> None:
        """Make a runner hang, fail, slow down, restart, start late or lose answers."""
        id_ = rng.choice(self._runners_of(rng.choice(self.deployment.size.dc_names)))
        choices: tuple[dict[str, object], ...] = (
            {"hangs": True},
            {"fails": True},
            {"slow": 6.0},
            {"life": True},
            {"late_s": rng.uniform(1.0, 6.0)},
            {"loses_answers": True},
        )
        fault = rng.choice(choices)
        self._print_event(f"{id_} {fault}")
        await self.deployment.post_control("/runner", id=id_, **fault)
        await asyncio.sleep(_draw_duration_s(rng))
        await self.deployment.post_control("/runner", id=id_)

    def _runners_of(self, dc: str) -> list[str]:
        return [f"{dc}-r{i}" for i in range(self.deployment.size.runners)]

    async def inject_store_fault(self, rng: Random) -> None:
        """Make the store fail, slow down, drop its history or not answer."""
        choices: tuple[dict[str, object], ...] = (
            {"down": True},
            {"delay_s": 0.3},
            {"expire": True},
        )
        fault = rng.choice(choices)
        silent = rng.choice((ProxyFault.NONE, ProxyFault.SILENT))
        self._print_event(f"store fault {fault}, connections {silent.name}")
        await self.deployment.post_control("/store", **fault)
        await self._impair_store(
            self.deployment.size.dc_names, silent, _draw_duration_s(rng)
        )
        await self.deployment.post_control("/store")

    async def _impair_store(
        self, dcs: str, fault: ProxyFault, duration_s: float
    ) -> None:
        for dc in dcs:
            self.deployment.store_proxies[dc].fault = fault
        await asyncio.sleep(duration_s)
        for dc in dcs:
            self.deployment.store_proxies[dc].fault = ProxyFault.NONE

    async def cut_off_store(self, rng: Random) -> None:
        """Cut a data centre off from the store and remove its runners' entries."""
        dc = rng.choice(self.deployment.size.dc_names)
        duration_s = _draw_duration_s(rng)
        self._print_event(f"{dc} is cut off from the store for {duration_s:.2f} s")
        async with asyncio.TaskGroup() as group:
            group.create_task(self._impair_store(dc, ProxyFault.SILENT, duration_s))
            group.create_task(self._remove_entries(rng, dc, duration_s))

    async def remove_entries(self, rng: Random) -> None:
        """Remove the store entries of a data centre's runners, which go on working."""
        dc = rng.choice(self.deployment.size.dc_names)
        await self._remove_entries(rng, dc, _draw_duration_s(rng))
        await self._lose_node(rng, dc, 1.0)

    async def _remove_entries(self, rng: Random, dc: str, duration_s: float) -> None:
        """Remove the entries, and restore them within two seconds of the end."""
        self._print_event(f"runner entries of {dc} are removed for {duration_s:.2f} s")
        for id_ in self._runners_of(dc):
            await self.deployment.post_control("/entry", id=id_, listed=False)
        await asyncio.sleep(duration_s)
        for id_ in rng.sample(self._runners_of(dc), self.deployment.size.runners):
            await asyncio.sleep(rng.uniform(0.0, 1.5 / self.deployment.size.runners))
            await self.deployment.post_control("/entry", id=id_)
        self._print_event(f"runner entries of {dc} are restored")

    async def partition_dc(self, rng: Random) -> None:
        """Partition a data centre from all others and the store; restart its hosts.

        The other hosts are paused, which looks like a network partition from within.
        """
        dc = rng.choice(self.deployment.size.dc_names)
        others = [name for name in self.deployment.procs.nodes if name[0] != dc]
        duration_s = rng.uniform(3.0, 6.0)
        self._print_event(f"{dc} is partitioned for {duration_s:.2f} s")
        names = self.deployment.nodes_of(dc)
        rng.shuffle(names)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._pause(others, duration_s))
            group.create_task(self._impair_store(dc, ProxyFault.SILENT, duration_s))
            await asyncio.sleep(rng.uniform(0.0, 2.0))
            group.create_task(self._remove_entries(rng, dc, duration_s))
            group.create_task(self._restart_in_turn(names))

    async def join_runners(self, rng: Random) -> None:
        """Add runners, end a host that may alone know them, and remove some runners."""
        dc = rng.choice(self.deployment.size.dc_names)
        ids = []
        for _ in range(rng.choice((1, 2))):
            self._joined_count += 1
            ids.append(f"{dc}-j{self._joined_count}")
            await self.deployment.post_control("/join", id=ids[-1], dc=dc)
        self._print_event(f"{ids} join")
        await self._lose_node(rng, dc, DISCOVERY_S)
        await asyncio.sleep(rng.uniform(0.0, 4.0))
        for id_ in ids:
            if rng.random() < 0.5:
                self._print_event(f"{id_} leaves")
                await self.deployment.post_control("/entry", id=id_, draining=True)
                await asyncio.sleep(DRAIN_TIMEOUT_S)
                await self.deployment.post_control("/entry", id=id_, gone=True)

    async def evacuate_dc(self, rng: Random) -> None:
        """Evacuate a data centre for a while, and use it again."""
        dc = rng.choice(self.deployment.size.dc_names)
        if dc in self._evacuating:
            return
        self._evacuating.add(dc)
        duration_s = rng.uniform(3.0, 14.0)
        self._print_event(f"evacuate {dc} for {duration_s:.2f} s")
        await self.deployment.post_control("/evacuate", dc=dc)
        limit_s = EVAC_MS / 1000 + (0.0 if self.only else EVAC_STRETCH_S)
        since = time.monotonic() + limit_s
        await asyncio.sleep(duration_s)
        self.evacuated.append(Evacuated(dc, since, time.monotonic()))
        await self.deployment.post_control("/evacuate", dc=dc, ends=True)
        self._evacuating.remove(dc)

    def late_starts(self, ledger: Iterable[LedgerEntry]) -> Iterator[str]:
        """Yield a sentence for each run that began in an evacuated data centre."""
        for run in ledger:
            for span in self.evacuated:
                is_there = run.runner.partition("-")[0] == span.dc
                if is_there and span.since < run.began_at < span.until:
                    late_s = run.began_at - span.since
                    yield (
                        f"{run.task.job} started on {run.runner}, evacuated: "
                        f"{late_s:.3f} s after the limit"
                    )

    def faults(self) -> tuple[Callable[[Random], Coroutine[None, None, None]], ...]:
        """Return all kinds of faults."""
        return (
            self.kill_node,
            self.pause_node,
            self.pause_dc,
            self.lose_dc,
            self.restart_node,
            self.restart_all,
            self.restart_ready,
            self.impair_runner,
            self.reset_runner_connections,
            self.inject_runner_fault,
            self.inject_store_fault,
            self.cut_off_store,
            self.remove_entries,
            self.partition_dc,
            self.join_runners,
            self.evacuate_dc,
            # Last, so that seeds without it play as before.
            *((self.silence_callers,) if self.silences_callers else ()),
        )

    async def inject_faults(self, seconds: float) -> None:
        """Inject faults at random times, so that they overlap.

        Faults of one kind only come one after the other.
        """
        rng = Random(self.seed)
        self._started_at = time.monotonic()
        # A fault that raises cancels the others, so that none starts a host later.
        async with asyncio.TaskGroup() as group:
            while time.monotonic() - self._started_at < seconds:
                await asyncio.sleep(rng.expovariate(0.8))
                kinds = [f for f in self.faults() if self.only in ("", f.__name__)]
                fault = rng.choice(kinds)
                self._print_event(fault.__name__)
                task = group.create_task(fault(Random(rng.getrandbits(64))))
                if self.only:
                    await task

    def _print_event(self, what: str) -> None:
        """Print an event with the seconds since the epoch, as logs have them."""
        elapsed_s = time.monotonic() - self._started_at
        print(f"  {elapsed_s:5.2f} s, {time.time():.3f}: {what}", flush=True)
