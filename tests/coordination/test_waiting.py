"""Tests of the queue of waiting tasks."""

from hypothesis import given
from hypothesis import strategies as st

from monsoongap.coordination.waiting import Waiting
from monsoongap.coordination.work import Work
from monsoongap.protocol.messages import Resources, TaskId


def make_work(*sort_key: float, cpu: int = 1000, estimate_s: float = 1.0) -> Work:
    task = TaskId("ab" * 8, 0, 0)
    size = Resources(cpu, 64)
    return Work(task, "q", "u", "", size, sort_key, lambda *_: None, None, estimate_s)


@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 5)), max_size=30))
def test_tasks_come_in_the_order_of_their_sort_keys(
    sort_keys: list[tuple[int, int]],
) -> None:
    waiting = Waiting()
    works = [make_work(*sort_key) for sort_key in sort_keys]
    for one in works:
        waiting.add(one)
    assert [w.sort_key for w in waiting.first(100)] == sorted(sort_keys)
    for one in works:
        waiting.remove(one)
        assert not one.waiting
    assert len(waiting) == 0


def test_backlog_ahead_counts_only_tasks_with_lower_sort_keys() -> None:
    waiting = Waiting()
    for sort_key in ((0, 0, 1.0), (1, 0, 1.0), (1, 0, 2.0)):
        waiting.add(make_work(*sort_key))
    backlog = waiting.backlog(2000)
    assert backlog.ahead_s((0, 0, 0.5)) == 0.0
    assert backlog.ahead_s((1, 0, 1.5)) == 1.0
    assert backlog.ahead_s((2, 0, 0.0)) == 1.5


def test_late_tasks_are_reordered_behind_others_of_their_priority() -> None:
    waiting = Waiting()
    late, other, lower = (
        make_work(1, 0, 1.0),
        make_work(1, 0, 2.0),
        make_work(2, 0, 0.0),
    )
    for one in (late, other, lower):
        waiting.add(one)
    waiting.reorder([late], (1, 1, 1.0))
    assert list(waiting.first(3)) == [other, late, lower]
