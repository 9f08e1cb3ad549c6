"""`monsoongap config`: read and change the settings tree.

Exit codes: 0 done, 1 rejected or faulty, 2 wrong use, 3 no answer from the entry
host (a change sent then may be in force; the message says how to find out).
"""

import asyncio
import sys
from pathlib import Path
from typing import Annotated

import typer

from monsoongap.cli import config_calls
from monsoongap.cli.client import EXIT_REJECTED, Endpoint, Rejected, call
from monsoongap.cli.config_edit import Edit, format_ini, keep_edit, read_edit
from monsoongap.cli.config_view import (
    HistoryRow,
    StatusRow,
    history_rows,
    shown,
    status_rows,
)
from monsoongap.cli.options import (
    DEFAULT_ENTRY,
    CaOption,
    EntryOption,
    JsonOption,
    TokenOption,
    endpoint,
)
from monsoongap.cli.output import print_json, print_reply, print_rows
from monsoongap.coordination.tokens import hash_token, new_token
from monsoongap.errors import ErrorKind
from monsoongap.protocol.tree import (
    ROOT,
    ChangeRequest,
    Difference,
    DiffReply,
    Entry,
    HistoryReply,
    ListReply,
    StatusReply,
    SubtreeReply,
    SubtreeSummary,
    Verdict,
)

app = typer.Typer(help="Read and change the settings tree.", no_args_is_help=True)

SubtreeArgument = Annotated[
    str, typer.Argument(help="root or teams/<team>.", metavar="SUBTREE")
]
PairsArgument = Annotated[
    list[str] | None, typer.Argument(help="Keys to set.", metavar="KEY=VALUE")
]
FileOption = Annotated[
    Path | None,
    typer.Option("--file", help="INI file with the subtree's section."),
]
UnsetOption = Annotated[
    list[str] | None, typer.Option("--unset", help="Key to unset.", metavar="KEY")
]
BaseOption = Annotated[
    int | None,
    typer.Option("--base", min=0, help="Revision the change is made against."),
]


@app.command("list")
def list_subtrees(
    entry: EntryOption = DEFAULT_ENTRY,
    token_file: TokenOption = None,
    ca: CaOption = None,
    as_json: JsonOption = False,
) -> None:
    """List the subtrees with their revisions."""
    reply = call(endpoint(entry, token_file, ca), "GET", "/v1/config", ListReply)
    print_reply(as_json, reply, "subtrees", SubtreeSummary, reply.subtrees)


@app.command()
def get(
    subtree: SubtreeArgument,
    key: Annotated[str | None, typer.Argument(help="One key alone.")] = None,
    in_force: Annotated[
        bool,
        typer.Option("--in-force", help="With defaults and the parent's bounds."),
    ] = False,
    entry: EntryOption = DEFAULT_ENTRY,
    token_file: TokenOption = None,
    ca: CaOption = None,
    as_json: JsonOption = False,
) -> None:
    """Print a subtree as an INI file, ready to be edited and set again.

    With KEY, print the value in force of that key alone.
    """
    where = endpoint(entry, token_file, ca)
    reply = call(where, "GET", config_calls.subtree_path(subtree), SubtreeReply)
    if key is not None:
        _print_key(subtree, key, reply.in_force, as_json)
    elif as_json:
        print_json(reply)
    else:
        entries = reply.in_force if in_force else reply.subtree.values
        print(format_ini(subtree, reply.subtree.revision, entries), end="")


@app.command("set")
def set_keys(
    subtree: SubtreeArgument,
    pairs: PairsArgument = None,
    unset: UnsetOption = None,
    file: FileOption = None,
    replace: Annotated[
        bool, typer.Option("--replace", help="Unset every key that is not named.")
    ] = False,
    base: BaseOption = None,
    change: Annotated[
        str | None,
        typer.Option("--change", help="Change id of an earlier try.", metavar="ID"),
    ] = None,
    entry: EntryOption = DEFAULT_ENTRY,
    token_file: TokenOption = None,
    ca: CaOption = None,
    as_json: JsonOption = False,
) -> None:
    """Set and unset keys of a subtree; done once the change was read back."""
    where = endpoint(entry, token_file, ca)
    edit = read_edit(subtree, pairs or (), unset or (), file, base)
    verdict = asyncio.run(_set(where, subtree, edit, replace, change))
    if as_json:
        print_json(verdict)
    else:
        print(f"{subtree} is at revision {verdict.revision}")
        print_rows("changed", Difference, verdict.differences)


