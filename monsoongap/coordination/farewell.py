"""Farewells: what a leaving host tells its peers of the ids that it issued.

Only the home of an issued id may admit it, so once the home is gone nobody could
say whether an id had been used. A host that starts to leave admits nothing more;
its farewell names the ids that were still unused then, which proves that they never
ran and never will. Without it a caller whose id outlived its host by a rolling
restart would be told `unknown`.

A host keeps the farewells of `MAX_FAREWELLS` processes, at most 20 kB each and
usually some hundred bytes, since used serials lie close together.
"""

import asyncio
import logging
import zlib
from collections import OrderedDict
from dataclasses import dataclass

from monsoongap.coordination.parts import Directory, HostIdentity, PeerStatus
from monsoongap.coordination.ports import PeerPort
from monsoongap.errors import DispatchError, PeerUnreachable
from monsoongap.protocol.ids import IssuedId
from monsoongap.protocol.peer import PeerHandlers, PeerMethod
from monsoongap.state.jobs import IssuedSnapshot

log = logging.getLogger(__name__)

MAX_FAREWELLS = 64
SEND_TIMEOUT_S = 1.0
SEND_TRIES = 2
ASK_PEERS = 2
MAX_WINDOW_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class Farewell:
    """The ids of one process that were unused when it began to leave.

    `window` is the compressed `IssuedSnapshot.unused`.
    """

    host: str
    dc: str
    boot: int
    next_serial: int
    window: bytes

    def unused(self, serial: int) -> bool:
        """Tell whether the process had not admitted a serial."""
        inflate = zlib.decompressobj()
        unused = inflate.decompress(self.window, MAX_WINDOW_BYTES)
        return IssuedSnapshot(self.next_serial, unused).is_unused(serial)


@dataclass(frozen=True, slots=True)
class FarewellTaken:
    """Acknowledges a farewell."""


@dataclass(frozen=True, slots=True)
class FarewellAsked:
    """Asks for the farewell of a process."""

    host: str
    dc: str
    boot: int


@dataclass(frozen=True, slots=True)
class FarewellFound:
    """The farewell asked for, or None."""

    farewell: Farewell | None = None


FAREWELL = PeerMethod("farewell", Farewell, FarewellTaken)
FAREWELL_OF = PeerMethod("farewell.of", FarewellAsked, FarewellFound)


class Farewells:
    """Sends this host's farewell and keeps those of its peers."""

    def __init__(
        self,
        identity: HostIdentity,
        directory: Directory,
        peers: PeerPort,
        handlers: PeerHandlers,
    ) -> None:
        self._identity = identity
        self._directory = directory
        self._peers = peers
        self._kept: OrderedDict[FarewellAsked, Farewell] = OrderedDict()
        handlers.register(FAREWELL, self._take)
        handlers.register(FAREWELL_OF, self._serve)

    async def send(self, issued: IssuedSnapshot) -> None:
        """Tell every peer which ids this process will never admit."""
        own = self._identity
        farewell = Farewell(
            own.name,
            own.dc,
            own.boot,
            issued.next_serial,
            zlib.compress(issued.unused),
        )
        names = [peer.name for peer in self._directory.peers()]
        told = await asyncio.gather(*(self._tell(name, farewell) for name in names))
        extra = {"told": sum(told), "peers": len(names)}
        log.info("farewell sent", extra=extra)

    async def find(self, issued: IssuedId) -> Farewell | None:
        """Return the farewell of the process that issued an id, asking peers too."""
        asked = FarewellAsked(issued.host, issued.dc, issued.boot)
        if asked in self._kept:
            return self._kept[asked]
        live = [p.name for p in self._directory.peers() if p.status is PeerStatus.LIVE]
        others = [name for name in live if name != issued.host]
        for name in others[:ASK_PEERS]:
            try:
                reply = await self._peers.call(name, FAREWELL_OF, asked, SEND_TIMEOUT_S)
            except (PeerUnreachable, DispatchError):
                continue
            if reply.farewell is not None:
                self._keep(reply.farewell)
                return self._kept.get(asked)
        return None

    def knows(self, issued: IssuedId) -> bool:
        """Tell whether the process that issued an id is known to have left."""
        return FarewellAsked(issued.host, issued.dc, issued.boot) in self._kept

    async def _tell(self, host: str, farewell: Farewell) -> bool:
        for _ in range(SEND_TRIES):
            try:
                await self._peers.call(host, FAREWELL, farewell, SEND_TIMEOUT_S)
            except (PeerUnreachable, DispatchError):
                continue
            return True
        return False

    def _keep(self, farewell: Farewell) -> None:
        key = FarewellAsked(farewell.host, farewell.dc, farewell.boot)
        self._kept[key] = farewell
        if len(self._kept) > MAX_FAREWELLS:
            self._kept.popitem(last=False)

    async def _take(self, farewell: Farewell) -> FarewellTaken:
        self._keep(farewell)
        log.info(
            "farewell taken",
            extra={"peer": farewell.host, "boot": farewell.boot},
        )
        return FarewellTaken()

    async def _serve(self, asked: FarewellAsked) -> FarewellFound:
        return FarewellFound(self._kept.get(asked))
