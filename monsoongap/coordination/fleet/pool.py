"""Placement: waiting tasks onto held runners, or to another owner with room.

Tasks wait at the owner of the data centre that their job came to, in one order,
and are bound to a runner only when it has room: the one that is left with the least
room by it. What finds no room here goes to an owner whose heartbeat told of room; it
starts there at once or comes back.
"""

import asyncio
import bisect
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import accumulate

from monsoongap.coordination.fleet.link import Link, LinkState, Over, Run
from monsoongap.coordination.fleet.ports import RunnerPort
from monsoongap.protocol.fleet import (
    Claim,
    FreeRoom,
    Room,
    RunnerInfo,
    ShareId,
    TaskId,
)
from monsoongap.timers import TimerService

log = logging.getLogger(__name__)

# So many waiting tasks that fit nowhere are passed over for smaller ones.
SCAN_LIMIT = 24
# What is placed in one turn of the loop, so that heartbeats and ends get theirs.
PUMP_LIMIT = 64
PUMP_S = 0.05
FREE_TOLD = 8
# A runner that left the list counts as gone after this, if it still answers.
ABSENT_S = 2.5


@dataclass(slots=True, eq=False)
class Work:
    """A task that is to run. `order` sorts it among all that wait.

    `home` is the share that sees its job through; None for a task that is lent.
    """

    task: TaskId
    queue: str
    payload: str
    size: Room
    order: tuple[float, ...]
    on_over: Callable[["Work", Over, str], None]
    home: ShareId | None
    estimate_s: float = 0.0
    label: str = ""
    rack: str = ""
    most_per_runner: int = 0
    run: int = 1
    avoid: set[str] = field(default_factory=set)
    placed: "Run | None" = None
    link: Link | None = None
    borrowed_from: str = ""
    waiting: bool = False


@dataclass(frozen=True, slots=True)
class Backlog:
    """The orders of all that waits, and the seconds of work up to each of them."""

    orders: list[tuple[float, ...]]
    seconds: list[float]

    def ahead_s(self, order: tuple[float, ...]) -> float:
        """Estimate how long what goes before `order` keeps the owned room busy."""
        return self.seconds[bisect.bisect_left(self.orders, order)]


@dataclass(slots=True)
class PoolCounts:
    """Placement decisions, for the metrics."""

    placed: int = 0
    lent_out: int = 0
    adopted: int = 0
    refused_room: int = 0
    lost: int = 0
    failed: int = 0


