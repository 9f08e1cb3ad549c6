"""Entry hosts with the real scheduler over tiny fakes of peers and workers.

Everything runs on virtual time, so minutes of load take seconds and every run
with the same seed gives the same figures.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from monsoongap.coordination.parts import (
    HostIdentity,
    PeerInfo,
    PeerStatus,
    Slot,
    SlotEnd,
    SlotResult,
    TeamLimits,
    Ticket,
    WorkerInfo,
    WorkerStatus,
)
from monsoongap.coordination.scheduler import Scheduler
from monsoongap.errors import DispatchError, ErrorKind, PeerUnreachable
from monsoongap.protocol.messages import (
    JobRequest,
    Refusal,
    TaskReport,
    TaskSpec,
    TaskState,
)
from monsoongap.protocol.peer import PeerHandlers, PeerMethod, ReplyT, RequestT, encode
from monsoongap.protocol.peer import decode as decode_body
from monsoongap.settings import PlacementSection
from monsoongap.timers import TimerService

PEER_DELAY_S = 0.0003
WORKER_DELAY_S = 0.0003


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job with the true run times of its tasks beside the declared ones."""

    submission: str
    team: str
    kind: str
    runs_s: tuple[float, ...]
    declared_ms: tuple[int, ...]
    is_long: bool = False
    deadline_s: float = 600.0

    @property
    def ideal_s(self) -> float:
        """Return the response time on an empty system."""
        return max(self.runs_s) + 2.0 * WORKER_DELAY_S


@dataclass(frozen=True, slots=True)
class JobRecord:
    """How a job went; `error` is None when it was answered in full."""

    spec: JobSpec
    arrived: float
    ended: float
    error: ErrorKind | None = None

    @property
    def stretch(self) -> float:
        """Return response time over ideal; infinite without an answer."""
        if self.error is not None:
            return float("inf")
        return (self.ended - self.arrived) / self.spec.ideal_s


@dataclass(slots=True)
class SimWorker:
    """A worker that runs tasks by sleeping and refuses what has no slot."""

    info: WorkerInfo
    busy: int = 0
    fails: Callable[[str], bool] = lambda kind: False
    starts: int = 0
    refused: int = 0
    started_at: list[float] = field(default_factory=list)

    async def start(self, ticket: Ticket, run_s: float, now: float) -> SlotResult:
        """Run a task, fail it at once, or refuse it as busy."""
        if self.busy >= self.info.slots:
            self.refused += 1
            report = self._report(ticket, TaskState.REFUSED, Refusal.BUSY, None)
            return SlotResult(SlotEnd.REFUSED, report)
        self.starts += 1
        self.started_at.append(now)
        if self.fails(ticket.kind):
            report = self._report(ticket, TaskState.FAILED, None, 0.1)
            return SlotResult(SlotEnd.TASK_FAILED, report)
        self.busy += 1
        try:
            await asyncio.sleep(run_s)
        finally:
            self.busy -= 1
        report = self._report(ticket, TaskState.DONE, None, run_s * 1000.0)
        return SlotResult(SlotEnd.DONE, report)

    def _report(
        self,
        ticket: Ticket,
        state: TaskState,
        refusal: Refusal | None,
        run_ms: float | None,
    ) -> TaskReport:
        return TaskReport(ticket.task, state, 1, 0, refusal=refusal, run_ms=run_ms)


