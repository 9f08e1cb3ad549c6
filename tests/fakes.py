"""Fakes of the outside ports over the platform's models, on virtual time.

One `FakePlatform` holds the models and the ledger; each caller host gets views of
its own, so that its links can be cut, silenced or delayed one by one.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Any, TypeVar

from monsoongap.errors import LogUnavailable, StartAmbiguous, WorkerUnreachable
from monsoongap.protocol.messages import (
    HostEntry,
    HostList,
    HostRole,
    LogPage,
    TaskReport,
    TaskStart,
    WorkerUsage,
)
from monsoongap.standin.faults import Fault, sort_faults
from monsoongap.standin.host_list_model import HostListModel
from monsoongap.standin.ledger import StartLedger
from monsoongap.standin.log_model import LogModel, LogShape
from monsoongap.standin.standing_faults import ReplyDropped
from monsoongap.standin.worker_model import WorkerGone, WorkerModel, WorkerShape

T = TypeVar("T")

CONNECT_TIMEOUT_S = 1.0
REPLY_GRACE_S = 1.0
LOG_TIMEOUT_S = 2.0


@dataclass(slots=True)
class Link:
    """What lies between one caller host and one worker.

    `cut`: nothing can be sent. `delay_s`: each request arrives so much later.
    `stale`: the next so many starts go over connections that are silent already:
    they never arrive and never return. `epoch` grows with each `silence`.
    """

    cut: bool = False
    delay_s: float = 0.0
    stale: int = 0
    epoch: int = 0

    def silence(self, stale: int = 0, new_works: bool = True) -> None:
        """Make open requests hang for good; new ones work unless told otherwise."""
        self.epoch += 1
        self.stale = stale
        self.cut = not new_works

    def heal(self) -> None:
        """Let new requests through again; those that hang hang on."""
        self.cut = False
        self.delay_s = 0.0
        self.stale = 0


class FakeWorkers:
    """`ports.WorkerPort` of one caller host, without sockets.

    `counts` tells the requests sent by purpose. A start without a reply hangs
    until cancelled; other requests give up as the HTTP transport does.
    """

    def __init__(self, models: dict[str, WorkerModel], latency_s: float) -> None:
        self.counts: Counter[str] = Counter()
        self._models = models
        self._latency_s = latency_s
        self._links: dict[str, Link] = {}
        self._deliveries: set[asyncio.Task[Any]] = set()

    def link(self, worker: str) -> Link:
        """Return the link to a worker, to be disturbed by the test."""
        return self._links.setdefault(worker, Link())

    def cut_all(self, cut: bool = True) -> None:
        """Cut or heal the links to every worker."""
        for worker in self._models:
            link = self.link(worker)
            link.epoch += cut
            link.cut = cut

    async def start(self, worker: str, start: TaskStart) -> TaskReport:
        """Start a task and wait for its end or its refusal."""
        self.counts["start"] += 1
        link = self.link(worker)
        if link.stale > 0:
            link.stale -= 1
            await _hang()
        report = await self._send(worker, lambda model: model.start(start), None)
        return _own(report, start.task)

    async def inspect(self, worker: str, task: str, wait_ms: int) -> TaskReport:
        """Ask for a task's state, waiting for its end."""
        self.counts["inspect"] += 1
        timeout_s = wait_ms / 1000 + REPLY_GRACE_S
        report = await self._send(
            worker, lambda model: model.inspect(task, wait_ms), timeout_s
        )
        return _own(report, task)

    async def revoke(self, worker: str, task: str, fence: int) -> TaskReport:
        """Cancel a task, or bar its start up to `fence`."""
        self.counts["revoke"] += 1
        report = await self._send(
            worker, lambda model: model.revoke(task, fence), REPLY_GRACE_S
        )
        return _own(report, task)

    async def usage(self, worker: str) -> WorkerUsage:
        """Ask for size, load, boot and clock."""
        self.counts["usage"] += 1
        return await self._send(worker, lambda model: model.usage(), REPLY_GRACE_S)

    async def _send(
        self,
        worker: str,
        call: Callable[[WorkerModel], Awaitable[T]],
        timeout_s: float | None,
    ) -> T:
        link = self.link(worker)
        model = self._models.get(worker)
        if model is None or not model.alive:
            raise WorkerUnreachable(f"{worker}: connection refused")
        if link.cut:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise WorkerUnreachable(f"{worker}: no connection")
        delivery = asyncio.create_task(self._deliver(model, link, call))
        self._deliveries.add(delivery)
        delivery.add_done_callback(self._forget)
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(delivery)
        except (WorkerGone, ReplyDropped, TimeoutError) as exc:
            raise StartAmbiguous(f"{worker}: {exc or 'no reply'}") from exc

    async def _deliver(
        self,
        model: WorkerModel,
        link: Link,
        call: Callable[[WorkerModel], Awaitable[T]],
    ) -> T:
        """Carry a request there and its reply back, whatever its sender does."""
        epoch = link.epoch
        await asyncio.sleep(self._latency_s + link.delay_s)
        if link.epoch != epoch:
            await _hang()
        try:
            reply = await call(model)
        except ReplyDropped as exc:
            if exc.silent:
                await _hang()
            raise
        await asyncio.sleep(self._latency_s)
        if link.epoch != epoch:
            await _hang()
        return reply

    def _forget(self, delivery: asyncio.Task[Any]) -> None:
        self._deliveries.discard(delivery)
        if not delivery.cancelled():
            delivery.exception()


