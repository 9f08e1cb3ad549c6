"""Tests of calls between hosts over TCP sockets."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import pytest

from monsoongap.coordination.open_call import OpenCall
from monsoongap.coordination.ports import PeerCallFailed, PeerDown
from monsoongap.protocol.messages import CancelCall, ConfigCall, ConfigReply
from monsoongap.timers import TimerService
from monsoongap.transport.host_calls import (
    MAX_BODY_BYTES,
    HostCallClient,
    HostCallServer,
)
from monsoongap.transport.http_client import HttpClient
from monsoongap.transport.http_conn import ExchangeLost, HttpReply, HttpRequest
from tests.platform.site import free_ports


async def answer(request: Any, open_call: OpenCall) -> Any:
    match request:
        case ConfigCall():
            return ConfigReply(7, b"text")
        case CancelCall(job):
            raise RuntimeError(job)


def run_test(test: Callable[[HttpClient, str], Awaitable[None]]) -> None:
    async def main() -> None:
        server = HostCallServer(answer, TimerService())
        address = f"127.0.0.1:{free_ports(1)[0]}"
        await server.listen(address)
        http = HttpClient()
        try:
            await test(http, address)
        finally:
            http.close()
            server.close()

    asyncio.run(main())


def test_calls_reuse_one_connection() -> None:
    async def test(http: HttpClient, address: str) -> None:
        client = HostCallClient(http)
        for _ in range(3):
            reply = await client.call(address, ConfigCall(), ConfigReply, 1.0)
            assert reply == ConfigReply(7, b"text")
        assert http.counts.connections_opened == 1

    run_test(test)


def test_failed_call_raises_peer_call_failed() -> None:
    async def test(http: HttpClient, address: str) -> None:
        client = HostCallClient(http)
        with pytest.raises(PeerCallFailed, match="status 500"):
            await client.call(address, CancelCall("ab"), bool, 1.0)
        with pytest.raises(PeerCallFailed):
            await client.call(address, ConfigCall(), int, 1.0)
        with pytest.raises(PeerDown):
            await client.call("127.0.0.1:1", ConfigCall(), ConfigReply, 1.0)

    run_test(test)


@pytest.mark.parametrize(
    ("path", "body", "status"),
    [("/ConfigCall", b"\xc1", 400), ("/NoCall", b"", 404), ("/CancelCall", b"", 400)],
)
def test_malformed_call_is_rejected_and_the_next_is_answered(
    path: str, body: bytes, status: int
) -> None:
    async def test(http: HttpClient, address: str) -> None:
        reply = await http.exchange(address, HttpRequest("POST", path, body), 1.0)
        assert reply.status == status
        valid_body = msgspec.msgpack.encode(ConfigCall())
        valid_request = HttpRequest("POST", "/ConfigCall", valid_body)
        assert isinstance(await http.exchange(address, valid_request, 1.0), HttpReply)

    run_test(test)


def test_oversized_call_closes_the_connection() -> None:
    async def test(http: HttpClient, address: str) -> None:
        req = HttpRequest("POST", "/ConfigCall", b"x" * (MAX_BODY_BYTES + 1))
        with pytest.raises(ExchangeLost):
            await http.exchange(address, req, 5.0)

    run_test(test)
