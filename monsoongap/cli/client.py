"""HTTP client of the command line: sends one request and decodes its reply."""

import asyncio
from typing import Annotated, Any, TypeVar

import msgspec
import typer

from monsoongap.errors import UserError
from monsoongap.transport.http_client import HttpClient
from monsoongap.transport.http_conn import ExchangeLost, HttpRequest, NotConnected

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
    req = HttpRequest(method, path, data)

    async def exchange() -> bytes:
        http = HttpClient()
        try:
            return (await http.exchange(entry, req, timeout_s)).body
        finally:
            http.close()

    try:
        return msgspec.json.decode(asyncio.run(exchange()), type=reply_type)
    except (NotConnected, ExchangeLost) as exc:
        raise Unreachable(f"no reply from the entry host: {exc}") from exc
    except msgspec.MsgspecError as exc:
        raise UserError(f"{entry} sent an unexpected reply: {exc}") from exc
