"""Runs one soak by its seed, or a series of fresh ones.

python -m soak.run --seed 7 --seconds 20
"""

import asyncio
import random
import shutil
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from monsoongap.standin.fleet_runner import LedgerEntry, twice
from monsoongap.transport.http_client import HttpClient
from monsoongap.transport.http_conn import HttpRequest, NotConnected
from soak.callers import OK, UNAVAILABLE, Callers
from soak.processes import GRACE_S, Processes
from soak.proxy import Proxy, Trouble

IP = "127.0.0.1"
DCS = ("a", "b")
NODES_PER_DC = 2
RUNNERS_PER_DC = 3
JOBS_PER_S = 20.0
WARM_UP_S = 6.0
HEAL_S = 5.0
DRAIN_S = 20.0
TOLD_OFFSET = 100
LAST_JOBS = 20
app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@dataclass(slots=True)
class Soak:
    """One soak under way."""

    rng: random.Random
    procs: Processes
    proxies: list[Proxy]
    store_proxy: Proxy
    http: HttpClient
    control: str

    async def tell(self, path: str, **faults: object) -> None:
        """Set a fault on the stand-in."""
        req = HttpRequest("POST", path, msgspec.json.encode(faults))
        await self.http.exchange(self.control, req, 5.0)

    async def ledger(self) -> list[LedgerEntry]:
        """Fetch every run that the runners saw."""
        reply = await self.http.exchange(
            self.control, HttpRequest("GET", "/ledger"), 5.0
        )
        return msgspec.json.decode(reply.body, type=list[LedgerEntry])

    def _length(self) -> float:
        return self.rng.uniform(0.5, 4.0)

    async def kill_node(self) -> None:
        """Kill a daemon and start it again."""
        name = self.rng.choice(list(self.procs.nodes))
        self.procs.signal(name, signal.SIGKILL)
        self.procs.wait(name, 5)
        await asyncio.sleep(self.rng.uniform(0.1, 2.0))
        self.procs.start_node(name)

    async def freeze_node(self) -> None:
        """Stop a daemon for a while, and wake it."""
        name = self.rng.choice(list(self.procs.nodes))
        self.procs.signal(name, signal.SIGSTOP)
        await asyncio.sleep(self._length())
        self.procs.signal(name, signal.SIGCONT)

    async def restart_node(self) -> None:
        """Have a daemon leave in order, and start it again."""
        name = self.rng.choice(list(self.procs.nodes))
        self.procs.signal(name, signal.SIGTERM)
        for _ in range(GRACE_S * 20):
            await asyncio.sleep(0.05)
            if not self.procs.is_up(name):
                break
        else:
            self.procs.signal(name, signal.SIGKILL)
            self.procs.wait(name, 5)
        self.procs.start_node(name)

    async def trouble_runner(self) -> None:
        """Spoil the way to a runner."""
        proxy = self.rng.choice(self.proxies)
        kinds = (Trouble.SLOW, Trouble.SILENT, Trouble.ONE_WAY, Trouble.REFUSE)
        proxy.trouble = self.rng.choice(kinds)
        await asyncio.sleep(self._length())
        proxy.trouble = Trouble.NONE

    async def reset_runner(self) -> None:
        """Break the open connections of a runner."""
        self.rng.choice(self.proxies).reset_all()
        await asyncio.sleep(0)

    async def spoil_runner(self) -> None:
        """Have a runner hang, fail, be slow, or begin another life."""
        id_ = f"{self.rng.choice(DCS)}-r{self.rng.randrange(RUNNERS_PER_DC)}"
        choices: tuple[dict[str, object], ...] = (
            {"hangs": True},
            {"fails": True},
            {"slow": 6.0},
            {"life": True},
        )
        await self.tell("/runner", id=id_, **self.rng.choice(choices))
        await asyncio.sleep(self._length())
        await self.tell("/runner", id=id_)

    async def trouble_store(self) -> None:
        """Have the store be down, slow, silent, or forget its history."""
        choices: tuple[dict[str, object], ...] = (
            {"down": True},
            {"delay_s": 0.3},
            {"expire": True},
        )
        await self.tell("/store", **self.rng.choice(choices))
        self.store_proxy.trouble = self.rng.choice((Trouble.NONE, Trouble.SILENT))
        await asyncio.sleep(self._length())
        self.store_proxy.trouble = Trouble.NONE
        await self.tell("/store")

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
            await asyncio.sleep(self.rng.expovariate(0.8))
            trouble = self.rng.choice(self.troubles())
            print(f"  {until - time.monotonic():5.1f} s left: {trouble.__name__}")
            under_way.add(asyncio.ensure_future(trouble()))
        await asyncio.gather(*under_way)


