"""The connection of an owner to one of its runners: fence, lease, requests, polls.

One task per runner polls it while anything runs there. Each poll extends the lease of
all its runs, acknowledges their ends and waits for the next end.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto

from monsoongap.coordination.lease import CLOCK_DRIFT, RunnerLease, longest_lease_s
from monsoongap.coordination.ports import (
    HigherFence,
    NoAnswer,
    NotSent,
    RunnerPort,
    WrongInstance,
)
from monsoongap.coordination.runs import RunTable
from monsoongap.coordination.work import OUTCOME_OF_REFUSAL, Run, RunOutcome, RunState
from monsoongap.protocol.messages import (
    NotStarted,
    RunnerInfo,
    RunnerView,
    ShareId,
    StartRequest,
)
from monsoongap.settings import BoundsSection
from monsoongap.timers import MS_PER_S, TimerService
from monsoongap.util.background import BackgroundTasks

log = logging.getLogger(__name__)

# A runner holds a poll open this long for an end to report. Polls renew the lease, so
# this is well below the lease.
POLL_WAIT_S = 0.4
RETRY_S = 0.1
FIRST_POLL_S = 0.02
# After a refusal: the runner has less capacity than its owner counts, or is unhealthy.
REFUSED_PAUSE_S = 0.06
# Ends on an idle runner are acknowledged after this, or with the poll after a start.
IDLE_ACK_S = 0.5
# Orphan runs are kept this much longer than a caller takes to send the job again.
ORPHAN_MARGIN_S = 0.7


class LinkState(Enum):
    """Whether the runner answers its owner."""

    NEW = auto()
    HELD = auto()
    SILENT = auto()
    CLOSED = auto()


@dataclass(slots=True, eq=False)
class Link:
    """A runner that this host owns; no run is placed on it before `avoid_until`."""

    cfg: BoundsSection
    info: RunnerInfo
    share: ShareId
    fence: int
    runners: RunnerPort
    timers: TimerService
    on_fenced: Callable[["Link"], None]
    on_capacity_change: Callable[[], None]
    checks_capacity: Callable[[str], bool]
    on_orphan_found: Callable[[str], None] = lambda job: None
    table: RunTable = field(init=False)
    state: LinkState = LinkState.NEW
    polls: int = 0
    starts: int = 0
    avoid_until: float = 0.0
    _may_have_restarted: bool = False
    _lease: RunnerLease = field(init=False)
    _wake: asyncio.Event = field(default_factory=asyncio.Event)
    _background: BackgroundTasks = field(default_factory=BackgroundTasks)

    def __post_init__(self) -> None:
        cfg = self.cfg
        lapsed_at = self.timers.now() + cfg.lease_s / CLOCK_DRIFT
        self._lease = RunnerLease(cfg.lease_s, lapsed_at)
        orphan_s = cfg.resend_s + ORPHAN_MARGIN_S
        self.table = RunTable(
            self.info,
            self.timers,
            orphan_s,
            self.stop,
            lambda: self.checks_capacity(self.info.upstream),
            self.on_orphan_found,
        )

    def open(self) -> None:
        """Start polling the runner."""
        self._background.spawn(self._poll_loop(), f"runner:{self.info.id}")

    def close(self) -> None:
        """Stop polling the runner; its runs stay on it for the next owner."""
        self.state = LinkState.CLOSED
        self._background.cancel_all()
        self.runners.disconnect(self.info)

    def update(self, info: RunnerInfo) -> None:
        """Apply a new record of the runner."""
        self.info = info
        self.table.update(info)
        if self.table.is_other_incarnation:
            # The runner has restarted; a poll tells whether this record is its newest.
            self._wake.set()

    def check_incarnation(self) -> None:
        """Poll the runner before the next start: its idle connection was closed."""
        if self.state is LinkState.HELD and not self.table.runs:
            self._may_have_restarted = True
            self._wake.set()

    def mark_in_doubt(self) -> None:
        """Assume that the previous owner renewed the lease until now."""
        if self.state is LinkState.NEW:
            lapsed_at = self.timers.now() + longest_lease_s(self.cfg.lease_s)
            self._lease.lapsed_at = max(self._lease.lapsed_at, lapsed_at)

    def confirm_unowned(self, since: float) -> None:
        """Count a previous owner's lease from `since` if the runner is not reached."""
        if self.state is LinkState.NEW:
            lapsed_at = since + longest_lease_s(self.cfg.lease_s)
            self._lease.lapsed_at = min(self._lease.lapsed_at, lapsed_at)

    def is_placeable(self, now: float) -> bool:
        """Return whether new runs may be placed here.

        The record of another incarnation may have other labels and capacity.
        """
        return (
            self.state is LinkState.HELD
            and not self.info.draining
            and now >= self.avoid_until
            and not self._may_have_restarted
            and not self.table.is_other_incarnation
        )

    @property
    def serves(self) -> bool:
        """Return whether the runner counts as capacity for the backlog.

        A new one does until a lease has passed without an answer.
        """
        starting = self.state is LinkState.NEW and not self.is_reconciled
        return (starting or self.state is LinkState.HELD) and not self.info.draining

    @property
    def is_reconciled(self) -> bool:
        """Return whether all runs of previous owners are known or have ended."""
        held = self.state is not LinkState.NEW
        return held or self.timers.now() >= self._lease.lapsed_at

    @property
    def in_doubt_s(self) -> float:
        """For how long previous owners may have unknown runs here, as is expected.

        The first poll is answered within milliseconds unless the runner is cut off.
        """
        if self.is_reconciled:
            return 0.0
        left_s = max(self._lease.lapsed_at - self.timers.now(), 0.0)
        return left_s if self.polls > 1 else min(left_s, FIRST_POLL_S)

    def start(self, run: Run, payload: str) -> None:
        """Request a start; `run.on_end` is called when the run has ended."""
        self.starts += 1
        # Extended before the request is sent: a poll sent earlier that fails now would
        # otherwise find the lease lapsed and end the run.
        until_ms = self._lease.extend(self.timers.now())
        self.table.add(run)
        # A poll may tell of a restart before the request is sent.
        born_ms = self.table.born_ms
        request = StartRequest(
            run.task, run.number, payload, until_ms, self.fence, born_ms
        )
        self._background.spawn(self._request_start(run, request), "start")

    def stop(self, run: Run) -> None:
        """Stop a run; `run.on_end` is called once its end is certain."""
        match run.state:
            case RunState.RUNNING:
                run.state = RunState.STOPPING
            case RunState.STARTING:
                run.state = RunState.IN_DOUBT
            case _:
                return
        log.info(
            "stop requested",
            extra={
                "job": run.task.job,
                "task": f"{run.task.step}.{run.task.index}",
                "run": run.number,
                "runner": self.info.id,
                "fence": self.fence,
            },
        )
        self._background.spawn(self._request_stop(run), "stop")

    async def _request_start(self, run: Run, request: StartRequest) -> None:
        if run.state is not RunState.STARTING:
            # Stopped before the request was sent, which must not be sent any more.
            self.table.end(run, RunOutcome.STOPPED)
            return
        try:
            result = await self.runners.start(self.info, request)
        except HigherFence:
            self.on_fenced(self)
            return
        except (NotSent, WrongInstance):
            self.table.end(run, RunOutcome.UNHEALTHY)
            self._mark_unresponsive("start request not sent")
            return
        except NoAnswer:
            self._mark_unresponsive("no reply to start request")
            if run.state is RunState.STARTING:
                run.state = RunState.IN_DOUBT
                await self._request_stop(run)
            return
        now = self.timers.now()
        self._lease.record_clock(result.clock_ms, now)
        if isinstance(result, NotStarted):
            self.avoid_until = now + REFUSED_PAUSE_S
            if run.state in (RunState.STARTING, RunState.IN_DOUBT):
                outcome = OUTCOME_OF_REFUSAL.get(result.reason, RunOutcome.UNHEALTHY)
                self.table.end(run, outcome)
            return
        run.confirmed_at = now
        if run.state is RunState.STARTING:
            run.state = RunState.RUNNING
        self._wake.set()

    async def _request_stop(self, run: Run) -> None:
        """Repeat a stop until it is confirmed; the run has ended or is listed then."""
        while self.table.has(run) and self.state is not LinkState.CLOSED:
            try:
                clock_ms = await self.runners.stop(
                    self.info, run.task, run.number, self.fence
                )
            except HigherFence:
                self.on_fenced(self)
                return
            except (NotSent, WrongInstance, NoAnswer) as exc:
                reason = type(exc).__name__
                log.info(
                    "stop not confirmed; retrying",
                    extra={
                        "runner": self.info.id,
                        "job": run.task.job,
                        "reason": reason,
                    },
                )
                await self.timers.sleep(RETRY_S)
                continue
            now = self.timers.now()
            self._lease.record_clock(clock_ms, now)
            run.confirmed_at = min(run.confirmed_at, now)
            run.state = RunState.STOPPING
            self._wake.set()
            return

    async def _poll_loop(self) -> None:
        while self.state is not LinkState.CLOSED:
            if self._may_idle():
                self._wake.clear()
                try:
                    async with asyncio.timeout(IDLE_ACK_S):
                        await self._wake.wait()
                    continue
                except TimeoutError:
                    # Nothing was placed: stay idle if all ends are acknowledged.
                    if self.table.all_acknowledged and not self.table.runs:
                        await self._wake.wait()
                        continue
            try:
                await self._poll()
            except Exception:
                log.exception(
                    "poll raised; polling again", extra={"runner": self.info.id}
                )
                await self.timers.sleep(RETRY_S)

    def _may_idle(self) -> bool:
        held = self.state is LinkState.HELD
        return held and not self.table.runs and not self._wake.is_set()

    async def _poll(self) -> None:
        self._wake.clear()
        held = self.state is LinkState.HELD
        wait_s = POLL_WAIT_S if held and self.table.runs else 0.0
        sent_at = self.timers.now()
        # An unresponsive runner's lease is not renewed: once it has lapsed, its runs
        # have certainly ended.
        extends = held and self._lease.clock_known
        until_ms = self._lease.extend(sent_at) if extends else None
        self.polls += 1
        try:
            view = await self.runners.poll(
                self.info,
                self.fence,
                self.table.last_seen_seq if held else 0,
                until_ms,
                int(wait_s * MS_PER_S),
                self.state is LinkState.SILENT,
            )
        except HigherFence:
            self.on_fenced(self)
            await self.timers.sleep(RETRY_S)
        except (NotSent, NoAnswer, WrongInstance) as exc:
            self._mark_unresponsive(f"poll failed: {type(exc).__name__}")
            if self.timers.now() >= self._lease.lapsed_at:
                self.table.end_all()
            await self.timers.sleep(RETRY_S)
        else:
            self._apply(view, sent_at)

    def _mark_unresponsive(self, reason: str) -> None:
        if self.state is LinkState.HELD:
            self.state = LinkState.SILENT
            log.warning(
                "runner unresponsive", extra={"runner": self.info.id, "reason": reason}
            )
        self._wake.set()

    def _apply(self, view: RunnerView, sent_at: float) -> None:
        first = self.state is LinkState.NEW
        self._may_have_restarted = False
        if self.state is not LinkState.HELD:
            if not first:
                log.info("runner responds again", extra={"runner": self.info.id})
            self.state = LinkState.HELD
        runs_before = len(self.table.runs)
        if self.table.apply(view, sent_at):
            self._lease.forget_clock()
        self._lease.record_clock(view.clock_ms, self.timers.now())
        if first or len(self.table.runs) < runs_before:
            self.on_capacity_change()
