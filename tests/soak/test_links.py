"""Tests of the proxies that cut data centres off from each other in the soak."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import pytest

from soak.linked_host import new_loop
from soak.links import Cut, CutKind, Links, TcpLink, UdpLink
from tests.platform.site import free_ports

IP = "127.0.0.1"
SHORT_S = 0.15


@dataclass(slots=True, eq=False)
class Peer(asyncio.Protocol):
    """One end of a connection, or a socket for datagrams: what it has received."""

    received: bytes = b""
    is_lost: bool = False
    error: Exception | None = None
    transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.received += data

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.received += data

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_lost, self.error = True, exc


@dataclass(slots=True, eq=False)
class Network:
    """A server of data centre b at `target`, and the links of a to it.

    The event loop uses the links for `address`.
    """

    links: Links
    address: tuple[str, int]
    target: tuple[str, int]
    accepted: list[Peer] = field(default_factory=list)

    def accept(self) -> Peer:
        """Return the end of a new connection at the server."""
        self.accepted.append(Peer())
        return self.accepted[-1]

    async def connect(self) -> Peer:
        """Connect as a host of data centre a does."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(SHORT_S):
            _, peer = await loop.create_connection(Peer, *self.address)
        await until(lambda: bool(self.accepted))
        return peer


async def until(condition: Callable[[], bool]) -> None:
    for _ in range(400):
        if condition():
            return
        await asyncio.sleep(0.005)
    raise TimeoutError


def run_test(
    test: Callable[[Network], Awaitable[None]], has_server: bool = True
) -> None:
    address, proxy, target = ((IP, port) for port in free_ports(3))

    async def main() -> None:
        net = Network(Links(), address, target)
        net.links.links = [
            TcpLink("a", "b", proxy, target),
            UdpLink("a", "b", proxy, target),
        ]
        for link in net.links.links:
            await link.listen()
        loop = asyncio.get_running_loop()
        if has_server:
            server = await loop.create_server(net.accept, *target)
        try:
            await test(net)
        finally:
            if has_server:
                server.close()
            net.links.close()
            await asyncio.sleep(0)

    links = {f"{IP}:{address[1]}": f"{IP}:{proxy[1]}"}
    with asyncio.Runner(loop_factory=lambda: new_loop(links, "a0")) as runner:
        runner.run(main())


def test_what_is_sent_into_a_cut_arrives_after_it_and_so_does_a_close() -> None:
    async def test(net: Network) -> None:
        client = await net.connect()
        net.links.begin_cut(Cut("a", CutKind.DROP))
        client.transport.write(b"call")
        net.accepted[0].transport.write(b"reply")
        await asyncio.sleep(SHORT_S)
        assert (net.accepted[0].received, client.received) == (b"", b"")
        client.transport.close()
        await asyncio.sleep(SHORT_S)
        assert not net.accepted[0].is_lost
        net.links.end_cut("a")
        await until(lambda: net.accepted[0].is_lost)
        assert net.accepted[0].received == b"call"

    run_test(test)


def test_a_reset_in_a_cut_is_noticed_only_by_sending() -> None:
    async def test(net: Network) -> None:
        client = await net.connect()
        net.links.begin_cut(Cut("b", CutKind.DROP))
        sock = client.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        client.transport.abort()
        await asyncio.sleep(SHORT_S)
        net.links.end_cut("b")
        await asyncio.sleep(SHORT_S)
        assert not net.accepted[0].is_lost
        net.accepted[0].transport.write(b"reply")
        await until(lambda: net.accepted[0].is_lost)

    run_test(test)


@pytest.mark.parametrize(
    ("sends", "expected"), [(True, (b"", b"reply")), (False, (b"call", b""))]
)
def test_a_cut_of_one_way_passes_the_other_on(
    sends: bool, expected: tuple[bytes, bytes]
) -> None:
    async def test(net: Network) -> None:
        client = await net.connect()
        net.links.begin_cut(Cut("a", CutKind.DROP, sends, not sends))
        client.transport.write(b"call")
        net.accepted[0].transport.write(b"reply")
        await asyncio.sleep(SHORT_S)
        assert (net.accepted[0].received, client.received) == expected
        with pytest.raises(TimeoutError):
            await net.connect()

    run_test(test)


@pytest.mark.parametrize(
    ("kind", "error"),
    [
        (CutKind.DROP, TimeoutError),
        (CutKind.TIMEOUT, TimeoutError),
        (CutKind.REFUSE, ConnectionRefusedError),
        (CutKind.RESET, ConnectionResetError),
    ],
)
def test_no_connection_is_established_over_a_cut(
    kind: CutKind, error: type[Exception]
) -> None:
    async def test(net: Network) -> None:
        client = await net.connect()
        net.links.begin_cut(Cut("a", kind))
        with pytest.raises(error):
            await net.connect()
        was_reset = kind in (CutKind.REFUSE, CutKind.RESET)
        if was_reset:
            await until(lambda: client.is_lost and net.accepted[0].is_lost)
            assert isinstance(client.error, ConnectionResetError)
        net.links.end_cut("a")
        await net.connect()
        assert client.is_lost is was_reset

    run_test(test)


# TCP drops a connection whose data is not acknowledged for 1.5 s.
def test_a_sender_gives_up_data_that_is_not_acknowledged() -> None:
    async def test(net: Network) -> None:
        client = await net.connect()
        net.links.begin_cut(Cut("a", CutKind.TIMEOUT))
        client.transport.write(b"call")
        await asyncio.sleep(1.2)
        assert not client.is_lost
        await until(lambda: client.is_lost)
        net.links.end_cut("a")
        await asyncio.sleep(SHORT_S)
        assert not net.accepted[0].is_lost

    run_test(test)


def test_a_connection_to_an_address_without_a_process_is_refused() -> None:
    async def test(net: Network) -> None:
        with pytest.raises(ConnectionRefusedError):
            await net.connect()

    run_test(test, has_server=False)


def test_datagrams_are_lost_in_a_cut() -> None:
    async def test(net: Network) -> None:
        loop = asyncio.get_running_loop()
        _, receiver = await loop.create_datagram_endpoint(Peer, local_addr=net.target)
        sender, _ = await loop.create_datagram_endpoint(Peer, local_addr=(IP, 0))
        sender.sendto(b"1", net.address)
        await until(lambda: receiver.received == b"1")
        net.links.begin_cut(Cut("a", CutKind.DROP, sends=False))
        sender.sendto(b"2", net.address)
        await until(lambda: receiver.received == b"12")
        net.links.end_cut("a")
        net.links.begin_cut(Cut("a", CutKind.RESET))
        sender.sendto(b"3", net.address)
        await asyncio.sleep(SHORT_S)
        net.links.end_cut("a")
        sender.sendto(b"4", net.address)
        await until(lambda: receiver.received == b"124")

    run_test(test)


@pytest.mark.parametrize("is_client", [True, False])
def test_a_host_without_power_leaves_its_connections_open(is_client: bool) -> None:
    async def test(net: Network) -> None:
        client = await net.connect()
        ends = [client, net.accepted[0]]
        dead, other = ends if is_client else reversed(ends)
        net.links.power_off("a0" if is_client else "b0", "" if is_client else IP)
        dead.transport.abort()
        await asyncio.sleep(SHORT_S)
        assert not other.is_lost
        if not is_client:
            with pytest.raises(TimeoutError):
                await net.connect()
            net.links.power_on(IP)
            client.transport.write(b"call")
            await until(lambda: client.is_lost)
        await net.connect()

    run_test(test)
