"""Turns what a load run measured into the figures of the report."""

import math
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from monsoongap.load.records import CallRecord


@dataclass(frozen=True, slots=True)
class KindFigures:
    """Figures of one kind of job; ratios are response over longest task."""

    kind: str
    jobs: int
    completed: int
    ratio_p50: float | None
    ratio_p99: float | None


@dataclass(frozen=True, slots=True)
class SecondFigures:
    """Jobs that were due in one second of the run, and how they ended."""

    second: int
    due: int
    completed: int
    refused: int


@dataclass(frozen=True, slots=True)
class Summary:
    """The figures of one run; `broken` is None where nobody could check."""

    jobs: int
    outcomes: dict[str, int]
    kinds: tuple[KindFigures, ...]
    seconds: tuple[SecondFigures, ...]
    broken: tuple[str, ...] | None


def summarize(calls: Sequence[CallRecord], broken: Iterable[str] | None) -> Summary:
    """Compute the figures of a run."""
    return Summary(
        len(calls),
        dict(Counter(call.outcome for call in calls)),
        tuple(_kinds(calls)),
        tuple(_seconds(calls)),
        None if broken is None else tuple(broken),
    )


def quantile(values: Iterable[float], share: float) -> float | None:
    """Return the smallest value that at least `share` of the values do not exceed."""
    ordered = sorted(values)
    if not ordered:
        return None
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def _kinds(calls: Sequence[CallRecord]) -> Iterator[KindFigures]:
    for kind in sorted({call.kind for call in calls}):
        of_kind = [call for call in calls if call.kind == kind]
        ratios = [c.took_s / c.ideal_s for c in of_kind if c.completed]
        p50, p99 = quantile(ratios, 0.5), quantile(ratios, 0.99)
        yield KindFigures(kind, len(of_kind), len(ratios), p50, p99)


def _seconds(calls: Sequence[CallRecord]) -> Iterator[SecondFigures]:
    if not calls:
        return
    began = min(call.due_at for call in calls)
    second_of = {call.id: int(call.due_at - began) for call in calls}
    for second in range(max(second_of.values()) + 1):
        here = [call for call in calls if second_of[call.id] == second]
        completed = sum(call.completed for call in here)
        refused = sum(call.outcome == "refused" for call in here)
        yield SecondFigures(second, len(here), completed, refused)
