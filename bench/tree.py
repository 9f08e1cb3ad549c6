"""Sizes and costs of the settings tree at the design size: 190 teams.

Prints bytes per change, per snapshot and per digest exchange, the time to replay
1,000 changes and to digest the tree, and the memory of one host's replica.
"""

import asyncio
import random
import time
import tracemalloc
from collections.abc import Iterator

from monsoongap.coordination.tokens import hash_token
from monsoongap.coordination.tree_replica import TreeReplica
from monsoongap.protocol.messages import LogRecord
from monsoongap.protocol.peer import encode
from monsoongap.protocol.tree import (
    ROOT,
    TEAM_PREFIX,
    Change,
    Entry,
    ExchangeReply,
    ExchangeRequest,
)
from monsoongap.state.tree import (
    encode_record,
    load_snapshot,
    take_snapshot,
    tree_digest,
)
from monsoongap.timers import TimerService

TEAMS = 190
CHANGES = 1_000
AT_MS = 1_790_000_000_000


def changes() -> Iterator[Change]:
    """Yield one whole subtree per team, then changes of single keys."""
    rng = random.Random(1)
    revisions = [0] * TEAMS
    for number in range(TEAMS + CHANGES):
        team = number if number < TEAMS else rng.randrange(TEAMS)
        quota = Entry("quota_slots", str(rng.randrange(200)))
        entries = (quota, *(_rest(team) if number < TEAMS else ()))
        yield Change(
            id=f"{number:032x}",
            author="anna",
            subtree=f"{TEAM_PREFIX}team-{team:03}",
            base=revisions[team],
            set=entries,
            at_ms=AT_MS + number,
        )
        revisions[team] += 1


def _rest(team: int) -> tuple[Entry, ...]:
    return (
        Entry("max_tasks", "5000"),
        Entry("max_deadline_ms", "60000"),
        Entry("token_hashes", hash_token(f"caller {team}")),
        Entry("operator_hashes", f"anna={hash_token(f'operator {team}')}"),
    )


async def main() -> None:
    """Measure and print."""
    records = [
        LogRecord(offset, encode_record(change))
        for offset, change in enumerate(changes())
    ]
    whole, single = records[:TEAMS], records[TEAMS:]
    tracemalloc.start()
    replica = TreeReplica(TimerService(), unnamed_teams=True)
    for record in records:
        replica.apply(record)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()

    replica = TreeReplica(TimerService(), unnamed_teams=True)
    for record in whole:
        replica.apply(record)
    started = time.perf_counter()
    for record in single:
        replica.apply(record)
    replay_s = time.perf_counter() - started
    started = time.perf_counter()
    digest = tree_digest(replica.tree)
    digest_s = time.perf_counter() - started
    snapshot = take_snapshot(replica.tree)
    text = encode_record(snapshot)
    started = time.perf_counter()
    fresh = TreeReplica(TimerService(), unnamed_teams=True)
    assert fresh.install(snapshot, "bench") and tree_digest(fresh.tree) == digest
    install_s = time.perf_counter() - started
    bound = Change("bound-change", "anna", ROOT, 0, (Entry("max_team_tasks", "900"),))
    record = LogRecord(fresh.offset, encode_record(bound))
    started = time.perf_counter()
    fresh.apply(record)
    root_s = time.perf_counter() - started
    assert fresh.all_limits()[0].max_tasks == 900
    started = time.perf_counter()
    load_snapshot(snapshot)
    load_s = time.perf_counter() - started

    have = replica.digest()
    request = encode(ExchangeRequest("entry-00", have))
    idle = encode(ExchangeReply(have))
    news = encode(ExchangeReply(have, have.offset - 1, records=(records[-1],)))
    size = sum(len(record.data) for record in single) / len(single)
    print(f"bytes per change of one key in the log: {size:.0f}")
    print(f"bytes per snapshot of {TEAMS} teams: {len(text)}")
    print(f"bytes per digest: {len(encode(have))}")
    print(f"bytes per idle exchange: {len(request)} + {len(idle)}")
    print(f"bytes per exchange that brings one change: {len(request)} + {len(news)}")
    print(f"replay of {CHANGES} changes: {replay_s * 1e3:.0f} ms")
    print(f"digest of the tree: {digest_s * 1e3:.2f} ms")
    print(f"load of a snapshot: {load_s * 1e3:.2f} ms, in force {install_s * 1e3:.1f}")
    print(f"change of a bound for {TEAMS} teams: {root_s * 1e3:.2f} ms")
    print(f"memory of a replica of {TEAMS} teams: {memory / 1e6:.2f} MB")


if __name__ == "__main__":
    asyncio.run(main())
