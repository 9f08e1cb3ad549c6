"""A runner returns under its id as another kind and gets tasks that it must not run."""

import asyncio
import json
import random
from collections import Counter
from pathlib import Path

from review import lab

FOLDER = Path(__file__).parent
ROUTE = "bolt"
LABEL = "b"
JOBS_PER_S = 20
DEADLINE_S = 1.5
RESEND_S = 1.3
WORK_S = 0.17
DOWN_S = 3.0
BETWEEN_S = 3.0


async def client(deployment: lab.Lab, zone: str) -> None:
    """Hand in one job whose tasks need a label, and again after no answer."""
    step = {"count": 2, "cpu": 6800, "memMb": 64, "estRuntimeMs": 170}
    body = json.loads(lab.job_body([{**step, "requiredLabels": LABEL}], [WORK_S]))
    body["spec"] = json.dumps({**json.loads(body["spec"]), "label": LABEL})
    content, job = json.dumps(body).encode(), lab.new_job_id()
    for _ in range(3):
        host = deployment.ingress(zone)
        status = await deployment.post(host, ROUTE, job, content, DEADLINE_S)
        if status not in (None, 502, 504):
            return
        await asyncio.sleep(RESEND_S)


async def send_jobs(deployment: lab.Lab, clients: asyncio.TaskGroup) -> None:
    """Send jobs at a steady rate to all zones until cancelled."""
    while True:
        clients.create_task(client(deployment, random.choice(deployment.zones)))
        await asyncio.sleep(1 / JOBS_PER_S)


async def play(deployment: lab.Lab, trouble: bool) -> bool:
    """Return whether every task ran on a runner with its label.

    A start counts only if the life of the runner had answered a poll before, so that
    its owner had been told of it.
    """
    async with asyncio.TaskGroup() as clients:
        traffic = asyncio.create_task(send_jobs(deployment, clients))
        await asyncio.sleep(BETWEEN_S)
        for runner in [r for r in deployment.runners if r.kind.label == LABEL]:
            if trouble:
                runner.crash()
                await asyncio.sleep(DOWN_S)
                # Rack and room stay with the machine.
                life = lab.Kind("a", runner.kind.cpu, runner.kind.mem_mb)
                await runner.start_life(life)
            else:
                await asyncio.sleep(DOWN_S)
            await asyncio.sleep(BETWEEN_S)
        traffic.cancel()
    wrong = [
        start
        for start in deployment.starts()
        if start["label"] != start["spec"]["label"] and start["polled_s"] is not None
    ]
    by_runner = Counter(start["runner"] for start in wrong)
    deployment.record.add(
        "starts without the label",
        count=len(wrong),
        of=len(deployment.starts()),
        by_runner=by_runner,
        latest_after_poll_s=max((s["polled_s"] for s in wrong), default=None),
    )
    return not wrong


if __name__ == "__main__":
    lab.main(play, FOLDER)
