"""Lending of idle credits between the entry hosts of a data centre.

One task per peer sends at most one call at a time. A call carries what this host
wants, gives back and lends and, from time to time, all that it holds, which puts
right what lost messages left different in the two books. A host that wants and
gets nothing is remembered by the peer, which lends by a call of its own as soon as
it can, so nobody polls in a tight loop and there is no call per task.

A loan is a lease: its holder counts the lease from before it sent its latest call
that the lender had heard, the lender from when it heard that call, so the lender's
end is never the earlier one.
"""

import asyncio
import logging
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from monsoongap.coordination.credits_book import CreditBook
from monsoongap.coordination.credits_loans import LoanBook
from monsoongap.coordination.credits_messages import (
    EXCHANGE,
    CreditCall,
    CreditReply,
    Need,
    Wants,
    counted,
    listed,
)
from monsoongap.coordination.parts import HostIdentity
from monsoongap.coordination.ports import PeerPort
from monsoongap.errors import DispatchError, PeerUnreachable
from monsoongap.protocol.peer import PeerHandlers
from monsoongap.settings import PlacementSection
from monsoongap.timers import TimerService

log = logging.getLogger(__name__)

CALL_TIMEOUT_S = 0.5
CALL_GAP_S = 0.003
ASK_AGAIN_S = 0.05
ASK_NORMAL_AGAIN_S = 0.2
LACK_KEPT_S = 0.3
IDLE_BEFORE_RETURN_S = 0.05
RENEW_AFTER = 0.4
CALLS_REMEMBERED = 8


def _recent_calls() -> deque[tuple[int, float]]:
    return deque(maxlen=CALLS_REMEMBERED)


@dataclass(slots=True)
class _Link:
    """This host's side of the talk with one peer.

    `returning` are credits of the peer that are no longer used and not yet
    returned.
    """

    task: asyncio.Task[None] | None
    wake: asyncio.Event
    spare: int = 0
    lacks: int = 0
    heard_at: float = 0.0
    asked_at: float = -1.0
    asked: Wants = Wants()
    sent_at: float = 0.0
    sent: deque[tuple[int, float]] = field(default_factory=_recent_calls)
    resync: bool = False
    returning: Counter[str] = field(default_factory=Counter)


