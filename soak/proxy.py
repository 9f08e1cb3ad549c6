"""A loopback proxy that delays, cuts, resets or silences connections."""

import asyncio
from dataclasses import dataclass, field
from enum import Enum, auto


class Trouble(Enum):
    """What the proxy does to the bytes that pass."""

    NONE = auto()
    SLOW = auto()
    SILENT = auto()
    ONE_WAY = auto()
    REFUSE = auto()


SLOW_S = 0.15
CHUNK = 65_536


@dataclass(slots=True, eq=False)
class Proxy:
    """Carries connections from one port to another on one address."""

    ip: str
    port: int
    target_port: int
    trouble: Trouble = Trouble.NONE
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def listen(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._accept, self.ip, self.port)

    def reset_all(self) -> None:
        """Break every open connection."""
        for writer in self._writers:
            writer.transport.abort()

    def close(self) -> None:
        """Stop."""
        self.reset_all()
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(self._carry(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.trouble is Trouble.REFUSE:
            writer.transport.abort()
            return
        try:
            back, forth = await asyncio.open_connection(self.ip, self.target_port)
        except OSError:
            # The target is down: the caller sees its connection break.
            writer.transport.abort()
            return
        self._writers |= {writer, forth}
        await asyncio.gather(
            self._copy(reader, forth, True), self._copy(back, writer, False)
        )
        self._writers -= {writer, forth}

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, ahead: bool
    ) -> None:
        try:
            while data := await reader.read(CHUNK):
                match self.trouble:
                    case Trouble.SILENT:
                        continue
                    case Trouble.ONE_WAY if not ahead:
                        continue
                    case Trouble.SLOW:
                        await asyncio.sleep(SLOW_S)
                writer.write(data)
                await writer.drain()
        except OSError:
            # Either side broke the connection: the other side is told below.
            writer.transport.abort()
        writer.close()
