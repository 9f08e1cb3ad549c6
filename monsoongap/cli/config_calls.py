"""The settings calls of the command line, with retries that repeat nothing."""

import asyncio
import uuid

from monsoongap.cli.client import Endpoint, Rejected, Unreachable
from monsoongap.cli.config_edit import Edit, replacing
from monsoongap.errors import ErrorKind
from monsoongap.protocol.tree import (
    ChangeRequest,
    HistoryReply,
    SubtreeReply,
    ValidateReply,
    Verdict,
)

ATTEMPTS = 3
RETRY_S = 1.0

# Refusals after which the same change id may be sent again, its fate open.
_TRY_AGAIN = frozenset(
    {ErrorKind.LOG_UNAVAILABLE, ErrorKind.OVERLOADED, ErrorKind.DRAINING}
)


def subtree_path(subtree: str) -> str:
    """Return the path of a subtree on an entry host."""
    return f"/v1/config/subtrees/{subtree}"


async def fetch(where: Endpoint, subtree: str) -> SubtreeReply:
    """Return one subtree."""
    return await where.call("GET", subtree_path(subtree), SubtreeReply)


async def prepare(
    where: Endpoint, subtree: str, edit: Edit, replace: bool, change: str | None
) -> ChangeRequest:
    """Return the change to send, against the current revision unless told."""
    if edit.base is None or replace:
        held = (await fetch(where, subtree)).subtree
        edit = replacing(edit, held) if replace else edit
        base = held.revision if edit.base is None else edit.base
    else:
        base = edit.base
    return ChangeRequest(change or uuid.uuid4().hex, base, edit.set, edit.unset)


async def send(where: Endpoint, subtree: str, body: ChangeRequest) -> Verdict:
    """Send a change; after a lost reply send it again under the same id.

    Raises `Rejected`, or `Unreachable` when its fate is still open at the end.
    """
    for attempt in range(ATTEMPTS):
        if attempt:
            await asyncio.sleep(RETRY_S)
        try:
            return await where.call("PUT", subtree_path(subtree), Verdict, body)
        except Unreachable as exc:
            reason = str(exc)
        except Rejected as exc:
            if exc.error.error not in _TRY_AGAIN:
                raise
            reason = str(exc)
    raise Unreachable(
        f"{reason}; the change may be in force, send it again with"
        f" --change {body.change} --base {body.base}"
    )


async def find_verdict(where: Endpoint, subtree: str, change: str) -> Verdict | None:
    """Return the remembered verdict about a change, or None."""
    reply = await where.call("GET", f"/v1/config/history/{subtree}", HistoryReply)
    found = (item for item in reply.verdicts if item.change == change)
    return next(found, None)


async def validate(where: Endpoint, subtree: str, body: ChangeRequest) -> ValidateReply:
    """Return the faults that a change would be rejected for."""
    path = f"/v1/config/validate/{subtree}"
    return await where.call("POST", path, ValidateReply, body)
