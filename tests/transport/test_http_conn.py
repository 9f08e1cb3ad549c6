"""Tests of kept-alive connections against servers that misbehave."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from monsoongap.transport.http_client import HttpClient
from monsoongap.transport.http_conn import (
    MAX_REPLY_BYTES,
    ExchangeLost,
    HttpReply,
    HttpRequest,
    NotConnected,
    Refused,
)

REQ = HttpRequest("POST", "/x", b"{}", (("X-One", "1"),))
GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CHUNKED = b"HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n"
LAST = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"


class Server:
    """Answers each request with the next part of a script."""

    def __init__(self, *script: bytes | None) -> None:
        self._script = list(script)
        self.requests: list[bytes] = []
        self.connections = 0
        self.port = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        while data := await reader.read(65_536):
            self.requests.append(data)
            answer = self._script.pop(0)
            if answer is None:
                writer.close()
                return
            writer.write(answer)


def play(server: Server, test: Callable[[HttpClient, str], Awaitable[None]]) -> None:
    async def main() -> None:
        listening = await asyncio.start_server(server.serve, "127.0.0.1", 0)
        server.port = listening.sockets[0].getsockname()[1]
        http = HttpClient()
        async with listening:
            await test(http, f"127.0.0.1:{server.port}")
            http.close()

    asyncio.run(main())


def test_exchanges_share_one_connection() -> None:
    server = Server(GOOD, CHUNKED, GOOD)

    async def test(http: HttpClient, address: str) -> None:
        assert await http.exchange(address, REQ, 1.0) == HttpReply(200, b"ok")
        assert await http.exchange(address, REQ, 1.0) == HttpReply(503, b"no")
        assert (await http.exchange(address, REQ, 1.0)).status == 200
        assert server.connections == 1
        head = server.requests[0].split(b"\r\n")
        assert head[0] == b"POST /x HTTP/1.1"
        assert f"Host: {address}".encode() in head and b"X-One: 1" in head

    play(server, test)


def test_a_reply_that_ends_its_connection_is_the_last_on_it() -> None:
    server = Server(LAST, GOOD)

    async def test(http: HttpClient, address: str) -> None:
        assert (await http.exchange(address, REQ, 1.0)).body == b"ok"
        assert (await http.exchange(address, REQ, 1.0)).body == b"ok"
        assert server.connections == 2

    play(server, test)


@pytest.mark.parametrize(
    "answer",
    [
        None,
        b"",
        GOOD[:-1],
        b"SSH-2.0-nonsense\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 90000000\r\n\r\n" + b"x" * 100,
        b"HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n"
        + b"x" * (MAX_REPLY_BYTES + 1),
    ],
    ids=["closed", "silent", "cut short", "not http", "stalled", "too large"],
)
def test_what_is_no_whole_reply_is_a_lost_exchange(answer: bytes | None) -> None:
    server = Server(answer, GOOD)

    async def test(http: HttpClient, address: str) -> None:
        with pytest.raises(ExchangeLost):
            await http.exchange(address, REQ, 0.3)
        assert (await http.exchange(address, REQ, 1.0)).body == b"ok"
        assert server.connections == 2

    play(server, test)


def test_data_that_nobody_asked_for_ends_the_connection() -> None:
    server = Server(GOOD + GOOD, GOOD)

    async def test(http: HttpClient, address: str) -> None:
        assert (await http.exchange(address, REQ, 1.0)).body == b"ok"
        await asyncio.sleep(0.05)
        assert (await http.exchange(address, REQ, 1.0)).body == b"ok"

    play(server, test)


def test_a_cancelled_exchange_leaves_no_connection_behind() -> None:
    server = Server(b"", GOOD)

    async def test(http: HttpClient, address: str) -> None:
        task = asyncio.create_task(http.exchange(address, REQ, 5.0))
        await asyncio.sleep(0.1)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        assert (await http.exchange(address, REQ, 1.0)).body == b"ok"
        assert server.connections == 2

    play(server, test)


def test_an_address_without_a_listener_refuses() -> None:
    async def main() -> None:
        http = HttpClient()
        with pytest.raises(Refused):
            await http.exchange("127.0.0.1:1", REQ, 1.0)
        with pytest.raises(NotConnected):
            await http.exchange("127.0.0.1:none", REQ, 1.0)

    asyncio.run(main())
