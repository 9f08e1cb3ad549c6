"""The platform's store on the model network: keyed topics, and connections to them.

Runs on virtual time. `StoreLink` stands in for the HTTP client of one host: an exchange
uses an idle connection or opens one, as `monsoongap.transport.http_client` does.
Connections can go silent, and the store can stop answering.
"""

import asyncio
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

import msgspec

from monsoongap.coordination.host import Host
from monsoongap.platform.feeds import Feeds
from monsoongap.platform.store import StoreClient
from monsoongap.protocol.messages import Configuration
from monsoongap.settings import BoundsSection, StoreSection
from monsoongap.standin.store import StoreServer
from monsoongap.transport.http_conn import (
    ExchangeLost,
    HttpReply,
    HttpRequest,
    NotConnected,
)
from tests.host_world import CONNECT_S, World

STORE = "store:1"
REPLY_S = 0.004
CLOCK_STEP_S = 0.02


@dataclass(slots=True, eq=False)
class Connection:
    """An open connection of one host; a silent one carries nothing any more."""

    silent: bool = False


@dataclass(slots=True)
class ModelStore:
    """The store's topics, and what is wrong with it.

    While it is `silent`, it accepts connections and requests and answers none of them.
    `turned_away` names the hosts to which it behaves so.
    """

    server: StoreServer = field(default_factory=StoreServer)
    silent: bool = False
    turned_away: set[str] = field(default_factory=set)
    connections: list[Connection] = field(default_factory=list)
    # Of all reads together, and of the link of each host; None for no limit.
    read_bytes_per_s: float | None = None
    link_bytes_per_s: float | None = None
    _reads_done_at: float = 0.0

    def silence_connections(self) -> None:
        """Make every open connection silent; new ones work."""
        for conn in self.connections:
            conn.silent = True

    def put_config(self, config: Configuration) -> None:
        """Append a configuration, as the operator does."""
        topic = self.server.topic("keyed.op")
        topic.append("config", msgspec.json.encode(config))

    async def transfer(self, size_bytes: int) -> None:
        """Wait until a reply has been read and carried to its host."""
        loop = asyncio.get_running_loop()
        if self.read_bytes_per_s is not None:
            begins_at = max(self._reads_done_at, loop.time())
            self._reads_done_at = begins_at + size_bytes / self.read_bytes_per_s
            await asyncio.sleep(self._reads_done_at - loop.time())
        if self.link_bytes_per_s is not None:
            await asyncio.sleep(size_bytes / self.link_bytes_per_s)

    def answers(self, host: str) -> bool:
        """Return whether the store answers a host."""
        return not self.silent and host not in self.turned_away


@dataclass(slots=True)
class StoreLink:
    """The connections of one host to the store; has the methods of `HttpClient`."""

    world: World
    store: ModelStore
    host: str
    _idle: list[Connection] = field(default_factory=list)

    async def exchange(
        self,
        address: str,
        req: HttpRequest,
        timeout_s: float,
        fresh: bool = False,
        transfer_s: float = 0.0,
    ) -> HttpReply:
        """Send a request; see `HttpClient.exchange`."""
        conn = self._idle.pop() if self._idle and not fresh else await self._open()
        await self.world.thawed(self.host)
        began = asyncio.Event()
        task = asyncio.create_task(self._carry(conn, req, began))
        steps = round(timeout_s / CLOCK_STEP_S)
        try:
            # The steady clock of a suspended host does not advance.
            while steps > 0:
                steps -= 1
                await asyncio.wait({task}, timeout=CLOCK_STEP_S)
                await self.world.thawed(self.host)
                if task.done():
                    self._idle.append(conn)
                    return task.result()
                if began.is_set():
                    began.clear()
                    steps += round(transfer_s / CLOCK_STEP_S)
        finally:
            task.cancel()
        self._idle.clear()
        raise ExchangeLost(f"{address}: no reply in {timeout_s} s")

    def forget(self, address: str) -> None:
        """Close the idle connections."""
        self._idle.clear()

    async def _open(self) -> Connection:
        if not self.world.reachable(self.host, "store"):
            await asyncio.sleep(CONNECT_S)
            raise NotConnected("cut")
        conn = Connection()
        self.store.connections.append(conn)
        return conn

    async def _carry(
        self, conn: Connection, req: HttpRequest, began: asyncio.Event
    ) -> HttpReply:
        """Return the store's reply; never if it or the connection is silent."""
        unanswered = conn.silent or not self.store.answers(self.host)
        reply = await self._answer(req)
        if unanswered or conn.silent or not self.store.answers(self.host):
            await asyncio.Event().wait()
        began.set()
        await self.store.transfer(len(reply.body))
        return reply

    async def _answer(self, req: HttpRequest) -> HttpReply:
        await asyncio.sleep(REPLY_S)
        url = urlsplit(req.path)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        status, body = await self.store.server.answer(url.path, query, req.body)
        return HttpReply(status, body)


def open_feeds(world: World, store: ModelStore, cfg: BoundsSection) -> list[Feeds]:
    """Connect every host of a world to a store, and start reading it."""
    return [
        open_feed(world, store, cfg, name, host) for name, host in world.hosts.items()
    ]


def open_feed(
    world: World, store: ModelStore, cfg: BoundsSection, name: str, host: Host
) -> Feeds:
    """Connect one host to a store, and start reading it."""
    link = StoreLink(world, store, name)
    client = StoreClient(StoreSection(STORE), link)  # type: ignore[arg-type]
    feeds = Feeds(cfg, host, client, host.timers)
    feeds.start()
    return feeds
