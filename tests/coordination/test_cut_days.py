"""Random days of long jobs during which a data centre is cut off.

Jobs of 38 s begin at 3 s, others shortly before the cut or in it, and two faults come
before 33.5 s. Then a data centre is cut off for 5 to 6.5 s, with further faults that
depend on the variant of the day. A caller whose host ends or has no result, and one
that gave up, sends its job to any host 1.3 s later. All on virtual time.
"""

import asyncio
import random
from dataclasses import dataclass, field

import msgspec
import pytest

from monsoongap.errors import AnswerKind
from monsoongap.protocol.messages import Job, Resources, Step
from monsoongap.standin.runner_model import TaskPlan
from tests.coordination.test_host import run_virtual
from tests.coordination.test_patient_callers import RESEND_S, DayScenario
from tests.host_world import QUEUE, World

DCS = {"ibk": 3, "kuf": 2, "lnz": 2, "ldk": 2}
EARLY_JOBS = 12
LATE_JOBS = 16
LATE_S = (27.0, 38.0)
RUN_S = 38.0
DECLARED_S = (0.76, 0.76, RUN_S)
PATIENCE_S = 153.7
RESET_SHARE = 0.4
# The share of callers that give up in the cut, and come again.
GIVES_UP_SHARE = 0.15
CUT_AT_S = 33.5
CUT_S = (5.0, 6.5)
# Late enough for second and third runs to have begun.
END_S = 54.0
FAULTS = ("cut_dc", "cut_host", "end_two", "stop_in_turn", "pause_one")
VARIANTS = (
    *("plain", "kills", "kills", "stops", "pauses", "one_way", "calls_only"),
    *("two_dcs", "again", "lone_host", "meets_end", "power", "runners"),
)


def pairs_of(*dcs: str) -> set[frozenset[str]]:
    """Return the pairs that cut each of some data centres off from all others."""
    return {frozenset((dc, other)) for dc in dcs for other in DCS if other != dc}


