"""A network between entry hosts on virtual time, with faults that a test sets.

Bodies travel through `monsoongap.protocol.peer` so that a message whose types
do not fit fails here as it would over gRPC.
"""

import asyncio
from collections.abc import Awaitable, Callable
from itertools import product

import msgspec

from monsoongap.errors import DispatchError, ErrorKind, PeerUnreachable
from monsoongap.protocol.peer import (
    PeerHandlers,
    PeerMethod,
    ReplyT,
    RequestT,
    decode,
    encode,
)

LOCAL_LATENCY_S = 0.0002
REMOTE_LATENCY_S = 0.0015


class FakeNetwork:
    """Hosts joined by name; latencies and cuts per host or data centre."""

    def __init__(self, latency_s: dict[tuple[str, str], float] | None = None) -> None:
        """Take one-way latencies in seconds per pair of data centres."""
        self._latency_s = latency_s or {}
        self._ports: dict[str, FakePeerPort] = {}
        self._cuts: set[frozenset[str]] = set()
        self._lost: dict[tuple[str, str], int] = {}
        self.calls: list[tuple[str, str, str]] = []

    def join(self, name: str, dc: str, handlers: PeerHandlers) -> "FakePeerPort":
        """Add a host, or put a restarted process in the place of its past."""
        if name in self._ports:
            self.kill(name)
        port = FakePeerPort(self, name, dc, handlers)
        self._ports[name] = port
        return port

    def kill(self, name: str) -> None:
        """Stop a host: it answers nothing and its streams break."""
        port = self._ports.pop(name)
        port.alive = False
        for other in (port, *self._ports.values()):
            other.break_streams()

    def cut(self, one: str, other: str) -> None:
        """Cut two hosts, or two data centres; open streams fall silent."""
        self._cuts.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """Undo a cut."""
        self._cuts.discard(frozenset((one, other)))

    def lose_replies(self, host: str, method: str, times: int = 1) -> None:
        """Lose the next replies of `host` to `method`, after their effect."""
        self._lost[host, method] = self._lost.get((host, method), 0) + times

    def takes_loss(self, host: str, method: str) -> bool:
        """Tell whether this reply is lost, and count it."""
        left = self._lost.get((host, method), 0)
        self._lost[host, method] = max(0, left - 1)
        return left > 0

    def reach(self, caller: "FakePeerPort", host: str) -> "FakePeerPort":
        """Return the running port of `host` or raise `PeerUnreachable`."""
        peer = self._ports.get(host)
        if peer is None or not caller.alive or self.is_cut(caller, peer):
            raise PeerUnreachable(f"{caller.name} cannot reach {host}")
        return peer

    def is_cut(self, one: "FakePeerPort", other: "FakePeerPort") -> bool:
        """Tell whether a cut of hosts or data centres separates two hosts."""
        pairs = product((one.name, one.dc), (other.name, other.dc))
        return any(frozenset(pair) in self._cuts for pair in pairs)

    def latency(self, one: "FakePeerPort", other: "FakePeerPort") -> float:
        """Return the one-way latency between two hosts in seconds."""
        usual = LOCAL_LATENCY_S if one.dc == other.dc else REMOTE_LATENCY_S
        back = self._latency_s.get((other.dc, one.dc), usual)
        return self._latency_s.get((one.dc, other.dc), back)


