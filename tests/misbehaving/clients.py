"""The misbehaving clients: what each kind sends, on how many connections.

Each kind sends a bounded amount of data, and stops early if its connection is closed.
The connections that are left open stay open until the end of the test.
"""

import asyncio
import contextlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from monsoongap.util.addresses import split_address

BLOCK_BYTES = 262_144
MB = 1_000_000
# A client whose data is not read gives up sending after this time.
SEND_TIMEOUT_S = 15.0
# Connections that are opened at the same time; the listener's backlog is limited.
OPENED_AT_ONCE = 100

REQUEST_LINE = b"POST /scan/00000000000000aa HTTP/1.1\r\nHost: site\r\n"
CHUNKED_HEAD = REQUEST_LINE + b"Transfer-Encoding: chunked\r\n\r\n"
CALL_HEAD = (
    b"POST /SubmitCall HTTP/1.1\r\nHost: site\r\nTransfer-Encoding: chunked\r\n\r\n"
)

Parts = Iterator[bytes]


def repeated(unit: bytes, total_bytes: int) -> Parts:
    """Yield about `total_bytes` of one unit, in blocks."""
    per_block = max(1, BLOCK_BYTES // len(unit))
    block = unit * per_block
    for _ in range(max(1, total_bytes // len(block))):
        yield block


def head_value_without_end() -> Parts:
    """Send a header value of 50 MB."""
    yield REQUEST_LINE + b"X-Long: "
    yield from repeated(b"v", 50 * MB)


def head_name_without_end() -> Parts:
    """Send a header name of 50 MB."""
    yield REQUEST_LINE
    yield from repeated(b"n", 50 * MB)


def empty_lines() -> Parts:
    """Send 50 MB of empty lines before a request."""
    yield from repeated(b"\r\n", 50 * MB)


def chunk_extension() -> Parts:
    """Send a chunk whose extension has 50 MB."""
    yield CHUNKED_HEAD + b"1;extension="
    yield from repeated(b"e", 50 * MB)


def unfinished_large_chunks() -> Parts:
    """Send a body of 250 kB, in chunks of 25 kB, without its last chunk."""
    yield CHUNKED_HEAD
    for _ in range(10):
        yield b"61a8\r\n" + b"x" * 25_000 + b"\r\n"


def unfinished_small_chunks() -> Parts:
    """Send a body of 60 kB, in chunks of 8 bytes, without its last chunk."""
    yield CHUNKED_HEAD
    yield b"8\r\nxxxxxxxx\r\n" * 7500


def unfinished_small_chunks_of_a_call() -> Parts:
    """Send a call between hosts with 4 MB in chunks of 2 bytes, without its end."""
    yield CALL_HEAD
    yield from repeated(b"2\r\nxx\r\n", 14 * MB)


def announced_body() -> Parts:
    """Announce a body of 1 GB and send 15 MB of it."""
    yield REQUEST_LINE + b"Content-Length: 1000000000\r\n\r\n"
    yield from repeated(b"x", 15 * MB)


def sent_body() -> Parts:
    """Send a chunked body of 30 MB."""
    yield CHUNKED_HEAD
    yield from repeated(b"10000\r\n" + b"x" * 65_536 + b"\r\n", 30 * MB)


def nothing() -> Parts:
    """Send nothing."""
    yield from ()


def part_of_a_head() -> Parts:
    """Send the beginning of a head."""
    yield REQUEST_LINE


@dataclass(frozen=True, slots=True)
class Flood:
    """One kind of connection: how many, what each sends, and to which server."""

    connections: int
    parts: Callable[[], Parts]
    to_hosts: bool = False


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of misbehaving client, and the limits of the configuration for it."""

    name: str
    floods: tuple[Flood, ...]
    header_bytes: int = 4096
    body_bytes: int = 65_536


KINDS = (
    Kind("head-value-without-end", (Flood(4, head_value_without_end),)),
    Kind("head-name-without-end", (Flood(4, head_name_without_end),)),
    Kind("empty-lines-without-end", (Flood(4, empty_lines),)),
    Kind("chunk-extension-without-end", (Flood(4, chunk_extension),)),
    Kind(
        "unfinished-bodies-in-large-chunks",
        (Flood(900, unfinished_large_chunks),),
        body_bytes=262_144,
    ),
    Kind(
        "unfinished-bodies-in-small-chunks",
        (
            Flood(300, unfinished_small_chunks),
            Flood(3, unfinished_small_chunks_of_a_call, to_hosts=True),
        ),
    ),
    Kind("large-bodies-announced", (Flood(20, announced_body),)),
    Kind("large-bodies-sent", (Flood(20, sent_body),)),
    Kind(
        "idle-and-half-open-connections",
        (Flood(1500, nothing), Flood(1500, part_of_a_head)),
    ),
)


@dataclass(slots=True)
class Clients:
    """Opens connections, sends on them, and keeps them open until `close`."""

    _writers: list[asyncio.StreamWriter] = field(default_factory=list)
    _gate: asyncio.Semaphore = field(
        default_factory=lambda: asyncio.Semaphore(OPENED_AT_ONCE)
    )

    async def play(self, kind: Kind, callers: str, hosts: str) -> None:
        """Send what a kind of client sends; return when every client has stopped."""
        await asyncio.gather(
            *(
                self._send(hosts if flood.to_hosts else callers, flood.parts())
                for flood in kind.floods
                for _ in range(flood.connections)
            )
        )

    async def _send(self, address: str, parts: Parts) -> None:
        ip, port = split_address(address)
        with contextlib.suppress(OSError, TimeoutError):
            async with self._gate, asyncio.timeout(SEND_TIMEOUT_S):
                _, writer = await asyncio.open_connection(ip, port)
            self._writers.append(writer)
            async with asyncio.timeout(SEND_TIMEOUT_S):
                for part in parts:
                    writer.write(part)
                    await writer.drain()

    def close(self) -> None:
        """Close all connections."""
        for writer in self._writers:
            writer.transport.abort()
