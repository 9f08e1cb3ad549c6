"""The two ends of a heartbeat stream over gRPC, and the channel they run on."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import grpc

from monsoongap.errors import PeerUnreachable
from monsoongap.protocol import peer_pb2

SILENT_AFTER_S = 1.0


@dataclass(slots=True)
class PeerChannel:
    """The channel to one peer, the address it was opened for, when it was heard."""

    host: str
    address: str
    channel: Any
    stub: Any
    heard_at: float = 0.0

    def note_heard(self) -> None:
        """Note that something came back on the channel."""
        self.heard_at = asyncio.get_running_loop().time()


class CallStream:
    """The caller's end of a heartbeat stream."""

    def __init__(
        self, link: PeerChannel, silent: Callable[[PeerChannel, float], None]
    ) -> None:
        self._link = link
        self._silent = silent
        self._call = link.stub.Heartbeats()
        self._waits_since: float | None = None

    async def send(self, body: bytes) -> None:
        """Send one beat; raises `PeerUnreachable`."""
        self._waits_since = asyncio.get_running_loop().time()
        await _stream_step(self._call.write(peer_pb2.Beat(body=body)))

    async def receive(self) -> bytes:
        """Wait for one beat; raises `PeerUnreachable`."""
        beat = await _stream_step(self._call.read())
        if beat is grpc.aio.EOF:
            self._waits_since = None
            raise PeerUnreachable(f"{self._link.host}: heartbeat stream ended")
        self._waits_since = None
        self._link.note_heard()
        return bytes(beat.body)

    def close(self) -> None:
        """End the stream, and with it a channel that no longer answers."""
        now = asyncio.get_running_loop().time()
        waits_since = self._waits_since
        if waits_since is not None and now - waits_since >= SILENT_AFTER_S:
            self._silent(self._link, waits_since)
        self._call.cancel()


class ServedStream:
    """The server's end of a heartbeat stream; it ends with its handler."""

    def __init__(self, context: Any) -> None:
        self._context = context

    async def send(self, body: bytes) -> None:
        """Send one beat; raises `PeerUnreachable`."""
        await _stream_step(self._context.write(peer_pb2.Beat(body=body)))

    async def receive(self) -> bytes:
        """Wait for one beat; raises `PeerUnreachable`."""
        beat = await _stream_step(self._context.read())
        if beat is grpc.aio.EOF:
            raise PeerUnreachable("heartbeat stream ended")
        return bytes(beat.body)

    def close(self) -> None:
        """Do nothing: the stream ends when its handler returns."""


async def _stream_step(step: Awaitable[Any]) -> Any:
    """Await a read or write; raises `PeerUnreachable` when the stream broke."""
    try:
        return await step
    except grpc.aio.AioRpcError as exc:
        raise PeerUnreachable(f"heartbeat stream broke: {exc.details()}") from exc
    except (grpc.RpcError, asyncio.InvalidStateError) as exc:
        raise PeerUnreachable("heartbeat stream broke") from exc
    except asyncio.CancelledError as exc:
        if is_cancelled():
            raise
        raise PeerUnreachable("heartbeat stream closed") from exc


def is_cancelled() -> bool:
    """Tell a cancelled task from a call that gRPC itself has cancelled."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
