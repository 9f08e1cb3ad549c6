"""Tests of the HTTP server on real sockets."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from monsoongap.transport.http_server import (
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    HttpServer,
    ServerRequest,
)
from tests.platform.site import free_ports

GET = b"GET /a?x=1 HTTP/1.1\r\nHost: Q.example:80\r\n\r\n"


class Handler:
    """Keeps the requests; answers at once unless told to wait."""

    def __init__(self) -> None:
        self.requests: list[ServerRequest] = []
        self.arrived: asyncio.Queue[ServerRequest] = asyncio.Queue()
        self.disconnected = asyncio.Event()
        self.waits = False

    def handle(self, req: ServerRequest) -> None:
        self.requests.append(req)
        self.arrived.put_nowait(req)
        req.on_disconnect = self.disconnected.set
        if not self.waits:
            req.reply(200, req.path.encode() + req.body)


Scene = Callable[
    [Handler, HttpServer, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


def with_server(scene: Scene) -> None:
    async def main() -> None:
        handler = Handler()
        server = HttpServer(handler.handle)
        address = f"127.0.0.1:{free_ports(1)[0]}"
        await server.listen(address)
        ip, _, port = address.partition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            async with asyncio.timeout(10):
                await scene(handler, server, reader, writer)
        finally:
            writer.close()
            with contextlib.suppress(ConnectionError):
                await writer.wait_closed()
            server.stop_listening()
            server.close_idle()

    asyncio.run(main())


async def read_reply(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    head = await reader.readuntil(b"\r\n\r\n")
    size = int(head.lower().partition(b"content-length: ")[2].partition(b"\r")[0])
    return head, await reader.readexactly(size)


def test_requests_of_one_connection_are_answered_in_order() -> None:
    async def scene(
        handler: Handler,
        server: HttpServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        handler.waits = True
        chunked = (
            b"POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nxy\r\n1\r\nz\r\n0\r\n\r\n"
        )
        writer.write(GET + chunked)
        await handler.arrived.get()
        (first,) = handler.requests
        assert (first.method, first.path, first.host_name) == ("GET", "/a", "q.example")
        first.reply(200, b"1")
        await handler.arrived.get()
        first.reply(500, b"a second reply is not sent")
        handler.requests[1].reply(503, handler.requests[1].body)
        assert (await read_reply(reader))[1] == b"1"
        head, body = await read_reply(reader)
        assert head.startswith(b"HTTP/1.1 503 Service Unavailable") and body == b"xyz"

    with_server(scene)


def test_a_request_that_cannot_be_read_is_answered_and_ends_the_connection() -> None:
    large_head = b"GET / HTTP/1.1\r\nX: " + b"x" * (MAX_HEADER_BYTES + 1) + b"\r\n\r\n"
    large_body = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 9)
    for sent, status in (
        (b"no http at all\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", b"400"),
        (large_head, b"431"),
        (large_body + b"x" * (MAX_BODY_BYTES + 9), b"413"),
    ):

        async def scene(
            handler: Handler,
            server: HttpServer,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
            sent: bytes = sent,
            status: bytes = status,
        ) -> None:
            writer.write(sent)
            head, _ = await read_reply(reader)
            assert head.split()[1] == status
            assert await reader.read() == b""
            assert handler.requests == []

        with_server(scene)


def test_a_handler_is_told_that_its_client_has_gone() -> None:
    async def scene(
        handler: Handler,
        server: HttpServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        handler.waits = True
        writer.write(GET)
        await handler.arrived.get()
        writer.close()
        await handler.disconnected.wait()
        handler.requests[0].reply(200, b"nobody reads this")
        assert not server.connections

    with_server(scene)


def test_only_idle_connections_are_closed() -> None:
    async def scene(
        handler: Handler,
        server: HttpServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        handler.waits = True
        writer.write(GET)
        await handler.arrived.get()
        server.close_idle()
        handler.requests[0].reply(200, b"whole")
        assert (await read_reply(reader))[1] == b"whole"
        server.close_idle()
        assert await reader.read() == b""

    with_server(scene)


def test_a_client_that_asks_to_close_or_to_continue_gets_it() -> None:
    async def scene(
        handler: Handler,
        server: HttpServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(
            b"POST /c HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n"
            b"Connection: close\r\n\r\n"
        )
        assert b"100 Continue" in await reader.readuntil(b"\r\n\r\n")
        writer.write(b"z")
        head, body = await read_reply(reader)
        assert body == b"/cz" and b"Connection: close" in head
        assert await reader.read() == b""

    with_server(scene)
