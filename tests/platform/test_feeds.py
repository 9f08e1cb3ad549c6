"""Tests of how often the store is read."""

import asyncio
from typing import Any, cast

from monsoongap.platform.feeds import RUNNERS_TOPIC, Feeds
from monsoongap.platform.store import StoreClient, Topic
from monsoongap.settings import BoundsSection
from tests.coordination.test_host import run_virtual
from tests.host_world import World


class CountingStore:
    """A store on which nothing changes; keeps when the list of runners was read."""

    def __init__(self) -> None:
        self.reads: list[float] = []

    async def advance(self, topic: Topic, wait_s: float) -> bool:
        """Note a read."""
        if topic.name == RUNNERS_TOPIC:
            self.reads.append(asyncio.get_running_loop().time())
        await asyncio.sleep(wait_s)
        return False

    async def put(self, *record: Any) -> None:
        """Take a record."""


# Guards against a takeover with an old list, which lacks the runners that the former
# owner began to use meanwhile: jobs would wait for a lease.
def test_a_new_owner_that_lacks_runners_reads_the_list_at_once() -> None:
    async def main() -> None:
        world = World({"a": 3})
        await world.start()
        await asyncio.sleep(5)
        owner = world.owner("a")
        other = next(n for n in world.hosts if n != owner)
        for left in (n for n in world.hosts if n not in (owner, other)):
            # Only one host may come next.
            world.hosts[left].ownership.leaving = True
        host, store = world.hosts[other], CountingStore()
        world.send_runner_list(host, "a-r0")
        feeds = Feeds(
            BoundsSection(), host, cast(StoreClient, cast(object, store)), host.timers
        )
        world.kill(owner)
        await asyncio.sleep(0.6)
        feeds.start()
        await asyncio.sleep(0.3)
        assert host.ownership.claims
        await asyncio.sleep(0.2)
        assert len(store.reads) > 1
        feeds.close()

    run_virtual(main())
