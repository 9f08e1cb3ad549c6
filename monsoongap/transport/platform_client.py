"""The platform's log and host list over HTTP/1.1.

These two classes are the only place that knows the platform's HTTP interface.
Whatever goes wrong on the way becomes `LogUnavailable` with a detail, so that
decisions see one kind of outage: an append that raised may have taken effect.
"""

import asyncio
import logging
import ssl
from dataclasses import dataclass, field
from typing import TypeVar
from urllib.parse import quote, urlsplit

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPResponse

from monsoongap.errors import LogTrimmed, LogUnavailable
from monsoongap.protocol.messages import HostList, LogPage
from monsoongap.settings import EntrySettings
from monsoongap.transport.http_conn import (
    ExchangeLost,
    HttpReply,
    HttpRequest,
    KeepAliveConnection,
    NotConnected,
)

log = logging.getLogger(__name__)

MAX_IDLE_CONNECTIONS = 4
IDLE_REUSE_S = 5.0
NOT_MODIFIED = 304
GONE = 410
DETAIL_CHARS = 200

MessageT = TypeVar("MessageT")


@dataclass(frozen=True, slots=True)
class _Append:
    """Body of an append."""

    records: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class _Appended:
    """Reply to an append: the offset of its first record."""

    offset: int


@dataclass(frozen=True, slots=True)
class _Trimmed:
    """Reply to a read below the oldest kept offset."""

    first: int


@dataclass(frozen=True, slots=True)
class _Idle:
    """A connection that is kept, and since when."""

    conn: KeepAliveConnection
    since: float = field(default_factory=lambda: asyncio.get_running_loop().time())


class LogClient:
    """Appends to and reads from the platform's log; see `LogPort`.

    Connections are kept between calls, at most `MAX_IDLE_CONNECTIONS` of them. A
    call has a connection to itself, so a long poll never delays an append.
    """

    def __init__(self, cfg: EntrySettings) -> None:
        url = urlsplit(cfg.platform.log_url)
        self._address = url.netloc
        self._tls = client_tls(cfg, url.scheme)
        self._timeout_s = cfg.platform.timeout_s
        self._idle: list[_Idle] = []

    async def append(self, stream: str, records: tuple[str, ...]) -> int:
        """Append JSON texts in order and return the offset of the first."""
        body = msgspec.json.encode(_Append(records))
        req = HttpRequest("POST", _stream_path(stream), body)
        reply = await self._exchange(req, self._timeout_s)
        return _decode(reply, _Appended).offset

    async def read(self, stream: str, start: int, limit: int, wait_ms: int) -> LogPage:
        """Read from offset `start`, waiting up to `wait_ms` for a record."""
        query = f"?from={start}&limit={limit}&wait_ms={wait_ms}"
        req = HttpRequest("GET", _stream_path(stream) + query)
        reply = await self._exchange(req, self._timeout_s + wait_ms / 1000)
        if reply.status == GONE:
            raise LogTrimmed(_decode(reply, _Trimmed, GONE).first)
        page = _decode(reply, LogPage)
        _check_page(page, start)
        return page

    def close(self) -> None:
        """Close the connections that are kept."""
        for idle in self._idle:
            idle.conn.close()
        self._idle.clear()

    async def _exchange(self, req: HttpRequest, timeout_s: float) -> HttpReply:
        try:
            conn = self._take() or await KeepAliveConnection.open(
                self._address, self._timeout_s, self._tls
            )
            reply = await conn.exchange(req, timeout_s)
        except (NotConnected, ExchangeLost) as exc:
            raise LogUnavailable(f"{req.method} {req.path}: {exc}") from exc
        self._keep(conn)
        return reply

    def _take(self) -> KeepAliveConnection | None:
        """Return a kept connection that was in use a moment ago, or None."""
        now = asyncio.get_running_loop().time()
        while self._idle:
            idle = self._idle.pop()
            if not idle.conn.closed and now - idle.since <= IDLE_REUSE_S:
                return idle.conn
            idle.conn.close()
        return None

    def _keep(self, conn: KeepAliveConnection) -> None:
        if len(self._idle) < MAX_IDLE_CONNECTIONS and not conn.closed:
            self._idle.append(_Idle(conn))
        else:
            conn.close()


class HostListClient:
    """Fetches the platform's host list; see `HostListPort`.

    The entity tag of the last list goes with the next fetch: a list that has not
    changed costs a reply without a body, and `fetch` returns the same object. A
    connection per fetch cannot fall silent between two of them.
    """

    def __init__(self, cfg: EntrySettings) -> None:
        self._url = f"{cfg.platform.hosts_url}/v1/hosts"
        self._tls = client_tls(cfg, urlsplit(cfg.platform.hosts_url).scheme)
        self._timeout_s = cfg.platform.timeout_s
        self._client = AsyncHTTPClient()
        self._etag = ""
        self._last: HostList | None = None

    async def fetch(self) -> HostList:
        """Fetch the list with its version; raises `LogUnavailable`."""
        try:
            async with asyncio.timeout(self._timeout_s):
                reply = await self._get()
        except (OSError, HTTPClientError) as exc:
            detail = str(exc) or type(exc).__name__
            raise LogUnavailable(f"GET {self._url}: {detail}") from exc
        if reply.code == NOT_MODIFIED and self._last is not None:
            return self._last
        self._last = _decode(HttpReply(reply.code, reply.body), HostList)
        self._etag = reply.headers.get("Etag", "")
        return self._last

    async def _get(self) -> HTTPResponse:
        headers = {"If-None-Match": self._etag} if self._etag else {}
        return await self._client.fetch(
            self._url,
            headers=headers,
            request_timeout=self._timeout_s,
            raise_error=False,
            ssl_options=self._tls,
        )


def client_tls(cfg: EntrySettings, scheme: str) -> ssl.SSLContext | None:
    """Return the TLS context for a platform URL, None for plain HTTP."""
    if scheme != "https":
        return None
    return ssl.create_default_context(cafile=cfg.tls.ca or None)


def _stream_path(stream: str) -> str:
    return f"/v1/log/{quote(stream, safe='')}"


def _decode(reply: HttpReply, kind: type[MessageT], status: int = 200) -> MessageT:
    """Decode a reply of the wanted status; raises `LogUnavailable`."""
    if reply.status != status:
        text = reply.body[:DETAIL_CHARS].decode(errors="replace")
        raise LogUnavailable(f"platform replied {reply.status}: {text}")
    try:
        return msgspec.json.decode(reply.body, type=kind)
    except msgspec.MsgspecError as exc:
        raise LogUnavailable(f"platform sent a malformed reply: {exc}") from exc


def _check_page(page: LogPage, start: int) -> None:
    """Refuse a page that does not fit the read; raises `LogUnavailable`."""
    expected = start
    for record in page.records:
        if record.offset < expected:
            raise LogUnavailable(
                f"log sent offset {record.offset} where {expected} was due"
            )
        expected = record.offset + 1
    if page.next < expected:
        raise LogUnavailable(f"log sent next {page.next} below {expected}")
