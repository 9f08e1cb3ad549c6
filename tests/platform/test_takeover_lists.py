"""A takeover by a host whose list of runners is old, while the store answers.

Hosts that own nothing read the list seldom. Guards against a new owner that starts work
on a runner that has been draining, or gone, for longer than the limit.
"""

import asyncio

import pytest

from monsoongap.errors import AnswerKind
from monsoongap.settings import BoundsSection
from tests.coordination.test_host import run_virtual
from tests.platform.test_silent_outage import address_of, darkened_site, put_runner

BOUNDS = BoundsSection()


@pytest.mark.parametrize("leaves_s", [2.2, 5.0, 9.0])
def test_a_new_owner_starts_nothing_on_a_runner_that_drains(leaves_s: float) -> None:
    async def main() -> None:
        world, store = await darkened_site(0.0)
        await asyncio.sleep(1.0)
        put_runner(store, world, "ibk-r0", "draining")
        await asyncio.sleep(leaves_s)
        former = world.owner("ibk")
        entry = next(n for n in world.hosts if n.startswith("ibk") and n != former)
        killed_at = asyncio.get_running_loop().time()
        world.kill(former)
        jobs = [
            asyncio.create_task(world.submit(entry, f"{i:016x}", 2, 20.0))
            for i in range(50, 58)
        ]
        replies = await asyncio.gather(*jobs)
        assert {reply.kind for reply in replies} <= {
            AnswerKind.COMPLETED,
            AnswerKind.BROKEN,
        }
        started = {run.runner for run in world.ledger if run.began_at >= killed_at}
        assert started and "ibk-r0" not in started
        assert address_of("ibk-r0") not in started

    run_virtual(main())