class SimDirectory:
    """A routing table that the simulation edits."""

    def __init__(self, workers: tuple[WorkerInfo, ...], peers: tuple[PeerInfo, ...]):
        self._workers = {info.name: info for info in workers}
        self._peers = peers
        self._changed: list[Callable[[], None]] = []
        self.draining: list[str] = []

    def workers(self) -> tuple[WorkerInfo, ...]:
        """Return the listed workers."""
        return tuple(self._workers.values())

    def worker(self, name: str) -> WorkerInfo | None:
        """Return one worker."""
        return self._workers.get(name)

    def peers(self) -> tuple[PeerInfo, ...]:
        """Return the peers."""
        return self._peers

    def peer(self, name: str) -> PeerInfo | None:
        """Return one peer."""
        return next((peer for peer in self._peers if peer.name == name), None)

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Call `changed` after every change."""
        self._changed.append(changed)

    def report_draining(self, worker: str) -> None:
        """Note the report."""
        self.draining.append(worker)

    def report_silent(self, worker: str) -> None:
        """Ignore the report."""

    def report_alive(self, worker: str) -> None:
        """Ignore the report."""

    def put(self, info: WorkerInfo) -> None:
        """List a worker or change it."""
        self._workers[info.name] = info
        self._notify()

    def set_peers(self, peers: tuple[PeerInfo, ...]) -> None:
        """Replace the peers."""
        self._peers = peers
        self._notify()

    def _notify(self) -> None:
        for changed in self._changed:
            changed()


class SimTeams:
    """Limits of teams; a team that is not named has the default ones."""

    def __init__(self, *limits: TeamLimits) -> None:
        self._limits = {entry.team: entry for entry in limits}

    def limits(self, team: str) -> TeamLimits | None:
        """Return a team's limits."""
        return self._limits.get(team)

    def all(self) -> tuple[TeamLimits, ...]:
        """Return every team's limits."""
        return tuple(self._limits[team] for team in sorted(self._limits))


class SimPeers:
    """Calls between hosts with a delay; `cut` hosts don't answer."""

    def __init__(self) -> None:
        self.handlers: dict[str, PeerHandlers] = {}
        self.cut: set[str] = set()
        self.lose_replies: set[str] = set()
        self.bytes = 0

    async def call(
        self,
        host: str,
        method: PeerMethod[RequestT, ReplyT],
        body: RequestT,
        timeout_s: float,
    ) -> ReplyT:
        """Call a host's handler through the codec."""
        await asyncio.sleep(PEER_DELAY_S)
        if host in self.cut:
            raise PeerUnreachable(host)
        request = encode(body)
        reply = await self.handlers[host].dispatch(method.name, request)
        self.bytes += len(request) + len(reply)
        await asyncio.sleep(PEER_DELAY_S)
        if host in self.lose_replies:
            raise PeerUnreachable(host)
        answer: ReplyT = decode_body(reply, method.reply)
        return answer


class SimHost:
    """One entry host: a scheduler and the part of a dispatcher that it needs."""

    def __init__(self, name: str, world: "World") -> None:
        self.name = name
        self.world = world
        handlers = PeerHandlers()
        world.peers.handlers[name] = handlers
        others = (other for other in world.host_names if other != name)
        peers = tuple(
            PeerInfo(other, "dc", other, 1, PeerStatus.LIVE) for other in others
        )
        infos = tuple(worker.info for worker in world.workers.values())
        self.directory = SimDirectory(infos, peers)
        self.scheduler = Scheduler(
            world.cfg,
            HostIdentity(name, "dc", 1),
            self.directory,
            world.teams,
            world.peers,
            handlers,
            TimerService(),
        )

    async def run(self, spec: JobSpec) -> JobRecord:
        """Run a job to its end and record it."""
        loop = asyncio.get_running_loop()
        arrived = loop.time()
        tasks = tuple(TaskSpec(None, 1.0, 64, ms) for ms in spec.declared_ms)
        req = JobRequest(spec.team, spec.kind, tasks)
        try:
            self.scheduler.admit(req, arrived + spec.deadline_s)
        except DispatchError as exc:
            return self._record(JobRecord(spec, arrived, loop.time(), exc.kind))
        error = None
        try:
            async with asyncio.timeout_at(arrived + spec.deadline_s):
                async with asyncio.TaskGroup() as group:
                    for index in range(len(spec.runs_s)):
                        ticket = self._ticket(spec, index, arrived)
                        group.create_task(self._run_task(ticket, spec.runs_s[index]))
        except* DispatchError as failures:
            error = next(iter(failures.exceptions)).kind  # type: ignore[union-attr]
        except* TimeoutError:
            error = ErrorKind.DEADLINE
        self.scheduler.withdraw(spec.submission, spec.team, len(spec.runs_s))
        return self._record(JobRecord(spec, arrived, loop.time(), error))

    def _record(self, record: JobRecord) -> JobRecord:
        self.world.records.append(record)
        return record

    def _ticket(self, spec: JobSpec, index: int, arrived: float) -> Ticket:
        return Ticket(
            task=f"{spec.submission}/{index}",
            submission=spec.submission,
            team=spec.team,
            kind=spec.kind,
            cpus=1.0,
            memory_mb=64,
            expected_ms=spec.declared_ms[index],
            deadline_at=arrived + spec.deadline_s,
            job_size=len(spec.runs_s),
        )

    async def _run_task(self, ticket: Ticket, run_s: float) -> None:
        result = SlotResult(SlotEnd.UNUSED)
        while result.end is not SlotEnd.DONE:
            slot = await self.scheduler.acquire(ticket)
            result = await self._use(slot, ticket, run_s)
            if result.end is SlotEnd.TASK_FAILED:
                raise DispatchError(ErrorKind.TASK_FAILED, ticket.task)

    async def _use(self, slot: Slot, ticket: Ticket, run_s: float) -> SlotResult:
        loop = asyncio.get_running_loop()
        result = SlotResult(SlotEnd.CANCELLED)
        try:
            await asyncio.sleep(WORKER_DELAY_S)
            if loop.time() > slot.usable_until:
                self.world.late_starts += 1
            worker = self.world.workers[slot.worker]
            result = await worker.start(ticket, run_s, loop.time())
            await asyncio.sleep(WORKER_DELAY_S)
        finally:
            self.scheduler.release(slot, ticket, result)
        return result


