"""Entry hosts over model runners and a model network.

Runs on virtual time. Hosts are real; runners are the stand-in's models. The network
can be cut between any two places, hosts can be killed, frozen and started again, orders
and calls can be lost, or carried out late.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from typing import Any

import msgspec

from monsoongap.coordination.host import Host, HostPorts
from monsoongap.coordination.open_call import OpenCall
from monsoongap.coordination.ports import (
    NoAnswer,
    NotSent,
    PeerCallFailed,
    PeerDown,
    Withheld,
    WrongInstance,
)
from monsoongap.errors import AnswerKind
from monsoongap.protocol.messages import (
    Configuration,
    HostCard,
    Job,
    JobReply,
    NotStarted,
    QueueRule,
    Resources,
    RunnerInfo,
    RunnerView,
    Started,
    StartRequest,
    Step,
    TaskId,
    UpstreamRule,
)
from monsoongap.settings import (
    BoundsSection,
    EntrySettings,
    HostSection,
    ListenSection,
    PlacementSection,
    StoreSection,
)
from monsoongap.standin.runner_model import (
    LedgerEntry,
    RunnerModel,
    TaskPlan,
    overlapping_runs,
)
from monsoongap.timers import Callback, Subscription, TimerService

LINK_S = 0.001
LATE_S = (2.0, 6.0)
QUEUE = "scan"
UPSTREAM = "inspect"
ROOM = Resources(4000, 4096)
CONNECT_S = 0.4
REPLY_S = 0.3
WALL_START_MS = 1_700_000_000_000


class WorldTimers(TimerService):
    """The timer service with a time of day that the test can step."""

    def __init__(self, thawed: asyncio.Event) -> None:
        super().__init__()
        self.step_ms = 0
        self._thawed = thawed

    def wall_ms(self) -> int:
        return WALL_START_MS + self.step_ms + int(self.now() * 1000)

    async def sleep(self, delay_s: float) -> None:
        await super().sleep(delay_s)
        await self._thawed.wait()

    def every(self, period_s: float, callback: Callback, name: str) -> Subscription:
        async def call() -> None:
            await self._thawed.wait()
            result = callback()
            if result is not None:
                await result

        return super().every(period_s, call, name)


@dataclass(slots=True)
class RequestFaults:
    """Shares of orders that go wrong on their way to runners."""

    lost_reply_share: float = 0.0
    late_share: float = 0.0


@dataclass(slots=True)
class World:
    """All hosts and runners."""

    dcs: dict[str, int]
    runners_per_dc: int = 2
    seed: int = 1
    cores: float = 1.0
    # The first hosts of each data centre that are stronger than the others.
    strong_per_dc: int = 0
    strong_cores: float = 2.15
    room: Resources = ROOM
    # Limit for evacuating a data centre; 0 for none.
    evac_ms: float = 0.0
    horizon_ms: float = 0.0
    ledger: list[LedgerEntry] = field(default_factory=list)
    hosts: dict[str, Host] = field(default_factory=dict)
    models: dict[str, RunnerModel] = field(default_factory=dict)
    request_faults: RequestFaults = field(default_factory=RequestFaults)
    cut: set[frozenset[str]] = field(default_factory=set)
    calls_lost: set[frozenset[str]] = field(default_factory=set)
    replies_lost: set[frozenset[str]] = field(default_factory=set)
    call_delay_s: dict[frozenset[str], float] = field(default_factory=dict)
    # Number of idle connections from one host to another that have gone silent.
    silent_connections: dict[tuple[str, str], int] = field(default_factory=dict)
    call_types_lost: set[type[Any]] = field(default_factory=set)
    # Hosts of a version before the one that names processes in calls and replies.
    nameless: set[str] = field(default_factory=set)
    # Calls that hosts of an earlier version don't know.
    call_types_unknown: set[type[Any]] = field(default_factory=set)
    calls_delivered: Counter[type[Any]] = field(default_factory=Counter)
    # Whether a host goes on with a call that was given up, as the call server does.
    handlers_outlive_calls: bool = False
    # Pairs of sender and receiver.
    heartbeats_lost: set[tuple[str, str]] = field(default_factory=set)
    # Of the link of each host, on which replies queue; None for no limit.
    link_bytes_per_s: float | None = None
    unlisted: set[str] = field(default_factory=set)
    # How long a start of a host waits for a connection to a runner.
    connect_s: dict[str, float] = field(default_factory=dict)
    # Hosts without power: connections to them get no answer, and are not refused.
    powered_off: set[str] = field(default_factory=set)
    replies: dict[str, list[JobReply]] = field(default_factory=dict)
    config: Configuration = field(
        default_factory=lambda: Configuration(
            1,
            (QueueRule(QUEUE, "h", "/q/", UPSTREAM, 1.5, 0, 2),),
            (UpstreamRule(UPSTREAM, True),),
        )
    )
    # In the order of their start, so that a seed tells the same story each time.
    _tasks: dict[str, dict[asyncio.Task[Any], None]] = field(default_factory=dict)
    _rng: random.Random = field(default_factory=random.Random)
    _cards: dict[str, HostCard] = field(default_factory=dict)
    _names_by_ip: dict[str, str] = field(default_factory=dict)
    _boots: int = 0
    _thawed: dict[str, asyncio.Event] = field(default_factory=dict)
    _link_free_at: dict[str, float] = field(default_factory=dict)
    # The sender, the receiver and the sender's task of each call without a reply yet.
    _calls: dict[OpenCall, tuple[str, str, asyncio.Task[Any]]] = field(
        default_factory=dict
    )
    _calls_reset: set[OpenCall] = field(default_factory=set)

    async def start(self) -> None:
        """Start every host and runner, and wait for owners."""
        self._rng.seed(self.seed)
        for dc in self.dcs:
            for i in range(self.runners_per_dc):
                self.join_runner(dc, f"{dc}-r{i}")
        for dc_index, (dc, count) in enumerate(self.dcs.items()):
            for i in range(count):
                name, ip = f"{dc}-h{i}", f"10.{dc_index}.0.{i + 1}"
                self._names_by_ip[ip] = name
                cores = self.strong_cores if i < self.strong_per_dc else self.cores
                self._cards[name] = HostCard(name, dc, ip, 1, 0, cores)
        for name in self._cards:
            self.start_host(name)
        await asyncio.sleep(1.5)

    def join_runner(self, dc: str, id_: str, address: str = "") -> RunnerModel:
        """Start a runner; hosts learn of it from their next list."""
        address = address or id_
        info = RunnerInfo(id_, UPSTREAM, address, dc, False, self.room, ("a",), 1)
        clock = asyncio.get_running_loop().time
        model = self.models[address] = RunnerModel(info, clock, self.ledger)
        return model

    def crash_runner(self, address: str) -> None:
        """End a runner; its connections close."""
        self.models[address].crash()
        for host in self.hosts.values():
            host.pool.connection_lost(address)

    def pause(self, name: str) -> None:
        """Stop a host's process until `thaw`; what comes for it waits."""
        self._thawed[name].clear()

    def resume(self, name: str) -> None:
        """Let a frozen host go on."""
        self._thawed[name].set()

    async def thawed(self, name: str) -> None:
        """Wait until a host is not frozen."""
        await self._thawed[name].wait()

    def start_host(self, name: str, listed: bool = True) -> Host:
        """Start a host, or start it again, with a list of runners or without."""
        self._boots += 1
        self.powered_off.discard(name)
        for target in self._cards:
            # A new process has no idle connections.
            self.silent_connections.pop((name, target), None)
        thawed = self._thawed[name] = asyncio.Event()
        thawed.set()
        card = msgspec.structs.replace(self._cards[name], boot_ms=self._boots)
        ports = HostPorts(
            _Runners(self, name), _Peers(self, name), _Datagrams(self, name)
        )
        cfg = _settings(card, self.evac_ms, self.horizon_ms)
        host = Host(cfg, card, ports, WorldTimers(thawed), _decode)
        self.hosts[name] = host
        host.members.add_hosts(tuple(self._cards.values()))
        host.members.lists_all_hosts = listed
        host.start()
        host.directory.accept_text(msgspec.json.encode(self.config), "test")
        if listed:
            self.send_runner_list(host)
        return host

    def send_runner_list(self, host: Host, *left_out: str) -> None:
        """Give a host the list of runners, some left out."""
        without = {*left_out, *self.unlisted}
        infos = (m.info for a, m in self.models.items() if a not in without)
        host.set_runners(tuple(infos), host.timers.now())

    def send_runner_lists(self) -> None:
        """Give every host the list of runners."""
        for host in self.hosts.values():
            self.send_runner_list(host)

    def kill(self, name: str) -> None:
        """Kill a host's process: all that it did stops at once."""
        host = self.hosts.pop(name)
        host.abandon()
        for task in self._tasks.pop(name, {}):
            task.cancel()

    def power_off(self, name: str) -> None:
        """Cut a host's power: it stops at once, and its connections stay silent.

        Other hosts have one idle connection to it, too.
        """
        self.powered_off.add(name)
        for source in self.hosts.keys() - {name}:
            self.silent_connections[source, name] = 1
        self.kill(name)

    def name_at(self, ip: str) -> str:
        """Return the name of the host with an address; the address if it has none."""
        return self._names_by_ip.get(ip, ip)

    def owner(self, dc: str) -> str:
        """Return the name of the host that owns a data centre."""
        return next(n for n, h in self.hosts.items() if h.owns(dc))

    def cut_off(self, one: str, other: str) -> None:
        """Cut two places (hosts, runners or data centres) from each other."""
        self.cut.add(frozenset((one, other)))

    def reset_calls(self) -> None:
        """Reset the calls between places that are cut; both ends notice at once."""
        for open_call, (source, target, task) in list(self._calls.items()):
            if not self.reachable(source, target):
                self._calls_reset.add(open_call)
                task.cancel()

    def reachable(self, one: str, other: str) -> bool:
        """Tell whether the network joins two places."""
        sides = [(a, b) for a in _names(one) for b in _names(other)]
        return not any(
            frozenset(pair) in self.cut for pair in sides if pair[0] != pair[1]
        )

    async def submit(
        self, host: str, id_: str, plans: int = 1, work_ms: float = 50.0, **more: Any
    ) -> JobReply:
        """Submit a job of like tasks at a host as a caller would."""
        plan = TaskPlan(work_ms, **more)
        payload = msgspec.json.encode(plan).decode()
        step = Step(plans, Resources(plan.cpu_milli, plan.mem_mb), work_ms / 1000)
        return await self.submit_job(host, Job(id_, QUEUE, payload, (step,)))

    async def submit_job(self, host: str, job: Job, wait_s: float = 0.0) -> JobReply:
        """Submit a job at a host as a caller would; a paused one reads it later."""
        target = self.hosts[host]
        await self.thawed(host)
        await target.timers.read_first()
        task = asyncio.create_task(target.submit(job, wait_s))
        self._tasks.setdefault(host, {})[task] = None
        try:
            reply = await task
        except asyncio.CancelledError:
            if host in self.hosts:
                raise
            reply = JobReply(AnswerKind.BROKEN, "the host died")
        self.replies.setdefault(job.id, []).append(reply)
        return reply

    def check(self) -> None:
        """Check what must hold at any time, from what runners and callers saw."""
        for model in self.models.values():
            model.advance()
        assert overlapping_runs(self.ledger) == []
        ran = {entry.task.job for entry in self.ledger}
        for id_, replies in self.replies.items():
            if all(r.kind is AnswerKind.REFUSED for r in replies):
                assert id_ not in ran, f"{id_} was refused and ran"
            if any(r.kind is AnswerKind.COMPLETED for r in replies):
                done = {e.task for e in self.ledger if e.how == "done"}
                tasks = {e.task for e in self.ledger if e.task.job == id_}
                assert tasks <= done, f"{id_} completed, but not all of it is done"

    async def deliver_call(
        self, source: str, target: str, request: Any, fresh: bool = False
    ) -> Any:
        """Carry a call between hosts; old connections may lose calls or replies."""
        if not fresh and frozenset((source, target)) in self.calls_lost:
            await asyncio.Event().wait()
        if type(request) in self.call_types_unknown:
            await asyncio.sleep(2 * LINK_S)
            raise PeerCallFailed("status 404")
        if type(request) in self.call_types_lost:
            await asyncio.Event().wait()
        if not fresh and self.silent_connections.get((source, target), 0):
            self.silent_connections[source, target] -= 1
            try:
                await asyncio.Event().wait()
            finally:
                # A lost exchange closes the other idle connections.
                self.silent_connections[source, target] = 0
        if not fresh and (
            call_delay_s := self.call_delay_s.get(frozenset((source, target)))
        ):
            asyncio.create_task(self._deliver_late(target, request, call_delay_s))
            await asyncio.Event().wait()
        await asyncio.sleep(LINK_S)
        host = self.hosts.get(target)
        if not self.reachable(source, target):
            await asyncio.sleep(CONNECT_S)
            raise PeerCallFailed("cut")
        if host is None and target in self.powered_off:
            await asyncio.sleep(CONNECT_S)
            raise PeerCallFailed("no power")
        if host is None:
            raise PeerDown("refused")
        await self.thawed(target)
        await host.timers.read_first()
        self.calls_delivered[type(request)] += 1
        is_nameless = target in self.nameless
        if is_nameless and hasattr(request, "callee_boot_ms"):
            request = replace(request, callee_boot_ms=0)
        open_call = OpenCall()
        task = asyncio.create_task(host.calls.answer(request, open_call))
        self._tasks.setdefault(target, {})[task] = None
        sender = asyncio.current_task()
        assert sender is not None
        self._calls[open_call] = source, target, sender
        try:
            outlives = self.handlers_outlive_calls
            reply = await (asyncio.shield(task) if outlives else task)
        except asyncio.CancelledError:
            if open_call in self._calls_reset:
                sender.uncancel()
                self._close_call(source, target, open_call, is_reset=True)
                raise PeerCallFailed("reset") from None
            if target in self.hosts and self.hosts[target] is host:
                self._close_call(source, target, open_call)
                raise
            if target in self.powered_off and not sender.cancelling():
                await self._wait_in_silence(open_call, sender)
            raise PeerCallFailed("died") from None
        finally:
            del self._calls[open_call]
            self._calls_reset.discard(open_call)
        await asyncio.sleep(LINK_S + self._queue_reply(target, reply))
        if not self.reachable(source, target):
            raise PeerCallFailed("cut")
        if not fresh and frozenset((source, target)) in self.replies_lost:
            await asyncio.Event().wait()
        has_name = hasattr(reply, "boot_ms")
        return replace(reply, boot_ms=0) if is_nameless and has_name else reply

    async def _wait_in_silence(
        self, open_call: OpenCall, sender: asyncio.Task[Any]
    ) -> None:
        """Wait until the sender gives a call up, or its connection is reset."""
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            if open_call not in self._calls_reset:
                raise
            sender.uncancel()
            raise PeerCallFailed("reset") from None

    def _close_call(
        self, source: str, target: str, open_call: OpenCall, is_reset: bool = False
    ) -> None:
        """Tell a host that a call is closed, unless the network is cut.

        A call that is reset is closed on both sides of a cut.
        """

        async def close() -> None:
            await asyncio.sleep(LINK_S)
            await self.thawed(target)
            open_call.close()

        is_seen = self.reachable(source, target) and source not in self.powered_off
        if is_seen or is_reset:
            asyncio.create_task(close())

    def _queue_reply(self, target: str, reply: Any) -> float:
        """Return the delay until a host's link has carried a reply, in seconds."""
        if self.link_bytes_per_s is None:
            return 0.0
        now = asyncio.get_running_loop().time()
        took_s = len(msgspec.msgpack.encode(reply)) / self.link_bytes_per_s
        free_at = max(self._link_free_at.get(target, now), now) + took_s
        self._link_free_at[target] = free_at
        return free_at - now

    async def _deliver_late(self, target: str, request: Any, delay_s: float) -> None:
        """Carry a call whose caller may have given it up long before."""
        await asyncio.sleep(delay_s)
        host = self.hosts.get(target)
        if host is not None:
            task = asyncio.create_task(host.calls.answer(request))
            self._tasks.setdefault(target, {})[task] = None

    def deliver_beat(self, source: str, target: str, payload: bytes) -> None:
        """Carry a heartbeat, unless the network is cut or loses it."""
        if (source, target) not in self.heartbeats_lost and self.reachable(
            source, target
        ):
            loop = asyncio.get_running_loop()
            loop.call_later(LINK_S, self._receive, target, payload)

    def _receive(self, target: str, payload: bytes) -> None:
        host = self.hosts.get(target)
        if host is None:
            return
        if self._thawed[target].is_set():
            host.members.receive(payload)
        else:
            asyncio.create_task(self._receive_thawed(target, payload))

    async def _receive_thawed(self, target: str, payload: bytes) -> None:
        await self.thawed(target)
        self._receive(target, payload)

    async def order(
        self, source: str, target: str, act: Callable[[RunnerModel], Awaitable[Any]]
    ) -> Any:
        """Carry an order to a runner, with its faults."""
        await asyncio.sleep(LINK_S)
        model = self.models.get(target)
        if model is None or model.faults.dark or not self.reachable(source, target):
            await asyncio.sleep(CONNECT_S)
            raise NotSent("no way")
        if self._rng.random() < self.request_faults.late_share:
            asyncio.create_task(_late(model, act, self._rng.uniform(*LATE_S)))
            await asyncio.sleep(REPLY_S)
            raise NoAnswer("late")
        result = await act(model)
        if model.faults.dark or not self.reachable(source, target):
            await asyncio.sleep(REPLY_S)
            raise NoAnswer("cut")
        if self._rng.random() < self.request_faults.lost_reply_share:
            await asyncio.sleep(REPLY_S)
            raise NoAnswer("lost")
        await asyncio.sleep(LINK_S)
        await self.thawed(source)
        return result


