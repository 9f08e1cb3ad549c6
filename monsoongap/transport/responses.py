"""Encodes the head of a response, and the responses to data that was refused."""

from collections.abc import Mapping
from http import HTTPStatus

from monsoongap.transport.receive_budget import Cause

_PHRASES = {status.value: status.phrase for status in HTTPStatus}
# A connection that is closed for want of memory or of descriptors gets no response. Its
# request may repeat a job that runs already, so 503, which promises that nothing of the
# job has run, cannot be said. The other refusals do not depend on the host.
_STATUSES = {
    Cause.HEAD_SIZE: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    Cause.EMPTY_LINES: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    Cause.BODY_SIZE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Cause.BODY_OVERHEAD: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Cause.HEAD_TIME: HTTPStatus.REQUEST_TIMEOUT,
    Cause.BODY_TIME: HTTPStatus.REQUEST_TIMEOUT,
    Cause.MALFORMED: HTTPStatus.BAD_REQUEST,
}


def encode_head(
    status: int, headers: Mapping[str, str], size: int, closes: bool
) -> bytes:
    """Return the head of a response whose body has `size` bytes."""
    lines = [f"HTTP/1.1 {status} {_PHRASES.get(status, 'Unknown')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if closes and "Connection" not in headers:
        lines.append("Connection: close")
    lines.append(f"Content-Length: {size}\r\n\r\n")
    return "\r\n".join(lines).encode("latin-1")


def encode_refusal(cause: Cause) -> bytes:
    """Return the response, after which the connection is closed; empty if none."""
    status = _STATUSES.get(cause)
    return encode_head(status.value, {}, 0, closes=True) if status else b""
