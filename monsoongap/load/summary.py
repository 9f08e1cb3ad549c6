"""Turns what a load run measured into the figures of the report."""

import math
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from monsoongap.load.checker import check
from monsoongap.load.plan import JobClass, capacity_jobs_per_s
from monsoongap.load.runner import JobResult, LoadResult
from monsoongap.load.settings import MS_PER_S, ArrivalsSection, LoadProfile
from monsoongap.load.violations import Violation
from monsoongap.protocol.messages import JobAnswer, JobError
from monsoongap.standin.ledger import duplicate_starts

BLOCKED_RATIO = 2.0


@dataclass(frozen=True, slots=True)
class Sample:
    """One job: its class, when it was due, its ideal and what came of it.

    Times are milliseconds, `due_ms` since the start of the run. `response_ms` is
    from the due time to the first outcome, None when there was none. `work_ms` is
    the run time of all its tasks together.
    """

    job_class: JobClass
    due_ms: float
    ideal_ms: float
    work_ms: float
    response_ms: float | None
    outcome: str
    in_deadline: bool

    @property
    def ended_ms(self) -> float:
        """Return when the outcome came, infinity when none did."""
        if self.response_ms is None:
            return float("inf")
        return self.due_ms + self.response_ms

    @property
    def ratio(self) -> float | None:
        """Return response over ideal, None for a job without an answer."""
        if self.outcome != "answered" or self.response_ms is None:
            return None
        return self.response_ms / self.ideal_ms


@dataclass(frozen=True, slots=True)
class ClassFigures:
    """Figures of one class; the ratios are response over ideal."""

    jobs: int
    answered: int
    ratio_p50: float | None
    ratio_p99: float | None


@dataclass(frozen=True, slots=True)
class CrestFigures:
    """Service at the crest of a swing.

    `goodput_share` is the work of the jobs answered in deadline during the crest,
    over the smaller of the work offered and the work that all slots can do then.
    The other figures are of the jobs that arrived during the crest.
    """

    jobs: int
    answered_in_deadline: int
    goodput_share: float
    ratio_p99: float | None
    refused: int
    refusal_p99_ms: float | None


@dataclass(frozen=True, slots=True)
class Summary:
    """The figures of one run.

    Rates are jobs per second. `outcomes` counts jobs and `errors` counts calls by
    error kind. `blocked_short_share` is the share of answered short
    jobs whose response was over `BLOCKED_RATIO` times the ideal. `messages` are
    requests to workers per start; None where no entry host tells.
    """

    jobs: int
    outcomes: dict[str, int]
    errors: dict[str, int]
    classes: dict[str, ClassFigures]
    offered_per_s: float
    capacity_per_s: float
    goodput_per_s: float
    blocked_short_share: float | None
    crest: CrestFigures | None
    messages_per_start: float | None
    wasted_message_share: float | None
    starts: int | None
    duplicates: int | None
    violations: tuple[Violation, ...] | None


def summarize(cfg: LoadProfile, result: LoadResult) -> Summary:
    """Compute the figures of a run and check its promises."""
    samples = samples_of(cfg, result)
    span_s = cfg.arrivals.duration_s
    good = [sample for sample in samples if sample.in_deadline]
    short = [sample for sample in samples if sample.job_class is JobClass.SHORT]
    ledger = result.run.ledger if result.ledger_seen else None
    return Summary(
        jobs=len(samples),
        outcomes=dict(Counter(sample.outcome for sample in samples)),
        errors=dict(_error_kinds(result)),
        classes={kind: _class_figures(samples, kind) for kind in JobClass},
        offered_per_s=len(samples) / span_s,
        capacity_per_s=capacity_jobs_per_s(cfg),
        goodput_per_s=len(good) / span_s,
        blocked_short_share=_blocked_share(short),
        crest=crest_figures(cfg, samples),
        messages_per_start=_messages_per_start(result.messages),
        wasted_message_share=_wasted_share(result.messages),
        starts=len(ledger.entries) if ledger else None,
        duplicates=len(duplicate_starts(ledger)) if ledger else None,
        violations=check(result.run) if ledger else None,
    )


def samples_of(cfg: LoadProfile, result: LoadResult) -> tuple[Sample, ...]:
    """Return one sample per job, in order of arrival."""
    return tuple(_samples(cfg, result))


