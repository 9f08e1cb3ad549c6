"""Calls between entry hosts: answers them and fetches data from other hosts."""

import asyncio
import logging
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

from monsoongap.coordination.heartbeats import Peer
from monsoongap.coordination.open_call import OpenCall
from monsoongap.coordination.ports import PeerCallFailed
from monsoongap.errors import AnswerKind
from monsoongap.protocol.messages import (
    CancelCall,
    ConfigCall,
    ConfigReply,
    FindCall,
    FindReply,
    JobReply,
    LendCall,
    LendReply,
    LendResult,
    LocateCall,
    PrepareCall,
    RunnerInfo,
    RunnersCall,
    RunnersReply,
    SubmitCall,
    TransferCall,
    UnownedCall,
)
from monsoongap.state.job_locations import job_number

if TYPE_CHECKING:
    from monsoongap.coordination.host import Host

log = logging.getLogger(__name__)

FETCH_TIMEOUT_S = 1.0
LOCATE_TIMEOUT_S = 0.3
# Hosts that are asked for their list of runners at a time.
RUNNERS_HOSTS_ASKED = 2


@dataclass(frozen=True, slots=True)
class _RunnerList:
    """A list of runners of another host, and when it was read from the store."""

    peer: str
    read_at: float
    runners: tuple[RunnerInfo, ...]


