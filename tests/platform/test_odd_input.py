"""Generated odd input at each boundary with the platform, its runners and callers."""

import asyncio
import struct
from types import SimpleNamespace
from typing import Any, cast

import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from monsoongap.coordination.ports import NoAnswer
from monsoongap.platform import wire
from monsoongap.platform.callers import caller_wait_s
from monsoongap.platform.runners import RunnerClient
from monsoongap.protocol.decoding import MAX_DURATION_MS, Malformed, decode_json
from monsoongap.protocol.messages import (
    HostCard,
    Job,
    Resources,
    RunnerInfo,
    RunnersReply,
    TaskId,
)
from monsoongap.transport.http_client import HttpClient
from monsoongap.transport.http_conn import HttpReply, HttpRequest
from monsoongap.transport.operators import decode_job
from monsoongap.util.addresses import split_address
from tests.odd_values import odd_json

JOB_ID = "5c0e7a21d94b36f8"
RUNNER_ENTRY = {
    "service": "s",
    "address": "127.0.0.1:80",
    "zone": "ibk",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "capacity": {"cpu": 4000, "memMb": 64, "gpu": 0},
    "labels": ["a", "r1"],
    "born": 7,
    "seq": 4,
}
JOB = {
    "spec": "text",
    "bestEffort": True,
    "steps": [
        {"count": 4, "cpu": 500, "memMb": 9, "estRuntimeMs": 900, "affinity": "r1"},
        {"count": 2, "dependsOn": [0], "requiredLabels": ["a"], "antiAffinity": 1},
    ],
}
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "h.example",
            "pathPrefix": "/p/",
            "timeoutMs": 1531,
            "targetLatencyMs": 61,
            "priority": 1,
            "service": "s",
            "maxAttempts": 3,
            "stretch": 1.6,
            "advice": {"decideMs": 5},
        }
    ],
    "services": [{"name": "s", "admissionCheck": True}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144},
}
POLL_REPLY = {
    "clockMs": 482113,
    "born": 9,
    "running": [[f"{JOB_ID}.0.1.17", 2, "c", 41, 500]],
    "finished": [[58, f"{JOB_ID}.0.1.9", 1, "done", ""]],
}
REPLY = {"clockMs": 482113, "reason": "fence", "born": 3}
CARD = ["front-1", "ibk", "10.1.0.13", 7720, 1700000000000, 1.07]
PAGE = {
    "items": [{"key": "config", "value": "YQ==", "offset": 4}],
    "hasMore": False,
    "end": 6,
}
OPERATOR_JOB = {
    "queue": "q",
    "payload": "p",
    "steps": [{"count": 1, "cpu_milli": 5, "estimate_ms": 5.0, "after": []}],
}

many = settings(
    max_examples=300, deadline=None, suppress_health_check=[HealthCheck.too_slow]
)


def passes_between_hosts(value: Any, kind: type[Any]) -> None:
    """Check that a decoded value can be sent to another host, which accepts it."""
    msgspec.json.encode(value)
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(value), type=kind) == value


# Guards against an entry that ends the reading of the list: nested deeply, a number
# too large, or an address that raises an error of another type when connected to.
@many
@given(st.sampled_from(["i-7f3a", "", "i\r\nX: 1", "\u20ac", "i" * 300]), st.data())
def test_an_odd_runner_entry_is_rejected_or_usable(
    id_: str, data: st.DataObject
) -> None:
    text = data.draw(odd_json(RUNNER_ENTRY))
    try:
        runner = wire.decode_runner(id_, text)
    except Malformed:
        return
    ip, port = split_address(runner.address)
    assert ip and 0 < port < 65_536
    runner.id.encode("ascii")
    passes_between_hosts(RunnersReply(0.5, (runner,)), RunnersReply)


# Guards against a body whose caller gets no answer, as it raises while it is decoded
# or forwarded to the owner.
@many
@given(odd_json(JOB))
def test_an_odd_job_of_a_caller_is_rejected_or_can_be_forwarded(body: bytes) -> None:
    try:
        job = wire.decode_job(body, JOB_ID, "q")
    except (Malformed, wire.Unsupported):
        return
    assert all(step.size.can_fit(Resources(0, 0, 0)) for step in job.steps)
    passes_between_hosts(job, Job)


# Guards against a configuration that ends the reading of later ones, or replaces them
# all by a version too large.
@many
@given(odd_json(CONFIG))
def test_an_odd_configuration_is_rejected_or_in_range(text: bytes) -> None:
    try:
        config = wire.decode_config(text)
    except Malformed:
        return
    assert 0 <= config.version <= 2**53
    assert all(rule.timeout_s >= 0 and rule.stretch >= 0 for rule in config.queues)


# Guards against a card that ends the heartbeats of the host that reads it.
@many
@given(odd_json(CARD))
def test_an_odd_host_card_is_rejected_or_can_be_sent(text: bytes) -> None:
    try:
        card = decode_json(text, HostCard)
    except Malformed:
        return
    assert 0 < card.port < 65_536
    passes_between_hosts(card, HostCard)


