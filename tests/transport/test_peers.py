"""Tests of gRPC between peers over loopback sockets."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import pytest
import trustme

from monsoongap.coordination.heartbeats import BeatStream
from monsoongap.coordination.parts import HostIdentity
from monsoongap.errors import DispatchError, ErrorKind, Outcome, PeerUnreachable
from monsoongap.protocol.peer import PeerHandlers, PeerMethod
from monsoongap.settings import EntrySettings, HostSection, ListenSection, TlsSection
from monsoongap.timers import TimerService
from monsoongap.transport import peers as transport
from monsoongap.transport.peers import GrpcPeers
from monsoongap.transport.tls import TlsFiles


@dataclass(frozen=True, slots=True)
class Number:
    value: int
    padding: bytes = b""


ADD = PeerMethod("add", Number, Number)
DOUBTFUL = DispatchError(ErrorKind.OVERLOADED, "try later", 250, Outcome.UNKNOWN)


class Pair:
    """Two hosts, `a` calling `b`, and what b's handler has done."""

    def __init__(self) -> None:
        self.addresses: dict[str, str] = {}
        self.ended: list[int] = []
        self.a = self.host("a", 0)
        self.b = self.host("b", 0)

    def host(self, name: str, port: int, tls: TlsFiles | None = None) -> GrpcPeers:
        """Make a host that listens on a port of its own."""
        handlers = PeerHandlers()
        handlers.register(ADD, self.handle)
        listen = ListenSection(peer=f"127.0.0.1:{port}")
        cfg = EntrySettings(HostSection(name, "ibk"), listen=listen)
        identity = HostIdentity(name, "ibk", 1)
        return GrpcPeers(cfg, identity, handlers, self.addresses.get, tls)

    async def handle(self, number: Number) -> Number:
        """Behave as the number asks."""
        match number.value:
            case -1:
                raise DOUBTFUL
            case -2:
                raise RuntimeError("fault in a handler")
            case -3:
                await asyncio.sleep(0.3)
            case -5:
                await asyncio.sleep(60)
            case -4:
                return Number(0, bytes(transport.MAX_MESSAGE_BYTES))
        self.ended.append(number.value)
        return Number(number.value + 1)

    async def ask(self, value: int, timeout_s: float = 2.0) -> Number:
        """Call b from a."""
        return await self.a.call("b", ADD, Number(value), timeout_s)


@asynccontextmanager
async def pair() -> AsyncIterator[Pair]:
    hosts = Pair()
    hosts.addresses["b"] = f"127.0.0.1:{await hosts.b.start()}"
    yield hosts
    await hosts.a.stop()
    await hosts.b.stop()


def test_calls_carry_replies_and_every_kind_of_failure() -> None:
    async def main() -> None:
        async with pair() as hosts:
            assert await hosts.ask(41) == Number(42)
            with pytest.raises(DispatchError) as caught:
                await hosts.ask(-1)
            assert vars(caught.value) == vars(DOUBTFUL)
            with pytest.raises(DispatchError) as caught:
                await hosts.ask(-2)
            assert caught.value.kind is ErrorKind.INTERNAL
            with pytest.raises(DispatchError) as caught:
                await hosts.ask(-4)
            assert caught.value.kind is ErrorKind.TOO_LARGE
            assert caught.value.outcome is Outcome.UNKNOWN, "the handler has run"
            with pytest.raises(DispatchError) as caught:
                large = Number(1, bytes(transport.MAX_MESSAGE_BYTES))
                await hosts.a.call("b", ADD, large, 2.0)
            assert caught.value.outcome is Outcome.NOT_RUN
            nearly = Number(1, bytes(transport.MAX_MESSAGE_BYTES - 100))
            assert await hosts.a.call("b", ADD, nearly, 5.0) == Number(2)
            unknown = PeerMethod("unknown", Number, Number)
            with pytest.raises(DispatchError) as caught:
                await hosts.a.call("b", unknown, Number(1), 2.0)
            assert caught.value.kind is ErrorKind.BAD_REQUEST
            with pytest.raises(PeerUnreachable):
                await hosts.a.call("nobody", ADD, Number(1), 2.0)

    asyncio.run(main())


def test_a_handler_runs_to_its_end_when_the_caller_has_given_up() -> None:
    async def main() -> None:
        async with pair() as hosts:
            with pytest.raises(PeerUnreachable):
                await hosts.ask(-3, timeout_s=0.1)
            assert hosts.ended == []
            await asyncio.sleep(0.5)
            assert hosts.ended == [-3]

    asyncio.run(main())


def test_a_peer_that_goes_is_unreachable_and_reached_again_when_back() -> None:
    async def main() -> None:
        async with pair() as hosts:
            await hosts.ask(1)
            slow = asyncio.create_task(hosts.ask(-3))
            await asyncio.sleep(0.1)
            await hosts.b.stop(grace_s=1.0)
            assert await slow == Number(-2), "a graceful stop lets calls end"
            with pytest.raises(PeerUnreachable):
                await hosts.ask(1)
            port = int(hosts.addresses["b"].split(":")[1])
            hosts.b = hosts.host("b", port)
            await hosts.b.start()
            await until_answered(hosts, 3.0)
            with pytest.raises(OSError):
                await hosts.host("c", port).start()
            hosts.b, second = hosts.host("b", 0), hosts.b
            hosts.addresses["b"] = f"127.0.0.1:{await hosts.b.start()}"
            await second.stop()
            assert await hosts.ask(1) == Number(2), "a new address is taken up"
            hosts.addresses["c"] = hosts.addresses.pop("b")
            assert await hosts.a.call("c", ADD, Number(1), 2.0) == Number(2)
            assert list(hosts.a._links) == ["c"], "channels of hosts that went close"

    asyncio.run(main())


