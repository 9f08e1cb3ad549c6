"""Placement: waiting tasks onto held runners, or to another owner with room.

Tasks wait at the owner of the share that their job falls to, in one order,
and are bound to a runner only when it has room: the one that is left with the least
room by it. What finds no room here goes to an owner whose heartbeat told of room; it
starts there at once or comes back.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from monsoongap.coordination.borrowing import Borrowing
from monsoongap.coordination.coverage import Coverage
from monsoongap.coordination.link import Link, LinkState
from monsoongap.coordination.lost_replies import LostReplies
from monsoongap.coordination.placement import best_runner
from monsoongap.coordination.planned_placement import PlannedPlacement
from monsoongap.coordination.ports import RunnerPort
from monsoongap.coordination.start_basis import start_fields
from monsoongap.coordination.time_budget import objective_s
from monsoongap.coordination.waiting import Backlog, Waiting
from monsoongap.coordination.work import Run, RunOutcome, Work
from monsoongap.protocol.messages import (
    Claim,
    FreeCapacity,
    Resources,
    RunnerDigest,
    RunnerInfo,
    ShareId,
    TaskId,
)
from monsoongap.settings import BoundsSection
from monsoongap.state.directory import Directory
from monsoongap.state.job_locations import JobLocation
from monsoongap.timers import MS_PER_S, Subscription, TimerService

log = logging.getLogger(__name__)

# So many kinds of waiting tasks that fit nowhere are passed over for smaller ones.
SCAN_LIMIT = 24
# What is placed in one turn of the loop, so that heartbeats and ends get theirs.
PUMP_LIMIT = 64
PUMP_S = 0.05
FREE_TOLD = 8
# A runner that left the list counts as gone after this, if it still answers.
ABSENT_S = 2.5
# Owners send each other a heartbeat at least each 0.2 s. A full lease that is granted
# until then lapses before a caller that was lost in the cut comes again.
CONTACT_S = 0.25
# A stop of an orphan run takes 50 ms.
ORPHAN_STOP_S = 0.1
# A runner that joins gets no task before three heartbeats have told that it is held:
# one at once, then one each 0.2 s.
JOIN_S = 0.5


@dataclass(slots=True)
class PoolCounts:
    """Placement decisions, for the metrics."""

    placed: int = 0
    borrowed: int = 0
    adopted: int = 0
    refused_room: int = 0
    lost: int = 0
    failed: int = 0


@dataclass(slots=True)
class Pool:
    """The runners this host owns and the tasks that wait for them.

    `on_dispatch` is called with each task that is given to a runner, `on_held` when a
    runner is newly held, `on_orphan_found` with the id of each job of which an orphan
    run is found. `location_of` returns which other owner announced a job, for the log.
    `is_in_touch` returns whether no data centre is out of touch, `hears_former_owners`
    whether hosts that may have owned runners of a data centre would be heard.
    `contact_at` returns when all owners were last heard, `awaited_at` when a caller of
    a job was last known to wait.
    `planned` decides where tasks go if a horizon is set.
    """

    cfg: BoundsSection
    runners: RunnerPort
    timers: TimerService
    directory: Directory
    borrowing: Borrowing
    coverage: Coverage
    on_fenced: Callable[[ShareId], None]
    on_capacity_change: Callable[[], None]
    on_dispatch: Callable[[Work], None] = lambda work: None
    on_held: Callable[[], None] = lambda: None
    on_orphan_found: Callable[[str], None] = lambda job: None
    location_of: Callable[[str], JobLocation | None] = lambda job: None
    is_in_touch: Callable[[], bool] = lambda: True
    hears_former_owners: Callable[[str], bool] = lambda dc: True
    contact_at: Callable[[], float] = lambda: float("inf")
    awaited_at: Callable[[str], float] = lambda job: float("inf")
    counts: PoolCounts = field(default_factory=PoolCounts)
    planned: PlannedPlacement | None = None
    links: dict[str, Link] = field(default_factory=dict)
    _claims: dict[ShareId, Claim] = field(default_factory=dict)
    # The claimed shares that were reconciled at some time since the claim.
    _once_reconciled: set[ShareId] = field(default_factory=set)
    _listed: dict[str, RunnerInfo] = field(default_factory=dict)
    _absent: dict[str, float] = field(default_factory=dict)
    _waiting: Waiting = field(default_factory=Waiting)
    _pump_due: bool = False
    _moved: bool = False
    usual_slowness: float = 1.0
    lost_replies: LostReplies = field(default_factory=LostReplies)

    def start(self) -> Subscription:
        """Begin to look after what waits."""
        return self.timers.every(PUMP_S, self._tick, "pool")

    # Which runners are held.

    def acquire(self, claim: Claim) -> None:
        """Hold every runner of a share by the claim's fence."""
        self._claims[claim.share] = claim
        self._once_reconciled.discard(claim.share)
        self.coverage.acquire(claim)
        self._sync(joins=False)

    def owns(self, share: ShareId) -> bool:
        """Tell whether this host owns a share."""
        return share in self._claims

    def release(self, share: ShareId) -> list[Work]:
        """Let the runners of a share go; returns what was placed on them.

        The runs go on there, and no longer report their ends to the tasks.
        """
        claim = self._claims.pop(share, None)
        if claim is not None:
            self.coverage.release(claim)
        dropped: list[Work] = []
        for link in [k for k in self.links.values() if k.share == share]:
            for run in link.table.runs.values():
                if run.work is not None:
                    run.work.active_run = run.work.link = None
                    dropped.append(run.work)
                run.on_end = None
            link.close()
            del self.links[link.info.id]
        for link in self.links.values():
            link.table.orphan_runs_of(share)
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

    def mark_share_in_doubt(self, share: ShareId) -> None:
        """Take note that another owner may have given leases in a share till now."""
        self.coverage.mark_in_doubt(share)
        for link in self.links.values():
            if link.share == share:
                link.mark_in_doubt()

    def confirm_unowned(self, claim: Claim, asked_at: float, since: float) -> bool:
        """Count leases from `since`; see `Coverage.confirm_unowned`."""
        if not self.coverage.confirm_unowned(claim, asked_at, since):
            return False
        for link in self.links.values():
            if link.share == claim.share:
                link.confirm_unowned(since)
        return True

    def is_in_doubt(self, claim: Claim) -> bool:
        """Return whether runs of previous owners of a claimed share may be unknown."""
        return self.in_doubt_s(claim.share) > 0

    def in_doubt_s(self, share: ShareId) -> float:
        """Return for how long runs of previous owners may be unknown, in seconds."""
        claim = self._claims.get(share)
        if claim is None or not self._listed:
            return self.cfg.lease_s
        waits = (k.in_doubt_s for k in self.links.values() if k.share == share)
        in_doubt_s = self.coverage.in_doubt_s(claim, self._held(share))
        return max(waits, default=0.0) if in_doubt_s <= 0 else in_doubt_s

    def is_reconciled(self, share: ShareId) -> bool:
        """Tell whether all that runs in a share is known here."""
        claim = self._claims.get(share)
        if claim is None or not self._listed:
            return False
        if not self.coverage.is_complete(claim, self._held(share)):
            return False
        return all(k.is_reconciled for k in self.links.values() if k.share == share)

    def was_reconciled(self, share: ShareId) -> bool:
        """Return whether a share was reconciled at some time since it was acquired.

        That is noted when this is asked while the share is reconciled.
        """
        if share not in self._once_reconciled and self.is_reconciled(share):
            self._once_reconciled.add(share)
        return share in self._once_reconciled

    @property
    def lacks_runners(self) -> bool:
        """Tell whether an earlier owner may have used a runner not held here."""
        claims = self._claims.values()
        return not all(
            self.coverage.is_complete(c, self._held(c.share)) for c in claims
        )

    @property
    def lacks_records(self) -> bool:
        """Tell whether a runner has restarted and its new record was not read yet."""
        return any(link.table.is_other_incarnation for link in self.links.values())

    def connection_lost(self, address: str) -> None:
        """Take note that a runner has closed an idle connection: it may have ended."""
        for link in self.links.values():
            if link.info.address == address:
                link.check_incarnation()

    def runner_digests(self, claims: Iterable[Claim]) -> tuple[RunnerDigest, ...]:
        """Return what is held by each claim, for the next owner."""
        return tuple(self.coverage.digest(c, self._held(c.share)) for c in claims)

    def _held(self, share: ShareId) -> list[str]:
        return [id_ for id_, link in self.links.items() if link.share == share]

    def _sync(self, joins: bool = True) -> None:
        """Hold the listed runners of the owned shares, let go of those that left.

        `joins` tells that runners not held yet are new to the share.
        """
        before = len(self.links)
        self._moved = False
        for info in self._listed.values():
            link = self.links.get(info.id)
            if link is not None and link.info.address != info.address:
                # What runs at the old address may go on until its lease has lapsed.
                link.avoid_until = float("inf")
                if link.table.runs or not link.is_reconciled:
                    self._moved = True
                    continue
                self._drop(link)
                link = None
            if link is not None:
                if self._absent.pop(info.id, None) is not None:
                    link.avoid_until = min(link.avoid_until, self.timers.now())
                link.update(info)
            elif (claim := self._claim_on(info)) is not None:
                link = self._open(info, claim)
                if joins:
                    link.avoid_until = self.timers.now() + JOIN_S
        if len(self.links) > before:
            self.on_held()
        self._retire_absent()
        self.schedule_placement()

    def _retire_absent(self) -> None:
        """Let go of runners that have left the list for a while."""
        now = self.timers.now()
        for id_, link in list(self.links.items()):
            if id_ in self._listed:
                continue
            since = self._absent.setdefault(id_, now)
            silent = link.state is not LinkState.HELD and link.is_reconciled
            if now - since > ABSENT_S or (silent and not link.table.runs):
                self._retire(link)

    def _claim_on(self, info: RunnerInfo) -> Claim | None:
        for claim in self._claims.values():
            if claim.covers(info.dc, info.id):
                return claim
        return None

    def _open(self, info: RunnerInfo, claim: Claim) -> Link:
        link = Link(
            self.cfg,
            info,
            claim.share,
            claim.fence,
            self.runners,
            self.timers,
            on_fenced=self._fenced,
            on_capacity_change=self.schedule_placement,
            checks_capacity=self.directory.checks_capacity,
            on_orphan_found=lambda job: self.on_orphan_found(job),
            lost_replies=self.lost_replies,
            evacuation=self.directory.evacuation,
            location_of=self.location_of,
            orphan_limit_s=self._orphan_limit_s,
            permitted_until=self._permitted_until,
        )
        self.links[info.id] = link
        link.open()
        return link

    def _permitted_until(self, runs: Iterable[Run]) -> float:
        """Return until when all of some runs may go on if this host is lost.

        Their callers may come to a data centre that is out of touch. A short silence
        counts, as a cut that has just begun is not noticed yet.
        """
        runs = tuple(runs)
        if not runs or self.timers.now() - self.contact_at() <= CONTACT_S:
            return float("inf")
        jobs = {run.task.job for run in runs if run.work is not None}
        orphan_s = self.cfg.cut_takeover_s + ORPHAN_STOP_S
        ends = [self.awaited_at(job) + self.cfg.cut_lease_s for job in jobs]
        ends += [run.started_at + orphan_s for run in runs if run.work is None]
        return min(ends)

    def _orphan_limit_s(self) -> float:
        """Return how long an orphan run is kept for a caller that may come again."""
        return self.cfg.orphan_s if self.is_in_touch() else self.cfg.cut_takeover_s

    def _retire(self, link: Link) -> None:
        """Give no more work to a runner that is gone; drop it when it is empty."""
        link.avoid_until = float("inf")
        if not link.table.runs:
            self._drop(link)

    def _drop(self, link: Link) -> None:
        log.info("runner dropped", extra={"runner": link.info.id})
        link.close()
        del self.links[link.info.id]
        self._absent.pop(link.info.id, None)
        for run in list(link.table.runs.values()):
            if run.on_end is not None:
                run.on_end(run, RunOutcome.LOST)

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
        work.active_run = work.link = None
        work.borrowed_from = ""
        self._waiting.add(work)
        self.schedule_placement()

    def withdraw(self, work: Work) -> None:
        """Take a task out: out of the queue, or stop it where it runs."""
        work.withdrawn = True
        if work.waiting:
            self._waiting.remove(work)
            work.on_end(work, RunOutcome.STOPPED, "")
        elif work.link is not None and work.active_run is not None:
            work.link.stop(work.active_run)
        elif work.borrowed_from:
            self.borrowing.cancel(work)

    def extend_wait(self, work: Work, expires_at: float) -> None:
        """Have a task go on until `expires_at`, also at the lender that runs it."""
        if expires_at > work.useless_at:
            work.useless_at = expires_at
            self.borrowing.extend_wait(work)

    def reorder(self, works: list[Work], order: tuple[float, ...]) -> None:
        """Give tasks that wait another place, by a new head of their order."""
        self._waiting.reorder(works, order)

    def backlog(self) -> Backlog | None:
        """Return what waits now, as work over the room that works it off.

        None while no runner is held or about to be: then nothing can be told.
        """
        usable = sum(k.info.room.cpu_milli for k in self.links.values() if k.serves)
        return self._waiting.backlog(usable) if usable else None

    def place_now(self, work: Work) -> bool:
        """Start a task at once if a runner has room; tell whether it did."""
        upstream = self._upstream_of(work)
        if self.planned is not None and (rule := self.directory.rule(work.queue)):
            # A lent task tells no objective; it counts from now.
            work.due_at = self.timers.now() + objective_s(work.estimate_s, rule)
        link = self._best(work, upstream) if upstream else None
        if link is None:
            return False
        self._launch(work, link)
        return True

    def adopt(self, work: Work) -> bool:
        """Take over a run of an earlier owner of the same task, or its end."""
        for link in self.links.values():
            table = link.table
            if not table.orphans and not table.done_before:
                continue
            run = table.runs.get(work.task)
            if run is not None and run.on_end is None:
                self.counts.adopted += 1
                table.orphans.discard(run.task)
                log.info(
                    "orphan run adopted",
                    extra={
                        "job": run.task.job,
                        "task": f"{run.task.step}.{run.task.index}",
                        "run": run.number,
                        "runner": link.info.id,
                        "fence": link.fence,
                    },
                )
                link.table.resize(run, work.size)
                run.estimate_s = link.expected_s(work.estimate_s)
                self._bind(work, link, run)
                return True
            if link.table.done_before.pop(work.task, None) is not None:
                self.counts.adopted += 1
                work.on_end(work, RunOutcome.DONE, link.info.id)
                return True
        return False

    def _has_run_of(self, task: TaskId) -> bool:
        return any(task in link.table.runs for link in self.links.values())

    def _has_orphan_of(self, task: TaskId) -> bool:
        return any(task in link.table.orphans for link in self.links.values())

    def runs_of(self, job: str) -> list[tuple[Link, Run]]:
        """Return what is left of a job on the owned runners."""
        return [
            (link, run)
            for link in self.links.values()
            for run in link.table.runs.values()
            if run.task.job == job
        ]

    def schedule_placement(self) -> None:
        """Place what can be placed, once in this turn of the loop."""
        if not self._pump_due:
            self._pump_due = True
            asyncio.get_running_loop().call_soon(self._place_waiting)

    def free_capacity(self) -> tuple[FreeCapacity, ...]:
        """Tell the largest free rooms, for other owners; none while tasks wait."""
        if self._waiting:
            return ()
        now = self.timers.now()
        if not self.directory.list_age.allows_placement(now):
            return ()
        rooms = [
            FreeCapacity(
                link.info.upstream,
                link.table.free,
                link.info.labels,
                link.is_cold(now),
            )
            for link in self.links.values()
            if link.table.free.cpu_milli > 0 and link.is_placeable(now)
        ]
        rooms.sort(key=lambda r: (r.cold, -r.resources.cpu_milli))
        return tuple(rooms[:FREE_TOLD])

    def _tick(self) -> None:
        slow = sorted(link.table.health.slowness for link in self.links.values())
        if slow:
            self.usual_slowness = slow[len(slow) // 2]
        for dc in {claim.share.dc for claim in self._claims.values()}:
            if self.hears_former_owners(dc):
                continue
            # One that does not hear of this host goes on renewing leases.
            for link in self.links.values():
                if link.share.dc == dc:
                    link.mark_in_doubt()
        if self._moved:
            self._sync()
        else:
            self._retire_absent()
        if self._waiting:
            self.schedule_placement()

    def _place_waiting(self) -> None:
        """Place what has room, in order; what fits nowhere is passed over."""
        if (wait_s := self.timers.read_first_s) > 0:
            # Callers may have left, and another owner taken over, during a pause.
            asyncio.get_running_loop().call_later(wait_s, self._place_waiting)
            return
        self._pump_due = False
        nowhere: set[tuple[str, Resources, str]] = set()
        tried = placed = 0
        works = list(self._waiting.first(PUMP_LIMIT))
        full = len(works) == PUMP_LIMIT
        if self.planned is not None and not self.planned.failed:
            works = self._plan(self.planned, works)
        for work in works:
            tried += 1
            upstream = self._upstream_of(work)
            kind = (work.queue, work.size, work.label)
            if not upstream or (kind in nowhere and not work.avoid):
                continue
            if self._place(work, upstream):
                placed += 1
                continue
            nowhere.add(kind)
            if len(nowhere) >= SCAN_LIMIT:
                break
        if full and tried == len(works) and placed:
            self.schedule_placement()
        self.on_capacity_change()

    def _plan(self, planned: PlannedPlacement, works: list[Work]) -> list[Work]:
        """Return the tasks of a planned round to start or to borrow for."""
        now = self.timers.now()
        if not self.directory.list_age.allows_placement(now):
            return works
        for work in works:
            self._limit_avoided(work)
        return planned.select(
            works,
            self._upstream_of,
            self.links,
            now,
            self.usual_slowness,
            self.borrowing.has_capacity(),
        )

    def _place(self, work: Work, upstream: str) -> bool:
        """Start a task here, or with another owner; tell whether it has room.

        A run of the same task that was found since the task began to wait is adopted;
        one that runs here for a borrower ends first.
        """
        if work.share is not None and not self.owns(work.share):
            return False
        if self._has_run_of(work.task):
            if self._has_orphan_of(work.task):
                self._waiting.remove(work)
                return self.adopt(work)
            return False
        link = self._best(work, upstream)
        is_cold = link is not None and link.is_cold(self.timers.now())
        if link is not None and not (is_cold and self._borrow(work, upstream, True)):
            self._waiting.remove(work)
            self._launch(work, link)
            return True
        return link is not None or self._borrow(work, upstream)

    def _borrow(self, work: Work, upstream: str, warm_only: bool = False) -> bool:
        """Send a waiting task to another owner that should have room, if any."""
        borrowing = self.borrowing
        if not borrowing.has_capacity():
            return False
        if not borrowing.try_borrow(work, upstream, warm_only):
            return False
        self._waiting.remove(work)
        self.counts.borrowed += 1
        return True

    def _upstream_of(self, work: Work) -> str:
        """Return the upstream of a task; a queue may be removed while its jobs run."""
        return self.directory.upstream_of(work.queue) or work.upstream

    def _best(self, work: Work, upstream: str) -> Link | None:
        self._limit_avoided(work)
        links, now = self.links.values(), self.timers.now()
        if not self.directory.list_age.allows_placement(now):
            return None
        if self.planned is not None and not self.planned.failed:
            return self.planned.best_link(
                work, upstream, self.links, now, self.usual_slowness
            )
        return best_runner(work, upstream, links, now, self.usual_slowness)

    def _limit_avoided(self, work: Work) -> None:
        """Let a task try all runners again if it avoids most of them."""
        if 2 * len(work.avoid) > len(self.links):
            work.avoid.clear()

    def _launch(self, work: Work, link: Link) -> None:
        estimate_s = link.expected_s(work.estimate_s)
        run = Run(work.task, work.run_number, work.size, None, estimate_s=estimate_s)
        self.counts.placed += 1
        if self.planned is not None:
            self.planned.record_start(link, run)
        self._bind(work, link, run)
        arrived_at = work.arrived_at
        age_s = None if arrived_at is None else self.timers.now() - arrived_at
        log.info(
            "task placed",
            extra={
                "job": work.task.job,
                "task": f"{work.task.step}.{work.task.index}",
                "run": work.run_number,
                "runner": link.info.id,
                "fence": link.fence,
                "lent": work.share is None,
                "age_ms": None if age_s is None else round(age_s * MS_PER_S),
                "again": work.again or None,
                **start_fields(work.basis),
                "free_cpu": link.table.free.cpu_milli,
                "waiting": len(self._waiting),
            },
        )
        work.basis = None
        link.start(run, work.payload)

    def _bind(self, work: Work, link: Link, run: Run) -> None:
        work.active_run = run
        work.link = link
        work.run_number = run.number
        run.work = work
        self.on_dispatch(work)

        def over(run: Run, how: RunOutcome) -> None:
            match how:
                case RunOutcome.DONE if self.planned is not None:
                    self.planned.record_done(link, run, self.timers.now())
                case RunOutcome.FAILED:
                    self.counts.failed += 1
                case RunOutcome.NO_ROOM:
                    self.counts.refused_room += 1
                case RunOutcome.LOST:
                    self.counts.lost += 1
            work.on_end(work, how, link.info.id)

        run.on_end = over
