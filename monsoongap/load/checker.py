"""Checks the product's promises from what callers and runners saw, and nothing else."""

from collections import defaultdict
from collections.abc import Iterable, Iterator

from monsoongap.errors import Promise
from monsoongap.load.records import CallRecord
from monsoongap.protocol.messages import TaskId
from monsoongap.standin.runner_model import LedgerEntry, twice


def broken_promises(
    calls: Iterable[CallRecord], ledger: list[LedgerEntry]
) -> Iterator[str]:
    """Yield a sentence for each promise that was broken."""
    for a, b in twice(ledger):
        yield f"twice: {a.task} run {a.run} on {a.runner}, run {b.run} on {b.runner}"
    ran = {entry.task.job for entry in ledger}
    done: dict[str, set[TaskId]] = defaultdict(set)
    for entry in ledger:
        if entry.how == "done":
            done[entry.task.job].add(entry.task)
    for call in calls:
        promises = {attempt.promise for attempt in call.attempts}
        if promises == {Promise.NOT_RUN} and call.id in ran:
            yield f"said not to have run, yet it ran: {call.id}"
        if call.completed and len(done[call.id]) < call.tasks:
            yield f"completed, yet not all of it is done: {call.id}"
