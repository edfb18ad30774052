"""Choose the hosts that contend for a lease."""

import hashlib
from collections.abc import Iterable

__all__ = ["rank_hosts"]


def rank_hosts(key: str, hosts: Iterable[str]) -> tuple[str, ...]:
    """Order hosts by rendezvous hashing for a key.

    Every host with the same list of members gets the same order, keys spread over the
    hosts, and a host that leaves changes only the places behind it. Only the first few
    contend for a lease, so that the platform calls for it do not grow with the fleet.
    """
    return tuple(
        sorted(
            hosts,
            key=lambda host: hashlib.blake2b(
                f"{key}\0{host}".encode(), digest_size=8
            ).digest(),
        )
    )
