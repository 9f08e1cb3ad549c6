"""The ledger of starts, kept outside of what the workers remember."""

import asyncio
from collections import Counter
from dataclasses import replace

from monsoongap.protocol.messages import Ledger, LedgerEntry, TaskState

LOST = "lost"


class StartLedger:
    """Records every start of every worker, in order of time.

    Workers forget: they restart, and they keep a bounded number of answers. The
    ledger does not, so it is what a checker compares with the callers' records.
    It grows by about 300 bytes per start and belongs in a stand-in only.
    """

    def __init__(self, wall_offset_s: float = 0.0) -> None:
        """Create an empty ledger.

        `wall_offset_s` is added to the loop's clock to give the recorded times.
        """
        self._entries: list[LedgerEntry] = []
        self._wall_offset_s = wall_offset_s

    def now_ms(self) -> float:
        """Return the time in ms that an event recorded now would get."""
        return (asyncio.get_running_loop().time() + self._wall_offset_s) * 1000

    def record_start(self, task: str, submission: str, worker: str) -> int:
        """Record a start and return its serial for `record_end`."""
        entry = LedgerEntry(task, submission, worker, self.now_ms())
        self._entries.append(entry)
        return len(self._entries) - 1

    def record_end(self, serial: int, state: TaskState | str) -> None:
        """Record how and when a start ended."""
        entry = self._entries[serial]
        self._entries[serial] = replace(entry, ended_ms=self.now_ms(), state=str(state))

    def snapshot(self) -> Ledger:
        """Return every start so far."""
        return Ledger(tuple(self._entries))

    def starts(self, submission: str) -> int:
        """Count the starts of a submission's tasks."""
        return sum(1 for entry in self._entries if entry.submission == submission)

    def duplicates(self) -> tuple[str, ...]:
        """Return the ids of tasks that started more than once."""
        return duplicate_starts(self.snapshot())


def duplicate_starts(ledger: Ledger) -> tuple[str, ...]:
    """Return the ids of tasks that a ledger shows to have started repeatedly."""
    counts = Counter(entry.task for entry in ledger.entries)
    return tuple(task for task, count in counts.items() if count > 1)