class FakePeerPort:
    """One host's access to the network: a `PeerPort` with heartbeat streams."""

    def __init__(
        self, network: FakeNetwork, name: str, dc: str, handlers: PeerHandlers
    ) -> None:
        self.name = name
        self.dc = dc
        self.handlers = handlers
        self.alive = True
        self.network = network
        self.streams: set[FakeBeatStream] = set()
        self.accept: Callable[[FakeBeatStream], Awaitable[None]] | None = None
        self._accepting: set[asyncio.Future[None]] = set()

    async def call(
        self,
        host: str,
        method: PeerMethod[RequestT, ReplyT],
        body: RequestT,
        timeout_s: float,
    ) -> ReplyT:
        """Call a handler of `host`; see `PeerPort.call`.

        A reply that comes later than `timeout_s` is `PeerUnreachable`, and its
        handler goes on running, as it would on another host.
        """
        self.network.calls.append((self.name, host, method.name))
        work = asyncio.ensure_future(self._exchange(host, method.name, encode(body)))
        done, _ = await asyncio.wait({work}, timeout=timeout_s)
        if not done:
            work.add_done_callback(lambda fut: fut.cancelled() or fut.exception())
            raise PeerUnreachable(f"{host}: no reply to {method.name}")
        reply: ReplyT = decode(work.result(), method.reply)
        return reply

    async def _exchange(self, host: str, method: str, body: bytes) -> bytes:
        peer = self.network.reach(self, host)
        latency_s = self.network.latency(self, peer)
        await asyncio.sleep(latency_s)
        peer = self.network.reach(self, host)
        outcome = await peer.serve(method, body)
        await asyncio.sleep(latency_s)
        lost = self.network.takes_loss(host, method)
        if lost or not peer.alive or self.network.is_cut(self, peer):
            raise PeerUnreachable(f"{host}: reply to {method} lost")
        if isinstance(outcome, DispatchError):
            raise outcome
        return outcome

    async def serve(self, method: str, body: bytes) -> bytes | DispatchError:
        """Run one handler; an unexpected fault becomes `internal`."""
        try:
            return await self.handlers.dispatch(method, body)
        except DispatchError as exc:
            return exc
        except (TypeError, msgspec.MsgspecError):
            raise
        except Exception as exc:
            return DispatchError(ErrorKind.INTERNAL, f"{method}: {exc!r}")

    def on_stream(self, accept: Callable[["FakeBeatStream"], Awaitable[None]]) -> None:
        """Serve heartbeat streams of peers with `accept`."""
        self.accept = accept

    async def open_stream(self, host: str) -> "FakeBeatStream":
        """Open a heartbeat stream to `host` or raise `PeerUnreachable`."""
        peer = self.network.reach(self, host)
        await asyncio.sleep(2 * self.network.latency(self, peer))
        peer = self.network.reach(self, host)
        if peer.accept is None:
            raise PeerUnreachable(f"{host} serves no streams")
        near, far = FakeBeatStream(self, peer), FakeBeatStream(peer, self)
        near.other, far.other = far, near
        task = asyncio.ensure_future(peer.run_accept(far))
        peer._accepting.add(task)
        task.add_done_callback(peer._accepting.discard)
        return near

    async def run_accept(self, stream: "FakeBeatStream") -> None:
        """Serve one stream until its handler returns."""
        assert self.accept is not None
        try:
            await self.accept(stream)
        except PeerUnreachable:
            pass
        finally:
            stream.close()

    def break_streams(self) -> None:
        """End the streams of which one end is dead."""
        for stream in tuple(self.streams):
            if not stream.both_run():
                stream.close()


class FakeBeatStream:
    """One end of a heartbeat stream."""

    def __init__(self, port: FakePeerPort, peer: FakePeerPort) -> None:
        self._port = port
        self._peer = peer
        self._queue: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._closed = False
        self.other: FakeBeatStream | None = None
        port.streams.add(self)

    def both_run(self) -> bool:
        """Tell whether the processes at both ends run."""
        return self._port.alive and self._peer.alive

    async def send(self, body: bytes) -> None:
        """Send one beat; raises `PeerUnreachable` on a broken stream."""
        if self._closed or self.other is None:
            raise PeerUnreachable(f"{self._peer.name}: stream is closed")
        if self._port.network.is_cut(self._port, self._peer):
            return
        loop = asyncio.get_running_loop()
        latency_s = self._port.network.latency(self._port, self._peer)
        loop.call_later(latency_s, self.other._queue.put_nowait, body)

    async def receive(self) -> bytes:
        """Wait for a beat; raises `PeerUnreachable` when the stream ended."""
        body = await self._queue.get() if not self._closed else None
        if body is None:
            raise PeerUnreachable(f"{self._peer.name}: stream has ended")
        return body

    def close(self) -> None:
        """End both directions."""
        if self._closed:
            return
        self._closed = True
        self._port.streams.discard(self)
        self._queue.put_nowait(None)
        if self.other is not None:
            self.other.close()
