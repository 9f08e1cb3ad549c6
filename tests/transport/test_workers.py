"""Tests of the worker transport over real sockets: reuse, budget, wrong replies."""

import asyncio
import json
from collections.abc import Awaitable, Callable

import pytest
import tornado.web
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from monsoongap.coordination.parts import SETTLE_CONNECTIONS
from monsoongap.errors import StartAmbiguous, WorkerUnreachable
from monsoongap.protocol.messages import StartLease, TaskStart, TaskState
from monsoongap.settings import WorkersSection
from monsoongap.transport.workers import HttpWorkers

CFG = WorkersSection(connections=4, reply_grace_s=0.2, connect_timeout_s=0.5)


class ScriptedWorker:
    """A worker that answers as told and notes its connections."""

    def __init__(self) -> None:
        self.connections: set[object] = set()
        self.hold_s = 0.0
        self.share = 64
        self.answer_as: str | None = None
        self.raw_body: bytes | None = None

    def serve(self) -> tuple[HTTPServer, str]:
        """Listen on a free loopback port."""
        worker = self

        class Handler(tornado.web.RequestHandler):
            async def put(self, task: str) -> None:
                worker.connections.add(self.request.connection.context)
                await asyncio.sleep(worker.hold_s)
                named = worker.answer_as or task
                report = {"task": named, "state": "done", "boot": 1, "clock_ms": 2}
                self.write(worker.raw_body or json.dumps(report))

            async def get(self, task: str) -> None:
                await self.put(task)

        sock, port = bind_unused_port()
        server = HTTPServer(tornado.web.Application([(r"/v1/tasks/(.*)", Handler)]))
        server.add_socket(sock)
        return server, f"127.0.0.1:{port}"


def start_of(task: str) -> TaskStart:
    """Return a start with a lease of no interest here."""
    return TaskStart(task, "s", "t", "k", "e1", 1, StartLease(1, 1))


def run_with(
    worker: ScriptedWorker, body: Callable[[HttpWorkers], Awaitable[None]]
) -> None:
    """Run `body` with a transport that knows the worker as `w`."""

    async def main() -> None:
        server, address = worker.serve()
        known = {"w": address, "gone": "127.0.0.1:1"}
        workers = HttpWorkers(CFG, known.get, lambda name: worker.share)
        try:
            async with asyncio.timeout(10):
                await body(workers)
        finally:
            workers.close()
            server.stop()
            await server.close_all_connections()

    asyncio.run(main())


@pytest.mark.parametrize(("share", "bound"), [(64, CFG.connections), (3, 3), (1, 3)])
def test_connections_are_reused_and_bounded(share: int, bound: int) -> None:
    worker = ScriptedWorker()
    worker.share = share

    async def body(workers: HttpWorkers) -> None:
        reports = await asyncio.gather(
            *(workers.start("w", start_of(f"s/{n} %")) for n in range(40))
        )
        assert [r.task for r in reports] == [f"s/{n} %" for n in range(40)]
        assert len(worker.connections) <= bound - SETTLE_CONNECTIONS

    run_with(worker, body)


@pytest.mark.parametrize("fault", ["crossed", "malformed"])
def test_a_wrong_reply_is_ambiguous_and_retires_its_connection(fault: str) -> None:
    worker = ScriptedWorker()

    async def body(workers: HttpWorkers) -> None:
        worker.answer_as = "other/1" if fault == "crossed" else None
        worker.raw_body = b"{}" if fault == "malformed" else None
        with pytest.raises(StartAmbiguous):
            await workers.start("w", start_of("s/1"))
        worker.answer_as = worker.raw_body = None
        assert (await workers.start("w", start_of("s/2"))).state is TaskState.DONE
        assert len(worker.connections) == 2

    run_with(worker, body)


def test_settling_works_while_silent_starts_hold_the_budget() -> None:
    worker = ScriptedWorker()

    async def body(workers: HttpWorkers) -> None:
        worker.hold_s = 60
        held = [asyncio.ensure_future(workers.start("w", start_of("s/1")))]
        held += [
            asyncio.ensure_future(workers.start("w", start_of(f"s/{n}")))
            for n in range(2, 9)
        ]
        await asyncio.sleep(0.1)
        worker.hold_s = 0
        report = await workers.inspect("w", "s/1", 0)
        assert report.state is TaskState.DONE
        held[0].cancel()
        await asyncio.gather(held[0], return_exceptions=True)
        assert workers.open_connections("w") <= CFG.connections
        for start in held:
            start.cancel()

    run_with(worker, body)


def test_an_unreachable_worker_and_a_late_reply_are_told_apart() -> None:
    worker = ScriptedWorker()

    async def body(workers: HttpWorkers) -> None:
        with pytest.raises(WorkerUnreachable):
            await workers.start("gone", start_of("s/1"))
        with pytest.raises(WorkerUnreachable):
            await workers.start("unlisted", start_of("s/1"))
        worker.hold_s = 60
        with pytest.raises(StartAmbiguous):
            await workers.inspect("w", "s/1", 0)

    run_with(worker, body)
