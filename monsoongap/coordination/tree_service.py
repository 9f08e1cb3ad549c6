"""What operators may ask of the settings tree: typed requests, no sockets."""

import time
from dataclasses import dataclass

from monsoongap.coordination.tokens import Tokens
from monsoongap.coordination.tree import SettingsTree
from monsoongap.errors import DispatchError, ErrorKind
from monsoongap.protocol.tree import (
    ROOT,
    Change,
    ChangeRequest,
    Decision,
    DiffReply,
    HistoryReply,
    ListReply,
    StatusReply,
    SubtreeReply,
    SubtreeSummary,
    ValidateReply,
    Verdict,
)

NS_PER_MS = 1_000_000


@dataclass(frozen=True, slots=True)
class ConfigRequest:
    """Who asks about which subtree."""

    subtree: str
    token: str | None


class ConfigService:
    """Checks the operator's token, then asks the tree.

    Every method raises `DispatchError` from the closed list.
    """

    def __init__(self, tree: SettingsTree, tokens: Tokens) -> None:
        self._tree = tree
        self._tokens = tokens

    async def subtrees(self, token: str | None) -> ListReply:
        """Return the name and revision of every subtree."""
        self._tokens.check_reader(ROOT, token)
        held = self._tree.view().subtrees
        return ListReply(
            tuple(
                SubtreeSummary(name, item.revision, item.author, item.at_ms)
                for name, item in sorted(held.items())
            )
        )

    async def get(self, req: ConfigRequest) -> SubtreeReply:
        """Return one subtree: what is set and what is in force."""
        self._tokens.check_reader(req.subtree, req.token)
        return SubtreeReply(
            subtree=self._tree.get(req.subtree),
            in_force=self._tree.in_force(req.subtree),
            offset=self._tree.view().offset,
        )

    async def set(self, req: ConfigRequest, body: ChangeRequest) -> Verdict:
        """Propose a change and return the verdict of an accepted one.

        A rejected one raises `stale_revision` or `bad_request`; its verdict, with
        the values that differ, is in the history.
        """
        verdict = await self._tree.propose(self._change(req, body))
        match verdict.decision:
            case Decision.ACCEPTED:
                return verdict
            case Decision.STALE:
                raise DispatchError(ErrorKind.STALE_REVISION, _describe_winner(verdict))
            case Decision.INVALID:
                raise DispatchError(ErrorKind.BAD_REQUEST, "; ".join(verdict.faults))
            case Decision.FULL:
                raise DispatchError(ErrorKind.BAD_REQUEST, "too many subtrees")

    async def validate(self, req: ConfigRequest, body: ChangeRequest) -> ValidateReply:
        """Return every fault that a change would be rejected for now."""
        faults = self._tree.faults(self._change(req, body))
        revision = self._tree.get(req.subtree).revision
        if body.base != revision:
            stale = f"made against revision {body.base}, now at {revision}"
            faults = (*faults, stale)
        return ValidateReply(faults, revision)

    async def diff(self, req: ConfigRequest, base: int) -> DiffReply:
        """Return what changed in a subtree since a revision."""
        self._tokens.check_reader(req.subtree, req.token)
        differences = self._tree.diff(req.subtree, base)
        revision = self._tree.get(req.subtree).revision
        return DiffReply(req.subtree, base, revision, differences)

    async def history(self, req: ConfigRequest) -> HistoryReply:
        """Return the remembered verdicts of a subtree, oldest first."""
        self._tokens.check_reader(req.subtree, req.token)
        return HistoryReply(self._tree.history(req.subtree))

    async def status(self, req: ConfigRequest) -> StatusReply:
        """Return which revision of a subtree each host has, and since when."""
        self._tokens.check_reader(req.subtree, req.token)
        return StatusReply(req.subtree, await self._tree.status(req.subtree))

    def _change(self, req: ConfigRequest, body: ChangeRequest) -> Change:
        return Change(
            id=body.change,
            author=self._tokens.check_operator(req.subtree, req.token),
            subtree=req.subtree,
            base=body.base,
            set=body.set,
            unset=body.unset,
            at_ms=time.time_ns() // NS_PER_MS,
        )


def _describe_winner(verdict: Verdict) -> str:
    winner = verdict.winner or "nobody"
    return (
        f"{verdict.subtree} is at revision {verdict.revision}, last changed by {winner}"
    )
