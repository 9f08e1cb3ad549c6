"""Random faults with whole data centres lost, and callers who give up.

Callers close their connection after a while and send the job again to any host, as
those of the users' platform do. Data centres are paused or killed for long enough that
an owner elsewhere takes their share, and gives it back. All on virtual time.
"""

import asyncio
import random
from dataclasses import dataclass

import msgspec
import pytest

from monsoongap.coordination.host import Host
from monsoongap.errors import AnswerKind
from monsoongap.protocol.messages import Job, Resources, Step
from monsoongap.standin.runner_model import TaskPlan
from tests.coordination.test_host import run_virtual
from tests.coordination.test_settling_races import FaultScenario
from tests.host_world import QUEUE, World

WAITS_S = (1.5, 6.0)
RESEND_S = 1.3
ATTEMPTS = 4
# The share of callers whose host learns that they have left.
NOTICED_SHARE = 0.7
LENGTH_S = 16.0
# Every caller has left, and every run has ended, long before this.
STUCK_AFTER_S = 25.0
# Of jobs that run longer than hosts remember them (15, 20 and 30 s).
LONG_RUNS_S = (10.0, 45.0)
LONG_WAITS_S = (0.0, 1.5, 6.0)
LONG_RESENDS_S = (1.3, 35.0)
LONG_LENGTH_S = 40.0


@dataclass(slots=True)
class LossScenario(FaultScenario):
    """A scenario of load and lost data centres that is drawn from a seed."""

    async def _submit(self, id_: str) -> None:
        """Submit a job; give up and send it again while it has no answer."""
        rng = random.Random(id_)
        tasks = rng.choice((1, 2, 4, 8, 14))
        work_ms = rng.choice((50.0, 200.0, 600.0, 1000.0))
        wait_s = rng.choice(WAITS_S)
        for _ in range(ATTEMPTS):
            if hosts := sorted(self.world.hosts):
                name = rng.choice(hosts)
                host = self.world.hosts[name]
                call = asyncio.create_task(self.world.submit(name, id_, tasks, work_ms))
                await asyncio.wait({call}, timeout=wait_s)
                if call.done() and call.result().kind is not AnswerKind.BROKEN:
                    return
                if not call.done() and rng.random() < NOTICED_SHARE:
                    self._spawn(self._leave(name, host, id_, call))
            await asyncio.sleep(RESEND_S)

    async def _leave(
        self, name: str, host: Host, id_: str, call: asyncio.Task[object]
    ) -> None:
        """Tell a host that its caller has left, once it is not paused."""
        await self.world.thawed(name)
        if self.world.hosts.get(name) is host and not call.done():
            host.cancel(id_)

    def _draw_dc(self) -> tuple[str, list[str]]:
        """Draw a data centre; return its name and its hosts that are up."""
        dc = self.rng.choice(sorted(self.world.dcs))
        return dc, [name for name in self.world.hosts if name.startswith(dc)]

    async def _pause_dc(self) -> None:
        dc, names = self._draw_dc()
        hosts = [(name, self.world.hosts[name]) for name in names]
        self._record(f"{dc} is paused")
        for name in names:
            self.world.pause(name)
        await asyncio.sleep(self.rng.uniform(1.0, 12.0))
        self._record(f"{dc} resumes")
        for name, host in hosts:
            if self.world.hosts.get(name) is host:
                self.world.resume(name)

    async def _kill_dc(self) -> None:
        dc, names = self._draw_dc()
        self._record(f"{dc} is killed")
        for name in names:
            self.world.kill(name)
        await asyncio.sleep(self.rng.uniform(1.0, 12.0))
        self._record(f"{dc} starts")
        for name in names:
            if name not in self.world.hosts:
                self.world.start_host(name)

    async def _cut_runner(self) -> None:
        """Cut a runner off from some hosts; it runs on."""
        runner = self.rng.choice(sorted(self.world.models))
        hosts = sorted(self.world.hosts)
        some = self.rng.sample(hosts, self.rng.randint(1, len(hosts)))
        pairs = {frozenset((runner, host)) for host in some} - self.world.cut
        self._record(f"{runner} is cut off from {len(some)} hosts")
        self.world.cut |= pairs
        await asyncio.sleep(self.rng.uniform(0.3, 4.0))
        self._record(f"{runner} is connected again")
        self.world.cut -= pairs

    async def _slow_runner(self) -> None:
        model = self.world.models[self.rng.choice(sorted(self.world.models))]
        model.advance()
        model.faults.slow = self.rng.choice((3.0, 8.0))
        await asyncio.sleep(self.rng.uniform(0.5, 4.0))
        model.advance()
        model.faults.slow = 1.0

    async def _spot(self) -> None:
        """Submit several jobs at once, so that owners borrow room."""
        for _ in range(5):
            self._spawn(self._submit(f"{self.rng.getrandbits(64):016x}"))
            await asyncio.sleep(0.02)

    def stuck_jobs(self) -> list[str]:
        """Return the jobs that wait for runs that cannot end any more."""
        now = asyncio.get_running_loop().time()
        return [
            rec.job.id
            for host in self.world.hosts.values()
            for rec in host.jobs.records.values()
            if rec.works and now - rec.arrived_at > STUCK_AFTER_S
        ]


