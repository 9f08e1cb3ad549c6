"""Calls and heartbeat streams between entry hosts over gRPC.

One channel per peer is kept. A channel on which a call or a beat waited in vain
while nothing else came back is replaced: its connection may have gone silent for
good. Calls under way on the old channel go on, and gRPC's keepalive pings, which any
write puts off, then find out whether it is dead. A handler runs to its end even
when its caller has given up, because its effect may be half done. Retries belong
to the decisions above and never happen here.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import grpc
import msgspec

from monsoongap.coordination.heartbeats import BeatStream
from monsoongap.coordination.parts import HostIdentity
from monsoongap.errors import DispatchError, ErrorKind, Outcome, PeerUnreachable
from monsoongap.protocol import peer_pb2, peer_pb2_grpc
from monsoongap.protocol.peer import (
    PeerHandlers,
    PeerMethod,
    ReplyT,
    RequestT,
    decode,
    encode,
)
from monsoongap.settings import EntrySettings
from monsoongap.transport.peer_streams import (
    CallStream,
    PeerChannel,
    ServedStream,
    is_cancelled,
)

log = logging.getLogger(__name__)

MAX_MESSAGE_BYTES = 8_000_000
KEEPALIVE_MS = 2_000
KEEPALIVE_TIMEOUT_MS = 2_000
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 2_000
CONNECT_TIMEOUT_MS = 1_000
IDLE_CLOSE_MS = 30_000

_COMMON_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES + 4096),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES + 4096),
    ("grpc.keepalive_time_ms", KEEPALIVE_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.http2.ping_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.keepalive_permit_without_calls", 0),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.http2.bdp_probe", 0),
)
_SERVER_OPTIONS = (
    *_COMMON_OPTIONS,
    ("grpc.http2.min_recv_ping_interval_without_data_ms", KEEPALIVE_MS // 2),
    ("grpc.http2.max_ping_strikes", 0),
    # Two processes on one port would each get a part of the calls.
    ("grpc.so_reuseport", 0),
)
_CHANNEL_OPTIONS = (
    *_COMMON_OPTIONS,
    ("grpc.enable_http_proxy", 0),
    ("grpc.client_idle_timeout_ms", IDLE_CLOSE_MS),
    ("grpc.initial_reconnect_backoff_ms", RECONNECT_MIN_MS),
    ("grpc.max_reconnect_backoff_ms", RECONNECT_MAX_MS),
    # This bounds how long one attempt to connect may take.
    ("grpc.min_reconnect_backoff_ms", CONNECT_TIMEOUT_MS),
    # A channel that replaces another must not inherit its connection.
    ("grpc.use_local_subchannel_pool", 1),
)


class PeerTls(Protocol):
    """Credentials for mutual TLS between peers, reloaded while running."""

    def grpc_server_credentials(self) -> Any:
        """Return `grpc.ServerCredentials` that follow the files, None for plain."""
        ...

    def grpc_channel_credentials(self) -> Any:
        """Return `grpc.ChannelCredentials` from the files as they are now."""
        ...

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Call `changed` after the files were replaced."""
        ...


