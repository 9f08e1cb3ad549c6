"""Timers of a process that was paused, on the loop of the daemon.

After a pause while it handles what has arrived, that loop calls the timers that are due
before it reads again. Guards against a process that acts on silence, or gives up a
reply, while the heartbeats and replies of the pause wait in its sockets.
"""

import asyncio
import socket
import time
from collections.abc import Coroutine
from contextlib import contextmanager
from typing import Any

import pytest
import uvloop

from monsoongap.timers import TimerService
from monsoongap.transport.http_conn import HttpRequest, KeepAliveConnection
from tests.platform.site import free_ports

PAUSE_S = 0.6


def run_on_uvloop(main: Coroutine[Any, Any, None]) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main)


class Input:
    """A socket whose data is handled by a callback of the loop."""

    def __init__(self, handle: Any) -> None:
        self._reader, self._writer = socket.socketpair()
        self._reader.setblocking(False)
        self._handle = handle
        asyncio.get_running_loop().add_reader(self._reader, self._read)

    def send(self) -> None:
        self._writer.send(b"x")

    def close(self) -> None:
        asyncio.get_running_loop().remove_reader(self._reader)
        self._reader.close()
        self._writer.close()

    def _read(self) -> None:
        self._reader.recv(100)
        self._handle()


@contextmanager
def inputs(*handles: Any) -> Any:
    made = [Input(handle) for handle in handles]
    yield made
    for each in made:
        each.close()


def test_a_periodic_call_that_is_late_comes_after_what_has_arrived() -> None:
    async def main() -> None:
        timers, calls = TimerService(time.monotonic), list[str]()

        def pause() -> None:
            heartbeat.send()
            time.sleep(PAUSE_S)
            calls.clear()

        with inputs(pause, lambda: calls.append("read")) as (work, heartbeat):
            timers.every(0.1, lambda: calls.append("tick"), "tick")
            await asyncio.sleep(0.25)
            work.send()
            await asyncio.sleep(PAUSE_S + 0.3)
        timers.close()
        assert calls[0] == "read" and "tick" in calls

    run_on_uvloop(main())


@pytest.mark.parametrize("timeout_s", [0.2, 0.5])
def test_a_reply_that_arrived_during_a_pause_is_not_lost(timeout_s: float) -> None:
    async def main() -> None:
        port = free_ports(1)[0]
        with socket.create_server(("127.0.0.1", port)) as server:
            conn = await KeepAliveConnection.open(f"127.0.0.1:{port}", 1.0)
            peer, _ = server.accept()

            def pause() -> None:
                peer.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                time.sleep(PAUSE_S)

            with peer, inputs(pause) as (work,):
                exchange = asyncio.create_task(
                    conn.exchange(HttpRequest("GET", "/"), timeout_s)
                )
                await asyncio.sleep(0.05)
                work.send()
                assert (await exchange).body == b"ok"
            conn.close()

    run_on_uvloop(main())
