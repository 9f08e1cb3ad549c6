"""Calls between entry hosts: answers them and fetches data from other hosts."""

import logging
from typing import TYPE_CHECKING, Any

from monsoongap.coordination.ports import PeerCallFailed
from monsoongap.errors import AnswerKind
from monsoongap.protocol.messages import (
    CancelCall,
    ConfigCall,
    ConfigReply,
    FindCall,
    JobReply,
    LendCall,
    RunnersCall,
    RunnersReply,
    SubmitCall,
)

if TYPE_CHECKING:
    from monsoongap.coordination.host import Host

log = logging.getLogger(__name__)

FETCH_TIMEOUT_S = 1.0


class HostCalls:
    """Both sides of those calls that involve several parts of a host."""

    def __init__(self, host: "Host") -> None:
        self._host = host

    async def answer(self, request: Any) -> Any:
        """Answer a call of another host; raises `TypeError` on an unknown type."""
        host = self._host
        match request:
            case SubmitCall():
                return await self._answer_submit(request)
            case LendCall():
                if await host.config_fetcher.wait_for(request.version, request.home):
                    return await host.lending.lend(request)
                return await host.lending.refuse(request)
            case CancelCall(job):
                host.jobs.cancel(job)
                host.lending.cancel_runs_of(job)
                return True
            case FindCall(job):
                host.jobs.cancel(job)
                return await host.lending.stop_runs_of(request)
            case ConfigCall(accepts_packed):
                directory = host.directory
                if accepts_packed:
                    return ConfigReply(directory.version, b"", directory.packed_text())
                return ConfigReply(directory.version, directory.text)
            case RunnersCall():
                age_s = host.timers.now() - host.directory.runners_read_at
                return RunnersReply(age_s, host.directory.runners)
            case _:
                raise TypeError(f"unknown call type: {type(request).__name__}")

    async def _answer_submit(self, call: SubmitCall) -> JobReply:
        host = self._host
        if not await host.config_fetcher.wait_for(call.version, call.origin):
            return JobReply(AnswerKind.HANDED_ON, "owner has an older configuration")
        has_job = call.here and host.jobs.knows(call.job.id)
        owns_share = not call.here and call.share in host.ownership.claims
        if not has_job and not owns_share:
            reply = await host.jobs.follow_handover(call)
            return reply or JobReply(AnswerKind.HANDED_ON, "not an owner")
        return await host.execute(call)

    async def fetch_runners(self) -> bool:
        """Fetch a newer list of runners; return whether any other host had one."""
        host = self._host
        for peer in list(host.members.live()):
            try:
                reply: RunnersReply = await host.peers.call(
                    peer.address, RunnersCall(), RunnersReply, FETCH_TIMEOUT_S
                )
            except PeerCallFailed as exc:
                log.info(
                    "runner list fetch failed; trying the next host",
                    extra={"peer": peer.card.name, "reason": str(exc)},
                )
                continue
            read_at = host.timers.now() - reply.age_s
            if reply.runners and read_at > host.directory.runners_read_at:
                source = f"host {peer.card.name}"
                host.set_runners(reply.runners, read_at, source)
                return True
        return False
