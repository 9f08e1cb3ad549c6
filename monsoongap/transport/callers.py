"""The caller interface over HTTP: the only module that knows its paths."""

import asyncio
import logging
import re
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any, Protocol
from urllib.parse import quote, unquote

from monsoongap.errors import DispatchError, ErrorKind
from monsoongap.protocol.ids import ISSUED_PREFIX, parse_issued
from monsoongap.protocol.messages import JobAnswer, JobOutcome, JobRequest, JobView
from monsoongap.transport.http_base import JsonHandler

log = logging.getLogger(__name__)

MAX_ISSUED_PER_CALL = 1000
_KEY = re.compile(r"^[!-~]{1,128}$")


class Jobs(Protocol):
    """What the caller interface needs of the home of jobs."""

    def issue(self, count: int) -> tuple[str, ...]:
        """Issue submission ids."""
        ...

    async def submit(self, submission: str, req: JobRequest) -> JobOutcome:
        """Run, join or replay a job."""
        ...

    async def view(self, submission: str) -> JobView | None:
        """Tell where a job stands."""
        ...

    async def cancel(self, submission: str) -> bool:
        """Cancel a job; tells whether it was known."""
        ...


class CallerTokens(Protocol):
    """Checks the tokens of callers."""

    def check_caller(self, team: str, token: str | None) -> None:
        """Raise `DispatchError` when the token does not open the team."""
        ...


@dataclass(frozen=True, slots=True)
class IssuedIds:
    """Body of the answer to `POST /v1/submissions`."""

    submissions: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Cancelled:
    """Body of the answer to `DELETE /v1/jobs/{submission}`."""

    submission: str
    cancelled: bool


def check_key(text: str) -> str:
    """Return a submission id or own key in its plain form.

    Raises `DispatchError` with `bad_request` when it is neither.
    """
    key = unquote(text)
    if not _KEY.match(key):
        raise DispatchError(
            ErrorKind.BAD_REQUEST,
            "a submission key is 1 to 128 printable ASCII characters, no spaces",
        )
    if key.startswith(ISSUED_PREFIX) and parse_issued(key) is None:
        raise DispatchError(
            ErrorKind.BAD_REQUEST, f"keys starting with {ISSUED_PREFIX!r} are reserved"
        )
    return key


class _CallerHandler(JsonHandler):
    """A handler whose wait ends when its caller is gone."""

    jobs: Jobs
    tokens: CallerTokens
    _wait: asyncio.Future[Any] | None = None

    def on_connection_close(self) -> None:
        """Stop waiting for a caller that is gone; the job itself runs on."""
        super().on_connection_close()
        if self._wait is not None:
            self._wait.cancel()

    async def wait_for(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Await `work` until it ends or the caller is gone (None then)."""
        self._wait = asyncio.ensure_future(work)
        try:
            return await self._wait
        except asyncio.CancelledError:
            if self.request.connection.stream.closed():  # type: ignore[union-attr]
                return None
            raise
        finally:
            self._wait = None

    async def run_job(self, submission: str) -> None:
        """Submit the job of the body and answer with its outcome."""
        req = self.body_as(JobRequest)
        self.tokens.check_caller(req.team, self.bearer_token())
        match await self.wait_for(self.jobs.submit(submission, req)):
            case None:
                log.info("caller gone", extra={"submission": submission})
            case JobAnswer() as answer:
                self.reply(answer)
            case error:
                self.reply_error(error)


class SubmissionsHandler(JsonHandler):
    """`POST /v1/submissions?count=N`."""

    jobs: Jobs

    async def post(self) -> None:
        """Issue ids; nothing else happens."""
        text = self.get_query_argument("count", "1")
        if not text.isdigit() or not 1 <= int(text) <= MAX_ISSUED_PER_CALL:
            raise DispatchError(
                ErrorKind.BAD_REQUEST, f"count must be 1 to {MAX_ISSUED_PER_CALL}"
            )
        self.reply(IssuedIds(self.jobs.issue(int(text))))


class JobsHandler(_CallerHandler):
    """`POST /v1/jobs`: the simple form."""

    async def post(self) -> None:
        """Run a job under the caller's own key or a fresh id."""
        given = self.request.headers.get("Idempotency-Key")
        submission = check_key(given) if given else self.jobs.issue(1)[0]
        self.set_header("Location", f"/v1/jobs/{quote(submission, safe='')}")
        await self.run_job(submission)


class JobHandler(_CallerHandler):
    """`PUT`, `GET` and `DELETE /v1/jobs/{submission}`."""

    async def put(self, key: str) -> None:
        """Run, join or replay a job."""
        await self.run_job(check_key(key))

    async def get(self, key: str) -> None:
        """Tell where a job stands."""
        self.reply(await self._known(check_key(key)))

    async def delete(self, key: str) -> None:
        """Cancel a job."""
        submission = check_key(key)
        await self._known(submission)
        cancelled = await self.wait_for(self.jobs.cancel(submission))
        if cancelled is not None:
            self.reply(Cancelled(submission, cancelled))

    async def _known(self, submission: str) -> JobView:
        view = await self.jobs.view(submission)
        if view is None:
            raise DispatchError(ErrorKind.NOT_FOUND, f"no job {submission!r} known")
        self.tokens.check_caller(view.team, self.bearer_token())
        return view
