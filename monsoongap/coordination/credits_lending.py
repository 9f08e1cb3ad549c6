"""Lending of idle credits between the entry hosts of a data centre.

One task per peer sends at most one call at a time. A call carries what this host
gives back, what it wants and, where the two books may differ, all that it holds;
the reply carries credits. A host that wants and gets nothing is remembered
by the peer, which calls back as soon as it has credits to spare, so nobody polls
in a tight loop and there is no call per task.

A loan is a lease: its holder counts the lease from before it sent the call, the
lender from when it got it, so the lender's end is never the earlier one.
"""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from monsoongap.coordination.credits_book import CreditBook
from monsoongap.coordination.parts import HostIdentity
from monsoongap.coordination.ports import PeerPort
from monsoongap.errors import DispatchError, PeerUnreachable
from monsoongap.protocol.peer import PeerHandlers, PeerMethod
from monsoongap.settings import PlacementSection
from monsoongap.timers import TimerService

log = logging.getLogger(__name__)

CALL_TIMEOUT_S = 0.5
CALL_GAP_S = 0.004
ASK_AGAIN_S = 0.05
WANT_KEPT_S = 0.15
IDLE_BEFORE_RETURN_S = 0.05
RENEW_AFTER = 0.4


@dataclass(frozen=True, slots=True)
class WorkerCredits:
    """A number of credits on one worker."""

    worker: str
    count: int


@dataclass(frozen=True, slots=True)
class Wants:
    """How many credits a host could use: for short jobs, and for the rest."""

    urgent: int = 0
    normal: int = 0


@dataclass(frozen=True, slots=True)
class CreditCall:
    """What one host tells a peer about credits.

    `serial` grows within a boot; the peer ignores a call that was overtaken.
    `held` is present when the caller's whole holding is to replace the peer's
    record of it. `spare` invites the peer to ask.
    """

    holder: str
    boot: int
    serial: int
    wants: Wants
    spare: int
    returned: tuple[WorkerCredits, ...] = ()
    held: tuple[WorkerCredits, ...] | None = None


@dataclass(frozen=True, slots=True)
class CreditReply:
    """What the peer answers.

    `returned` are credits of the caller's own, `lent` the peer's. All loans to the
    caller run `lease_ms` from when it sent the call; 0 when the call was ignored.
    """

    lease_ms: int
    spare: int
    wants: Wants = Wants()
    returned: tuple[WorkerCredits, ...] = ()
    lent: tuple[WorkerCredits, ...] = ()


EXCHANGE = PeerMethod("credits.exchange", CreditCall, CreditReply)


@dataclass(slots=True)
class _Loans:
    """What one peer holds of this host's credits, and what it still wants."""

    boot: int
    serial: int = 0
    until: float = 0.0
    resyncs: int = 0
    wants: Wants = Wants()
    wants_until: float = 0.0


@dataclass(slots=True)
class _Link:
    """This host's side of the talk with one peer.

    `returning` are credits of the peer that are no longer used and not yet
    returned.
    """

    task: asyncio.Task[None] | None
    wake: asyncio.Event
    spare: int = 0
    asked_at: float = -1.0
    asked: Wants = Wants()
    sent_at: float = 0.0
    resync: bool = False
    returning: Counter[str] = field(default_factory=Counter)