class GrpcPeers:
    """Serves this host's handlers and calls those of its peers.

    Implements `PeerLink`. `address_of` maps a host's name to its `IP:port`. With
    TLS, a peer's certificate must name the host that is called, so that an
    address which passed to another host is noticed.
    """

    def __init__(
        self,
        cfg: EntrySettings,
        identity: HostIdentity,
        handlers: PeerHandlers,
        address_of: Callable[[str], str | None],
        tls: PeerTls | None = None,
    ) -> None:
        self._cfg = cfg
        self._identity = identity
        self._address_of = address_of
        self._tls = tls
        self._links: dict[str, PeerChannel] = {}
        self._retired: set[asyncio.Task[None]] = set()
        self._servicer = _Servicer(handlers)
        self._server: Any = None
        if tls is not None:
            tls.subscribe(self._replace_channels)

    async def start(self) -> int:
        """Listen on `cfg.listen.peer` and return the port; raises `OSError`."""
        address = self._cfg.listen.peer
        self._server = grpc.aio.server(options=_SERVER_OPTIONS)
        peer_pb2_grpc.add_PeerServicer_to_server(self._servicer, self._server)
        try:
            tls = self._tls
            credentials = tls.grpc_server_credentials() if tls is not None else None
            if credentials is None:
                port = self._server.add_insecure_port(address)
            else:
                port = self._server.add_secure_port(address, credentials)
        except RuntimeError as exc:
            raise OSError(f"cannot listen on {address}: {exc}") from exc
        await self._server.start()
        log.info("peer server listens", extra={"address": address, "port": port})
        return int(port)

    async def stop(self, grace_s: float = 1.0) -> None:
        """End the streams, let calls end within `grace_s`, close all channels."""
        self._servicer.end_streams()
        if self._server is not None:
            await self._server.stop(grace_s)
        links = tuple(self._links.values())
        self._links.clear()
        for retired in tuple(self._retired):
            retired.cancel()
        await asyncio.gather(*self._retired, return_exceptions=True)
        await asyncio.gather(*(link.channel.close() for link in links))

    async def call(
        self,
        host: str,
        method: PeerMethod[RequestT, ReplyT],
        body: RequestT,
        timeout_s: float,
    ) -> ReplyT:
        """Call a handler of `host`; see `PeerPort.call`.

        Raises `PeerUnreachable` also when a reply cannot be decoded, and
        `DispatchError` with `too_large` before anything is sent.
        """
        data = encode(body)
        if len(data) > MAX_MESSAGE_BYTES:
            raise DispatchError(
                ErrorKind.TOO_LARGE, f"{method.name}: {len(data)} bytes"
            )
        request = peer_pb2.CallRequest(
            method=method.name, sender=self._identity.name, body=data
        )
        link = self._link(host)
        sent_at = asyncio.get_running_loop().time()
        try:
            reply = await link.stub.Call(request, timeout=timeout_s)
        except grpc.aio.AioRpcError as exc:
            if exc.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
                self._replace_if_silent(link, sent_at)
            raise _unreachable(host, method.name, exc) from exc
        except asyncio.CancelledError as exc:
            if is_cancelled():
                raise
            raise PeerUnreachable(f"{host}: {method.name}: channel closed") from exc
        link.note_heard()
        if reply.error:
            raise _dispatch_error(reply)
        try:
            decoded: ReplyT = decode(reply.body, method.reply)
        except msgspec.MsgspecError as exc:
            raise PeerUnreachable(f"{host}: {method.name}: {exc}") from exc
        return decoded

    def on_stream(self, accept: Callable[[BeatStream], Awaitable[None]]) -> None:
        """Serve heartbeat streams of peers with `accept`."""
        self._servicer.accept = accept

    async def open_stream(self, host: str) -> BeatStream:
        """Open a heartbeat stream to `host`; raises `PeerUnreachable`."""
        return CallStream(self._link(host), self._replace_if_silent)

    def _link(self, host: str) -> PeerChannel:
        """Return the kept channel to `host`, or open one for its address."""
        address = self._address_of(host)
        if address is None:
            raise PeerUnreachable(f"{host}: no address known")
        link = self._links.get(host)
        if link is not None and link.address == address:
            return link
        if link is not None:
            self._retire(link, self._cfg.limits.drain_s)
        self._close_forgotten()
        channel = self._open_channel(host, address)
        link = PeerChannel(host, address, channel, peer_pb2_grpc.PeerStub(channel))
        self._links[host] = link
        return link

    def _close_forgotten(self) -> None:
        """Close the channels to hosts that are no longer known."""
        for host in [one for one in self._links if self._address_of(one) is None]:
            self._retire(self._links.pop(host), 0.0)

    def _open_channel(self, host: str, address: str) -> Any:
        tls = self._tls
        credentials = tls.grpc_channel_credentials() if tls is not None else None
        if credentials is None:
            return grpc.aio.insecure_channel(address, options=_CHANNEL_OPTIONS)
        return grpc.aio.secure_channel(
            address,
            credentials,
            options=(*_CHANNEL_OPTIONS, ("grpc.ssl_target_name_override", host)),
        )

    def _replace_if_silent(self, link: PeerChannel, since: float) -> None:
        """Replace a channel on which nothing came back since the given time."""
        if link.heard_at >= since or self._links.get(link.host) is not link:
            return
        log.info("peer channel replaced", extra={"peer": link.host, "reason": "silent"})
        del self._links[link.host]
        self._retire(link, self._cfg.limits.drain_s)

    def _replace_channels(self) -> None:
        """Take up new certificates; calls under way end on the old channels."""
        links, self._links = self._links, {}
        for link in links.values():
            self._retire(link, self._cfg.limits.drain_s)

    def _retire(self, link: PeerChannel, grace_s: float) -> None:
        task = asyncio.ensure_future(link.channel.close(grace_s))
        self._retired.add(task)
        task.add_done_callback(self._retired.discard)


