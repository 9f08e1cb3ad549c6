"""Rolling stops of every host of a data centre under load.

Guards against a planned stop that costs callers anything: an owner that leaves hands
over its shares and open jobs before it closes, and its successor, which may have been
started a moment ago, knows the owners of the other data centres at once.
"""

import asyncio
import random
from dataclasses import dataclass, field

from monsoongap.errors import AnswerKind
from tests.clock import run_virtual
from tests.host_world import World

JOBS_PER_S = 40
TASKS, WORK_MS = 3, 80.0
# The objective of such a job: 1.6 times its work, and 60 ms.
OBJECTIVE_S = 1.6 * WORK_MS / 1000 + 0.06
# From SIGTERM to the end of the process, and until it runs again.
LEAVES_S, DOWN_S, PAUSE_S = 3.0, 0.5, 1.5


@dataclass(slots=True)
class Crowd:
    """Callers that submit jobs at the hosts in rotation."""

    world: World
    in_rotation: set[str]
    took_s: dict[str, float] = field(default_factory=dict)
    rng: random.Random = field(default_factory=lambda: random.Random(1))

    async def submit_steadily(self) -> None:
        async with asyncio.TaskGroup() as group:
            for number in range(1000, 1_000_000):
                group.create_task(self._submit(f"{number:016x}"))
                await asyncio.sleep(1 / JOBS_PER_S)

    async def _submit(self, id_: str) -> None:
        started_at = asyncio.get_running_loop().time()
        host = self.rng.choice(sorted(self.in_rotation))
        await self.world.submit(host, id_, TASKS, WORK_MS)
        self.took_s[id_] = asyncio.get_running_loop().time() - started_at


def test_rolling_stops_of_a_data_centre_cost_no_job_its_objective() -> None:
    async def main() -> None:
        world = World({"a": 6, "b": 3}, runners_per_dc=12, cores=0.5, strong_per_dc=2)
        await world.start()
        await asyncio.sleep(5.0)
        hosts = [name for name in world.hosts if name.startswith("a")]
        crowd = Crowd(world, set(hosts))
        load = asyncio.create_task(crowd.submit_steadily())
        await asyncio.sleep(1.0)
        for name in hosts:
            world.hosts[name].leave()
            crowd.in_rotation.discard(name)
            await asyncio.sleep(LEAVES_S)
            world.kill(name)
            await asyncio.sleep(DOWN_S)
            host = world.start_host(name)
            await asyncio.sleep(PAUSE_S)
            assert host.ready
            crowd.in_rotation.add(name)
        load.cancel()
        assert len(crowd.took_s) > JOBS_PER_S * len(hosts) * LEAVES_S
        kinds = {r.kind for id_ in crowd.took_s for r in world.replies[id_]}
        assert kinds == {AnswerKind.COMPLETED}
        assert max(crowd.took_s.values()) <= OBJECTIVE_S
        world.check()

    run_virtual(main())
