"""`python -m bench.plan_cost`: processor time of a planned round, and of a start.

Builds the input of `PlannedPlacement` in memory: busy runners of 64 and 96 cores, and
120 waiting tasks. Each round, some runs end, so that a few tasks start and the views of
their runners are made anew, as in a burst.
"""

import random
import time
from dataclasses import dataclass, field, replace

from monsoongap.coordination.link import Link, LinkState
from monsoongap.coordination.placement import best_runner
from monsoongap.coordination.planned_placement import PlannedPlacement
from monsoongap.coordination.ports import RunnerPort
from monsoongap.coordination.work import Run, RunOutcome, Work
from monsoongap.protocol.messages import Resources, RunnerInfo, TaskId
from monsoongap.settings import BoundsSection
from monsoongap.timers import TimerService

WAITING = 120
# `PUMP_LIMIT` and `SCAN_LIMIT` of the pool.
PUMP_LIMIT, SCAN_LIMIT = 64, 24
ROUNDS = 200
HORIZON_S = 0.1


@dataclass(slots=True)
class Clock(TimerService):
    """A clock that is moved by hand."""

    time_s: float = 100.0

    def now(self) -> float:
        """Return the time that was set."""
        return self.time_s


@dataclass(slots=True)
class Burst:
    """Busy runners and waiting tasks."""

    runners: int
    clock: Clock = field(default_factory=Clock)
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    links: dict[str, Link] = field(default_factory=dict)
    serial: int = 0

    def __post_init__(self) -> None:
        for i in range(self.runners):
            room = Resources(1000 * self.rng.choice((64, 96)), 1 << 20)
            info = RunnerInfo(f"r{i}", "u", f"r{i}", "a", False, room, ("a",), 1)
            link = Link(
                BoundsSection(),
                info,
                None,  # type: ignore[arg-type]
                1,
                RunnerPort,  # type: ignore[arg-type]
                self.clock,
                on_fenced=lambda link: None,
                on_capacity_change=lambda: None,
                checks_capacity=lambda upstream: True,
            )
            link.state = LinkState.HELD
            self.links[info.id] = link
            while (work := self.work()).size.cpu_milli <= link.table.free.cpu_milli:
                self.start(work, link)

    def work(self) -> Work:
        """Draw a task."""
        self.serial += 1
        cpu_milli = int(1000 * min(max(self.rng.gauss(32, 6.4), 20), 48))
        declared_s = self.rng.choice((0.051,) * 8 + (0.17, 0.76))
        return Work(
            TaskId(f"{self.serial // 4:x}", 0, self.serial % 4),
            "q",
            "u",
            "",
            Resources(cpu_milli, 64),
            (0.0,),
            lambda work, how, runner: None,
            None,
            declared_s,
            due_at=self.clock.time_s + 1.6 * declared_s + 0.06,
        )

    def start(self, work: Work, link: Link) -> None:
        """Have a task run on a runner."""
        run = Run(work.task, 1, work.size, estimate_s=work.estimate_s)
        link.table.add(run)

    def end_some(self, count: int) -> None:
        """End some runs, as between two rounds."""
        for link in self.rng.sample(list(self.links.values()), count):
            if link.table.runs:
                run = next(iter(link.table.runs.values()))
                link.table.end(run, RunOutcome.DONE)
            link.polls += 1


def measure(runners: int, waiting: int, ends: int, planned: bool) -> tuple[float, int]:
    """Return the milliseconds of a round, and the starts of all rounds."""
    burst = Burst(runners)
    placement = PlannedPlacement(HORIZON_S)
    works = [replace(burst.work(), share=object()) for _ in range(waiting)]  # type: ignore[arg-type]
    spent_s, starts = 0.0, 0
    for _ in range(ROUNDS):
        burst.clock.time_s += 0.002
        burst.end_some(ends)
        now, links = burst.clock.time_s, burst.links
        head = works[:PUMP_LIMIT]
        began = time.process_time()
        placed: list[tuple[Work, Link]] = []
        if planned:
            chosen = placement.select(head, lambda w: "u", links, now, 1.0, False)
            for work in chosen:
                link = placement.best_link(work, "u", links, now, 1.0)
                if link is not None:
                    placed.append((work, link))
                    burst.start(work, link)
        else:
            nowhere = 0
            for work in head:
                link = best_runner(work, "u", links.values(), now, 1.0)
                if link is not None:
                    placed.append((work, link))
                    burst.start(work, link)
                    continue
                nowhere += 1
                if nowhere == SCAN_LIMIT:
                    break
        spent_s += time.process_time() - began
        starts += len(placed)
        for work, _ in placed:
            works.remove(work)
            works.append(replace(burst.work(), share=object()))  # type: ignore[arg-type]
    return 1000 * spent_s / ROUNDS, starts


def main() -> None:
    print("runners waiting ends/round  way      ms/round  starts  ms/start")
    for runners in (45, 176, 500):
        for waiting, ends in ((120, 0), (120, 1), (120, 8), (1, 8), (0, 8)):
            for planned in (False, True):
                ms, starts = measure(runners, waiting, ends, planned)
                way = "planned" if planned else "best fit"
                each = f"{ms * ROUNDS / starts:8.3f}" if starts else "       -"
                row = f"{runners:7d} {waiting:7d} {ends:10d}  {way:8s}"
                print(f"{row} {ms:8.3f} {starts:7d}  {each}")


if __name__ == "__main__":
    main()
