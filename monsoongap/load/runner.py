"""Runs a plan against a deployment and gathers what can be seen of it."""

import asyncio
import logging
import re
import secrets
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from tornado.httpclient import HTTPClientError

from monsoongap.load.caller import Caller, wall_ms
from monsoongap.load.fault_schedule import ScheduleStep, play
from monsoongap.load.plan import PlannedJob, plan_jobs
from monsoongap.load.records import CallRecord, RunRecord
from monsoongap.load.settings import LoadProfile
from monsoongap.protocol.messages import Ledger, LedgerEntry

log = logging.getLogger(__name__)

LEDGER_SETTLE_S = 0.5

_MESSAGE_METRIC = re.compile(
    r"^monsoongap_\w+_(starts|inspects|revokes|usages)_total(?:\{[^}]*\})? (\S+)$",
    re.MULTILINE,
)


@dataclass(frozen=True, slots=True)
class JobResult:
    """One planned job and the calls it was submitted with."""

    planned: PlannedJob
    due_ms: float
    calls: tuple[CallRecord, ...]


@dataclass(frozen=True, slots=True)
class LoadResult:
    """Everything measured in one run.

    `ledger_seen` is false without a stand-in to ask. `messages` counts requests
    to workers by purpose, and is empty when no entry host tells them.
    """

    results: tuple[JobResult, ...]
    began_ms: float
    ended_ms: float
    run: RunRecord
    ledger_seen: bool
    messages: dict[str, float]


async def run_load(
    cfg: LoadProfile, schedule: tuple[ScheduleStep, ...] = ()
) -> LoadResult:
    """Run the profile's plan and collect records, ledger and message counts.

    The faults of `schedule` are shown meanwhile.
    """
    caller = Caller(cfg)
    try:
        before = await _message_counts(cfg, caller)
        began_ms = wall_ms()
        results, leaves = await asyncio.gather(
            _run_plan(cfg, caller), play(schedule, cfg.target, caller)
        )
        ended_ms = wall_ms()
        await asyncio.sleep(LEDGER_SETTLE_S)
        after = await _message_counts(cfg, caller)
        ledger = await _collect_ledger(cfg, caller)
    finally:
        caller.close()
    calls = tuple(call for result in results for call in result.calls)
    own = {call.submission for call in calls}
    entries = tuple(entry for entry in ledger if entry.submission in own)
    return LoadResult(
        results=results,
        began_ms=began_ms,
        ended_ms=ended_ms,
        run=RunRecord(calls, Ledger(entries), leaves),
        ledger_seen=bool(cfg.target.ledgers),
        messages={name: after[name] - before.get(name, 0.0) for name in after},
    )


async def _run_plan(cfg: LoadProfile, caller: Caller) -> tuple[JobResult, ...]:
    """Submit each job when it is due, whatever became of the ones before."""
    run_name = f"{cfg.deployment.name}-{secrets.token_hex(4)}"
    loop = asyncio.get_running_loop()
    began = loop.time()
    began_ms = wall_ms()
    running: list[asyncio.Task[JobResult]] = []
    for planned in plan_jobs(cfg, run_name):
        await asyncio.sleep(max(0.0, began + planned.at_s - loop.time()))
        due_ms = began_ms + planned.at_s * 1000
        running.append(asyncio.create_task(_run_job(caller, planned, due_ms)))
    return tuple(await asyncio.gather(*running))


async def _run_job(caller: Caller, planned: PlannedJob, due_ms: float) -> JobResult:
    submission = planned.own_key
    if submission is None:
        try:
            submission = await caller.issued_id(planned.entries[0])
        except (HTTPClientError, OSError) as exc:
            log.warning("no id issued", extra={"reason": str(exc)})
            return JobResult(planned, due_ms, ())
    request = planned.job.request
    calls = (caller.submit(entry, submission, request) for entry in planned.entries)
    return JobResult(planned, due_ms, tuple(await asyncio.gather(*calls)))


async def _message_counts(cfg: LoadProfile, caller: Caller) -> dict[str, float]:
    """Add up the requests to workers that the entry hosts' metrics tell."""
    counts: dict[str, float] = defaultdict(float)
    for entry in cfg.target.entries:
        try:
            text = await caller.fetch_text(f"{entry}/metrics")
        except (HTTPClientError, OSError) as exc:
            log.warning("no metrics", extra={"upstream": entry, "reason": str(exc)})
            continue
        for purpose, value in _MESSAGE_METRIC.findall(text):
            counts[purpose] += float(value)
    return counts


async def _collect_ledger(cfg: LoadProfile, caller: Caller) -> Iterable[LedgerEntry]:
    entries: list[LedgerEntry] = []
    for url in cfg.target.ledgers:
        ledger: Ledger = await caller.fetch(f"{url}/v1/ledger", Ledger)
        entries.extend(ledger.entries)
    return entries
