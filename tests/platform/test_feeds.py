"""Tests of the tasks that read the store: intervals, outages and errors."""

import asyncio
from typing import Any, cast

import msgspec
import pytest

from monsoongap.platform.feeds import OPERATOR_TOPIC, RUNNERS_TOPIC, Feeds
from monsoongap.platform.store import StoreClient, StoreUnavailable, Topic, pause
from monsoongap.platform.wire import READ_HEAD, keyed_record
from monsoongap.protocol.messages import Configuration
from monsoongap.settings import BoundsSection, StoreSection
from monsoongap.transport.http_client import HttpClient
from monsoongap.transport.http_conn import HttpReply, HttpRequest
from tests import clock
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


class FailingStore(RecordingStore):
    """A store whose configuration is read with errors of one type, `count` times."""

    def __init__(self, error: Exception, count: int) -> None:
        super().__init__()
        self._error = error
        self._count = count
        self.config_reads = 0

    async def advance(self, topic: Topic, wait_s: float) -> bool:
        """Fail, or wait without a change."""
        if topic.name == OPERATOR_TOPIC:
            self.config_reads += 1
            if self.config_reads <= self._count:
                raise self._error
        return await super().advance(topic, max(wait_s, 0.01))


# Issue 22: an error that nothing expects ended the task that follows the configuration.
# The pause between attempts overflowed after 1,024 failures, 14 minutes of an outage.
@pytest.mark.parametrize(
    ("error", "count"),
    [(RecursionError("odd"), 3), (StoreUnavailable("down"), 1100)],
)
def test_the_configuration_is_followed_after_any_error(
    error: Exception, count: int
) -> None:
    async def main() -> None:
        world = World({"a": 1})
        await world.start()
        host, store = world.hosts["a-h0"], FailingStore(error, count)
        feeds = Feeds(
            BoundsSection(), host, cast(StoreClient, cast(object, store)), host.timers
        )
        feeds.start()
        await asyncio.sleep(count + 10.0)
        assert store.config_reads > count + 1
        feeds.close()

    clock.run_virtual(main())


def test_the_pause_after_failures_is_bounded() -> None:
    async def main() -> None:
        started_at = asyncio.get_running_loop().time()
        await pause(5000)
        assert asyncio.get_running_loop().time() - started_at < 1.0

    run_virtual(main())


class StaleStore(HttpClient):
    """A store that lost its history and replies with newest values of before."""

    def __init__(self) -> None:
        super().__init__()
        self.calls = 0

    async def exchange(
        self,
        address: str,
        req: HttpRequest,
        timeout_s: float,
        fresh: bool = False,
        transfer_s: float = 0.0,
    ) -> HttpReply:
        """Reply at once."""
        self.calls += 1
        await asyncio.sleep(0.004)
        if "log-read" in req.path:
            return HttpReply(410, b'{"first":90}')
        return HttpReply(200, b'{"items":[],"end":40}')


# Issue 22: a reader whose position had expired asked without a pause for as long as the
# newest values lagged behind, and took the calls that all hosts together may make.
def test_a_reader_pauses_while_the_newest_values_lag_behind() -> None:
    async def main() -> None:
        world = World({"a": 1})
        await world.start()
        http, host = StaleStore(), world.hosts["a-h0"]
        store = StoreClient(StoreSection("127.0.0.1:1"), http)
        feeds = Feeds(BoundsSection(), host, store, host.timers)
        feeds.start()
        await asyncio.sleep(5.0)
        assert http.calls < 100
        feeds.close()

    run_virtual(main())


class OneEntryStore(RecordingStore):
    """A store with the entry of one runner."""

    async def advance(self, topic: Topic, wait_s: float) -> bool:
        """Read the entry."""
        await super().advance(topic, max(wait_s, 0.01))
        topic.values["i-odd"] = (
            b'{"service":"inspect","address":"127.0.0.1:1","zone":"elsewhere",'
            b'"state":"ready","capacity":{"cpu":1,"memMb":1}}'
        )
        return topic.name == RUNNERS_TOPIC


# Issue 22: an entry in a data centre that does not exist gave it a share without an
# owner, of which every owner asked in vain after a takeover: jobs were refused.
def test_a_runner_in_an_unknown_data_centre_is_skipped() -> None:
    async def main() -> None:
        world = World({"a": 1})
        await world.start()
        host, store = world.hosts["a-h0"], OneEntryStore()
        for dcs, shares in (((), 2), (("a", "b"), 1)):
            feeds = Feeds(
                BoundsSection(),
                host,
                cast(StoreClient, cast(object, store)),
                host.timers,
                dcs,
            )
            feeds.start()
            await asyncio.sleep(1.0)
            assert len(host.ownership.all_shares()) == shares
            feeds.close()

    run_virtual(main())


class BacklogStore(StaleStore):
    """A store that sends part of a backlog, and refuses its newest values."""

    async def exchange(self, *args: Any, **kwargs: Any) -> HttpReply:
        """Reply at once."""
        self.calls += 1
        await asyncio.sleep(0.004)
        req: HttpRequest = args[1]
        if "log-read" in req.path and "topic=keyed.op" in req.path:
            config = msgspec.json.encode(Configuration(6))
            return HttpReply(200, READ_HEAD.pack(9, 0) + keyed_record("config", config))
        if "log-newest" in req.path and self.calls > 3:
            return HttpReply(503, b"")
        return HttpReply(200, b'{"items":[],"end":4}')


# Guards against a version that was read and left out, as the newest one after it could
# not be read.
def test_a_version_of_a_backlog_is_applied_while_the_newest_cannot_be_read() -> None:
    async def main() -> None:
        world = World({"a": 1})
        await world.start()
        http, host = BacklogStore(), world.hosts["a-h0"]
        store = StoreClient(StoreSection("127.0.0.1:1"), http)
        feeds = Feeds(BoundsSection(), host, store, host.timers)
        feeds.start()
        await asyncio.sleep(1.0)
        assert host.directory.version == 6
        feeds.close()

    run_virtual(main())
