"""Computes the statistics of a load run from the records of its calls."""

import math
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from monsoongap.load.records import CallRecord


@dataclass(frozen=True, slots=True)
class KindStats:
    """Statistics of one kind of job.

    The ratios are response time over the run time of the longest task, of completed
    jobs only; None if there are none.
    """

    kind: str
    jobs: int
    completed: int
    ratio_p50: float | None
    ratio_p99: float | None


@dataclass(frozen=True, slots=True)
class SecondStats:
    """Jobs that were due in one second of the run, by outcome."""

    second: int
    due: int
    completed: int
    refused: int


@dataclass(frozen=True, slots=True)
class Summary:
    """The statistics of one run; `broken` is None if promises were not checked."""

    jobs: int
    outcomes: dict[str, int]
    kinds: tuple[KindStats, ...]
    seconds: tuple[SecondStats, ...]
    broken: tuple[str, ...] | None


def summarize(calls: Sequence[CallRecord], broken: Iterable[str] | None) -> Summary:
    """Compute the statistics of a run."""
    return Summary(
        len(calls),
        dict(Counter(call.outcome for call in calls)),
        tuple(_kind_stats(calls)),
        tuple(_second_stats(calls)),
        None if broken is None else tuple(broken),
    )


def quantile(values: Iterable[float], share: float) -> float | None:
    """Return the smallest value that at least `share` of the values do not exceed."""
    ordered = sorted(values)
    if not ordered:
        return None
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def _kind_stats(calls: Sequence[CallRecord]) -> Iterator[KindStats]:
    for kind in sorted({call.kind for call in calls}):
        kind_calls = [call for call in calls if call.kind == kind]
        ratios = [c.response_s / c.ideal_s for c in kind_calls if c.completed]
        p50, p99 = quantile(ratios, 0.5), quantile(ratios, 0.99)
        yield KindStats(kind, len(kind_calls), len(ratios), p50, p99)


def _second_stats(calls: Sequence[CallRecord]) -> Iterator[SecondStats]:
    if not calls:
        return
    started_at = min(call.due_at for call in calls)
    second_by_id = {call.id: int(call.due_at - started_at) for call in calls}
    for second in range(max(second_by_id.values()) + 1):
        due_calls = [call for call in calls if second_by_id[call.id] == second]
        completed = sum(call.completed for call in due_calls)
        refused = sum(call.outcome == "refused" for call in due_calls)
        yield SecondStats(second, len(due_calls), completed, refused)
