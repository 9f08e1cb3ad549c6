"""Tests of TLS files on loopback: mutual TLS, reload, refusals."""

import asyncio
import contextlib
import logging
import ssl
from pathlib import Path
from typing import Any

import grpc
import pytest
import trustme
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from monsoongap.protocol import peer_pb2, peer_pb2_grpc
from monsoongap.settings import TlsSection
from monsoongap.timers import TimerService
from monsoongap.transport.tls import TlsFault, TlsFiles
from tests.coordination.tree_world import wait_until

HOST = "127.0.0.1"
RELOAD_S = 0.02
TIMEOUT_S = 3.0


def write(directory: Path, ca: trustme.CA) -> TlsSection:
    """Put a certificate of `ca` into the directory, with its key and the CA."""
    issued = ca.issue_cert(HOST, "entry-1")
    chain = b"".join(pem.bytes() for pem in issued.cert_chain_pems)
    (directory / "cert.pem").write_bytes(chain)
    (directory / "key.pem").write_bytes(issued.private_key_pem.bytes())
    ca.cert_pem.write_to_path(str(directory / "ca.pem"))
    names = (str(directory / name) for name in ("cert.pem", "key.pem", "ca.pem"))
    return TlsSection(*names, reload_s=RELOAD_S)


class _Echo(RequestHandler):
    def get(self) -> None:
        self.finish("here")


class _Servicer(peer_pb2_grpc.PeerServicer):
    async def Call(self, request: Any, context: Any) -> Any:  # noqa: N802
        return peer_pb2.CallReply(body=request.body)


async def ask(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bytes:
    """Send one request on a kept connection."""
    writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), TIMEOUT_S)
    await asyncio.wait_for(reader.readexactly(4), TIMEOUT_S)
    return head.split(b"\r\n")[0]


def certificate(writer: asyncio.StreamWriter) -> bytes:
    return writer.get_extra_info("ssl_object").getpeercert(True)


async def until_reported(caplog: pytest.LogCaptureFixture, text: str) -> None:
    def reported() -> bool:
        return any(text in record.getMessage() for record in caplog.records)

    await wait_until(reported, TIMEOUT_S)


def test_listener_takes_up_new_files_and_cuts_no_connection(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def main() -> None:
        timers = TimerService()
        files = TlsFiles(write(tmp_path, trustme.CA()), timers)
        changes: list[int] = []
        files.subscribe(lambda: 1 / 0)
        files.subscribe(lambda: changes.append(1))
        files.start()
        server = HTTPServer(
            Application([("/", _Echo)]), ssl_options=files.server_context()
        )
        sockets = bind_sockets(0, HOST)
        server.add_sockets(sockets)
        port = sockets[0].getsockname()[1]

        async def connect() -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
            return await asyncio.open_connection(
                HOST, port, ssl=files.client_context(), ssl_handshake_timeout=TIMEOUT_S
            )

        kept = await connect()
        first = certificate(kept[1])
        assert await ask(*kept) == b"HTTP/1.1 200 OK"
        (tmp_path / "key.pem").write_bytes(b"broken")
        await until_reported(caplog, "certificates not taken up")
        await asyncio.sleep(RELOAD_S * 5)
        faults = [record for record in caplog.records if record.levelno >= 40]
        assert len(faults) == 1 and not changes
        other = await connect()
        assert certificate(other[1]) == first
        write(tmp_path, trustme.CA())
        await until_reported(caplog, "certificates taken up")
        fresh = await connect()
        assert certificate(fresh[1]) != first and changes == [1]
        assert await ask(*fresh) == await ask(*kept) == b"HTTP/1.1 200 OK"
        with pytest.raises(ssl.SSLCertVerificationError):
            await asyncio.open_connection(
                HOST, port, ssl=ssl.create_default_context(), server_hostname=HOST
            )
        plain = await asyncio.open_connection(HOST, port)
        plain[1].write(b"GET / HTTP/1.1\r\n\r\n")
        with contextlib.suppress(ConnectionResetError):
            assert not await asyncio.wait_for(plain[0].read(), TIMEOUT_S)
        await until_reported(caplog, "SSL Error")
        for _, writer in (kept, other, fresh, plain):
            writer.close()
        server.stop()
        files.close()
        timers.close()

    with caplog.at_level(logging.INFO):
        asyncio.run(main())
    text = "\n".join(str(record.__dict__) for record in caplog.records)
    assert "PRIVATE KEY" not in text


def test_peers_need_a_certificate_of_the_ca_and_take_up_new_ones(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        first_ca = trustme.CA()
        files = TlsFiles(write(tmp_path, first_ca), TimerService())
        server = grpc.aio.server()
        peer_pb2_grpc.add_PeerServicer_to_server(_Servicer(), server)
        port = server.add_secure_port(f"{HOST}:0", files.grpc_server_credentials())
        await server.start()
        channels: list[Any] = []

        async def call(credentials: Any) -> bool:
            options = [("grpc.use_local_subchannel_pool", 1)]
            address = f"{HOST}:{port}"
            channel = grpc.aio.secure_channel(address, credentials, options)
            channels.append(channel)
            return await reaches(channel)

        async def reaches(channel: Any) -> bool:
            request = peer_pb2.CallRequest(body=b"x")
            try:
                reply = await peer_pb2_grpc.PeerStub(channel).Call(request, timeout=2)
            except grpc.aio.AioRpcError as exc:
                assert exc.code() is grpc.StatusCode.UNAVAILABLE
                return False
            return reply.body == b"x"

        old = files.grpc_channel_credentials()
        assert await call(old)
        anonymous = grpc.ssl_channel_credentials((tmp_path / "ca.pem").read_bytes())
        assert not await call(anonymous)
        stranger = trustme.CA().issue_cert(HOST)
        foreign = grpc.ssl_channel_credentials(
            (tmp_path / "ca.pem").read_bytes(),
            stranger.private_key_pem.bytes(),
            stranger.cert_chain_pems[0].bytes(),
        )
        assert not await call(foreign)
        write(tmp_path, trustme.CA())
        files.reload()
        assert await call(files.grpc_channel_credentials())
        assert not await call(old)
        assert await reaches(channels[0])
        for channel in channels:
            await channel.close()
        await server.stop(0)

    asyncio.run(main())


@pytest.mark.parametrize("lacking", ["certificate", "key", "ca"])
def test_a_host_does_not_start_with_less_protection_than_told(
    tmp_path: Path, lacking: str
) -> None:
    cfg = write(tmp_path, trustme.CA())
    names = {"certificate": cfg.certificate, "key": cfg.key, "ca": cfg.ca}
    timers = TimerService()
    with pytest.raises(TlsFault, match=rf"\[tls\] {lacking}"):
        TlsFiles(TlsSection(**{**names, lacking: ""}), timers)
    with pytest.raises(TlsFault, match=rf"\[tls\] {lacking}"):
        TlsFiles(TlsSection(**{**names, lacking: str(tmp_path / "none")}), timers)
    Path(names[lacking]).write_bytes(b"broken")
    with pytest.raises(TlsFault, match="do not fit"):
        TlsFiles(cfg, timers)
    off = TlsFiles(TlsSection(), timers)
    assert not off.enabled
    assert off.server_context() is off.client_context() is None
    assert off.grpc_server_credentials() is off.grpc_channel_credentials() is None