async def _late(
    model: RunnerModel, act: Callable[[RunnerModel], Awaitable[Any]], delay_s: float
) -> None:
    await asyncio.sleep(delay_s)
    try:
        if not model.faults.dark:
            await act(model)
    except Exception as exc:
        # Nobody waits for the answer to an order that is carried out late.
        assert exc is not None


@dataclass(slots=True)
class _Runners:
    world: World
    name: str

    async def start(
        self, runner: RunnerInfo, request: StartRequest
    ) -> Started | NotStarted:
        await asyncio.sleep(self.world.connect_s.get(self.name, 0.0))
        await self.world.thawed(self.name)
        if not request.may_send():
            raise Withheld(runner.id)

        async def act(model: RunnerModel) -> Started | NotStarted:
            if request.born_ms not in (0, model.info.born_ms):
                raise WrongInstance(runner.id)
            return model.start(request)

        return await self.world.order(self.name, runner.address, act)

    async def stop(self, runner: RunnerInfo, task: TaskId, run: int, fence: int) -> int:
        async def act(model: RunnerModel) -> int:
            return model.stop(task, run, fence)

        return await self.world.order(self.name, runner.address, act)

    async def poll(
        self,
        runner: RunnerInfo,
        fence: int,
        last_seen_seq: int,
        lease_until_ms: int | None,
        wait_ms: int,
        fresh: bool,
    ) -> RunnerView:
        async def act(model: RunnerModel) -> RunnerView:
            model.poll(fence, last_seen_seq, lease_until_ms)
            await model.wait_for_end(wait_ms / 1000)
            return model.poll(fence, last_seen_seq, None)

        return await self.world.order(self.name, runner.address, act)

    def disconnect(self, runner: RunnerInfo) -> None:
        return None


