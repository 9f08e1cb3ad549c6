"""A bare tornado relay: the floor that the entry daemon is measured against.

It takes a job, sends each task to the next worker over kept connections and joins
the answers. It decides nothing: no admission, queue, lease, credit or log line.
"""

import argparse
import asyncio
import itertools
import json
from dataclasses import dataclass

import tornado.web

from monsoongap.transport.http_conn import HttpRequest, KeepAliveConnection

TIMEOUT_S = 30.0
NEVER_MS = 10**15


@dataclass(frozen=True, slots=True)
class RelayWorker:
    """A worker's address, boot number and idle connections."""

    address: str
    boot: int
    idle: list[KeepAliveConnection]


async def find_worker(address: str) -> RelayWorker:
    """Connect to a worker and learn its boot number."""
    conn = await KeepAliveConnection.open(address, TIMEOUT_S)
    reply = await conn.exchange(HttpRequest("GET", "/v1/usage"), TIMEOUT_S)
    return RelayWorker(address, json.loads(reply.body)["boot"], [conn])


class Upstreams:
    """Kept connections to the workers, used in turn."""

    def __init__(self, workers: list[RelayWorker]) -> None:
        self._turn = itertools.cycle(workers)

    async def send(self, task: str, spec: dict[str, object]) -> bytes:
        """Send one start and return the raw reply."""
        worker = next(self._turn)
        idle = worker.idle
        address = worker.address
        conn = idle.pop() if idle else await KeepAliveConnection.open(address, 5.0)
        body = _start(task, worker.boot, spec)
        request = HttpRequest("PUT", f"/v1/tasks/{task}", body)
        reply = await conn.exchange(request, TIMEOUT_S)
        idle.append(conn)
        return reply.body


class RelayHandler(tornado.web.RequestHandler):
    """Fans a job out and joins the answers."""

    def initialize(self, upstreams: Upstreams) -> None:
        """Keep the workers."""
        self.upstreams = upstreams

    async def put(self, submission: str) -> None:
        """Relay one job."""
        job = json.loads(self.request.body)
        replies = await asyncio.gather(
            *(
                self.upstreams.send(f"{submission}-{index}", task)
                for index, task in enumerate(job["tasks"])
            )
        )
        answers = [json.loads(reply)["answer"] for reply in replies]
        self.write({"submission": submission, "answers": answers})


class ReadyHandler(tornado.web.RequestHandler):
    """Tells that the relay listens."""

    def get(self) -> None:
        """Answer 200."""


def _start(task: str, boot: int, spec: dict[str, object]) -> bytes:
    start = {
        "task": task,
        "submission": task,
        "team": "bench",
        "kind": "relay",
        "holder": "relay",
        "fence": 1,
        "lease": {"boot": boot, "until_ms": NEVER_MS},
        "payload": spec["payload"],
    }
    return json.dumps(start).encode()


async def serve(port: int, addresses: list[str]) -> None:
    """Listen until the process is ended."""
    workers = [await find_worker(address) for address in addresses]
    routes = [
        (r"/readyz", ReadyHandler),
        (r"/v1/jobs/(.+)", RelayHandler, {"upstreams": Upstreams(workers)}),
    ]
    tornado.web.Application(routes).listen(port, "127.0.0.1")
    await asyncio.Event().wait()


def main() -> None:
    """Read the arguments and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("port", type=int)
    parser.add_argument("worker", nargs="+")
    args = parser.parse_args()
    asyncio.run(serve(args.port, args.worker))


if __name__ == "__main__":
    main()
