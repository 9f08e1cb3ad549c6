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
from monsoongap.coordination.parts import HostIdentity
from monsoongap.coordination.ports import PeerPort
from monsoongap.errors import DispatchError, PeerUnreachable
from monsoongap.protocol.peer import PeerHandlers, PeerMethod
from monsoongap.settings import PlacementSection
from monsoongap.timers import TimerService

log = logging.getLogger(__name__)

CALL_TIMEOUT_S = 0.5
CALL_GAP_S = 0.003
ASK_AGAIN_S = 0.05
ASK_NORMAL_AGAIN_S = 0.2
WANT_KEPT_S = 0.3
LACK_KEPT_S = 0.3
IDLE_BEFORE_RETURN_S = 0.05
RENEW_AFTER = 0.4
CALLS_REMEMBERED = 8


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
    `heard` is the serial of the peer's latest call that this host has processed.
    `lent` are loans whose lease counts from that call. `held` is present when the
    caller's whole holding is to replace the peer's record of it. `spare` is how many
    credits the caller could lend, `lacks` how many it is short of its reserve.
    """

    holder: str
    boot: int
    serial: int
    heard: int
    wants: Wants
    spare: int
    lacks: int = 0
    returned: tuple[WorkerCredits, ...] = ()
    lent: tuple[WorkerCredits, ...] = ()
    held: tuple[WorkerCredits, ...] | None = None


@dataclass(frozen=True, slots=True)
class CreditReply:
    """What the peer answers.

    `returned` are credits of the caller's own, `lent` the peer's. All loans to the
    caller run `lease_ms` from when it sent the call; 0 when the call was ignored.
    """

    lease_ms: int
    spare: int
    lacks: int = 0
    wants: Wants = Wants()
    returned: tuple[WorkerCredits, ...] = ()
    lent: tuple[WorkerCredits, ...] = ()


EXCHANGE = PeerMethod("credits.exchange", CreditCall, CreditReply)


@dataclass(slots=True)
class _Loans:
    """What one peer holds of this host's credits, and what it still wants.

    `pushed` is the serial of this host's latest call that lent credits.
    """

    boot: int
    serial: int = 0
    pushed: int = 0
    until: float = 0.0
    resyncs: int = 0
    wants: Wants = Wants()
    wants_until: float = 0.0


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


@dataclass(frozen=True, slots=True)
class Need:
    """What the scheduler wants, could spare and lacks of its reserve right now."""

    wants: Wants
    spare: Wants
    lacks: int = 0


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
            if self._may_give(name, need, now):
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

    def lent(self) -> dict[str, int]:
        """Return how many credits each peer holds."""
        return {name: lent.total() for name, lent in self._lent.items()}

    def _should_ask(self, link: _Link, need: Need, now: float) -> bool:
        wants = need.wants
        since_s = now - link.asked_at
        if wants.urgent and (link.spare > 0 or not link.asked.urgent):
            return True
        if wants.urgent or (wants.normal and link.spare > 0):
            return since_s >= ASK_AGAIN_S
        return wants.normal > 0 and since_s >= ASK_NORMAL_AGAIN_S

    def _may_give(self, name: str, need: Need, now: float) -> int:
        """Return how many credits a peer that waits for some can have now."""
        loans = self._loans.get(name)
        if loans is None or now >= loans.wants_until:
            return 0
        wants, spare = loans.wants, need.spare
        return max(min(wants.urgent, spare.urgent), min(sum_wants(wants), spare.normal))

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
        link.spare, link.lacks = reply.spare, reply.lacks
        link.heard_at = self._timers.now()
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
        loans = self._loans.get(name)
        return CreditCall(
            holder=self._identity.name,
            boot=self._identity.boot,
            serial=self._serial,
            heard=loans.serial if loans is not None else 0,
            wants=need.wants,
            spare=need.spare.urgent,
            lacks=need.lacks,
            returned=_listed(returned),
            lent=_listed(lent),
            held=_listed(self._book.held(name)) if full else None,
        )

    def _push(
        self, name: str, need: Need, now: float, returned: Counter[str]
    ) -> Counter[str]:
        """Lend to a peer that waits for credits, with the call that is being built.

        Adds what it gets back of its own to `returned`.
        """
        count = self._may_give(name, need, now)
        if not count:
            return Counter()
        own, lent = self._book.lend(name, count)
        returned.update(own)
        loans = self._loans[name]
        loans.pushed = self._serial
        self._note_lent(name, loans, own.total() + lent.total(), lent)
        return lent

    def _note_lent(
        self, name: str, loans: _Loans, count: int, lent: Counter[str]
    ) -> None:
        self._lent.setdefault(name, Counter()).update(lent)
        urgent = max(0, loans.wants.urgent - count)
        normal = max(0, sum_wants(loans.wants) - count - urgent)
        loans.wants = Wants(urgent, normal)

    async def _handle(self, call: CreditCall) -> CreditReply:
        now = self._timers.now()
        loans = self._loans.get(call.holder)
        if loans is None or call.boot > loans.boot:
            loans = self._loans[call.holder] = self._new_holder(call, loans, now)
        if call.boot < loans.boot or call.serial <= loans.serial:
            return CreditReply(0, 0)
        loans.serial = call.serial
        loans.until = now + self._cfg.credit_lease_s
        self._settle_returns(call, loans)
        self._take_loan(call)
        loans.wants = call.wants
        loans.wants_until = now + WANT_KEPT_S if sum_wants(call.wants) else 0.0
        need = self._need()
        count = self._may_give(call.holder, need, now)
        returned, lent = self._book.lend(call.holder, count)
        self._note_lent(call.holder, loans, returned.total() + lent.total(), lent)
        self._heed_spare(call, need)
        self._changed()
        return CreditReply(
            lease_ms=int(self._cfg.credit_lease_s * 1000),
            spare=max(0, need.spare.urgent - count),
            lacks=need.lacks,
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
        if call.held is not None and call.heard >= loans.pushed:
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

    def _take_loan(self, call: CreditCall) -> None:
        """Take credits lent by a call; the lease counts from what it had heard."""
        link = self._links.get(call.holder)
        if not call.lent or link is None:
            return
        sent_at = dict(link.sent).get(call.heard)
        if sent_at is None:
            link.resync = True
            return
        lent = _counter(call.lent)
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

    async def _give_all_back(self, name: str, link: _Link) -> None:
        if not self._book.held(name):
            return
        self._serial += 1
        call = CreditCall(
            holder=self._identity.name,
            boot=self._identity.boot,
            serial=self._serial,
            heard=self._loans[name].serial if name in self._loans else 0,
            wants=Wants(),
            spare=0,
            held=(),
        )
        await self._peers.call(name, EXCHANGE, call, CALL_TIMEOUT_S)


def sum_wants(wants: Wants) -> int:
    """Return all wanted credits."""
    return wants.urgent + wants.normal


def _counter(credits: tuple[WorkerCredits, ...]) -> Counter[str]:
    return Counter({entry.worker: entry.count for entry in credits})


def _listed(credits: Counter[str]) -> tuple[WorkerCredits, ...]:
    return tuple(WorkerCredits(name, count) for name, count in credits.items())
