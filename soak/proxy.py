"""A loopback proxy that delays, drops, resets or refuses traffic."""

import asyncio
from dataclasses import dataclass, field
from enum import Enum, auto


class ProxyFault(Enum):
    """What the proxy does to its connections.

    `SLOW` delays each chunk by `CHUNK_DELAY_S`, `SILENT` drops all bytes, `ONE_WAY`
    drops bytes from the target, and `REFUSE` aborts new connections.
    """

    NONE = auto()
    SLOW = auto()
    SILENT = auto()
    ONE_WAY = auto()
    REFUSE = auto()


CHUNK_DELAY_S = 0.15
CHUNK_BYTES = 65_536


@dataclass(slots=True, eq=False)
class Proxy:
    """Forwards connections from one port to another on one address."""

    ip: str
    port: int
    target_port: int
    fault: ProxyFault = ProxyFault.NONE
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def listen(self) -> None:
        """Start to listen on `port`."""
        self._server = await asyncio.start_server(
            self._on_connection, self.ip, self.port
        )

    def reset_all(self) -> None:
        """Abort every open connection."""
        for writer in self._writers:
            writer.transport.abort()

    def close(self) -> None:
        """Abort all connections and stop listening."""
        self.reset_all()
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()

    def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(self._forward_connection(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _forward_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.fault is ProxyFault.REFUSE:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self.ip, self.target_port
            )
        except OSError:
            # The target is down; the client sees its connection broken.
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        await asyncio.gather(
            self._forward_bytes(reader, target_writer, True),
            self._forward_bytes(target_reader, writer, False),
        )
        self._writers -= {writer, target_writer}

    async def _forward_bytes(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        to_target: bool,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                match self.fault:
                    case ProxyFault.SILENT:
                        continue
                    case ProxyFault.ONE_WAY if not to_target:
                        continue
                    case ProxyFault.SLOW:
                        await asyncio.sleep(CHUNK_DELAY_S)
                writer.write(data)
                await writer.drain()
        except OSError:
            # One side broke the connection; abort it for the other side too.
            writer.transport.abort()
        writer.close()
