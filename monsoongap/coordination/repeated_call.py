"""Calls between hosts that outlive a connection which went silent.

An open connection may lose its way for good while new ones work, and no error tells.
A call whose repetition joins the first is therefore sent once more on a new connection
when no reply came for a while; the first reply counts.
"""

import asyncio
from typing import Any

from monsoongap.coordination.ports import PeerCallFailed, PeerCallPort

# A reply that comes this much later than the work should take may be lost; a caller's
# deadline of 1.5 s leaves time for the second one.
REPEAT_AFTER_S = 0.7
# Declared times are off by two fifths, and what runs twice as long is not yet lost.
WORK_FACTOR = 2.0


async def call_repeatedly(
    peers: PeerCallPort,
    address: str,
    request: Any,
    reply_type: type[Any],
    timeout_s: float,
    work_s: float,
) -> Any:
    """Send a message, again on new connections while no reply comes.

    `work_s` is how long the peer should work on it.
    Raises `PeerCallFailed` as soon as a new connection shows that the peer is out of
    reach, whatever the first one still waits for.
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + timeout_s
    calls: set[asyncio.Task[Any]] = set()
    try:
        while (left_s := until - loop.time()) > 0:
            fresh = bool(calls)
            calls.add(
                asyncio.create_task(
                    peers.call(address, request, reply_type, left_s, fresh)
                )
            )
            wait_s = min(REPEAT_AFTER_S + WORK_FACTOR * work_s, left_s)
            done, calls = await asyncio.wait(
                calls, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED
            )
            if done:
                good = [call for call in done if call.exception() is None]
                return (good or list(done))[0].result()
        raise PeerCallFailed(f"{address}: no reply in {timeout_s} s")
    finally:
        for call in calls:
            call.cancel()
