"""An entry host whose traffic to some addresses goes through proxies.

python -m soak.linked_host SETTINGS LINKS

`LINKS` is a JSON file that maps addresses (`IP:port`) to those of their proxies.
"""

import asyncio
import functools
import socket
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from monsoongap.daemon import Daemon, SettingsSource
from monsoongap.logs import configure_logging
from monsoongap.util.addresses import split_address
from soak.links import CONNECTED


class LinkedDatagrams(asyncio.DatagramTransport):
    """A datagram transport that sends to the proxies of addresses."""

    def __init__(
        self, transport: asyncio.DatagramTransport, links: dict[str, str]
    ) -> None:
        super().__init__()
        self._transport = transport
        self._links = links

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Send a datagram."""
        ip, port = addr
        address = self._links.get(f"{ip}:{port}")
        self._transport.sendto(data, split_address(address) if address else addr)

    def close(self) -> None:
        """Close the socket."""
        self._transport.close()


class LinkedLoop(uvloop.Loop):
    """An event loop that connects and sends to the proxies in `links`."""

    links: dict[str, str]
    host: str

    async def create_connection(
        self,
        protocol_factory: Callable[[], Any],
        host: Any = None,
        port: Any = None,
        **kwargs: Any,
    ) -> Any:
        """Connect, name this host, and wait until the proxy has connected.

        Raise `ConnectionRefusedError` if the proxy tells that it was refused.
        """
        connect = super().create_connection
        address = self.links.get(f"{host}:{port}")
        if address is None:
            return await connect(protocol_factory, host, port, **kwargs)
        sock = socket.socket()
        sock.setblocking(False)
        try:
            await self.sock_connect(sock, split_address(address))
            await self.sock_sendall(sock, f"{self.host}\n".encode())
            if await self.sock_recv(sock, 1) != CONNECTED:
                raise ConnectionRefusedError
            return await connect(protocol_factory, sock=sock)
        except BaseException:
            sock.close()
            raise

    async def create_datagram_endpoint(
        self, protocol_factory: Callable[[], Any], *args: Any, **kwargs: Any
    ) -> Any:
        """Create an endpoint whose datagrams go to the proxies."""
        create = super().create_datagram_endpoint
        transport, protocol = await create(protocol_factory, *args, **kwargs)
        return LinkedDatagrams(transport, self.links), protocol


def new_loop(links: dict[str, str], host: str) -> LinkedLoop:
    """Return an event loop of a host that uses the proxies in `links`."""
    loop = LinkedLoop()
    loop.links = links
    loop.host = host
    return loop


def main() -> None:
    """Run an entry host until SIGTERM."""
    source = SettingsSource(Path(sys.argv[1]))
    links = msgspec.json.decode(Path(sys.argv[2]).read_bytes(), type=dict[str, str])
    cfg = source.load()
    configure_logging(cfg.host.name, cfg.log)

    async def serve() -> None:
        await Daemon(cfg).run(source)

    loop_factory = functools.partial(new_loop, links, cfg.host.name)
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        runner.run(serve())


if __name__ == "__main__":
    main()