class _Servicer(peer_pb2_grpc.PeerServicer):
    """The server's side of calls and streams."""

    def __init__(self, handlers: PeerHandlers) -> None:
        self._handlers = handlers
        self._running: set[asyncio.Task[bytes]] = set()
        self._streams: set[asyncio.Task[Any]] = set()
        self.accept: Callable[[BeatStream], Awaitable[None]] | None = None

    async def Call(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Run one handler; every failure travels in the reply."""
        task = asyncio.create_task(
            self._handlers.dispatch(request.method, request.body),
            name=f"peer-call:{request.method}",
        )
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        try:
            body = await asyncio.shield(task)
        except DispatchError as exc:
            return _error_reply(exc)
        except Exception as exc:
            extra = {"method": request.method, "peer": request.sender}
            log.exception("peer call failed", extra=extra)
            return _error_reply(DispatchError(ErrorKind.INTERNAL, repr(exc)))
        if len(body) > MAX_MESSAGE_BYTES:
            detail = f"{request.method}: reply of {len(body)} bytes"
            return _error_reply(
                DispatchError(ErrorKind.TOO_LARGE, detail, outcome=Outcome.UNKNOWN)
            )
        return peer_pb2.CallReply(body=body)

    async def Heartbeats(self, _requests: Any, context: Any) -> None:  # noqa: N802
        """Serve one heartbeat stream until either side ends it."""
        if self.accept is None:
            return
        task = asyncio.ensure_future(self.accept(ServedStream(context)))
        self._streams.add(task)
        try:
            await task
        except PeerUnreachable as exc:
            log.debug("heartbeat stream ended", extra={"reason": str(exc)})
        finally:
            task.cancel()
            self._streams.discard(task)

    def end_streams(self) -> None:
        """End every heartbeat stream that is being served."""
        self.accept = None
        for task in tuple(self._streams):
            task.cancel()


def _error_reply(exc: DispatchError) -> Any:
    return peer_pb2.CallReply(
        error=exc.kind.value,
        detail=exc.detail,
        retry_after_ms=exc.retry_after_ms or 0,
        outcome=exc.outcome.value,
    )


def _dispatch_error(reply: Any) -> DispatchError:
    """Rebuild a peer's error; kinds of a newer version become `internal`."""
    try:
        kind = ErrorKind(reply.error)
        outcome = Outcome(reply.outcome)
    except ValueError:
        detail = f"{reply.error}: {reply.detail}"
        return DispatchError(ErrorKind.INTERNAL, detail)
    return DispatchError(kind, reply.detail, reply.retry_after_ms or None, outcome)


def _unreachable(host: str, method: str, exc: Any) -> PeerUnreachable:
    code = exc.code().name.lower()
    log.debug("peer call lost", extra={"peer": host, "method": method, "reason": code})
    return PeerUnreachable(f"{host}: {method}: {code}: {exc.details()}")
