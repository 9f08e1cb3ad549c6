"""The calls between entry hosts: answering those of others, and asking them."""

import logging
from typing import TYPE_CHECKING, Any

from monsoongap.coordination.members import Peer
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

ASK_TIMEOUT_S = 1.0
# A configuration reaches a host that hears the others within some 100 ms.
CONFIG_WAIT_S = 0.5
CONFIG_STEP_S = 0.01


class HostCalls:
    """Both sides of the calls of one host that no single part of it answers."""

    def __init__(self, host: "Host") -> None:
        self._host = host

    async def answer(self, request: Any) -> Any:
        """Answer a call of another host."""
        host = self._host
        match request:
            case SubmitCall():
                return await self._answer_submit(request)
            case LendCall():
                await self._catch_up(request.version)
                return await host.lending.lend(request)
            case CancelCall(job):
                host.jobs.cancel(job)
                host.lending.cancel_runs_of(job)
                return True
            case FindCall(job):
                host.jobs.cancel(job)
                return await host.lending.stop_runs_of(request)
            case ConfigCall():
                return ConfigReply(host.directory.version, host.directory.text)
            case RunnersCall():
                age = host.timers.now() - host.directory.runners_read_at
                return RunnersReply(age, host.directory.runners)
            case _:
                raise TypeError(f"no such call: {type(request).__name__}")

    async def _answer_submit(self, call: SubmitCall) -> JobReply:
        host = self._host
        await self._catch_up(call.version)
        known = call.here and host.jobs.knows(call.job.id)
        owned = not call.here and call.share in host.ownership.claims
        if not known and not owned:
            reply = await host.jobs.follow_handover(call)
            return reply or JobReply(AnswerKind.HANDED_ON, "not an owner")
        return await host.execute(call)

    async def _catch_up(self, version: int) -> None:
        """Wait until the configuration that a caller's host acted on is here."""
        timers, directory = self._host.timers, self._host.directory
        until = timers.now() + CONFIG_WAIT_S
        while directory.version < version and timers.now() < until:
            await timers.sleep(CONFIG_STEP_S)

    async def fetch_config(self, peer: Peer) -> None:
        """Get a newer configuration from a host that has it."""
        try:
            reply: ConfigReply = await self._host.peers.call(
                peer.address, ConfigCall(), ConfigReply, ASK_TIMEOUT_S
            )
        except PeerCallFailed:
            log.info("configuration not fetched", extra={"peer": peer.card.name})
            return
        self._host.directory.accept_text(reply.text, f"host {peer.card.name}")

    async def fetch_runners(self) -> bool:
        """Get a newer list of runners from any other host; tell if one had it."""
        host = self._host
        for peer in list(host.members.live()):
            try:
                reply: RunnersReply = await host.peers.call(
                    peer.address, RunnersCall(), RunnersReply, ASK_TIMEOUT_S
                )
            except PeerCallFailed as exc:
                log.info(
                    "list of runners not fetched",
                    extra={"peer": peer.card.name, "reason": str(exc)},
                )
                continue
            read_at = host.timers.now() - reply.age_s
            if reply.runners and read_at > host.directory.runners_read_at:
                source = f"host {peer.card.name}"
                host.set_runners(reply.runners, read_at, source)
                return True
        return False
