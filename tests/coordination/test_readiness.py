"""Tests of how long jobs are held while owners lack runs of previous owners."""

import pytest

from monsoongap.coordination.job_record import JobRecord
from monsoongap.coordination.ownership import Owner
from monsoongap.coordination.readiness import FIRM_AFTER_S, RETURN_S, Readiness
from monsoongap.coordination.time_budget import TimeBudget
from monsoongap.protocol.messages import Claim, QueueRule, ShareId
from tests.coordination.test_host import run_virtual
from tests.coordination.test_members import Clock
from tests.coordination.test_removed_queues import job_of

SHARE = ShareId("a")
OWNER = Owner(Claim(SHARE, 1, 10), None)


class OneShare:
    """The pool and the ownership of a host that owns the only share."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.until = 0.0
        self.owner: Owner | None = OWNER

    def in_doubt_s(self, share: ShareId) -> float:
        return max(self.until - self.clock.at, 0.0)

    def all_shares(self) -> list[ShareId]:
        return [SHARE]

    def owner_of(self, share: ShareId) -> Owner | None:
        return self.owner


def make_record(wait_s: float, objective_s: float = 0.8) -> JobRecord:
    budget = TimeBudget(0.1, objective_s, wait_s)
    rule = QueueRule("q", "h", "/q/", "u", 1.5)
    job, answer = job_of(1, 1, 0.1), None
    return JobRecord(job, rule, SHARE, budget, 0.0, answer)  # type: ignore[arg-type]


@pytest.fixture
def share() -> OneShare:
    return OneShare(Clock())


def open_readiness(share: OneShare) -> Readiness:
    async def main() -> None:
        made.append(Readiness(share, share, share.clock))  # type: ignore[arg-type]

    made: list[Readiness] = []
    run_virtual(main())
    return made[0]


# Guards against a refusal of a job whose caller still waits when the known time is
# over, and against a job that is held although its caller will have left by then, or
# its answer will be of no use: it then delays the jobs that come after that time.
def test_a_job_is_held_only_if_its_caller_waits_until_the_known_end(
    share: OneShare,
) -> None:
    readiness = open_readiness(share)
    share.until = share.clock.at + 1.3
    assert readiness.expected_s() == pytest.approx(1.3)
    # The owner may be told by the other hosts that the wait is shorter.
    assert not readiness.refuses(make_record(0.6), 0.0, 0.0)
    share.clock.at += FIRM_AFTER_S + 0.01
    assert readiness.refuses(make_record(0.6), 0.0, 0.0)
    assert not readiness.refuses(make_record(2.0), 0.5, 0.5)
    assert readiness.refuses(make_record(2.0, 0.3), 0.0, 0.0)
    assert readiness.retry_after_s == 1.0
    share.until = share.clock.at + 1.3
    share.clock.at += 0.02
    assert readiness.expected_s() > 1.0 and readiness.retry_after_s == 2.0


# Guards against a refusal at once of a job that may have run: it cannot say "not run".
def test_a_job_that_may_have_started_is_held(share: OneShare) -> None:
    readiness = open_readiness(share)
    share.until = share.clock.at + 1.3
    readiness.expected_s()
    share.clock.at += FIRM_AFTER_S + 0.01
    rec = make_record(0.6)
    rec.may_have_started = True
    assert not readiness.refuses(rec, 0.1, 0.1)


# Guards against jobs that are held for a data centre that is cut off, while their
# callers could try another one.
def test_a_wait_whose_end_is_not_known_is_limited_as_any_other(
    share: OneShare,
) -> None:
    readiness = open_readiness(share)
    share.owner = None
    assert readiness.ends_soon
    share.clock.at += RETURN_S
    assert not readiness.ends_soon
    rec = make_record(1.0, 0.3)
    assert not readiness.refuses(rec, 0.44, 0.0)
    assert readiness.refuses(rec, 0.46, 0.0)
    assert not readiness.refuses(rec, 0.46, 0.1)
