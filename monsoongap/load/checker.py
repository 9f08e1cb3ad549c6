"""Checks the promises made to callers.

The only input is what callers and runners recorded; no state of the product is used.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator

from monsoongap.errors import Promise
from monsoongap.load.records import CallRecord
from monsoongap.protocol.messages import TaskId
from monsoongap.standin.runner_model import LedgerEntry, overlapping_runs


def broken_promises(
    calls: Iterable[CallRecord], ledger: list[LedgerEntry]
) -> Iterator[str]:
    """Yield a sentence for each broken promise.

    No two runs of a task overlap, no job that was answered as not run has a run, and
    every task of a completed job is done.
    """
    for a, b in overlapping_runs(ledger):
        yield (
            f"overlapping runs: {a.task} run {a.run} on {a.runner}, "
            f"run {b.run} on {b.runner}"
        )
    started_jobs = {entry.task.job for entry in ledger}
    done_tasks: dict[str, set[TaskId]] = defaultdict(set)
    for entry in ledger:
        if entry.how == "done":
            done_tasks[entry.task.job].add(entry.task)
    for call in calls:
        promises = {attempt.promise for attempt in call.attempts}
        if promises == {Promise.NOT_RUN} and call.id in started_jobs:
            yield f"answered as not run, but it ran: {call.id}"
        if call.completed and len(done_tasks[call.id]) < call.tasks:
            yield f"answered as completed, but not all tasks are done: {call.id}"
