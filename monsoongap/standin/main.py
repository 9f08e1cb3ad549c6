"""The program that serves the users' platform's stand-in: store, runners, control.

The control address answers `GET /ledger` with every run and takes faults:
`POST /runner` with `id` and fields of `RunnerFaults`, or `life` to crash and restart;
`POST /store` with fields of `StoreFaults`, or `expire` to drop its history.
"""

import asyncio
from dataclasses import dataclass
from http import HTTPStatus
from typing import Annotated, Any

import msgspec
import typer
from tornado.httputil import HTTPServerRequest

from monsoongap.protocol.messages import Room, RunnerInfo
from monsoongap.standin.runner_model import LedgerEntry, RunnerFaults
from monsoongap.standin.runner_server import RunnerServer
from monsoongap.standin.serving import Serving
from monsoongap.standin.store import StoreFaults, StoreServer
from monsoongap.util.command import VersionOption, run_program

UPSTREAM = "inspect"
app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@dataclass(frozen=True, slots=True)
class SiteShape:
    """What to serve. Runners listen from `runner_port` on, told with an offset."""

    ip: str
    store_port: int
    control_port: int
    runner_port: int
    told_offset: int
    dcs: tuple[str, ...]
    runners_per_dc: int


def default_config(host: str) -> bytes:
    """Return a configuration with one short and one long queue."""
    queues = [("scan", 0, 400), ("load", 2, 2000)]
    routes = [
        {
            "name": f"r-{name}",
            "host": host,
            "pathPrefix": f"/{name}/",
            "timeoutMs": 3000,
            "targetLatencyMs": grace,
            "priority": priority,
            "service": UPSTREAM,
            "maxAttempts": 3,
            "stretch": 1.6,
        }
        for name, priority, grace in queues
    ]
    services = [{"name": UPSTREAM, "admissionCheck": True}]
    return msgspec.json.encode({"version": 1, "routes": routes, "services": services})


class SiteServer:
    """Everything that the stand-in serves."""

    def __init__(self, shape: SiteShape) -> None:
        self._shape = shape
        self.ledger: list[LedgerEntry] = []
        self.store = StoreServer()
        self.runners: dict[str, RunnerServer] = {}
        self._control = Serving(self._answer)

    def listen(self) -> None:
        """Listen everywhere and tell the first configuration."""
        shape = self._shape
        self.store.listen(f"{shape.ip}:{shape.store_port}")
        self.store.topic("keyed.op").append("config", default_config("site"))
        port = shape.runner_port
        for dc in shape.dcs:
            for i in range(shape.runners_per_dc):
                told = f"{shape.ip}:{port + shape.told_offset}"
                room = Room(4000, 4096)
                info = RunnerInfo(f"{dc}-r{i}", UPSTREAM, told, dc, False, room)
                server = RunnerServer(info, self.ledger, self.store)
                server.listen(f"{shape.ip}:{port}")
                self.runners[info.id] = server
                port += 1
        self._control.listen(f"{shape.ip}:{shape.control_port}")

    async def _answer(self, req: HTTPServerRequest) -> tuple[int, bytes]:
        match req.path:
            case "/ledger":
                for server in self.runners.values():
                    server.model.advance()
                return HTTPStatus.OK, msgspec.json.encode(self.ledger)
            case "/runner":
                self._set_runner(msgspec.json.decode(req.body))
            case "/store":
                self._set_store(msgspec.json.decode(req.body))
            case _:
                return HTTPStatus.NOT_FOUND, b"{}"
        return HTTPStatus.OK, b"{}"

    def _set_runner(self, told: dict[str, Any]) -> None:
        model = self.runners[told.pop("id")].model
        model.advance()
        if told.pop("life", False):
            model.crash()
            model.begin_life()
        model.faults = msgspec.convert(told, RunnerFaults)

    def _set_store(self, told: dict[str, Any]) -> None:
        if told.pop("expire", False):
            for topic in self.store.topics.values():
                topic.expire()
        self.store.faults = msgspec.convert(told, StoreFaults)


async def _serve(shape: SiteShape) -> None:
    SiteServer(shape).listen()
    await asyncio.Event().wait()


@app.command()
def serve(
    ip: Annotated[str, typer.Option(help="Address to listen on.")] = "127.0.0.1",
    port: Annotated[int, typer.Option(help="First port: store, control.")] = 9000,
    runner_port: Annotated[int, typer.Option(help="First port of runners.")] = 9100,
    told_offset: Annotated[
        int, typer.Option(help="Runners tell their port plus this.")
    ] = 0,
    dcs: Annotated[str, typer.Option(help="Data centres, by commas.")] = "a,b",
    runners: Annotated[int, typer.Option(help="Runners a data centre.")] = 3,
    version: VersionOption = False,
) -> None:
    """Serve a stand-in of the users' platform."""
    shape = SiteShape(
        ip, port, port + 1, runner_port, told_offset, tuple(dcs.split(",")), runners
    )
    asyncio.run(_serve(shape))


def main() -> None:
    """Run the program."""
    run_program(app, "monsoongap-standin")


if __name__ == "__main__":
    main()
