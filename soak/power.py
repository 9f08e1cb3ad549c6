"""Losses of power: hosts end without a trace on open connections, and are soon back."""

import asyncio
import signal
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from random import Random

from soak.cuts import CUT_S, CutInjector
from soak.links import Cut, CutKind

# A host is back before its calls would be given up.
DARK_S = (0.1, 0.6)
PAUSE_S = (1.0, 3.0)
LOSSES = (4, 9)
CUT_SHARE = 0.4


@dataclass(slots=True)
class PowerInjector(CutInjector):
    """Takes the power of one host after the other, often beside a cut."""

    def faults(self) -> tuple[Callable[[Random], Coroutine[None, None, None]], ...]:
        """Return the only kind of fault."""
        return (self.lose_power,)

    async def lose_power(self, rng: Random) -> None:
        """Take the power of hosts in turn, of any or of one data centre."""
        dc = rng.choice(self.deployment.size.dc_names)
        names = list(self.deployment.procs.nodes)
        if rng.random() < 0.5:
            names = self.deployment.nodes_of(dc)
        async with asyncio.TaskGroup() as group:
            if rng.random() < CUT_SHARE:
                group.create_task(self._cut_soon(rng, dc))
            for _ in range(rng.randint(*LOSSES)):
                await asyncio.sleep(rng.uniform(*PAUSE_S))
                name, dark_s = rng.choice(names), rng.uniform(*DARK_S)
                group.create_task(self._lose_power(name, dark_s))

    async def _cut_soon(self, rng: Random, dc: str) -> None:
        await asyncio.sleep(rng.uniform(0.0, 6.0))
        cut = Cut(dc, rng.choice((CutKind.DROP, CutKind.TIMEOUT)))
        await self._cut(cut, rng.uniform(*CUT_S), False)

    async def _lose_power(self, name: str, dark_s: float) -> None:
        """Kill a host; other hosts that have a connection to it are not told."""
        procs, links = self.deployment.procs, self.deployment.links
        ip = procs.nodes[name].ip
        self._print_event(f"{name} loses power for {dark_s:.2f} s")
        links.power_off(name, ip)
        procs.signal(name, signal.SIGKILL)
        procs.wait(name, 5)
        await asyncio.sleep(dark_s)
        links.power_on(ip)
        procs.start_node(name)
