"""Output of the commands: tables for people, JSON for tools."""

import dataclasses
from collections.abc import Sequence
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table


def print_json(body: Any) -> None:
    """Print a data class as one JSON document."""
    print(msgspec.json.format(msgspec.json.encode(body), indent=2).decode())


def print_rows(title: str, rows: Sequence[Any]) -> None:
    """Print data classes of one type as a table with a column for each field."""
    if not rows:
        return
    table = Table(title=title, title_justify="left")
    names = [field.name for field in dataclasses.fields(rows[0])]
    for name in names:
        table.add_column(name.replace("_", " "))
    for row in rows:
        cells = (getattr(row, name) for name in names)
        table.add_row(*("" if cell is None else str(cell) for cell in cells))
    Console().print(table)
