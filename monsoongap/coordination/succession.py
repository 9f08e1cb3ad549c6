"""Succession: the successor's side of a handover of shares (`handover`).

A preparation takes the list of runners over and opens the connections to them. It
changes nothing for the owner. A transfer is accepted only soon after the preparation
for the same claim: a call that was under way for longer may be older than a takeover by
another host.
"""

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from monsoongap.coordination.heartbeats import NEVER
from monsoongap.coordination.ports import (
    HigherFence,
    NoAnswer,
    NotSent,
    WrongInstance,
)
from monsoongap.protocol.messages import (
    Claim,
    Heartbeat,
    PrepareCall,
    PrepareReply,
    RunnerDigest,
    RunnerInfo,
    ShareId,
    TransferCall,
    TransferReply,
)
from monsoongap.state.health import RunnerHealth

if TYPE_CHECKING:
    from monsoongap.coordination.host import Host

# A successor waits this long for runners, and for its own list of them; see `ListAge`.
PREPARE_S = 0.4
PREPARE_STEP_S = 0.02
# A transfer that arrives later after the preparation is refused. Below the 0.7 s after
# which others take over from an owner that is silent.
PREPARED_S = 0.6
# For how long a prepared host reads the runner list as often as an owner does.
EXPECTED_S = 2.0


@dataclass(slots=True)
class SuccessionCounts:
    """Counts of shares accepted from owners that left, for the metrics."""

    accepted: int = 0
    refused: int = 0


@dataclass(slots=True)
class Succession:
    """Prepares for shares and acquires them when they are transferred."""

    host: "Host"
    counts: SuccessionCounts = field(default_factory=SuccessionCounts)
    _prepared: dict[ShareId, tuple[int, float]] = field(default_factory=dict)
    # Numbers of runners that this host prepares for, by share, and since when.
    _expected: dict[ShareId, tuple[int, float]] = field(default_factory=dict)
    _accepted: dict[ShareId, tuple[int, Claim]] = field(default_factory=dict)

    async def answer_prepare(self, call: PrepareCall) -> PrepareReply:
        """Prepare for a share of a host that leaves."""
        host = self.host
        if host.leaving or not host.directory.version:
            return self._refuse_prepare("leaving" if host.leaving else "starting")
        if not self._can_add(call):
            return self._refuse_prepare("too weak for more runners")
        read_at = host.timers.now() - call.list_age_s
        if call.list_runners and read_at > host.directory.list_age.read_at:
            host.set_runners(call.list_runners, read_at, f"host {call.home}")
        # The list of runners is read as by an owner from now on.
        host.became_owner.set()
        host.timers_later(EXPECTED_S, self._expire)
        polls = [asyncio.create_task(self._poll(r, call)) for r in call.runners]
        waits = [*polls, asyncio.create_task(self._wait_for_list())]
        done, pending = await asyncio.wait(waits, timeout=PREPARE_S)
        for task in pending:
            task.cancel()
        if host.leaving:
            return self._refuse_prepare("leaving")
        if not all(poll.result() for poll in polls if poll in done):
            return self._refuse_prepare("a runner has seen a higher fence")
        if not host.directory.list_age.allows_placement(host.timers.now()):
            return self._refuse_prepare("list of runners is too old")
        self._prepared[call.claim.share] = (call.claim.fence, host.timers.now())
        return PrepareReply(True)

    def _can_add(self, call: PrepareCall) -> bool:
        """Return whether this host can own the share beside others it prepares for."""
        now = self.host.timers.now()
        for share, (_, at) in list(self._expected.items()):
            if now - at > EXPECTED_S:
                del self._expected[share]
        share = call.claim.share
        self._expected.pop(share, None)
        count = int(len(call.runners) / max(call.parts, 1.0))
        others = sum(
            runners
            for other, (runners, _) in self._expected.items()
            if other not in self.host.ownership.claims
        )
        if not self.host.ownership.can_add(others + count):
            return False
        self._expected[share] = (count, now)
        return True

    def _refuse_prepare(self, reason: str) -> PrepareReply:
        self.counts.refused += 1
        return PrepareReply(False, reason)

    def _expire(self) -> None:
        if not self.host.ownership.claims:
            self.host.became_owner.clear()

    async def _poll(self, runner: RunnerInfo, call: PrepareCall) -> bool:
        """Open a connection to a runner; return False if another owner took it over.

        The poll renews no lease and acknowledges no end. A runner that does not answer
        does not answer its owner either.
        """
        try:
            await self.host.runners.poll(runner, call.claim.fence, 0, None, 0, False)
        except HigherFence:
            return False
        except (NotSent, NoAnswer, WrongInstance):
            pass
        return True

    async def _wait_for_list(self) -> None:
        host = self.host
        until = host.timers.now() + PREPARE_S
        while host.timers.now() < until:
            if host.directory.list_age.allows_placement(host.timers.now()):
                return
            await host.timers.sleep(PREPARE_STEP_S)

    def answer_transfer(self, call: TransferCall) -> TransferReply:
        """Acquire a share for which this host is prepared; a repetition is joined."""
        host, share = self.host, call.target.share
        fence, claim = self._accepted.get(share, (0, None))
        if fence == call.claim.fence:
            current = host.ownership.claims.get(share)
            return TransferReply(claim if current == claim else None)
        fence, prepared_at = self._prepared.get(call.claim.share, (0, NEVER))
        if fence != call.claim.fence:
            return self._refuse("not prepared")
        if host.timers.now() - prepared_at > PREPARED_S:
            return self._refuse("prepared too long ago")
        host.coverage.record_claims((call.target,), (call.runner_digest,))
        claim = host.ownership.acquire_transferred(call.target)
        if claim is None:
            # The caller may take the share back; a repetition of the call is late then.
            del self._prepared[call.claim.share]
            return self._refuse("leaving, or another host owns the share")
        host.jobs.record_transfer(call)
        now = host.timers.now()
        for id_, slowness, bad_ends, suspect_s in call.health:
            link = host.pool.links.get(id_)
            if link is not None:
                health = RunnerHealth(bad_ends, now + suspect_s, slowness)
                link.table.health = health
        for owner, numbers in call.located:
            if owner != host.card.name:
                host.job_locations.record_jobs(owner, numbers)
        self._accepted[share] = (call.claim.fence, claim)
        self.counts.accepted += 1
        return TransferReply(claim)

    def _refuse(self, reason: str) -> TransferReply:
        self.counts.refused += 1
        return TransferReply(None, reason)

    def without_released(
        self, heartbeat: Heartbeat
    ) -> tuple[tuple[Claim, ...], tuple[RunnerDigest, ...]]:
        """Return the claims of a heartbeat, and their digests, that are still held.

        A heartbeat that was sent before a transfer to this host may arrive after it.
        """
        claims, digests = heartbeat.claims, heartbeat.runner_digests
        held = [i for i, claim in enumerate(claims) if not self._was_released(claim)]
        if len(held) == len(claims):
            return claims, digests
        return (
            tuple(claims[i] for i in held),
            tuple(digests[i] for i in held if i < len(digests)),
        )

    def _was_released(self, claim: Claim) -> bool:
        return self._accepted.get(claim.share, (0, None))[0] == claim.fence
