"""The book of credits: what this host owns, lent, borrowed and uses per worker.

It also keeps the open workers sorted by free credits, so that finding a worker
for a task costs the same however many workers there are.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from monsoongap.coordination.parts import WorkerInfo

# A borrowed credit is not used in the last part of its lease: the start would
# reach the worker when the lender may already use the credit again.
LEASE_MARGIN_S = 0.05


@dataclass(slots=True)
class Account:
    """Credits on one worker, in slots.

    `limit` bounds this host's connections and `busy` counts its tasks there.
    """

    info: WorkerInfo
    own: int = 0
    limit: int = 0
    lent: int = 0
    busy: int = 0
    own_busy: int = 0
    borrowed: Counter[str] = field(default_factory=Counter)
    borrowed_busy: Counter[str] = field(default_factory=Counter)
    open: bool = True
    rank: int = 0

    @property
    def own_free(self) -> int:
        """Return how many own credits are neither lent nor in use."""
        return max(0, self.own - self.lent - self.own_busy)

    def borrowed_free(self, lender: str) -> int:
        """Return how many credits of `lender` are not in use."""
        return max(0, self.borrowed[lender] - self.borrowed_busy[lender])

    @property
    def free(self) -> int:
        """Return how many more tasks may start on the worker."""
        free = self.own_free
        for lender in self.borrowed:
            free += self.borrowed_free(lender)
        return min(free, max(0, self.limit - self.busy))


class CreditBook:
    """Credits on every listed worker. Times are on the timer service's clock."""

    def __init__(self) -> None:
        self.accounts: dict[str, Account] = {}
        self.lease_ends: dict[str, float] = {}
        self._ranks: list[dict[str, None]] = [{}]
        self.free = 0
        self.pool = 0
        self.busy = 0

    def list_workers(
        self, infos: Iterable[WorkerInfo], division: Callable[[WorkerInfo], int]
    ) -> None:
        """Take over the listed workers; `division` tells the own slots of each.

        An account of a worker that is gone stays until its last task ends.
        """
        listed = {info.name: info for info in infos}
        for name, info in listed.items():
            account = self.accounts.get(name)
            if account is None:
                account = self.accounts[name] = Account(info)
            account.info = info
            account.own = division(info)
        for name, account in list(self.accounts.items()):
            if name in listed:
                continue
            account.own = 0
            account.open = False
            self.refresh(name)
            if not account.busy:
                del self.accounts[name]
        self._count_pool()

    def set_open(self, worker: str, is_open: bool) -> None:
        """Say whether the worker may get starts."""
        self.accounts[worker].open = is_open
        self.refresh(worker)

    def refresh(self, worker: str) -> None:
        """Sort a worker anew after its account changed."""
        account = self.accounts[worker]
        rank = account.free if account.open else 0
        if rank == account.rank:
            return
        self.free += rank - account.rank
        if account.rank:
            del self._ranks[account.rank][worker]
        while len(self._ranks) <= rank:
            self._ranks.append({})
        if rank:
            self._ranks[rank][worker] = None
        account.rank = rank

    def find(self, fits: Callable[[WorkerInfo], bool]) -> Account | None:
        """Return the open worker with most free credits that fits, or None."""
        for rank in range(len(self._ranks) - 1, 0, -1):
            for name in self._ranks[rank]:
                account = self.accounts[name]
                if fits(account.info):
                    return account
        return None

    def take(self, account: Account) -> str | None:
        """Use one free credit; returns its lender, or None for an own one.

        Own credits go first, so that idle borrowed ones can be returned.
        """
        if account.own_free:
            lender = None
        else:
            lender = next(
                name for name in account.borrowed if self._idle(account, name)
            )
        if lender is None:
            account.own_busy += 1
        else:
            account.borrowed_busy[lender] += 1
        account.busy += 1
        self.busy += 1
        self.refresh(account.info.name)
        return lender

    def give_back(self, worker: str, lender: str | None) -> None:
        """End the use of one credit."""
        account = self.accounts.get(worker)
        if account is None:
            return
        account.busy -= 1
        self.busy -= 1
        if lender is None:
            account.own_busy -= 1
        else:
            account.borrowed_busy[lender] -= 1
        self.refresh(worker)

    def lend(self, holder: str, count: int) -> tuple[Counter[str], Counter[str]]:
        """Take up to `count` free credits for a peer.

        Returns first the peer's own credits that it gets back, then the lent ones,
        both by worker.
        """
        returned = self.drop_idle(holder, count)
        lent: Counter[str] = Counter()
        count -= returned.total()
        while count > 0:
            account = self._lendable()
            if account is None:
                break
            account.lent += 1
            lent[account.info.name] += 1
            count -= 1
            self.refresh(account.info.name)
        if lent:
            self._count_pool()
        return returned, lent

    def unlend(self, credits: Counter[str]) -> None:
        """Take back lent credits."""
        for worker, count in credits.items():
            account = self.accounts.get(worker)
            if account is not None:
                account.lent = max(0, account.lent - count)
                self.refresh(worker)
        self._count_pool()

    def borrow(self, lender: str, credits: Counter[str], until: float) -> None:
        """Add credits of a peer, all of which may be used until `until`."""
        for worker, count in credits.items():
            account = self.accounts.get(worker)
            if account is not None:
                account.borrowed[lender] += count
                self.refresh(worker)
        self.lease_ends[lender] = until
        self._count_pool()

    def held(self, lender: str) -> Counter[str]:
        """Return the credits of a peer by worker."""
        return Counter(
            {
                name: account.borrowed[lender]
                for name, account in self.accounts.items()
                if account.borrowed[lender]
            }
        )

    def drop_idle(self, lender: str, count: int) -> Counter[str]:
        """Remove up to `count` idle credits of a peer, to give them back."""
        dropped: Counter[str] = Counter()
        for name, account in self.accounts.items():
            part = min(account.borrowed_free(lender), count - dropped.total())
            if part > 0:
                account.borrowed[lender] -= part
                dropped[name] = part
                self.refresh(name)
        if dropped:
            self._count_pool()
        return dropped

    def lapse(self, now: float) -> None:
        """Stop using the credits of peers whose lease has ended."""
        for lender, until in list(self.lease_ends.items()):
            if now < until - LEASE_MARGIN_S:
                continue
            del self.lease_ends[lender]
            for name, account in self.accounts.items():
                if account.borrowed.pop(lender, 0):
                    self.refresh(name)
            self._count_pool()

    @staticmethod
    def _idle(account: Account, lender: str) -> bool:
        return account.borrowed_free(lender) > 0

    def _lendable(self) -> Account | None:
        for rank in range(len(self._ranks) - 1, 0, -1):
            for name in self._ranks[rank]:
                account = self.accounts[name]
                if account.own_free:
                    return account
        return None

    def _count_pool(self) -> None:
        self.pool = sum(
            max(0, a.own - a.lent) + a.borrowed.total()
            for a in self.accounts.values()
            if a.open
        )
