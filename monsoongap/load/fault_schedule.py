"""Plays a schedule of faults against the stand-in while load is offered.

A schedule is a JSON file: a list of steps, each with a time and what happens then.
Faults have the form that the stand-in's `PUT /v1/faults` takes; `leave` and
`back` change workers' state in its host list.
"""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from monsoongap.load.caller import Caller, wall_ms
from monsoongap.load.records import LeaveRecord
from monsoongap.load.settings import TargetSection
from monsoongap.protocol.messages import HostList
from monsoongap.standin.control_server import HostsBody
from monsoongap.standin.faults import Fault, decode_faults, encode_faults

Names = tuple[str, ...]


@dataclass(frozen=True, slots=True)
class _StepBody:
    """One step as the file has it."""

    at_s: Annotated[float, Meta(ge=0, le=86_400)]
    faults: tuple[dict[str, Any], ...] | None = None
    leave: Names = ()
    back: Names = ()


@dataclass(frozen=True, slots=True)
class ScheduleStep:
    """What happens `at_s` seconds after the start of the run.

    `faults` replaces the standing faults, None leaves them alone. The workers in
    `leave` are marked as leaving in the host list, those in `back` as staying.
    """

    at_s: float
    faults: tuple[Fault, ...] | None = None
    leave: Names = ()
    back: Names = ()


def load_schedule(path: Path) -> tuple[ScheduleStep, ...]:
    """Read a schedule, in order of time.

    Raises `msgspec.MsgspecError` or `OSError` naming the fault of the file.
    """
    bodies = msgspec.json.decode(path.read_bytes(), type=tuple[_StepBody, ...])
    steps = (_step(index, body) for index, body in enumerate(bodies))
    return tuple(sorted(steps, key=lambda step: step.at_s))


async def play(
    schedule: Iterable[ScheduleStep], target: TargetSection, caller: Caller
) -> tuple[LeaveRecord, ...]:
    """Carry out each step when it is due and tell which workers left when."""
    began = asyncio.get_running_loop().time()
    leaves: list[LeaveRecord] = []
    for step in schedule:
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, began + step.at_s - now))
        if step.faults is not None:
            body = encode_faults(step.faults)
            for url in target.ledgers:
                await caller.put(f"{url}/v1/faults", body)
        if step.leave or step.back:
            await _mark_hosts(step, target, caller)
            leaves = _noted(leaves, step)
    return tuple(leaves)


def _step(index: int, body: _StepBody) -> ScheduleStep:
    if body.faults is None:
        return ScheduleStep(body.at_s, None, body.leave, body.back)
    try:
        faults = decode_faults(msgspec.json.encode({"faults": body.faults}))
    except msgspec.ValidationError as exc:
        raise msgspec.ValidationError(f"step {index}: {exc}") from exc
    return ScheduleStep(body.at_s, faults, body.leave, body.back)


async def _mark_hosts(
    step: ScheduleStep, target: TargetSection, caller: Caller
) -> None:
    """Change the host list, which the first process of the stand-in serves."""
    url = f"{target.ledgers[0]}/v1/hosts"
    shown: HostList = await caller.fetch(url, HostList)
    changed = tuple(
        replace(host, leaving=host.name in step.leave)
        if host.name in step.leave + step.back
        else host
        for host in shown.hosts
    )
    await caller.put(url, msgspec.json.encode(HostsBody(changed)))


def _noted(leaves: list[LeaveRecord], step: ScheduleStep) -> list[LeaveRecord]:
    now_ms = wall_ms()
    returned = [
        replace(leave, back_at_ms=now_ms)
        if leave.worker in step.back and leave.back_at_ms is None
        else leave
        for leave in leaves
    ]
    return returned + [LeaveRecord(worker, now_ms) for worker in step.leave]
