"""The latest replayed records, kept to bring peers that lag a little up to date."""

from collections import deque
from dataclasses import dataclass

from monsoongap.protocol.messages import LogRecord

MAX_RECORDS = 128
MAX_CHARS = 262_144


@dataclass(frozen=True, slots=True)
class _Item:
    """A replayed record with the offset at which the replica stood before it."""

    before: int
    record: LogRecord


class RecordTail:
    """At most `MAX_RECORDS` records of at most `MAX_CHARS` characters together."""

    def __init__(self) -> None:
        self._items: deque[_Item] = deque()
        self._chars = 0

    def add(self, before: int, record: LogRecord) -> None:
        """Keep a record; drops the oldest ones beyond the bounds."""
        self._items.append(_Item(before, record))
        self._chars += len(record.data)
        while self._chars > MAX_CHARS or len(self._items) > MAX_RECORDS:
            self._chars -= len(self._items.popleft().record.data)

    def clear(self) -> None:
        """Forget every record: the replica has skipped to a snapshot."""
        self._items.clear()
        self._chars = 0

    def since(self, offset: int) -> tuple[LogRecord, ...] | None:
        """Return the records after `offset`, None when some are no longer kept."""
        items = tuple(self._items)
        starts = (index for index, item in enumerate(items) if item.before == offset)
        index = next(starts, None)
        if index is None:
            return None
        return tuple(item.record for item in items[index:])
