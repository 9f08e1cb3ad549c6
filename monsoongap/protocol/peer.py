"""Typed calls between entry hosts and the registry of their handlers.

A part that talks to its counterpart on other hosts declares a `PeerMethod` with
frozen data classes as request and reply, and registers a handler. Bodies travel
as MessagePack inside the generated gRPC messages.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

import msgspec

from monsoongap.errors import DispatchError, ErrorKind

RequestT = TypeVar("RequestT")
ReplyT = TypeVar("ReplyT")


@dataclass(frozen=True, slots=True)
class PeerMethod(Generic[RequestT, ReplyT]):
    """Name and message types of one call between entry hosts."""

    name: str
    request: type[RequestT]
    reply: type[ReplyT]


@dataclass(frozen=True, slots=True)
class _Registered:
    method: PeerMethod[Any, Any]
    handle: Callable[[Any], Awaitable[Any]]


def encode(body: Any) -> bytes:
    """Encode a message data class as MessagePack."""
    return msgspec.msgpack.encode(body)


def decode(data: bytes, kind: type[Any]) -> Any:
    """Decode MessagePack into `kind`; raises `msgspec.DecodeError`."""
    return msgspec.msgpack.decode(data, type=kind)


class PeerHandlers:
    """The handlers that this host offers to its peers."""

    def __init__(self) -> None:
        self._handlers: dict[str, _Registered] = {}

    def register(
        self,
        method: PeerMethod[RequestT, ReplyT],
        handle: Callable[[RequestT], Awaitable[ReplyT]],
    ) -> None:
        """Offer `handle` to peers under the method's name."""
        self._handlers[method.name] = _Registered(method, handle)

    async def dispatch(self, name: str, body: bytes) -> bytes:
        """Decode a call, run its handler and encode the reply.

        Raises `DispatchError` for an unknown method or a malformed body.
        """
        registered = self._handlers.get(name)
        if registered is None:
            raise DispatchError(ErrorKind.BAD_REQUEST, f"no peer method {name!r}")
        try:
            request = decode(body, registered.method.request)
        except msgspec.MsgspecError as exc:
            raise DispatchError(ErrorKind.BAD_REQUEST, f"{name}: {exc}") from exc
        return encode(await registered.handle(request))
