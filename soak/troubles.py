"""The troubles of a soak, brought about from outside, in series that overlap."""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from soak.deployment import DCS, RUNNERS_PER_DC, Deployment
from soak.processes import GRACE_S
from soak.proxy import Trouble


@dataclass(slots=True)
class Troubles:
    """Makes trouble for a deployment, drawn from its random numbers."""

    site: Deployment

    def _length(self) -> float:
        return self.site.rng.uniform(0.5, 4.0)

    async def kill_node(self) -> None:
        """Kill a daemon and start it again."""
        name = self.site.rng.choice(list(self.site.procs.nodes))
        self.site.procs.signal(name, signal.SIGKILL)
        self.site.procs.wait(name, 5)
        await asyncio.sleep(self.site.rng.uniform(0.1, 2.0))
        self.site.procs.start_node(name)

    async def freeze_node(self) -> None:
        """Stop a daemon for a while, and wake it."""
        name = self.site.rng.choice(list(self.site.procs.nodes))
        self.site.procs.signal(name, signal.SIGSTOP)
        await asyncio.sleep(self._length())
        self.site.procs.signal(name, signal.SIGCONT)

    async def restart_node(self) -> None:
        """Have a daemon leave in order, and start it again."""
        name = self.site.rng.choice(list(self.site.procs.nodes))
        self.site.procs.signal(name, signal.SIGTERM)
        for _ in range(GRACE_S * 20):
            await asyncio.sleep(0.05)
            if not self.site.procs.is_up(name):
                break
        else:
            self.site.procs.signal(name, signal.SIGKILL)
            self.site.procs.wait(name, 5)
        self.site.procs.start_node(name)

    async def trouble_runner(self) -> None:
        """Spoil the way to a runner."""
        proxy = self.site.rng.choice(self.site.proxies)
        kinds = (Trouble.SLOW, Trouble.SILENT, Trouble.ONE_WAY, Trouble.REFUSE)
        proxy.trouble = self.site.rng.choice(kinds)
        await asyncio.sleep(self._length())
        proxy.trouble = Trouble.NONE

    async def reset_runner(self) -> None:
        """Break the open connections of a runner."""
        self.site.rng.choice(self.site.proxies).reset_all()
        await asyncio.sleep(0)

    async def spoil_runner(self) -> None:
        """Have a runner hang, fail, be slow, or begin another life."""
        id_ = f"{self.site.rng.choice(DCS)}-r{self.site.rng.randrange(RUNNERS_PER_DC)}"
        choices: tuple[dict[str, object], ...] = (
            {"hangs": True},
            {"fails": True},
            {"slow": 6.0},
            {"life": True},
            {"late_s": self.site.rng.uniform(1.0, 6.0)},
            {"loses_answers": True},
        )
        await self.site.tell("/runner", id=id_, **self.site.rng.choice(choices))
        await asyncio.sleep(self._length())
        await self.site.tell("/runner", id=id_)

    async def trouble_store(self) -> None:
        """Have the store be down, slow, silent, or forget its history."""
        choices: tuple[dict[str, object], ...] = (
            {"down": True},
            {"delay_s": 0.3},
            {"expire": True},
        )
        await self.site.tell("/store", **self.site.rng.choice(choices))
        self.site.store_proxy.trouble = self.site.rng.choice(
            (Trouble.NONE, Trouble.SILENT)
        )
        await asyncio.sleep(self._length())
        self.site.store_proxy.trouble = Trouble.NONE
        await self.site.tell("/store")

    def troubles(self) -> tuple[Callable[[], Awaitable[None]], ...]:
        """Return all kinds of trouble."""
        return (
            self.kill_node,
            self.freeze_node,
            self.restart_node,
            self.trouble_runner,
            self.reset_runner,
            self.spoil_runner,
            self.trouble_store,
        )

    async def make_trouble(self, seconds: float) -> None:
        """Begin troubles at random times, so that they overlap."""
        until = time.monotonic() + seconds
        under_way: set[asyncio.Task[None]] = set()
        while time.monotonic() < until:
            await asyncio.sleep(self.site.rng.expovariate(0.8))
            trouble = self.site.rng.choice(self.troubles())
            print(f"  {until - time.monotonic():5.1f} s left: {trouble.__name__}")
            under_way.add(asyncio.ensure_future(trouble()))
        await asyncio.gather(*under_way)
