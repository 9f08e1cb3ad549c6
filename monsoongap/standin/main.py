"""The program that serves the users' platform's stand-in: store, runners, control.

The control address answers `GET /ledger` with every run and takes faults:
`POST /runner` with `id` and fields of `RunnerFaults`, or `life` to crash and restart;
`POST /store` with fields of `StoreFaults`, or `expire` to drop its history;
`POST /join` with `id` and `dc` to add a runner, which tells its address without the
offset; `POST /entry` with `id` and fields of `EntryChange`.
"""

import asyncio
from dataclasses import dataclass
from http import HTTPStatus
from typing import Annotated, Any

import msgspec
import typer
from tornado.httputil import HTTPServerRequest

from monsoongap.protocol.messages import Resources, RunnerInfo
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


@dataclass(frozen=True, slots=True)
class EntryChange:
    """What becomes of a runner's entry in the store; `gone` ends the runner too."""

    listed: bool = True
    draining: bool = False
    gone: bool = False


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
        self._next_port = shape.runner_port
        self.ledger: list[LedgerEntry] = []
        self.store = StoreServer()
        self.runners: dict[str, RunnerServer] = {}
        self._control = Serving(self._answer)

    def listen(self) -> None:
        """Listen everywhere and tell the first configuration."""
        shape = self._shape
        self.store.listen(f"{shape.ip}:{shape.store_port}")
        self.store.topic("keyed.op").append("config", default_config("site"))
        for dc in shape.dcs:
            for i in range(shape.runners_per_dc):
                self._add_runner(f"{dc}-r{i}", dc, shape.told_offset)
        self._control.listen(f"{shape.ip}:{shape.control_port}")

    def _add_runner(self, id_: str, dc: str, told_offset: int = 0) -> None:
        ip, port = self._shape.ip, self._next_port
        self._next_port += 1
        told = f"{ip}:{port + told_offset}"
        info = RunnerInfo(id_, UPSTREAM, told, dc, False, Resources(4000, 4096))
        server = RunnerServer(info, self.ledger, self.store)
        server.listen(f"{ip}:{port}")
        self.runners[id_] = server

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
            case "/join":
                told = msgspec.json.decode(req.body)
                if told["id"] not in self.runners:
                    self._add_runner(told["id"], told["dc"])
            case "/entry":
                self._set_entry(msgspec.json.decode(req.body))
            case _:
                return HTTPStatus.NOT_FOUND, b"{}"
        return HTTPStatus.OK, b"{}"

    def _set_runner(self, told: dict[str, Any]) -> None:
        model = self.runners[told.pop("id")].model
        model.advance()
        if told.pop("life", False):
            model.crash()
            model.restart()
        model.faults = msgspec.convert(told, RunnerFaults)

    def _set_entry(self, told: dict[str, Any]) -> None:
        server = self.runners[told.pop("id")]
        change = msgspec.convert(told, EntryChange)
        server.draining = change.draining
        server.set_listed(change.listed and not change.gone)
        if change.gone:
            server.model.crash()
            server.close()

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
