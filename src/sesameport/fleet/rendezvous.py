"""Rank hosts by rendezvous hashing and split them into push trees."""

import hashlib
from collections.abc import Iterable, Sequence

__all__ = ["choose_relays", "rank_hosts", "split_delegates"]


def rank_hosts(key: str, hosts: Iterable[str]) -> tuple[str, ...]:
    """Return hosts in their rendezvous hashing order (Thaler, Ravishankar 1998).

    All hosts with the same member list compute the same order without coordination.
    Different keys rank the hosts differently, and a host that leaves changes only the
    ranks behind it. Callers let only the first few hosts contend for a lease or a role,
    so the number of platform calls does not grow with the fleet.
    """
    return tuple(sorted(hosts, key=lambda host: _weight(key, host)))


def choose_relays(hosts: Sequence[str], data_centre: str, count: int = 2) -> list[str]:
    """Return the relays of a data centre, highest rank first."""
    return list(rank_hosts(data_centre, hosts)[:count])


def split_delegates(
    hosts: Sequence[str], fan_out: int
) -> list[tuple[str, tuple[str, ...]]]:
    """Split hosts into at most ``fan_out`` children, each with its own delegates.

    >>> split_delegates(("a", "b", "c", "d", "e"), 2)
    [('a', ('c', 'e')), ('b', ('d',))]
    """
    children = []
    for i in range(min(fan_out, len(hosts))):
        group = hosts[i::fan_out]
        children.append((group[0], tuple(group[1:])))
    return children


def _weight(key: str, host: str) -> bytes:
    return hashlib.blake2b(f"{key}/{host}".encode(), digest_size=8).digest()
