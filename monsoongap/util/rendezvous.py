"""Rendezvous hashing: hosts make the same choice without communication.

Each host orders the names by a hash of (subject, name). When a name is added or
removed, the choice changes only for the subjects for which that name comes first.
"""

import functools
import hashlib
from collections.abc import Iterable

WEIGHT_BYTES = 8
ORDER_CACHE_SIZE = 1024


def _weight(subject: str, name: str) -> bytes:
    text = f"{subject}\0{name}".encode()
    return hashlib.blake2b(text, digest_size=WEIGHT_BYTES).digest()


def choose(subject: str, names: Iterable[str]) -> str:
    """Return the name with the highest weight; raise `ValueError` without names."""
    return max(names, key=lambda name: _weight(subject, name))


@functools.lru_cache(maxsize=ORDER_CACHE_SIZE)
def order(subject: str, names: frozenset[str]) -> tuple[str, ...]:
    """Return the names by descending weight for a subject."""
    ordered = sorted(names, key=lambda name: _weight(subject, name), reverse=True)
    return tuple(ordered)
