"""One runner as its owner holds it: fence, lease, clock, room, and what runs there.

One task per runner looks at it while anything runs there: each look extends the
lease of all its runs, takes note of their ends and waits for the next one. A run
counts as over only when the runner listed its end, when it cannot have outlived
its lease, or when the runner is known to have begun another life.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any

from monsoongap.coordination.fleet.health import RunnerHealth, is_hung
from monsoongap.coordination.fleet.ports import (
    HigherFence,
    NoAnswer,
    NotSent,
    OtherLife,
    RunnerPort,
)
from monsoongap.protocol.fleet import (
    NO_ROOM,
    EndKind,
    NotStarted,
    Refusal,
    Room,
    RunnerInfo,
    RunnerView,
    RunRow,
    ShareId,
    StartOrder,
    TaskId,
)
from monsoongap.timers import TimerService
from monsoongap.util.background import Background

log = logging.getLogger(__name__)

MS_PER_S = 1000
# A look waits this long for an end. It renews the lease, so it stays well below.
LOOK_WAIT_S = 0.4
# A reply takes a few milliseconds; beyond this the order counts as unanswered.
REPLY_S = 0.3
RETRY_S = 0.1
# Runners may be a little slow: 2 % in the lease, and a margin for rounding.
CLOCK_DRIFT = 0.98
LAPSE_MARGIN_S = 0.03
# A runner that refused a run has no room that its owner knows of, or is unwell.
REFUSED_PAUSE_S = 0.06
# Ends of an idle runner are acknowledged a while later, with the next start's look.
IDLE_NOTE_S = 0.5
# Runs of an earlier owner stay for their caller, who comes back in about 1.3 s.
ORPHAN_S = 2.0
# The room of an earlier owner's run is not told; a runner holds two or three.
ORPHAN_SHARE = 0.5


class RunState(Enum):
    """Where a run is on its way."""

    STARTING = auto()
    RUNNING = auto()
    UNSETTLED = auto()
    STOPPING = auto()


class Over(Enum):
    """Why a run is over for its owner."""

    DONE = auto()
    FAILED = auto()
    STOPPED = auto()
    LOST = auto()
    NO_ROOM = auto()
    OLD_RUN = auto()
    UNHEALTHY = auto()
    MALFORMED = auto()


_OVER_OF = {
    EndKind.DONE: Over.DONE,
    EndKind.FAILED: Over.FAILED,
    EndKind.STOPPED: Over.STOPPED,
    EndKind.LAPSED: Over.LOST,
}
_OVER_OF_REFUSAL = {
    Refusal.NO_ROOM: Over.NO_ROOM,
    Refusal.OLD_RUN: Over.OLD_RUN,
    Refusal.UNHEALTHY: Over.UNHEALTHY,
    Refusal.MALFORMED: Over.MALFORMED,
    Refusal.LEASE_OVER: Over.LOST,
}


@dataclass(slots=True, eq=False)
class Run:
    """One run on one runner. `on_over` is None for a run of an earlier owner."""

    task: TaskId
    number: int
    size: Room
    on_over: Callable[["Run", Over], None] | None
    state: RunState = RunState.STARTING
    began_at: float = 0.0
    confirmed_at: float = float("inf")
    progress: int = 0
    moved_at: float = 0.0
    estimate_s: float = 0.0
    owner: Any = None


class LinkState(Enum):
    """How well the runner is held."""

    NEW = auto()
    HELD = auto()
    SILENT = auto()
    CLOSED = auto()


@dataclass(slots=True, eq=False)
class Link:
    """A runner and everything that its owner knows of it."""

    info: RunnerInfo
    share: ShareId
    fence: int
    lease_s: float
    runners: RunnerPort
    timers: TimerService
    on_fenced: Callable[["Link"], None]
    on_room: Callable[[], None]
    state: LinkState = LinkState.NEW
    runs: dict[TaskId, Run] = field(default_factory=dict)
    done_before: dict[TaskId, float] = field(default_factory=dict)
    free: Room = NO_ROOM
    looks: int = 0
    starts: int = 0
    avoid_until: float = 0.0
    health: RunnerHealth = field(default_factory=RunnerHealth)
    _clock_ms: int = 0
    _clock_at: float = -1.0
    _born_ms: int = 0
    _seen: int = 0
    _noted: int = 0
    _lapse_at: float = 0.0
    _wake: asyncio.Event = field(default_factory=asyncio.Event)
    _background: Background = field(default_factory=Background)

    def open(self) -> None:
        """Begin to hold the runner."""
        self.free = self.info.room
        self._lapse_at = self.timers.now() + self.lease_s / CLOCK_DRIFT
        self._background.spawn(self._hold(), f"runner:{self.info.id}")

    def close(self) -> None:
        """Give the runner up; its runs stay on it for the next owner."""
        self.state = LinkState.CLOSED
        self._background.cancel_all()
        self.runners.forget(self.info)

    def update(self, info: RunnerInfo) -> None:
        """Take in what the runner newly told of itself."""
        grown = info.room != self.info.room
        if grown:
            self.free = self.free.plus(info.room.minus(self.info.room))
        self.info = info

    @property
    def placeable(self) -> bool:
        """Tell whether new runs may be placed here."""
        return (
            self.state is LinkState.HELD
            and not self.info.draining
            and self.timers.now() >= self.avoid_until
        )

    @property
    def settled(self) -> bool:
        """Tell whether every run of an earlier owner is known or surely over."""
        held = self.state is not LinkState.NEW
        return held or self.timers.now() >= self._lapse_at

    def start(self, run: Run, payload: str) -> None:
        """Order a run; `run.on_over` tells its end."""
        now = self.timers.now()
        run.began_at = run.moved_at = now
        self.runs[run.task] = run
        self.free = self.free.minus(run.size)
        self.starts += 1
        self._background.spawn(self._order_start(run, payload), "start")

    def resize(self, run: Run, size: Room) -> None:
        """Correct the room of a run whose size was not known."""
        self.free = self.free.plus(run.size).minus(size)
        run.size = size

    def stop(self, run: Run) -> None:
        """Stop a run; its end is told when it is certain."""
        if run.state is RunState.RUNNING:
            run.state = RunState.STOPPING
            self._background.spawn(self._order_stop(run), "stop")
        elif run.state is RunState.STARTING:
            run.state = RunState.UNSETTLED
            self._background.spawn(self._order_stop(run), "stop")

    # The clock and the lease.

    def _heard_clock(self, clock_ms: int | None) -> None:
        if clock_ms is None:
            return
        now = self.timers.now()
        if self._clock_at < 0 or clock_ms >= self._runner_clock(now):
            self._clock_ms = clock_ms
            self._clock_at = now

    def _runner_clock(self, now: float) -> int:
        return self._clock_ms + int((now - self._clock_at) * MS_PER_S)

    def _next_lease(self) -> int:
        """Return the end of a full lease, and note when it must have lapsed."""
        now = self.timers.now()
        until = self._runner_clock(now) + int(self.lease_s * MS_PER_S)
        left_s = (until - self._clock_ms) / MS_PER_S
        self._lapse_at = max(
            self._lapse_at, self._clock_at + left_s / CLOCK_DRIFT + LAPSE_MARGIN_S
        )
        return until

    # Starting and stopping.

    async def _order_start(self, run: Run, payload: str) -> None:
        order = StartOrder(
            run.task, run.number, payload, self._next_lease(), self.fence
        )
        try:
            result = await self.runners.start(self.info, order)
        except HigherFence:
            self.on_fenced(self)
            return
        except (NotSent, OtherLife):
            self._over(run, Over.UNHEALTHY)
            self._suspect("start not sent")
            return
        except NoAnswer:
            self._suspect("start unanswered")
            if run.state is RunState.STARTING:
                run.state = RunState.UNSETTLED
                await self._order_stop(run)
            return
        self._heard_clock(result.clock_ms)
        if isinstance(result, NotStarted):
            self.avoid_until = self.timers.now() + REFUSED_PAUSE_S
            if run.state in (RunState.STARTING, RunState.UNSETTLED):
                self._over(run, _OVER_OF_REFUSAL.get(result.reason, Over.UNHEALTHY))
            return
        run.confirmed_at = self.timers.now()
        if run.state is RunState.STARTING:
            run.state = RunState.RUNNING
        self._wake.set()

    async def _order_stop(self, run: Run) -> None:
        """Stop until the runner says so; then the run is over or will be listed."""
        while self.runs.get(run.task) is run and self.state is not LinkState.CLOSED:
            try:
                clock_ms = await self.runners.stop(
                    self.info, run.task, run.number, self.fence
                )
            except HigherFence:
                self.on_fenced(self)
                return
            except (NotSent, OtherLife, NoAnswer):
                await self.timers.sleep(RETRY_S)
                continue
            self._heard_clock(clock_ms)
            run.confirmed_at = min(run.confirmed_at, self.timers.now())
            run.state = RunState.STOPPING
            self._wake.set()
            return

    # Looking.

    async def _hold(self) -> None:
        while self.state is not LinkState.CLOSED:
            if self._may_rest():
                self._wake.clear()
                try:
                    async with asyncio.timeout(IDLE_NOTE_S):
                        await self._wake.wait()
                    continue
                except TimeoutError:
                    if self._noted >= self._seen and not self.runs:
                        await self._wake.wait()
                        continue
            await self._look_once()

    def _may_rest(self) -> bool:
        held = self.state is LinkState.HELD
        return held and not self.runs and not self._wake.is_set()

    async def _look_once(self) -> None:
        self._wake.clear()
        held = self.state is LinkState.HELD
        wait_s = LOOK_WAIT_S if held and self.runs else 0.0
        # A silent runner's lease is left to lapse, so that its runs end for certain.
        extend = held and self._clock_at >= 0
        lease = self._next_lease() if extend else None
        sent_at = self.timers.now()
        self.looks += 1
        try:
            view = await self.runners.look(
                self.info,
                self.fence,
                self._seen,
                lease,
                int(wait_s * MS_PER_S),
                self.state is LinkState.SILENT,
            )
        except HigherFence:
            self.on_fenced(self)
            await self.timers.sleep(RETRY_S)
        except (NotSent, NoAnswer, OtherLife) as exc:
            self._suspect(f"look failed: {type(exc).__name__}")
            self._settle_lapsed()
            await self.timers.sleep(RETRY_S)
        else:
            self._absorb(view, sent_at)

    def _suspect(self, why: str) -> None:
        if self.state is LinkState.HELD:
            self.state = LinkState.SILENT
            log.warning("runner silent", extra={"runner": self.info.id, "reason": why})
        self._wake.set()

    def _settle_lapsed(self) -> None:
        """Count the runs of a silent runner as over once their lease has lapsed."""
        if self.timers.now() < self._lapse_at:
            return
        for run in list(self.runs.values()):
            self._over(run, Over.LOST)

    def _absorb(self, view: RunnerView, sent_at: float) -> None:
        if self._born_ms and view.born_ms != self._born_ms:
            self._new_life(view)
        self._born_ms = view.born_ms
        self._heard_clock(view.clock_ms)
        self._noted = max(self._noted, self._seen)
        first = self.state is LinkState.NEW
        if self.state is not LinkState.HELD:
            if not first:
                log.info("runner answers again", extra={"runner": self.info.id})
            self.state = LinkState.HELD
        before = len(self.runs)
        for end in view.ends:
            if end.number <= self._seen:
                continue
            self._seen = end.number
            run = self.runs.get(end.task)
            if run is not None and run.number == end.run:
                self._over(run, _OVER_OF[end.kind])
            elif end.kind is EndKind.DONE:
                self._note_done(end.task)
        self._compare(view.running, sent_at)
        if first or len(self.runs) < before:
            self.on_room()

    def _new_life(self, view: RunnerView) -> None:
        log.warning("runner began another life", extra={"runner": self.info.id})
        self._seen = self._noted = 0
        self._clock_at = -1.0
        self.done_before.clear()
        here = {(row.task, row.run) for row in view.running}
        for run in list(self.runs.values()):
            if (run.task, run.number) not in here:
                self._over(run, Over.LOST)

    def _note_done(self, task: TaskId) -> None:
        now = self.timers.now()
        self.done_before[task] = now
        for old in [t for t, at in self.done_before.items() if now - at > ORPHAN_S]:
            del self.done_before[old]

    def _compare(self, rows: tuple[RunRow, ...], sent_at: float) -> None:
        """Match what the runner says runs with what should run there."""
        now = self.timers.now()
        here = set()
        for row in rows:
            run = self.runs.get(row.task)
            if run is None:
                run = self._adopt(row, now)
            if run.number != row.run:
                continue
            here.add(row.task)
            if row.progress != run.progress or run.state is not RunState.RUNNING:
                run.progress = row.progress
                run.moved_at = now
            elif is_hung(now, run.moved_at, run.estimate_s):
                self._stop_hung(run, now)
            if run.state in (RunState.STARTING, RunState.UNSETTLED):
                if run.state is RunState.STARTING:
                    run.state = RunState.RUNNING
                run.confirmed_at = min(run.confirmed_at, now)
            if run.on_over is None and now - run.began_at > ORPHAN_S:
                self.stop(run)
        for run in list(self.runs.values()):
            if run.task not in here and run.confirmed_at < sent_at:
                self._over(run, Over.LOST)

    def _stop_hung(self, run: Run, now: float) -> None:
        log.warning(
            "run stands still",
            extra={
                "runner": self.info.id,
                "job": run.task.job,
                "progress": run.progress,
                "still_s": round(now - run.moved_at, 3),
            },
        )
        self.health.note_bad(now)
        self.stop(run)

    def _adopt(self, row: RunRow, now: float) -> Run:
        """Take in a run of an earlier owner, for its caller to claim."""
        share = Room(
            int(self.info.room.cpu_milli * ORPHAN_SHARE),
            0,
            0,
        )
        run = Run(row.task, row.run, share, None, RunState.RUNNING, now, now)
        run.moved_at = now
        self.runs[row.task] = run
        self.free = self.free.minus(run.size)
        log.info(
            "run of an earlier owner found",
            extra={"runner": self.info.id, "job": row.task.job, "run": row.run},
        )
        return run

    def _over(self, run: Run, over: Over) -> None:
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self.free = self.free.plus(run.size)
        if over is Over.DONE and run.on_over is not None:
            self.health.note_good(self.timers.now() - run.began_at, run.estimate_s)
        elif over is Over.FAILED:
            self.health.note_bad(self.timers.now())
        if run.on_over is not None:
            run.on_over(run, over)
        elif over is Over.DONE:
            self._note_done(run.task)
