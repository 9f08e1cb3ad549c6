"""Tests of kept-alive connections to servers that send valid and invalid replies."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from monsoongap.settings import LimitsSection
from monsoongap.transport.http_client import HttpClient
from monsoongap.transport.http_conn import (
    MAX_REPLY_BYTES,
    ExchangeLost,
    HttpReply,
    HttpRequest,
    NotConnected,
    Refused,
)
from monsoongap.transport.receive_guard import ReceiveGuard
from monsoongap.util.addresses import split_address
from tests.platform.site import free_ports

REQUEST = HttpRequest("POST", "/x", b"{}", (("X-One", "1"),))
OK_REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CHUNKED_REPLY = (
    b"HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n"
)
CLOSING_REPLY = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"


class ScriptedServer:
    """Sends the next reply of a script for each request; `None` closes instead."""

    def __init__(self, *script: bytes | None) -> None:
        self._script = list(script)
        self.requests: list[bytes] = []
        self.connections = 0
        self.port = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            await self._answer(reader, writer)
        finally:
            # A writer that is left to the garbage collector raises there, after the end
            # of its event loop.
            writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65_536):
            self.requests.append(data)
            answer = self._script.pop(0)
            if answer is None:
                return
            writer.write(answer)


def run_test(
    server: ScriptedServer, test: Callable[[HttpClient, str], Awaitable[None]]
) -> None:
    async def main() -> None:
        asyncio_server = await asyncio.start_server(server.serve, "127.0.0.1", 0)
        server.port = asyncio_server.sockets[0].getsockname()[1]
        http = HttpClient()
        async with asyncio_server:
            await test(http, f"127.0.0.1:{server.port}")
            http.close()

    asyncio.run(main())


def test_exchanges_reuse_one_connection() -> None:
    server = ScriptedServer(OK_REPLY, CHUNKED_REPLY, OK_REPLY)

    async def test(http: HttpClient, address: str) -> None:
        assert await http.exchange(address, REQUEST, 1.0) == HttpReply(200, b"ok")
        assert await http.exchange(address, REQUEST, 1.0) == HttpReply(503, b"no")
        assert (await http.exchange(address, REQUEST, 1.0)).status == 200
        assert server.connections == 1
        head = server.requests[0].split(b"\r\n")
        assert head[0] == b"POST /x HTTP/1.1"
        assert f"Host: {address}".encode() in head and b"X-One: 1" in head

    run_test(server, test)


def test_connection_is_not_reused_after_a_closing_reply() -> None:
    server = ScriptedServer(CLOSING_REPLY, OK_REPLY)

    async def test(http: HttpClient, address: str) -> None:
        assert (await http.exchange(address, REQUEST, 1.0)).body == b"ok"
        assert (await http.exchange(address, REQUEST, 1.0)).body == b"ok"
        assert server.connections == 2

    run_test(server, test)


@pytest.mark.parametrize(
    "answer",
    [
        None,
        b"",
        OK_REPLY[:-1],
        b"SSH-2.0-nonsense\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 90000000\r\n\r\n" + b"x" * 100,
        b"HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n"
        + b"x" * (MAX_REPLY_BYTES + 1),
    ],
    ids=["closed", "no reply", "truncated", "not http", "stalled", "too large"],
)
def test_incomplete_or_invalid_reply_fails_the_exchange(answer: bytes | None) -> None:
    server = ScriptedServer(answer, OK_REPLY)

    async def test(http: HttpClient, address: str) -> None:
        with pytest.raises(ExchangeLost):
            await http.exchange(address, REQUEST, 0.3)
        assert (await http.exchange(address, REQUEST, 1.0)).body == b"ok"
        assert server.connections == 2

    run_test(server, test)


# Issue 22: a large configuration over a slow link never arrived within the time of a
# reply, and was read again from its beginning.
def test_a_reply_that_has_begun_gets_time_for_its_transfer() -> None:
    async def main() -> None:
        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            for part in (b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", b"ab", b"cd"):
                writer.write(part)
                await asyncio.sleep(0.25)
            writer.close()

        address = f"127.0.0.1:{free_ports(1)[0]}"
        ip, port = split_address(address)
        server, http = await asyncio.start_server(answer, ip, port), HttpClient()
        with pytest.raises(ExchangeLost, match="incomplete reply"):
            await http.exchange(address, REQUEST, 0.3)
        reply = await http.exchange(address, REQUEST, 0.3, transfer_s=2.0)
        assert reply.body == b"abcd"
        with pytest.raises(ExchangeLost, match="incomplete reply"):
            await http.exchange(address, REQUEST, 0.3, fresh=True, transfer_s=0.1)
        server.close()
        http.close()

    asyncio.run(main())


def test_unsolicited_data_closes_the_connection() -> None:
    server = ScriptedServer(OK_REPLY + OK_REPLY, OK_REPLY)

    async def test(http: HttpClient, address: str) -> None:
        assert (await http.exchange(address, REQUEST, 1.0)).body == b"ok"
        await asyncio.sleep(0.05)
        assert (await http.exchange(address, REQUEST, 1.0)).body == b"ok"

    run_test(server, test)


def test_cancelled_exchange_closes_its_connection() -> None:
    server = ScriptedServer(b"", OK_REPLY)

    async def test(http: HttpClient, address: str) -> None:
        task = asyncio.create_task(http.exchange(address, REQUEST, 5.0))
        await asyncio.sleep(0.1)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        assert (await http.exchange(address, REQUEST, 1.0)).body == b"ok"
        assert server.connections == 2

    run_test(server, test)


def test_address_without_a_listener_refuses_the_connection() -> None:
    async def main() -> None:
        http = HttpClient()
        with pytest.raises(Refused):
            await http.exchange("127.0.0.1:1", REQUEST, 1.0)
        with pytest.raises(NotConnected):
            await http.exchange("127.0.0.1:none", REQUEST, 1.0)

    asyncio.run(main())


# The owner of a runner has to learn that an idle connection was closed: the runner may
# have restarted as another kind.
@pytest.mark.parametrize("closes", ["server", "client", "unused"])
def test_a_server_that_closes_an_idle_connection_is_reported(closes: str) -> None:
    server = ScriptedServer(*([OK_REPLY, None][: 1 + (closes == "server")]))

    async def test(client: HttpClient, address: str) -> None:
        lost = list[str]()
        client.on_idle_lost = lost.append
        await client.exchange(address, REQUEST, 1.0)
        if closes == "server":
            conn = client._idle[address][0][1]
            assert conn._transport is not None
            # The script ends with the next request, which no exchange sends.
            conn._transport.write(b"x")
        elif closes == "client":
            client.forget(address)
        await asyncio.sleep(0.05)
        assert lost == ([address] if closes == "server" else [])

    run_test(server, test)


LARGE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n"


# Replies were limited one by one and read to the limit; together they had no bound.
@pytest.mark.parametrize(
    ("sent", "max_bytes", "cause"),
    [
        (LARGE_HEAD, 800_000, "reply_size"),
        (b"HTTP/1.1 200 OK\r\nX: " + b"v" * 600_000, 8_000_000, "reply_size"),
        (LARGE_HEAD + b"x" * 899_999, 8_000_000, "memory"),
    ],
    ids=["announced", "head", "memory"],
)
def test_a_reply_over_a_limit_is_given_up(
    sent: bytes, max_bytes: int, cause: str
) -> None:
    guard = ReceiveGuard(LimitsSection(memory_mb=64, receive_share=0.01))
    server = ScriptedServer(sent)

    async def test(_: HttpClient, address: str) -> None:
        http = HttpClient(guard)
        req = HttpRequest("GET", "/", max_reply_bytes=max_bytes)
        with pytest.raises(ExchangeLost, match=cause):
            await http.exchange(address, req, 5.0)
        assert guard.budget.used_bytes == 0 and guard.counts[cause] == 1
        http.close()

    run_test(server, test)
