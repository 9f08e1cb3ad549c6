"""Serves the log, the host list, the ledger and the faults over HTTP."""

import logging
from dataclasses import dataclass
from typing import Annotated, Any

import msgspec
import tornado.web
from msgspec import Meta
from tornado.httpserver import HTTPServer

from monsoongap.errors import LogTrimmed, LogUnavailable
from monsoongap.protocol.messages import HostEntry, HostList
from monsoongap.standin.faults import decode_faults, sort_faults
from monsoongap.standin.host_list_model import HostListModel
from monsoongap.standin.http_calls import (
    BAD_REQUEST,
    JsonCall,
    listen_on,
    no_access_log,
)
from monsoongap.standin.ledger import StartLedger
from monsoongap.standin.log_model import LogModel
from monsoongap.standin.worker_server import WorkerServer

log = logging.getLogger(__name__)

MAX_BODY_BYTES = 8_000_000
MAX_WAIT_MS = 60_000
MAX_PAGE_RECORDS = 100_000
GONE = 410
UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class AppendBody:
    """Body of `POST /v1/log/{stream}`: JSON texts, in order."""

    records: Annotated[tuple[str, ...], Meta(min_length=1, max_length=10_000)]


@dataclass(frozen=True, slots=True)
class Appended:
    """Reply to an append: the offset of its first record."""

    offset: int


@dataclass(frozen=True, slots=True)
class Trimmed:
    """Reply to a read below the oldest kept offset."""

    first: int


@dataclass(frozen=True, slots=True)
class HostsBody:
    """Body of `PUT /v1/hosts`: the whole list."""

    hosts: tuple[HostEntry, ...]


@dataclass(frozen=True, slots=True)
class Done:
    """Reply to a control call."""

    done: bool = True


@dataclass(frozen=True, slots=True)
class Refused:
    """Reply to a call that was not carried out."""

    error: str
    detail: str


@dataclass(frozen=True, slots=True)
class StandIn:
    """The parts that one process of the stand-in serves."""

    ledger: StartLedger
    workers: tuple[WorkerServer, ...]
    log: LogModel
    host_list: HostListModel


class ControlHandler(JsonCall):
    """What all calls share: JSON bodies, whole numbers, clear errors."""

    def initialize(self, parts: StandIn) -> None:
        """Keep the parts served."""
        self.parts = parts

    def body_as(self, kind: type[Any]) -> Any:
        """Decode the body; a malformed one is answered with 400."""
        return msgspec.json.decode(self.request.body, type=kind)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Turn any exception into an answer with its reason."""
        exc = (kwargs.get("exc_info") or (None, None, None))[1]
        match exc:
            case LogTrimmed(first_offset=first):
                self.reply(Trimmed(first), GONE)
            case LogUnavailable():
                self.reply(Refused("unavailable", str(exc)), UNAVAILABLE)
            case msgspec.MsgspecError():
                self.reply(Refused("bad_request", str(exc)), BAD_REQUEST)
            case tornado.web.HTTPError():
                detail = exc.log_message or exc.reason or "refused"
                self.reply(Refused("refused", detail), status_code)
            case _:
                self.reply(Refused("internal", "see the log"), status_code)

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log only what is not an ordinary refusal."""
        expected = (LogTrimmed, LogUnavailable, msgspec.MsgspecError)
        if not isinstance(value, expected):
            super().log_exception(typ, value, tb)


class LogHandler(ControlHandler):
    """`POST` and `GET /v1/log/{stream}`."""

    async def post(self, stream: str) -> None:
        """Append records."""
        body: AppendBody = self.body_as(AppendBody)
        self.reply(Appended(await self.parts.log.append(stream, body.records)))

    async def get(self, stream: str) -> None:
        """Read records, waiting for the first."""
        start = self.int_argument("from", 0, 2**63 - 1)
        limit = self.int_argument("limit", 1000, MAX_PAGE_RECORDS)
        wait_ms = self.int_argument("wait_ms", 0, MAX_WAIT_MS)
        self.reply(await self.parts.log.read(stream, start, limit, wait_ms))


class HostsHandler(ControlHandler):
    """`GET` and `PUT /v1/hosts`."""

    async def get(self) -> None:
        """Show the list, with its lag and faults."""
        shown: HostList = await self.parts.host_list.fetch()
        self.reply(shown)

    def put(self) -> None:
        """Replace the true list."""
        body: HostsBody = self.body_as(HostsBody)
        self.parts.host_list.set_hosts(body.hosts)
        log.info("host list replaced", extra={"hosts": len(body.hosts)})
        self.reply(Done())


class LedgerHandler(ControlHandler):
    """`GET /v1/ledger`."""

    def get(self) -> None:
        """Tell every start of this process's workers."""
        self.reply(self.parts.ledger.snapshot())


class FaultsHandler(ControlHandler):
    """`PUT /v1/faults`."""

    def put(self) -> None:
        """Replace the standing faults and carry out the single ones."""
        faults = sort_faults(decode_faults(self.request.body))
        for worker in self.parts.workers:
            worker.set_faults(faults.workers)
        self.parts.log.set_faults(faults.log)
        self.parts.host_list.set_faults(faults.host_list)
        log.info("faults replaced", extra={"faults": self.request.body.decode()})
        self.reply(Done())


class ControlServer:
    """Listens for control calls, and for log and host list unless left out."""

    def __init__(self, parts: StandIn, address: str, workers_only: bool) -> None:
        given = {"parts": parts}
        calls: list[Any] = [
            (r"/v1/ledger", LedgerHandler, given),
            (r"/v1/faults", FaultsHandler, given),
        ]
        if not workers_only:
            calls.append((r"/v1/log/([^/]+)", LogHandler, given))
            calls.append((r"/v1/hosts", HostsHandler, given))
        app = tornado.web.Application(calls, log_function=no_access_log)
        self._address = address
        self._server = HTTPServer(app, max_body_size=MAX_BODY_BYTES)

    def listen(self) -> None:
        """Start to listen."""
        listen_on(self._server, self._address)

    def stop(self) -> None:
        """Stop listening; open connections go on."""
        self._server.stop()
