"""Rolling stops at peak load: owners hand their shares over to a successor.

Three data centres of hosts of unequal strength, with load near the capacity. Hosts are
stopped three at a time, owners first, and start again. Guards against jobs that are
refused, late or run again because an owner left in an orderly way.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import msgspec
import pytest

from monsoongap.coordination import succession
from monsoongap.coordination.handover import Handover
from monsoongap.coordination.heartbeats import HeartbeatParts
from monsoongap.coordination.host import Host
from monsoongap.errors import AnswerKind
from monsoongap.protocol.decoding import decode_msgpack
from monsoongap.protocol.messages import (
    Claim,
    Configuration,
    Heartbeat,
    HostCard,
    Job,
    PrepareCall,
    QueueRule,
    Resources,
    RunnerDigest,
    ShareId,
    Step,
    TransferCall,
    TransferReply,
    UnownedCall,
    UpstreamRule,
)
from monsoongap.standin.runner_model import TaskPlan
from monsoongap.state.health import RunnerHealth
from tests.coordination.test_host import run_virtual
from tests.coordination.test_takeover_doubts import until
from tests.host_world import UPSTREAM, World

# Tasks of a job of each queue and their work.
KINDS = {"small": (8, 50.0), "middle": (2, 170.0), "large": (4, 760.0)}
STRETCH, GRACE_S = 1.6, 0.06
# Work of an average job, in seconds of a core.
CORE_S = sum(count * ms for count, ms in KINDS.values()) / 3000
DCS = ("a", "b", "c")
JOB = f"{7:016x}"
# From SIGTERM until no caller is sent here any more, until the process ends, and until
# it runs again.
ROTATION_S, LEAVES_S, DOWN_S, PAUSE_S = 1.5, 3.0, 0.5, 1.0
# Owners read the list of runners this often, other hosts seldom; see `feeds`.
LIST_S, MAX_LIST_AGE_S, SELDOM_S, READ_S = 0.8, 1.6, 15.0, 0.003


Trouble = Callable[["RollingStops", list[str]], Coroutine[Any, Any, None]]


@dataclass(slots=True)
class RollingStops:
    """Load on a world and hosts that stop and start; outcomes by kind of job."""

    world: World
    jobs_per_s: float
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    in_rotation: set[str] = field(default_factory=set)
    outcomes: Counter[str] = field(default_factory=Counter)
    late: list[tuple[float, str, float]] = field(default_factory=list)
    store_is_out: bool = False

    async def submit_steadily(self) -> None:
        async with asyncio.TaskGroup() as group:
            for number in range(1, 10_000_000):
                group.create_task(self._submit(number))
                await asyncio.sleep(1 / self.jobs_per_s)

    async def _submit(self, number: int) -> None:
        loop = asyncio.get_running_loop()
        name, (count, work_ms) = list(KINDS.items())[number % len(KINDS)]
        payload = msgspec.json.encode(TaskPlan(work_ms)).decode()
        step = Step(count, Resources(1000, 64), work_ms / 1000)
        host = self.rng.choice(sorted(self.in_rotation))
        began_at = loop.time()
        id_ = f"{self.rng.getrandbits(64):016x}"
        reply = await self.world.submit_job(host, Job(id_, name, payload, (step,)))
        took_s = loop.time() - began_at
        late = took_s > STRETCH * work_ms / 1000 + GRACE_S
        if reply.kind is not AnswerKind.COMPLETED or late:
            detail = reply.detail.translate(str.maketrans("", "", "0123456789"))
            what = "late" if reply.kind is AnswerKind.COMPLETED else detail
            self.late.append((began_at, f"{name}@{host}: {what}", took_s))
            self.outcomes[f"{reply.kind.value}: {what}"] += 1
        self.outcomes["all"] += 1

    async def read_lists(self) -> None:
        """Read the lists of runners as feeds do: owners often, new owners at once."""
        while True:
            await asyncio.sleep(0.01)
            for host in list(self.world.hosts.values()):
                age, now = host.directory.list_age, host.timers.now()
                age.max_age_s = MAX_LIST_AGE_S
                due_s = LIST_S if host.became_owner.is_set() else SELDOM_S
                if now - age.read_at < due_s:
                    continue
                age.begin_read(now)
                if self.store_is_out:
                    age.fail_read()
                else:
                    asyncio.get_running_loop().call_later(READ_S, self._read, host, now)

    def _read(self, host: Host, read_at: float) -> None:
        host.directory.list_age.finish_read(read_at)
        self.world.send_runner_list(host)

    def next_hosts(self, stopped: set[str]) -> list[str]:
        """Return the next three hosts to stop: owners first."""
        hosts = self.world.hosts
        left = sorted(n for n in hosts if n not in stopped)
        left.sort(key=lambda n: not hosts[n].ownership.claims)
        return left[:3]

    async def stop(self, names: list[str]) -> None:
        """Stop hosts as by SIGTERM, and start them again."""
        for name in names:
            host = self.world.hosts.get(name)
            if host is not None and not host.leaving:
                host.leave()
        await asyncio.sleep(ROTATION_S)
        self.in_rotation.difference_update(names)
        await asyncio.sleep(LEAVES_S - ROTATION_S)
        for name in names:
            if name in self.world.hosts:
                self.world.kill(name)
        await asyncio.sleep(DOWN_S)
        for name in names:
            if name not in self.world.hosts:
                self.world.start_host(name)
        await asyncio.sleep(PAUSE_S)
        self.in_rotation.update(names)


def peak_world(
    hosts: int, runners: int, load: float, seed: int = 1, cores_per_runner: int = 8
) -> RollingStops:
    """Return a world whose load takes a fraction of its capacity."""
    world = World(
        dict.fromkeys(DCS, hosts),
        runners_per_dc=runners,
        cores=0.387,
        strong_per_dc=3,
        seed=seed,
        room=Resources(1000 * cores_per_runner, 16384),
    )
    queues = tuple(
        QueueRule(name, "h", f"/{name}/", UPSTREAM, 3.0, i, 2, STRETCH, GRACE_S)
        for i, name in enumerate(KINDS)
    )
    world.config = Configuration(1, queues, (UpstreamRule(UPSTREAM, True),))
    capacity = len(DCS) * runners * cores_per_runner
    return RollingStops(world, load * capacity / CORE_S, random.Random(seed))


async def roll(
    crowd: RollingStops,
    batches: int,
    trouble: Trouble | None = None,
    names: list[str] | None = None,
) -> None:
    """Start load, then stop hosts three at a time, with a trouble in each batch.

    `names` are the hosts of the only batch, by default owners first.
    """
    world = crowd.world
    await world.start()
    crowd.in_rotation.update(world.hosts)
    lists = asyncio.create_task(crowd.read_lists())
    await asyncio.sleep(5.0)
    load = asyncio.create_task(crowd.submit_steadily())
    await asyncio.sleep(2.0)
    stopped: set[str] = set()
    for _ in range(batches):
        batch = names or crowd.next_hosts(stopped)
        stopped.update(batch)
        troubles = asyncio.create_task(trouble(crowd, batch)) if trouble else None
        await crowd.stop(batch)
        if troubles is not None:
            await troubles
    load.cancel()
    lists.cancel()
    world.check()


# Troubles while hosts are stopped.


def successors(crowd: RollingStops, leaving: list[str]) -> list[str]:
    """Return the hosts to which those that leave are about to hand their shares."""
    found = []
    for name in leaving:
        ownership = crowd.world.hosts[name].ownership
        for share in ownership.claims:
            peers = [p for p in ownership.members.live() if p.card.name not in leaving]
            cards = [p.card for p in peers if p.card.dc == share.dc]
            found.append(ownership._preferred_owner(share, cards))
    return found


async def partition(crowd: RollingStops, leaving: list[str]) -> None:
    """Cut a data centre off while hosts leave."""
    for other in ("a", "b"):
        crowd.world.cut_off("c", other)
    await asyncio.sleep(LEAVES_S)
    crowd.world.cut.clear()


async def lost_store(crowd: RollingStops, leaving: list[str]) -> None:
    """Have the store fail while hosts leave."""
    crowd.store_is_out = True
    await asyncio.sleep(LEAVES_S)
    crowd.store_is_out = False


async def lost_successors(crowd: RollingStops, leaving: list[str]) -> None:
    """Kill the successors at the time when the first share is transferred."""
    chosen = successors(crowd, leaving)
    await asyncio.sleep(crowd.rng.uniform(0.0, 0.012))
    for name in chosen:
        if name in crowd.world.hosts:
            crowd.world.kill(name)
        crowd.in_rotation.discard(name)
    await asyncio.sleep(2.0)
    for name in chosen:
        if name not in crowd.world.hosts:
            crowd.world.start_host(name)
            crowd.in_rotation.add(name)


async def leaving_successors(crowd: RollingStops, leaving: list[str]) -> None:
    """Stop the successors while, or soon after, they take over."""
    chosen = successors(crowd, leaving)
    await asyncio.sleep(crowd.rng.choice((0.0, 0.002, 0.005, 0.02, 0.2)))
    await crowd.stop(chosen)


async def unreachable_successors(crowd: RollingStops, leaving: list[str]) -> None:
    """Cut the successors off from the hosts that leave, but not from the others."""
    chosen = successors(crowd, leaving)
    for name in leaving:
        for successor in chosen:
            crowd.world.cut_off(name, successor)
    await asyncio.sleep(LEAVES_S)
    crowd.world.cut.clear()


# What each trouble may cost at most, in thousandths of the jobs: answers without a
# result, and late ones. Killed hosts lose their callers; a partition, the tasks that
# are lent over it.
@pytest.mark.parametrize(
    ("trouble", "lost", "late"),
    [
        (None, 0, 3),
        (lost_store, 0, 3),
        (leaving_successors, 0, 5),
        (unreachable_successors, 0, 30),
        (partition, 5, 10),
        (lost_successors, 25, 60),
    ],
)
def test_rolling_stops_at_peak_load_cost_few_jobs(
    trouble: Trouble | None, lost: int, late: int
) -> None:
    async def main() -> None:
        crowd = peak_world(10, 20, 0.6, cores_per_runner=4)
        await roll(crowd, 2, trouble)
        count = crowd.outcomes.pop("all")
        late_count = crowd.outcomes.pop("completed: late", 0)
        assert count > 500
        assert crowd.outcomes.total() <= lost * count / 1000, crowd.outcomes
        assert late_count <= late * count / 1000

    run_virtual(main())


# The hosts that stay can't carry the share of the strong ones, so that it is divided.
# The new owners waited for the leases of the previous one to lapse.
def test_a_share_that_is_divided_among_weaker_hosts_costs_few_jobs() -> None:
    async def main() -> None:
        crowd = peak_world(10, 20, 0.6, cores_per_runner=4)
        await roll(crowd, 1, names=[f"a-h{i}" for i in range(3)])
        assert {
            c.share_count
            for h in crowd.world.hosts.values()
            if h.owns("a")
            for c in h.ownership.claims.values()
        } == {3}
        count = crowd.outcomes.pop("all")
        assert count > 300
        assert crowd.outcomes.total() <= 0.03 * count, crowd.outcomes

    run_virtual(main())


async def owner_and_successor(hosts: int = 2) -> tuple[World, Host, Host]:
    """Return a world of one data centre, its owner and the host that is next."""
    world = World({"a": hosts}, runners_per_dc=4, cores=0.5)
    await world.start()
    await asyncio.sleep(5)
    owner = world.hosts[world.owner("a")]
    share = next(iter(owner.ownership.claims))
    peer = owner.ownership.successor(share, set())
    assert peer is not None
    return world, owner, world.hosts[peer.card.name]


# A host of the version before doesn't know the calls; the share was left without owner
# until the process of the one that left ended.
def test_an_owner_without_a_successor_of_its_version_is_followed_at_once() -> None:
    async def main() -> None:
        world, owner, successor = await owner_and_successor()
        world.call_types_unknown.add(PrepareCall)
        owner.leave()
        await asyncio.sleep(0.1)
        assert successor.owns("a") and not owner.owns("a")
        assert owner.handover.counts.abandoned == 1

    run_virtual(main())


# Hosts are stopped in turn, so that the next owner may start only a moment later. The
# owner gave up at once, and the next one took over as after a failure.
def test_an_owner_waits_for_a_successor_that_starts_soon() -> None:
    async def main() -> None:
        world, owner, successor = await owner_and_successor()
        world.kill(successor.card.name)
        await asyncio.sleep(2.0)
        job = asyncio.create_task(world.submit(owner.card.name, JOB, 8, 2500.0))
        owner.leave()
        await asyncio.sleep(0.5)
        successor = world.start_host(successor.card.name)
        await until(lambda: successor.owns("a"))
        await until(lambda: owner.handover.counts.completed == 1)
        assert (await job).kind is AnswerKind.COMPLETED
        assert len(world.ledger) == 8

    run_virtual(main())


# A transfer that was under way for long may be older than a takeover by another host.
def test_a_transfer_is_accepted_only_soon_after_its_preparation() -> None:
    async def main() -> None:
        world, owner, successor = await owner_and_successor()
        share, claim = next(iter(owner.ownership.claims.items()))
        digest = owner.pool.runner_digests((claim,))[0]
        late = TransferCall(owner.card.name, claim, digest, (), (), 0)
        assert successor.succession.answer_transfer(late).claim is None
        prepare = PrepareCall(owner.card.name, claim)
        assert (await successor.succession.answer_prepare(prepare)).ready
        await asyncio.sleep(1.0)
        assert successor.succession.answer_transfer(late).claim is None
        assert not successor.owns("a")
        assert (await successor.succession.answer_prepare(prepare)).ready
        accepted = successor.succession.answer_transfer(late).claim
        assert accepted is not None and accepted.fence > claim.fence
        # A repetition gets the same reply, also after the share has gone elsewhere.
        assert successor.succession.answer_transfer(late).claim == accepted
        successor.ownership.yield_to_fence(share)
        assert successor.succession.answer_transfer(late).claim is None
        assert not successor.owns("a")

    run_virtual(main())


# Heartbeats sent before a transfer, and received after it, put the share in doubt: all
# jobs waited for the owners of every data centre, one of which may be out of reach.
def test_a_late_heartbeat_of_the_previous_owner_puts_nothing_in_doubt() -> None:
    async def main() -> None:
        world, owner, successor = await owner_and_successor()
        share = next(iter(owner.ownership.claims))
        late = owner._make_heartbeat(HeartbeatParts())
        owner.leave()
        await until(lambda: successor.owns("a"))
        late = msgspec.structs.replace(late, serial=10**6)
        successor.members.receive(msgspec.msgpack.encode(late))
        assert not successor.jobs.is_in_doubt(share)
        assert successor.pool.is_reconciled(share) or successor.pool.links

    run_virtual(main())


# A leaving owner advertised none of the capacity that it went on to own.
def test_an_owner_that_leaves_lends_until_its_share_is_transferred() -> None:
    async def main() -> None:
        world, owner, _ = await owner_and_successor()
        world.call_types_lost.add(PrepareCall)
        owner.leave()
        await asyncio.sleep(0.2)
        assert owner.owns("a")
        assert owner._make_heartbeat(HeartbeatParts()).free

    run_virtual(main())


# The successor's handover leaves out the job that it got a moment before: a caller that
# sends it again was told "not run", or its task ran twice.
@pytest.mark.parametrize("after_s", [0.0, 0.003, 0.005, 0.008, 0.05])
def test_a_job_follows_its_share_through_two_handovers(after_s: float) -> None:
    async def main() -> None:
        world, owner, successor = await owner_and_successor(3)
        job = asyncio.create_task(world.submit(owner.card.name, JOB, 8, 1500.0))
        await until(lambda: bool(world.ledger))
        owner.leave()
        await asyncio.sleep(after_s)
        successor.leave()
        await asyncio.sleep(0.2)
        last = world.owner("a")
        assert last not in (owner.card.name, successor.card.name)
        again = asyncio.create_task(world.submit(last, JOB, 8, 1500.0))
        replies = await asyncio.gather(job, again)
        assert {reply.kind for reply in replies} == {AnswerKind.COMPLETED}
        assert len(world.ledger) == 8
        world.check()

    run_virtual(main())


# A successor that can't reach a runner placed the tasks that run there a second time.
def test_a_successor_that_cannot_reach_a_runner_waits_for_its_lease() -> None:
    async def main() -> None:
        world, owner, successor = await owner_and_successor()
        job = asyncio.create_task(world.submit(owner.card.name, JOB, 8, 1500.0))
        await until(lambda: len(world.ledger) == 8)
        world.cut_off(successor.card.name, world.ledger[0].runner)
        owner.leave()
        await until(lambda: successor.owns("a"))
        again = asyncio.create_task(world.submit(successor.card.name, JOB, 8, 1500.0))
        replies = await asyncio.gather(job, again)
        assert {reply.kind for reply in replies} == {AnswerKind.COMPLETED}
        world.check()

    run_virtual(main())


# The runs of lent tasks are not on the runners of the share. A successor that started
# these tasks again, before they were known to be over, ran them twice.
def test_a_successor_waits_for_the_end_of_lent_tasks() -> None:
    async def main() -> None:
        world = World({"a": 2, "b": 1}, runners_per_dc=1)
        await world.start()
        await asyncio.sleep(5)
        owner = world.owner("a")
        successor = next(n for n in world.hosts if n.startswith("a") and n != owner)
        works_ms = (100.0,) * 4 + (1500.0,) * 4
        job = asyncio.create_task(world.submit(owner, JOB, 8, 50.0, works_ms=works_ms))
        await until(lambda: len(world.ledger) == 8)
        await asyncio.sleep(0.2)
        world.cut_off(successor, "b-h0")
        world.hosts[owner].leave()
        await until(lambda: world.hosts[successor].owns("a"))
        await job
        await asyncio.sleep(2.0)
        world.check()

    run_virtual(main())


# A share whose successors refuse the transfer had no owner until others noticed.
@pytest.mark.parametrize("answers", [True, False])
def test_an_owner_takes_a_share_back_that_no_successor_acquires(
    answers: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        world, owner, _ = await owner_and_successor(3)
        share = next(iter(owner.ownership.claims))
        if answers:
            monkeypatch.setattr(succession, "PREPARED_S", -1.0)
        else:
            world.call_types_unknown.add(TransferCall)
        job = asyncio.create_task(world.submit(owner.card.name, JOB, 8, 600.0))
        await until(lambda: bool(world.ledger))
        owner.leave()
        await until(lambda: owner.handover.counts.passed_over == 2)
        assert owner.ownership.counts.acquired == 3
        assert owner.jobs.is_in_doubt(share) is not answers
        await until(lambda: not owner.owns("a"))
        assert (await job).kind is AnswerKind.COMPLETED
        assert len(world.ledger) == 8
        world.check()

    run_virtual(main())


# A job that waited for an owner looked for one each 50 ms, half of its objective.
def test_a_job_that_waits_for_an_owner_goes_to_it_at_once() -> None:
    async def main() -> None:
        world, owner, successor = await owner_and_successor(3)
        other = next(
            n for n in world.hosts if n not in (owner.card.name, successor.card.name)
        )
        world.kill(owner.card.name)
        jobs = []
        for number in range(10):
            id_ = f"{number:016x}"
            jobs.append(asyncio.create_task(world.submit(other, id_, 1, 20.0)))
            await asyncio.sleep(0.007)
        await until(lambda: any(h.owns("a") for h in world.hosts.values()))
        acquired_at = successor.timers.now()
        replies = await asyncio.gather(*jobs)
        assert {reply.kind for reply in replies} == {AnswerKind.COMPLETED}
        assert max(run.began_at for run in world.ledger) - acquired_at < 0.03

    run_virtual(main())


# A host learns only as an owner which jobs the other owners have. A new one began a job
# that was sent again a second time, beside its runs in another data centre.
def test_a_successor_knows_the_jobs_of_other_owners_at_once() -> None:
    async def main() -> None:
        world = World({"a": 2, "b": 1}, runners_per_dc=3)
        await world.start()
        await asyncio.sleep(5)
        owner = world.owner("a")
        successor = next(n for n in world.hosts if n.startswith("a") and n != owner)
        job = asyncio.create_task(world.submit("b-h0", JOB, 2, 1500.0))
        await asyncio.sleep(0.8)
        for name in (owner, successor):
            # Later heartbeats of the other owner would tell the successor.
            world.heartbeats_lost.add(("b-h0", name))
        world.hosts[owner].leave()
        await until(lambda: world.hosts[successor].owns("a"))
        again = asyncio.create_task(world.submit(successor, JOB, 2, 1500.0))
        replies = await asyncio.gather(job, again)
        assert {reply.kind for reply in replies} == {AnswerKind.COMPLETED}
        assert len(world.ledger) == 2
        world.check()

    run_virtual(main())


# A successor placed tasks on runners that the previous owner knew to fail or be slow.
def test_a_successor_knows_the_health_of_the_runners() -> None:
    async def main() -> None:
        world, owner, successor = await owner_and_successor()
        known = RunnerHealth(2, owner.timers.now() + 6.0, 3.5)
        owner.pool.links["a-r1"].table.health = known
        owner.leave()
        await until(lambda: successor.owns("a"))
        await asyncio.sleep(0.1)
        health = successor.pool.links["a-r1"].table.health
        assert (health.bad_ends, health.slowness) == (2, 3.5)
        assert health.is_suspect(successor.timers.now() + 5.0, 3.5)
        assert successor.pool.links["a-r0"].table.health == RunnerHealth()

    run_virtual(main())


# Fields of a newer version cost nothing; those missing from an older one have defaults.
def test_handover_calls_of_neighbouring_versions_are_understood() -> None:
    claim = Claim(ShareId("a"), 1, 7)
    prepare = {"home": "a-h0", "claim": claim, "newer": [1]}
    call = decode_msgpack(msgspec.msgpack.encode(prepare), PrepareCall)
    assert call == PrepareCall("a-h0", claim)
    transfer = TransferCall("a-h0", claim, RunnerDigest(1, 2), ("1f",), (), 3)
    fields = msgspec.to_builtins(transfer) | {"newer": {"a": 1}}
    del fields["share"], fields["share_count"]
    assert decode_msgpack(msgspec.msgpack.encode(fields), TransferCall) == transfer
    card = HostCard("a-h1", "a", "10.0.0.1", 1, 1)
    beat = msgspec.to_builtins(Heartbeat(card, 1, True, 3, hands_over=True))
    assert decode_msgpack(msgspec.msgpack.encode([*beat, "x"]), Heartbeat).hands_over
    before = beat[: Heartbeat.__struct_fields__.index("hands_over")]
    assert not decode_msgpack(msgspec.msgpack.encode(before), Heartbeat).hands_over


# Guards against a share that is acquired by a transfer although this host has told a
# later claimant that it does not own it: both knew all runs of the share.
def test_a_transfer_is_refused_after_a_newer_claim_was_confirmed() -> None:
    async def main() -> None:
        world, owner, successor = await owner_and_successor()
        claim = next(iter(owner.ownership.claims.values()))
        prepare = PrepareCall(owner.card.name, claim)
        assert (await successor.succession.answer_prepare(prepare)).ready
        newer = Claim(claim.share, claim.share_count, claim.fence + 5)
        successor.prior_owners.answer(UnownedCall(newer))
        digest = owner.pool.runner_digests((claim,))[0]
        call = TransferCall(owner.card.name, claim, digest, (), (), 0)
        assert successor.succession.answer_transfer(call).claim is None
        owner.prior_owners.answer(UnownedCall(newer))
        owner.handover._take_back(call, refused=True)
        assert owner.ownership.claims.get(claim.share) in (None, claim)

    run_virtual(main())


# Guards against a share taken back without doubt from a successor whose acceptance was
# lost: it had started tasks, and had released the share when the call was repeated.
def test_a_refused_repetition_of_a_transfer_leaves_the_share_in_doubt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        world, owner, successor = await owner_and_successor()
        share, claim = next(iter(owner.ownership.claims.items()))
        refusals: list[bool] = []

        def take_back(self: Handover, call: TransferCall, refused: bool) -> None:
            refusals.append(refused)

        async def lose_first(*args: object) -> TransferReply | None:
            attempts.append(1)
            return TransferReply(None) if len(attempts) > 1 else None

        attempts: list[int] = []
        monkeypatch.setattr(Handover, "_call", lose_first)
        monkeypatch.setattr(Handover, "_take_back", take_back)
        peer = owner.members.peer(successor.card.name)
        assert peer is not None
        assert not await owner.handover._transfer(peer, share)
        assert refusals == [False]

    run_virtual(main())


# Guards against "not run" for a job that a transfer, or a lost call, lists as in doubt.
def test_a_job_in_doubt_is_answered_without_a_promise() -> None:
    async def main() -> None:
        _, owner, _ = await owner_and_successor()
        assert not owner.jobs._may_have_started(JOB, None)
        owner.jobs.mark_job_in_doubt(JOB)
        assert owner.jobs._may_have_started(JOB, None)

    run_virtual(main())
