"""Tests of whether an owner holds all runners of a previous owner."""

import pytest

from monsoongap.coordination.coverage import (
    RELEASE_DELAY_S,
    STARTUP_S,
    Coverage,
    digest_of,
)
from monsoongap.coordination.lease import longest_lease_s
from monsoongap.protocol.messages import Claim, RunnerDigest, ShareId
from tests.coordination.test_members import Clock

LEASE_S = 1.0
LAPSED_S = longest_lease_s(LEASE_S) + RELEASE_DELAY_S + 0.001
SHARE = ShareId("a", 0)
OLD, NEW = Claim(SHARE, 1, 10), Claim(SHARE, 1, 20)
HELD = ("r0", "r1")
ADDED = ("r2", "r3")


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def coverage(clock: Clock) -> Coverage:
    new_coverage = Coverage(clock, LEASE_S)
    clock.at += 10.0
    return new_coverage


def test_an_owner_with_the_previous_one_s_runners_is_complete_at_once(
    coverage: Coverage,
) -> None:
    coverage.record_claims((OLD,), (RunnerDigest(digest_of(HELD), 0),))
    coverage.acquire(NEW)
    assert coverage.is_complete(NEW, HELD[::-1])
    assert coverage.digest(NEW, HELD) == RunnerDigest(digest_of(HELD), 0)


# Guards against active runs on a runner that left the list or is not on it yet.
@pytest.mark.parametrize("known", [(), ("r0",), ("r0", "r2"), ("r0", *ADDED)])
def test_an_owner_with_other_runners_waits_for_leases_to_lapse(
    coverage: Coverage, clock: Clock, known: tuple[str, ...]
) -> None:
    coverage.record_claims((OLD,), (RunnerDigest(digest_of(HELD), 0),))
    coverage.acquire(NEW)
    assert not coverage.is_complete(NEW, known)
    assert coverage.digest(NEW, known).in_doubt_ms > longest_lease_s(LEASE_S) * 1000
    clock.at += longest_lease_s(LEASE_S)
    assert not coverage.is_complete(NEW, known)
    clock.at += RELEASE_DELAY_S + 0.001
    assert coverage.is_complete(NEW, known)


# Guards against needless waits: entries of live runners reappear one by one.
def test_an_owner_with_added_runners_is_complete(
    coverage: Coverage,
) -> None:
    coverage.record_claims((OLD,), (RunnerDigest(digest_of(HELD), 0),))
    coverage.acquire(NEW)
    assert not coverage.is_complete(NEW, (*HELD, *ADDED, "r4"))
    assert coverage.is_complete(NEW, (*HELD, *ADDED))
    assert coverage.is_complete(NEW, HELD)


# Guards against a chain of takeovers in which every owner lacks the same runners.
def test_in_doubt_time_of_the_previous_owner_carries_over(
    coverage: Coverage, clock: Clock
) -> None:
    coverage.record_claims((OLD,), (RunnerDigest(digest_of(HELD), 600),))
    coverage.acquire(NEW)
    assert not coverage.is_complete(NEW, HELD)
    digest = coverage.digest(NEW, HELD)
    assert digest.digest == digest_of(HELD) and 599 <= digest.in_doubt_ms <= 601
    clock.at += 0.59
    assert not coverage.is_complete(NEW, HELD)
    clock.at += 0.02
    assert coverage.is_complete(NEW, HELD)
    assert not coverage.is_complete(NEW, ("r0",))
    assert coverage.digest(NEW, HELD) == RunnerDigest(digest_of(HELD), 0)


# Guards against trusting hosts of an earlier version, which send claims only.
def test_after_a_claim_without_digest_an_owner_waits_for_leases(
    coverage: Coverage, clock: Clock
) -> None:
    coverage.record_claims((OLD,), ())
    coverage.acquire(NEW)
    clock.at += LAPSED_S - 0.01
    assert not coverage.is_complete(NEW, HELD)
    clock.at += 0.01
    assert coverage.is_complete(NEW, HELD)


# Guards against waits of many seconds after several takeovers: no lease outlives the
# wait for the last one.
def test_carried_over_in_doubt_time_ends_with_the_last_lease(
    coverage: Coverage, clock: Clock
) -> None:
    coverage.record_claims((OLD,), (RunnerDigest(digest_of(HELD), 9000),))
    coverage.acquire(NEW)
    clock.at += LAPSED_S
    assert coverage.is_complete(NEW, HELD)


def test_a_digest_for_another_number_of_shares_is_ignored(coverage: Coverage) -> None:
    coverage.record_claims((Claim(SHARE, 2, 10),), (RunnerDigest(digest_of(HELD), 0),))
    coverage.acquire(NEW)
    assert not coverage.is_complete(NEW, HELD)