@dataclass(slots=True)
class CutDay(DayScenario):
    """A day of one variant that is drawn from a seed."""

    variant: str = field(init=False)
    _began_at: float = field(init=False)

    def __post_init__(self) -> None:
        self.variant = self.rng.choice(VARIANTS)
        self._record(f"variant {self.variant}")
        self._began_at = asyncio.get_running_loop().time()

    async def run(self, length_s: float = END_S) -> None:
        """Play the day until some time after the cut."""
        names = sorted(self.world.hosts)
        starts = [self.rng.uniform(2.8, 3.3) for _ in range(EARLY_JOBS)]
        starts += [self.rng.uniform(*LATE_S) for _ in range(LATE_JOBS)]
        for starts_at in starts:
            id_ = f"{self.rng.getrandbits(64):016x}"
            self._spawn(self._call_patiently(id_, starts_at, self.rng.choice(names)))
        for at in sorted(self.rng.uniform(4, CUT_AT_S - 0.5) for _ in range(2)):
            await self._sleep_until(at)
            self._spawn(getattr(self, f"_{self.rng.choice(self.faults)}")())
        await self._sleep_until(CUT_AT_S)
        self._spawn(getattr(self, f"_play_{self.variant}")())
        await self._sleep_until(length_s)
        for task in [task for task in self._tasks if task.done()]:
            task.result()

    async def _sleep_until(self, at: float) -> None:
        await asyncio.sleep(max(at - self._now(), 0.0))

    def _now(self) -> float:
        """Return the time of the day, in seconds."""
        return asyncio.get_running_loop().time() - self._began_at

    async def _call_patiently(self, id_: str, starts_at: float, name: str) -> None:
        """Submit a job, and send it again to any host while it has no result."""
        rng = random.Random(id_)
        await self._sleep_until(starts_at)
        payload = msgspec.json.encode(TaskPlan(RUN_S * 1000)).decode()
        step = Step(1, Resources(300, 64), rng.choice(DECLARED_S))
        job = Job(id_, QUEUE, payload, (step,))
        until = self._now() + PATIENCE_S
        gives_up_at = until
        if rng.random() < GIVES_UP_SHARE:
            gives_up_at = max(CUT_AT_S, self._now()) + rng.uniform(0.5, 4.0)
        while (left_s := until - self._now()) > 0:
            if name in self.world.hosts:
                patience_s = gives_up_at - self._now()
                wait_s = patience_s if patience_s > 0 else left_s
                reply = await self._call(name, job, wait_s)
                if reply is not None and reply.kind is not AnswerKind.BROKEN:
                    return
            await asyncio.sleep(RESEND_S)
            name = self.rng.choice(sorted(self.world.hosts) or [name])

    async def _cut(self, pairs: set[frozenset[str]], duration_s: float) -> None:
        """Cut places off; calls that are open stay silent or are reset."""
        cut = asyncio.create_task(DayScenario._cut(self, pairs, duration_s))
        if self.rng.random() < RESET_SHARE:
            await asyncio.sleep(0)
            self._record("open calls are reset")
            self.world.reset_calls()
        await cut

    async def _pause_one(self) -> None:
        """Pause a host for less than a takeover takes."""
        name = self._pick_host()
        host = self.world.hosts[name]
        self._record(f"{name} is paused")
        self.world.pause(name)
        await asyncio.sleep(self.rng.uniform(0.15, 0.6))
        if self.world.hosts.get(name) is host:
            self._record(f"{name} resumes")
            self.world.resume(name)

    async def _power_off(self) -> None:
        """Cut a host's power for some seconds."""
        name = self._pick_host()
        self._record(f"{name} loses power")
        self.world.power_off(name)
        self._spawn(self._start(name, self.rng.uniform(2.5, 4.0)))

    async def _kill_some(self, names: list[str], count: int) -> None:
        for name in self.rng.sample(names, min(count, len(names))):
            if name in self.world.hosts:
                self._record(f"{name} is killed")
                self.world.kill(name)
                self._spawn(self._start(name, self.rng.uniform(0.4, 1.5)))

    async def _play_plain(self) -> None:
        """Cut a data centre off from all others."""
        dc = self.rng.choice(sorted(DCS))
        await self._cut(pairs_of(dc), self.rng.uniform(*CUT_S))

    async def _play_kills(self) -> None:
        """Kill hosts shortly before the cut or in it."""
        dc = self.rng.choice(sorted(DCS))
        if self.rng.random() < 0.3:
            await self._kill_some(sorted(self.world.hosts), 2)
            await asyncio.sleep(self.rng.uniform(0.0, 1.2))
        self._spawn(self._cut(pairs_of(dc), self.rng.uniform(*CUT_S)))
        await asyncio.sleep(self.rng.uniform(0.0, 2.5))
        await self._kill_some(sorted(self.world.hosts), 2)

    async def _play_stops(self) -> None:
        """Stop or kill the hosts of the data centre in turn while it is cut off."""
        dc = self.rng.choice(sorted(DCS))
        self._spawn(self._cut(pairs_of(dc), self.rng.uniform(*CUT_S)))
        kills = self.rng.random() < 0.5
        for name in sorted(n for n in self.world.hosts if n.startswith(dc)):
            await asyncio.sleep(self.rng.uniform(0.3, 2.0))
            if name not in self.world.hosts:
                continue
            if kills:
                await self._kill_some([name], 1)
            else:
                self._spawn(self._stop(name))

    async def _play_pauses(self) -> None:
        """Pause hosts for short times in the cut, and kill some."""
        dc = self.rng.choice(sorted(DCS))
        self._spawn(self._cut(pairs_of(dc), self.rng.uniform(*CUT_S)))
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        for _ in range(4):
            self._spawn(self._pause_one())
            await asyncio.sleep(self.rng.uniform(0.0, 0.1))
            if self.rng.random() < 0.6:
                await self._kill_some(sorted(self.world.hosts), 1)
            await asyncio.sleep(self.rng.uniform(0.2, 1.2))

    async def _play_one_way(self) -> None:
        """Lose the heartbeats to or from a data centre; calls work or not."""
        dc = self.rng.choice(sorted(DCS))
        hosts = [f"{d}-h{i}" for d, count in DCS.items() for i in range(count)]
        inner = [name for name in hosts if name.startswith(dc)]
        lost = {(a, b) for a in inner for b in hosts if b not in inner}
        if self.rng.random() < 0.5:
            lost = {(b, a) for a, b in lost}
        self._record(f"{dc}: heartbeats are lost {sorted(lost)[0]}")
        self.world.heartbeats_lost |= lost
        if self.rng.random() < 0.5:
            self._record("calls are lost")
            self.world.calls_lost |= {frozenset(pair) for pair in lost}
        await asyncio.sleep(self.rng.uniform(0.0, 2.5))
        await self._kill_some(sorted(self.world.hosts), 2)
        await self._sleep_until(CUT_AT_S + self.rng.uniform(*CUT_S))
        self._record("heartbeats arrive")
        self.world.heartbeats_lost -= lost
        self.world.calls_lost.clear()

    async def _play_calls_only(self) -> None:
        """Lose calls and their replies on old connections; heartbeats arrive."""
        dc = self.rng.choice(sorted(DCS))
        inner = [name for name in sorted(self.world.hosts) if name.startswith(dc)]
        lost = {
            frozenset((a, b))
            for a in inner
            for b in self.world.hosts
            if not b.startswith(dc)
        }
        self._record(f"calls of {dc} are lost")
        self.world.calls_lost |= lost
        self.world.replies_lost |= lost
        await asyncio.sleep(self.rng.uniform(0.0, 2.5))
        await self._kill_some(sorted(self.world.hosts), 2)
        await self._sleep_until(CUT_AT_S + self.rng.uniform(*CUT_S))
        self._record("calls arrive")
        self.world.calls_lost -= lost
        self.world.replies_lost -= lost

    async def _play_two_dcs(self) -> None:
        """Cut two data centres off, from each other or not, and kill hosts."""
        one, other = self.rng.sample(sorted(DCS), 2)
        pairs = pairs_of(one, other)
        if self.rng.random() < 0.5:
            pairs.discard(frozenset((one, other)))
        self._spawn(self._cut(pairs, self.rng.uniform(*CUT_S)))
        if self.rng.random() < 0.7:
            await asyncio.sleep(self.rng.uniform(0.0, 2.5))
            await self._kill_some(sorted(self.world.hosts), 2)

    async def _play_again(self) -> None:
        """Cut a data centre off three times."""
        dc = self.rng.choice(sorted(DCS))
        for _ in range(3):
            self._spawn(self._cut(pairs_of(dc), self.rng.uniform(0.5, 2.5)))
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))
            await self._kill_some(sorted(self.world.hosts), 1)
            await asyncio.sleep(self.rng.uniform(1.0, 3.0))

    async def _play_lone_host(self) -> None:
        """Cut a host or an owner off from all hosts, and from runners or not."""
        self._spawn(self._cut_host())
        if self.rng.random() < 0.7:
            await asyncio.sleep(self.rng.uniform(0.0, 2.5))
            await self._kill_some(sorted(self.world.hosts), 2)

    async def _play_power(self) -> None:
        """Cut the power of hosts while a data centre is cut off."""
        dc = self.rng.choice(sorted(DCS))
        self._spawn(self._cut(pairs_of(dc), self.rng.uniform(*CUT_S)))
        for _ in range(3):
            await asyncio.sleep(self.rng.uniform(0.0, 2.0))
            await self._power_off()

    async def _play_runners(self) -> None:
        """Cut runners off from some hosts, and kill hosts at about that time."""
        dc = self.rng.choice(sorted(DCS))
        self._spawn(self._cut(pairs_of(dc), self.rng.uniform(*CUT_S)))
        for _ in range(3):
            await asyncio.sleep(self.rng.uniform(0.2, 1.2))
            await self._kill_some(sorted(self.world.hosts), 1)
            await asyncio.sleep(self.rng.uniform(0.0, 0.9))
            for _ in range(4):
                self._spawn(self._cut_runner())

    async def _play_meets_end(self) -> None:
        """Kill hosts so that their callers come again as the cut ends."""
        dc = self.rng.choice(sorted(DCS))
        length_s = self.rng.uniform(*CUT_S)
        self._spawn(self._cut(pairs_of(dc), length_s))
        await asyncio.sleep(length_s - RESEND_S - self.rng.uniform(-0.2, 0.5))
        await self._kill_some(sorted(self.world.hosts), 3)


def play_day(seed: int) -> None:
    """Play a day and check it; a failure lists the faults of the day."""

    async def main() -> None:
        world = World(dict(DCS), runners_per_dc=4, seed=seed)
        world.handlers_outlive_calls = True
        await world.start()
        await asyncio.sleep(3)
        day = CutDay(world, random.Random(seed), FAULTS)
        await day.run()
        try:
            world.check()
        except AssertionError as exc:
            raise AssertionError(f"{exc}\n" + "\n".join(day.events)) from exc

    run_virtual(main())


# Guards against runs that go on while the other side of a cut starts their jobs.
@pytest.mark.parametrize("seed", [4, 92, 111, 137])
def test_tasks_of_long_jobs_run_once_over_a_cut(seed: int) -> None:
    play_day(seed)
