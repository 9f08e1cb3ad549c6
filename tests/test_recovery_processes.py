"""A killed and a paused entry process, judged by its callers and the ledger."""

import asyncio
import signal
import time
from pathlib import Path

from bench.processes import Programs, running
from monsoongap.load.checker import require_clean
from monsoongap.load.local_deployment import LocalEntry, write_deployment
from monsoongap.load.records import CallRecord, RunRecord
from monsoongap.load.settings import DeploymentSection
from monsoongap.protocol.messages import (
    JobAnswer,
    JobError,
    JobRequest,
    TaskSpec,
)
from monsoongap.transport.http_conn import ExchangeLost
from tests.process_calls import fetch_ledger, send_job

SIZE = DeploymentSection(name="test", entries=3, workers=3, slots=6)
DEADLINE_MS = 20_000
PAUSE_S = 4.0
STARTED = 2
LOOK_S = 0.05
MAX_LOOKS = 200
SETTINGS = {"peers": {"heartbeat_s": 0.2, "suspect_after_s": 0.6}}
SHORT = JobRequest(
    "team", "a", (TaskSpec({"run_ms": 3_000.0, "value": 1}),) * STARTED, DEADLINE_MS
)
LONG = JobRequest(
    "team", "b", (TaskSpec({"run_ms": 500.0, "value": 2}),) * 200, DEADLINE_MS
)


async def call(entry: LocalEntry, key: str, req: JobRequest) -> CallRecord:
    """Submit a job and record what came back, or that its host was killed."""
    sent_ms = time.time() * 1000
    try:
        return await send_job(entry, key, req)
    except ExchangeLost:
        return CallRecord(key, req, sent_ms, host=entry.name, abandoned=True)


async def wait_until_started(control: str, key: str) -> None:
    """Wait until some tasks of a submission have started."""
    for _ in range(MAX_LOOKS):
        entries = (await fetch_ledger(control)).entries
        if sum(entry.submission == key for entry in entries) >= STARTED:
            return
        await asyncio.sleep(LOOK_S)
    raise TimeoutError(f"{key} did not start")


def test_jobs_of_killed_and_paused_processes_are_told_the_truth(
    tmp_path: Path,
) -> None:
    """Each short job has started whole, most of a long one waits for slots."""
    deployment = write_deployment(tmp_path, SIZE, SETTINGS)
    killed, paused, staying = deployment.entries

    async def main(programs: Programs) -> RunRecord:
        processes = {p.name: p.process for p in programs.started}
        first = []
        for kind, req in (("short", SHORT), ("long", LONG)):
            for entry in (killed, paused):
                key = f"{kind}-{entry.name}"
                first.append(asyncio.create_task(call(entry, key, req)))
                await wait_until_started(deployment.control, key)
        processes[killed.name].send_signal(signal.SIGKILL)
        processes[paused.name].send_signal(signal.SIGSTOP)
        again = [
            asyncio.create_task(call(staying, f"{kind}-{entry.name}", req))
            for kind, req in (("short", SHORT), ("long", LONG))
            for entry in (killed, paused)
        ]
        await asyncio.sleep(PAUSE_S)
        processes[paused.name].send_signal(signal.SIGCONT)
        late = await asyncio.gather(*again)
        early = await asyncio.gather(*first)
        for short in late[:2]:
            assert isinstance(short.received[0].outcome, JobAnswer)
        for long in late[2:]:
            assert isinstance(long.received[0].outcome, JobError)
        assert all(record.received for record in early if record.host == paused.name)
        return RunRecord((*early, *late), await fetch_ledger(deployment.control))

    with running(deployment, tmp_path) as programs:
        run = asyncio.run(main(programs))
    require_clean(run)