class Lending:
    """Borrows for this host's queues and lends what they leave idle."""

    def __init__(
        self,
        cfg: PlacementSection,
        identity: HostIdentity,
        book: CreditBook,
        peers: PeerPort,
        handlers: PeerHandlers,
        timers: TimerService,
        need: Callable[[], Need],
        changed: Callable[[], None],
    ) -> None:
        self._cfg = cfg
        self._identity = identity
        self._book = book
        self._peers = peers
        self._timers = timers
        self._need = need
        self._changed = changed
        self._links: dict[str, _Link] = {}
        self._loans = LoanBook(book, cfg.credit_lease_s)
        self._serial = 0
        self._idle_since = 0.0
        self.calls = 0
        self.borrowed = 0
        handlers.register(EXCHANGE, self._handle)

    def follow(self, peers: set[str]) -> None:
        """Talk with exactly these peers."""
        for name in peers - self._links.keys():
            link = _Link(None, asyncio.Event())
            link.task = asyncio.create_task(self._talk(name, link), name=f"lend:{name}")
            self._links[name] = link
        for name in self._links.keys() - peers:
            task = self._links.pop(name).task
            if task is not None:
                task.cancel()

    async def close(self) -> None:
        """Give every borrowed credit back and stop talking."""
        links = list(self._links.items())
        self.follow(set())
        gifts = [self._give_all_back(name, link) for name, link in links]
        await asyncio.gather(*gifts, return_exceptions=True)

    def review(self, now: float) -> None:
        """Wake the talks that have something to say; called after each placing."""
        need = self._need()
        wanted = need.wants.urgent + need.wants.normal
        if wanted or self._book.busy and not self._book.free:
            self._idle_since = now
        for name, link in self._links.items():
            if self._should_ask(link, need, now):
                link.wake.set()
            if self._loans.may_give(name, need, now):
                link.wake.set()
            until = self._book.lease_ends.get(name)
            if until is None:
                continue
            renew_s = RENEW_AFTER * self._cfg.credit_lease_s
            if now - link.sent_at > renew_s or self._is_idle(now, need):
                link.wake.set()

    def expire(self, now: float) -> None:
        """Take back loans whose lease ended, and drop lapsed borrowed credits."""
        self._book.lapse(now)
        self._loans.expire(now)

    def heed_recalls(self, now: float) -> None:
        """Stop using credits whose owner has urgent work waiting itself."""
        for name in self._book.lease_ends:
            loans, link = self._loans.of(name), self._links.get(name)
            if loans is None or link is None or now >= loans.wants_until:
                continue
            wanted = loans.wants.urgent - link.returning.total()
            if wanted <= 0:
                continue
            dropped = self._book.drop_idle(name, wanted)
            if dropped:
                link.returning.update(dropped)
                link.wake.set()

    def return_idle(self) -> None:
        """Give back the borrowed credits that no task uses, for a host that leaves."""
        for name in self._book.lease_ends:
            link = self._links.get(name)
            if link is None:
                continue
            dropped = self._book.drop_idle(name, self._book.pool)
            if dropped:
                link.returning.update(dropped)
                link.wake.set()

    def kept_for_peers(self, now: float) -> int:
        """Return how many free credits are kept for peers' short jobs."""
        return self._loans.urgent_wants(now)

    def lacked_by_peers(self, now: float) -> int:
        """Return this host's part of what peers are short of their reserves.

        Free slots are kept for short jobs in the data centre as a whole, wherever
        the free slots happen to be.
        """
        lacks = sum(
            link.lacks
            for link in self._links.values()
            if now - link.heard_at < LACK_KEPT_S
        )
        return -(-lacks // max(1, len(self._links)))

    def _should_ask(self, link: _Link, need: Need, now: float) -> bool:
        wants = need.wants
        since_s = now - link.asked_at
        if wants.urgent and (link.spare > 0 or not link.asked.urgent):
            return True
        if wants.urgent or (wants.normal and link.spare > 0):
            return since_s >= ASK_AGAIN_S
        return wants.normal > 0 and since_s >= ASK_NORMAL_AGAIN_S

    def _is_idle(self, now: float, need: Need) -> bool:
        if need.wants.urgent or need.wants.normal:
            return False
        return now - self._idle_since > IDLE_BEFORE_RETURN_S and any(
            account.borrowed_free(lender)
            for lender in self._book.lease_ends
            for account in self._book.accounts.values()
            if account.borrowed
        )

    async def _talk(self, name: str, link: _Link) -> None:
        """Send calls to one peer, one at a time, for as long as it is followed."""
        while True:
            await link.wake.wait()
            link.wake.clear()
            try:
                await self._exchange(name, link)
            except (PeerUnreachable, DispatchError) as exc:
                link.resync = True
                link.spare = 0
                log.debug(
                    "credit call failed", extra={"peer": name, "reason": str(exc)}
                )
            await self._timers.sleep(CALL_GAP_S)

    async def _exchange(self, name: str, link: _Link) -> None:
        now = self._timers.now()
        need = self._need()
        call = self._build_call(name, link, need, now)
        loans = self._loans.of(name)
        resyncs = loans.resyncs if loans is not None else 0
        self.calls += 1
        reply = await self._peers.call(name, EXCHANGE, call, CALL_TIMEOUT_S)
        link.spare, link.lacks = reply.spare, reply.lacks
        link.heard_at = self._timers.now()
        if not reply.lease_ms:
            link.resync = True
            return
        if call.held is not None:
            link.resync = False
        loans = self._loans.of(name)
        if loans is not None:
            loans.want(reply.wants, now)
        if reply.returned and loans is not None and loans.resyncs == resyncs:
            self._loans.take_back(name, counted(reply.returned))
        lent = counted(reply.lent)
        self.borrowed += lent.total()
        self._book.borrow(name, lent, now + reply.lease_ms / 1000.0)
        self._changed()

    def _build_call(self, name: str, link: _Link, need: Need, now: float) -> CreditCall:
        returned, link.returning = link.returning, Counter()
        if self._is_idle(now, need):
            returned.update(self._book.drop_idle(name, self._book.pool))
        renew_s = RENEW_AFTER * self._cfg.credit_lease_s
        full = link.resync or now - link.sent_at > renew_s
        link.sent_at = link.asked_at = now
        link.asked = need.wants
        self._serial += 1
        link.sent.append((self._serial, now))
        lent = self._push(name, need, now, returned)
        return CreditCall(
            holder=self._identity.name,
            boot=self._identity.boot,
            serial=self._serial,
            heard=self._heard(name),
            wants=need.wants,
            spare=need.spare.urgent,
            lacks=need.lacks,
            returned=listed(returned),
            lent=listed(lent),
            held=listed(self._book.held(name)) if full else None,
        )

    def _push(
        self, name: str, need: Need, now: float, returned: Counter[str]
    ) -> Counter[str]:
        """Lend to a peer that waits for credits, with the call that is being built.

        Adds what it gets back of its own to `returned`.
        """
        count = self._loans.may_give(name, need, now)
        if not count:
            return Counter()
        own, lent = self._loans.lend(name, count)
        returned.update(own)
        loans = self._loans.of(name)
        if loans is not None:
            loans.pushed = self._serial
        return lent

    async def _handle(self, call: CreditCall) -> CreditReply:
        now = self._timers.now()
        if self._loans.hear(call, now) is None:
            return CreditReply(0, 0)
        self._take_loan(call)
        need = self._need()
        count = self._loans.may_give(call.holder, need, now)
        returned, lent = self._loans.lend(call.holder, count)
        self._heed_spare(call, need)
        self._changed()
        return CreditReply(
            lease_ms=int(self._cfg.credit_lease_s * 1000),
            spare=max(0, need.spare.urgent - count),
            lacks=need.lacks,
            wants=need.wants,
            returned=listed(returned),
            lent=listed(lent),
        )

    def _take_loan(self, call: CreditCall) -> None:
        """Take credits lent by a call; the lease counts from what it had heard."""
        link = self._links.get(call.holder)
        if not call.lent or link is None:
            return
        sent_at = dict(link.sent).get(call.heard)
        if sent_at is None:
            link.resync = True
            return
        lent = counted(call.lent)
        self.borrowed += lent.total()
        until = sent_at + self._cfg.credit_lease_s
        until = max(until, self._book.lease_ends.get(call.holder, 0.0))
        self._book.borrow(call.holder, lent, until)

    def _heed_spare(self, call: CreditCall, need: Need) -> None:
        link = self._links.get(call.holder)
        if link is None:
            return
        link.spare, link.lacks = call.spare, call.lacks
        link.heard_at = self._timers.now()
        if call.spare and need.wants.urgent:
            link.wake.set()

    def _heard(self, name: str) -> int:
        loans = self._loans.of(name)
        return loans.serial if loans is not None else 0

    async def _give_all_back(self, name: str, link: _Link) -> None:
        if not self._book.held(name):
            return
        self._serial += 1
        call = CreditCall(
            holder=self._identity.name,
            boot=self._identity.boot,
            serial=self._serial,
            heard=self._heard(name),
            wants=Wants(),
            spare=0,
            held=(),
        )
        await self._peers.call(name, EXCHANGE, call, CALL_TIMEOUT_S)
