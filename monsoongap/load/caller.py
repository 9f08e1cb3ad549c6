"""Calls entry hosts as callers do and records what came back."""

import asyncio
import logging
import time
from collections import deque
from dataclasses import dataclass, field, replace
from typing import Any
from urllib.parse import quote

import msgspec
from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPClientError,
    HTTPRequest,
    HTTPResponse,
)

from monsoongap.load.records import CallRecord, Reception
from monsoongap.load.settings import MS_PER_S, LoadProfile
from monsoongap.protocol.messages import JobAnswer, JobError, JobOutcome, JobRequest

log = logging.getLogger(__name__)

OK = 200
CONNECT_TIMEOUT_S = 5.0
CONTROL_TIMEOUT_S = 30.0
IDS_PER_CALL = 50
MAX_REPLY_BYTES = 500_000_000


@dataclass(frozen=True, slots=True)
class IssuedIds:
    """Answer to `POST /v1/submissions`."""

    submissions: tuple[str, ...]


@dataclass(slots=True)
class _IdPool:
    """Issued ids of one entry host that are not used yet."""

    ids: deque[str] = field(default_factory=deque)
    refill: asyncio.Lock = field(default_factory=asyncio.Lock)


class Caller:
    """Submits jobs over HTTP, each on a connection of its own."""

    def __init__(self, cfg: LoadProfile) -> None:
        self._cfg = cfg
        self._client = AsyncHTTPClient(
            force_instance=True,
            max_clients=cfg.calls.max_connections,
            max_body_size=MAX_REPLY_BYTES,
            max_buffer_size=MAX_REPLY_BYTES,
        )
        self._pools = [_IdPool() for _ in cfg.target.entries]

    def close(self) -> None:
        """Close the client."""
        self._client.close()

    async def issued_id(self, entry: int) -> str:
        """Return an unused id that the entry host issued."""
        pool = self._pools[entry]
        async with pool.refill:
            if not pool.ids:
                pool.ids.extend(await self._fetch_ids(entry))
            return pool.ids.popleft()

    async def submit(
        self, entry: int, submission: str, request: JobRequest
    ) -> CallRecord:
        """Submit a job and wait for its outcome."""
        host = self._cfg.target.entries[entry]
        sent_at_ms = wall_ms()
        call = CallRecord(submission, request, sent_at_ms, host=host)
        timeout_s = request.deadline_ms / MS_PER_S + self._cfg.calls.grace_s
        http_request = HTTPRequest(
            f"{host}/v1/jobs/{quote(submission, safe='')}",
            method="PUT",
            headers=self._headers(),
            body=msgspec.json.encode(request),
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=timeout_s,
        )
        try:
            reply = await self._client.fetch(http_request, raise_error=False)
        except ConnectionRefusedError:
            log.warning("entry host refused a connection", extra=_extra(call))
            return replace(call, unsent=True)
        except (HTTPClientError, OSError) as exc:
            log.warning("call without outcome", extra=_extra(call, str(exc)))
            return call
        return _with_outcome(call, reply)

    async def fetch(self, url: str, kind: type[Any]) -> Any:
        """Get a JSON document of the deployment; raises `HTTPClientError`."""
        reply = await self._client.fetch(url, request_timeout=CONTROL_TIMEOUT_S)
        return msgspec.json.decode(reply.body, type=kind)

    async def fetch_text(self, url: str) -> str:
        """Get a text of the deployment; raises `HTTPClientError` or `OSError`."""
        reply = await self._client.fetch(url, request_timeout=CONTROL_TIMEOUT_S)
        return reply.body.decode()

    async def put(self, url: str, body: bytes) -> None:
        """Make a control call; raises `HTTPClientError` when it is refused."""
        await self._client.fetch(
            url, method="PUT", body=body, request_timeout=CONTROL_TIMEOUT_S
        )

    async def _fetch_ids(self, entry: int) -> tuple[str, ...]:
        host = self._cfg.target.entries[entry]
        reply = await self._client.fetch(
            f"{host}/v1/submissions?count={IDS_PER_CALL}",
            method="POST",
            headers=self._headers(),
            body=b"",
        )
        return msgspec.json.decode(reply.body, type=IssuedIds).submissions

    def _headers(self) -> dict[str, str]:
        token = self._cfg.target.token
        return {"Authorization": f"Bearer {token}"} if token else {}


def wall_ms() -> float:
    """Return the wall clock in ms, which the ledger's times are on too."""
    return time.time() * MS_PER_S


def _with_outcome(call: CallRecord, reply: HTTPResponse) -> CallRecord:
    """Add the outcome in a reply; a reply without one counts as none."""
    kind: type[JobOutcome] = JobAnswer if reply.code == OK else JobError
    try:
        outcome = msgspec.json.decode(reply.body, type=kind)
    except msgspec.MsgspecError as exc:
        log.warning("malformed outcome", extra=_extra(call, f"{reply.code}: {exc}"))
        return call
    return replace(call, received=(Reception(wall_ms(), outcome),))


def _extra(call: CallRecord, reason: str | None = None) -> dict[str, str | None]:
    return {"submission": call.submission, "upstream": call.host, "reason": reason}
