"""Tests of the intervals at which the store is read."""

import asyncio
from typing import Any, cast

from monsoongap.platform.feeds import RUNNERS_TOPIC, Feeds
from monsoongap.platform.store import StoreClient, Topic
from monsoongap.settings import BoundsSection
from tests.coordination.test_host import run_virtual
from tests.host_world import World


class RecordingStore:
    """A store without changes that records when the list of runners is read."""

    def __init__(self) -> None:
        self.read_times: list[float] = []

    async def advance(self, topic: Topic, wait_s: float) -> bool:
        """Record the time of a read, and wait."""
        if topic.name == RUNNERS_TOPIC:
            self.read_times.append(asyncio.get_running_loop().time())
        await asyncio.sleep(wait_s)
        return False

    async def put(self, *record: Any) -> None:
        """Accept a record and ignore it."""


# A new owner may take over with an outdated list, without the runners that the previous
# owner had started to use meanwhile. Jobs would then wait for the length of a lease.
def test_a_new_owner_that_lacks_runners_reads_the_list_at_once() -> None:
    async def main() -> None:
        world = World({"a": 3})
        await world.start()
        await asyncio.sleep(5)
        owner = world.owner("a")
        next_owner = next(name for name in world.hosts if name != owner)
        for other in (name for name in world.hosts if name not in (owner, next_owner)):
            # Only `next_owner` may take over.
            world.hosts[other].ownership.leaving = True
        host, store = world.hosts[next_owner], RecordingStore()
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
        assert len(store.read_times) > 1
        feeds.close()

    run_virtual(main())