# Guards against an owner that resumes after a pause and renews leases once more.
def test_a_replaced_owner_that_still_claims_the_share_restarts_the_wait(
    coverage: Coverage, clock: Clock
) -> None:
    coverage.record_claims((OLD,), (RunnerDigest(digest_of(HELD), 0),))
    coverage.acquire(NEW)
    clock.at += LAPSED_S
    assert coverage.is_complete(NEW, ("r0",))
    coverage.record_claims((OLD,), (RunnerDigest(digest_of(HELD), 0),))
    assert not coverage.is_complete(NEW, ("r0",))
    assert coverage.is_complete(NEW, HELD)
    clock.at += LAPSED_S
    assert coverage.is_complete(NEW, ("r0",))


def test_right_after_a_start_leases_are_counted_from_the_start(clock: Clock) -> None:
    coverage = Coverage(clock, LEASE_S)
    lapsed_at = clock.at + longest_lease_s(LEASE_S)
    clock.at += STARTUP_S - 0.1
    coverage.acquire(NEW)
    assert not coverage.is_complete(NEW, HELD)
    clock.at = lapsed_at - 0.01
    assert not coverage.is_complete(NEW, HELD)
    clock.at = lapsed_at + 0.01
    assert coverage.is_complete(NEW, HELD)


def test_without_a_previous_heartbeat_leases_are_counted_from_the_claim(
    coverage: Coverage, clock: Clock
) -> None:
    coverage.acquire(NEW)
    clock.at += LAPSED_S - 0.1
    assert not coverage.is_complete(NEW, HELD)
    clock.at += 0.1
    assert coverage.is_complete(NEW, HELD)


# Guards against an old digest: between two claims of this host another host was the
# owner, whose heartbeats never arrived.
def test_a_digest_from_before_an_earlier_claim_of_this_host_is_ignored(
    coverage: Coverage, clock: Clock
) -> None:
    coverage.record_claims((OLD,), (RunnerDigest(digest_of(HELD), 0),))
    coverage.acquire(NEW)
    clock.at += 60.0
    coverage.release(NEW)
    newest = Claim(SHARE, 1, 40)
    coverage.acquire(newest)
    assert not coverage.is_complete(newest, HELD)
    coverage.release(newest)
    coverage.record_claims((Claim(SHARE, 1, 50),), (RunnerDigest(digest_of(HELD), 0),))
    last_claim = Claim(SHARE, 1, 60)
    coverage.acquire(last_claim)
    assert coverage.is_complete(last_claim, HELD)


# Guards against a wait from the claim although every host has just started.
def test_answers_of_all_hosts_shorten_the_wait(
    coverage: Coverage, clock: Clock
) -> None:
    coverage.record_claims((Claim(ShareId("a", 1), 2, 15),), ())
    new = Claim(SHARE, 2, 20)
    coverage.acquire(new)
    started_at, claimed_at = clock.at - 0.7, clock.at
    assert coverage.confirm_unowned(new, claimed_at, started_at)
    clock.at = started_at + longest_lease_s(LEASE_S) - 0.01
    assert not coverage.is_complete(new, HELD)
    clock.at += 0.02
    assert coverage.is_complete(new, HELD)


# Guards against answers from before an earlier owner showed itself.
def test_answers_from_before_a_contest_are_ignored(
    coverage: Coverage, clock: Clock
) -> None:
    coverage.acquire(NEW)
    asked_at = clock.at
    clock.at += 0.1
    coverage.record_claims((OLD,), ())
    assert not coverage.confirm_unowned(NEW, asked_at, clock.at - 5.0)
    assert not coverage.confirm_unowned(OLD, clock.at, clock.at - 5.0)
    clock.at += LAPSED_S - 0.01
    assert not coverage.is_complete(NEW, HELD)


# Guards against a host that answers only for the same division of the data centre, or
# forgets that it owned the runners itself.
def test_a_host_answers_until_when_it_owned_any_of_the_runners(
    coverage: Coverage, clock: Clock
) -> None:
    started_at = clock.at - 10.0
    other_half = Claim(ShareId("a", 1), 2, 30)
    assert coverage.unowned_since(other_half) == started_at
    coverage.acquire(NEW)
    clock.at += 1.0
    assert coverage.unowned_since(other_half) == clock.at
    assert coverage.unowned_since(Claim(ShareId("b", 0), 1, 30)) == started_at
    coverage.release(NEW)
    released_at = clock.at
    clock.at += 1.0
    half = Claim(SHARE, 2, 25)
    coverage.acquire(half)
    assert coverage.unowned_since(other_half) == released_at
    # Its own earlier claim counts for this host's wait, too.
    assert coverage.confirm_unowned(half, clock.at, started_at)
    clock.at = released_at + longest_lease_s(LEASE_S) - 0.01
    assert not coverage.is_complete(half, HELD)
