"""The troubles of a soak, brought about from outside, in series that overlap."""

import asyncio
import signal
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from random import Random

from soak.deployment import Deployment
from soak.processes import GRACE_S
from soak.proxy import Trouble

# Daemons are stopped in turn, this long after one another.
TURN_S = 1.5
# Longer than a start and a takeover, within which a daemon answers again.
READY_TRIES = 100
STEP_S = 0.05
# A host that owns nothing learns of a new runner within this time.
KNOWN_S = 5.0
# The bound on draining, after which a runner may leave.
DRAIN_S = 2.0


def _length(rng: Random) -> float:
    return rng.uniform(0.5, 4.0)


@dataclass(slots=True)
class Troubles:
    """Makes trouble for a deployment; a seed gives the same troubles at any load."""

    site: Deployment
    seed: int
    _began_at: float = field(default_factory=time.monotonic)
    _joined: int = 0

    async def kill_node(self, rng: Random) -> None:
        """Kill a daemon and start it again."""
        await self._kill(rng, rng.choice(list(self.site.procs.nodes)))

    async def _kill(self, rng: Random, name: str) -> None:
        self._note(f"kill {name}")
        self.site.procs.signal(name, signal.SIGKILL)
        self.site.procs.wait(name, 5)
        await asyncio.sleep(rng.uniform(0.1, 2.0))
        self.site.procs.start_node(name)

    async def freeze_node(self, rng: Random) -> None:
        """Stop a daemon for a while, and wake it."""
        await self._freeze([rng.choice(list(self.site.procs.nodes))], _length(rng))

    async def _freeze(self, names: list[str], length_s: float) -> None:
        self._note(f"freeze {names} for {length_s:.2f} s")
        for name in names:
            self.site.procs.signal(name, signal.SIGSTOP)
        try:
            await asyncio.sleep(length_s)
        finally:
            for name in names:
                self.site.procs.signal(name, signal.SIGCONT)

    async def restart_node(self, rng: Random) -> None:
        """Have a daemon leave in order, and start it again."""
        await self._restart(rng.choice(list(self.site.procs.nodes)))

    async def _restart(self, name: str) -> None:
        procs = self.site.procs
        self._note(f"restart {name}")
        leaving = procs.pid(name)
        procs.signal(name, signal.SIGTERM)
        for _ in range(GRACE_S * 20):
            await asyncio.sleep(STEP_S)
            if not procs.is_up(name) or procs.pid(name) != leaving:
                break
        else:
            procs.signal(name, signal.SIGKILL)
            procs.wait(name, 5)
        procs.start_node(name)

    async def _lose_node(self, rng: Random, dc: str, within_s: float) -> None:
        """Kill or restart a daemon of a data centre after a while."""
        await asyncio.sleep(rng.uniform(0.0, within_s))
        name = rng.choice(self.site.nodes_of(dc))
        if rng.random() < 0.5:
            await self._kill(rng, name)
        else:
            await self._restart(name)

    async def restart_all(self, rng: Random) -> None:
        """Have all daemons leave in turn, before the former one is back."""
        names = list(self.site.procs.nodes)
        rng.shuffle(names)
        await self._restart_in_turn(names)

    async def _restart_in_turn(self, names: list[str]) -> None:
        async with asyncio.TaskGroup() as group:
            for name in names:
                group.create_task(self._restart(name))
                await asyncio.sleep(TURN_S)

    async def restart_answering(self, rng: Random) -> None:
        """Have every daemon of a data centre leave while it answers, one by one."""
        names = self.site.nodes_of(rng.choice(self.site.size.dc_names))
        rng.shuffle(names)
        for name in names:
            for _ in range(READY_TRIES):
                if await self.site.is_ready(name):
                    break
                await asyncio.sleep(STEP_S)
            await self._restart(name)

    async def trouble_runner(self, rng: Random) -> None:
        """Spoil the way to a runner."""
        proxy = rng.choice(self.site.proxies)
        kinds = (Trouble.SLOW, Trouble.SILENT, Trouble.ONE_WAY, Trouble.REFUSE)
        proxy.trouble = rng.choice(kinds)
        self._note(f"way to the runner at {proxy.port}: {proxy.trouble.name}")
        await asyncio.sleep(_length(rng))
        proxy.trouble = Trouble.NONE

    async def reset_runner(self, rng: Random) -> None:
        """Break the open connections of a runner."""
        rng.choice(self.site.proxies).reset_all()
        await asyncio.sleep(0)

    async def spoil_runner(self, rng: Random) -> None:
        """Have a runner hang, fail, be slow, or begin another life."""
        id_ = rng.choice(self._runners_of(rng.choice(self.site.size.dc_names)))
        choices: tuple[dict[str, object], ...] = (
            {"hangs": True},
            {"fails": True},
            {"slow": 6.0},
            {"life": True},
            {"late_s": rng.uniform(1.0, 6.0)},
            {"loses_answers": True},
        )
        fault = rng.choice(choices)
        self._note(f"{id_} {fault}")
        await self.site.tell("/runner", id=id_, **fault)
        await asyncio.sleep(_length(rng))
        await self.site.tell("/runner", id=id_)

    def _runners_of(self, dc: str) -> list[str]:
        return [f"{dc}-r{i}" for i in range(self.site.size.runners)]

    async def trouble_store(self, rng: Random) -> None:
        """Have the store be down, slow, silent, or forget its history."""
        choices: tuple[dict[str, object], ...] = (
            {"down": True},
            {"delay_s": 0.3},
            {"expire": True},
        )
        fault = rng.choice(choices)
        silent = rng.choice((Trouble.NONE, Trouble.SILENT))
        self._note(f"store {fault}, {silent.name}")
        await self.site.tell("/store", **fault)
        await self._spoil_store(self.site.size.dc_names, silent, _length(rng))
        await self.site.tell("/store")

    async def _spoil_store(self, dcs: str, trouble: Trouble, length_s: float) -> None:
        for dc in dcs:
            self.site.store_proxies[dc].trouble = trouble
        await asyncio.sleep(length_s)
        for dc in dcs:
            self.site.store_proxies[dc].trouble = Trouble.NONE

    async def cut_store(self, rng: Random) -> None:
        """Have a data centre lose the store, and its runners' entries lapse."""
        dc = rng.choice(self.site.size.dc_names)
        length_s = _length(rng)
        self._note(f"{dc} loses the store for {length_s:.2f} s")
        async with asyncio.TaskGroup() as group:
            group.create_task(self._spoil_store(dc, Trouble.SILENT, length_s))
            group.create_task(self._lapse(rng, dc, length_s))

    async def lapse_entries(self, rng: Random) -> None:
        """Have the entries of a data centre's runners lapse while they work on."""
        dc = rng.choice(self.site.size.dc_names)
        await self._lapse(rng, dc, _length(rng))
        await self._lose_node(rng, dc, 1.0)

    async def _lapse(self, rng: Random, dc: str, length_s: float) -> None:
        """Drop the entries; they come back within two seconds of the end."""
        self._note(f"entries of {dc} lapse for {length_s:.2f} s")
        for id_ in self._runners_of(dc):
            await self.site.tell("/entry", id=id_, listed=False)
        await asyncio.sleep(length_s)
        for id_ in rng.sample(self._runners_of(dc), self.site.size.runners):
            await asyncio.sleep(rng.uniform(0.0, 1.5 / self.site.size.runners))
            await self.site.tell("/entry", id=id_)
        self._note(f"entries of {dc} are back")

    async def cut_off(self, rng: Random) -> None:
        """Cut a data centre off from all others and the store; restart its daemons.

        The others are frozen, which looks like a cut from within.
        """
        dc = rng.choice(self.site.size.dc_names)
        others = [name for name in self.site.procs.nodes if name[0] != dc]
        length_s = rng.uniform(3.0, 6.0)
        self._note(f"{dc} is cut off for {length_s:.2f} s")
        names = self.site.nodes_of(dc)
        rng.shuffle(names)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._freeze(others, length_s))
            group.create_task(self._spoil_store(dc, Trouble.SILENT, length_s))
            await asyncio.sleep(rng.uniform(0.0, 2.0))
            group.create_task(self._lapse(rng, dc, length_s))
            group.create_task(self._restart_in_turn(names))

    async def join_runners(self, rng: Random) -> None:
        """Have new runners join, and an owner end that alone knows them; some leave."""
        dc = rng.choice(self.site.size.dc_names)
        ids = []
        for _ in range(rng.choice((1, 2))):
            self._joined += 1
            ids.append(f"{dc}-j{self._joined}")
            await self.site.tell("/join", id=ids[-1], dc=dc)
        self._note(f"{ids} join")
        await self._lose_node(rng, dc, KNOWN_S)
        await asyncio.sleep(rng.uniform(0.0, 4.0))
        for id_ in ids:
            if rng.random() < 0.5:
                self._note(f"{id_} leaves")
                await self.site.tell("/entry", id=id_, draining=True)
                await asyncio.sleep(DRAIN_S)
                await self.site.tell("/entry", id=id_, gone=True)

    def troubles(self) -> tuple[Callable[[Random], Coroutine[None, None, None]], ...]:
        """Return all kinds of trouble."""
        return (
            self.kill_node,
            self.freeze_node,
            self.restart_node,
            self.restart_all,
            self.restart_answering,
            self.trouble_runner,
            self.reset_runner,
            self.spoil_runner,
            self.trouble_store,
            self.cut_store,
            self.lapse_entries,
            self.cut_off,
            self.join_runners,
        )

    async def make_trouble(self, seconds: float) -> None:
        """Begin troubles at random times, so that they overlap."""
        rng = Random(self.seed)
        self._began_at = time.monotonic()
        # One that fails ends the others, so that none starts a daemon later.
        async with asyncio.TaskGroup() as group:
            while time.monotonic() - self._began_at < seconds:
                await asyncio.sleep(rng.expovariate(0.8))
                trouble = rng.choice(self.troubles())
                self._note(trouble.__name__)
                group.create_task(trouble(Random(rng.getrandbits(64))))

    def _note(self, what: str) -> None:
        """Print what is done, with the time of day as the logs have it."""
        past_s = time.monotonic() - self._began_at
        print(f"  {past_s:5.2f} s, {time.time():.3f}: {what}", flush=True)
