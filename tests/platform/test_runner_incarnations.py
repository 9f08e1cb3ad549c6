"""Tests of starts to a runner that restarted without closing its connections.

After a loss of power, the owner's connections stay open without a reply, and a new one
leads to the next incarnation, which may be of another kind.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import msgspec
import pytest

from monsoongap.coordination.ports import NoAnswer, WrongInstance
from monsoongap.platform.runners import RunnerClient
from monsoongap.protocol.messages import (
    Resources,
    RunnerInfo,
    Started,
    StartRequest,
    TaskId,
)
from monsoongap.transport.http_client import HttpClient
from tests.platform.site import free_ports

OLD, NEW = 1000, 2000


@dataclass(slots=True)
class Incarnation:
    """One incarnation of a runner on a real socket; counts its starts and polls."""

    born: int
    address: str
    starts: int = 0
    polls: int = 0
    silent: bool = False
    _server: asyncio.Server | None = None
    _writers: list[asyncio.StreamWriter] = field(default_factory=list)

    async def listen(self) -> None:
        ip, _, port = self.address.partition(":")
        self._server = await asyncio.start_server(self._serve, ip, int(port))

    async def lose_power(self) -> None:
        """Stop answering and listening; the connections stay open."""
        self.silent = True
        assert self._server is not None
        self._server.close()

    def close(self) -> None:
        for writer in self._writers:
            writer.close()
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        while head := await _read_head(reader):
            size = int(head.lower().partition(b"content-length: ")[2].split(b"\r")[0])
            await reader.readexactly(size)
            if self.silent:
                continue
            is_start = b"/run-start" in head
            self.starts += is_start
            self.polls += not is_start
            body = msgspec.json.encode({"clockMs": 5, "born": self.born})
            reply = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
            writer.write(reply + body)


async def _read_head(reader: asyncio.StreamReader) -> bytes:
    try:
        return await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
        return b""


Scene = Callable[[RunnerClient, RunnerInfo, Incarnation, Incarnation], Awaitable[None]]


def with_runner(scene: Scene) -> None:
    async def main() -> None:
        address = f"127.0.0.1:{free_ports(1)[0]}"
        info = RunnerInfo("r0", "u", address, "a", False, Resources(1000, 64), (), OLD)
        old, new = Incarnation(OLD, address), Incarnation(NEW, address)
        http = HttpClient()
        await old.listen()
        try:
            async with asyncio.timeout(10):
                await scene(RunnerClient(http), info, old, new)
        finally:
            http.close()
            old.close()
            new.close()

    asyncio.run(main())


def start_of(born_ms: int) -> StartRequest:
    return StartRequest(TaskId("1" * 16, 0, 0), 1, "", 1000, 7, born_ms)


# Guards against a start by the record of the former incarnation on a new connection,
# which is opened because the idle ones are in use or silent.
def test_a_start_on_a_new_connection_reaches_no_other_incarnation() -> None:
    async def scene(
        client: RunnerClient, info: RunnerInfo, old: Incarnation, new: Incarnation
    ) -> None:
        await client.poll(info, 7, 0, None, 0, False)
        await old.lose_power()
        await new.listen()
        poll = asyncio.create_task(client.poll(info, 7, 0, None, 400, False))
        await asyncio.sleep(0.05)
        with pytest.raises(WrongInstance):
            await client.start(info, start_of(OLD))
        assert new.starts == 0
        poll.cancel()

    with_runner(scene)


# Guards against a connection of the next incarnation in the pool, on which a poll told
# of the restart, being used for a start that was decided before.
def test_a_start_decided_before_a_poll_told_of_the_restart_is_not_sent() -> None:
    async def scene(
        client: RunnerClient, info: RunnerInfo, old: Incarnation, new: Incarnation
    ) -> None:
        await client.poll(info, 7, 0, None, 0, False)
        await old.lose_power()
        await new.listen()
        assert (await client.poll(info, 7, 0, None, 0, True)).born_ms == NEW
        # The idle connection to the former incarnation gives no reply.
        with pytest.raises(NoAnswer):
            await client.start(info, start_of(OLD))
        with pytest.raises(WrongInstance):
            await client.start(info, start_of(OLD))
        assert new.starts == 0
        assert await client.start(info, start_of(NEW)) == Started(5)

    with_runner(scene)


# The check costs an ordinary start nothing: no poll on a connection that was polled.
def test_a_start_on_a_known_connection_needs_no_poll() -> None:
    async def scene(
        client: RunnerClient, info: RunnerInfo, old: Incarnation, new: Incarnation
    ) -> None:
        await client.poll(info, 7, 0, None, 0, False)
        for _ in range(3):
            assert await client.start(info, start_of(OLD)) == Started(5)
        assert (old.starts, old.polls) == (3, 1)

    with_runner(scene)
