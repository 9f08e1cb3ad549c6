"""What the standing faults of one worker do to its tasks and replies."""

import asyncio
from dataclasses import dataclass, replace
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from monsoongap.protocol.messages import TaskReport, TaskStart
from monsoongap.standin.faults import (
    Chance,
    CrossedReply,
    Drain,
    FailAll,
    FailKind,
    ReplyLate,
    ReplyLost,
    Slow,
    WorkerFault,
)

CROSSED_TASK = "another-submission/0"


class ReplyDropped(Exception):
    """The request took effect and its reply is lost.

    With `silent` the connection hangs, otherwise it is closed.
    """

    def __init__(self, silent: bool) -> None:
        super().__init__("reply lost" + (", connection silent" if silent else ""))
        self.silent = silent


@dataclass(frozen=True, slots=True)
class StandInPayload:
    """What the stand-in reads from a task's payload."""

    run_ms: Annotated[float, Meta(ge=0, le=3_600_000)] = 0.0
    value: Any = None
    fail: bool = False


@dataclass(frozen=True, slots=True)
class RunPlan:
    """How a task will run: its time in seconds and its end."""

    run_s: float
    answer: Any
    error: str | None


class StandingFaults:
    """Plans runs and disturbs replies as the worker's faults say."""

    def __init__(self, worker: str) -> None:
        self._worker = worker
        self._faults: tuple[WorkerFault, ...] = ()
        self._chance = Chance()

    def replace(self, faults: tuple[WorkerFault, ...]) -> None:
        """Replace all faults; they concern this worker."""
        self._faults = faults

    @property
    def drained(self) -> bool:
        """Tell whether a fault makes the worker leave."""
        return any(isinstance(fault, Drain) for fault in self._faults)

    def plan(self, start: TaskStart) -> RunPlan:
        """Decide how long a task runs and how it ends."""
        try:
            payload = msgspec.convert(start.payload or {}, type=StandInPayload)
        except msgspec.ValidationError as exc:
            return RunPlan(0.0, None, f"bad payload: {exc}")
        run_ms = payload.run_ms
        error = "task failed" if payload.fail else None
        for fault in self._faults:
            match fault:
                case FailAll(after_ms=after_ms):
                    run_ms, error = after_ms, "worker fails all"
                case FailKind(task_kind=kind, after_ms=after_ms) if kind == start.kind:
                    run_ms, error = after_ms, f"kind {kind} fails"
                case Slow(factor=factor) if self._strikes(fault):
                    run_ms *= factor
                case _:
                    pass
        answer = {"task": start.task, "value": payload.value}
        return RunPlan(run_ms / 1000, answer, error)

    async def disturb(self, report: TaskReport, is_start: bool) -> TaskReport:
        """Delay, cross or drop a reply; raises `ReplyDropped` for the latter."""
        for fault in self._faults:
            match fault:
                case ReplyLost() if self._hits(fault, is_start):
                    raise ReplyDropped(fault.silent)
                case ReplyLate() if self._hits(fault, is_start):
                    await asyncio.sleep(fault.delay_s)
                case CrossedReply() if is_start and self._strikes(fault):
                    report = _crossed(report)
                case _:
                    pass
        return report

    def _hits(self, fault: ReplyLost | ReplyLate, is_start: bool) -> bool:
        return (is_start or fault.requests == "all") and self._strikes(fault)

    def _strikes(self, fault: Any) -> bool:
        return self._chance.strikes(fault, self._worker)


def _crossed(report: TaskReport) -> TaskReport:
    answer = {"task": CROSSED_TASK, "value": "crossed"}
    return replace(report, task=CROSSED_TASK, answer=answer)
