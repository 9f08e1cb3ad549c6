"""Tests of membership by heartbeats."""

import logging

import msgspec
import pytest

from monsoongap.coordination.members import (
    OWNER_TIMEOUT_S,
    REMOTE_OWNER_TIMEOUT_S,
    Members,
    Peer,
)
from monsoongap.logs import extra_fields
from monsoongap.protocol.messages import Claim, Heartbeat, HostCard, ShareId
from monsoongap.timers import TimerService


def ip_of(name: str) -> str:
    """Return the IP address of a host whose name is like `a-h1`."""
    return f"10.{ord(name[0])}.0.{int(name[3:]) + 1}"


OWN = HostCard("a-h0", "a", "10.0.0.1", 1, 5)


class Clock(TimerService):
    """A clock that the test sets."""

    def __init__(self) -> None:
        super().__init__()
        self.at = 100.0

    def now(self) -> float:
        return self.at


class FakeDatagrams:
    """Records the addresses to which datagrams are sent."""

    def __init__(self) -> None:
        self.sent: list[str] = []

    def send(self, address: tuple[str, int], payload: bytes) -> None:
        self.sent.append(address[0])


class Harness:
    """The members of one host, with its clock, datagrams and received heartbeats."""

    def __init__(self, owner: bool = False) -> None:
        self.clock = Clock()
        self.datagrams = FakeDatagrams()
        self.received: list[tuple[str, bool]] = []
        self.members = Members(
            OWN,
            self.clock,
            self.datagrams,
            lambda parts: Heartbeat(
                OWN,
                1,
                False,
                0,
                live_hosts=parts.live_hosts,
                known_hosts=parts.known_hosts,
            ),
            lambda peer, new: self.received.append((peer.card.name, new)),
            lambda: owner,
        )

    def receive_heartbeat(
        self, name: str, serial: int, owns: bool = False, boot_ms: int = 1
    ) -> None:
        dc = name[0]
        claims = (Claim(ShareId(dc), 1, 7),) if owns else ()
        card = HostCard(name, dc, ip_of(name), 1, boot_ms)
        heartbeat = Heartbeat(card, serial, False, 3, claims)
        self.members.receive(msgspec.msgpack.encode(heartbeat))

    def peer(self, name: str) -> Peer:
        peer = self.members.peer(name)
        assert peer is not None
        return peer


def test_a_local_owner_times_out_after_missed_heartbeats() -> None:
    harness = Harness()
    harness.receive_heartbeat("a-h1", 1, owns=True)
    harness.clock.at += OWNER_TIMEOUT_S - 0.01
    assert harness.members.is_live("a-h1")
    harness.clock.at += 0.02
    assert not harness.members.is_live("a-h1")


def test_a_remote_owner_stays_live_longer_for_a_host_without_shares() -> None:
    """Guard against a timeout between two heartbeats: each would get a reply."""
    harness = Harness(owner=False)
    harness.receive_heartbeat("b-h0", 1, owns=True)
    harness.clock.at += 2.1
    harness.receive_heartbeat("b-h0", 2, owns=True)
    assert harness.received == [("b-h0", True), ("b-h0", False)]
    other = Harness(owner=True)
    other.receive_heartbeat("b-h0", 1, owns=True)
    other.clock.at += REMOTE_OWNER_TIMEOUT_S + 0.1
    assert not other.members.is_live("b-h0")


def test_send_heartbeat_to_sends_to_one_host_only() -> None:
    harness = Harness()
    for name in ("a-h1", "b-h0"):
        harness.receive_heartbeat(name, 1)
    harness.datagrams.sent.clear()
    harness.members.send_heartbeat_to(harness.peer("b-h0"))
    assert harness.datagrams.sent == [ip_of("b-h0")]


def test_outdated_and_malformed_heartbeats_are_ignored() -> None:
    harness = Harness()
    harness.receive_heartbeat("a-h1", 5, boot_ms=2)
    harness.receive_heartbeat("a-h1", 4, owns=True, boot_ms=2)
    harness.receive_heartbeat("a-h1", 9, owns=True, boot_ms=1)
    heartbeat = harness.peer("a-h1").heartbeat
    assert heartbeat is not None and not heartbeat.claims
    harness.members.receive(b"\xc1 no beat")
    assert harness.members.counts.malformed == 1


def test_a_host_marked_down_is_not_live() -> None:
    harness = Harness()
    harness.receive_heartbeat("a-h1", 1, owns=True)
    harness.members.mark_down("a-h1")
    assert not harness.members.is_live("a-h1")


