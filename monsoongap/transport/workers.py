"""The worker interface over HTTP: the only module that knows its paths."""

import ssl
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import msgspec

from monsoongap.errors import StartAmbiguous, WorkerUnreachable
from monsoongap.protocol.messages import TaskReport, TaskStart, WorkerUsage
from monsoongap.settings import WorkersSection
from monsoongap.transport.connections import WorkerConnections
from monsoongap.transport.http_conn import (
    ExchangeLost,
    HttpReply,
    HttpRequest,
    NotConnected,
)

MS_PER_S = 1000


@dataclass(slots=True)
class MessageCounts:
    """Requests sent to workers, by purpose; each has at most one reply."""

    starts: int = 0
    inspects: int = 0
    revokes: int = 0
    usages: int = 0


class HttpWorkers:
    """Implements `ports.WorkerPort` with connections per worker.

    `address_of` gives the `IP:port` of a worker by name, or None when it is no
    longer listed, and `share_of` this host's share of its connections.
    """

    def __init__(
        self,
        cfg: WorkersSection,
        address_of: Callable[[str], str | None],
        share_of: Callable[[str], int],
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.counts = MessageCounts()
        self._cfg = cfg
        self._address_of = address_of
        self._share_of = share_of
        self._tls = tls
        self._workers: dict[str, WorkerConnections] = {}

    async def start(self, worker: str, start: TaskStart) -> TaskReport:
        """Send a start and wait until the task ends or is refused."""
        self.counts.starts += 1
        req = HttpRequest("PUT", _task_path(start.task), msgspec.json.encode(start))
        return await self._ask(worker, req, None, start.task, fresh=False)

    async def inspect(self, worker: str, task: str, wait_ms: int) -> TaskReport:
        """Ask for a task's state on a connection of its own."""
        self.counts.inspects += 1
        req = HttpRequest("GET", f"{_task_path(task)}?wait_ms={wait_ms}")
        timeout_s = wait_ms / MS_PER_S + self._cfg.reply_grace_s
        return await self._ask(worker, req, timeout_s, task, fresh=True)

    async def revoke(self, worker: str, task: str, fence: int) -> TaskReport:
        """Cancel a task, or bar its start up to `fence`."""
        self.counts.revokes += 1
        req = HttpRequest("DELETE", f"{_task_path(task)}?fence={fence}")
        return await self._ask(worker, req, self._cfg.reply_grace_s, task, fresh=True)

    async def usage(self, worker: str) -> WorkerUsage:
        """Ask for size, load, boot and clock; tries a fresh connection too.

        A kept connection that went silent is no evidence against the worker, so
        only the failure of a new one is reported.
        """
        try:
            return await self._usage(worker, self._cfg.silent_after_s, fresh=False)
        except StartAmbiguous:
            return await self._usage(worker, self._cfg.reply_grace_s, fresh=True)

    async def _usage(self, worker: str, timeout_s: float, fresh: bool) -> WorkerUsage:
        self.counts.usages += 1
        req = HttpRequest("GET", "/v1/usage")
        usage: WorkerUsage = await self._exchange(
            worker, req, timeout_s, lambda reply: _decode(reply, WorkerUsage), fresh
        )
        return usage

    def forget(self, worker: str) -> None:
        """Close the connections of a worker that is gone."""
        connections = self._workers.pop(worker, None)
        if connections is not None:
            connections.close()

    def close(self) -> None:
        """Close every connection."""
        for worker in list(self._workers):
            self.forget(worker)

    def open_connections(self, worker: str) -> int:
        """Return the number of connections open to a worker."""
        connections = self._workers.get(worker)
        return connections.open_count if connections else 0

    async def _ask(
        self,
        worker: str,
        req: HttpRequest,
        timeout_s: float | None,
        task: str,
        fresh: bool,
    ) -> TaskReport:
        """Exchange and check that the report speaks of the task asked for."""

        def decode(reply: HttpReply) -> TaskReport:
            report: TaskReport = _decode(reply, TaskReport)
            if report.task != task:
                raise ExchangeLost(f"{task}: crossed reply for {report.task}")
            return report

        report: TaskReport = await self._exchange(worker, req, timeout_s, decode, fresh)
        return report

    async def _exchange(
        self,
        worker: str,
        req: HttpRequest,
        timeout_s: float | None,
        decode: Callable[[HttpReply], Any],
        fresh: bool,
    ) -> Any:
        connections = self._connections(worker)
        try:
            return await connections.exchange(req, timeout_s, decode, fresh)
        except NotConnected as exc:
            raise WorkerUnreachable(f"{worker}: {exc}") from exc
        except ExchangeLost as exc:
            raise StartAmbiguous(f"{worker}: {exc}") from exc

    def _connections(self, worker: str) -> WorkerConnections:
        address = self._address_of(worker)
        known = self._workers.get(worker)
        if known is not None and address in (None, known.address):
            return known
        if address is None:
            raise WorkerUnreachable(f"{worker}: not listed")
        self.forget(worker)
        connections = WorkerConnections(
            self._cfg, address, self._tls, lambda: self._share_of(worker)
        )
        self._workers[worker] = connections
        return connections


def _task_path(task: str) -> str:
    return f"/v1/tasks/{quote(task, safe='')}"


def _decode(reply: HttpReply, kind: type[Any]) -> Any:
    try:
        return msgspec.json.decode(reply.body, type=kind)
    except msgspec.MsgspecError as exc:
        raise ExchangeLost(f"malformed {kind.__name__}: {exc}") from exc
