"""Tests that a schedule of faults is read, played and noted."""

import asyncio
from pathlib import Path

import msgspec
import pytest

from monsoongap.load.caller import Caller
from monsoongap.load.checker import check
from monsoongap.load.fault_schedule import ScheduleStep, load_schedule, play
from monsoongap.load.records import RunRecord
from monsoongap.load.settings import LoadProfile, TargetSection
from monsoongap.load.violations import StartAfterLeave
from monsoongap.protocol.messages import Ledger, LedgerEntry, TaskState
from monsoongap.standin.faults import Drain, LogOutage
from tests.standin.test_stand_in import Deployment, run

EXAMPLE = Path(__file__).parents[2] / "examples" / "faults.json"


def test_steps_change_faults_and_host_list_and_leaves_are_checked(
    tmp_path: Path,
) -> None:
    async def scenario(dep: Deployment) -> None:
        target = TargetSection(ledgers=(dep.url,))
        caller = Caller(LoadProfile(target=target))
        steps = (
            ScheduleStep(0.0, (Drain("w1"),)),
            ScheduleStep(0.1, None, leave=("w1", "w2")),
            ScheduleStep(0.2, None, back=("w2",)),
        )
        left, returned = await play(steps, target, caller)
        caller.close()
        assert await dep.start("s/0") is TaskState.REFUSED
        hosts = dep.parts.host_list.hosts()
        assert [host.leaving for host in hosts] == [True, False]
        assert left.back_at_ms is None and returned.back_at_ms is not None
        starts = [
            LedgerEntry(f"{worker}/0", worker, worker, left.left_at_ms + 3100)
            for worker in ("w1", "w2")
        ]
        found = check(RunRecord((), Ledger(tuple(starts)), (left, returned)))
        assert [type(violation) for violation in found] == [StartAfterLeave]

    run(tmp_path, scenario)


def test_schedule_is_sorted_by_time_and_its_faults_are_named(tmp_path: Path) -> None:
    assert len(load_schedule(EXAMPLE)) == 6
    path = tmp_path / "faults.json"
    path.write_text(
        '[{"at_s": 2, "leave": ["w1"]},'
        ' {"at_s": 1, "faults": [{"fault": "log_outage", "outage_s": 3}]}]'
    )
    first, second = load_schedule(path)
    assert first == ScheduleStep(1, (LogOutage(3),))
    assert second == ScheduleStep(2, None, leave=("w1",))
    path.write_text('[{"at_s": 1, "faults": [{"fault": "explode"}]}]')
    with pytest.raises(msgspec.ValidationError, match="step 0.*explode"):
        load_schedule(path)


def test_schedule_runs_on_the_clock_of_its_run() -> None:
    async def main() -> float:
        began = asyncio.get_running_loop().time()
        caller = Caller(LoadProfile())
        await play((ScheduleStep(0.3),), TargetSection(), caller)
        caller.close()
        return asyncio.get_running_loop().time() - began

    assert asyncio.run(main()) >= 0.3