class World:
    """One data centre: workers, entry hosts and what was seen of them."""

    def __init__(
        self,
        hosts: int,
        workers: int,
        slots: int = 8,
        cfg: PlacementSection | None = None,
        teams: SimTeams | None = None,
    ) -> None:
        self.cfg = cfg or PlacementSection()
        self.teams = teams or SimTeams(TeamLimits("a"), TeamLimits("b"))
        infos = [
            WorkerInfo(f"w{n:03}", f"w{n}", "dc", slots, 64, 16.0, 32_000)
            for n in range(workers)
        ]
        self.workers = {info.name: SimWorker(info) for info in infos}
        self.peers = SimPeers()
        self.host_names = [f"h{n}" for n in range(hosts)]
        self.hosts = [SimHost(name, self) for name in self.host_names]
        self.records: list[JobRecord] = []
        self.late_starts = 0
        self._jobs: set[asyncio.Task[JobRecord]] = set()

    def start(self) -> None:
        """Start every host."""
        for host in self.hosts:
            host.scheduler.start()

    def submit(self, host: int, spec: JobSpec) -> asyncio.Task[JobRecord]:
        """Run a job at a host in the background."""
        task = asyncio.create_task(self.hosts[host].run(spec))
        self._jobs.add(task)
        task.add_done_callback(self._jobs.discard)
        return task

    async def finish(self) -> None:
        """Wait for every job and stop the hosts."""
        while self._jobs:
            await asyncio.gather(*self._jobs)
        await self.close()

    async def close(self) -> None:
        """Stop the hosts."""
        for task in self._jobs:
            task.cancel()
        await asyncio.gather(*self._jobs, return_exceptions=True)
        for host in self.hosts:
            await host.scheduler.close()

    def busy(self) -> int:
        """Return how many slots are in use."""
        return sum(worker.busy for worker in self.workers.values())

    def slots(self) -> int:
        """Return how many slots there are."""
        return sum(worker.info.slots for worker in self.workers.values())

    def queued(self) -> int:
        """Return how many tasks wait at any host."""
        return sum(
            queue.length
            for host in self.hosts
            for queue in host.scheduler.view().queues
        )

    def counters(self) -> Counter[str]:
        """Return the hosts' counters, added up."""
        total: Counter[str] = Counter()
        for host in self.hosts:
            total.update(host.scheduler.counters())
        return total

    def leave(self, worker: str, status: WorkerStatus) -> None:
        """Change a worker's status in every routing table."""
        for host in self.hosts:
            info = host.directory.worker(worker)
            assert info is not None
            changed = WorkerInfo(
                info.name,
                info.address,
                info.dc,
                info.slots,
                info.connections,
                info.cpus,
                info.memory_mb,
                info.rack,
                status,
            )
            host.directory.put(changed)
