"""Identifiers: issued submission ids, task ids and fencing numbers."""

import re
from dataclasses import dataclass

ISSUED_PREFIX = "mg1:"

_ISSUED = re.compile(r"^mg1:([A-Za-z0-9-]+):([A-Za-z0-9-]+):(\d+):(\d+)$")

ATTEMPT_BITS = 20


@dataclass(frozen=True, slots=True)
class IssuedId:
    """A submission id that names its home.

    `boot` tells a restarted home from its past; `serial` counts within a boot.
    """

    dc: str
    host: str
    boot: int
    serial: int

    def __str__(self) -> str:
        return f"{ISSUED_PREFIX}{self.dc}:{self.host}:{self.boot}:{self.serial}"


def parse_issued(text: str) -> IssuedId | None:
    """Return the issued id in `text`, or None when it is a caller's own key."""
    match = _ISSUED.match(text)
    if match is None:
        return None
    dc, host, boot, serial = match.groups()
    return IssuedId(dc, host, int(boot), int(serial))


def task_id(submission: str, index: int) -> str:
    """Return the id of the task at `index` (from 0) of a submission."""
    return f"{submission}/{index}"


def fence_number(epoch: int, attempt: int) -> int:
    """Combine a home's epoch and an attempt count into one fencing number.

    A later epoch outranks every attempt of an earlier one.
    """
    return (epoch << ATTEMPT_BITS) | attempt
