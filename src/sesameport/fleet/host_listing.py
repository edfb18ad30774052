"""Store the newest copy of the platform's host and server list."""

import hashlib
import math

from sesameport.interfaces import HostList

__all__ = ["HostListing"]


class HostListing:
    """Store the list with a lower bound of the local time of its request.

    The platform does not version the list. A copy therefore replaces another one only
    if it was requested later.
    """

    def __init__(self):
        self.hosts = HostList((), ())
        self.digest = ""
        self.requested_at = -math.inf

    def merge(self, hosts: HostList, requested_at: float) -> bool:
        """Merge a copy requested at a local time; return whether the list changed."""
        if requested_at <= self.requested_at:
            return False
        self.requested_at = requested_at
        digest = _digest(hosts)
        if digest == self.digest:
            return False
        self.hosts = hosts
        self.digest = digest
        return True

    def confirm(self, digest: str, requested_at: float) -> None:
        """Record that another host requested the same list at a local time."""
        if digest == self.digest:
            self.requested_at = max(self.requested_at, requested_at)

    def is_older_than(self, digest: str, requested_at: float) -> bool:
        """Return whether another host's copy is different and newer."""
        return digest not in ("", self.digest) and requested_at > self.requested_at


def _digest(hosts: HostList) -> str:
    hasher = hashlib.blake2b(digest_size=8)
    for host in sorted(hosts.hosts, key=lambda host: host.name):
        hasher.update(repr(host).encode())
    for server in sorted(hosts.servers, key=lambda server: server.name):
        hasher.update(repr(server).encode())
    return hasher.hexdigest()
