"""Passes over the tests that `KNOWN-RED.txt` lists, and prints them.

A listed test still runs; one that passes again fails the run, so that its entry is
removed. Each entry starts with a line `test: <node id>`.
"""

from collections.abc import Iterator
from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
ENTRY = "test:"


def known_red() -> Iterator[str]:
    """Yield the node ids that are listed."""
    if not KNOWN_RED.exists():
        return
    for line in KNOWN_RED.read_text().splitlines():
        if line.startswith(ENTRY):
            yield line.removeprefix(ENTRY).strip()


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected to fail."""
    listed = set(known_red())
    for item in items:
        if item.nodeid in listed:
            reason = "listed in KNOWN-RED.txt"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print what is passed over."""
    for name in known_red():
        terminalreporter.write_line(f"known red, passed over: {name}")
