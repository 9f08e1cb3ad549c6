"""`monsoongap check`: a look at a configuration before it is sent.

Exit codes: 0 without findings, 1 with findings, 2 if a file cannot be read or is no
configuration, 3 if the entry host does not reply.
"""

from pathlib import Path
from typing import Annotated

import typer

from monsoongap.cli.client import DEFAULT_ENTRY, EntryOption, fetch
from monsoongap.cli.config_findings import Finding, differences, findings
from monsoongap.errors import UserError
from monsoongap.platform import wire
from monsoongap.protocol.decoding import Malformed
from monsoongap.protocol.messages import Configuration
from monsoongap.transport.operators import CONFIG_PATH

RUNNING = "running"
EXIT_FINDINGS = 1


def check(
    config: Annotated[Path, typer.Argument(help="File with the configuration.")],
    against: Annotated[
        str,
        typer.Option(help=f"A file to compare with, or '{RUNNING}'.", metavar="FILE"),
    ] = "",
    entry: EntryOption = DEFAULT_ENTRY,
) -> None:
    """Check a configuration for entries and limits that cannot work as meant."""
    new = _decode(_read(config), str(config))
    found = list(findings(new))
    if against:
        is_running = against == RUNNING
        text = fetch(entry, CONFIG_PATH) if is_running else _read(Path(against))
        old = _decode(text, f"configuration of {entry}" if is_running else against)
        for difference in differences(new, old):
            print(f"changes {difference.place}: {difference.change}")
        if new.version <= old.version:
            reason = f"{new.version} does not replace {old.version}: it is not higher"
            found.append(Finding("version", reason))
    for finding in found:
        print(f"{finding.place}: {finding.text}")
    if found:
        raise typer.Exit(EXIT_FINDINGS)
    print(f"version {new.version}: {len(new.queues)} queues, no findings")


def _read(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as exc:
        raise UserError(f"{path} cannot be read: {exc.strerror}") from exc


def _decode(text: bytes, source: str) -> Configuration:
    try:
        return wire.decode_config(text)
    except Malformed as exc:
        raise UserError(f"{source} is no valid configuration: {exc}") from exc
