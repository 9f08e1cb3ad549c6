"""Decoding of bytes from outside the process into checked types.

Callers' bodies, entries of other writers, runners' replies, configurations, host cards
and messages of other hosts are all decoded here. The types carry their ranges as
`msgspec.Meta`. What does not fit raises `Malformed` and nothing else: an error of
another type would end the task that reads the input.
"""

import functools
from typing import Annotated, Any, TypeVar, cast

import msgspec
from msgspec import Meta

from monsoongap.util.addresses import ADDRESS_PATTERN, IP_PATTERN

T = TypeVar("T")

# Exact as a floating-point number, so that every JSON library can read it.
MAX_INTEGER = 2**53
# Thousandths of a core, MiB or accelerators of one runner.
MAX_AMOUNT = 1_000_000_000
MAX_TEXT_CHARS = 1024
MAX_DURATION_MS = 86_400_000

Natural = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
Amount = Annotated[int, Meta(ge=0, le=MAX_AMOUNT)]
# A difference of amounts.
Balance = Annotated[int, Meta(ge=-MAX_AMOUNT, le=MAX_AMOUNT)]
Port = Annotated[int, Meta(ge=1, le=65_535)]
Ip = Annotated[str, Meta(pattern=IP_PATTERN, max_length=45)]
Address = Annotated[str, Meta(pattern=ADDRESS_PATTERN)]
Text = Annotated[str, Meta(max_length=MAX_TEXT_CHARS)]
Label = Annotated[str, Meta(max_length=128)]
Labels = Annotated[tuple[Label, ...], Meta(max_length=16)]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,63}\Z")]
JobId = Annotated[str, Meta(pattern=r"^[0-9a-fA-F]{1,16}\Z")]
# Sent in a header.
RunnerId = Annotated[str, Meta(pattern=r"^[!-~]{1,255}\Z")]
Factor = Annotated[float, Meta(ge=0, le=1_000_000)]
DurationMs = Annotated[float, Meta(ge=0, le=MAX_DURATION_MS)]
DurationS = Annotated[float, Meta(ge=0, le=MAX_DURATION_MS / 1000)]


class Malformed(ValueError):
    """Received bytes are not a valid value of the expected type."""


def decode_json(data: bytes, kind: type[T], strict: bool = True) -> T:
    """Decode JSON; raises `Malformed`. Unless `strict`, texts may hold numbers."""
    return cast(T, _decode(_json_decoder(cast(Any, kind), strict), data))


def decode_msgpack(data: bytes, kind: type[T]) -> T:
    """Decode MessagePack; raises `Malformed`."""
    return cast(T, _decode(_msgpack_decoder(cast(Any, kind)), data))


def convert(value: Any, kind: type[T]) -> T:
    """Check a decoded value and convert it; raises `Malformed`."""
    try:
        return msgspec.convert(value, kind)
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        raise Malformed(str(exc)) from exc


def _decode(decoder: Any, data: bytes) -> Any:
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, ValueError, OverflowError, RecursionError) as exc:
        # Deep nesting raises RecursionError, also in fields that are not read.
        raise Malformed(str(exc)) from exc


@functools.cache
def _json_decoder(kind: Any, strict: bool) -> Any:
    return msgspec.json.Decoder(kind, strict=strict)


@functools.cache
def _msgpack_decoder(kind: Any) -> Any:
    return msgspec.msgpack.Decoder(kind)
