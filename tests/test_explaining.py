"""Faults on the stand-in's models, found again from the log lines alone."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterator

import pytest

from monsoongap.cli.explain import LogLine, job_events, parse_lines
from monsoongap.errors import AnswerKind
from monsoongap.logs import JsonFormatter
from tests.clock import run_virtual
from tests.host_world import World

ONE = f"{1:016x}"


class Gathering(logging.Handler):
    """Keeps each record as the line that a host would write."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []
        self.setFormatter(JsonFormatter("a-h0"))

    def emit(self, record: logging.LogRecord) -> None:
        self.lines.append(self.format(record))


@pytest.fixture
def gathered() -> Iterator[Gathering]:
    handler = Gathering()
    logger = logging.getLogger("monsoongap")
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    yield handler
    logger.removeHandler(handler)
    logger.setLevel(logging.NOTSET)


def story(
    gathered: Gathering, scene: Callable[[World], Awaitable[None]]
) -> list[LogLine]:
    async def main() -> None:
        world = World({"a": 1}, runners_per_dc=2)
        await world.start()
        await asyncio.sleep(5)
        await scene(world)

    run_virtual(main())
    return list(job_events(ONE, list(parse_lines(gathered.lines))))


def events(lines: list[LogLine]) -> list[str]:
    return [line.event for line in lines]


def test_a_late_answer_names_the_runner_that_hung(gathered: Gathering) -> None:
    async def scene(world: World) -> None:
        call = asyncio.create_task(world.submit("a-h0", ONE, 1, 100.0))
        await asyncio.sleep(0.05)
        world.models[world.ledger[0].runner].faults.hangs = True
        assert (await call).kind is AnswerKind.COMPLETED

    told = story(gathered, scene)
    placed, hung, stopped, again, placed_again, answered = told
    assert hung.event == "run makes no progress; stopping it"
    assert hung.fields["runner"] == placed.fields["runner"]
    assert stopped.event == "stop requested"
    assert stopped.fields["runner"] == placed.fields["runner"]
    assert stopped.fields["run"] == placed.fields["run"]
    assert stopped.fields["fence"] == placed.fields["fence"]
    assert again.fields["avoid"] == placed.fields["runner"]
    assert placed_again.fields["runner"] != placed.fields["runner"]
    assert answered.fields["outcome"] == "completed"
    assert answered.fields["took_ms"] > 700


def test_a_refusal_tells_what_was_ahead(gathered: Gathering) -> None:
    async def scene(world: World) -> None:
        crowd = [
            asyncio.create_task(world.submit("a-h0", f"{i:016x}", 8, 1500.0))
            for i in range(2, 8)
        ]
        await asyncio.sleep(0.05)
        assert (await world.submit("a-h0", ONE, 1, 50.0)).kind is AnswerKind.REFUSED
        await asyncio.gather(*crowd)

    (answered,) = story(gathered, scene)
    assert answered.fields["outcome"] == "refused"
    assert "ms ahead" in answered.fields["detail"]
    assert answered.fields["waiting"] > 0
    assert answered.fields["took_ms"] < 100


def test_a_run_that_failed_names_its_runner(gathered: Gathering) -> None:
    async def scene(world: World) -> None:
        call = asyncio.create_task(world.submit("a-h0", ONE, 1, 100.0))
        await asyncio.sleep(0.05)
        world.models[world.ledger[0].runner].faults.fails = True
        assert (await call).kind is AnswerKind.COMPLETED

    told = story(gathered, scene)
    assert events(told) == [
        "task placed",
        "task requeued",
        "task placed",
        "job answered",
    ]
    assert told[1].fields["reason"] == "failed"
    assert told[1].fields["avoid"] == told[0].fields["runner"]
    assert told[2].fields["runner"] != told[0].fields["runner"]
    assert told[3].fields["failures"] == 1
