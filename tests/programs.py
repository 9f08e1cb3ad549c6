"""Runs a program's `main` in the test's own process."""

import contextlib
import io
from collections.abc import Callable
from dataclasses import dataclass
from unittest import mock


@dataclass(frozen=True)
class ProgramEnd:
    """How a program ended, with all that it printed."""

    exit_code: int
    output: str


def run_main(main: Callable[[], None], *args: str) -> ProgramEnd:
    """Run `main` with a command line of its own."""
    printed = io.StringIO()
    code = 0
    with (
        mock.patch("sys.argv", ["program", *args]),
        contextlib.redirect_stdout(printed),
        contextlib.redirect_stderr(printed),
    ):
        try:
            main()
        except SystemExit as ended:
            code = ended.code if isinstance(ended.code, int) else 0
    return ProgramEnd(code, printed.getvalue())
