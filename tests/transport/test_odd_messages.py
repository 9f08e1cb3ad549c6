"""Generated odd input at the boundary between hosts: calls, replies and heartbeats."""

import asyncio
from typing import Any

import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from monsoongap.coordination.members import Members
from monsoongap.coordination.open_call import OpenCall
from monsoongap.coordination.ports import PeerCallFailed
from monsoongap.errors import AnswerKind
from monsoongap.protocol import messages
from monsoongap.protocol.decoding import Malformed, decode_msgpack
from monsoongap.protocol.messages import (
    Claim,
    FreeCapacity,
    Heartbeat,
    HostCard,
    Job,
    JobReply,
    Resources,
    RunnerDigest,
    RunnerInfo,
    ShareId,
    Step,
    TaskId,
)
from monsoongap.timers import TimerService
from monsoongap.transport.host_calls import (
    CALL_TYPES,
    HostCallClient,
    HostCallServer,
)
from monsoongap.transport.http_client import HttpClient
from monsoongap.transport.http_conn import HttpReply, HttpRequest
from tests.coordination.test_members import Harness
from tests.odd_values import odd_msgpack
from tests.platform.site import free_ports

JOB_ID = "5c0e7a21d94b36f8"
SHARE = ShareId("ibk", 0)
CLAIM = Claim(SHARE, 1, 1_700_000_000_000 * 1024)
CARD = HostCard("b-h0", "b", "10.1.0.13", 7720, 5, 1.07)
TASK = TaskId(JOB_ID, 0, 3)
JOB = Job(JOB_ID, "q", "p", (Step(4, Resources(500, 64), 0.05, (), "r1", "a", 1),))
RUNNER = RunnerInfo("i-1", "s", "127.0.0.1:80", "ibk", False, Resources(1, 1), ("a",))
HEARTBEAT = Heartbeat(
    CARD,
    7,
    False,
    3,
    (CLAIM,),
    ("b-h1",),
    (FreeCapacity("s", Resources(4000, 64), ("a",)),),
    2,
    (2**64 - 1,),
    (HostCard("c-h0", "c", "10.2.0.1", 7720, 5),),
    (RunnerDigest(17, 250),),
)
CALLS = (
    messages.SubmitCall(JOB, "b-h0", 3, SHARE, (TASK,), ((TASK, 2),), number=4),
    messages.LendCall(TASK, 1, "p", Resources(1, 1), "q", 3, "b-h0", CLAIM, 0.05),
    messages.LocateCall(JOB_ID),
    messages.CancelCall(JOB_ID),
    messages.FindCall(JOB_ID, SHARE, CLAIM, TASK, 1),
    messages.ConfigCall(True),
    messages.RunnersCall(),
    messages.UnownedCall(CLAIM),
    messages.PrepareCall("b-h0", CLAIM, (RUNNER,), (RUNNER,), 0.5, 2.0),
    messages.TransferCall(
        *("b-h0", CLAIM, RunnerDigest(17, 250), (JOB_ID,), (JOB_ID,), 250),
        *(SHARE, 2, (("c-h0", (2**64 - 1,)),), (("i-1", 1.5, 1, 0.5),)),
    ),
)
REPLIES = (
    JobReply(AnswerKind.REFUSED, "no capacity", 1.0),
    messages.LendReply(messages.LendResult.DONE, 2),
    messages.FindReply(True),
    messages.ConfigReply(3, b"", b"x\x9c"),
    messages.RunnersReply(0.5, (RUNNER,)),
    messages.UnownedReply(1300),
    messages.PrepareReply(False, "leaving"),
    messages.TransferReply(CLAIM),
)

many = settings(
    max_examples=200, deadline=None, suppress_health_check=[HealthCheck.too_slow]
)


def test_a_sample_of_every_call_is_tested() -> None:
    assert {type(call) for call in CALLS} == set(CALL_TYPES)


# Guards against a message that is taken in and raises when it is sent on.
@many
@given(st.sampled_from((*CALLS, *REPLIES, HEARTBEAT)), st.data())
def test_an_odd_message_is_rejected_or_can_be_sent_on(
    valid: Any, data: st.DataObject
) -> None:
    kind = type(valid)
    body = data.draw(odd_msgpack(valid))
    try:
        message = decode_msgpack(body, kind)
    except Malformed:
        return
    encoded = msgspec.msgpack.encode(message)
    assert msgspec.msgpack.decode(encoded, type=kind) == message


# Guards against a heartbeat that raises in the receiver, or that makes it stop sending
# its own.
@many
@given(odd_msgpack(HEARTBEAT))
def test_an_odd_heartbeat_does_not_end_the_heartbeats_of_its_receiver(
    payload: bytes,
) -> None:
    harness = Harness()
    members: Members = harness.members
    members.receive(payload)
    harness.receive_heartbeat("a-h1", 1)
    harness.datagrams.sent.clear()
    members.send_heartbeats()
    assert harness.datagrams.sent


# Guards against a call whose caller waits in vain: each gets a status.
@settings(max_examples=10, deadline=None)
@given(st.data())
def test_an_odd_call_is_answered_with_a_status(data: st.DataObject) -> None:
    bodies = [
        (type(call).__name__, data.draw(odd_msgpack(call)))
        for call in CALLS
        for _ in range(4)
    ]

    async def main() -> None:
        async def answer(call: Any, open_call: OpenCall) -> Any:
            return call

        server, http = HostCallServer(answer, TimerService()), HttpClient()
        address = f"127.0.0.1:{free_ports(1)[0]}"
        await server.listen(address)
        for name, body in bodies:
            req = HttpRequest("POST", f"/{name}", body)
            reply = await http.exchange(address, req, 5.0)
            assert reply.status in (200, 400)
        http.close()
        server.close()

    asyncio.run(main())


class OneReply(HttpClient):
    """An HTTP client that gets the same reply to each request."""

    def __init__(self, body: bytes) -> None:
        super().__init__()
        self._body = body

    async def exchange(
        self, address: str, req: HttpRequest, timeout_s: float, fresh: bool = False
    ) -> HttpReply:
        """Return the reply."""
        return HttpReply(200, self._body)


# Guards against a reply that raises anything but the error that callers handle.
@many
@given(st.sampled_from(REPLIES), st.data())
def test_an_odd_reply_fails_the_call(valid: Any, data: st.DataObject) -> None:
    body = data.draw(odd_msgpack(valid))
    client = HostCallClient(OneReply(body))

    async def main() -> None:
        try:
            reply = await client.call("127.0.0.1:1", CALLS[0], type(valid), 1.0)
        except PeerCallFailed:
            return
        if isinstance(reply, messages.ConfigReply):
            with pytest.raises(Malformed):
                reply.unpack()

    asyncio.run(main())
