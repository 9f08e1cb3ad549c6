"""Whether an owner holds every runner that a previous owner of its share used.

The list of runners may lack some that are still working: entries of live runners expire
while the store is unreachable, and new ones are read late. Runs on such runners can
neither be seen nor prevented. An owner therefore sends a digest of the runners it holds
with its heartbeats. The next owner's runners are complete once it holds the same ones,
or once every lease that a previous owner may have granted has lapsed.
"""

import logging
import zlib
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from itertools import combinations

from monsoongap.coordination.lease import longest_lease_s
from monsoongap.protocol.messages import Claim, RunnerDigest, ShareId
from monsoongap.timers import MS_PER_S, TimerService

log = logging.getLogger(__name__)

DIGEST_MODULUS = 1 << 32
# A digest is that of the last owner only if it was received until that owner failed.
DIGEST_MAX_AGE_S = 1.2
# Matching more added runners would take too many combinations.
MAX_ADDED_RUNNERS = 2
# A replaced owner renews leases until it receives a heartbeat of its successor; two may
# be lost.
RELEASE_DELAY_S = 0.2
# If a share is acquired this soon after the start and no owner's heartbeat has arrived,
# the previous owner went down before the start.
STARTUP_S = 1.0


def digest_of(runners: Iterable[str]) -> int:
    """Return a digest of a set of runners by their ids."""
    return sum(map(_hash_of, runners)) % DIGEST_MODULUS


def match_digest(digest: int, runners: Collection[str]) -> frozenset[str] | None:
    """Return the subset of the runners that has a digest, None if there is none.

    Up to `MAX_ADDED_RUNNERS` may have been added since the digest was made.
    """
    hashes = {id_: _hash_of(id_) for id_ in runners}
    total = sum(hashes.values())
    for count in range(MAX_ADDED_RUNNERS + 1):
        for added in combinations(hashes, count):
            if (total - sum(hashes[id_] for id_ in added)) % DIGEST_MODULUS == digest:
                return frozenset(hashes.keys() - added)
    return None


def _may_overlap(claim: Claim, share: ShareId, share_count: int) -> bool:
    """Return whether a claim and a share of some division may have a common runner."""
    if claim.share.dc != share.dc:
        return False
    return claim.share_count != share_count or claim.share.index == share.index


def _hash_of(runner: str) -> int:
    return zlib.crc32(runner.encode())


@dataclass(frozen=True, slots=True)
class _PreviousClaim:
    """The newest claim on a share before this host's own.

    `runner_digest` is that of its owner's runners, None if unknown. Until `complete_at`
    that owner may itself lack runners of a previous one.
    """

    claim: Claim
    runner_digest: RunnerDigest | None
    received_at: float

    @property
    def complete_at(self) -> float:
        """When the runners of its owner are complete."""
        return self.received_at + (
            self.runner_digest.in_doubt_ms / MS_PER_S if self.runner_digest else 0.0
        )


@dataclass(slots=True)
class _OwnedShare:
    """A share owned by this host.

    Previous owners may have granted leases until `in_doubt_since`. `previous_runners`
    holds the runners of the last one once the digest has matched; that owner's runners
    are complete at `previous_complete_at`.
    """

    claim: Claim
    acquired_at: float
    in_doubt_since: float
    previous_runners: frozenset[str] | None = None
    previous_complete_at: float = 0.0
    logged_complete: bool = False


