"""Receives the requests of one connection within limits, without a socket.

`httptools` gathers a header's name and value without a limit, and reads empty lines,
chunk extensions and trailers without telling of them. So the bytes are passed to it in
slices, and those of a message that has not advanced to its next part are counted.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import httptools

from monsoongap.transport.receive_budget import Cause

# What is counted may exceed a limit by one slice.
SLICE_BYTES = 16_384
# What callers may not count as headers: the request line, and for each header a colon,
# a space and a line end.
HEAD_MARGIN_BYTES = 1024
HEADER_MARGIN_BYTES = 4
# A one-byte chunk has five bytes of overhead; some clients pad the size with zeros.
OVERHEAD_PER_BODY_BYTE = 12
# Memory of one header beside its text: two strings and an entry of a dictionary.
HEADER_COST_BYTES = 200
# Memory of a request beside its text.
REQUEST_COST_BYTES = 600


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits of one request and of the time to receive it.

    A body may take `idle_s`, and longer for what has arrived at `min_bytes_per_s`.
    """

    head_bytes: int = 16_384
    body_bytes: int = 262_144
    head_s: float = 3.0
    idle_s: float = 15.0
    min_bytes_per_s: int = 4096


class RequestRefused(Exception):
    """The data that was received exceeds a limit, or cannot be read."""

    def __init__(self, cause: Cause, reason: str = "") -> None:
        super().__init__(reason or cause.value)
        self.cause = cause


@dataclass(slots=True)
class ReceivedRequest:
    """A request that is complete, or being received; `held_bytes` is its memory."""

    method: str = ""
    url: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    head_bytes: int = 0
    header_count: int = 0
    keeps_alive: bool = True

    @property
    def held_bytes(self) -> int:
        """Return about how much memory the request takes."""
        if not self.head_bytes:
            return 0
        cost = REQUEST_COST_BYTES + self.header_count * HEADER_COST_BYTES
        return self.head_bytes + cost + len(self.body)


