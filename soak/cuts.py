"""Cuts between data centres, and what happens to hosts shortly before and meanwhile."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from random import Random

from soak.links import Cut, CutKind
from soak.proxy import ProxyFault
from soak.troubles import FaultInjector

# Jobs begin about 3 s after the callers, and are announced by then.
FIRST_CUT_S = 5.0
# Cuts outlast what hosts wait for a silent data centre.
CUT_S = (4.0, 6.5)
PAUSE_S = (0.5, 4.0)
STORE_SHARE = 0.3
AGAIN_SHARE = 0.3
BEFORE_S = 1.5


@dataclass(slots=True)
class CutInjector(FaultInjector):
    """Cuts data centres off, one after the other; both sides go on and have callers."""

    def faults(self) -> tuple[Callable[[Random], Coroutine[None, None, None]], ...]:
        """Return the only kind of fault."""
        return (self.cut_dc,)

    async def cut_dc(self, rng: Random) -> None:
        """Cut a data centre off, sometimes twice, and lose, stop or pause hosts."""
        elapsed_s = time.monotonic() - self._started_at
        first_s = FIRST_CUT_S + rng.uniform(0.0, 2.0)
        await asyncio.sleep(max(first_s - elapsed_s, rng.uniform(*PAUSE_S)))
        dc = rng.choice(self.deployment.size.dc_names)
        ways = rng.choice(((True, True), (True, True), (True, False), (False, True)))
        if ways == (True, True):
            kind = rng.choice(list(CutKind))
        else:
            kind = rng.choice((CutKind.DROP, CutKind.TIMEOUT))
        cut = Cut(dc, kind, *ways)
        disturb = rng.choice(
            (
                self._kill_two,
                self._kill_and_stop,
                self._stop_in_turn,
                self._pause_briefly,
                self._leave_alone,
            )
        )
        before_s = rng.choice((0.0, rng.uniform(0.0, BEFORE_S)))
        cuts_store = rng.random() < STORE_SHARE
        durations = [rng.uniform(*CUT_S)]
        if rng.random() < AGAIN_SHARE:
            durations.append(rng.uniform(*CUT_S))
        async with asyncio.TaskGroup() as group:
            group.create_task(disturb(rng, dc, before_s))
            await asyncio.sleep(before_s)
            for duration_s in durations:
                if cuts_store:
                    impair = self._impair_store(dc, ProxyFault.SILENT, duration_s)
                    group.create_task(impair)
                await self._cut(cut, duration_s, cuts_store)
                await asyncio.sleep(rng.uniform(0.3, 1.5))

    async def _cut(self, cut: Cut, duration_s: float, cuts_store: bool) -> None:
        ways = {(True, True): "", (True, False): " sends", (False, True): " receives"}
        way = ways[cut.sends, cut.receives]
        store = ", store too" if cuts_store else ""
        self._print_event(f"cut {cut.dc} {cut.kind}{way} {duration_s:.2f} s{store}")
        self.deployment.links.begin_cut(cut)
        try:
            await asyncio.sleep(duration_s)
        finally:
            self.deployment.links.end_cut(cut.dc)
            self._print_event(f"the cut of {cut.dc} ends")

    def _draw_hosts(self, rng: Random, dc: str) -> list[str]:
        """Return the hosts of the data centre that is cut off, of others, or of all."""
        others = (name for name in self.deployment.size.dc_names if name != dc)
        dcs = rng.choice(((dc,), tuple(others), tuple(self.deployment.size.dc_names)))
        names = self.deployment.nodes_of(*dcs)
        rng.shuffle(names)
        return names

    async def _kill_two(self, rng: Random, dc: str, before_s: float) -> None:
        """Kill up to two hosts, shortly before the cut or in it."""
        async with asyncio.TaskGroup() as group:
            for name in self._draw_hosts(rng, dc)[:2]:
                await asyncio.sleep(rng.uniform(0.0, before_s + 1.0))
                group.create_task(self._kill(rng, name))

    async def _kill_and_stop(self, rng: Random, dc: str, before_s: float) -> None:
        """Kill a host in the cut, and stop another of its data centre soon after."""
        name = self._draw_hosts(rng, dc)[0]
        others = [n for n in self.deployment.nodes_of(name[0]) if n != name] or [name]
        await asyncio.sleep(before_s + rng.uniform(0.7, 2.5))
        async with asyncio.TaskGroup() as group:
            group.create_task(self._kill(rng, name))
            await asyncio.sleep(rng.uniform(0.0, 1.0))
            group.create_task(self._restart(rng.choice(others)))

    async def _stop_in_turn(self, rng: Random, dc: str, before_s: float) -> None:
        """Stop hosts in turn and start them again."""
        await asyncio.sleep(rng.uniform(0.0, before_s))
        await self._restart_in_turn(self._draw_hosts(rng, dc)[:4])

    async def _pause_briefly(self, rng: Random, dc: str, before_s: float) -> None:
        """Pause hosts again and again, for less than others wait for them."""
        names = self._draw_hosts(rng, dc)
        for _ in range(6):
            await asyncio.sleep(rng.uniform(0.1, 0.6))
            await self._pause([rng.choice(names)], rng.uniform(0.15, 0.6))

    async def _leave_alone(self, rng: Random, dc: str, before_s: float) -> None:
        """Leave all hosts alone."""
