"""Proxies between hosts, which can cut data centres off and hide that a host ended.

Each carries what the hosts of one data centre send to one address, of another data
centre or of their own: the connections, or the datagrams. A host first names itself on
a new connection. The proxy tells it that the address is reached, so that a connection
to an address without a process is refused, and one over a cut link, or to a host
without power, is not established.
"""

import asyncio
import contextlib
import math
import socket
import struct
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum, auto
from typing import Any

from monsoongap.transport.http_conn import (
    KEEPALIVE_IDLE_S,
    KEEPALIVE_INTERVAL_S,
    UNACKNOWLEDGED_TIMEOUT_MS,
)

CONNECTED = b"+"
REFUSED = b"-"
CHUNK_BYTES = 65_536
UNACKNOWLEDGED_S = UNACKNOWLEDGED_TIMEOUT_MS / 1000
LINGER_DISCARD = struct.pack("ii", 1, 0)


class CutKind(StrEnum):
    """What a cut does to connections; datagrams are lost in all cases.

    `DROP` holds what is sent until the cut ends, a close too; a reset is lost, and new
    connections are not established. `TIMEOUT` also closes connections at the host that
    opened them, when its TCP would have given up. `REFUSE` and `RESET` reset open
    connections, and refuse or reset new ones.
    """

    DROP = auto()
    TIMEOUT = auto()
    REFUSE = auto()
    RESET = auto()


@dataclass(frozen=True, slots=True)
class Cut:
    """A cut of the links of a data centre; `sends` and `receives` tell which way."""

    dc: str
    kind: CutKind
    sends: bool = True
    receives: bool = True


@dataclass(slots=True, eq=False)
class _Connection:
    """A connection of a host through a proxy, and its continuation to the target."""

    host: str
    client: asyncio.StreamWriter
    target: asyncio.StreamWriter
    last_at: float
    # One of its hosts lost power: the other one is never told that it has ended.
    is_dead: bool = False

    def reset(self) -> None:
        for writer in (self.client, self.target):
            reset(writer)

    def time_out_at(self, now: float) -> float:
        """Return when TCP at the client gives the connection up if all is lost."""
        probes = math.ceil(max(now - self.last_at, 0.001) / KEEPALIVE_IDLE_S)
        return self.last_at + probes * KEEPALIVE_IDLE_S + KEEPALIVE_INTERVAL_S


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, so that the peer does not take it for closed in order."""
    if not writer.transport.is_closing():
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_DISCARD)
        writer.transport.abort()


@dataclass(slots=True, eq=False)
class TcpLink:
    """Carries connections to `target`; addresses are pairs of IP and port."""

    source: str
    target_dc: str
    address: tuple[str, int]
    target: tuple[str, int]
    _cut: CutKind | None = None
    # Set while bytes pass: those of the source, and those to it.
    _sends: asyncio.Event = field(default_factory=asyncio.Event)
    _receives: asyncio.Event = field(default_factory=asyncio.Event)
    _conns: set[_Connection] = field(default_factory=set)
    # Set while the host at the target has power.
    _has_power: asyncio.Event = field(default_factory=asyncio.Event)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _server: asyncio.Server | None = None

    def __post_init__(self) -> None:
        self._has_power.set()
        self.end_cut()

    async def listen(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._accept, *self.address)

    def begin_cut(self, kind: CutKind, sends: bool, receives: bool) -> None:
        """Cut what the source sends, and what it receives."""
        self._cut = kind
        if kind in (CutKind.REFUSE, CutKind.RESET):
            for conn in self._conns:
                conn.reset()
            return
        if sends:
            self._sends.clear()
        if receives:
            self._receives.clear()
        if kind is CutKind.TIMEOUT:
            loop = asyncio.get_running_loop()
            for conn in self._conns:
                loop.call_at(conn.time_out_at(loop.time()), self._time_out, conn)

    def end_cut(self) -> None:
        """Pass everything on again."""
        self._cut = None
        self._sends.set()
        self._receives.set()

    def power_off(self, host: str, ip: str) -> None:
        """Hold new connections to a host, and leave the open ones of it silent."""
        is_target = ip == self.target[0]
        if is_target:
            self._has_power.clear()
        for conn in self._conns:
            conn.is_dead = conn.is_dead or is_target or conn.host == host

    def power_on(self, ip: str) -> None:
        """Establish connections to a host again."""
        if ip == self.target[0]:
            self._has_power.set()

    def close(self) -> None:
        """Stop listening and close all connections."""
        for conn in self._conns:
            conn.reset()
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()

    def _time_out(self, conn: _Connection) -> None:
        if self._cut is CutKind.TIMEOUT:
            conn.client.transport.abort()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(self._carry(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Connect to the target, and pass on what both sides send."""
        if self._cut is CutKind.RESET:
            reset(writer)
            return
        host = (await reader.readline()).decode().strip()
        await self._sends.wait()
        await self._receives.wait()
        await self._has_power.wait()
        try:
            if self._cut is not None:
                raise ConnectionRefusedError
            target_reader, target = await asyncio.open_connection(*self.target)
        except OSError:
            # No process listens there.
            writer.write(REFUSED)
            writer.close()
            return
        conn = _Connection(host, writer, target, asyncio.get_running_loop().time())
        self._conns.add(conn)
        writer.write(CONNECTED)
        try:
            await asyncio.gather(
                self._pass_on(conn, reader, writer, target, self._sends),
                self._pass_on(conn, target_reader, target, writer, self._receives),
            )
            if conn.is_dead:
                # Open, but silent, until the client closes it.
                with contextlib.suppress(OSError):
                    await writer.wait_closed()
        finally:
            self._conns.discard(conn)

    async def _pass_on(
        self,
        conn: _Connection,
        reader: asyncio.StreamReader,
        sender: asyncio.StreamWriter,
        receiver: asyncio.StreamWriter,
        passes: asyncio.Event,
    ) -> None:
        """Pass on what one side sends until it closes the connection."""
        while True:
            was_reset = False
            try:
                data = await reader.read(CHUNK_BYTES)
            except OSError:
                data, was_reset = b"", True
            if conn.is_dead:
                if data and not self._has_power.is_set():
                    continue
                if sender is conn.client:
                    # Closed there, or answered with a reset as the host is back.
                    reset(conn.client)
                return
            if was_reset and not passes.is_set():
                # The reset is lost; the other side notices when it sends.
                return
            if not await self._wait_to_pass(sender, passes):
                return
            if was_reset or receiver.transport.is_closing():
                reset(receiver)
                reset(sender)
                return
            if not data:
                receiver.close()
                return
            conn.last_at = asyncio.get_running_loop().time()
            receiver.write(data)
            with contextlib.suppress(OSError):
                # The next round finds that the connection is closed.
                await receiver.drain()

    async def _wait_to_pass(
        self, sender: asyncio.StreamWriter, passes: asyncio.Event
    ) -> bool:
        """Wait for the end of the cut; return False if the sender's TCP gives up."""
        if self._cut is not CutKind.TIMEOUT or passes is not self._sends:
            await passes.wait()
            return True
        try:
            async with asyncio.timeout(UNACKNOWLEDGED_S):
                await passes.wait()
        except TimeoutError:
            sender.transport.abort()
            return False
        return True


