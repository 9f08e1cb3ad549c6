"""Tests of what a replica refuses: old, contradicting and incomplete news."""

import asyncio
from dataclasses import replace

from monsoongap.coordination.tree_replica import TreeReplica
from monsoongap.protocol.messages import LogRecord
from monsoongap.protocol.peer import PeerHandlers
from monsoongap.protocol.tree import (
    EXCHANGE,
    STREAM,
    ExchangeReply,
    ExchangeRequest,
    TreeDigest,
)
from monsoongap.settings import TreeSection
from monsoongap.standin.log_model import LogShape
from monsoongap.state.tree import encode_record, take_snapshot
from monsoongap.timers import TimerService
from tests.clock import run_virtual
from tests.coordination.tree_world import World, change


def test_replica_takes_nothing_that_is_older_or_contradicts() -> None:
    async def main() -> None:
        replica = TreeReplica(TimerService(), unnamed_teams=False)
        calls: list[int] = []
        replica.subscribe(lambda: calls.append(replica.offset))
        replica.subscribe(lambda: 1 / 0)
        first = LogRecord(0, encode_record(change(0, quota_slots=10)))
        replica.apply(first)
        old = take_snapshot(replica.tree)
        replica.apply(LogRecord(1, encode_record(change(1, base=1, quota_slots=20))))
        digest = replica.digest()
        replica.apply(first)
        assert not replica.install(old, "peer")
        assert not replica.install(replace(old, offset=9), "forged")
        assert replica.digest() == digest
        assert replica.counters.corrupt == 1
        assert calls == [1, 2]
        contradicting = replace(take_snapshot(replica.tree), digest="0" * 32)
        replica.apply(LogRecord(2, encode_record(contradicting)))
        assert replica.counters.mismatches == 1
        assert replica.limits("bolts").quota_slots == 20
        assert replica.limits("unnamed") is None
        replica.apply(LogRecord(3, encode_record(change(2, base=2, max_tasks=1))))
        kept = replica.records_from(2)
        assert kept is not None and [record.offset for record in kept] == [2, 3]
        unset = change(3, base=3, unset=("quota_slots", "max_tasks"))
        replica.apply(LogRecord(4, encode_record(unset)))
        assert replica.limits("bolts") is None

    run_virtual(main())


def test_tail_is_bounded_and_a_lagging_peer_gets_a_snapshot_instead() -> None:
    async def main() -> None:
        replica = TreeReplica(TimerService(), unnamed_teams=True)
        for offset in range(200):
            replica.apply(LogRecord(offset, "?"))
        assert replica.records_from(10) is None
        kept = replica.records_from(150)
        assert kept is not None and len(kept) == 50
        replica.apply(LogRecord(200, "x" * 300_000))
        assert replica.records_from(199) is None

    run_virtual(main())


def test_a_snapshot_older_than_the_kept_records_is_no_start() -> None:
    async def main() -> None:
        world = World(TreeSection(snapshot_s=86_400.0))
        (first,) = world.add_many(1)
        await first.tree.propose(change(0, quota_slots=10))
        behind = encode_record(take_snapshot(first.tree.view()))
        await first.tree.propose(change(1, base=1, quota_slots=20))
        await world.stop("entry-00")
        world.model._shape = LogShape(keep_records=1)
        await world.model.append(STREAM, (behind,))
        fresh = world.add("fresh")
        await asyncio.sleep(30.0)
        assert not fresh.tree.loaded
        assert fresh.tree.get("teams/bolts").revision == 0
        await world.close()

    run_virtual(main())


def test_records_with_a_gap_before_them_are_not_taken() -> None:
    async def main() -> None:
        world = World()
        fresh = world.add("fresh", cut=True)
        handlers = PeerHandlers()
        later = LogRecord(7, encode_record(change(1, quota_slots=30)))

        async def reply(_: ExchangeRequest) -> ExchangeReply:
            return ExchangeReply(TreeDigest(8, "d", True), start=7, records=(later,))

        handlers.register(EXCHANGE, reply)
        world.network.join("odd", "kuf", handlers)
        fresh.tree.heard("odd", TreeDigest(8, "d", True))
        await asyncio.sleep(3.0)
        assert fresh.tree.digest().offset == 0 and not fresh.tree.loaded
        await world.close()

    run_virtual(main())
