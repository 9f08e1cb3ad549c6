"""Tests of who is heard, told by heartbeats."""

import logging

import msgspec
import pytest

from monsoongap.coordination.members import FAR_OWNER_SILENT_S, SILENT_S, Members, Peer
from monsoongap.logs import extra_fields
from monsoongap.protocol.messages import Claim, Heartbeat, HostCard, ShareId
from monsoongap.timers import TimerService

OWN = HostCard("a-h0", "a", "10.0.0.1", 1, 5)


class Clock(TimerService):
    """A clock that the test sets."""

    def __init__(self) -> None:
        super().__init__()
        self.at = 100.0

    def now(self) -> float:
        return self.at


class Wire:
    """Keeps the addresses that datagrams were sent to."""

    def __init__(self) -> None:
        self.sent: list[str] = []

    def send(self, address: tuple[str, int], payload: bytes) -> None:
        self.sent.append(address[0])


class Scene:
    """One host's members, and what they told."""

    def __init__(self, owner: bool = False) -> None:
        self.clock = Clock()
        self.wire = Wire()
        self.heard: list[tuple[str, bool]] = []
        self.members = Members(
            OWN,
            self.clock,
            self.wire,
            lambda hears, known: Heartbeat(
                OWN, 1, False, 0, live_hosts=hears, known_hosts=known
            ),
            lambda peer, new: self.heard.append((peer.card.name, new)),
            lambda: owner,
        )

    def beat(
        self, name: str, serial: int, owns: bool = False, boot_ms: int = 1
    ) -> None:
        dc = name[0]
        claims = (Claim(ShareId(dc), 1, 7),) if owns else ()
        card = HostCard(name, dc, f"ip-{name}", 1, boot_ms)
        beat = Heartbeat(card, serial, False, 3, claims)
        self.members.receive(msgspec.msgpack.encode(beat))

    def peer(self, name: str) -> Peer:
        peer = self.members.peer(name)
        assert peer is not None
        return peer


def test_a_near_owner_is_silent_after_its_missed_beats() -> None:
    scene = Scene()
    scene.beat("a-h1", 1, owns=True)
    scene.clock.at += SILENT_S - 0.01
    assert scene.members.is_live("a-h1")
    scene.clock.at += 0.02
    assert not scene.members.is_live("a-h1")


def test_a_far_owner_beats_seldom_to_a_host_that_owns_nothing() -> None:
    """Taken for silent between two beats, it would be greeted anew each time."""
    scene = Scene(owner=False)
    scene.beat("b-h0", 1, owns=True)
    scene.clock.at += 2.1
    scene.beat("b-h0", 2, owns=True)
    assert scene.heard == [("b-h0", True), ("b-h0", False)]
    other = Scene(owner=True)
    other.beat("b-h0", 1, owns=True)
    other.clock.at += FAR_OWNER_SILENT_S + 0.1
    assert not other.members.is_live("b-h0")


def test_a_greeting_goes_to_the_one_that_was_heard() -> None:
    scene = Scene()
    for name in ("a-h1", "b-h0"):
        scene.beat(name, 1)
    scene.wire.sent.clear()
    scene.members.greet(scene.peer("b-h0"))
    assert scene.wire.sent == ["ip-b-h0"]


def test_old_beats_and_former_lives_change_nothing() -> None:
    scene = Scene()
    scene.beat("a-h1", 5, boot_ms=2)
    scene.beat("a-h1", 4, owns=True, boot_ms=2)
    scene.beat("a-h1", 9, owns=True, boot_ms=1)
    beat = scene.peer("a-h1").heartbeat
    assert beat is not None and not beat.claims
    scene.members.receive(b"\xc1 no beat")
    assert scene.members.counts.malformed == 1


def test_a_refused_connection_makes_a_host_silent_at_once() -> None:
    scene = Scene()
    scene.beat("a-h1", 1, owns=True)
    scene.members.lost("a-h1")
    assert not scene.members.is_live("a-h1")


def test_lines_of_other_hosts_name_them_and_not_the_writer(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO, "monsoongap")
    scene = Scene()
    scene.beat("a-h1", 1, owns=True)
    scene.members.lost("a-h1")
    told = [extra_fields(rec) for rec in caplog.records]
    assert told == [{"peer": "a-h1", "dc": "a"}, {"owner": "a-h1"}]
