"""Calls between hosts that are repeated while no reply arrives.

An open connection can stop carrying data without an error while new connections work.
A call that the peer recognizes as a repetition is therefore sent again on a new
connection when no reply arrived in time; the first reply is used.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from monsoongap.coordination.ports import PeerCallFailed, PeerCallPort

# A reply that is later than the expected work by this much may be lost. A caller's
# deadline of 1.5 s leaves time for a second call.
REPEAT_AFTER_S = 0.7
# Declared times are off by two fifths, so work may take twice the time declared.
WORK_FACTOR = 2.0


async def call_repeatedly(
    peers: PeerCallPort,
    address: str,
    request_after: Callable[[float], Any],
    reply_type: type[Any],
    timeout_s: float,
    work_s: float,
) -> Any:
    """Send a message, and repeat it on new connections while no reply arrives.

    `request_after` returns the message to send after so many seconds of the call.
    `work_s` is how long the peer is expected to work on it. Raises `PeerCallFailed`
    when no reply arrives within `timeout_s`, and as soon as a new connection shows that
    the peer is unreachable, even if an earlier call still waits for its reply.
    """
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    deadline = started_at + timeout_s
    calls: set[asyncio.Task[Any]] = set()
    try:
        while (remaining_s := deadline - loop.time()) > 0:
            fresh = bool(calls)
            request = request_after(loop.time() - started_at)
            calls.add(
                asyncio.create_task(
                    peers.call(address, request, reply_type, remaining_s, fresh)
                )
            )
            wait_s = min(REPEAT_AFTER_S + WORK_FACTOR * work_s, remaining_s)
            done, calls = await asyncio.wait(
                calls, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED
            )
            if done:
                succeeded = [call for call in done if call.exception() is None]
                return (succeeded or list(done))[0].result()
        raise PeerCallFailed(f"{address}: no reply within {timeout_s} s")
    finally:
        for call in calls:
            call.cancel()