class RequestReceiver:
    """Turns bytes into requests; raises `RequestRefused` once, after those before.

    It parses no further than the next complete request, and keeps what follows as it
    came; `unread_bytes` tells how much that is.
    """

    def __init__(self, limits: Callable[[], RequestLimits]) -> None:
        self._limits = limits
        self._parser = httptools.HttpRequestParser(self)
        self._incoming = ReceivedRequest()
        self._complete: deque[ReceivedRequest] = deque()
        self._unread = b""
        self._offset = 0
        # Bytes of the current part, head or body, in slices that lie within it.
        self._part_bytes = 0
        self._has_begun = False
        self._in_body = False
        self._is_part_new = False
        self._announced_bytes: int | None = None
        self._error: RequestRefused | None = None
        # Set until the connection has asked for the body.
        self.wants_continue = False
        self.completed = 0

    @property
    def unread_bytes(self) -> int:
        """Bytes that wait behind a complete request."""
        return len(self._unread) - self._offset

    @property
    def is_idle(self) -> bool:
        """Whether nothing is held."""
        return not (self._has_begun or self._unread or self._complete)

    @property
    def in_head(self) -> bool:
        """Whether a part of a head has been received."""
        return self._has_begun and not self._in_body

    @property
    def in_body(self) -> bool:
        """Whether a head is complete and its body is not."""
        return self._in_body

    @property
    def body_bytes(self) -> int:
        """Bytes of the unfinished body that have been received."""
        return len(self._incoming.body)

    @property
    def held_bytes(self) -> int:
        """Return about how much memory the unfinished data takes."""
        if self.is_idle:
            return 0
        held = self._incoming.held_bytes + len(self._unread) - self._offset
        if not self._in_body:
            held += self._part_bytes
        for req in self._complete:
            held += req.held_bytes
        return held

    @property
    def left_bytes(self) -> int:
        """Return what the unfinished message may still bring, in bytes."""
        if not self._in_body:
            return self._limits().head_bytes if self.in_head else 0
        total = self._announced_bytes
        if total is None:
            total = self._limits().body_bytes
        return max(total - len(self._incoming.body), 1)

    def add(self, data: bytes) -> None:
        """Take received bytes."""
        if self._error is not None:
            return
        self._unread = self._unread[self._offset :] + data if self._unread else data
        self._offset = 0

    def next(self) -> ReceivedRequest | None:
        """Return the next complete request, or None; raises `RequestRefused`."""
        while not self._complete and self._unread and self._error is None:
            self._feed_slice()
        if self._complete:
            return self._complete.popleft()
        if self._error is not None:
            raise self._error
        return None

    def discard(self) -> None:
        """Drop everything that was received, and ignore what follows."""
        self._complete.clear()
        self._fail(Cause.MALFORMED, "discarded")

    def _feed_slice(self) -> None:
        end = self._offset + SLICE_BYTES
        if not self._offset and end >= len(self._unread):
            part: bytes | memoryview = self._unread
        else:
            part = memoryview(self._unread)[self._offset : end]
        size = len(part)
        self._is_part_new = False
        try:
            self._parser.feed_data(part)
        except httptools.HttpParserUpgrade:
            # No upgrade is offered: the request is answered and the connection closed.
            if self._complete:
                self._complete[-1].keeps_alive = False
            self._fail(Cause.MALFORMED, "upgrade")
            return
        except httptools.HttpParserError as exc:
            self._fail(Cause.MALFORMED, repr(exc.__context__ or exc))
            return
        if self._error is not None:
            return
        self._offset = end
        if end >= len(self._unread):
            self._unread, self._offset = b"", 0
        if self._is_part_new:
            self._part_bytes = 0
        else:
            self._part_bytes += size
            self._check_part()

    def _check_part(self) -> None:
        limits = self._limits()
        allowed = limits.head_bytes + HEAD_MARGIN_BYTES
        allowed += self._incoming.header_count * HEADER_MARGIN_BYTES
        if self._in_body:
            allowed += (1 + OVERHEAD_PER_BODY_BYTE) * len(self._incoming.body)
            cause = Cause.BODY_OVERHEAD
        else:
            cause = Cause.HEAD_SIZE if self._has_begun else Cause.EMPTY_LINES
        is_large = not self._in_body and self._incoming.head_bytes > limits.head_bytes
        if self._part_bytes > allowed or is_large:
            self._fail(cause)

    def _fail(self, cause: Cause, reason: str = "") -> None:
        if self._error is None:
            self._error = RequestRefused(cause, reason)
        self._incoming = ReceivedRequest()
        self._unread, self._offset, self._part_bytes = b"", 0, 0
        self._has_begun = self._in_body = self.wants_continue = False

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._incoming = ReceivedRequest()
        self._has_begun = True

    def on_url(self, url: bytes) -> None:
        """Store part of the target."""
        if self._error is None:
            self._incoming.url += url
            self._incoming.head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; a repeated one is joined by commas. Trailers are ignored."""
        if self._error is not None or self._in_body:
            return
        incoming = self._incoming
        incoming.head_bytes += len(name) + len(value)
        incoming.header_count += 1
        key, text = name.decode("latin-1").lower(), value.decode("latin-1")
        known = incoming.headers.get(key)
        incoming.headers[key] = text if known is None else f"{known},{text}"

    def on_headers_complete(self) -> None:
        """Refuse a head that is too large, or a body that is announced so."""
        if self._error is not None:
            return
        self._in_body = self._is_part_new = True
        headers = self._incoming.headers
        limits = self._limits()
        if self._incoming.head_bytes > limits.head_bytes:
            self._fail(Cause.HEAD_SIZE)
            return
        announced = headers.get("content-length")
        # The parser has checked that it is a number.
        self._announced_bytes = int(announced) if announced else None
        if (self._announced_bytes or 0) > limits.body_bytes:
            self._fail(Cause.BODY_SIZE)
        elif headers.get("expect", "").lower() == "100-continue":
            self.wants_continue = True

    def on_body(self, body: bytes) -> None:
        """Store part of the body."""
        if self._error is not None:
            return
        self._incoming.body += body
        if len(self._incoming.body) > self._limits().body_bytes:
            self._fail(Cause.BODY_SIZE)

    def on_message_complete(self) -> None:
        """Queue a complete request."""
        if self._error is not None:
            return
        incoming, self._incoming = self._incoming, ReceivedRequest()
        incoming.method = self._parser.get_method().decode("latin-1")
        incoming.keeps_alive = self._parser.should_keep_alive()
        self._complete.append(incoming)
        self.completed += 1
        self._has_begun = self._in_body = self.wants_continue = False
        self._is_part_new = True
        self._announced_bytes = None
