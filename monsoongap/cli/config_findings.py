"""Findings about a configuration that is valid: what cannot work as it is meant.

Pure functions over the decoded configuration; `monsoongap check` prints what they find.
"""

import dataclasses
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from monsoongap.protocol.messages import Configuration, QueueRule


@dataclass(frozen=True, slots=True)
class Finding:
    """One finding: the entry that it is about, and what is wrong with it."""

    place: str
    text: str


@dataclass(frozen=True, slots=True)
class Difference:
    """An entry that differs from the configuration in force."""

    place: str
    change: str


def findings(config: Configuration) -> Iterator[Finding]:
    """Yield entries that can never match, and limits that contradict each other."""
    yield from _repeated_names(config)
    yield from _unreachable_queues(config.queues)
    yield from _unused_upstreams(config)
    for queue in config.queues:
        yield from _contradictions_of(queue)
    if config.head_timeout_s > config.idle_timeout_s:
        text = "the time for a head is longer than that for an idle connection"
        yield Finding("limits", text)
    if config.header_limit_bytes > config.body_limit_bytes:
        yield Finding("limits", "the limit of a head is above that of a body")


def _repeated_names(config: Configuration) -> Iterator[Finding]:
    for kind, names in (
        ("queue", [queue.name for queue in config.queues]),
        ("upstream", [upstream.name for upstream in config.upstreams]),
    ):
        for name, count in Counter(names).items():
            if count > 1:
                text = f"{count} entries have this name; the last one counts"
                yield Finding(f"{kind} {name}", text)


def _unreachable_queues(queues: Iterable[QueueRule]) -> Iterator[Finding]:
    """Yield queues that no request can reach, by their host and path prefix."""
    taken: dict[tuple[str, str], str] = {}
    for queue in queues:
        place = f"queue {queue.name}"
        if queue.host != queue.host.lower():
            yield Finding(place, f"host {queue.host!r} never matches: not lower-case")
        if ":" in queue.host:
            yield Finding(place, f"host {queue.host!r} never matches: it has a port")
        if not queue.path_prefix.startswith("/"):
            text = f"prefix {queue.path_prefix!r} never matches: it lacks the first /"
            yield Finding(place, text)
        first = taken.setdefault((queue.host, queue.path_prefix), queue.name)
        if first != queue.name:
            text = f"never matches: queue {first} has the same host and prefix"
            yield Finding(place, text)


def _unused_upstreams(config: Configuration) -> Iterator[Finding]:
    known = {upstream.name for upstream in config.upstreams}
    used = {queue.upstream for queue in config.queues}
    for queue in config.queues:
        if queue.upstream not in known:
            text = f"its upstream {queue.upstream!r} is not configured"
            yield Finding(f"queue {queue.name}", text)
    for name in sorted(known - used):
        yield Finding(f"upstream {name}", "no queue sends jobs to it")


def _contradictions_of(queue: QueueRule) -> Iterator[Finding]:
    place = f"queue {queue.name}"
    if queue.timeout_s <= 0:
        yield Finding(place, "its timeout is 0: every job is too late")
    elif queue.grace_s > queue.timeout_s:
        text = f"the objective of its shortest job, {queue.grace_s:g} s, is above its "
        yield Finding(place, text + f"timeout, {queue.timeout_s:g} s")
    if queue.max_attempts < 1:
        yield Finding(place, "it allows no attempt: no task can start")
    if queue.stretch < 1:
        text = f"its stretch {queue.stretch:g} asks for less than the run time"
        yield Finding(place, text)


def differences(new: Configuration, old: Configuration) -> Iterator[Difference]:
    """Yield what a configuration changes of the one in force."""
    yield from _changed("queue", new.queues, old.queues)
    yield from _changed("upstream", new.upstreams, old.upstreams)
    for field in dataclasses.fields(Configuration):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if not isinstance(after, tuple) and before != after:
            yield Difference(field.name, f"{before} -> {after}")


def _changed(kind: str, new: Iterable[Any], old: Iterable[Any]) -> Iterator[Difference]:
    after, before = ({entry.name: entry for entry in side} for side in (new, old))
    for name in sorted(after.keys() | before.keys()):
        place = f"{kind} {name}"
        if name not in before:
            yield Difference(place, "added")
        elif name not in after:
            yield Difference(place, "removed")
        elif changes := [
            f"{field.name} {getattr(before[name], field.name)} -> "
            f"{getattr(after[name], field.name)}"
            for field in dataclasses.fields(after[name])
            if getattr(before[name], field.name) != getattr(after[name], field.name)
        ]:
            yield Difference(place, ", ".join(changes))
