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
from monsoongap.timers import MS_PER_S

if TYPE_CHECKING:
    from monsoongap.coordination.host import Host

log = logging.getLogger(__name__)

FETCH_TIMEOUT_S = 1.0
# A connected host receives a new configuration within about 100 ms.
CONFIG_WAIT_S = 0.5
CONFIG_POLL_S = 0.01


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
                await self._wait_for_config(request.version, request.home)
                return await host.lending.lend(request)
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
        await self._wait_for_config(call.version, call.origin)
        has_job = call.here and host.jobs.knows(call.job.id)
        owns_share = not call.here and call.share in host.ownership.claims
        if not has_job and not owns_share:
            reply = await host.jobs.follow_handover(call)
            return reply or JobReply(AnswerKind.HANDED_ON, "not an owner")
        return await host.execute(call)

    async def _wait_for_config(self, version: int, caller: str) -> None:
        """Wait a limited time until this host has the caller's configuration."""
        timers, directory = self._host.timers, self._host.directory
        if directory.version >= version:
            return
        directory.config_counts.behind_caller += 1
        started_at = timers.now()
        while directory.version < version and timers.now() - started_at < CONFIG_WAIT_S:
            await timers.sleep(CONFIG_POLL_S)
        log.info(
            "caller has a newer configuration; waited for it",
            extra={
                "caller": caller,
                "needed": version,
                "version": directory.version,
                "waited_ms": round((timers.now() - started_at) * MS_PER_S),
            },
        )

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
