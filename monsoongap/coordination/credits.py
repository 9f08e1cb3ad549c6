"""Credits: which slots of each worker this host may fill.

The entry hosts of a data centre divide every worker's slots among themselves
without talking: each computes the same division from the same set of names.
"""

from collections.abc import Iterable

from monsoongap.util import rendezvous


def divide(slots: int, worker: str, hosts: Iterable[str]) -> dict[str, int]:
    """Divide a worker's slots among hosts, alike on every host.

    Everyone gets the whole part; what remains goes to the first hosts by
    rendezvous hash of (worker, host), so a host that joins or leaves moves few
    credits and no host gets every remainder.
    """
    order = rendezvous.order(worker, frozenset(hosts))
    if not order:
        return {}
    whole, remainder = divmod(slots, len(order))
    return {host: whole + (place < remainder) for place, host in enumerate(order)}
