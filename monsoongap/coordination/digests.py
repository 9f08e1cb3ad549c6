"""Short digests that parts of a host pass to their counterparts by heartbeat.

A part that has to notice when a peer differs supplies a few bytes, such as a
revision or a hash, and fetches what it misses over a call of its own.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass

from monsoongap.coordination.membership_messages import DigestEntry

log = logging.getLogger(__name__)

MAX_DIGEST_BYTES = 256

Supplier = Callable[[], bytes]
OnPeer = Callable[[str, bytes], None]


@dataclass(frozen=True, slots=True)
class _Part:
    supplier: Supplier
    on_peer: OnPeer


class Digests:
    """The registry of the parts that supply a digest."""

    def __init__(self) -> None:
        self._parts: dict[str, _Part] = {}

    def add(self, name: str, supplier: Supplier, on_peer: OnPeer) -> None:
        """Carry `supplier()` in every heartbeat as `name`.

        `on_peer(host, data)` is called for every heartbeat that arrives, also when
        the peer's digest has not changed, so that a failed fetch is tried again. At
        most `MAX_DIGEST_BYTES` bytes are carried; a longer digest is left out.
        """
        self._parts[name] = _Part(supplier, on_peer)

    def collect(self) -> tuple[DigestEntry, ...]:
        """Return the digests of all parts; a part that fails is left out."""
        entries = (self._collect_one(name, part) for name, part in self._parts.items())
        return tuple(entry for entry in entries if entry is not None)

    def deliver(self, host: str, entries: tuple[DigestEntry, ...]) -> None:
        """Hand a peer's digests to the parts of the same names."""
        for entry in entries:
            part = self._parts.get(entry.name)
            if part is None:
                continue
            try:
                part.on_peer(host, entry.data)
            except Exception:
                extra = {"peer": host, "digest": entry.name}
                log.exception("digest not taken up", extra=extra)

    def _collect_one(self, name: str, part: _Part) -> DigestEntry | None:
        try:
            data = part.supplier()
        except Exception:
            log.exception("digest not supplied", extra={"digest": name})
            return None
        if len(data) > MAX_DIGEST_BYTES:
            log.error("digest too long", extra={"digest": name, "bytes": len(data)})
            return None
        return DigestEntry(name, data)
