"""Tests of refusals on real sockets: what was handed on is answered, others get in."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import pytest

from monsoongap.settings import LimitsSection
from monsoongap.timers import TimerService
from monsoongap.transport.http_server import HttpServer, ServerRequest
from monsoongap.transport.receive_budget import Cause, Source
from monsoongap.transport.receive_guard import SWEEP_S, ReceiveGuard
from monsoongap.transport.request_receiver import RequestLimits
from monsoongap.util.addresses import split_address
from tests.platform.site import free_ports

LIMITS = RequestLimits(1024, 10_000, head_s=3.0, idle_s=15.0, min_bytes_per_s=1000)
HEAD = b"POST /a HTTP/1.1\r\n"
BODY_HEAD = HEAD + b"Content-Length: 9000\r\n\r\n"
GET = b"GET /a HTTP/1.1\r\n\r\n"


@dataclass(slots=True)
class Bench:
    """Two listeners of one guard, whose clock the test advances."""

    guard: ReceiveGuard
    addresses: dict[Source, str] = field(default_factory=dict)
    held: list[ServerRequest] = field(default_factory=list)
    holds: bool = False
    now_s: float = 0.0
    writers: list[asyncio.StreamWriter] = field(default_factory=list)

    def handle(self, req: ServerRequest) -> None:
        if self.holds:
            self.held.append(req)
        else:
            req.reply(200, b"done")

    async def connect(
        self, sent: bytes = b"", source: Source = Source.CALLERS
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        ip, port = split_address(self.addresses[source])
        reader, writer = await asyncio.open_connection(ip, port)
        self.writers.append(writer)
        writer.write(sent)
        await asyncio.sleep(0.02)
        return reader, writer

    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / SWEEP_S)):
            self.now_s += SWEEP_S
            self.guard.sweep()


def run(
    test: Callable[[Bench], Awaitable[None]], cfg: LimitsSection | None = None
) -> None:
    async def main() -> None:
        bench = Bench(ReceiveGuard(cfg))
        timers = TimerService(lambda: bench.now_s)
        bench.guard.start(timers)
        servers = []
        for source, port in zip(
            (Source.CALLERS, Source.HOSTS), free_ports(2), strict=True
        ):
            bench.addresses[source] = f"127.0.0.1:{port}"
            server = HttpServer(bench.handle, bench.guard, source, lambda: LIMITS)
            await server.listen(bench.addresses[source])
            servers.append(server)
        async with asyncio.timeout(20):
            await test(bench)
        for writer in bench.writers:
            writer.transport.abort()
        await asyncio.sleep(0.02)
        assert bench.guard.budget.used_bytes == 0
        timers.close()
        for server in servers:
            server.stop_listening()

    asyncio.run(main())


async def status_of(reader: asyncio.StreamReader) -> int:
    head = await reader.readuntil(b"\r\n\r\n")
    if b"Content-Length: 4" in head:
        await reader.readexactly(4)
    else:
        assert b"Connection: close" in head and await reader.read() == b""
    return int(head.split()[1])


# A client over a limit got no answer, and was read on.
@pytest.mark.parametrize(
    ("sent", "status", "cause"),
    [
        (HEAD + b"X: " + b"v" * 30_000, 431, Cause.HEAD_SIZE),
        (b"\r\n" * 20_000, 431, Cause.EMPTY_LINES),
        (HEAD + b"Content-Length: 10001\r\n\r\n", 413, Cause.BODY_SIZE),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n1;" + b"e" * 40_000, 413, None),
        (b"no http\r\n\r\n", 400, Cause.MALFORMED),
    ],
)
def test_a_client_over_a_limit_is_told(
    sent: bytes, status: int, cause: Cause | None
) -> None:
    async def test(bench: Bench) -> None:
        reader, _ = await bench.connect(sent)
        assert await status_of(reader) == status
        assert bench.guard.counts[(cause or Cause.BODY_OVERHEAD).value] == 1
        reader, _ = await bench.connect(GET)
        assert await status_of(reader) == 200

    run(test)


# A job that was handed on got no answer, because other data of its connection was
# refused; and what waits behind it had no bound.
@pytest.mark.parametrize("after", [HEAD + b"X: " + b"v" * 300_000, b"\0bad\r\n\r\n"])
def test_a_request_that_was_handed_on_is_answered(after: bytes) -> None:
    async def test(bench: Bench) -> None:
        bench.holds = True
        reader, _ = await bench.connect(GET + after)
        await asyncio.sleep(0.1)
        (req,) = bench.held
        assert req.is_open and bench.guard.budget.used_bytes < 350_000
        req.reply(200, b"done")
        assert await status_of(reader) == 200
        assert await status_of(reader) in (400, 431)

    run(test)


# The answer to a request that offers an upgrade was lost.
def test_a_request_to_upgrade_is_answered_and_ends_the_connection() -> None:
    async def test(bench: Bench) -> None:
        reader, _ = await bench.connect(
            b"GET /a HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n"
        )
        assert await status_of(reader) == 200
        assert await reader.read() == b""

    run(test)


def test_slow_clients_are_served_and_stopped_ones_refused() -> None:
    async def test(bench: Bench) -> None:
        slow_reader, slow = await bench.connect(BODY_HEAD + b"x" * 4500)
        stopped, _ = await bench.connect(BODY_HEAD + b"x")
        half, _ = await bench.connect(HEAD)
        idle, _ = await bench.connect(b"\r\n")
        bench.advance(3.0)
        slow.write(b"x" * 4000)
        await asyncio.sleep(0.02)
        bench.advance(1.0)
        assert await status_of(half) == 408
        bench.advance(12.0)
        assert await status_of(stopped) == 408
        assert await idle.read() == b""
        slow.write(b"x" * 500)
        assert await status_of(slow_reader) == 200

    run(test)


# Unfinished bodies took the memory of callers who send whole requests.
def test_unfinished_bodies_give_way_to_whole_requests() -> None:
    async def test(bench: Bench) -> None:
        bench.advance(1.0)
        readers = [(await bench.connect(BODY_HEAD + b"x" * 8990))[0] for _ in range(80)]
        bench.advance(2.0)
        for _ in range(60):
            reader, writer = await bench.connect(BODY_HEAD + b"x" * 4500)
            writer.write(b"x" * 4500)
            assert await status_of(reader) == 200
            assert bench.guard.budget.used_bytes <= bench.guard.budget.limit_bytes
        assert bench.guard.counts["memory"] > 0
        # Without a response: 503 would promise that nothing of the job has run.
        answered = 0
        for reader in readers:
            with contextlib.suppress(TimeoutError, ConnectionError):
                async with asyncio.timeout(0.01):
                    answered += bool(await reader.read())
        assert answered == 0

    run(test, LimitsSection(memory_mb=64, receive_share=0.01))


# Callers took all descriptors, so that other hosts could not call.
def test_connections_leave_room_for_others() -> None:
    async def test(bench: Bench) -> None:
        bench.holds = True
        limit = bench.guard.connection_limit(Source.CALLERS)
        busy, _ = await bench.connect(GET)
        for _ in range(limit * 2):
            await bench.connect()
        bench.holds = False
        for source in (Source.CALLERS, Source.HOSTS):
            reader, _ = await bench.connect(GET, source)
            assert await status_of(reader) == 200
        bench.held[0].reply(200, b"done")
        assert await status_of(busy) == 200
        assert bench.guard.counts["connections"] >= limit

    run(test, LimitsSection(max_fds=64))
