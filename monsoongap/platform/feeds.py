"""What the store tells: configuration, runners, hosts; each read by one task.

The configuration is waited for. The list of runners changes with every heartbeat of
a runner, so owners read it at a pace and all others seldom. What the store refuses
one host, another one has: its heartbeat says so, and it is asked.
"""

import asyncio
import logging
from typing import Any

import msgspec

from monsoongap.coordination.host import Host
from monsoongap.platform import wire
from monsoongap.platform.store import StoreClient, StoreUnavailable, Topic, pause
from monsoongap.protocol.messages import HostCard, RunnerInfo
from monsoongap.settings import BoundsSection
from monsoongap.timers import TimerService
from monsoongap.util.background import BackgroundTasks

log = logging.getLogger(__name__)

OPERATOR_TOPIC = "keyed.op"
CONFIG_KEY = "config"
RUNNERS_TOPIC = "keyed.servers"
HOSTS_TOPIC = "keyed.hosts"
# A wait for a configuration lasts a little longer than its bound: heartbeats of other
# hosts tell sooner of one that a silent connection keeps back.
CONFIG_WAIT_BOUNDS = 1.25
# An owner reads the runners twice and more within the bound on draining.
OWNER_READ_BOUNDS = 0.4
OTHER_READ_S = 5.0
# A new owner that lacks runners holds jobs up; one that was added lately is listed now.
LACKING_READ_S = 0.2
CHECK_S = 0.1
# After so many failures in a row another host is asked for the list.
ASK_PEERS_AFTER = 2


class Feeds:
    """Reads the store for one host."""

    def __init__(
        self,
        cfg: BoundsSection,
        host: Host,
        store: StoreClient,
        timers: TimerService,
    ) -> None:
        self._config_wait_s = CONFIG_WAIT_BOUNDS * cfg.config_s
        self._owner_read_s = OWNER_READ_BOUNDS * cfg.drain_s
        self._host = host
        self._store = store
        self._timers = timers
        self._background = BackgroundTasks()
        self._bad_entries: set[str] = set()

    def start(self) -> None:
        """Begin to read."""
        self._background.spawn(self._follow_config(), "feed:configuration")
        self._background.spawn(self._follow_runners(), "feed:runners")
        self._background.spawn(self._hosts(), "feed:hosts")

    def close(self) -> None:
        """Stop reading."""
        self._background.cancel_all()

    async def _follow_config(self) -> None:
        topic = Topic(OPERATOR_TOPIC)
        failures = 0
        while True:
            try:
                changed = await self._store.advance(topic, self._config_wait_s)
            except StoreUnavailable as exc:
                failures += 1
                self._note_failure(OPERATOR_TOPIC, failures, exc)
                await pause(failures)
                continue
            self._note_success(OPERATOR_TOPIC, failures)
            failures = 0
            text = topic.values.get(CONFIG_KEY)
            if changed and text is not None:
                self._host.directory.accept_text(text, "store")

    async def _follow_runners(self) -> None:
        topic = Topic(RUNNERS_TOPIC)
        failures = 0
        while True:
            read_at = self._timers.now()
            try:
                changed = await self._store.advance(topic, 0.0)
            except StoreUnavailable as exc:
                failures += 1
                self._note_failure(RUNNERS_TOPIC, failures, exc)
                if failures >= ASK_PEERS_AFTER:
                    await self._host.calls.fetch_runners()
                await pause(failures)
                continue
            self._note_success(RUNNERS_TOPIC, failures)
            failures = 0
            if changed:
                self._host.set_runners(self._decode(topic), read_at)
            await self._wait_for_turn(read_at)

    async def _wait_for_turn(self, read_at: float) -> None:
        while True:
            await asyncio.sleep(CHECK_S)
            if self._timers.now() - read_at >= self._pace_s():
                return

    def _pace_s(self) -> float:
        """Return how old the list of runners may get, in seconds."""
        if not self._host.ownership.claims:
            return OTHER_READ_S
        if self._host.pool.lacks_runners:
            return LACKING_READ_S
        return self._owner_read_s

    async def _hosts(self) -> None:
        """Make this host known, and learn of the others, once after the start."""
        topic = Topic(HOSTS_TOPIC)
        card = msgspec.json.encode(self._host.card)
        failures = 0
        while True:
            try:
                await self._store.put(HOSTS_TOPIC, self._host.card.name, card)
                await self._store.advance(topic, 0.0)
            except StoreUnavailable as exc:
                failures += 1
                self._note_failure(HOSTS_TOPIC, failures, exc)
                await pause(failures)
                continue
            self._host.members.add_hosts(tuple(_cards(topic)))
            return

    def _decode(self, topic: Topic) -> tuple[RunnerInfo, ...]:
        """Return the runners; an entry of another writer names none."""
        runners = []
        for id_, text in topic.values.items():
            try:
                runners.append(wire.decode_runner(id_, text))
            except wire.Malformed as exc:
                if id_ not in self._bad_entries:
                    self._bad_entries.add(id_)
                    log.warning(
                        "entry names no runner",
                        extra={"entry": id_, "error": str(exc)},
                    )
        return tuple(runners)

    def _note_failure(self, what: str, failures: int, exc: Exception) -> None:
        if failures == 1:
            log.warning(
                "store lost", extra={"topic": what, "error": str(exc) or repr(exc)}
            )

    def _note_success(self, what: str, failures: int) -> None:
        if failures:
            log.info("store regained", extra={"topic": what, "failures": failures})


def _cards(topic: Topic) -> Any:
    for name, text in topic.values.items():
        try:
            yield msgspec.json.decode(text, type=HostCard)
        except msgspec.MsgspecError as exc:
            log.warning(
                "host card not understood", extra={"entry": name, "error": str(exc)}
            )