class Relay:
    """Forwards TCP and can fall silent on the connections that are open."""

    def __init__(self, target: str) -> None:
        self._host, _, port = target.partition(":")
        self._port = int(port)
        self._open: set[asyncio.Event] = set()
        self.accepted = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection both ways until it falls silent."""
        self.accepted += 1
        silent = asyncio.Event()
        self._open.add(silent)
        far_reader, far_writer = await asyncio.open_connection(self._host, self._port)
        pumps = (_pump(reader, far_writer, silent), _pump(far_reader, writer, silent))
        await asyncio.gather(*pumps, return_exceptions=True)

    def silence(self) -> None:
        """Stop forwarding on every open connection, for good."""
        for silent in self._open:
            silent.set()


async def _pump(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, silent: asyncio.Event
) -> None:
    while data := await reader.read(65536):
        if not silent.is_set():
            writer.write(data)
    writer.close()


def test_a_connection_that_falls_silent_is_replaced() -> None:
    async def main() -> None:
        async with pair() as hosts:
            relay = Relay(hosts.addresses["b"])
            server = await asyncio.start_server(relay.serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            hosts.addresses["b"] = f"127.0.0.1:{port}"
            await hosts.ask(1)
            long = asyncio.create_task(hosts.ask(-5, timeout_s=60.0))
            await asyncio.sleep(0.1)
            relay.silence()
            with pytest.raises(PeerUnreachable):
                await hosts.ask(1, timeout_s=0.2)
            await until_answered(hosts, 1.0)
            assert relay.accepted == 2
            # Two seconds until the ping, two for its reply; twice that is the bound.
            with pytest.raises(PeerUnreachable):
                await asyncio.wait_for(long, 8.0)
            server.close()

    asyncio.run(main())


async def until_answered(hosts: Pair, limit_s: float) -> None:
    """Call until b answers; fails when it does not in time."""
    async with asyncio.timeout(limit_s):
        while True:
            try:
                await hosts.ask(1, timeout_s=0.2)
                return
            except PeerUnreachable:
                await asyncio.sleep(0.05)


def test_heartbeat_streams_carry_beats_both_ways_and_end_with_the_peer() -> None:
    async def main() -> None:
        async with pair() as hosts:
            ended = asyncio.Event()

            async def echo(stream: BeatStream) -> None:
                try:
                    while True:
                        await stream.send(b"re:" + await stream.receive())
                finally:
                    ended.set()

            hosts.b.on_stream(echo)
            first = await hosts.a.open_stream("b")
            for body in (b"1", b"", b"2"):
                await first.send(body)
                assert await first.receive() == b"re:" + body
            first.close()
            await asyncio.wait_for(ended.wait(), 2.0)
            second = await hosts.a.open_stream("b")
            await second.send(b"3")
            await second.receive()
            await asyncio.wait_for(hosts.b.stop(), 2.0)
            with pytest.raises(PeerUnreachable):
                await asyncio.wait_for(second.receive(), 2.0)
            with pytest.raises(PeerUnreachable):
                await second.send(b"4")

    asyncio.run(main())


def _tls(directory: Path, ca: trustme.CA, name: str) -> TlsFiles:
    """Write a certificate for the host `name` and read it."""
    directory.mkdir(exist_ok=True)
    issued = ca.issue_cert(name)
    paths = [directory / f"{name}.{kind}" for kind in ("pem", "key", "ca")]
    issued.cert_chain_pems[0].write_to_path(paths[0])
    issued.private_key_pem.write_to_path(paths[1])
    ca.cert_pem.write_to_path(paths[2])
    return TlsFiles(TlsSection(*map(str, paths)), TimerService())


def test_peers_trust_only_the_named_host_and_the_same_authority(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with pair() as hosts:
            ca, other_ca = trustme.CA(), trustme.CA()
            served = hosts.host("b", 0, _tls(tmp_path, ca, "b"))
            hosts.addresses["b"] = f"127.0.0.1:{await served.start()}"
            hosts.addresses["c"] = hosts.addresses["b"]
            files = _tls(tmp_path, ca, "a")
            hosts.a = hosts.host("a", 0, files)
            assert await hosts.ask(1) == Number(2)
            slow = asyncio.create_task(hosts.ask(-3))
            await asyncio.sleep(0.1)
            _tls(tmp_path, ca, "a")
            files.reload()
            assert await hosts.ask(1) == Number(2), "on a new channel"
            assert await slow == Number(-2), "the old channel ends its calls"
            strangers = (
                hosts.host("a", 0, _tls(tmp_path / "other", other_ca, "a")),
                hosts.host("a", 0),
            )
            for stranger in strangers:
                with pytest.raises(PeerUnreachable):
                    await stranger.call("b", ADD, Number(1), 2.0)
                await stranger.stop()
            with pytest.raises(PeerUnreachable):
                await hosts.a.call("c", ADD, Number(1), 2.0)
            await served.stop()

    asyncio.run(main())
