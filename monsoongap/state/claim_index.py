"""A compact index from a key's 64-bit hash to a stream offset.

Two arrays with open addressing and no deletion: 16 bytes a slot, a quarter to half
of the slots used, so 32 to 64 bytes per entry.
"""

from array import array

FIRST_SLOTS = 256


class OffsetIndex:
    """Maps non-zero 64-bit hashes to offsets; entries only come, never go."""

    def __init__(self) -> None:
        self._count = 0
        self._allocate(FIRST_SLOTS)

    def __len__(self) -> int:
        return self._count

    def size_bytes(self) -> int:
        """Return the bytes of both arrays."""
        return 2 * self._hashes.itemsize * len(self._hashes)

    def get(self, key: int) -> int | None:
        """Return the offset of a hash, or None."""
        slot = self._slot(key)
        return self._offsets[slot] if self._hashes[slot] else None

    def put(self, key: int, offset: int) -> None:
        """Add a hash or replace its offset."""
        if 2 * self._count >= len(self._hashes):
            self._grow()
        slot = self._slot(key)
        self._count += not self._hashes[slot]
        self._hashes[slot] = key
        self._offsets[slot] = offset

    def _slot(self, key: int) -> int:
        """Return the slot that holds a hash, or the free one where it belongs."""
        slot = key & self._mask
        while self._hashes[slot] not in (0, key):
            slot = (slot + 1) & self._mask
        return slot

    def _allocate(self, slots: int) -> None:
        self._mask = slots - 1
        self._hashes = array("Q", bytes(8 * slots))
        self._offsets = array("Q", bytes(8 * slots))

    def _grow(self) -> None:
        hashes, offsets = self._hashes, self._offsets
        self._allocate(2 * len(hashes))
        for key, offset in zip(hashes, offsets, strict=True):
            if key:
                slot = self._slot(key)
                self._hashes[slot] = key
                self._offsets[slot] = offset
