"""Keep the newest copy of the platform's host and server list."""

import hashlib
import math

from sesameport.interfaces import HostList

__all__ = ["HostListing"]


class HostListing:
    """Hold the list with the local time before which it was asked for.

    The platform gives the list no version, so a copy replaces another one only if it
    was asked for later.
    """

    def __init__(self):
        self.hosts = HostList((), ())
        self.digest = ""
        self.asked_at = -math.inf

    def offer(self, hosts: HostList, asked_at: float) -> bool:
        """Take a copy asked for at a local time; return whether the list changed."""
        if asked_at <= self.asked_at:
            return False
        self.asked_at = asked_at
        digest = _digest(hosts)
        if digest == self.digest:
            return False
        self.hosts = hosts
        self.digest = digest
        return True

    def confirm(self, digest: str, asked_at: float) -> None:
        """Note that another host has the same list, asked for at a local time."""
        if digest == self.digest:
            self.asked_at = max(self.asked_at, asked_at)

    def is_older_than(self, digest: str, asked_at: float) -> bool:
        """Tell whether another host's copy is different and newer."""
        return digest not in ("", self.digest) and asked_at > self.asked_at


def _digest(hosts: HostList) -> str:
    hasher = hashlib.blake2b(digest_size=8)
    for item in sorted(hosts.hosts, key=lambda host: host.name):
        hasher.update(repr(item).encode())
    for item in sorted(hosts.servers, key=lambda server: server.name):
        hasher.update(repr(item).encode())
    return hasher.hexdigest()