@app.command()
def validate(
    subtree: SubtreeArgument,
    pairs: PairsArgument = None,
    unset: UnsetOption = None,
    file: FileOption = None,
    replace: Annotated[bool, typer.Option("--replace")] = False,
    base: BaseOption = None,
    entry: EntryOption = DEFAULT_ENTRY,
    token_file: TokenOption = None,
    ca: CaOption = None,
    as_json: JsonOption = False,
) -> None:
    """Tell every fault that a change would be rejected for; changes nothing."""
    where = endpoint(entry, token_file, ca)
    edit = read_edit(subtree, pairs or (), unset or (), file, base)

    async def ask() -> tuple[str, ...]:
        body = await config_calls.prepare(where, subtree, edit, replace, None)
        return (await config_calls.validate(where, subtree, body)).faults

    faults = asyncio.run(ask())
    if as_json:
        print_json(faults)
    else:
        print("\n".join(faults) or "no faults")
    if faults:
        raise typer.Exit(EXIT_REJECTED)


@app.command()
def diff(
    subtree: SubtreeArgument,
    base: BaseOption = None,
    file: FileOption = None,
    entry: EntryOption = DEFAULT_ENTRY,
    token_file: TokenOption = None,
    ca: CaOption = None,
    as_json: JsonOption = False,
) -> None:
    """Show what changed since a revision, or what a file would change."""
    where = endpoint(entry, token_file, ca)
    if file is not None:
        held = asyncio.run(config_calls.fetch(where, subtree)).subtree
        edit = read_edit(subtree, (), (), file, None)
        found = _compare(held.values, edit.set)
    else:
        path = f"/v1/config/diff/{subtree}?base={base or 0}"
        found = call(where, "GET", path, DiffReply).differences
    print_reply(as_json, found, f"differences in {subtree}", Difference, found)


@app.command()
def history(
    subtree: SubtreeArgument,
    entry: EntryOption = DEFAULT_ENTRY,
    token_file: TokenOption = None,
    ca: CaOption = None,
    as_json: JsonOption = False,
) -> None:
    """List the latest changes of a subtree, the rejected ones included."""
    where = endpoint(entry, token_file, ca)
    reply = call(where, "GET", f"/v1/config/history/{subtree}", HistoryReply)
    print_reply(
        as_json,
        reply,
        f"history of {subtree}",
        HistoryRow,
        history_rows(reply.verdicts),
    )


@app.command()
def status(
    subtree: Annotated[str, typer.Argument(help="root or teams/<team>.")] = ROOT,
    entry: EntryOption = DEFAULT_ENTRY,
    token_file: TokenOption = None,
    ca: CaOption = None,
    as_json: JsonOption = False,
) -> None:
    """Show which revision of a subtree each host has in force, and since when."""
    where = endpoint(entry, token_file, ca)
    reply = call(where, "GET", f"/v1/config/status/{subtree}", StatusReply)
    print_reply(
        as_json, reply, f"{subtree} on each host", StatusRow, status_rows(reply.hosts)
    )


@app.command()
def token() -> None:
    """Print a fresh token and the hash to put into the settings."""
    fresh = new_token()
    print(f"token {fresh}")
    print(f"hash {hash_token(fresh)}")


async def _set(
    where: Endpoint, subtree: str, edit: Edit, replace: bool, change: str | None
) -> Verdict:
    body = await config_calls.prepare(where, subtree, edit, replace, change)
    try:
        return await config_calls.send(where, subtree, body)
    except Rejected as exc:
        if exc.error.error != ErrorKind.STALE_REVISION:
            raise
        await _report_lost_race(where, subtree, body)
        raise


async def _report_lost_race(where: Endpoint, subtree: str, body: ChangeRequest) -> None:
    """Print who won and what differs, and keep what was typed."""
    verdict = await config_calls.find_verdict(where, subtree, body.change)
    held = (await config_calls.fetch(where, subtree)).subtree
    winner = verdict.winner if verdict else held.author
    revision = verdict.revision if verdict else held.revision
    differences = verdict.differences if verdict else _compare(held.values, body.set)
    command = keep_edit(subtree, body, held.revision, where.url)
    print(f"{winner} changed {subtree} first: revision {revision}", file=sys.stderr)
    for item in differences:
        line = f"  {item.key}: {shown(item.before)} is in force, yours was"
        print(f"{line} {shown(item.after)}", file=sys.stderr)
    print(f"to set yours against revision {held.revision}:", file=sys.stderr)
    print(f"  {command}", file=sys.stderr)


def _print_key(
    subtree: str, key: str, in_force: tuple[Entry, ...], as_json: bool
) -> None:
    values = {entry.key: entry.value for entry in in_force}
    if key not in values:
        allowed = ", ".join(values)
        raise typer.BadParameter(f"{subtree} has no key {key!r}, it has {allowed}")
    print_json(Entry(key, values[key])) if as_json else print(values[key])


def _compare(
    held: tuple[Entry, ...], wanted: tuple[Entry, ...]
) -> tuple[Difference, ...]:
    before = {entry.key: entry.value for entry in held}
    after = {entry.key: entry.value for entry in wanted}
    return tuple(
        Difference(key, before.get(key), after.get(key))
        for key in sorted({*before, *after})
        if before.get(key) != after.get(key)
    )