@dataclass(frozen=True, slots=True)
class Need:
    """What the scheduler wants and could spare right now."""

    wants: Wants
    spare: Wants


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
        self._loans: dict[str, _Loans] = {}
        self._lent: dict[str, Counter[str]] = {}
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
            loans = self._loans.get(name)
            if loans is not None and not wanted and self._may_give(loans, need, now):
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
        for name, loans in list(self._loans.items()):
            if now >= loans.until and self._lent.get(name):
                log.warning("credit loan expired", extra={"peer": name})
                self._book.unlend(self._lent.pop(name))

    def heed_recalls(self, now: float) -> None:
        """Stop using credits whose owner has urgent work waiting itself."""
        for name in self._book.lease_ends:
            loans, link = self._loans.get(name), self._links.get(name)
            if loans is None or link is None or now >= loans.wants_until:
                continue
            wanted = loans.wants.urgent - link.returning.total()
            if wanted <= 0:
                continue
            dropped = self._book.drop_idle(name, wanted)
            if dropped:
                link.returning.update(dropped)
                link.wake.set()

    def kept_for_peers(self, now: float) -> int:
        """Return how many urgent credits peers were promised a call about."""
        return sum(
            loans.wants.urgent
            for loans in self._loans.values()
            if now < loans.wants_until
        )

    def lent(self) -> dict[str, int]:
        """Return how many credits each peer holds."""
        return {name: lent.total() for name, lent in self._lent.items()}

    def _should_ask(self, link: _Link, need: Need, now: float) -> bool:
        wants = need.wants
        if not wants.urgent and not wants.normal:
            return False
        if link.spare > 0 or now - link.asked_at >= ASK_AGAIN_S:
            return True
        return wants.urgent > 0 and link.asked.urgent == 0

    def _may_give(self, loans: _Loans, need: Need, now: float) -> bool:
        if now >= loans.wants_until:
            return False
        return min(loans.wants.urgent, need.spare.urgent) > 0 or (
            min(loans.wants.normal, need.spare.normal) > 0
        )

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
        loans = self._loans.get(name)
        resyncs = loans.resyncs if loans is not None else 0
        self.calls += 1
        reply = await self._peers.call(name, EXCHANGE, call, CALL_TIMEOUT_S)
        link.spare = reply.spare
        if not reply.lease_ms:
            link.resync = True
            return
        if call.held is not None:
            link.resync = False
        loans = self._loans.get(name)
        if loans is not None:
            loans.wants = reply.wants
            loans.wants_until = now + WANT_KEPT_S if sum_wants(reply.wants) else 0.0
        if reply.returned and loans is not None and loans.resyncs == resyncs:
            self._take_back(name, _counter(reply.returned))
        lent = _counter(reply.lent)
        self.borrowed += lent.total()
        if lent or name in self._book.lease_ends:
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
        return CreditCall(
            holder=self._identity.name,
            boot=self._identity.boot,
            serial=self._serial,
            wants=need.wants,
            spare=need.spare.urgent,
            returned=_listed(returned),
            held=_listed(self._book.held(name)) if full else None,
        )

    async def _handle(self, call: CreditCall) -> CreditReply:
        now = self._timers.now()
        loans = self._loans.get(call.holder)
        if loans is None or call.boot > loans.boot:
            loans = self._loans[call.holder] = self._new_holder(call, loans, now)
        if call.boot < loans.boot or call.serial <= loans.serial:
            return CreditReply(0, 0)
        loans.serial = call.serial
        self._settle_returns(call, loans)
        self._renew(call, loans, now)
        self._heed_invitation(call, now)
        need = self._need()
        count = min(call.wants.urgent, need.spare.urgent)
        count = max(count, min(sum_wants(call.wants), need.spare.normal))
        returned, lent = self._book.lend(call.holder, count)
        self._lent.setdefault(call.holder, Counter()).update(lent)
        rest = sum_wants(call.wants) - returned.total() - lent.total()
        loans.wants = Wants(max(0, call.wants.urgent - count), max(0, rest))
        loans.wants_until = now + WANT_KEPT_S if rest > 0 else 0.0
        self._changed()
        return CreditReply(
            lease_ms=int(self._cfg.credit_lease_s * 1000),
            spare=max(0, need.spare.urgent - count),
            wants=need.wants,
            returned=_listed(returned),
            lent=_listed(lent),
        )

    def _new_holder(
        self, call: CreditCall, before: _Loans | None, now: float
    ) -> _Loans:
        """Start a record; what a former boot held stays lent until it expires."""
        if before is not None and self._lent.get(call.holder):
            former = f"{call.holder}#{before.boot}"
            self._lent[former] = self._lent.pop(call.holder)
            self._loans[former] = before
            before.wants_until = 0.0
        return _Loans(call.boot, until=now + self._cfg.credit_lease_s)

    def _settle_returns(self, call: CreditCall, loans: _Loans) -> None:
        lent = self._lent.setdefault(call.holder, Counter())
        if call.held is not None:
            loans.resyncs += 1
            freed = lent - _counter(call.held)
        else:
            freed = lent & _counter(call.returned)
        self._take_back(call.holder, freed)

    def _take_back(self, holder: str, credits: Counter[str]) -> None:
        lent = self._lent.get(holder, Counter())
        freed = lent & credits
        lent.subtract(freed)
        self._lent[holder] = +lent
        if freed:
            self._book.unlend(freed)

    def _renew(self, call: CreditCall, loans: _Loans, now: float) -> None:
        loans.until = now + self._cfg.credit_lease_s

    def _heed_invitation(self, call: CreditCall, now: float) -> None:
        link = self._links.get(call.holder)
        if link is None:
            return
        link.spare = call.spare
        if call.spare and sum_wants(self._need().wants):
            link.wake.set()

    async def _give_all_back(self, name: str, link: _Link) -> None:
        if not self._book.held(name):
            return
        self._serial += 1
        call = CreditCall(
            self._identity.name, self._identity.boot, self._serial, Wants(), 0, held=()
        )
        await self._peers.call(name, EXCHANGE, call, CALL_TIMEOUT_S)


def sum_wants(wants: Wants) -> int:
    """Return all wanted credits."""
    return wants.urgent + wants.normal


def _counter(credits: tuple[WorkerCredits, ...]) -> Counter[str]:
    return Counter({entry.worker: entry.count for entry in credits})


def _listed(credits: Counter[str]) -> tuple[WorkerCredits, ...]:
    return tuple(WorkerCredits(name, count) for name, count in credits.items())
