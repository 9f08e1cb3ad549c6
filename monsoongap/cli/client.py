"""How the command line talks to an entry host: one request, one typed reply."""

import asyncio
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from monsoongap.errors import UserError
from monsoongap.protocol.messages import JobError

ReplyT = TypeVar("ReplyT")

EXIT_REJECTED = 1
EXIT_UNREACHABLE = 3

REQUEST_TIMEOUT_S = 10.0
TOKEN_VARIABLE = "MONSOONGAP_TOKEN"  # noqa: S105


class Unreachable(UserError):
    """The entry host did not answer; what was asked may have taken effect."""

    exit_code = EXIT_UNREACHABLE


class Rejected(UserError):
    """The entry host answered with an error of the closed list."""

    exit_code = EXIT_REJECTED

    def __init__(self, error: JobError) -> None:
        super().__init__(f"{error.error} ({error.outcome}): {error.detail}")
        self.error = error


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An entry host's URL, the operator's token and a CA file, if any."""

    url: str
    token: str | None = None
    ca: str | None = None

    async def call(
        self,
        method: str,
        path: str,
        reply: type[ReplyT],
        body: Any = None,
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> ReplyT:
        """Send one request and decode its reply.

        Raises `Unreachable` or `Rejected`.
        """
        headers = {"Content-Type": "application/json"}
        if self.token:
            headers["Authorization"] = f"Bearer {self.token}"
        request = HTTPRequest(
            self.url.rstrip("/") + path,
            method=method,
            headers=headers,
            body=None if body is None else msgspec.json.encode(body),
            allow_nonstandard_methods=True,
            connect_timeout=REQUEST_TIMEOUT_S,
            request_timeout=timeout_s,
            ca_certs=self.ca,
        )
        try:
            answer = await AsyncHTTPClient().fetch(request, raise_error=False)
        except (HTTPClientError, OSError) as exc:
            raise Unreachable(f"{self.url} does not answer: {exc}") from exc
        return _decode(self.url, answer.code, answer.body, reply)


def _decode(url: str, status: int, body: bytes, kind: type[ReplyT]) -> ReplyT:
    if status == 599:
        raise Unreachable(f"{url} does not answer")
    try:
        if status >= 400:
            raise Rejected(msgspec.json.decode(body, type=JobError))
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as exc:
        raise UserError(f"{url} answered something else than expected: {exc}") from exc


def read_token(token_file: Path | None) -> str | None:
    """Return the token from a file or the environment, or None."""
    if token_file is None:
        return os.environ.get(TOKEN_VARIABLE)
    try:
        return token_file.read_text(encoding="utf-8").strip()
    except OSError as exc:
        raise UserError(f"cannot read the token file: {exc}") from exc


def call(endpoint: Endpoint, method: str, path: str, reply: type[ReplyT]) -> ReplyT:
    """Run one call to its end, outside any event loop."""
    return asyncio.run(endpoint.call(method, path, reply))
