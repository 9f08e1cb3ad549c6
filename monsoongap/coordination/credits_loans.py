"""The lender's side of lending: who holds which of this host's credits."""

import logging
from collections import Counter
from dataclasses import dataclass

from monsoongap.coordination.credits_book import CreditBook
from monsoongap.coordination.credits_messages import (
    CreditCall,
    Need,
    Wants,
    counted,
    sum_wants,
)

log = logging.getLogger(__name__)

WANT_KEPT_S = 0.3


@dataclass(slots=True)
class Loans:
    """What one peer was lent, and what it still wants.

    `pushed` is the serial of this host's latest call that lent credits.
    """

    boot: int
    serial: int = 0
    pushed: int = 0
    until: float = 0.0
    resyncs: int = 0
    wants: Wants = Wants()
    wants_until: float = 0.0

    def want(self, wants: Wants, now: float) -> None:
        """Remember for a while what the peer wants."""
        self.wants = wants
        self.wants_until = now + WANT_KEPT_S if sum_wants(wants) else 0.0


class LoanBook:
    """The loans to every peer. Times are on the timer service's clock."""

    def __init__(self, book: CreditBook, lease_s: float) -> None:
        self._book = book
        self._lease_s = lease_s
        self._loans: dict[str, Loans] = {}
        self._lent: dict[str, Counter[str]] = {}

    def of(self, holder: str) -> Loans | None:
        """Return the record of a peer, or None before its first call."""
        return self._loans.get(holder)

    def hear(self, call: CreditCall, now: float) -> Loans | None:
        """Take in a call: renew its holder's lease and settle what it returns.

        Returns None for a call that was overtaken, which changes nothing.
        """
        loans = self._loans.get(call.holder)
        if loans is None or call.boot > loans.boot:
            loans = self._new_holder(call, loans)
        if call.boot < loans.boot or call.serial <= loans.serial:
            return None
        loans.serial = call.serial
        loans.until = now + self._lease_s
        self._settle_returns(call, loans)
        loans.want(call.wants, now)
        return loans

    def may_give(self, holder: str, need: Need, now: float) -> int:
        """Return how many credits a peer that waits for some can have now."""
        loans = self._loans.get(holder)
        if loans is None or now >= loans.wants_until:
            return 0
        wants, spare = loans.wants, need.spare
        return max(min(wants.urgent, spare.urgent), min(sum_wants(wants), spare.normal))

    def lend(self, holder: str, count: int) -> tuple[Counter[str], Counter[str]]:
        """Lend up to `count` credits; returns the peer's own ones and the lent."""
        loans = self._loans[holder]
        own, lent = self._book.lend(holder, count)
        self._lent.setdefault(holder, Counter()).update(lent)
        given = own.total() + lent.total()
        urgent = max(0, loans.wants.urgent - given)
        normal = max(0, sum_wants(loans.wants) - given - urgent)
        loans.wants = Wants(urgent, normal)
        return own, lent

    def take_back(self, holder: str, credits: Counter[str]) -> None:
        """Free lent credits that their holder no longer uses."""
        lent = self._lent.get(holder, Counter())
        freed = lent & credits
        lent.subtract(freed)
        self._lent[holder] = +lent
        if freed:
            self._book.unlend(freed)

    def expire(self, now: float) -> None:
        """Take back loans whose lease ended."""
        for name, loans in list(self._loans.items()):
            if now < loans.until:
                continue
            lent = self._lent.pop(name, None)
            if lent:
                count = lent.total()
                log.warning("credit loan expired", extra={"peer": name, "count": count})
                self._book.unlend(lent)
            if "#" in name:
                del self._loans[name]

    def urgent_wants(self, now: float) -> int:
        """Return how many credits peers want for short jobs."""
        return sum(
            loans.wants.urgent
            for loans in self._loans.values()
            if now < loans.wants_until
        )

    def _new_holder(self, call: CreditCall, before: Loans | None) -> Loans:
        """Start a record; what a former boot held stays lent until it expires."""
        if before is not None:
            former = f"{call.holder}#{before.boot}"
            self._loans[former] = before
            self._lent[former] = self._lent.pop(call.holder, Counter())
            before.wants_until = 0.0
        loans = self._loans[call.holder] = Loans(call.boot)
        return loans

    def _settle_returns(self, call: CreditCall, loans: Loans) -> None:
        lent = self._lent.setdefault(call.holder, Counter())
        if call.held is not None and call.heard >= loans.pushed:
            loans.resyncs += 1
            freed = lent - counted(call.held)
        else:
            freed = lent & counted(call.returned)
        self.take_back(call.holder, freed)
