"""Tests of the load plan, the runner against a small entry host, the report."""

import asyncio
import itertools
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
import pytest
import tornado.web
from syrupy.assertion import SnapshotAssertion
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from monsoongap.load.main import main
from monsoongap.load.plan import JobClass, capacity_jobs_per_s, plan_jobs
from monsoongap.load.records import CallRecord, Reception, RunRecord
from monsoongap.load.report import summary_rows, write_report
from monsoongap.load.runner import JobResult, LoadResult, run_load
from monsoongap.load.settings import (
    ArrivalsSection,
    CallsSection,
    DeploymentSection,
    LoadProfile,
    MixSection,
    TargetSection,
    load_profile,
)
from monsoongap.load.summary import (
    Sample,
    crest_figures,
    quantile,
    samples_of,
    summarize,
)
from monsoongap.load.violations import FalseNotRun, MissingOutcome, WrongAnswer
from monsoongap.protocol.ids import task_id
from monsoongap.protocol.messages import (
    JobAnswer,
    JobError,
    JobRequest,
    Ledger,
    TaskState,
)
from monsoongap.standin.ledger import StartLedger
from tests.programs import run_main

EXAMPLES = Path(__file__).parents[2] / "examples"
PROFILE = LoadProfile(
    deployment=DeploymentSection(workers=4),
    arrivals=ArrivalsSection(duration_s=200, load=0.5),
    mix=MixSection(straggler_share=0.01, wrong_share=0.5),
    calls=CallsSection(resubmit_share=0.2),
)


def test_plan_is_repeatable_and_offers_what_the_profile_says() -> None:
    first, second = (tuple(plan_jobs(PROFILE, "run")) for _ in range(2))
    assert first == second
    capacity = capacity_jobs_per_s(PROFILE)
    assert len(first) == pytest.approx(0.5 * capacity * 200, rel=0.15)
    classes = {job.job.job_class for job in first}
    assert classes == set(JobClass)
    work_ms = sum(job.job.work_ms for job in first)
    assert work_ms / 1000 / 200 == pytest.approx(0.5 * 4 * 8, rel=0.15)


def test_step_and_burst_raise_the_rate_only_within_their_window() -> None:
    step = replace(
        PROFILE,
        arrivals=ArrivalsSection("step", 0.5, 3.0, 50, 50, duration_s=200),
    )
    times = [job.at_s for job in plan_jobs(step, "run")]
    inside = sum(50 <= at_s < 100 for at_s in times) / 50
    outside = sum(not 50 <= at_s < 100 for at_s in times) / 150
    assert inside / outside == pytest.approx(6, rel=0.2)
    burst = replace(
        PROFILE,
        arrivals=ArrivalsSection("burst", peak_from_s=50, burst_jobs=70, duration_s=99),
    )
    times = [job.at_s for job in plan_jobs(burst, "run")]
    assert times.count(50) == 70 and times == sorted(times)


@pytest.mark.parametrize("name", ["tirol", "rio"])
def test_shipped_profiles_are_valid(name: str) -> None:
    cfg = load_profile(EXAMPLES / f"{name}.ini")
    assert cfg.deployment.workers == 24
    assert next(plan_jobs(cfg, "run")).job.request.team == cfg.mix.team


class SmallEntry(tornado.web.RequestHandler):
    """Answers each job itself, after its longest task; some wrongly."""

    def initialize(self, ledger: StartLedger, fault: str) -> None:
        self.ledger = ledger
        self.fault = fault

    async def put(self, submission: str) -> None:
        request = msgspec.json.decode(self.request.body, type=JobRequest)
        names = [task_id(submission, n) for n in range(len(request.tasks))]
        serials = [self.ledger.record_start(name, submission, "w1") for name in names]
        await asyncio.sleep(max(t.payload["run_ms"] for t in request.tasks) / 1000)
        for serial in serials:
            self.ledger.record_end(serial, TaskState.DONE)
        if self.fault == "lost":
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        if self.fault == "not_run":
            self.set_status(503)
            self.finish(msgspec.json.encode(JobError("overloaded", "not_run", "")))
            return
        if self.fault == "crossed":
            names.reverse()
        pairs = zip(names, request.tasks, strict=True)
        answers = ({"task": n, "value": t.payload["value"]} for n, t in pairs)
        self.finish(msgspec.json.encode(JobAnswer(submission, tuple(answers))))


class SmallService(tornado.web.RequestHandler):
    """Issues ids, tells the ledger and some metrics."""

    serials = itertools.count()

    def initialize(self, ledger: StartLedger) -> None:
        self.ledger = ledger

    def post(self) -> None:
        ids = [f"mg1:dc:h:1:{next(self.serials)}" for _ in range(50)]
        self.finish({"submissions": ids})

    def get(self) -> None:
        if self.request.path == "/v1/ledger":
            self.finish(msgspec.json.encode(self.ledger.snapshot()))
            return
        starts = len(self.ledger.snapshot().entries)
        self.finish(
            f'monsoongap_workers_starts_total{{dc="a"}} {starts}\n'
            f"monsoongap_workers_usages_total {starts // 10}\n"
        )