def broken_promises(callers: Callers, ledger: list[LedgerEntry]) -> list[str]:
    """Return what callers and runners saw that must not be."""
    found = [
        f"twice: {a.task} run {a.run} on {a.runner} and run {b.run} on {b.runner}"
        for a, b in twice(ledger)
    ]
    ran = {entry.task.job for entry in ledger}
    done: dict[str, set[object]] = {}
    for entry in ledger:
        if entry.how == "done":
            done.setdefault(entry.task.job, set()).add(entry.task)
    for call in callers.calls:
        if call.tries and set(call.tries) == {UNAVAILABLE} and call.id in ran:
            found.append(f"refused, yet it ran: {call.id}")
        if call.state == "completed" and len(done.get(call.id, ())) < call.tasks:
            found.append(f"completed, yet not all of it is done: {call.id}")
    return found


async def soak(seed: int, seconds: float, out: Path, calm: bool) -> list[str]:
    """Run one soak; returns what was broken."""
    rng = random.Random(seed)
    port = 20_000 + (seed % 50) * 200
    procs = Processes(out, f"{IP}:{port + 2}", port + 10)
    http = HttpClient()
    runner_port = port + 50
    count = len(DCS) * RUNNERS_PER_DC
    proxies = [
        Proxy(IP, runner_port + TOLD_OFFSET + i, runner_port + i) for i in range(count)
    ]
    store_proxy = Proxy(IP, port + 2, port)
    try:
        for proxy in (*proxies, store_proxy):
            await proxy.listen()
        procs.start(
            "standin",
            "monsoongap.standin.fleet_main",
            f"--port={port}",
            f"--runner-port={runner_port}",
            f"--told-offset={TOLD_OFFSET}",
            f"--dcs={','.join(DCS)}",
            f"--runners={RUNNERS_PER_DC}",
        )
        state = Soak(rng, procs, proxies, store_proxy, http, f"{IP}:{port + 1}")
        for d, dc in enumerate(DCS):
            for i in range(NODES_PER_DC):
                procs.add_node(f"{dc}{i}", dc, f"127.0.{1 + d}.{1 + i}")
        await asyncio.sleep(WARM_UP_S)
        return await _under_load(state, seconds, calm)
    finally:
        procs.end_all()
        for proxy in (*proxies, store_proxy):
            proxy.close()


async def _under_load(state: Soak, seconds: float, calm: bool) -> list[str]:
    callers = Callers(list(state.procs.nodes.values()), state.rng)
    sent: set[asyncio.Task[object]] = set()

    async def load() -> None:
        while True:
            sent.add(asyncio.create_task(callers.send()))
            await asyncio.sleep(1 / JOBS_PER_S)

    loading = asyncio.create_task(load())
    await (asyncio.sleep(seconds) if calm else state.make_trouble(seconds))
    await asyncio.sleep(HEAL_S)
    loading.cancel()
    late = await asyncio.wait(sent, timeout=DRAIN_S)
    last = await asyncio.gather(*(callers.send() for _ in range(LAST_JOBS)))
    found = broken_promises(callers, await state.ledger())
    found += [f"no answer at all: {len(late[1])} calls"] if late[1] else []
    bad = [call for call in last if call.state != "completed"]
    found += [f"not served after all has healed: {c.id} {c.tries}" for c in bad]
    served = sum(1 for c in callers.calls if c.state == "completed")
    lost = sum(
        1 for c in callers.calls if c.tries and c.tries[-1] not in (OK, UNAVAILABLE)
    )
    print(f"  {len(callers.calls)} jobs, {served} completed, {lost} without an answer")
    return found


@app.command()
def main(
    seed: Annotated[int | None, typer.Option(help="Play this seed only.")] = None,
    seconds: Annotated[float, typer.Option(help="Trouble of each soak.")] = 15.0,
    rounds: Annotated[int, typer.Option(help="Number of fresh seeds.")] = 1,
    out: Annotated[Path, typer.Option(help="Where logs go.")] = Path("out/soak"),
    calm: Annotated[bool, typer.Option(help="Load without any trouble.")] = False,
) -> None:
    """Play soaks and fail at the first broken promise."""
    fresh = random.SystemRandom()
    seeds = (
        [seed] if seed is not None else [fresh.randrange(10**6) for _ in range(rounds)]
    )
    failed = 0
    for number in seeds:
        print(f"seed {number}")
        try:
            shutil.rmtree(out / str(number), ignore_errors=True)
            (out / str(number)).mkdir(parents=True)
            found = asyncio.run(soak(number, seconds, out / str(number), calm))
        except NotConnected as exc:
            found = [f"the stand-in is gone: {exc}"]
        failed += bool(found)
        for line in found:
            print(f"  BROKEN {line}")
    print(f"{len(seeds) - failed} passed, {failed} failed")
    raise typer.Exit(1 if failed else 0)


if __name__ == "__main__":
    app()
