"""Program `monsoongap-standin`: serves a stand-in of the users' platform.

The control address answers `GET /ledger` with all runs and accepts:

- `POST /runner` with `id` and fields of `RunnerFaults`, or `life` to crash and restart;
- `POST /store` with fields of `StoreFaults`, or `expire` to delete its history;
- `POST /join` with `id` and `dc` to add a runner, whose address is advertised without
  the offset;
- `POST /entry` with `id` and fields of `EntryChange`;
- `POST /evacuate` with `dc` to evacuate a data centre, and `ends` to end that.
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
    """Addresses and size of the stand-in.

    Runners listen on the ports from `runner_port` on and advertise their port plus
    `told_offset`.
    """

    ip: str
    store_port: int
    control_port: int
    runner_port: int
    told_offset: int
    dcs: tuple[str, ...]
    runners_per_dc: int


@dataclass(frozen=True, slots=True)
class EntryChange:
    """New state of a runner's entry in the store; `gone` also stops the runner."""

    listed: bool = True
    draining: bool = False
    gone: bool = False


def default_config(host: str) -> bytes:
    """Return a configuration with one short and one long queue."""
    queue_rules = [("scan", 0, 400), ("load", 2, 2000)]
    routes = [
        {
            "name": f"r-{name}",
            "host": host,
            "pathPrefix": f"/{name}/",
            "timeoutMs": 3000,
            "targetLatencyMs": target_ms,
            "priority": priority,
            "service": UPSTREAM,
            "maxAttempts": 3,
            "stretch": 1.6,
        }
        for name, priority, target_ms in queue_rules
    ]
    services = [{"name": UPSTREAM, "admissionCheck": True}]
    return msgspec.json.encode({"version": 1, "routes": routes, "services": services})


class SiteServer:
    """All servers of the stand-in: store, runners and control."""

    def __init__(self, shape: SiteShape) -> None:
        self._shape = shape
        self._next_port = shape.runner_port
        self.ledger: list[LedgerEntry] = []
        self.store = StoreServer()
        self.runners: dict[str, RunnerServer] = {}
        self._control = Serving(self._handle)

    def listen(self) -> None:
        """Start all servers and store the first configuration."""
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
        address = f"{ip}:{port + told_offset}"
        info = RunnerInfo(id_, UPSTREAM, address, dc, False, Resources(4000, 4096))
        server = RunnerServer(info, self.ledger, self.store)
        server.listen(f"{ip}:{port}")
        self.runners[id_] = server

    async def _handle(self, req: HTTPServerRequest) -> tuple[int, bytes]:
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
                body = msgspec.json.decode(req.body)
                if body["id"] not in self.runners:
                    self._add_runner(body["id"], body["dc"])
            case "/entry":
                self._set_entry(msgspec.json.decode(req.body))
            case "/evacuate":
                body = msgspec.json.decode(req.body)
                value = b"" if body.get("ends") else b"{}"
                self.store.topic("keyed.op").append(f"evacuate/{body['dc']}", value)
            case _:
                return HTTPStatus.NOT_FOUND, b"{}"
        return HTTPStatus.OK, b"{}"

    def _set_runner(self, body: dict[str, Any]) -> None:
        model = self.runners[body.pop("id")].model
        model.advance()
        if body.pop("life", False):
            model.crash()
            model.restart()
        model.faults = msgspec.convert(body, RunnerFaults)

    def _set_entry(self, body: dict[str, Any]) -> None:
        server = self.runners[body.pop("id")]
        change = msgspec.convert(body, EntryChange)
        server.draining = change.draining
        server.set_listed(change.listed and not change.gone)
        if change.gone:
            server.model.crash()
            server.close()

    def _set_store(self, body: dict[str, Any]) -> None:
        if body.pop("expire", False):
            for topic in self.store.topics.values():
                topic.expire()
        self.store.faults = msgspec.convert(body, StoreFaults)


async def _serve(shape: SiteShape) -> None:
    SiteServer(shape).listen()
    await asyncio.Event().wait()


@app.command()
def serve(
    ip: Annotated[str, typer.Option(help="Address to listen on.")] = "127.0.0.1",
    port: Annotated[
        int, typer.Option(help="Port of the store; the next one is for control.")
    ] = 9000,
    runner_port: Annotated[int, typer.Option(help="Port of the first runner.")] = 9100,
    told_offset: Annotated[
        int, typer.Option(help="Added to the port that a runner advertises.")
    ] = 0,
    dcs: Annotated[
        str, typer.Option(help="Data centres, separated by commas.")
    ] = "a,b",
    runners: Annotated[int, typer.Option(help="Runners per data centre.")] = 3,
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
