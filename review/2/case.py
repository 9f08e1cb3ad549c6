"""A job at work is answered 404 when its owner leaves after its route was removed.

A configuration removes a route while jobs of it run. Then the owner of the zone's
runners is stopped and started; its jobs are handed over to the next owner.
"""

import asyncio
import json
import signal
from pathlib import Path

from review import lab

FOLDER = Path(__file__).parent
ZONE = "tirol-kuf"
ROUTE = "load"
JOBS_PER_S = 10
DEADLINE_S = 1.5
RESEND_S = 1.3
WORK_S = 1.0
BEFORE_S = 3.0
CONFIG_TO_STOP_S = 0.3
REJECTED = (404, 429, 503)


async def client(
    deployment: lab.Lab, answers: dict[str, list[int | None]], job: str
) -> None:
    """Hand in one job, and again after no answer, as the pages say."""
    step = {"count": 2, "cpu": 6800, "memMb": 64, "estRuntimeMs": int(WORK_S * 1000)}
    body = lab.job_body([step], [WORK_S])
    answers[job] = []
    for _ in range(3):
        host = deployment.ingress(ZONE)
        status = await deployment.post(host, ROUTE, job, body, DEADLINE_S)
        answers[job].append(status)
        if status not in (None, 502, 504):
            return
        await asyncio.sleep(RESEND_S)


async def remove_route(deployment: lab.Lab) -> None:
    """Write a configuration without the route."""
    newest = deployment.store.newest["keyed.op"]["config"][1]
    config = json.loads(newest)
    config["version"] += 4
    config["routes"] = [r for r in config["routes"] if r["name"] != ROUTE]
    await deployment.store.append("keyed.op", "config", json.dumps(config).encode())
    deployment.record.add("configuration without the route", version=config["version"])


async def restart(deployment: lab.Lab, host: lab.EntryHost) -> None:
    """Stop a host by SIGTERM, and start it again as the platform does."""
    deployment.record.add("SIGTERM", host=host.name)
    host.signal(signal.SIGTERM)
    assert host.process is not None
    await asyncio.to_thread(host.process.wait)
    deployment.record.add("stopped", host=host.name, code=host.process.returncode)
    host.start()


async def play(deployment: lab.Lab, trouble: bool) -> bool:
    """Return whether no rejected job has run."""
    answers: dict[str, list[int | None]] = {}
    async with asyncio.TaskGroup() as clients:
        for _ in range(int(BEFORE_S * JOBS_PER_S)):
            clients.create_task(client(deployment, answers, lab.new_job_id()))
            await asyncio.sleep(1 / JOBS_PER_S)
        if trouble:
            owner = deployment.owner_of(ZONE)
            await remove_route(deployment)
            await asyncio.sleep(CONFIG_TO_STOP_S)
            clients.create_task(restart(deployment, owner))
    await asyncio.sleep(3.0)
    began = {start["task"].split(".")[0] for start in deployment.starts()}
    wrong = [
        job
        for job, statuses in answers.items()
        if job in began and all(status in REJECTED for status in statuses)
    ]
    for job in wrong:
        deployment.record.add("rejected and run", job=job, answers=answers[job])
    return not wrong


if __name__ == "__main__":
    lab.main(play, FOLDER)