@dataclass(slots=True)
class LongScenario(LossScenario):
    """A scenario of long tasks whose callers leave unnoticed and send them again.

    A caller says how long it waits, or nothing. Its pauses are longer than owners
    remember where a job is.
    """

    async def _load(self, length_s: float) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + length_s
        while loop.time() < until:
            self._spawn(self._submit(f"{self.rng.getrandbits(64):016x}"))
            await asyncio.sleep(self.rng.uniform(0.5, 3.0))

    async def _submit(self, id_: str) -> None:
        rng = random.Random(id_)
        run_s, wait_s = rng.uniform(*LONG_RUNS_S), rng.choice(LONG_WAITS_S)
        payload = msgspec.json.encode(TaskPlan(run_s * 1000)).decode()
        step = Step(rng.choice((1, 2)), Resources(1000, 64), rng.choice((0.76, run_s)))
        job = Job(id_, QUEUE, payload, (step,))
        for _ in range(ATTEMPTS):
            if hosts := sorted(self.world.hosts):
                call = asyncio.create_task(
                    self.world.submit_job(rng.choice(hosts), job, wait_s)
                )
                await asyncio.wait({call}, timeout=wait_s or rng.choice(WAITS_S))
                if call.done() and call.result().kind is not AnswerKind.BROKEN:
                    return
            await asyncio.sleep(rng.uniform(*LONG_RESENDS_S))

    async def _rest(self) -> None:
        """Inject nothing."""


SCENARIOS = {
    "share": ("pause_dc", "kill_dc", "spot", "spot", "roll"),
    "lend": (
        *("spot", "spot", "spot", "kill", "roll", "pause", "mute", "slow_runner"),
    ),
    "cut_runner": ("cut_runner", "cut_runner", "spot", "kill", "roll", "pause"),
    "mix": (
        *("pause_dc", "kill_dc", "spot", "roll", "kill", "pause", "mute"),
        *("cut_runner", "slow_runner", "request_faults", "isolate", "omit_runners"),
    ),
    "long_calm": ("rest",),
    "long": (*("rest",) * 6, "roll", "kill", "pause", "mute", "slow_runner"),
}


def run_scenario(name: str, seed: int) -> None:
    """Run a scenario and check it; a failure lists the events of the scenario."""
    long = name.startswith("long")
    kind = LongScenario if long else LossScenario

    async def main() -> None:
        world = World({"ibk": 2, "kuf": 2, "lnz": 2}, runners_per_dc=3, seed=seed)
        # The call server goes on with calls that were given up; half of the seeds do.
        world.handlers_outlive_calls = long and seed % 2 == 1
        await world.start()
        await asyncio.sleep(3)
        scenario = kind(world, random.Random(seed), SCENARIOS[name])
        await scenario.run(LONG_LENGTH_S if long else LENGTH_S)
        try:
            world.check()
            # Long runs are still under way.
            assert long or scenario.stuck_jobs() == []
        except AssertionError as exc:
            raise AssertionError(f"{exc}\n" + "\n".join(scenario.events)) from exc

    run_virtual(main())


@pytest.mark.parametrize(
    ("name", "seed"),
    [
        ("share", 9),
        ("share", 13),
        ("lend", 9),
        ("lend", 22),
        ("lend", 34),
        ("cut_runner", 5),
        ("mix", 21),
        ("mix", 22),
        ("mix", 23),
        ("mix", 46),
        ("long_calm", 0),
        ("long_calm", 5),
        ("long", 7),
        ("long", 18),
    ],
)
def test_lost_data_centres_cause_no_overlapping_runs_and_no_stuck_jobs(
    name: str, seed: int
) -> None:
    run_scenario(name, seed)
