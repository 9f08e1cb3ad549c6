"""The settings tree in tables that fit a terminal."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import UTC, datetime

from monsoongap.protocol.tree import Difference, HostStatus, Verdict

MS_PER_S = 1000
SECONDS_PER_MINUTE = 60
SECONDS_PER_HOUR = 3600


@dataclass(frozen=True, slots=True)
class HistoryRow:
    """One decided change."""

    revision: int
    when: str
    author: str
    decision: str
    what: str


@dataclass(frozen=True, slots=True)
class StatusRow:
    """What one host has in force."""

    host: str
    dc: str
    revision: str
    since: str
    log_answered: str
    remark: str


def history_rows(verdicts: Iterable[Verdict]) -> tuple[HistoryRow, ...]:
    """Return a row per verdict, in their order."""
    return tuple(
        HistoryRow(
            revision=item.revision,
            when=_when(item.at_ms),
            author=item.author,
            decision=item.decision,
            what="; ".join(item.faults) or _describe(item.differences),
        )
        for item in verdicts
    )


def status_rows(hosts: Iterable[HostStatus]) -> tuple[StatusRow, ...]:
    """Return a row per host, in their order."""
    return tuple(_status_row(host) for host in hosts)


def _status_row(host: HostStatus) -> StatusRow:
    if host.error:
        return StatusRow(host.host, host.dc, "?", "?", "?", host.error)
    return StatusRow(
        host=host.host,
        dc=host.dc,
        revision=str(host.revision),
        since=_ago(host.in_force_s),
        log_answered="never" if host.log_age_s is None else _ago(host.log_age_s),
        remark="" if host.loaded else "not loaded",
    )


def _describe(differences: Iterable[Difference]) -> str:
    return "\n".join(
        f"{item.key}: {shown(item.before)} -> {shown(item.after)}"
        for item in differences
    )


def shown(value: str | None) -> str:
    """Return a value, or words for a key that is not set."""
    return "not set" if value is None else value


def _when(at_ms: int) -> str:
    return datetime.fromtimestamp(at_ms / MS_PER_S, UTC).strftime("%Y-%m-%d %H:%M:%SZ")


def _ago(seconds: float) -> str:
    if seconds < SECONDS_PER_MINUTE:
        return f"{seconds:.1f} s ago"
    if seconds < SECONDS_PER_HOUR:
        return f"{seconds / SECONDS_PER_MINUTE:.0f} min ago"
    return f"{seconds / SECONDS_PER_HOUR:.1f} h ago"
