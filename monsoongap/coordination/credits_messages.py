"""What entry hosts tell each other about credits."""

from collections import Counter
from dataclasses import dataclass

from monsoongap.protocol.peer import PeerMethod


@dataclass(frozen=True, slots=True)
class WorkerCredits:
    """A number of credits on one worker."""

    worker: str
    count: int


@dataclass(frozen=True, slots=True)
class Wants:
    """How many credits a host could use: for short jobs, and for the rest."""

    urgent: int = 0
    normal: int = 0


@dataclass(frozen=True, slots=True)
class CreditCall:
    """What one host tells a peer about credits.

    `serial` grows within a boot; the peer ignores a call that was overtaken.
    `heard` is the serial of the peer's latest call that this host has processed.
    `lent` are loans whose lease counts from that call. `held` is present when the
    caller's whole holding is to replace the peer's record of it. `spare` is how many
    credits the caller could lend, `lacks` how many it is short of its reserve.
    """

    holder: str
    boot: int
    serial: int
    heard: int
    wants: Wants
    spare: int
    lacks: int = 0
    returned: tuple[WorkerCredits, ...] = ()
    lent: tuple[WorkerCredits, ...] = ()
    held: tuple[WorkerCredits, ...] | None = None


@dataclass(frozen=True, slots=True)
class CreditReply:
    """What the peer answers.

    `returned` are credits of the caller's own, `lent` the peer's. All loans to the
    caller run `lease_ms` from when it sent the call; 0 when the call was ignored.
    """

    lease_ms: int
    spare: int
    lacks: int = 0
    wants: Wants = Wants()
    returned: tuple[WorkerCredits, ...] = ()
    lent: tuple[WorkerCredits, ...] = ()


EXCHANGE = PeerMethod("credits.exchange", CreditCall, CreditReply)


@dataclass(frozen=True, slots=True)
class Need:
    """What the scheduler wants, could spare and lacks of its reserve right now."""

    wants: Wants
    spare: Wants
    lacks: int = 0


def sum_wants(wants: Wants) -> int:
    """Return all wanted credits."""
    return wants.urgent + wants.normal


def counted(credits: tuple[WorkerCredits, ...]) -> Counter[str]:
    """Return credits by worker."""
    return Counter({entry.worker: entry.count for entry in credits})


def listed(credits: Counter[str]) -> tuple[WorkerCredits, ...]:
    """Return credits as a message carries them."""
    return tuple(WorkerCredits(name, count) for name, count in credits.items())