@dataclass(slots=True, eq=False)
class UdpLink(asyncio.DatagramProtocol):
    """Carries datagrams to `target`; addresses are pairs of IP and port."""

    source: str
    target_dc: str
    address: tuple[str, int]
    target: tuple[str, int]
    _passes: bool = True
    _transport: Any = None

    async def listen(self) -> None:
        """Start to listen."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.address
        )

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass a datagram on, unless the link is cut."""
        if self._passes:
            self._transport.sendto(data, self.target)

    def begin_cut(self, kind: CutKind, sends: bool, receives: bool) -> None:
        """Lose what the source sends, if it is cut."""
        self._passes = not sends

    def end_cut(self) -> None:
        """Pass everything on again."""
        self._passes = True

    def power_off(self, host: str, ip: str) -> None:
        """Do nothing: a host without power neither sends nor receives datagrams."""

    def power_on(self, ip: str) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()


Link = TcpLink | UdpLink


@dataclass(slots=True)
class Links:
    """All proxies between the hosts of a deployment."""

    links: list[Link] = field(default_factory=list)

    def begin_cut(self, cut: Cut) -> None:
        """Cut a data centre off from all others."""
        for link in self._links_of(cut.dc):
            is_source = link.source == cut.dc
            ways = (cut.sends, cut.receives)
            link.begin_cut(cut.kind, *(ways if is_source else reversed(ways)))

    def end_cut(self, dc: str) -> None:
        """End the cut of a data centre."""
        for link in self._links_of(dc):
            link.end_cut()

    def power_off(self, host: str, ip: str) -> None:
        """Let what a host has open go silent; it is about to be killed."""
        for link in self.links:
            link.power_off(host, ip)

    def power_on(self, ip: str) -> None:
        """Establish connections to a host again."""
        for link in self.links:
            link.power_on(ip)

    def close(self) -> None:
        """Close all proxies."""
        for link in self.links:
            link.close()

    def _links_of(self, dc: str) -> Iterator[Link]:
        return (
            link
            for link in self.links
            if dc in (link.source, link.target_dc) and link.source != link.target_dc
        )
