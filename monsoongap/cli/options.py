"""Options that every subcommand takes alike."""

from pathlib import Path
from typing import Annotated

import typer

from monsoongap.cli.client import Endpoint, read_token

ENTRY_VARIABLE = "MONSOONGAP_ENTRY"
DEFAULT_ENTRY = "http://127.0.0.1:8080"

EntryOption = Annotated[
    str,
    typer.Option(
        "--entry", envvar=ENTRY_VARIABLE, help="URL of any entry host.", metavar="URL"
    ),
]
TokenOption = Annotated[
    Path | None,
    typer.Option(
        "--token-file",
        help="File with the token; else MONSOONGAP_TOKEN.",
        metavar="FILE",
    ),
]
CaOption = Annotated[
    str | None,
    typer.Option("--ca", help="CA certificate (PEM) for https.", metavar="FILE"),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]


def endpoint(entry: str, token_file: Path | None, ca: str | None) -> Endpoint:
    """Return where and as whom to call; raises `UserError`."""
    return Endpoint(entry, read_token(token_file), ca)
