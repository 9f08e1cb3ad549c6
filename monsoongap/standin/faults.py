"""The faults that the stand-in can be told to show.

One frozen data class per kind. A fault is standing (it holds until the set of
faults is replaced) or single (it acts once, when it is set). Where chance plays
a part, `share` is the probability and `seed` makes the run repeatable.
"""

import random
from dataclasses import dataclass
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

ANY = "*"

Share = Annotated[float, Meta(ge=0, le=1)]
Delay = Annotated[float, Meta(ge=0, le=86_400)]
Factor = Annotated[float, Meta(ge=1, le=1_000)]


@dataclass(frozen=True, slots=True)
class FailAll:
    """The worker fails every task `after_ms` after starting it (standing)."""

    worker: str = ANY
    after_ms: Annotated[float, Meta(ge=0, le=3_600_000)] = 1.0


@dataclass(frozen=True, slots=True)
class FailKind:
    """Tasks of one kind fail `after_ms` after their start (standing)."""

    task_kind: str
    worker: str = ANY
    after_ms: Annotated[float, Meta(ge=0, le=3_600_000)] = 1.0


@dataclass(frozen=True, slots=True)
class Slow:
    """A share of tasks runs `factor` times longer: stragglers (standing)."""

    factor: Factor
    worker: str = ANY
    share: Share = 1.0
    seed: int = 0


@dataclass(frozen=True, slots=True)
class ReplyLost:
    """A request takes effect and its reply is lost (standing).

    With `silent` the connection hangs, otherwise it is closed.
    """

    worker: str = ANY
    share: Share = 1.0
    seed: int = 0
    silent: bool = False
    requests: Literal["start", "all"] = "start"


@dataclass(frozen=True, slots=True)
class ReplyLate:
    """A reply leaves `delay_s` seconds late (standing)."""

    delay_s: Delay
    worker: str = ANY
    share: Share = 1.0
    seed: int = 0
    requests: Literal["start", "all"] = "start"


@dataclass(frozen=True, slots=True)
class CrossedReply:
    """A start is answered with the report of another task (standing)."""

    worker: str = ANY
    share: Share = 1.0
    seed: int = 0


@dataclass(frozen=True, slots=True)
class Drain:
    """The worker is leaving and refuses new starts (standing)."""

    worker: str


@dataclass(frozen=True, slots=True)
class Pause:
    """The worker's process stands still for `pause_s`, then goes on (single)."""

    pause_s: Delay
    worker: str = ANY


@dataclass(frozen=True, slots=True)
class Die:
    """The worker's process dies with all that it knew (single).

    It comes back with a new boot number after `restart_s` seconds, or never.
    """

    worker: str = ANY
    restart_s: Delay | None = None


@dataclass(frozen=True, slots=True)
class Silence:
    """Open connections to the worker go silent for good (single).

    New connections work, unless `new_too`; then they hang until faults are next
    replaced.
    """

    worker: str = ANY
    new_too: bool = False


@dataclass(frozen=True, slots=True)
class LogOutage:
    """The log answers nothing for `outage_s` seconds (single)."""

    outage_s: Delay


@dataclass(frozen=True, slots=True)
class LogSlow:
    """Every call of the log takes `delay_s` longer (standing)."""

    delay_s: Delay


@dataclass(frozen=True, slots=True)
class AppendReplyLost:
    """A share of appends takes effect and is not answered (standing)."""

    share: Share = 1.0
    seed: int = 0


@dataclass(frozen=True, slots=True)
class HostListLag:
    """The host list shows the state of `lag_s` seconds ago (standing)."""

    lag_s: Delay


@dataclass(frozen=True, slots=True)
class HostListEmpty:
    """The host list shows no host at all (standing)."""


@dataclass(frozen=True, slots=True)
class HostListShrink:
    """The host list shows only its first `keep` hosts (standing)."""

    keep: Annotated[int, Meta(ge=0)]


@dataclass(frozen=True, slots=True)
class HostListOutage:
    """The host list is out of reach (standing)."""


