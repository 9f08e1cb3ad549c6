"""How soon a burst of 50 changes is in force on every host, on virtual time.

Prints for each trouble the seconds until the last host has all changes, and the
exchanges between hosts that it took. Exits 1 beyond the stated bound.
"""

import asyncio
import sys
from dataclasses import dataclass

from monsoongap.standin.faults import LogSlow
from tests.clock import run_virtual
from tests.coordination.tree_world import Host, World, change

HOSTS = 60
BURST = 50
BOUND_S = 6.0
LIMIT_S = 60.0
STEP_S = 0.01
SLOW_LOG_S = 1.5
DATA_CENTRES = ("ibk", "kuf", "lnz", "ldk", "mvd")
TROUBLES = ("none", "slow log", "third cut off", "one host left at the log")


@dataclass(frozen=True, slots=True)
class Spread:
    """What one burst took."""

    seconds: float
    exchanges: int


async def spread(trouble: str) -> Spread:
    """Run one burst on fresh hosts."""
    world = World()
    hosts = world.add_many(HOSTS, DATA_CENTRES)
    await asyncio.sleep(3.0)
    if trouble == "slow log":
        world.model.set_faults((LogSlow(SLOW_LOG_S),))
    for host in _cut_off(trouble, hosts):
        host.log.cut = True
    reaching = [host for host in hosts if not host.log.cut]
    world.network.calls.clear()
    started = world.timers.now()
    verdicts = asyncio.gather(
        *(
            reaching[number % len(reaching)].propose(
                change(number, f"teams/t{number}", quota_slots=number)
            )
            for number in range(BURST)
        )
    )
    while any(len(host.tree.all()) < BURST for host in hosts):
        if world.timers.now() - started > LIMIT_S:
            break
        await asyncio.sleep(STEP_S)
    taken = Spread(world.timers.now() - started, len(world.network.calls))
    await verdicts
    await world.close()
    return taken


def _cut_off(trouble: str, hosts: list[Host]) -> list[Host]:
    match trouble:
        case "third cut off":
            return hosts[::3]
        case "one host left at the log":
            return hosts[1:]
        case _:
            return []


def main() -> int:
    """Print a line per trouble."""
    late = 0
    for trouble in TROUBLES:
        taken = run_virtual(spread(trouble))
        late += taken.seconds > BOUND_S
        print(
            f"{HOSTS} hosts, burst of {BURST}, {trouble}:"
            f" {taken.seconds:.2f} s, {taken.exchanges} exchanges"
        )
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(main())
