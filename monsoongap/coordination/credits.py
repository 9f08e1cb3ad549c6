"""Credits: which slots of each worker this host may fill.

The entry hosts of a data centre divide every worker's slots among themselves
without talking: each computes the same division from the same set of names.
"""

import functools
import hashlib
from collections.abc import Iterable

WEIGHTS_KEPT = 8192
ORDERS_KEPT = 1024


def divide(slots: int, worker: str, hosts: Iterable[str]) -> dict[str, int]:
    """Divide a worker's slots among hosts, alike on every host.

    Everyone gets the whole part; what remains goes to the first hosts by
    rendezvous hash of (worker, host), so a host that joins or leaves moves few
    credits and no host gets every remainder.
    """
    order = rendezvous_order(worker, frozenset(hosts))
    if not order:
        return {}
    whole, remainder = divmod(slots, len(order))
    return {host: whole + (place < remainder) for place, host in enumerate(order)}


@functools.lru_cache(maxsize=ORDERS_KEPT)
def rendezvous_order(worker: str, hosts: frozenset[str]) -> tuple[str, ...]:
    """Return the hosts by their hash with `worker`, the highest first."""
    order = sorted(hosts, key=lambda host: _weight(worker, host), reverse=True)
    return tuple(order)


@functools.lru_cache(maxsize=WEIGHTS_KEPT)
def _weight(worker: str, host: str) -> bytes:
    return hashlib.blake2b(f"{worker}\0{host}".encode(), digest_size=8).digest()
