"""Random days on which hosts lose power again and again, and are soon back.

Every 1 to 3 s one host, of any data centre or of one, or an owner, is without power for
up to 0.6 s, so that its next process answers the calls that were made to the one
before. A data centre is cut off besides. Callers wait for long and for short jobs, and
send them again 1.3 s after their host has ended. All on virtual time.
"""

import asyncio
import random
from dataclasses import dataclass, field

import pytest

from tests.coordination.test_cut_days import DCS, END_S, CutDay
from tests.coordination.test_host import run_virtual
from tests.host_world import World

FIRST_LOSS_S = 4.0
LAST_LOSS_S = 44.0
LOSS_INTERVAL_S = (1.0, 3.0)
DARK_S = (0.1, 0.6)
SUBMIT_INTERVAL_S = (0.5, 2.5)


@dataclass(slots=True)
class PowerDay(CutDay):
    """A day of losses of power; `targets` are the hosts that suffer them."""

    targets: str = field(init=False)

    def __post_init__(self) -> None:
        self._began_at = asyncio.get_running_loop().time()
        # Of the cut that comes besides.
        self.variant = "plain"
        self.targets = self.rng.choice(("any", "owners", *DCS))
        self._record(f"power losses of {self.targets}")

    async def run(self, length_s: float = END_S) -> None:
        """Play the day until some time after the cut."""
        self._spawn(self._lose_power())
        self._spawn(self._submit_jobs())
        await CutDay.run(self, length_s)

    async def _lose_power(self) -> None:
        await self._sleep_until(FIRST_LOSS_S)
        while self._now() < LAST_LOSS_S:
            if names := self._candidates():
                name = self.rng.choice(names)
                self._record(f"{name} loses power")
                self.world.power_off(name)
                self._spawn(self._start(name, self.rng.uniform(*DARK_S)))
            await asyncio.sleep(self.rng.uniform(*LOSS_INTERVAL_S))

    def _candidates(self) -> list[str]:
        hosts = self.world.hosts
        return sorted(
            name
            for name, host in hosts.items()
            if self.targets in ("any", name.partition("-")[0])
            or (self.targets == "owners" and host.ownership.claims)
        )

    async def _submit_jobs(self) -> None:
        while self._now() < LAST_LOSS_S:
            self._spawn(self._submit(f"{self.rng.getrandbits(64):016x}"))
            await asyncio.sleep(self.rng.uniform(*SUBMIT_INTERVAL_S))


def play_day(seed: int) -> None:
    """Play a day and check it; a failure lists the faults of the day."""

    async def main() -> None:
        world = World(dict(DCS), runners_per_dc=4, seed=seed)
        world.handlers_outlive_calls = True
        await world.start()
        await asyncio.sleep(3)
        day = PowerDay(world, random.Random(seed), ("pause_one",))
        await day.run()
        try:
            world.check()
        except AssertionError as exc:
            raise AssertionError(f"{exc}\n" + "\n".join(day.events)) from exc

    run_virtual(main())


# Guards against a second run of a task that the next process of a lender without power
# makes possible: its refusal counted as "never began".
@pytest.mark.parametrize("seed", [21, 24])
def test_tasks_run_once_while_hosts_lose_power_for_short_times(seed: int) -> None:
    play_day(seed)