# Guards against a former owner that returned without a share and is not taken from its
# successor's list: the others divided the runners as if it were gone.
def test_a_former_owner_that_returned_is_live_by_the_next_owners_list() -> None:
    harness = Harness()
    harness.receive_heartbeat("a-h1", 1, owns=True)
    harness.members.mark_down("a-h1")
    card = HostCard("a-h2", "a", ip_of("a-h2"), 1, 1)
    claims = (Claim(ShareId("a"), 1, 8),)
    listing = Heartbeat(card, 1, False, 3, claims, live_hosts=("a-h1",))
    harness.members.receive(msgspec.msgpack.encode(listing))
    assert harness.members.is_live("a-h1")


def test_log_lines_about_a_peer_name_the_peer(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO, "monsoongap")
    harness = Harness()
    harness.receive_heartbeat("a-h1", 1, owns=True)
    harness.members.mark_down("a-h1")
    logged = [extra_fields(rec) for rec in caplog.records]
    assert logged == [{"peer": "a-h1", "dc": "a"}, {"owner": "a-h1"}]


# Issue 22: a card of another writer under a host's name, with a later start, replaced
# the host: its heartbeats were taken for those of an earlier incarnation.
def test_a_card_from_elsewhere_does_not_replace_a_host_that_sends_heartbeats() -> None:
    harness = Harness()
    wrong = HostCard("a-h1", "a", "10.9.9.9", 1, 9_000_000_000_000_000)
    harness.receive_heartbeat("a-h1", 1)
    harness.members.add_hosts((wrong,))
    assert harness.peer("a-h1").card.ip == ip_of("a-h1")
    other = Harness()
    other.members.add_hosts((wrong,))
    other.receive_heartbeat("a-h1", 1)
    assert other.members.is_live("a-h1")
    assert other.peer("a-h1").card.ip == ip_of("a-h1")


def test_a_card_replaces_a_host_that_is_no_longer_live() -> None:
    harness = Harness()
    harness.receive_heartbeat("a-h1", 1)
    harness.clock.at += 10.0
    harness.members.add_hosts((HostCard("a-h1", "a", "10.9.9.9", 1, 2),))
    assert harness.peer("a-h1").card.ip == "10.9.9.9"


# A host that started again, after it had left, reports to the owner only. Others took
# it for one that still leaves, and chose weaker hosts as the next owner.
def test_a_host_that_left_and_is_listed_by_an_owner_does_not_leave() -> None:
    harness = Harness()
    card = HostCard("a-h1", "a", ip_of("a-h1"), 1, 1)
    owner = HostCard("a-h2", "a", ip_of("a-h2"), 1, 1)
    claims = (Claim(ShareId("a"), 1, 7),)
    left = Heartbeat(card, 9, True, 3)
    harness.members.receive(msgspec.msgpack.encode(left))
    for serial, pause_s, leaves in ((1, 0.1, True), (2, 1.0, False)):
        harness.clock.at += pause_s
        beat = Heartbeat(owner, serial, False, 3, claims, ("a-h1",))
        harness.members.receive(msgspec.msgpack.encode(beat))
        assert harness.members.is_live("a-h1")
        assert harness.peer("a-h1").is_leaving is leaves


# Guards against an upgrade in which hosts take those of the other version for dead.
def test_heartbeats_of_neighbouring_versions_are_understood() -> None:
    card = HostCard("a-h1", "a", ip_of("a-h1"), 1, 1)
    claims = (Claim(ShareId("a"), 1, 7),)
    heartbeat = Heartbeat(card, 1, False, 3, claims, ("a-h0",), brief=True)
    fields = msgspec.msgpack.decode(msgspec.msgpack.encode(heartbeat))
    harness = Harness()
    # The first version that had digests, and no brief heartbeats.
    oldest = fields[: Heartbeat.__struct_fields__.index("brief")]
    harness.members.receive(msgspec.msgpack.encode(oldest))
    assert harness.members.is_live("a-h1")
    assert harness.peer("a-h1").live_hosts == ("a-h0",)

    class Former(msgspec.Struct, frozen=True, array_like=True):
        """The fields of the version before, in their order."""

        card: HostCard
        serial: int
        leaving: bool
        config_version: int
        claims: tuple[Claim, ...] = ()
        live_hosts: tuple[str, ...] = ()
        free: tuple[object, ...] = ()
        queued: int = 0
        recent_jobs: tuple[int, ...] = ()
        known_hosts: tuple[HostCard, ...] = ()
        runner_digests: tuple[object, ...] = ()

    former = msgspec.msgpack.decode(msgspec.msgpack.encode(heartbeat), type=Former)
    assert (former.card, former.claims) == (card, claims)
