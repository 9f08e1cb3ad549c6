"""HTTP client of the command line: sends one request and decodes its reply."""

import asyncio
from http import HTTPStatus
from typing import Annotated, Any, TypeVar

import msgspec
import typer

from monsoongap.errors import UserError
from monsoongap.transport.http_client import HttpClient
from monsoongap.transport.http_conn import (
    ExchangeLost,
    HttpReply,
    HttpRequest,
    NotConnected,
)

ReplyT = TypeVar("ReplyT")

EXIT_UNREACHABLE = 3
TIMEOUT_S = 10.0

EntryOption = Annotated[
    str,
    typer.Option(
        "--entry",
        envvar="MONSOONGAP_ENTRY",
        help="Address of any entry host's operator interface.",
        metavar="IP:PORT",
    ),
]
DEFAULT_ENTRY = "127.0.0.1:9464"
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]


class Unreachable(UserError):
    """No reply came from the entry host; the request may have taken effect."""

    exit_code = EXIT_UNREACHABLE


def call(
    entry: str,
    method: str,
    path: str,
    reply_type: type[ReplyT],
    body: Any = None,
    timeout_s: float = TIMEOUT_S,
) -> ReplyT:
    """Send one request and decode the body of its reply, whatever the status.

    Raises `Unreachable` if no reply comes, and `UserError` if the body is not of
    `reply_type`.
    """
    data = b"" if body is None else msgspec.json.encode(body)
    reply = _exchange(entry, HttpRequest(method, path, data), timeout_s)
    try:
        return msgspec.json.decode(reply.body, type=reply_type)
    except msgspec.MsgspecError as exc:
        raise UserError(f"{entry} sent an unexpected reply: {exc}") from exc


def fetch(entry: str, path: str) -> bytes:
    """Return the body of a reply; raises `Unreachable`, `UserError` if not found."""
    reply = _exchange(entry, HttpRequest("GET", path), TIMEOUT_S)
    if reply.status != HTTPStatus.OK:
        raise UserError(f"{entry}{path}: status {reply.status}")
    return reply.body


def _exchange(entry: str, req: HttpRequest, timeout_s: float) -> HttpReply:
    async def exchange() -> HttpReply:
        http = HttpClient()
        try:
            return await http.exchange(entry, req, timeout_s)
        finally:
            http.close()

    try:
        return asyncio.run(exchange())
    except (NotConnected, ExchangeLost) as exc:
        raise Unreachable(f"no reply from the entry host: {exc}") from exc
