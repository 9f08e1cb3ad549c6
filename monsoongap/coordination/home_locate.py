"""Looking at and cancelling of jobs, wherever their home is."""

from monsoongap.coordination.claims import ClaimDesk
from monsoongap.coordination.home_jobs import HomeJobs
from monsoongap.coordination.home_messages import (
    CANCEL,
    VIEW,
    CancelReply,
    JobCall,
    ViewReply,
)
from monsoongap.coordination.parts import HostIdentity
from monsoongap.coordination.ports import PeerPort
from monsoongap.errors import DispatchError, ErrorKind, PeerUnreachable
from monsoongap.protocol.ids import parse_issued
from monsoongap.protocol.messages import JobView
from monsoongap.protocol.peer import PeerHandlers

TIMEOUT_S = 2.0


class Locator:
    """Finds the home of a submission and asks it."""

    def __init__(
        self,
        identity: HostIdentity,
        claims: ClaimDesk,
        jobs: HomeJobs,
        peers: PeerPort,
        handlers: PeerHandlers,
    ) -> None:
        self._identity = identity
        self._claims = claims
        self._jobs = jobs
        self._peers = peers
        handlers.register(VIEW, self._serve_view)
        handlers.register(CANCEL, self._serve_cancel)

    async def view(self, submission: str) -> JobView | None:
        """Tell the state of a job, or None when its home does not know it.

        Raises `home_unreachable` and `log_unavailable`.
        """
        host = await self._home_of(submission)
        if host is None:
            return self._jobs.view(submission)
        try:
            reply = await self._peers.call(host, VIEW, JobCall(submission), TIMEOUT_S)
        except PeerUnreachable as exc:
            raise DispatchError(ErrorKind.HOME_UNREACHABLE, str(exc)) from exc
        return reply.view

    async def cancel(self, submission: str) -> bool:
        """Ask a job to stop; False when its home does not run it.

        Raises `home_unreachable` and `log_unavailable`.
        """
        host = await self._home_of(submission)
        if host is None:
            return self._jobs.stop(submission)
        try:
            reply = await self._peers.call(host, CANCEL, JobCall(submission), TIMEOUT_S)
        except PeerUnreachable as exc:
            raise DispatchError(ErrorKind.HOME_UNREACHABLE, str(exc)) from exc
        return reply.stopping

    async def _home_of(self, submission: str) -> str | None:
        """Return the other host that is home of a submission; None for this one."""
        entry = self._jobs.table.running(submission)
        if entry is not None:
            return entry.follows
        if self._jobs.table.finished(submission) is not None:
            return None
        issued = parse_issued(submission)
        if issued is not None:
            host = issued.host
        else:
            claim = await self._claims.lookup(submission, TIMEOUT_S)
            host = self._identity.name if claim is None else claim.home
        return None if host == self._identity.name else host

    async def _serve_view(self, call: JobCall) -> ViewReply:
        return ViewReply(self._jobs.view(call.submission))

    async def _serve_cancel(self, call: JobCall) -> CancelReply:
        return CancelReply(self._jobs.stop(call.submission))
