"""Calls between hosts that are repeated while no reply arrives.

An open connection can stop carrying data without an error while new connections work.
A call that the peer recognizes as a repetition is therefore sent again on a new
connection when no reply arrived in time; the first reply is used.

A peer may lose power and start again meanwhile. Its new process knows nothing of what
the previous one did with an earlier copy, so each call names the process that it is
for, and each reply the one that sends it.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from monsoongap.coordination.heartbeats import Peer
from monsoongap.coordination.ports import NoReply, PeerCallPort, PeerRestarted
from monsoongap.protocol.messages import HostCard

# A reply that is later than the expected work by this much may be lost. A caller's
# deadline of 1.5 s leaves time for a second call.
REPEAT_AFTER_S = 0.7
# Declared times are off by two fifths, so work may take twice the time declared.
WORK_FACTOR = 2.0
# A call that ends before all time is over has failed; it did not run out of time.
CALL_SLACK_S = 1.0


@dataclass(slots=True, eq=False)
class RepeatedCall:
    """A call to one process of another host, and the copies of it sent so far.

    `card` is the card of that process, `started_at` the time of the event loop at which
    the call began. `restarted` is done once the host is known to have restarted.
    """

    peers: PeerCallPort
    card: HostCard
    started_at: float
    restarted: asyncio.Future[None]
    copies: int = 0

    @property
    def address(self) -> str:
        """The address at which the process accepts calls, as `IP:port`."""
        return f"{self.card.ip}:{self.card.port}"

    @property
    def elapsed_s(self) -> float:
        """How long ago the call began, in seconds."""
        return asyncio.get_running_loop().time() - self.started_at

    def may_have_begun(self, boot_ms: int) -> bool:
        """Return whether work may have begun that a refusal does not know of.

        `boot_ms` tells which process of the peer refused. One that received an earlier
        copy, and has ended since, may have begun the work.
        """
        is_addressee = 0 < boot_ms == self.card.boot_ms
        return self.copies > 1 and not is_addressee

    async def reply(
        self,
        request_after: Callable[[float], Any],
        reply_type: type[Any],
        timeout_s: float,
        work_s: float,
    ) -> Any:
        """Send a message, and repeat it on new connections while no reply arrives.

        `request_after` returns the message to send after so many seconds of this
        method. `work_s` is how long the peer is expected to work on it. Raises
        `NoReply` when no reply arrives within `timeout_s`, `PeerRestarted` once the
        peer is known to have restarted, and `PeerCallFailed` as soon as a new
        connection shows that the peer is unreachable, even if an earlier call still
        waits.
        """
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        deadline = began_at + timeout_s
        calls: set[asyncio.Task[Any]] = set()
        try:
            remaining_s = timeout_s
            while remaining_s > 0:
                fresh = bool(calls)
                request = request_after(loop.time() - began_at)
                call = self.peers.call(
                    self.address, request, reply_type, remaining_s + CALL_SLACK_S, fresh
                )
                self.copies += 1
                calls.add(asyncio.create_task(call))
                pause_s = REPEAT_AFTER_S + WORK_FACTOR * work_s
                await asyncio.wait(
                    {*calls, self.restarted},
                    timeout=min(pause_s, remaining_s),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                done = [call for call in calls if call.done()]
                if done:
                    succeeded = [call for call in done if call.exception() is None]
                    return (succeeded or done)[0].result()
                if self.restarted.done():
                    raise PeerRestarted(f"{self.address}: another process answers")
                remaining_s = deadline - loop.time() if pause_s < remaining_s else 0.0
            raise NoReply(f"{self.address}: no reply within {timeout_s:g} s")
        finally:
            for unanswered in calls:
                unanswered.cancel()


@dataclass(slots=True)
class RepeatedCalls:
    """The repeated calls of a host that wait for a reply."""

    peers: PeerCallPort
    _open: set[RepeatedCall] = field(default_factory=set)

    def begin(self, peer: Peer) -> RepeatedCall:
        """Return a call to the process of a host that was last heard.

        The caller passes it to `end` when it has a reply or gives up.
        """
        loop = asyncio.get_running_loop()
        call = RepeatedCall(self.peers, peer.card, loop.time(), loop.create_future())
        self._open.add(call)
        return call

    def end(self, call: RepeatedCall) -> None:
        """Forget a call."""
        self._open.discard(call)

    def host_restarted(self, card: HostCard) -> None:
        """End the calls to earlier processes of a host, whose connections are silent.

        `card` is that of the process that sends heartbeats now.
        """
        for call in self._open:
            is_earlier = 0 < call.card.boot_ms != card.boot_ms
            if call.card.name == card.name and is_earlier and not call.restarted.done():
                call.restarted.set_result(None)