@dataclass(slots=True)
class Pool:
    """The runners this host owns and the tasks that wait for them.

    `upstream_of` names the upstream that the newest configuration gives a queue.
    `try_lend` tries to place a task with another owner and tells whether it did.
    """

    lease_s: float
    runners: RunnerPort
    timers: TimerService
    upstream_of: Callable[[str], str | None]
    try_lend: Callable[[Work, str], bool]
    may_lend: Callable[[], bool]
    on_fenced: Callable[[ShareId], None]
    on_room: Callable[[], None]
    on_offer: Callable[[Work], None]
    cancel_borrowed: Callable[[Work], None]
    counts: PoolCounts = field(default_factory=PoolCounts)
    links: dict[str, Link] = field(default_factory=dict)
    _claims: dict[ShareId, Claim] = field(default_factory=dict)
    _listed: dict[str, RunnerInfo] = field(default_factory=dict)
    _absent: dict[str, float] = field(default_factory=dict)
    _waiting: list[Work] = field(default_factory=list)
    _pump_due: bool = False
    _usual_slowness: float = 1.0

    def start(self) -> None:
        """Begin to look after what waits."""
        self.timers.every(PUMP_S, self._tick, "pool")

    # Which runners are held.

    def acquire(self, claim: Claim) -> None:
        """Hold every runner of a share by the claim's fence."""
        self._claims[claim.share] = claim
        self._sync()

    def release(self, share: ShareId) -> list[Work]:
        """Let the runners of a share go; returns what was placed on them."""
        self._claims.pop(share, None)
        dropped: list[Work] = []
        for link in [k for k in self.links.values() if k.share == share]:
            for run in link.runs.values():
                if run.owner is not None:
                    dropped.append(run.owner)
                run.on_over = None
            link.close()
            del self.links[link.info.id]
        return dropped

    def abandon(self) -> None:
        """Let every runner go and tell nobody."""
        for link in self.links.values():
            link.close()
        self.links.clear()
        self._claims.clear()

    def set_listed(self, runners: tuple[RunnerInfo, ...]) -> None:
        """Take in the newest list of runners."""
        self._listed = {r.id: r for r in runners}
        self._sync()

    def is_settled(self, share: ShareId) -> bool:
        """Tell whether all that runs in a share is known here."""
        if share not in self._claims or not self._listed:
            return False
        return all(k.settled for k in self.links.values() if k.share == share)

    def _sync(self) -> None:
        now = self.timers.now()
        for info in self._listed.values():
            claim = self._claim_on(info)
            link = self.links.get(info.id)
            if link is not None:
                self._absent.pop(info.id, None)
                if link.info.address != info.address:
                    self._drop(link)
                    link = None
                else:
                    link.update(info)
            if claim is not None and link is None:
                self._open(info, claim)
        for id_, link in list(self.links.items()):
            if id_ not in self._listed:
                since = self._absent.setdefault(id_, now)
                silent = link.state is not LinkState.HELD
                if now - since > ABSENT_S or (silent and not link.runs):
                    self._retire(link)
        self.pump()

    def _claim_on(self, info: RunnerInfo) -> Claim | None:
        for claim in self._claims.values():
            if claim.covers(info.dc, info.id):
                return claim
        return None

    def _open(self, info: RunnerInfo, claim: Claim) -> None:
        link = Link(
            info,
            claim.share,
            claim.fence,
            self.lease_s,
            self.runners,
            self.timers,
            on_fenced=self._fenced,
            on_room=self.pump,
        )
        self.links[info.id] = link
        link.open()

    def _retire(self, link: Link) -> None:
        """Give no more work to a runner that is gone; drop it when it is empty."""
        link.avoid_until = float("inf")
        if not link.runs:
            self._drop(link)

    def _drop(self, link: Link) -> None:
        log.info("runner dropped", extra={"runner": link.info.id})
        link.close()
        del self.links[link.info.id]
        self._absent.pop(link.info.id, None)
        for run in list(link.runs.values()):
            if run.on_over is not None:
                run.on_over(run, Over.LOST)

    def _fenced(self, link: Link) -> None:
        if link.info.id in self.links:
            log.warning("runner obeys another owner", extra={"runner": link.info.id})
            self.on_fenced(link.share)

    # What waits, and where it goes.

    @property
    def waiting(self) -> int:
        """Number of tasks that wait."""
        return len(self._waiting)

    def add(self, work: Work) -> None:
        """Let a task wait for room."""
        work.waiting = True
        work.placed = work.link = None
        work.borrowed_from = ""
        bisect.insort(self._waiting, work, key=_order)
        self.pump()

    def withdraw(self, work: Work) -> None:
        """Take a task out: out of the queue, or stop it where it runs."""
        if work.waiting:
            work.waiting = False
            self._waiting.remove(work)
            work.on_over(work, Over.STOPPED, "")
        elif work.link is not None and work.placed is not None:
            work.link.stop(work.placed)
        elif work.borrowed_from:
            self.cancel_borrowed(work)

    def place_now(self, work: Work) -> bool:
        """Start a task at once if a runner has room; tell whether it did."""
        upstream = self.upstream_of(work.queue)
        link = self._best(work, upstream) if upstream else None
        if link is None:
            return False
        self._launch(work, link)
        return True

    def adopt(self, work: Work) -> bool:
        """Take over a run of an earlier owner of the same task, or its end."""
        for link in self.links.values():
            run = link.runs.get(work.task)
            if run is not None and run.on_over is None:
                self.counts.adopted += 1
                link.resize(run, work.size)
                run.estimate_s = work.estimate_s
                self._bind(work, link, run)
                return True
            if link.done_before.pop(work.task, None) is not None:
                self.counts.adopted += 1
                work.on_over(work, Over.DONE, link.info.id)
                return True
        return False

    def runs_of(self, job: str) -> list[tuple[Link, Run]]:
        """Return what is left of a job on the owned runners."""
        return [
            (link, run)
            for link in self.links.values()
            for run in link.runs.values()
            if run.task.job == job
        ]

    def pump(self) -> None:
        """Place what can be placed, once in this turn of the loop."""
        if not self._pump_due:
            self._pump_due = True
            asyncio.get_running_loop().call_soon(self._pump)

    def free_rooms(self) -> tuple[FreeRoom, ...]:
        """Tell the largest free rooms, for other owners; none while tasks wait."""
        if self._waiting:
            return ()
        rooms = [
            FreeRoom(link.info.upstream, link.free, link.info.labels)
            for link in self.links.values()
            if link.placeable and link.free.cpu_milli > 0
        ]
        rooms.sort(key=lambda r: -r.room.cpu_milli)
        return tuple(rooms[:FREE_TOLD])

    def _tick(self) -> None:
        slow = sorted(link.health.slowness for link in self.links.values())
        if slow:
            self._usual_slowness = slow[len(slow) // 2]
        self._sync()

    def backlog(self) -> "Backlog":
        """Return what waits now, as work over the room that works it off."""
        cores = self._cores()
        work = (w.size.cpu_milli * w.estimate_s / cores for w in self._waiting)
        return Backlog([w.order for w in self._waiting], [0.0, *accumulate(work)])

    def _cores(self) -> float:
        """Return the processors of all usable runners, in thousandths."""
        usable = sum(
            link.info.room.cpu_milli for link in self.links.values() if link.placeable
        )
        return max(usable, 1)

    def demote(self, works: list[Work], order: tuple[float, ...]) -> None:
        """Put tasks that wait behind others of their priority."""
        for work in works:
            if work.waiting:
                self._waiting.remove(work)
                work.order = (*order, *work.order[len(order) :])
                bisect.insort(self._waiting, work, key=_order)

    def _pump(self) -> None:
        self._pump_due = False
        passed = 0
        batch = self._waiting[:PUMP_LIMIT]
        for work in batch:
            if passed >= SCAN_LIMIT:
                break
            if work.size.cpu_milli > self._largest_free() and not self.may_lend():
                passed += 1
                continue
            upstream = self.upstream_of(work.queue)
            link = self._best(work, upstream) if upstream else None
            if link is not None:
                self._take(work)
                self._launch(work, link)
            elif upstream and self.try_lend(work, upstream):
                self._take(work)
                self.counts.lent_out += 1
            else:
                passed += 1
        if len(batch) == PUMP_LIMIT and passed < SCAN_LIMIT:
            self.pump()
        self.on_room()

    def _largest_free(self) -> int:
        """Return the most processors that are free on one runner."""
        return max((link.free.cpu_milli for link in self.links.values()), default=0)

    def _take(self, work: Work) -> None:
        work.waiting = False
        self._waiting.remove(work)

    def _best(self, work: Work, upstream: str) -> Link | None:
        """Return the runner that is left with the least room by this task."""
        if 2 * len(work.avoid) > len(self.links):
            work.avoid.clear()
        fitting = [
            link
            for link in self.links.values()
            if link.info.upstream == upstream
            and link.info.id not in work.avoid
            and link.free.holds(work.size)
            and link.placeable
            and (not work.label or work.label in link.info.labels)
            and (not work.most_per_runner or self._spread(work, link))
        ]
        if not fitting:
            return None
        now = self.timers.now()
        good = [
            link
            for link in fitting
            if not link.health.is_suspect(now, self._usual_slowness)
        ]
        if work.rack:
            near = [link for link in good if work.rack in link.info.labels]
            good = near or good
        return min(good or fitting, key=lambda link: link.free.cpu_milli)

    def _spread(self, work: Work, link: Link) -> bool:
        same = sum(
            1
            for run in link.runs.values()
            if (run.task.job, run.task.step) == (work.task.job, work.task.step)
        )
        return same < work.most_per_runner

    def _launch(self, work: Work, link: Link) -> None:
        run = Run(work.task, work.run, work.size, None, estimate_s=work.estimate_s)
        self.counts.placed += 1
        self._bind(work, link, run)
        log.info(
            "task placed",
            extra={
                "job": work.task.job,
                "task": f"{work.task.step}.{work.task.index}",
                "run": work.run,
                "runner": link.info.id,
                "free_cpu": link.free.cpu_milli,
                "waiting": len(self._waiting),
            },
        )
        link.start(run, work.payload)

    def _bind(self, work: Work, link: Link, run: Run) -> None:
        work.placed = run
        work.link = link
        work.run = run.number
        run.owner = work
        self.on_offer(work)

        def over(run: Run, how: Over) -> None:
            match how:
                case Over.FAILED:
                    self.counts.failed += 1
                case Over.NO_ROOM:
                    self.counts.refused_room += 1
                case Over.LOST:
                    self.counts.lost += 1
            work.on_over(work, how, link.info.id)

        run.on_over = over


def _order(work: Work) -> tuple[float, ...]:
    return work.order
