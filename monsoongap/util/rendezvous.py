"""Rendezvous hashing: choices that hosts make alike without talking.

Each host orders names by a hash of (subject, name). A name that comes or goes moves
only the subjects that it wins or won.
"""

import functools
import hashlib
from collections.abc import Iterable

WEIGHT_BYTES = 8
ORDERS_KEPT = 1024


def _weight(subject: str, name: str) -> bytes:
    text = f"{subject}\0{name}".encode()
    return hashlib.blake2b(text, digest_size=WEIGHT_BYTES).digest()


def choose(subject: str, names: Iterable[str]) -> str:
    """Return the name that wins a subject; raises `ValueError` without names."""
    return max(names, key=lambda name: _weight(subject, name))


@functools.lru_cache(maxsize=ORDERS_KEPT)
def order(subject: str, names: frozenset[str]) -> tuple[str, ...]:
    """Return the names by their hash with the subject, the winner first."""
    weighed = sorted(names, key=lambda name: _weight(subject, name), reverse=True)
    return tuple(weighed)
