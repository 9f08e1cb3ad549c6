"""Random evacuations among random faults: no overlapping runs, no broken promises.

One host at a time learns of a change, as if the store served no other.
"""

import asyncio
import random
from dataclasses import dataclass, field

import pytest

from tests.coordination.test_host import run_virtual
from tests.coordination.test_lost_data_centres import LENGTH_S, LossScenario
from tests.host_world import World

FAULTS = (
    *("evacuate", "evacuate", "evacuate", "spot", "spot"),
    *("kill", "roll", "pause", "pause_dc", "mute", "request_faults"),
)


@dataclass(slots=True)
class EvacuationScenario(LossScenario):
    """A scenario of load, lost hosts and evacuations that is drawn from a seed."""

    offset: int = 0
    evacuated: set[str] = field(default_factory=set)

    def tell_one(self) -> None:
        """Tell one host the evacuations, as the store does."""
        if names := sorted(self.world.hosts):
            host = self.world.hosts[self.rng.choice(names)]
            host.directory.evacuation.accept(self.evacuated, self.offset)

    async def _evacuate(self) -> None:
        """Begin or end the evacuation of a data centre."""
        dc = self.rng.choice(sorted(self.world.dcs))
        self.evacuated ^= {dc}
        self.offset += 1
        self._record(f"evacuated: {sorted(self.evacuated)}")
        self.tell_one()
        await asyncio.sleep(0)


# A job may be submitted to another data centre than the one where it is in progress.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_evacuations_cause_no_overlapping_runs_and_no_stuck_jobs(seed: int) -> None:
    async def main() -> None:
        dcs = {"ibk": 2, "kuf": 2, "lnz": 2}
        world = World(dcs, runners_per_dc=3, seed=seed, evac_ms=5000)
        await world.start()
        scenario = EvacuationScenario(world, random.Random(seed), FAULTS)
        scenario.tell_one()
        await asyncio.sleep(3)
        await scenario.run(LENGTH_S)
        try:
            world.check()
            assert scenario.stuck_jobs() == []
            assert len(world.ledger) > 20
        except AssertionError as exc:
            raise AssertionError(f"{exc}\n" + "\n".join(scenario.events)) from exc

    run_virtual(main())