def quantile(values: Iterable[float], share: float) -> float | None:
    """Return the smallest value that at least `share` of the values do not exceed."""
    ordered = sorted(values)
    if not ordered:
        return None
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def _samples(cfg: LoadProfile, result: LoadResult) -> Iterator[Sample]:
    for job in result.results:
        ideal_ms = job.planned.job.longest_ms + cfg.deployment.round_trips_ms
        response_ms, outcome = _first_outcome(job)
        deadline_ms = job.planned.job.request.deadline_ms
        good = outcome == "answered" and (response_ms or 0.0) <= deadline_ms
        yield Sample(
            job_class=job.planned.job.job_class,
            due_ms=job.planned.at_s * MS_PER_S,
            ideal_ms=ideal_ms,
            work_ms=job.planned.job.work_ms,
            response_ms=response_ms,
            outcome=outcome,
            in_deadline=good,
        )


def _first_outcome(job: JobResult) -> tuple[float | None, str]:
    """Return the response in ms and the name of the job's best outcome.

    Of two calls the one that was answered counts, else the first one told.
    """
    told = sorted(
        (
            not isinstance(reception.outcome, JobAnswer),
            reception.at_ms - job.due_ms,
            _outcome_name(reception.outcome),
        )
        for call in job.calls
        for reception in call.received
    )
    if told:
        return told[0][1], told[0][2]
    sent = any(not call.unsent for call in job.calls)
    return None, "no_outcome" if sent else "unsent"


def _outcome_name(outcome: JobAnswer | JobError) -> str:
    match outcome:
        case JobAnswer():
            return "answered"
        case JobError(outcome=name):
            return name


def _error_kinds(result: LoadResult) -> Counter[str]:
    return Counter(
        reception.outcome.error
        for call in result.run.calls
        for reception in call.received
        if isinstance(reception.outcome, JobError)
    )


def _ratios(samples: Iterable[Sample]) -> list[float]:
    return [sample.ratio for sample in samples if sample.ratio is not None]


def _class_figures(samples: Iterable[Sample], kind: JobClass) -> ClassFigures:
    chosen = [sample for sample in samples if sample.job_class is kind]
    ratios = _ratios(chosen)
    return ClassFigures(
        len(chosen), len(ratios), quantile(ratios, 0.5), quantile(ratios, 0.99)
    )


def _blocked_share(short: list[Sample]) -> float | None:
    ratios = _ratios(short)
    if not ratios:
        return None
    return sum(ratio > BLOCKED_RATIO for ratio in ratios) / len(ratios)


def crest_figures(cfg: LoadProfile, samples: Sequence[Sample]) -> CrestFigures | None:
    """Return the figures of the jobs that arrived at the crest, if there is one."""
    window = crest_window_ms(cfg.arrivals)
    if window is None:
        return None
    begin_ms, end_ms = window
    inside = [sample for sample in samples if begin_ms <= sample.due_ms < end_ms]
    done_ms = sum(
        sample.work_ms
        for sample in samples
        if sample.in_deadline and begin_ms <= sample.ended_ms < end_ms
    )
    slots = cfg.deployment.workers * cfg.deployment.slots
    offered_ms = sum(sample.work_ms for sample in inside)
    possible_ms = min(offered_ms, slots * (end_ms - begin_ms))
    refused = [sample for sample in inside if sample.outcome == "not_run"]
    waits_ms = [sample.response_ms for sample in refused if sample.response_ms]
    return CrestFigures(
        jobs=len(inside),
        answered_in_deadline=sum(sample.in_deadline for sample in inside),
        goodput_share=done_ms / possible_ms if possible_ms else 1.0,
        ratio_p99=quantile(_ratios(inside), 0.99),
        refused=len(refused),
        refusal_p99_ms=quantile(waits_ms, 0.99),
    )


def crest_window_ms(cfg: ArrivalsSection) -> tuple[float, float] | None:
    """Return begin and end of the crest in ms, None when the load is steady."""
    if cfg.shape == "steady":
        return None
    begin_ms = cfg.peak_from_s * MS_PER_S
    return begin_ms, begin_ms + cfg.peak_for_s * MS_PER_S


def _messages_per_start(messages: dict[str, float]) -> float | None:
    starts = messages.get("starts", 0.0)
    return sum(messages.values()) / starts if starts else None


def _wasted_share(messages: dict[str, float]) -> float | None:
    """Return the share of requests to workers that are not a start."""
    total = sum(messages.values())
    return 1 - messages.get("starts", 0.0) / total if total else None