WorkerFault = (
    FailAll
    | FailKind
    | Slow
    | ReplyLost
    | ReplyLate
    | CrossedReply
    | Drain
    | Pause
    | Die
    | Silence
)
LogFault = LogOutage | LogSlow | AppendReplyLost
HostListFault = HostListLag | HostListEmpty | HostListShrink | HostListOutage
Fault = WorkerFault | LogFault | HostListFault

FAULT_KINDS: dict[str, type[Any]] = {
    "fail_all": FailAll,
    "fail_kind": FailKind,
    "slow": Slow,
    "reply_lost": ReplyLost,
    "reply_late": ReplyLate,
    "crossed_reply": CrossedReply,
    "drain": Drain,
    "pause": Pause,
    "die": Die,
    "silence": Silence,
    "log_outage": LogOutage,
    "log_slow": LogSlow,
    "append_reply_lost": AppendReplyLost,
    "host_list_lag": HostListLag,
    "host_list_empty": HostListEmpty,
    "host_list_shrink": HostListShrink,
    "host_list_outage": HostListOutage,
}


@dataclass(frozen=True, slots=True)
class _FaultBody:
    faults: tuple[dict[str, Any], ...]


def decode_faults(body: bytes) -> tuple[Fault, ...]:
    """Decode `{"faults": [{"fault": KIND, …}, …]}`.

    Raises `msgspec.ValidationError` or `msgspec.DecodeError` naming the fault of
    the body.
    """
    decoded = msgspec.json.decode(body, type=_FaultBody)
    return tuple(
        _decode_fault(index, dict(fields))
        for index, fields in enumerate(decoded.faults)
    )


def encode_faults(faults: tuple[Fault, ...]) -> bytes:
    """Encode faults as `decode_faults` reads them."""
    names = {kind: name for name, kind in FAULT_KINDS.items()}
    items = [
        {"fault": names[type(fault)], **msgspec.to_builtins(fault)} for fault in faults
    ]
    return msgspec.json.encode({"faults": items})


def _decode_fault(index: int, fields: dict[str, Any]) -> Fault:
    name = fields.pop("fault", None)
    kind = FAULT_KINDS.get(name) if isinstance(name, str) else None
    if kind is None:
        allowed = ", ".join(FAULT_KINDS)
        raise msgspec.ValidationError(
            f"faults[{index}].fault is {name!r}, allowed: {allowed}"
        )
    unknown = set(fields) - set(kind.__dataclass_fields__)
    if unknown:
        raise msgspec.ValidationError(
            f"faults[{index}]: unknown field(s) {', '.join(sorted(unknown))}"
        )
    try:
        fault: Fault = msgspec.convert(fields, type=kind)
    except msgspec.ValidationError as exc:
        raise msgspec.ValidationError(f"faults[{index}]: {exc}") from exc
    return fault


def concerns(fault: WorkerFault, worker: str) -> bool:
    """Tell whether a fault is meant for the named worker."""
    return fault.worker in (ANY, worker)


class Chance:
    """Draws, repeatably, whether a fault strikes."""

    def __init__(self) -> None:
        self._generators: dict[Any, random.Random] = {}

    def strikes(self, fault: Any, salt: str = "") -> bool:
        """Tell whether a fault with `share` and `seed` strikes this time."""
        key = (type(fault).__name__, fault, salt)
        generator = self._generators.get(key)
        if generator is None:
            generator = random.Random(f"{key[0]}:{fault.seed}:{salt}")
            self._generators[key] = generator
        return generator.random() < fault.share


@dataclass(frozen=True, slots=True)
class FaultsByPart:
    """Faults sorted by the part of the platform that shows them."""

    workers: tuple[WorkerFault, ...]
    log: tuple[LogFault, ...]
    host_list: tuple[HostListFault, ...]


def sort_faults(faults: tuple[Fault, ...]) -> FaultsByPart:
    """Sort faults by the part that shows them, keeping their order."""
    return FaultsByPart(
        tuple(fault for fault in faults if isinstance(fault, WorkerFault)),
        tuple(fault for fault in faults if isinstance(fault, LogFault)),
        tuple(fault for fault in faults if isinstance(fault, HostListFault)),
    )
