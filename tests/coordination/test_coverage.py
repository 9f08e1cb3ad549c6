"""Tests of what an owner may say of runners that an earlier one held."""

import pytest

from monsoongap.coordination.coverage import (
    FRESH_S,
    RELEASE_S,
    Coverage,
    digest_of,
)
from monsoongap.coordination.lease import longest_lease_s
from monsoongap.protocol.messages import Claim, RunnerDigest, ShareId
from tests.coordination.test_members import Clock

LEASE_S = 1.0
LAPSED_S = longest_lease_s(LEASE_S) + RELEASE_S + 0.001
SHARE = ShareId("a", 0)
OLD, NEW = Claim(SHARE, 1, 10), Claim(SHARE, 1, 20)
HELD = ("r0", "r1")
NEWER = ("r2", "r3")


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def coverage(clock: Clock) -> Coverage:
    made = Coverage(clock, LEASE_S)
    clock.at += 10.0
    return made


def test_an_owner_with_the_former_one_s_runners_knows_them_at_once(
    coverage: Coverage,
) -> None:
    coverage.record_claims((OLD,), (RunnerDigest(digest_of(HELD), 0),))
    coverage.acquire(NEW)
    assert coverage.is_complete(NEW, HELD[::-1])
    assert coverage.digest(NEW, HELD) == RunnerDigest(digest_of(HELD), 0)


# Guards against runs that go on at a runner which left the list or is not on it yet.
@pytest.mark.parametrize("known", [(), ("r0",), ("r0", "r2"), ("r0", *NEWER)])
def test_an_owner_with_other_runners_waits_for_leases_to_lapse(
    coverage: Coverage, clock: Clock, known: tuple[str, ...]
) -> None:
    coverage.record_claims((OLD,), (RunnerDigest(digest_of(HELD), 0),))
    coverage.acquire(NEW)
    assert not coverage.is_complete(NEW, known)
    assert coverage.digest(NEW, known).in_doubt_ms > longest_lease_s(LEASE_S) * 1000
    clock.at += longest_lease_s(LEASE_S)
    assert not coverage.is_complete(NEW, known)
    clock.at += RELEASE_S + 0.001
    assert coverage.is_complete(NEW, known)


# Guards against needless waits: entries of living runners come back one by one.
def test_an_owner_that_holds_more_than_the_former_one_knows_its_runners(
    coverage: Coverage,
) -> None:
    coverage.record_claims((OLD,), (RunnerDigest(digest_of(HELD), 0),))
    coverage.acquire(NEW)
    assert not coverage.is_complete(NEW, (*HELD, *NEWER, "r4"))
    assert coverage.is_complete(NEW, (*HELD, *NEWER))
    assert coverage.is_complete(NEW, HELD)


# Guards against a chain of takeovers in which every owner knows as little as the first.
def test_an_owner_that_may_lack_runners_itself_passes_its_doubt_on(
    coverage: Coverage, clock: Clock
) -> None:
    coverage.record_claims((OLD,), (RunnerDigest(digest_of(HELD), 600),))
    coverage.acquire(NEW)
    assert not coverage.is_complete(NEW, HELD)
    told = coverage.digest(NEW, HELD)
    assert told.digest == digest_of(HELD) and 599 <= told.in_doubt_ms <= 601
    clock.at += 0.59
    assert not coverage.is_complete(NEW, HELD)
    clock.at += 0.02
    assert coverage.is_complete(NEW, HELD)
    assert not coverage.is_complete(NEW, ("r0",))
    assert coverage.digest(NEW, HELD) == RunnerDigest(digest_of(HELD), 0)


# Guards against hosts of an earlier version, which tell of their claims only.
def test_a_claim_without_what_is_held_tells_nothing(
    coverage: Coverage, clock: Clock
) -> None:
    coverage.record_claims((OLD,), ())
    coverage.acquire(NEW)
    clock.at += LAPSED_S - 0.01
    assert not coverage.is_complete(NEW, HELD)
    clock.at += 0.01
    assert coverage.is_complete(NEW, HELD)


# Guards against a doubt of many seconds that an often replaced owner tells: no lease
# outlives the wait for the last one.
def test_a_doubt_that_is_passed_on_ends_with_the_last_lease(
    coverage: Coverage, clock: Clock
) -> None:
    coverage.record_claims((OLD,), (RunnerDigest(digest_of(HELD), 9000),))
    coverage.acquire(NEW)
    clock.at += LAPSED_S
    assert coverage.is_complete(NEW, HELD)


def test_another_division_of_the_data_centre_tells_nothing(coverage: Coverage) -> None:
    coverage.record_claims((Claim(SHARE, 2, 10),), (RunnerDigest(digest_of(HELD), 0),))
    coverage.acquire(NEW)
    assert not coverage.is_complete(NEW, HELD)


# Guards against an owner that was frozen, wakes, and renews leases once more.
def test_a_replaced_owner_that_still_claims_the_share_starts_the_wait_anew(
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


def test_after_a_start_leases_count_from_the_start(clock: Clock) -> None:
    coverage = Coverage(clock, LEASE_S)
    lapsed_at = clock.at + longest_lease_s(LEASE_S)
    clock.at += FRESH_S - 0.1
    coverage.acquire(NEW)
    assert not coverage.is_complete(NEW, HELD)
    clock.at = lapsed_at - 0.01
    assert not coverage.is_complete(NEW, HELD)
    clock.at = lapsed_at + 0.01
    assert coverage.is_complete(NEW, HELD)


def test_an_owner_of_which_none_was_ever_heard_waits_from_its_claim(
    coverage: Coverage, clock: Clock
) -> None:
    coverage.acquire(NEW)
    clock.at += LAPSED_S - 0.1
    assert not coverage.is_complete(NEW, HELD)
    clock.at += 0.1
    assert coverage.is_complete(NEW, HELD)


# Guards against an old digest: between the two claims of this host there was an owner
# that it never heard.
def test_an_owner_again_does_not_count_on_what_it_heard_before_its_first_claim(
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
    again = Claim(SHARE, 1, 60)
    coverage.acquire(again)
    assert coverage.is_complete(again, HELD)
