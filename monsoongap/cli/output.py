"""Printing: tables for people, JSON for tools."""

import dataclasses
from collections.abc import Iterable
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table


def print_json(body: Any) -> None:
    """Print a data class as one JSON document."""
    text = msgspec.json.format(msgspec.json.encode(body), indent=2)
    print(text.decode())


def print_rows(title: str, kind: type[Any], rows: Iterable[Any]) -> None:
    """Print data classes of one kind as a table with their fields as columns."""
    table = Table(title=title)
    names = [field.name for field in dataclasses.fields(kind)]
    for name in names:
        table.add_column(name.replace("_", " "))
    for row in rows:
        cells = (getattr(row, name) for name in names)
        table.add_row(*("" if cell is None else str(cell) for cell in cells))
    Console().print(table)


def print_reply(
    as_json: bool, body: Any, title: str, kind: type[Any], rows: Iterable[Any]
) -> None:
    """Print a reply whole as JSON for tools, or its rows as a table for people."""
    if as_json:
        print_json(body)
    else:
        print_rows(title, kind, rows)