class FakeLog:
    """`ports.LogPort` of one caller host; `cut` parts it from the log."""

    def __init__(self, model: LogModel, latency_s: float) -> None:
        self.cut = False
        self._model = model
        self._latency_s = latency_s

    async def append(self, stream: str, records: tuple[str, ...]) -> int:
        """Append JSON texts in order and return the offset of the first."""
        return await self._call(lambda: self._model.append(stream, records), 0)

    async def read(self, stream: str, start: int, limit: int, wait_ms: int) -> LogPage:
        """Read from offset `start`, waiting up to `wait_ms` for a record."""
        return await self._call(
            lambda: self._model.read(stream, start, limit, wait_ms), wait_ms
        )

    async def _call(self, call: Callable[[], Awaitable[T]], wait_ms: int) -> T:
        try:
            async with asyncio.timeout(LOG_TIMEOUT_S + wait_ms / 1000):
                await self._cross()
                reply = await asyncio.shield(asyncio.ensure_future(call()))
                await self._cross()
        except TimeoutError as exc:
            raise LogUnavailable("the log did not answer") from exc
        return reply

    async def _cross(self) -> None:
        await asyncio.sleep(self._latency_s)
        if self.cut:
            await _hang()


class FakeHostList:
    """`ports.HostListPort` of one caller host; `cut` parts it from the list."""

    def __init__(self, model: HostListModel, latency_s: float) -> None:
        self.cut = False
        self._model = model
        self._latency_s = latency_s

    async def fetch(self) -> HostList:
        """Fetch the list with its version."""
        await asyncio.sleep(2 * self._latency_s)
        if self.cut:
            raise LogUnavailable("the host list is out of reach")
        return await self._model.fetch()


class FakePlatform:
    """Models and ledger shared by the views of all caller hosts."""

    def __init__(
        self,
        shapes: Iterable[WorkerShape],
        dc: str = "dc1",
        latency_s: float = 0.0005,
        log_shape: LogShape | None = None,
        host_list_lag_s: float = 0.0,
    ) -> None:
        self.ledger = StartLedger()
        self.models = {shape.name: WorkerModel(shape, self.ledger) for shape in shapes}
        self.log = LogModel(log_shape)
        entries = tuple(worker_entry(m.shape, dc) for m in self.models.values())
        self.host_list = HostListModel(entries, host_list_lag_s)
        self._latency_s = latency_s

    def workers_for(self, host: str) -> FakeWorkers:
        """Return a new view of the workers for a caller host."""
        return FakeWorkers(self.models, self._latency_s)

    def log_for(self, host: str) -> FakeLog:
        """Return a new view of the log for a caller host."""
        return FakeLog(self.log, self._latency_s)

    def host_list_for(self, host: str) -> FakeHostList:
        """Return a new view of the host list for a caller host."""
        return FakeHostList(self.host_list, self._latency_s)

    def apply(self, *faults: Fault) -> None:
        """Replace the standing faults of every part; single ones act now."""
        by_part = sort_faults(faults)
        for model in self.models.values():
            model.set_faults(by_part.workers)
        self.log.set_faults(by_part.log)
        self.host_list.set_faults(by_part.host_list)

    async def close(self) -> None:
        """Stop every running task."""
        for model in self.models.values():
            await model.close()


def worker_shapes(count: int, slots: int = 8) -> tuple[WorkerShape, ...]:
    """Return shapes named w1, w2, … whose clocks disagree."""
    return tuple(
        WorkerShape(f"w{n}", slots=slots, clock_offset_s=1000.0 * n)
        for n in range(1, count + 1)
    )


def worker_entry(shape: WorkerShape, dc: str) -> HostEntry:
    """Return a worker's line of the host list."""
    return HostEntry(
        name=shape.name,
        role=HostRole.WORKER,
        dc=dc,
        address="127.0.0.1:1",
        slots=shape.slots,
        connections=shape.connections,
        cpus=shape.cpus,
        memory_mb=shape.memory_mb,
    )


def _own(report: TaskReport, task: str) -> TaskReport:
    if report.task != task:
        raise StartAmbiguous(f"{task}: crossed reply for {report.task}")
    return report


async def _hang() -> None:
    await asyncio.get_running_loop().create_future()
