"""What a job's caller is told, from the ends of its tasks."""

import pytest

from monsoongap.coordination.dispatch_verdict import TaskFailure, job_verdict
from monsoongap.coordination.settle import (
    Answered,
    Broken,
    NeverStarted,
    TaskEnd,
    Unsettled,
)
from monsoongap.errors import ErrorKind
from monsoongap.protocol.messages import JobAnswer, JobError
from tests.clock import run_virtual
from tests.home_cluster import Cluster, job

STOPPED = NeverStarted(ErrorKind.TASK_FAILED, "stopped")
DROPPED = NeverStarted(ErrorKind.DEADLINE_BEFORE_START, "dropped")
REVOKED = Broken("the task was cancelled while it ran")


@pytest.mark.parametrize(
    ("ends", "first", "stop", "error", "outcome"),
    [
        ((Answered(1), DROPPED), 1, "task_failed", "deadline", "failed"),
        ((REVOKED, DROPPED), 1, "task_failed", "deadline", "failed"),
        ((STOPPED, DROPPED), 1, "task_failed", "deadline_before_start", "not_run"),
        ((Broken("exit 1"), REVOKED), 0, "task_failed", "task_failed", "failed"),
        ((Unsettled("gone"), REVOKED), 0, "task_failed", "start_unsettled", "failed"),
        ((Unsettled("gone"), Answered(1)), 0, "task_failed", None, "unknown"),
        ((REVOKED, STOPPED), 0, "cancelled", "cancelled", "failed"),
        ((STOPPED, STOPPED), 0, "cancelled", "cancelled_before_start", "not_run"),
    ],
)
def test_the_first_failure_names_the_cause(
    ends: tuple[TaskEnd, ...], first: int, stop: str, error: str | None, outcome: str
) -> None:
    async def main() -> JobError | JobAnswer:
        cluster = Cluster({"h1": "dc1"})
        jobs = cluster.hosts["h1"].home._jobs  # noqa: SLF001
        entry = jobs.open("s", job(len(ends)))
        entry.request_stop(ErrorKind(stop))
        verdict = job_verdict(entry, ends, TaskFailure(first, ends[first]))
        await cluster.close()
        return verdict

    verdict = run_virtual(main())
    assert isinstance(verdict, JobError)
    assert (error or verdict.error, outcome) == (verdict.error, verdict.outcome)