class HostCalls:
    """Both sides of those calls that involve several parts of a host."""

    def __init__(self, host: "Host") -> None:
        self._host = host
        self._fetches_begun = 0

    async def answer(self, request: Any, open_call: OpenCall | None = None) -> Any:
        """Answer a call of another host; raises `TypeError` on an unknown type.

        `open_call` tells whether the sender still waits for the reply.
        """
        host = self._host
        match request:
            case SubmitCall():
                if host.is_catching_up:
                    request = replace(request, delayed=True)
                open_call = open_call or OpenCall()
                open_call.sender = request.sender or request.origin
                open_call.origin = request.origin
                if peer := host.members.peer(open_call.sender):
                    open_call.boot_ms = peer.card.boot_ms
                if task := asyncio.current_task():
                    # Until the job has a record here, nothing is to go on.
                    open_call.on_close = task.cancel
                reply = await self._answer_submit(request, open_call)
                return replace(reply, boot_ms=host.card.boot_ms)
            case LendCall():
                lend_reply = await self._answer_lend(request)
                return replace(lend_reply, boot_ms=host.card.boot_ms)
            case LocateCall(job):
                return host.jobs.knows(job)
            case CancelCall(job):
                host.traces.cancel_received(job)
                host.jobs.cancel(job)
                host.lending.cancel_runs_of(job)
                return True
            case FindCall(job):
                host.start_work_timers()
                if not host.lending.accepts(request.claim):
                    # Its sender was replaced; nothing is to end for it.
                    return FindReply(False)
                if request.home:
                    # From now on, a repetition of the job is forwarded to its owner.
                    host.job_locations.record_jobs(request.home, (job_number(job),))
                host.jobs.cancel(job)
                return await host.lending.stop_runs_of(request)
            case PrepareCall():
                return await host.succession.answer_prepare(request)
            case TransferCall():
                return host.succession.answer_transfer(request)
            case ConfigCall(accepts_packed):
                directory = host.directory
                if accepts_packed:
                    return ConfigReply(directory.version, b"", directory.packed_text())
                return ConfigReply(directory.version, directory.text)
            case UnownedCall():
                return host.prior_owners.answer(request)
            case RunnersCall():
                age_s = host.timers.now() - host.directory.list_age.read_at
                return RunnersReply(age_s, host.directory.runners)
            case _:
                raise TypeError(f"unknown call type: {type(request).__name__}")

    def _is_for_earlier_process(self, call: SubmitCall | LendCall) -> bool:
        """Return whether a call is for a process that ran before, under this name.

        That one may have begun what an earlier copy of the call asked for.
        """
        boot_ms = self._host.card.boot_ms
        if call.callee_boot_ms in (0, boot_ms):
            return False
        log.info(
            "call is for an earlier process of this host; declining it",
            extra={
                "call": type(call).__name__,
                "job": call.job.id if isinstance(call, SubmitCall) else call.task.job,
                "callee_boot_ms": call.callee_boot_ms,
                "boot_ms": boot_ms,
            },
        )
        return True

    async def _answer_lend(self, call: LendCall) -> LendReply:
        if self._is_for_earlier_process(call):
            return LendReply(LendResult.NO_ROOM, call.run)
        host = self._host
        host.start_work_timers()
        if await host.config_fetcher.wait_for(call.version, call.home):
            return await host.lending.lend(call)
        return await host.lending.refuse(call)

    async def _answer_submit(self, call: SubmitCall, open_call: OpenCall) -> JobReply:
        if self._is_for_earlier_process(call):
            return JobReply(AnswerKind.HANDED_ON, "an earlier process was called")
        host = self._host
        if not await host.config_fetcher.wait_for(call.version, call.origin):
            return JobReply(AnswerKind.HANDED_ON, "owner has an older configuration")
        has_job = call.here and host.jobs.can_join(call)
        if call.here and host.job_locations.owner_of_job(call.job.id) is None:
            has_job = host.jobs.knows(call.job.id)
        owns_share = not call.here and call.share in host.ownership.claims
        if not has_job and not owns_share:
            reply = await host.jobs.follow_handover(call, open_call)
            if reply is None and call.share in host.handover.transferred:
                # Its sender has not heard of the next owner yet.
                return await host.forward(call)
            return reply or JobReply(AnswerKind.HANDED_ON, "not an owner")
        return await host.execute(call, open_call)

    async def locate(self, job: str) -> str | None:
        """Return the name of another owner that has a job, None if none says so."""
        peers = [peer for peer in self._host.members.all() if peer.claims]
        found = await asyncio.gather(*(self._has_job(peer, job) for peer in peers))
        return next((name for name in found if name is not None), None)

    async def _has_job(self, peer: Peer, job: str) -> str | None:
        """Return the name of a host if it says that it has a job."""
        try:
            has_job: bool = await self._host.peers.call(
                peer.address, LocateCall(job), bool, LOCATE_TIMEOUT_S, fresh=True
            )
        except PeerCallFailed:
            # The job counts as in doubt until this host has answered.
            return None
        return peer.card.name if has_job else None

    async def fetch_runners(self) -> bool:
        """Fetch a newer list of runners; return whether another host had one.

        Asks a few hosts at once, on new connections, and others the next time: one
        that does not reply delays the list by one call only.
        """
        host = self._host
        live = sorted(host.members.live(), key=lambda peer: peer.card.name)
        self._fetches_begun += 1
        first = self._fetches_begun * RUNNERS_HOSTS_ASKED
        asked = [
            live[(first + i) % len(live)]
            for i in range(min(RUNNERS_HOSTS_ASKED, len(live)))
        ]
        lists = await asyncio.gather(*(self._runners_of(peer) for peer in asked))
        newest = max(
            (found for found in lists if found is not None),
            key=lambda found: found.read_at,
            default=None,
        )
        if newest is None or newest.read_at <= host.directory.list_age.read_at:
            return False
        host.set_runners(newest.runners, newest.read_at, f"host {newest.peer}")
        return True

    async def _runners_of(self, peer: Peer) -> _RunnerList | None:
        """Return a host's list of runners; None if it has none or does not reply."""
        try:
            reply: RunnersReply = await self._host.peers.call(
                peer.address, RunnersCall(), RunnersReply, FETCH_TIMEOUT_S, fresh=True
            )
        except PeerCallFailed as exc:
            log.info(
                "runner list fetch failed; asking other hosts next",
                extra={"peer": peer.card.name, "reason": str(exc)},
            )
            return None
        if not reply.runners:
            return None
        read_at = self._host.timers.now() - reply.age_s
        return _RunnerList(peer.card.name, read_at, reply.runners)
