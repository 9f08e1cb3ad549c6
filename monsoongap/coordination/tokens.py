"""Checks the tokens of operators per subtree and of callers per team.

Tokens are long random strings, so a plain SHA-256 of them can neither be guessed
nor reversed, and checking one costs microseconds on the callers' path. Every
hash is compared in constant time and none is skipped once one has matched.
"""

import hashlib
import hmac
import logging
import secrets
from collections.abc import Iterable
from dataclasses import dataclass

from monsoongap.coordination.tree import SettingsTree
from monsoongap.errors import DispatchError, ErrorKind
from monsoongap.protocol.tree import ROOT
from monsoongap.settings import TreeSection

log = logging.getLogger(__name__)

TOKEN_BYTES = 32
HASH_PREFIX = "sha256:"
ADMIN = "admin"
LOAD_RETRY_MS = 1_000


def new_token() -> str:
    """Return a fresh random token."""
    return secrets.token_urlsafe(TOKEN_BYTES)


def hash_token(token: str) -> str:
    """Return the hash of a token as the settings hold it."""
    return HASH_PREFIX + hashlib.sha256(token.encode()).hexdigest()


@dataclass(frozen=True, slots=True)
class _Match:
    """The name of the hash that matched, empty when it has none."""

    name: str


class Tokens:
    """Refuses operators and callers whose token does not fit."""

    def __init__(self, cfg: TreeSection, tree: SettingsTree) -> None:
        self._cfg = cfg
        self._tree = tree

    def check_operator(self, subtree: str, token: str | None) -> str:
        """Return the author's name of an operator who may change a subtree.

        The root's operators may change every subtree, a team's operators their
        team's alone. Raises `DispatchError` with `unauthorized` for a missing or
        unknown token and `forbidden` for one of another subtree.
        """
        if token is None:
            raise _refusal(
                ErrorKind.UNAUTHORIZED, "an operator token is needed", subtree
            )
        author = self._operator(subtree, token)
        if author is not None:
            return author
        if self._knows(token):
            detail = f"this token does not hold for {subtree}"
            raise _refusal(ErrorKind.FORBIDDEN, detail, subtree)
        raise _refusal(ErrorKind.UNAUTHORIZED, "unknown operator token", subtree)

    def check_reader(self, subtree: str, token: str | None) -> str:
        """Return the name of an operator who may read a subtree.

        Every operator may read the root, whose bounds hold for all teams.
        """
        if subtree == ROOT and token is not None and self._knows(token):
            return ADMIN
        return self.check_operator(subtree, token)

    def check_caller(self, team: str, token: str | None) -> None:
        """Refuse a caller that may not submit for a team.

        A team without token hashes takes every caller. Raises `DispatchError`
        with `unauthorized`, `forbidden`, or `log_unavailable` while this host does
        not know the tree yet: a team's tokens must not be skipped for that.
        """
        if not self._tree.loaded:
            detail = "the settings are not loaded here yet"
            raise DispatchError(ErrorKind.LOG_UNAVAILABLE, detail, LOAD_RETRY_MS)
        limits = self._tree.limits(team)
        if limits is None:
            raise _refusal(ErrorKind.FORBIDDEN, f"team {team} may not submit", team)
        if not limits.token_hashes:
            return
        if token is None:
            detail = f"team {team} asks for a token"
            raise _refusal(ErrorKind.UNAUTHORIZED, detail, team)
        if _match(token, limits.token_hashes) is None:
            detail = f"this token does not hold for team {team}"
            raise _refusal(ErrorKind.FORBIDDEN, detail, team)

    def _operator(self, subtree: str, token: str) -> str | None:
        if self._is_admin(token):
            return ADMIN
        found = _match(token, self._tree.operator_hashes(subtree))
        if found is None:
            return None
        return found.name or f"an operator of {subtree}"

    def _knows(self, token: str) -> bool:
        if self._is_admin(token):
            return True
        names = (ROOT, *self._tree.view().subtrees)
        held = [value for name in names for value in self._tree.operator_hashes(name)]
        return _match(token, held) is not None

    def _is_admin(self, token: str) -> bool:
        held = self._cfg.admin_token_hash
        return bool(held) and _match(token, (held,)) is not None


def _refusal(kind: ErrorKind, detail: str, where: str) -> DispatchError:
    log.warning("credential refused", extra={"where": where, "reason": detail})
    return DispatchError(kind, detail)


def _match(token: str, held: Iterable[str]) -> _Match | None:
    """Compare a token with every hash; never stops early."""
    wanted = hash_token(token).encode()
    found: _Match | None = None
    for item in held:
        name, _, digest = item.rpartition("=")
        if hmac.compare_digest(wanted, digest.encode()):
            found = _Match(name)
    return found