@dataclass(slots=True)
class Coverage:
    """Compares the runners held here with the digests of previous owners.

    `lease_s` is the longest lease of a runner, in seconds.
    """

    timers: TimerService
    lease_s: float
    _started_at: float = field(init=False)
    _process_started_at: float = field(init=False)
    _previous: dict[ShareId, _PreviousClaim] = field(default_factory=dict)
    _owned: dict[ShareId, _OwnedShare] = field(default_factory=dict)
    # When this host's earlier claims ended, by share and number of shares.
    _ended: dict[tuple[ShareId, int], float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._started_at = self.timers.now()
        self._process_started_at = min(self.timers.process_started_at, self._started_at)

    def record_claims(
        self, claims: tuple[Claim, ...], digests: tuple[RunnerDigest, ...]
    ) -> list[ShareId]:
        """Record the claims of another host and the runner digest of each.

        A host of an earlier version sends no digests. Returns the shares of this host
        that the other one still claims; they are in doubt from now on.
        """
        now = self.timers.now()
        contested: list[ShareId] = []
        for i, claim in enumerate(claims):
            previous = self._previous.get(claim.share)
            if previous is None or claim.fence >= previous.claim.fence:
                runner_digest = digests[i] if i < len(digests) else None
                self._previous[claim.share] = _PreviousClaim(claim, runner_digest, now)
            owned = self._owned.get(claim.share)
            if owned is not None and claim.fence < owned.claim.fence:
                # An owner that does not know yet that it was replaced grants leases.
                self.mark_in_doubt(claim.share)
                contested.append(claim.share)
        return contested

    def mark_in_doubt(self, share: ShareId) -> None:
        """Record that a previous owner may have granted leases until now."""
        owned = self._owned.get(share)
        if owned is not None:
            owned.in_doubt_since = self.timers.now()
            owned.previous_runners = None

    def acquire(self, claim: Claim) -> None:
        """Record that this host acquired a share."""
        now = self.timers.now()
        no_heartbeat = all(share.dc != claim.share.dc for share in self._previous)
        is_startup = no_heartbeat and now - self._started_at < STARTUP_S
        # An owner that went down before this host started granted no lease since.
        in_doubt_since = self._started_at - RELEASE_DELAY_S if is_startup else now
        self._owned[claim.share] = _OwnedShare(claim, now, in_doubt_since)

    def release(self, claim: Claim) -> None:
        """Record that this host no longer owns a share.

        Digests from before this host's own claim say nothing about the next owner.
        """
        if self._owned.pop(claim.share, None) is not None:
            self._ended[claim.share, claim.share_count] = self.timers.now()
        previous = self._previous.get(claim.share)
        if previous is None or previous.claim.fence < claim.fence:
            now = self.timers.now()
            self._previous[claim.share] = _PreviousClaim(claim, None, now)

    def unowned_since(self, claim: Claim) -> float:
        """Return until when this process owned runners of a claim by another one.

        That is the start of the process if it never did, as an earlier one of this host
        had ended by then, and now if it still does.
        """
        owned = (o.claim for o in self._owned.values() if o.claim != claim)
        if any(_may_overlap(claim, c.share, c.share_count) for c in owned):
            return self.timers.now()
        ended = self._ended.items()
        ends = [at for key, at in ended if _may_overlap(claim, *key)]
        return max(ends, default=self._process_started_at)

    def in_doubt_since(self, claim: Claim) -> float:
        """Return until when previous owners may have granted leases; 0 if not owned."""
        owned = self._owned.get(claim.share)
        return owned.in_doubt_since if owned is not None else 0.0

    def in_doubt_s(self, claim: Claim, runners: Collection[str]) -> float:
        """Return for how long a previous owner may have runs on other runners."""
        owned = self._owned.get(claim.share)
        return max(self._in_doubt_s(owned, runners), 0.0) if owned else self.lease_s

    def confirm_unowned(self, claim: Claim, asked_at: float, since: float) -> bool:
        """Count leases from `since`, as all hosts said so after `asked_at`.

        Returns whether that shortens the wait. It does not if an earlier owner showed
        itself since they were asked.
        """
        owned = self._owned.get(claim.share)
        if owned is None or owned.claim != claim or owned.in_doubt_since > asked_at:
            return False
        # No owner is left that would renew leases until it hears of its successor.
        since = max(since, self.unowned_since(claim)) - RELEASE_DELAY_S
        if since >= owned.in_doubt_since:
            return False
        owned.in_doubt_since = since
        return True

    def is_complete(self, claim: Claim, runners: Collection[str]) -> bool:
        """Return whether no previous owner can have a run on any other runner."""
        owned = self._owned.get(claim.share)
        if owned is None:
            return False
        complete = self._in_doubt_s(owned, runners) <= 0
        self._log_completeness(owned, complete, len(runners))
        return complete

    def digest(self, claim: Claim, runners: Collection[str]) -> RunnerDigest:
        """Return the digest of the runners that this owner holds by a claim."""
        in_doubt_s = self.in_doubt_s(claim, runners)
        return RunnerDigest(digest_of(runners), round(in_doubt_s * MS_PER_S))

    def _in_doubt_s(self, owned: _OwnedShare, runners: Collection[str]) -> float:
        """Return for how long a previous owner may have runs on other runners.

        In seconds; negative or 0 if it cannot have any.
        """
        now = self.timers.now()
        longest_s = longest_lease_s(self.lease_s) + RELEASE_DELAY_S
        in_doubt_s = owned.in_doubt_since + longest_s - now
        if in_doubt_s <= 0:
            return in_doubt_s
        if owned.previous_runners is None:
            self._find_previous_runners(owned, runners)
        if owned.previous_runners is not None and owned.previous_runners.issubset(
            runners
        ):
            in_doubt_s = min(in_doubt_s, owned.previous_complete_at - now)
        return in_doubt_s

    def _find_previous_runners(
        self, owned: _OwnedShare, runners: Collection[str]
    ) -> None:
        """Find the runners of the last owner if its digest is known and matches."""
        previous = self._previous.get(owned.claim.share)
        if (
            previous is None
            or previous.runner_digest is None
            or not self._is_latest(previous, owned)
        ):
            return
        owned.previous_runners = match_digest(previous.runner_digest.digest, runners)
        owned.previous_complete_at = previous.complete_at

    def _is_latest(self, previous: _PreviousClaim, owned: _OwnedShare) -> bool:
        """Return whether a claim certainly is the last one before this host's own."""
        if previous.claim.share_count != owned.claim.share_count:
            return False
        if owned.in_doubt_since - previous.received_at > DIGEST_MAX_AGE_S:
            return False
        return not any(
            other.claim.fence > previous.claim.fence
            and other.claim.share.dc == owned.claim.share.dc
            and other.claim.share_count != owned.claim.share_count
            for other in self._previous.values()
        )

    def _log_completeness(self, owned: _OwnedShare, complete: bool, count: int) -> None:
        """Log whether a share's runners are complete, if that changed."""
        if complete == owned.logged_complete:
            return
        owned.logged_complete = complete
        share = owned.claim.share
        extra = {
            "dc": share.dc,
            "share": share.index,
            "runners": count,
            "waited_ms": round((self.timers.now() - owned.acquired_at) * MS_PER_S),
        }
        if complete:
            has_match = owned.previous_runners is not None
            extra["reason"] = (
                "same runners as the previous owner"
                if has_match
                else "leases of previous owners lapsed"
            )
            log.info("runners of the share are complete", extra=extra)
        else:
            log.warning(
                "runners of the share are in doubt; waiting for leases to lapse",
                extra=extra,
            )