def run_against_small_entry(fault: str) -> tuple[LoadProfile, LoadResult]:
    async def main() -> tuple[LoadProfile, LoadResult]:
        ledger = StartLedger()
        parts: dict[str, Any] = {"ledger": ledger}
        server = HTTPServer(
            tornado.web.Application(
                [
                    (r"/v1/jobs/(.+)", SmallEntry, parts | {"fault": fault}),
                    (r"/.*", SmallService, parts),
                ]
            )
        )
        sock, port = bind_unused_port()
        server.add_sockets([sock])
        url = f"http://127.0.0.1:{port}"
        cfg = LoadProfile(
            target=TargetSection(entries=(url,), ledgers=(url,)),
            deployment=DeploymentSection(round_trips_ms=5),
            arrivals=ArrivalsSection(duration_s=1.0, load=0.2),
            mix=MixSection(
                tasks_min=2, short_min_ms=5, short_max_ms=50, long_share=0.0
            ),
        )
        result = await run_load(cfg)
        server.stop()
        return cfg, result

    return asyncio.run(main())


def test_a_run_is_measured_and_its_report_written(tmp_path: Path) -> None:
    cfg, result = run_against_small_entry("")
    summary = summarize(cfg, result)
    assert summary.violations == () and summary.duplicates == 0
    assert summary.outcomes == {"answered": summary.jobs} and summary.jobs > 10
    short = summary.classes[JobClass.SHORT]
    assert short.ratio_p50 is not None and 0.5 < short.ratio_p50 < 5
    assert summary.messages_per_start == pytest.approx(1.1, abs=0.02)
    page = tmp_path / "out.html"
    write_report(page, cfg, samples_of(cfg, result), summary)
    assert page.read_text().count("data:image/png;base64,") == 3


@pytest.mark.parametrize(
    ("fault", "violation", "outcome"),
    [
        ("crossed", WrongAnswer, "answered"),
        ("not_run", FalseNotRun, "not_run"),
        ("lost", MissingOutcome, "no_outcome"),
    ],
)
def test_a_run_against_a_broken_entry_host_is_caught(
    fault: str, violation: type, outcome: str
) -> None:
    cfg, result = run_against_small_entry(fault)
    summary = summarize(cfg, result)
    assert {type(found) for found in summary.violations or ()} == {violation}
    assert set(summary.outcomes) == {outcome}


def test_quantile_is_the_smallest_value_that_enough_do_not_exceed() -> None:
    hundred = range(1, 101)
    assert (quantile(hundred, 0.5), quantile(hundred, 0.99)) == (50, 99)
    assert quantile([7], 0.99) == 7 and quantile([], 0.5) is None


def make_sample(due_s: float, response_s: float | None) -> Sample:
    outcome = "not_run" if response_s is None else "answered"
    response_ms = 20.0 if response_s is None else response_s * 1000
    good = response_s is not None and response_s <= 2
    return Sample(JobClass.SHORT, due_s * 1000, 500, 8000, response_ms, outcome, good)


def test_crest_goodput_is_the_work_answered_in_its_window_and_deadline() -> None:
    cfg = replace(
        PROFILE,
        deployment=DeploymentSection(workers=1, slots=8),
        arrivals=ArrivalsSection("step", peak_from_s=5, peak_for_s=5),
    )
    in_time = [make_sample(due_s, 1) for due_s in (4.5, 5, 6, 7)]
    other = [make_sample(5, 3), make_sample(9.5, 1), make_sample(8, None)]
    crest = crest_figures(cfg, [*in_time, *other])
    assert crest is not None
    assert (crest.jobs, crest.answered_in_deadline, crest.refused) == (6, 4, 1)
    assert crest.goodput_share == pytest.approx(4 * 8000 / (8 * 5000))
    assert crest.refusal_p99_ms == 20


def test_figures_are_printed_in_a_fixed_form(snapshot: SnapshotAssertion) -> None:
    cfg = replace(
        PROFILE, arrivals=ArrivalsSection("step", peak_from_s=0, duration_s=20)
    )
    planned = list(itertools.islice(plan_jobs(cfg, "run"), 40))
    results = []
    for number, job in enumerate(planned):
        due_ms = job.at_s * 1000
        response_ms = job.job.longest_ms * (1 + number / 10)
        outcome: JobAnswer | JobError = JobAnswer(str(number), ())
        if number % 10 == 9:
            response_ms, outcome = 3, JobError("overloaded", "not_run", "")
        received = (Reception(due_ms + response_ms, outcome),)
        call = CallRecord(str(number), job.job.request, due_ms, received)
        results.append(JobResult(job, due_ms, (call,)))
    calls = tuple(call for result in results for call in result.calls)
    run = RunRecord(calls, Ledger(()))
    measured = LoadResult(tuple(results), 0, 20_000, run, False, {})
    rows = summary_rows(summarize(cfg, measured))
    assert "\n".join(f"{row.label}: {row.value}" for row in rows) == snapshot


def test_program_refuses_a_faulty_profile_with_every_fault(tmp_path: Path) -> None:
    path = tmp_path / "load.ini"
    path.write_text("[mix]\nlong_share = 2\n[arivals]\nload = 1\n")
    refused = run_main(main, "--profile", str(path))
    assert refused.exit_code == 2
    assert "long_share" in refused.output and "arivals" in refused.output
    path.write_text("[mix]\ntasks_min = 9\ntasks_max = 3\n")
    refused = run_main(main, "--profile", str(path))
    assert refused.exit_code == 2 and "is below tasks_min" in refused.output
