"""Rendezvous hashing: hosts make the same choice without communication.

Each host orders the names by a hash of (subject, name). When a name is added or
removed, the choice changes only for the subjects for which that name comes first.
"""

import functools
import hashlib
import math
from collections.abc import Iterable, Mapping

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


def choose_weighted(subject: str, weights: Mapping[str, float]) -> str:
    """Return a name for a subject; each gets subjects in proportion to its weight.

    Raise `ValueError` without names. Weights are above zero.
    """

    def score(name: str) -> float:
        # In (0, 1), so that the logarithm is finite and negative.
        uniform = (int.from_bytes(_weight(subject, name)) + 0.5) / 2 ** (
            8 * WEIGHT_BYTES
        )
        return -weights[name] / math.log(min(uniform, 1 - 1e-12))

    return max(weights, key=score)
