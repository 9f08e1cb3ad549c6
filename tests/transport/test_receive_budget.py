"""Tests of the decision whose unfinished data is refused when memory is used up."""

from hypothesis import given
from hypothesis import strategies as st

from monsoongap.transport.receive_budget import (
    GUARANTEED,
    Cause,
    Holding,
    ReceiveBudget,
    Source,
)

LIMIT = 100_000
NOW_S = 50.0


def ignore(cause: Cause) -> None:
    """Stand for a connection that drops its data."""


def hold(
    budget: ReceiveBudget,
    size: int,
    left: int = 1,
    age_s: float = 1.0,
    silent_s: float = 0.0,
    source: Source = Source.CALLERS,
    handed_on: int = 0,
) -> Holding:
    began_s = NOW_S - max(age_s, silent_s)
    holding = Holding(source, ignore, began_s=began_s, received_s=NOW_S - silent_s)
    budget.add(holding)
    budget.update(holding, size, handed_on, left)
    return holding


# Bodies that stop just before their end, and large slow ones, cost ordinary callers
# their requests.
def test_large_silent_data_is_refused_before_small_requests() -> None:
    budget = ReceiveBudget(LIMIT)
    small = [hold(budget, 3000, 1000, age_s=0.1) for _ in range(5)]
    slow = hold(budget, 2000, 2000, age_s=6.0)
    stopped = [hold(budget, 30_000, 1, age_s=9.0, silent_s=8.0) for _ in range(3)]
    refused = budget.to_refuse(NOW_S)
    assert refused and set(refused) <= set(stopped)
    assert not set(refused) & {*small, slow}


# Callers took the memory that calls of other hosts and readiness checks need.
def test_callers_do_not_take_the_part_of_hosts() -> None:
    budget = ReceiveBudget(LIMIT)
    call = hold(budget, 19_000, 1, silent_s=5.0, source=Source.HOSTS)
    check = hold(budget, 1000, 100, silent_s=5.0, source=Source.READY)
    for _ in range(100):
        hold(budget, 1000, 10, age_s=0.0)
    refused = budget.to_refuse(NOW_S)
    assert refused and call not in refused and check not in refused


HOLDINGS = st.lists(
    st.tuples(
        st.integers(0, 40_000),
        st.integers(0, 40_000),
        st.floats(0, 40),
        st.floats(0, 40),
        st.sampled_from(Source),
        st.integers(0, 9000),
    ),
    max_size=30,
)


@given(HOLDINGS)
def test_refusals_bring_the_total_below_the_limit_and_no_more(
    held: list[tuple[int, int, float, float, Source, int]],
) -> None:
    budget = ReceiveBudget(LIMIT)
    holdings = [hold(budget, *fields) for fields in held]
    used = budget.used_bytes
    assert used == sum(h.unfinished_bytes + h.handed_on_bytes for h in holdings)
    refused = budget.to_refuse(NOW_S)
    assert used > LIMIT or not refused
    assert len(refused) == len(set(refused))
    for holding in refused:
        above = GUARANTEED[holding.source] * LIMIT
        assert budget.used_by(holding.source) > above
        budget.update(holding, 0, holding.handed_on_bytes, 0)
    if budget.used_bytes > LIMIT:
        # Only what was handed on, or is guaranteed, is left.
        for holding in holdings:
            above = GUARANTEED[holding.source] * LIMIT
            assert (
                not holding.unfinished_bytes or budget.used_by(holding.source) <= above
            )
    for holding in holdings:
        budget.remove(holding)
    assert budget.used_bytes == 0
