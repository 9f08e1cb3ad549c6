"""Property tests of the receiving state machine: every stream is bounded."""

import itertools
from collections.abc import Iterator

from hypothesis import given
from hypothesis import strategies as st

from monsoongap.transport.receive_budget import Cause
from monsoongap.transport.request_receiver import (
    HEAD_MARGIN_BYTES,
    SLICE_BYTES,
    RequestLimits,
    RequestReceiver,
    RequestRefused,
)

LIMITS = RequestLimits(head_bytes=512, body_bytes=2000)
MAX_BLOCK_BYTES = 50_000
# The shortest header has 4 bytes and costs 200, the shortest request 16 and 600.
MOST_PER_BYTE = 1 + 200 / 4 + 600 / 16
MAX_HELD_BYTES = (
    MAX_BLOCK_BYTES
    + LIMITS.body_bytes
    + (LIMITS.head_bytes + HEAD_MARGIN_BYTES + SLICE_BYTES) * MOST_PER_BYTE
)
Request = tuple[str, bytes, tuple[tuple[str, str], ...], bytes]

NAMES = st.from_regex(r"[A-Za-z]{1,9}", fullmatch=True)
VALUES = st.from_regex(r"[a-z0-9]{0,20}", fullmatch=True)


@st.composite
def valid_requests(draw: st.DrawFn) -> tuple[bytes, Request]:
    """Return the bytes of a request within the limits, and the request."""
    path = b"/" + draw(VALUES).encode()
    names = draw(st.lists(NAMES, max_size=4, unique_by=str.lower))
    headers = {f"X-{name}": draw(VALUES) for name in names}
    body = draw(st.binary(max_size=LIMITS.body_bytes))
    if draw(st.booleans()):
        headers["Transfer-Encoding"] = "chunked"
        size = draw(st.integers(1, 300))
        chunks = [body[i : i + size] for i in range(0, len(body), size)]
        sent = b"".join(b"%x;e=1\r\n%b\r\n" % (len(c), c) for c in chunks)
        sent += b"0\r\n" + draw(st.sampled_from([b"", b"X-Trailer: t\r\n"])) + b"\r\n"
    else:
        headers["Content-Length"] = str(len(body))
        sent = body
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    start = b"\r\n" * draw(st.integers(0, 2)) + b"POST " + path + b" HTTP/1.1\r\n"
    kept = tuple((name.lower(), value) for name, value in headers.items())
    return start + lines.encode() + b"\r\n" + sent, ("POST", path, kept, body)


def receive(blocks: Iterator[bytes]) -> tuple[list[Request], Cause | None]:
    """Return the requests and the cause of a refusal; check what is held."""
    receiver = RequestReceiver(lambda: LIMITS)
    found: list[Request] = []
    try:
        for block in blocks:
            receiver.add(block)
            assert receiver.held_bytes <= MAX_HELD_BYTES
            while req := receiver.next():
                items = tuple(req.headers.items())
                found.append((req.method, req.url, items, bytes(req.body)))
                assert receiver.held_bytes <= MAX_HELD_BYTES
            assert receiver.held_bytes <= MAX_HELD_BYTES
    except RequestRefused as exc:
        assert receiver.held_bytes == 0
        return found, exc.cause
    return found, None


def split(data: bytes, cuts: list[int]) -> Iterator[bytes]:
    """Yield `data` in blocks that end at `cuts`, and of at most a read's size."""
    places = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts)})
    for start, end in itertools.pairwise(places):
        for i in range(start, end, MAX_BLOCK_BYTES):
            yield data[i : min(i + MAX_BLOCK_BYTES, end)]


CUTS = st.lists(st.integers(0, 1 << 20), max_size=30)


# A request within the limits was refused or changed, depending on how it was split.
@given(st.lists(valid_requests(), max_size=6), CUTS)
def test_valid_requests_are_received_however_they_are_split(
    requests: list[tuple[bytes, Request]], cuts: list[int]
) -> None:
    stream = b"".join(sent for sent, _ in requests)
    assert receive(split(stream, cuts)) == ([req for _, req in requests], None)


# A damaged stream gave other requests when it was split, or data without a bound.
@given(
    st.lists(valid_requests(), min_size=1, max_size=3),
    st.integers(0, 1 << 16),
    st.integers(0, 3),
    st.one_of(
        st.binary(max_size=40),
        st.builds(
            lambda unit, count: unit * count,
            st.sampled_from([b"x", b"\r\n", b"a:\r\n", b"1\r\nx\r\n", b"\x00"]),
            st.integers(0, 30_000),
        ),
    ),
    CUTS,
    CUTS,
)
def test_invalid_streams_give_the_same_requests_or_a_refusal(
    requests: list[tuple[bytes, Request]],
    place: int,
    lost: int,
    inserted: bytes,
    cuts: list[int],
    other_cuts: list[int],
) -> None:
    stream = b"".join(sent for sent, _ in requests)
    place %= len(stream)
    stream = stream[:place] + inserted + stream[place + lost :]
    first, cause = receive(split(stream, cuts))
    second, other_cause = receive(split(stream, other_cuts))
    common = min(len(first), len(second))
    assert first[:common] == second[:common]
    assert len(first) == common or other_cause is not None
    assert len(second) == common or cause is not None


HEAD = b"POST /x HTTP/1.1\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    Cause.EMPTY_LINES: ((b"", b"\r\n"),),
    Cause.HEAD_SIZE: (
        (HEAD + b"X: ", b"v"),
        (HEAD, b"n"),
        (HEAD, b"a: \r\n"),
        (HEAD + b"X:", b" "),
        (b"POST /", b"u"),
    ),
    Cause.BODY_SIZE: (
        (CHUNKED, b"1\r\nx\r\n"),
        (CHUNKED, b"200\r\n" + b"x" * 512 + b"\r\n"),
        (HEAD + b"Content-Length: 2001\r\n\r\n", b"x"),
    ),
    Cause.BODY_OVERHEAD: (
        (CHUNKED + b"1;", b"e"),
        (CHUNKED, b"0000001;eeeeeeeeeeeeeeee\r\nx\r\n"),
        (CHUNKED + b"0\r\nT: ", b"t"),
        (CHUNKED + b"0\r\n", b"a: b\r\n"),
    ),
}


# Each was read without end, and most of it kept.
@given(
    st.sampled_from([(c, *p) for c, pairs in ENDLESS.items() for p in pairs]),
    st.integers(1, MAX_BLOCK_BYTES),
)
def test_what_has_no_end_is_refused(
    endless: tuple[Cause, bytes, bytes], block_bytes: int
) -> None:
    cause, start, unit = endless
    stream = start + unit * (100_000 // len(unit))
    blocks = (stream[i : i + block_bytes] for i in range(0, len(stream), block_bytes))
    assert receive(blocks) == ([], cause)