@dataclass(slots=True)
class _Peers:
    world: World
    name: str

    async def call(
        self,
        address: str,
        request: Any,
        reply_type: type[Any],
        timeout_s: float,
        fresh: bool = False,
    ) -> Any:
        target = self.world.name_at(address.rpartition(":")[0])
        try:
            async with asyncio.timeout(timeout_s):
                reply = await self.world.deliver_call(self.name, target, request, fresh)
            await self.world.thawed(self.name)
            return reply
        except TimeoutError as exc:
            raise PeerCallFailed("no reply in time") from exc

    def close_idle(self, address: str) -> None:
        target = self.world.name_at(address.rpartition(":")[0])
        self.world.silent_connections.pop((self.name, target), None)


@dataclass(slots=True)
class _Datagrams:
    world: World
    name: str

    def send(self, address: tuple[str, int], payload: bytes) -> None:
        self.world.deliver_beat(self.name, self.world.name_at(address[0]), payload)


def _names(place: str) -> tuple[str, str]:
    return place, place.partition("-")[0]


def _settings(card: HostCard, evac_ms: float, horizon_ms: float) -> EntrySettings:
    address = "127.0.0.1:1"
    return EntrySettings(
        HostSection(card.name, card.dc),
        ListenSection(address, address, address),
        StoreSection(address),
        bounds=BoundsSection(evac_ms=evac_ms),
        placement=PlacementSection(horizon_ms),
    )


def _decode(text: bytes) -> Configuration:
    return msgspec.json.decode(text, type=Configuration)