class OneReply:
    """An HTTP client that gets the same reply to each request."""

    def __init__(self, status: int, body: bytes) -> None:
        self._reply = HttpReply(status, body)

    async def acquire(self, address: str, fresh: bool, peer: int) -> SimpleNamespace:
        """Return a connection that is only marked with its peer."""
        return SimpleNamespace(peer=0)

    def release(self, conn: SimpleNamespace, address: str) -> None:
        """Do nothing."""

    async def exchange_on(
        self, conn: SimpleNamespace, address: str, req: HttpRequest, timeout_s: float
    ) -> HttpReply:
        """Return the reply."""
        return self._reply


RUNNER = RunnerInfo("i-1", "s", "127.0.0.1:80", "ibk", False, Resources(1, 1))


# Guards against a reply that ends the task which polls the runner: its lease lapses.
@many
@given(st.sampled_from([200, 409, 500]), odd_json(POLL_REPLY))
def test_an_odd_poll_reply_counts_as_no_answer(status: int, body: bytes) -> None:
    client = RunnerClient(cast(HttpClient, OneReply(status, body)))

    async def main() -> None:
        try:
            view = await client.poll(RUNNER, 5, 0, None, 0, False)
        except NoAnswer:
            return
        # The clock and the numbers are sent back to the runner.
        until_ms = view.clock_ms + 1000
        last_seen = max((end.seq for end in view.ends), default=0)
        wire.encode_poll(5, last_seen, until_ms, 0)
        for row in view.running:
            int(row.task.job, 16)
            wire.encode_stop(row.task, row.run, 5)

    asyncio.run(main())


# Guards against a stop that is never repeated, as its reply raised.
@many
@given(st.sampled_from([200, 400, 409, 503]), odd_json(REPLY))
def test_an_odd_reply_to_a_stop_counts_as_no_answer(status: int, body: bytes) -> None:
    client = RunnerClient(cast(HttpClient, OneReply(status, body)))

    async def main() -> None:
        try:
            clock_ms = await client.stop(RUNNER, TaskId(JOB_ID, 0, 0), 1, 5)
        except Exception as exc:
            assert type(exc).__name__ in ("NoAnswer", "HigherFence")
            return
        assert 0 <= clock_ms <= 2**53

    asyncio.run(main())


# Guards against a page that ends the reading of its topic.
@many
@given(odd_json(PAGE))
def test_an_odd_page_of_the_store_is_rejected_or_its_items_left_out(
    body: bytes,
) -> None:
    try:
        pairs, end, _ = wire.decode_newest(body)
    except Malformed:
        return
    assert 0 <= end <= 2**53
    assert all(isinstance(value, bytes) for _, value in pairs)


# Guards against one item that hides a whole page.
def test_an_odd_item_of_a_page_does_not_hide_the_others() -> None:
    odd = b'{"key":"i-odd","value":"%%"},{"key":"\xff","value":""},[1],'
    deep = b'{"key":"i-deep","value":' + b"[" * 50_000 + b"]" * 50_000 + b"},"
    body = b'{"items":[%b%b{"key":"i-1","value":"YQ=="}],"end":9}' % (odd, b"")
    pairs, _, _ = wire.decode_newest(body)
    assert ("i-1", b"a") in pairs and len(pairs) <= 2
    # Nesting inside an item is only found out while the page is scanned.
    with pytest.raises(Malformed):
        wire.decode_newest(b'{"items":[%b{"key":"i","value":""}],"end":9}' % deep)


# Guards against records with sizes beyond their reply.
@many
@given(st.binary(max_size=60), st.integers(0, 2**32 - 1))
def test_odd_records_of_the_store_are_rejected(content: bytes, size: int) -> None:
    body = struct.pack(">QQ", 9, 1) + struct.pack(">I", size) + content
    try:
        _, contents = wire.decode_records(body)
        for each in contents:
            wire.split_key(each)
    except Malformed:
        return


# Guards against an operator's job that ends its request without an answer.
@many
@given(odd_json(OPERATOR_JOB))
def test_an_odd_job_of_an_operator_is_rejected_or_can_be_forwarded(body: bytes) -> None:
    try:
        job = decode_job(body, JOB_ID)
    except Malformed:
        return
    passes_between_hosts(job, Job)


# Guards against a header of hundreds of digits, whose caller got no answer.
@many
@given(
    st.one_of(
        st.text(max_size=20),
        st.sampled_from(["9" * 400, "9" * 5000, "-1", "1e400", "[" * 50_000, "\u0663"]),
        st.integers(0, MAX_DURATION_MS).map(str),
    )
)
def test_an_odd_deadline_of_a_caller_is_ignored(text: str) -> None:
    wait_s = caller_wait_s(text)
    assert 0 <= wait_s <= MAX_DURATION_MS / 1000
    if text.isascii() and text.isdecimal() and len(text) < 8 and text[0] != "0":
        assert wait_s == int(text) / 1000
