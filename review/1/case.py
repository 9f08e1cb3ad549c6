"""Both hosts of a zone are frozen and wake: old requests run beside their repetition.

A client whose job gets no answer sends it again, and by then the platform forwards to
another zone. As the frozen hosts wake, the first copy is still in their sockets.
"""

import asyncio
import signal
from pathlib import Path

from review import lab

FOLDER = Path(__file__).parent
ROUTE = "load"
CLIENTS = 12
PERIOD_S = 2.0
WORK_S = 1.0
DEADLINE_S = 1.5
RESEND_S = 1.3
FREEZE_S = 4.0
# Each zone is calm for this long before its hosts are frozen.
CALM_S = 2.0
ZONES = ("tirol-kuf", "tirol-lnz", "tirol-ibk") * 2


async def client(
    deployment: lab.Lab, zone: str, first_after_s: float, until: asyncio.Event
) -> None:
    """Hand in a job each `PERIOD_S`, and again after no answer, as the pages say."""
    caller = lab.Caller(deployment, zone)
    step = {"count": 1, "cpu": 6800, "memMb": 64, "estRuntimeMs": int(WORK_S * 1000)}
    body = lab.job_body([step], [WORK_S])
    await asyncio.sleep(first_after_s)
    while not until.is_set():
        rest = asyncio.create_task(asyncio.sleep(PERIOD_S))
        job = lab.new_job_id()
        for _ in range(4):
            status = await caller.post(ROUTE, job, body, DEADLINE_S)
            if status not in (None, 502, 504):
                break
            await asyncio.sleep(RESEND_S)
        await rest
    caller.close()


async def freeze(deployment: lab.Lab, zone: str) -> None:
    """Freeze both hosts of a zone."""
    hosts = [host for host in deployment.hosts if host.zone == zone]
    for host in hosts:
        deployment.record.add("freeze", host=host.name)
        host.signal(signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    for host in hosts:
        deployment.record.add("wake", host=host.name)
        host.signal(signal.SIGCONT)


async def play(deployment: lab.Lab, trouble: bool) -> bool:
    """Return whether no task ran twice at one time."""
    async with asyncio.TaskGroup() as clients:
        for zone in ZONES:
            over = asyncio.Event()
            for number in range(CLIENTS):
                first_after_s = PERIOD_S * number / CLIENTS
                clients.create_task(client(deployment, zone, first_after_s, over))
            await asyncio.sleep(CALM_S)
            if trouble:
                await freeze(deployment, zone)
            else:
                await asyncio.sleep(FREEZE_S)
            await asyncio.sleep(CALM_S)
            over.set()
    await asyncio.sleep(1.0)
    found = lab.overlaps(FOLDER / "record.txt")
    for task, began, ended, first, second in found:
        deployment.record.add(
            "two runs at one time",
            task=task,
            since=began,
            until=ended,
            runners=[first, second],
        )
    return not found


if __name__ == "__main__":
    lab.main(play, FOLDER)
