"""One start on one worker, from its lease to a settled end."""

import logging
from dataclasses import dataclass

from monsoongap.coordination.dispatch_leases import LeaseTable
from monsoongap.coordination.parts import (
    Directory,
    HostIdentity,
    Slot,
    SlotEnd,
    SlotResult,
)
from monsoongap.coordination.ports import WorkerPort
from monsoongap.coordination.retries import RetryBudget
from monsoongap.coordination.settle import (
    Answered,
    Attempt,
    Barred,
    Broken,
    NeverStarted,
    Settler,
    TaskEnd,
    Unsettled,
    read_report,
)
from monsoongap.errors import ErrorKind, StartAmbiguous, WorkerUnreachable
from monsoongap.protocol.ids import fence_number, task_id
from monsoongap.protocol.messages import (
    Refusal,
    StartLease,
    TaskReport,
    TaskStart,
    TaskState,
)
from monsoongap.state.jobs import JobEntry
from monsoongap.timers import TimerService
from monsoongap.util.interrupt import Interrupted, InterruptedBy

log = logging.getLogger(__name__)

RECOVERY_FENCE = fence_number(1, 0)


@dataclass(frozen=True, slots=True)
class Trial:
    """How one attempt ended.

    `sent` counts the starts that went out; `unsuitable` says that this worker
    must not be tried again for the task.
    """

    end: TaskEnd | Barred
    slot_result: SlotResult
    sent: int = 1
    unsuitable: bool = False


class Starter:
    """Sends starts and finds out what became of them."""

    def __init__(
        self,
        identity: HostIdentity,
        workers: WorkerPort,
        directory: Directory,
        leases: LeaseTable,
        settler: Settler,
        budget: RetryBudget,
        timers: TimerService,
    ) -> None:
        self._holder = f"{identity.name}:{identity.boot}"
        self._workers = workers
        self._directory = directory
        self._leases = leases
        self._settler = settler
        self._budget = budget
        self._timers = timers

    async def start(
        self,
        entry: JobEntry,
        index: int,
        attempt: int,
        slot: Slot,
        boot: int | None,
    ) -> Trial:
        """Start a task on the slot's worker and wait for its end.

        `boot` is the only boot number of the worker that may take the start, or
        None for any.
        """
        try:
            lease = await self._leases.fresh(slot.worker)
        except WorkerUnreachable as exc:
            return Trial(Barred(str(exc)), SlotResult(SlotEnd.UNREACHABLE), sent=0)
        if boot is not None and lease.boot != boot:
            detail = "the worker restarted since the claim"
            return Trial(Barred(detail), SlotResult(SlotEnd.UNUSED), 0, True)
        if entry.stop.done() or self._timers.now() >= slot.usable_until:
            return Trial(Barred("not sent"), SlotResult(SlotEnd.UNUSED), sent=0)
        request = self._request(entry, index, attempt, lease)
        if attempt == 0:
            self._budget.note_start()
        sent = Attempt(
            slot.worker, entry.submission, request.task, request.fence, lease.boot
        )
        return await self._send(entry, sent, request)

    async def _send(self, entry: JobEntry, sent: Attempt, request: TaskStart) -> Trial:
        try:
            with InterruptedBy(entry.stop):
                report = await self._workers.start(sent.worker, request)
        except WorkerUnreachable as exc:
            self._directory.report_silent(sent.worker)
            return Trial(Barred(str(exc)), SlotResult(SlotEnd.UNREACHABLE))
        except (Interrupted, StartAmbiguous):
            return await self._settle(entry, sent)
        except Exception:
            log.exception("start call failed", extra={"task": sent.task})
            return await self._settle(entry, sent)
        return self._read(entry, sent, report) or await self._settle(entry, sent)

    def _read(self, entry: JobEntry, sent: Attempt, report: TaskReport) -> Trial | None:
        """Judge the reply to a start; None when it proves nothing."""
        if report.task != sent.task:
            log.warning(
                "crossed reply", extra={"task": sent.task, "upstream": sent.worker}
            )
            return None
        self._heard(sent.worker, report)
        if report.state is TaskState.REFUSED:
            return self._refused(sent, report)
        end = read_report(report)
        if end is None or report.boot != sent.boot:
            return None
        return self._trial(entry, end, report)

    def _refused(self, sent: Attempt, report: TaskReport) -> Trial:
        refusal = report.refusal
        log.info(
            "refused",
            extra={
                "submission": sent.submission,
                "task": sent.task,
                "upstream": sent.worker,
                "reason": str(refusal),
            },
        )
        if refusal is Refusal.DRAINING:
            self._directory.report_draining(sent.worker)
        result = SlotResult(SlotEnd.REFUSED, report)
        same_boot = report.boot == sent.boot
        if refusal is Refusal.FENCED and same_boot:
            # Own revocations carry lower fences than the start that follows them.
            detail = "another host recovered this job"
            return Trial(NeverStarted(ErrorKind.HOME_LOST, detail), result)
        unsuitable = refusal is Refusal.TOO_LARGE
        return Trial(Barred(str(refusal)), result, unsuitable=unsuitable)

    async def _settle(self, entry: JobEntry, sent: Attempt) -> Trial:
        end = await self._settler.settle(sent, entry.stop)
        return self._trial(entry, end, None)

    def _trial(
        self,
        entry: JobEntry,
        end: Answered | Broken | Barred | Unsettled,
        report: TaskReport | None,
    ) -> Trial:
        match end:
            case Answered():
                slot_end = SlotEnd.DONE
                self._budget.note_answer()
            case Broken() if entry.stop.done():
                slot_end = SlotEnd.CANCELLED
            case Broken():
                slot_end = SlotEnd.TASK_FAILED
            case Barred():
                slot_end = SlotEnd.UNREACHABLE
            case Unsettled():
                slot_end = SlotEnd.UNSETTLED
        if isinstance(end, Answered | Broken):
            entry.started += 1
        return Trial(end, SlotResult(slot_end, report))

    def _heard(self, worker: str, report: TaskReport) -> None:
        self._leases.note(worker, report.boot, report.clock_ms)
        self._directory.report_alive(worker)

    def _request(
        self, entry: JobEntry, index: int, attempt: int, lease: StartLease
    ) -> TaskStart:
        spec = entry.req.tasks[index]
        return TaskStart(
            task=task_id(entry.submission, index),
            submission=entry.submission,
            team=entry.req.team,
            kind=entry.req.kind,
            holder=self._holder,
            fence=fence_number(0, attempt + 1),
            lease=lease,
            payload=spec.payload,
            cpus=spec.cpus,
            memory_mb=spec.memory_mb,
        )
