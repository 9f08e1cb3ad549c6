"""Tests of the queue of waiting tasks."""

from hypothesis import given
from hypothesis import strategies as st

from monsoongap.coordination.waiting import Waiting
from monsoongap.coordination.work import Work
from monsoongap.protocol.messages import Resources, TaskId


def work(*order: float, cpu: int = 1000, estimate_s: float = 1.0) -> Work:
    task = TaskId("ab" * 8, 0, 0)
    size = Resources(cpu, 64)
    return Work(task, "q", "", size, order, lambda *_: None, None, estimate_s)


@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 5)), max_size=30))
def test_what_is_first_in_order_comes_first(orders: list[tuple[int, int]]) -> None:
    waiting = Waiting()
    works = [work(*order) for order in orders]
    for one in works:
        waiting.add(one)
    assert [w.sort_key for w in waiting.first(100)] == sorted(orders)
    for one in works:
        waiting.take(one)
        assert not one.waiting
    assert len(waiting) == 0


def test_work_ahead_counts_only_what_goes_first() -> None:
    waiting = Waiting()
    for order in ((0, 0, 1.0), (1, 0, 1.0), (1, 0, 2.0)):
        waiting.add(work(*order))
    backlog = waiting.backlog(2000)
    assert backlog.ahead_s((0, 0, 0.5)) == 0.0
    assert backlog.ahead_s((1, 0, 1.5)) == 1.0
    assert backlog.ahead_s((2, 0, 0.0)) == 1.5


def test_tasks_that_are_late_go_behind_the_others_of_their_priority() -> None:
    waiting = Waiting()
    late, other, lower = work(1, 0, 1.0), work(1, 0, 2.0), work(2, 0, 0.0)
    for one in (late, other, lower):
        waiting.add(one)
    waiting.reorder([late], (1, 1, 1.0))
    assert list(waiting.first(3)) == [other, late, lower]
