"""Tests of leases counted on a runner's clock."""

from hypothesis import given
from hypothesis import strategies as st

from monsoongap.coordination.lease import CLOCK_DRIFT, RunnerLease


def test_a_full_lease_ends_on_the_runner_s_clock() -> None:
    lease = RunnerLease(1.0, 0.0)
    lease.record_clock(5000, 10.0)
    assert lease.extend(10.2) in (6199, 6200)
    assert lease.lapsed_at > 11.2


@given(
    st.floats(CLOCK_DRIFT, 1.0),
    st.lists(st.tuples(st.floats(0.01, 2.0), st.floats(0.0, 0.3)), max_size=20),
)
def test_no_lease_goes_on_after_its_lapsed_time(
    speed: float, replies: list[tuple[float, float]]
) -> None:
    """Replies take up to 0.3 s; the runner's clock may be 2 % slow."""
    lease = RunnerLease(1.0, 0.0)
    now = 0.0
    lease.record_clock(0, now)
    for pause_s, delay_s in replies:
        now += pause_s
        clock_ms = int((now - delay_s) * speed * 1000)
        lease.record_clock(clock_ms, now)
        until_ms = lease.extend(now)
        # The runner shortens what is longer than its longest lease.
        held_until_ms = min(until_ms, now * speed * 1000 + 1000)
        assert lease.lapsed_at >= held_until_ms / 1000 / speed


def test_a_reply_out_of_order_is_ignored() -> None:
    lease = RunnerLease(1.0, 0.0)
    lease.record_clock(5000, 10.0)
    lease.record_clock(4000, 10.1)
    assert lease.extend(10.1) in (6099, 6100)


def test_a_lease_follows_a_slow_clock() -> None:
    lease = RunnerLease(1.0, 0.0)
    for second in range(60):
        lease.record_clock(int(second * 985), float(second))
    assert lease.extend(59.0) == 59 * 985 + 1000
    assert lease.lapsed_at < 59.0 + 1.1
