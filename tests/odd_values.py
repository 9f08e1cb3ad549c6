"""Generated input for the boundaries: valid messages with one part made odd."""

import json
from typing import Any

import msgspec
from hypothesis import strategies as st

DEEP = 50_000
# Raw JSON, as no encoder of ours writes it.
ODD_JSON = (
    "[" * DEEP + "]" * DEEP,
    '{"a":' * DEEP + "1" + "}" * DEEP,
    "[" * DEEP,
    "1" + "0" * 30,
    "9" * 5000,
    "-1" + "0" * 30,
    "1e400",
    "-1e300",
    "18446744073709551615",
    "9223372036854775807",
    "-9223372036854775808",
    "4294967296",
    "65536",
    "-1",
    "0",
    "1.5",
    "true",
    "null",
    "[]",
    "{}",
    '""',
    '"\\u0000"',
    '"\\ud800"',
    '"a\\r\\nX-Odd: 1"',
    '"' + "x" * 100_000 + '"',
    '"127.0.0.1:99999"',
    '"no-such-host.invalid:80"',
    '"\\u0663:\\u0663"',
    "NaN",
    "",
)
ODD_MSGPACK = (
    b"\x91" * DEEP,
    b"\x81\xa1a" * DEEP,
    msgspec.msgpack.encode(2**64 - 1),
    msgspec.msgpack.encode(-(2**63)),
    msgspec.msgpack.encode(2**53 + 1),
    msgspec.msgpack.encode(-1),
    msgspec.msgpack.encode(float("nan")),
    msgspec.msgpack.encode(float("inf")),
    msgspec.msgpack.encode("x" * 100_000),
    msgspec.msgpack.encode(None),
    b"\xc1",
    b"\xa5\xff\xff\xff\xff\xff",
    b"\xdd\xff\xff\xff\xff",
    b"",
)
_MARK = "odd-part"


def paths(value: Any) -> list[tuple[Any, ...]]:
    """Return the path of every part of a message, the whole included."""
    found: list[tuple[Any, ...]] = [()]
    parts: Any = ()
    if isinstance(value, dict):
        parts = value.items()
    elif isinstance(value, list):
        parts = enumerate(value)
    for key, part in parts:
        found += [(key, *path) for path in paths(part)]
    return found


def _replaced(value: Any, path: tuple[Any, ...], by: Any) -> Any:
    if not path:
        return by
    copied = dict(value) if isinstance(value, dict) else list(value)
    copied[path[0]] = _replaced(value[path[0]], path[1:], by)
    return copied


@st.composite
def odd_json(draw: st.DrawFn, valid: Any) -> bytes:
    """Draw a message in JSON, a part of which is odd; or arbitrary bytes."""
    if draw(st.integers(0, 9)) == 0:
        return draw(st.binary(max_size=200))
    path = draw(st.sampled_from(paths(valid)))
    odd = draw(st.sampled_from(ODD_JSON))
    return json.dumps(_replaced(valid, path, _MARK)).replace(f'"{_MARK}"', odd).encode()


@st.composite
def odd_msgpack(draw: st.DrawFn, valid: Any) -> bytes:
    """Draw a message in MessagePack, a part of which is odd; or arbitrary bytes."""
    if draw(st.integers(0, 9)) == 0:
        return draw(st.binary(max_size=200))
    plain = msgspec.msgpack.decode(msgspec.msgpack.encode(valid))
    path = draw(st.sampled_from(paths(plain)))
    odd = draw(st.sampled_from(ODD_MSGPACK))
    marked = msgspec.msgpack.encode(_replaced(plain, path, _MARK))
    return marked.replace(msgspec.msgpack.encode(_MARK), odd)
