"""Readers of the store's topics: configuration, runners and hosts, one task for each.

The configuration is read with a long poll. The list of runners changes with every
heartbeat of a runner, so it is read at an interval: a short one on owners, a long one
on other hosts, which read only the newest entries. If the store fails for this host,
another host may have the data: heartbeats announce a newer configuration, which is
fetched from a host that has it, and the list of runners is fetched from other hosts.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterator

import msgspec

from monsoongap.coordination.host import Host
from monsoongap.platform import wire
from monsoongap.platform.store import (
    REPLY_TIMEOUT_S,
    StoreClient,
    StoreUnavailable,
    Topic,
    pause,
)
from monsoongap.protocol.decoding import Malformed, Name, convert, decode_json
from monsoongap.protocol.messages import HostCard, RunnerInfo
from monsoongap.settings import BoundsSection
from monsoongap.state.directory import SOURCE_STORE
from monsoongap.timers import TimerService
from monsoongap.util.background import BackgroundTasks

log = logging.getLogger(__name__)

OPERATOR_TOPIC = "keyed.op"
CONFIG_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
RUNNERS_TOPIC = "keyed.servers"
HOSTS_TOPIC = "keyed.hosts"
# All hosts poll in step after a change, and then none may be able to announce the next
# one. Each has to notice within the limit that its own connection is silent, and to
# read the configuration on another one.
CONFIG_RETRY_RESERVE_S = 0.4
CONFIG_MIN_WAIT_S = 0.2
# An owner reads the list of runners at least twice within the limit for draining.
OWNER_INTERVAL_FACTOR = 0.4
# The rest of the limit for draining is for the start request's way to the runner.
MAX_LIST_AGE_FACTOR = 0.8
# A host that acquires a share reads the list at once, or gets it from another host.
NON_OWNER_INTERVAL_S = 15.0
# Runners register when the deployment starts, and hosts may start before them.
NO_RUNNERS_INTERVAL_S = 0.5
# Jobs wait while a new owner lacks runners that a previous owner may have used. Reading
# the list again finds a runner that was added recently. A runner that has restarted
# gets no work before its new entry was read.
MISSING_RUNNERS_INTERVAL_S = 0.2
INTERVAL_CHECK_S = 0.1
RESTART_PAUSE_S = 1.0
# Consecutive failures after which the list of runners is fetched from another host.
FAILURES_BEFORE_PEER_FETCH = 2


class Feeds:
    """Reads the store's topics for one host."""

    def __init__(
        self,
        cfg: BoundsSection,
        host: Host,
        store: StoreClient,
        timers: TimerService,
        dcs: tuple[str, ...] = (),
    ) -> None:
        limit_s = min(cfg.config_s, cfg.evac_s or cfg.config_s)
        self._config_wait_s = max(
            limit_s - REPLY_TIMEOUT_S - CONFIG_RETRY_RESERVE_S, CONFIG_MIN_WAIT_S
        )
        self._owner_interval_s = OWNER_INTERVAL_FACTOR * cfg.drain_s
        self._host = host
        self._list_age = host.directory.list_age
        self._list_age.max_age_s = MAX_LIST_AGE_FACTOR * cfg.drain_s
        self._evacuation = host.directory.evacuation
        self._evacuation.limit_age()
        self._store = store
        self._timers = timers
        self._dcs = frozenset(dcs)
        self._background = BackgroundTasks()
        self._malformed_entries: set[str] = set()

    def start(self) -> None:
        """Start the tasks that read the store."""
        for topic, read in (
            (OPERATOR_TOPIC, self._follow_config),
            (RUNNERS_TOPIC, self._follow_runners),
            (HOSTS_TOPIC, self._exchange_host_cards),
        ):
            self._background.spawn(self._keep_reading(topic, read), f"feed:{topic}")

    def close(self) -> None:
        """Cancel the tasks that read the store."""
        self._background.cancel_all()

    async def _keep_reading(
        self, topic: str, read: Callable[[], Awaitable[None]]
    ) -> None:
        """Read a topic; begin anew after an error that no part expects."""
        while True:
            try:
                await read()
            except Exception:
                log.exception(
                    "reading the store raised; reading it anew", extra={"topic": topic}
                )
                await asyncio.sleep(RESTART_PAUSE_S)
            else:
                return

    async def _follow_config(self) -> None:
        topic = Topic(OPERATOR_TOPIC, skips_backlog=True)
        failures = 0
        while True:
            # After a failure the store is asked to reply at once, so that one that is
            # still silent is noticed without the time of a long poll.
            read_at = self._timers.now()
            is_old = not self._evacuation.age.allows_placement(read_at)
            wait_s = 0.0 if failures or is_old else self._config_wait_s
            self._evacuation.age.begin_read(read_at)
            try:
                changed = await self._store.advance(topic, wait_s)
            except StoreUnavailable as exc:
                self._evacuation.age.fail_read()
                failures += 1
                self._log_failure(OPERATOR_TOPIC, failures, exc)
                await pause(failures)
                continue
            self._log_recovery(OPERATOR_TOPIC, failures)
            failures = 0
            self._evacuation.accept(_evacuated_dcs(topic), topic.position)
            if not topic.is_behind:
                self._evacuation.age.finish_read(read_at)
            config_text = topic.values.get(CONFIG_KEY)
            if changed and config_text is not None:
                self._host.directory.accept_text(config_text, SOURCE_STORE)

    async def _follow_runners(self) -> None:
        topic = Topic(RUNNERS_TOPIC, skips_backlog=True)
        failures = 0
        while True:
            read_at = self._timers.now()
            # A host that reads seldom would read many records of each runner.
            topic.is_behind |= not self._host.became_owner.is_set()
            self._list_age.begin_read(read_at)
            try:
                changed = await self._store.advance(topic, 0.0)
            except StoreUnavailable as exc:
                self._list_age.fail_read()
                failures += 1
                self._log_failure(RUNNERS_TOPIC, failures, exc)
                if failures >= FAILURES_BEFORE_PEER_FETCH:
                    await self._host.calls.fetch_runners()
                await pause(failures)
                continue
            self._log_recovery(RUNNERS_TOPIC, failures)
            failures = 0
            self._list_age.finish_read(read_at)
            if changed:
                self._host.set_runners(self._decode_runners(topic), read_at)
            await self._wait_until_due(read_at)

    async def _wait_until_due(self, read_at: float) -> None:
        """Wait until the list is to be read again; a host that becomes owner reads."""
        while (left_s := read_at + self._read_interval_s() - self._timers.now()) > 0:
            if self._host.became_owner.is_set():
                await asyncio.sleep(min(INTERVAL_CHECK_S, left_s))
                continue
            try:
                async with asyncio.timeout(left_s):
                    await self._host.became_owner.wait()
            except TimeoutError:
                return

    def _read_interval_s(self) -> float:
        """Return the interval between reads of the list of runners, in seconds."""
        if not self._host.directory.runners:
            return NO_RUNNERS_INTERVAL_S
        if not self._host.became_owner.is_set():
            return NON_OWNER_INTERVAL_S
        if self._host.pool.lacks_runners or self._host.pool.lacks_records:
            return MISSING_RUNNERS_INTERVAL_S
        return self._owner_interval_s

    async def _exchange_host_cards(self) -> None:
        """Publish this host's card and read the other hosts' cards, once at start."""
        topic = Topic(HOSTS_TOPIC)
        card = msgspec.json.encode(self._host.card)
        failures = 0
        while True:
            try:
                await self._store.put(HOSTS_TOPIC, self._host.card.name, card)
                await self._store.advance(topic, 0.0)
            except StoreUnavailable as exc:
                failures += 1
                self._log_failure(HOSTS_TOPIC, failures, exc)
                await pause(failures)
                continue
            self._host.members.add_hosts(tuple(_decode_host_cards(topic)))
            self._host.members.lists_all_hosts = True
            return

    def _decode_runners(self, topic: Topic) -> tuple[RunnerInfo, ...]:
        """Return the listed runners; skip malformed entries of other writers."""
        runners = []
        malformed: dict[str, Malformed] = {}
        for id_, text in topic.values.items():
            try:
                runner = wire.decode_runner(id_, text)
                if self._dcs and runner.dc not in self._dcs:
                    raise Malformed(f"no data centre {runner.dc}")
                runners.append(runner)
            except Malformed as exc:
                malformed[id_] = exc
        for id_ in malformed.keys() - self._malformed_entries:
            log.warning(
                "malformed runner entry skipped",
                extra={"entry": id_, "error": str(malformed[id_])},
            )
        self._malformed_entries = set(malformed)
        return tuple(runners)

    def _log_failure(self, topic_name: str, failures: int, exc: Exception) -> None:
        if failures == 1:
            log.warning(
                "call to the store failed; retrying",
                extra={"topic": topic_name, "error": str(exc) or repr(exc)},
            )

    def _log_recovery(self, topic_name: str, failures: int) -> None:
        if failures:
            log.info(
                "call to the store succeeded after failures",
                extra={"topic": topic_name, "failures": failures},
            )


def _evacuated_dcs(topic: Topic) -> Iterator[str]:
    """Yield the data centres whose evacuation is in force; skip malformed names."""
    for key, value in topic.values.items():
        if key.startswith(EVACUATION_PREFIX) and value:
            try:
                yield convert(key.removeprefix(EVACUATION_PREFIX), Name)
            except Malformed as exc:
                log.warning(
                    "malformed evacuation skipped",
                    extra={"entry": key, "error": str(exc)},
                )


def _decode_host_cards(topic: Topic) -> Iterator[HostCard]:
    """Yield the cards of the hosts; skip malformed ones, and those of other hosts."""
    for name, text in topic.values.items():
        try:
            card = decode_json(text, HostCard)
            if card.name != name:
                raise Malformed(f"the card is of {card.name}")
        except Malformed as exc:
            log.warning(
                "malformed host card skipped", extra={"entry": name, "error": str(exc)}
            )
            continue
        yield card
