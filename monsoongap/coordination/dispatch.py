"""Runs the tasks of one job: slot, lease, start, settle, and the verdict."""

import asyncio
import logging
from dataclasses import dataclass, field, replace

from monsoongap.coordination.dispatch_attempt import Starter
from monsoongap.coordination.dispatch_verdict import TaskFailure, job_verdict
from monsoongap.coordination.parts import (
    Directory,
    Slot,
    SlotEnd,
    SlotResult,
    Slots,
    Ticket,
)
from monsoongap.coordination.retries import RetryBudget
from monsoongap.coordination.settle import (
    Answered,
    Barred,
    NeverStarted,
    TaskEnd,
    Unsettled,
)
from monsoongap.errors import DispatchError, ErrorKind
from monsoongap.protocol.ids import task_id
from monsoongap.protocol.messages import JobOutcome, JobPhase
from monsoongap.state.jobs import JobEntry
from monsoongap.timers import TimerService
from monsoongap.util.interrupt import Interrupted, InterruptedBy

log = logging.getLogger(__name__)

UNSUITABLE_SLOT_S = 0.05
MAX_ATTEMPTS = 1_000


@dataclass(frozen=True, slots=True)
class Bound:
    """The workers a claimed job may be placed on, with their boot numbers.

    Recovery of a dead home asks just these, so nothing may start elsewhere.
    """

    boots: dict[str, int]


@dataclass(slots=True)
class Placing:
    """What one task has learned while looking for a worker."""

    ticket: Ticket
    attempt: int = 0
    too_small: set[str] = field(default_factory=set)
    refused_by: str | None = None


class Dispatcher:
    """Runs jobs on workers, each task started at most once."""

    def __init__(
        self,
        slots: Slots,
        directory: Directory,
        starter: Starter,
        budget: RetryBudget,
        timers: TimerService,
    ) -> None:
        self._slots = slots
        self._directory = directory
        self._starter = starter
        self._budget = budget
        self._timers = timers

    async def run(self, entry: JobEntry, bound: Bound | None) -> JobOutcome:
        """Run an admitted job to its outcome.

        The first task without an answer stops the rest: waiting ones are
        withdrawn and running ones revoked. The deadline does the same.
        """
        entry.phase = JobPhase.RUNNING
        failures: list[TaskFailure] = []
        loop = asyncio.get_running_loop()
        timer = loop.call_at(entry.deadline_at, entry.request_stop, ErrorKind.DEADLINE)
        try:
            async with asyncio.TaskGroup() as group:
                tasks = [
                    group.create_task(self._run_task(entry, index, bound, failures))
                    for index in range(len(entry.req.tasks))
                ]
        finally:
            timer.cancel()
        ends = tuple(task.result() for task in tasks)
        return job_verdict(entry, ends, failures[0] if failures else None)

    async def _run_task(
        self,
        entry: JobEntry,
        index: int,
        bound: Bound | None,
        failures: list[TaskFailure],
    ) -> TaskEnd:
        try:
            end = await self._place(entry, index, bound)
        except Exception:
            log.exception("task run failed", extra={"submission": entry.submission})
            end = Unsettled("internal error")
        if isinstance(end, Answered):
            entry.done += 1
        else:
            failures.append(TaskFailure(index, end))
            entry.request_stop(ErrorKind.TASK_FAILED)
        return end

    async def _place(self, entry: JobEntry, index: int, bound: Bound | None) -> TaskEnd:
        """Try workers until the task ended, or is proved barred and stopped."""
        placing = Placing(self._ticket(entry, index))
        while not entry.stop.done() and placing.attempt < MAX_ATTEMPTS:
            if placing.attempt and not await self._budget.take(entry.stop):
                break
            slot = await self._acquire(entry, placing, bound)
            if isinstance(slot, NeverStarted):
                return slot
            end = await self._use(entry, index, placing, slot, bound)
            if not isinstance(end, Barred):
                return end
        kind = entry.stop.result() if entry.stop.done() else ErrorKind.INTERNAL
        return NeverStarted(kind, "stopped before it started")

    async def _use(
        self,
        entry: JobEntry,
        index: int,
        placing: Placing,
        slot: Slot,
        bound: Bound | None,
    ) -> TaskEnd | Barred:
        boot = bound.boots[slot.worker] if bound else None
        used = SlotResult(SlotEnd.UNUSED)
        try:
            trial = await self._starter.start(entry, index, placing.attempt, slot, boot)
            used = trial.slot_result
        finally:
            self._slots.release(slot, placing.ticket, used)
        placing.attempt += trial.sent
        placing.refused_by = slot.worker
        if trial.unsuitable:
            placing.too_small.add(slot.worker)
        if not trial.sent:
            await asyncio.wait({entry.stop}, timeout=UNSUITABLE_SLOT_S)
        return trial.end

    async def _acquire(
        self, entry: JobEntry, placing: Placing, bound: Bound | None
    ) -> Slot | NeverStarted:
        """Wait for a slot on a worker that may run the task."""
        while not entry.stop.done():
            ticket = placing.ticket
            avoid = self._avoid(placing, bound)
            if avoid or placing.attempt:
                ticket = replace(ticket, avoid=avoid, attempt=placing.attempt)
            try:
                with InterruptedBy(entry.stop):
                    slot = await self._slots.acquire(ticket)
            except Interrupted:
                break
            except DispatchError as exc:
                return NeverStarted(exc.kind, exc.detail, exc.retry_after_ms)
            if not entry.stop.done() and self._suits(slot, placing, bound):
                return slot
            self._slots.release(slot, ticket, SlotResult(SlotEnd.UNUSED))
            await asyncio.wait({entry.stop}, timeout=UNSUITABLE_SLOT_S)
        return NeverStarted(entry.stop.result(), "stopped while it was queued")

    def _avoid(self, placing: Placing, bound: Bound | None) -> frozenset[str]:
        """Return the workers to pass over; the last to refuse if others remain."""
        if bound is None and placing.refused_by is None:
            return frozenset(placing.too_small)
        listed = {info.name for info in self._directory.workers()}
        barred = set(placing.too_small)
        if bound is not None:
            barred |= listed - bound.boots.keys()
        if placing.refused_by is not None and listed - barred - {placing.refused_by}:
            barred.add(placing.refused_by)
        return frozenset(barred)

    def _suits(self, slot: Slot, placing: Placing, bound: Bound | None) -> bool:
        allowed = bound is None or slot.worker in bound.boots
        return allowed and slot.worker not in placing.too_small

    def _ticket(self, entry: JobEntry, index: int) -> Ticket:
        spec = entry.req.tasks[index]
        return Ticket(
            task=task_id(entry.submission, index),
            submission=entry.submission,
            team=entry.req.team,
            kind=entry.req.kind,
            cpus=spec.cpus,
            memory_mb=spec.memory_mb,
            expected_ms=spec.expected_ms,
            deadline_at=entry.deadline_at,
            job_size=len(entry.req.tasks),
        )
