"""Until when owners are expected to lack runs of previous owners.

A job of a new owner starts once every owner knows what runs on its runners. Owners
announce with their heartbeats how long that takes at most, so that jobs neither ask
them in vain nor wait longer than needed, and callers learn when a retry has a chance.
"""

import asyncio
import math
from dataclasses import dataclass, field

from monsoongap.coordination.admission_control import RETRY_AFTER_S
from monsoongap.coordination.job_record import JobRecord
from monsoongap.coordination.ownership import Owner, Ownership
from monsoongap.coordination.pool import Pool
from monsoongap.timers import MS_PER_S, TimerService
from monsoongap.util.background import BackgroundTasks

CHECK_S = 0.01
# Longer than a lease, after which no run of a previous owner is left here.
RECONCILE_TIMEOUT_S = 1.5
# While the end is known, a job is held as long as its answer is of use to its caller,
# but not longer than this. Jobs that are held for longer would be answered too late,
# and delay those that come after the end.
MAX_HOLD_S = 3.0
# Waiting jobs continue one after the other, as each of them calls every other owner.
SPREAD_S = 0.0003
MAX_SPREAD_S = 0.1
# A new owner first announces the full wait; answers of the other hosts may shorten it.
# The calls take 0.3 s if one of them does not reply.
FIRM_AFTER_S = 0.35
RISE_TOLERANCE_S = 0.05
# A share without an owner: how long that lasts is not known.
UNOWNED_S = 0.1
# Hosts that lost power together return within seconds. Later, a share without an owner
# is cut off or lost, and another data centre may serve the caller.
RETURN_S = 3.0


@dataclass(slots=True)
class Readiness:
    """Whether all shares are expected to be reconciled; wakes the jobs that wait."""

    pool: Pool
    ownership: Ownership
    timers: TimerService
    _started_at: float = field(init=False)
    _expected_until: float = 0.0
    _lacks_owner: bool = False
    _checked_at: float = -1e9
    _rose_at: float = -1e9
    _waiting: int = 0
    _ready: asyncio.Event = field(default_factory=asyncio.Event)
    _polls: bool = False
    _background: BackgroundTasks = field(default_factory=BackgroundTasks)

    def __post_init__(self) -> None:
        self._started_at = self.timers.now()

    def expected_s(self) -> float:
        """Return for how long some share is in doubt; 0 if none is known to be."""
        now = self.timers.now()
        if now - self._checked_at >= CHECK_S:
            self._checked_at = now
            shares = self.ownership.all_shares()
            owners = [self.ownership.owner_of(share) for share in shares]
            self._lacks_owner = None in owners
            waits = (self._wait_of(owner, now) for owner in owners)
            until = now + max(waits, default=0.0)
            if until > max(self._expected_until, now) + RISE_TOLERANCE_S:
                self._rose_at = now
            self._expected_until = until
        return max(self._expected_until - now, 0.0)

    @property
    def ends_soon(self) -> bool:
        """Return whether what is in doubt is expected to end within a known time."""
        age_s = self.timers.now() - self._started_at
        return self.expected_s() > 0 and (not self._lacks_owner or age_s < RETURN_S)

    @property
    def is_firm(self) -> bool:
        """Return whether the expected wait has not grown for `FIRM_AFTER_S`."""
        return self.timers.now() - self._rose_at >= FIRM_AFTER_S

    def _wait_of(self, owner: Owner | None, now: float) -> float:
        if owner is None:
            return UNOWNED_S
        if owner.peer is None:
            return self.pool.in_doubt_s(owner.claim.share)
        heartbeat = owner.peer.heartbeat
        if heartbeat is None:
            return 0.0
        digests = dict(zip(heartbeat.claims, heartbeat.runner_digests, strict=False))
        digest = digests.get(owner.claim)
        if digest is None:
            # A host of an earlier version; only a call tells.
            return 0.0
        until = owner.peer.last_heartbeat_at + digest.in_doubt_ms / MS_PER_S
        return max(until - now, 0.0)

    @property
    def retry_after_s(self) -> float:
        """How long a refused caller is asked to wait, in whole seconds."""
        return max(math.ceil(self.expected_s()), RETRY_AFTER_S)

    def refuses(self, rec: JobRecord, waited_s: float, known_s: float) -> bool:
        """Return whether a job that is held is to be refused.

        It has been held for `waited_s`; for `known_s` of them the end was known. The
        rest is limited as any wait for capacity.
        """
        latest_s = min(rec.budget.useful_start_s, MAX_HOLD_S)
        unknown_s = min(rec.budget.capacity_timeout_s, RECONCILE_TIMEOUT_S)
        if waited_s > min(unknown_s + known_s, latest_s):
            return True
        if rec.may_have_started or rec.run_numbers or not self.is_firm:
            # "Not run" can't be promised, or may soon be unnecessary: keep waiting.
            return False
        return waited_s + self.expected_s() > latest_s

    async def wait(self, limit_s: float) -> None:
        """Wait until no share is expected to be in doubt, at most until a limit."""
        if not self._polls:
            self._polls = True
            self._background.spawn(self._poll(), "readiness")
        spread_s = min(self._waiting * SPREAD_S, MAX_SPREAD_S)
        self._waiting += 1
        try:
            async with asyncio.timeout(limit_s):
                await self._ready.wait()
        except TimeoutError:
            spread_s = 0.0
        finally:
            self._waiting -= 1
        await self.timers.sleep(spread_s)

    async def _poll(self) -> None:
        """Wake the waiting jobs when no share is expected to be in doubt any more."""
        try:
            while self._waiting:
                await self.timers.sleep(CHECK_S)
                if self.expected_s() <= 0:
                    self._ready.set()
                    self._ready = asyncio.Event()
        finally:
            self._polls = False
