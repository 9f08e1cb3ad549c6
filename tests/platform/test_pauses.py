"""Tests of a daemon that was paused, on real sockets.

The process sleeps in its event loop, so that a request and the end of its connection
wait in the socket, as after SIGSTOP and SIGCONT.
"""

import asyncio
import socket
import time

import pytest

from monsoongap.transport.http_conn import HttpRequest
from tests.platform.site import Site, job_body
from tests.platform.test_daemon import run_on_site


async def connect(address: str) -> socket.socket:
    """Open a connection that has carried a request."""
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(HttpRequest("GET", "/scan/").encode(address))
    await reader.readuntil(b"}")
    sock: socket.socket = writer.get_extra_info("socket").dup()
    # The copy keeps the connection open.
    writer.close()
    return sock


def send_and_give_up(sock: socket.socket, job: str) -> None:
    """Send a job and close the connection without waiting for the answer."""
    body = job_body(2, work_ms=300)
    sock.sendall(HttpRequest("POST", f"/scan/{job}", body).encode("127.0.0.1"))
    sock.shutdown(socket.SHUT_RDWR)


def pause(seconds: float) -> None:
    """Let the event loop stand still."""
    time.sleep(seconds)


@pytest.mark.parametrize("paused_s", [0.4, 2.0])
def test_a_job_whose_caller_left_during_a_pause_is_not_started(paused_s: float) -> None:
    async def test(site: Site) -> None:
        socks = [await connect(node.listen.callers) for node in site.nodes]
        for sock in socks:
            send_and_give_up(sock, "ab" * 8)
        pause(paused_s)
        await asyncio.sleep(0.5)
        assert [daemon.host.pool.counts.placed for daemon in site.daemons] == [0, 0]
        assert site.ledger == []
        reply = await site.post(0, "cd" * 8, job_body(2))
        assert reply.status == 200

    run_on_site(test)
