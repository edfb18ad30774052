"""Choose relays by rendezvous hashing and split push trees."""

import hashlib
from collections.abc import Sequence

__all__ = ["choose_relays", "split_delegates"]


def choose_relays(hosts: Sequence[str], data_centre: str, count: int = 2) -> list[str]:
    """Return the relays of a data centre, first rank first.

    Rendezvous hashing (Thaler, Ravishankar 1998) needs no agreement beyond the list
    of hosts, and a host that comes or goes moves at most its own role.
    """
    return sorted(hosts, key=lambda host: _weight(host, data_centre))[:count]


def split_delegates(
    hosts: Sequence[str], fan_out: int
) -> list[tuple[str, tuple[str, ...]]]:
    """Split hosts into at most ``fan_out`` children with their own delegates.

    >>> split_delegates(("a", "b", "c", "d", "e"), 2)
    [('a', ('c', 'e')), ('b', ('d',))]
    """
    children = []
    for i in range(min(fan_out, len(hosts))):
        group = hosts[i::fan_out]
        children.append((group[0], tuple(group[1:])))
    return children


def _weight(host: str, data_centre: str) -> bytes:
    key = f"{data_centre}/{host}".encode()
    return hashlib.blake2b(key, digest_size=8).digest()
