"""One runner as its owner holds it: fence, lease, orders and looks.

One task per runner looks at it while anything runs there: each look extends the
lease of all its runs, takes note of their ends and waits for the next one.
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

# A look waits this long for an end. It renews the lease, so it stays well below.
POLL_WAIT_S = 0.4
RETRY_S = 0.1
# A runner that refused a run has no room that its owner knows of, or is unwell.
REFUSED_PAUSE_S = 0.06
# Ends of an idle runner are acknowledged a while later, with the next start's look.
IDLE_NOTE_S = 0.5
# Runs of an earlier owner stay this much longer than their caller takes to come back.
ORPHAN_MARGIN_S = 0.7


class LinkState(Enum):
    """How well the runner is held."""

    NEW = auto()
    HELD = auto()
    SILENT = auto()
    CLOSED = auto()


@dataclass(slots=True, eq=False)
class Link:
    """A runner that this host owns; `avoid_until` is when it is tried again."""

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
        """Begin to hold the runner."""
        self._background.spawn(self._hold(), f"runner:{self.info.id}")

    def close(self) -> None:
        """Give the runner up; its runs stay on it for the next owner."""
        self.state = LinkState.CLOSED
        self._background.cancel_all()
        self.runners.disconnect(self.info)

    def update(self, info: RunnerInfo) -> None:
        """Take in what the runner newly told of itself."""
        self.info = info
        self.table.update(info)

    def mark_in_doubt(self) -> None:
        """Take note that the former owner may have renewed the lease until now."""
        if self.state is LinkState.NEW:
            lapsed_at = self.timers.now() + longest_lease_s(self.cfg.lease_s)
            self._lease.lapsed_at = max(self._lease.lapsed_at, lapsed_at)

    @property
    def placeable(self) -> bool:
        """Tell whether new runs may be placed here."""
        return (
            self.state is LinkState.HELD
            and not self.info.draining
            and self.timers.now() >= self.avoid_until
        )

    @property
    def serves(self) -> bool:
        """Tell whether the runner works off what waits, now or in a moment."""
        return self.state in (LinkState.NEW, LinkState.HELD) and not self.info.draining

    @property
    def is_reconciled(self) -> bool:
        """Tell whether every run of an earlier owner is known or surely over."""
        held = self.state is not LinkState.NEW
        return held or self.timers.now() >= self._lease.lapsed_at

    def start(self, run: Run, payload: str) -> None:
        """Order a run; `run.on_end` tells its end."""
        self.starts += 1
        # Before the order is sent: an old look that fails now must not end the run.
        until_ms = self._lease.extend(self.timers.now())
        self.table.begin(run)
        self._background.spawn(self._order_start(run, payload, until_ms), "start")

    def stop(self, run: Run) -> None:
        """Stop a run; its end is told when it is certain."""
        match run.state:
            case RunState.RUNNING:
                run.state = RunState.STOPPING
            case RunState.STARTING:
                run.state = RunState.IN_DOUBT
            case _:
                return
        self._background.spawn(self._order_stop(run), "stop")

    async def _order_start(self, run: Run, payload: str, until_ms: int) -> None:
        order = StartRequest(run.task, run.number, payload, until_ms, self.fence)
        try:
            result = await self.runners.start(self.info, order)
        except HigherFence:
            self.on_fenced(self)
            return
        except (NotSent, WrongInstance):
            self.table.end(run, RunOutcome.UNHEALTHY)
            self._suspect("start not sent")
            return
        except NoAnswer:
            self._suspect("start unanswered")
            if run.state is RunState.STARTING:
                run.state = RunState.IN_DOUBT
                await self._order_stop(run)
            return
        now = self.timers.now()
        self._lease.hear(result.clock_ms, now)
        if isinstance(result, NotStarted):
            self.avoid_until = now + REFUSED_PAUSE_S
            if run.state in (RunState.STARTING, RunState.IN_DOUBT):
                over = OUTCOME_OF_REFUSAL.get(result.reason, RunOutcome.UNHEALTHY)
                self.table.end(run, over)
            return
        run.confirmed_at = now
        if run.state is RunState.STARTING:
            run.state = RunState.RUNNING
        self._wake.set()

    async def _order_stop(self, run: Run) -> None:
        """Stop until the runner says so; then the run is over or will be listed."""
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
                    "stop not confirmed",
                    extra={
                        "runner": self.info.id,
                        "job": run.task.job,
                        "reason": reason,
                    },
                )
                await self.timers.sleep(RETRY_S)
                continue
            now = self.timers.now()
            self._lease.hear(clock_ms, now)
            run.confirmed_at = min(run.confirmed_at, now)
            run.state = RunState.STOPPING
            self._wake.set()
            return

    async def _hold(self) -> None:
        while self.state is not LinkState.CLOSED:
            if self._may_rest():
                self._wake.clear()
                try:
                    async with asyncio.timeout(IDLE_NOTE_S):
                        await self._wake.wait()
                    continue
                except TimeoutError:
                    # Nothing was placed meanwhile: rest on, unless ends are not noted.
                    if self.table.all_noted and not self.table.runs:
                        await self._wake.wait()
                        continue
            await self._poll()

    def _may_rest(self) -> bool:
        held = self.state is LinkState.HELD
        return held and not self.table.runs and not self._wake.is_set()

    async def _poll(self) -> None:
        self._wake.clear()
        held = self.state is LinkState.HELD
        wait_s = POLL_WAIT_S if held and self.table.runs else 0.0
        sent_at = self.timers.now()
        # A silent runner's lease is left to lapse, so that its runs end for certain.
        extends = held and self._lease.clock_known
        until_ms = self._lease.extend(sent_at) if extends else None
        self.polls += 1
        try:
            view = await self.runners.poll(
                self.info,
                self.fence,
                self.table.seen_here if held else 0,
                until_ms,
                int(wait_s * MS_PER_S),
                self.state is LinkState.SILENT,
            )
        except HigherFence:
            self.on_fenced(self)
            await self.timers.sleep(RETRY_S)
        except (NotSent, NoAnswer, WrongInstance) as exc:
            self._suspect(f"look failed: {type(exc).__name__}")
            if self.timers.now() >= self._lease.lapsed_at:
                self.table.end_all()
            await self.timers.sleep(RETRY_S)
        else:
            self._absorb(view, sent_at)

    def _suspect(self, why: str) -> None:
        if self.state is LinkState.HELD:
            self.state = LinkState.SILENT
            log.warning("runner silent", extra={"runner": self.info.id, "reason": why})
        self._wake.set()

    def _absorb(self, view: RunnerView, sent_at: float) -> None:
        first = self.state is LinkState.NEW
        if self.state is not LinkState.HELD:
            if not first:
                log.info("runner answers again", extra={"runner": self.info.id})
            self.state = LinkState.HELD
        before = len(self.table.runs)
        if self.table.absorb(view, sent_at):
            self._lease.forget_clock()
        self._lease.hear(view.clock_ms, self.timers.now())
        if first or len(self.table.runs) < before:
            self.on_capacity_change()
