"""Heartbeats: one task per peer that connects, exchanges, backs off, again.

One stream joins two hosts and carries the beats of both, a beat and its reply
per period, so that a pair costs one exchange and not two. The host with the lower
name opens the stream; the other one waits a period before it opens one itself,
and drops its own once the peer's has come.
"""

import asyncio
import logging
import random
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Protocol

import msgspec

from monsoongap.coordination.membership_messages import Heartbeat
from monsoongap.coordination.parts import HostIdentity
from monsoongap.coordination.ports import PeerPort
from monsoongap.errors import PeerUnreachable
from monsoongap.protocol.peer import decode, encode
from monsoongap.settings import PeersSection
from monsoongap.timers import TimerService

log = logging.getLogger(__name__)

BACKOFF_MAX_S = 2.0


class BeatStream(Protocol):
    """One end of a heartbeat stream. Raises `PeerUnreachable` once it broke."""

    async def send(self, body: bytes) -> None:
        """Send one beat."""
        ...

    async def receive(self) -> bytes:
        """Wait for the next beat."""
        ...

    def close(self) -> None:
        """End the stream."""
        ...


class PeerLink(PeerPort, Protocol):
    """Calls to peers, and heartbeat streams with them."""

    def on_stream(self, accept: Callable[[BeatStream], Awaitable[None]]) -> None:
        """Serve heartbeat streams of peers with `accept`."""
        ...

    async def open_stream(self, host: str) -> BeatStream:
        """Open a heartbeat stream to `host`; raises `PeerUnreachable`."""
        ...


@dataclass(frozen=True, slots=True)
class Pace:
    """Time between beats with a peer, and how long one may be late, in seconds."""

    period_s: float
    patience_s: float


Compose = Callable[[str], Heartbeat]
Learn = Callable[[Heartbeat], bool]
PaceOf = Callable[[str], Pace]


class Heartbeats:
    """Keeps a heartbeat stream with each followed peer and serves theirs.

    `compose(host)` returns this host's heartbeat for a peer and `pace_of(host)` how
    often it is due. `learn(beat)` is called for each beat that arrives and returns
    False to refuse it, which ends the stream.
    """

    def __init__(
        self,
        cfg: PeersSection,
        identity: HostIdentity,
        link: PeerLink,
        compose: Compose,
        learn: Learn,
        pace_of: PaceOf,
        timers: TimerService,
        rng: random.Random,
    ) -> None:
        self._cfg = cfg
        self._name = identity.name
        self._link = link
        self._compose = compose
        self._learn = learn
        self._pace_of = pace_of
        self._phase_s = rng.uniform(0, cfg.heartbeat_s)
        self._timers = timers
        self._rng = rng
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._served: Counter[str] = Counter()
        link.on_stream(self._accept)

    @property
    def followed(self) -> frozenset[str]:
        """The peers that this host keeps a task for."""
        return frozenset(self._tasks)

    def follow(self, hosts: frozenset[str]) -> None:
        """Start a task for each new host and stop those of the others."""
        for host in self.followed - hosts:
            self._tasks.pop(host).cancel()
        for host in sorted(hosts - self.followed):
            self._tasks[host] = asyncio.create_task(
                self._run(host), name=f"heartbeats:{host}"
            )

    def stop(self) -> None:
        """Stop every task."""
        self.follow(frozenset())

    async def _run(self, host: str) -> None:
        """Keep exchanging heartbeats with one peer."""
        if self._name > host:
            await self._timers.sleep(self._cfg.heartbeat_s)
        backoff_s = self._cfg.heartbeat_s
        while True:
            if not self._yields_to(host):
                try:
                    await self._exchange(host)
                    backoff_s = self._cfg.heartbeat_s
                except PeerUnreachable as exc:
                    # Only the first failure in a row is worth an operator's time.
                    is_first = backoff_s == self._cfg.heartbeat_s
                    level = logging.WARNING if is_first else logging.DEBUG
                    extra = {"peer": host, "reason": str(exc)}
                    log.log(level, "heartbeat stream lost", extra=extra)
                    backoff_s = min(2 * backoff_s, BACKOFF_MAX_S)
                except Exception:
                    log.exception("heartbeat failed", extra={"peer": host})
                    backoff_s = BACKOFF_MAX_S
            await self._timers.sleep(backoff_s * self._rng.uniform(0.5, 1.0))

    def _until_next_beat(self, host: str) -> float:
        """Return the time to the common beat of all streams, in seconds.

        Beats that leave together wake the process once instead of one by one. The
        phase differs from host to host.
        """
        period_s = self._pace_of(host).period_s
        return period_s - (self._timers.now() + self._phase_s) % period_s

    @asynccontextmanager
    async def _bounded(self, host: str) -> AsyncIterator[None]:
        """Bound a step in time; a step that takes longer is `PeerUnreachable`."""
        try:
            async with asyncio.timeout(self._pace_of(host).patience_s):
                yield
        except TimeoutError as exc:
            raise PeerUnreachable(f"{host}: no heartbeat in time") from exc

    def _yields_to(self, host: str) -> bool:
        """Tell whether the peer's own stream makes one from here needless."""
        return self._name > host and self._served[host] > 0

    async def _exchange(self, host: str) -> None:
        """Open a stream and exchange beats until it breaks or is not needed."""
        async with self._bounded(host):
            stream = await self._link.open_stream(host)
        talk = _Talk(stream)
        try:
            while not self._yields_to(host):
                async with self._bounded(host):
                    await talk.tell(self._compose(host))
                    beat = await talk.hear()
                self._take(beat, host)
                await self._timers.sleep(self._until_next_beat(host))
        finally:
            stream.close()

    async def _accept(self, stream: BeatStream) -> None:
        """Serve a peer's stream: reply to each of its beats with one."""
        talk = _Talk(stream)
        async with self._bounded(""):
            beat = await talk.hear()
        host = beat.sender
        self._served[host] += 1
        try:
            while True:
                self._take(beat, host)
                async with self._bounded(host):
                    await talk.tell(self._compose(host))
                    beat = await talk.hear()
        finally:
            self._served[host] -= 1
            self._served += Counter()  # drops the zeros

    def _take(self, beat: Heartbeat, host: str) -> None:
        if not self._learn(beat):
            raise PeerUnreachable(f"{host}: beat of an older boot")
        if beat.sender != host:
            raise PeerUnreachable(f"{host}: {beat.sender} answers at its address")


class _Talk:
    """Codes the beats of one end of a stream; an unchanged one is empty."""

    def __init__(self, stream: BeatStream) -> None:
        self._stream = stream
        self._told: Heartbeat | None = None
        self._heard: Heartbeat | None = None

    async def tell(self, beat: Heartbeat) -> None:
        """Send a beat."""
        body = b"" if beat == self._told else encode(beat)
        await self._stream.send(body)
        self._told = beat

    async def hear(self) -> Heartbeat:
        """Wait for the peer's next beat."""
        body = await self._stream.receive()
        if body:
            try:
                self._heard = decode(body, Heartbeat)
            except msgspec.MsgspecError as exc:
                raise PeerUnreachable(f"malformed heartbeat: {exc}") from exc
        if self._heard is None:
            raise PeerUnreachable("stream does not begin with a whole heartbeat")
        return self._heard
