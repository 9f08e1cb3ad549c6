"""Calls between hosts that are repeated while no reply arrives.

An open connection can stop carrying data without an error while new connections work.
A call that the peer recognizes as a repetition is therefore sent again on a new
connection when no reply arrived in time; the first reply is used.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from monsoongap.coordination.ports import NoReply, PeerCallPort

# A reply that is later than the expected work by this much may be lost. A caller's
# deadline of 1.5 s leaves time for a second call.
REPEAT_AFTER_S = 0.7
# Declared times are off by two fifths, so work may take twice the time declared.
WORK_FACTOR = 2.0
# A call that ends before all time is over has failed; it did not run out of time.
CALL_SLACK_S = 1.0


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
    `work_s` is how long the peer is expected to work on it. Raises `NoReply` when no
    reply arrives within `timeout_s`, and `PeerCallFailed` as soon as a new connection
    shows that the peer is unreachable, even if an earlier call still waits.
    """
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    deadline = started_at + timeout_s
    calls: set[asyncio.Task[Any]] = set()
    try:
        remaining_s = timeout_s
        while remaining_s > 0:
            fresh = bool(calls)
            request = request_after(loop.time() - started_at)
            call = peers.call(
                address, request, reply_type, remaining_s + CALL_SLACK_S, fresh
            )
            calls.add(asyncio.create_task(call))
            pause_s = REPEAT_AFTER_S + WORK_FACTOR * work_s
            done, calls = await asyncio.wait(
                calls,
                timeout=min(pause_s, remaining_s),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if done:
                succeeded = [call for call in done if call.exception() is None]
                return (succeeded or list(done))[0].result()
            remaining_s = deadline - loop.time() if pause_s < remaining_s else 0.0
        raise NoReply(f"{address}: no reply within {timeout_s:g} s")
    finally:
        for unanswered in calls:
            unanswered.cancel()
