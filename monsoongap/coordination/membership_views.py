"""Agreeing with peers on who is there.

A heartbeat carries a hash over the hosts that answer its sender in the sender's
data centre. Where the hash differs for two looks in a row, the hosts behind it are
fetched once; so a change costs each host at most one call per peer.
"""

import logging
from collections.abc import Awaitable, Callable

from monsoongap.coordination.heartbeats import PeerLink
from monsoongap.coordination.membership_messages import (
    MEMBERS,
    Heartbeat,
    Members,
    MembersRequest,
)
from monsoongap.coordination.membership_peers import Peers
from monsoongap.coordination.parts import DrainState
from monsoongap.errors import DispatchError, PeerUnreachable
from monsoongap.protocol.peer import PeerHandlers

log = logging.getLogger(__name__)

CALL_TIMEOUT_S = 1.0


class MemberViews:
    """Compares the views of peers with what is known here."""

    def __init__(
        self,
        peers: Peers,
        link: PeerLink,
        handlers: PeerHandlers,
        drain: DrainState,
        is_local: Callable[[str], bool],
    ) -> None:
        self._peers = peers
        self._link = link
        self._drain = drain
        self._is_local = is_local
        self._heard: dict[str, bytes] = {}
        self._differing: dict[str, bytes] = {}
        self._fetched: dict[str, bytes] = {}
        handlers.register(MEMBERS, self._on_members)

    def own_hash(self) -> bytes:
        """Return the hash that this host's heartbeats carry."""
        return self._peers.answering_hash(self._drain.draining)

    def hear(self, beat: Heartbeat) -> None:
        """Note the hash of a peer."""
        self._heard[beat.sender] = beat.members

    def to_fetch(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the fetches that are due, one per peer that differs."""
        own = self.own_hash()
        reachable = self._peers.reachable()
        self._forget_others(frozenset(reachable))
        differing: dict[str, bytes] = {}
        due: list[str] = []
        for host in reachable:
            theirs = self._heard.get(host, b"")
            same = self._is_local(host) and theirs == own
            if same or theirs == self._fetched.get(host):
                continue
            if self._differing.get(host) == theirs:
                due.append(host)
            else:
                differing[host] = theirs
        self._differing = differing
        return [self._fetch_from(host) for host in due]

    def _fetch_from(self, host: str) -> Callable[[], Awaitable[None]]:
        wanted = self._heard.get(host, b"")

        async def fetch() -> None:
            try:
                members = await self._link.call(
                    host, MEMBERS, MembersRequest(), CALL_TIMEOUT_S
                )
            except (PeerUnreachable, DispatchError) as exc:
                extra = {"peer": host, "reason": str(exc)}
                log.debug("members not fetched", extra=extra)
                return
            self._fetched[host] = wanted
            self._peers.learn_members(host, members)

        return fetch

    def _forget_others(self, hosts: frozenset[str]) -> None:
        for known in (self._heard, self._fetched):
            for host in known.keys() - hosts:
                del known[host]

    async def _on_members(self, _request: MembersRequest) -> Members:
        return self._peers.answering(self._drain.draining)
