"""Asks every known host until when it may have granted leases in an acquired share.

An owner that does not know which runners earlier owners used waits until every lease
that they granted has lapsed. Without further knowledge it counts that time from its own
claim. After a loss of power no host has owned the share since it started, so once every
known host has said so, the time counts from the latest start instead.

A reply is given after its host has taken note of the new claim, so that the host cannot
have owned the share between its reply and the claim. One that does not reply, because
it is down, cut off, paused or of an earlier version, leaves the count as it was.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from monsoongap.coordination.members import Members
from monsoongap.coordination.ownership import CLAIM_HEARD_S, Ownership
from monsoongap.coordination.pool import Pool
from monsoongap.coordination.ports import PeerCallFailed, PeerCallPort
from monsoongap.protocol.messages import Claim, UnownedCall, UnownedReply
from monsoongap.timers import MS_PER_S, TimerService
from monsoongap.util.background import BackgroundTasks

log = logging.getLogger(__name__)

# A host that started a moment ago answers its first calls late.
CALL_TIMEOUT_S = 0.3
RETRY_S = 0.1
# An owner that holds all runners of the previous one needs only its first polls.
FIRST_WAIT_S = 0.02

# At most so many hosts without an answer are named in one log line.
MAX_SILENT_LOGGED = 4


@dataclass(frozen=True, slots=True)
class _Answer:
    """Until when a host may have owned runners of a claim, by its answer."""

    asked_at: float
    unowned_since: float


@dataclass(slots=True)
class PriorOwnerCounts:
    """Counts of the questions to other hosts, for the metrics."""

    asked: int = 0
    unanswered: int = 0
    confirmed: int = 0


@dataclass(slots=True)
class PriorOwners:
    """Sends and answers `UnownedCall`: when a host last owned the runners of a claim.

    `on_confirmed` is called when the in-doubt period of a share became shorter.
    """

    members: Members
    ownership: Ownership
    pool: Pool
    timers: TimerService
    peers: PeerCallPort
    on_confirmed: Callable[[], None] = lambda: None
    counts: PriorOwnerCounts = field(default_factory=PriorOwnerCounts)
    _background: BackgroundTasks = field(default_factory=BackgroundTasks)

    def acquired(self, claim: Claim) -> None:
        """Ask all other hosts while runners of a newly acquired share are in doubt."""
        self._background.spawn(self._ask_while_in_doubt(claim), "prior-owners")

    def close(self) -> None:
        """Cancel all questions."""
        self._background.cancel_all()

    def answer(self, call: UnownedCall) -> UnownedReply:
        """Return for how long this host has owned no runner of another host's claim."""
        self.ownership.yield_to_claim(call.claim)
        since = self.pool.coverage.unowned_since(call.claim)
        return UnownedReply(int((self.timers.now() - since) * MS_PER_S))

    async def _ask_while_in_doubt(self, claim: Claim) -> None:
        await self.timers.sleep(FIRST_WAIT_S)
        answers: dict[str, _Answer] = {}
        is_logged = False
        while self._is_current(claim) and self.pool.is_in_doubt(claim):
            missing = sorted(self._addresses() - answers.keys())
            found = await asyncio.gather(*(self._ask(a, claim) for a in missing))
            answers |= {a: v for a, v in zip(missing, found, strict=True) if v}
            # An answer is out of date if an earlier owner showed itself since, or if
            # its host may have acquired the share since.
            oldest = max(
                self.timers.now() - CLAIM_HEARD_S,
                self.pool.coverage.in_doubt_since(claim),
            )
            answers = {a: v for a, v in answers.items() if v.asked_at >= oldest}
            if self.members.lists_all_hosts and self._addresses() <= answers.keys():
                self._confirm(claim, list(answers.values()))
                return
            if not is_logged:
                is_logged = True
                self._log_unconfirmed(claim, missing, found)
            await self.timers.sleep(RETRY_S)

    def _log_unconfirmed(
        self, claim: Claim, asked: list[str], found: list[_Answer | None]
    ) -> None:
        silent = [a for a, v in zip(asked, found, strict=True) if v is None]
        log.info(
            "not all hosts told when they owned the share; asking again",
            extra={
                "dc": claim.share.dc,
                "share": claim.share.index,
                "asked": len(asked),
                "silent": silent[:MAX_SILENT_LOGGED] or None,
                "hosts_listed": self.members.lists_all_hosts,
            },
        )

    def _addresses(self) -> set[str]:
        """Return the addresses of all other hosts; seeds have placeholder names."""
        return {peer.address for peer in self.members.all()}

    def _confirm(self, claim: Claim, answers: list[_Answer]) -> None:
        asked_at = min((v.asked_at for v in answers), default=self.timers.now())
        since = max((v.unowned_since for v in answers), default=0.0)
        if not self.pool.confirm_unowned(claim, asked_at, since):
            return
        self.counts.confirmed += 1
        log.info(
            "no host owned the share lately; counting leases from then",
            extra={
                "dc": claim.share.dc,
                "share": claim.share.index,
                "unowned_ms": round((self.timers.now() - since) * MS_PER_S),
            },
        )
        self.on_confirmed()

    async def _ask(self, address: str, claim: Claim) -> _Answer | None:
        """Ask a host; return None if it does not reply."""
        self.counts.asked += 1
        asked_at = self.timers.now()
        try:
            reply: UnownedReply = await self.peers.call(
                address, UnownedCall(claim), UnownedReply, CALL_TIMEOUT_S, fresh=True
            )
        except PeerCallFailed:
            self.counts.unanswered += 1
            return None
        # The reply's transit time counts as time in which the host may have owned it.
        since = self.timers.now() - reply.unowned_ms / MS_PER_S
        return _Answer(asked_at, since)

    def _is_current(self, claim: Claim) -> bool:
        return self.ownership.claims.get(claim.share) == claim
