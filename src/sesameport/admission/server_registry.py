"""Track which registered backend servers may be used.

During a store outage, entries of servers that still run can expire. Such entries are
kept for a grace period after the store recovers. Without an outage, a missing entry
means that the server has stopped.

The entry of a crashed server remains for seconds, and a new server may already answer
at the same address. The server with the later start time is then the current one.

A store that is restored from an older copy may contain entries of servers that were
removed later, and outdated states of servers that are leaving. Such an entry gets no
work until the store would have removed it, if its server did not write it again.
"""

import math
from collections.abc import Iterable

import attrs

from sesameport.domain import ServerState
from sesameport.entry.servers import EntryServer

__all__ = ["EXPIRY_GRACE_S", "ServerRegistry"]

MAX_DEPARTED = 1_000
"""Number of removed servers whose last entry is kept."""

EXPIRY_GRACE_S = 2.0
"""Time after a store recovery within which servers renew expired entries, seconds, as
specified by the users."""

PLACEMENT_MARGIN_S = 0.5
"""Last part of a grace period, in which the server receives no new work, seconds. A
prefill may take this long before the decode server gets the request."""


@attrs.define
class ServerRegistry:
    """Track registered servers, including those whose entries expired in an outage."""

    _servers: dict[str, EntryServer] = attrs.field(factory=dict)
    _grace_ends_at: dict[str, float] = attrs.field(factory=dict)
    _store_recovered_at: float = float("-inf")
    _name_by_address: dict[str, str] = attrs.field(factory=dict)
    _departed: dict[str, EntryServer] = attrs.field(factory=dict)
    _gone: dict[str, int] = attrs.field(factory=dict)
    _doubted: dict[str, EntryServer] = attrs.field(factory=dict)
    _doubt_until: float = -math.inf
    _live: dict[str, tuple[EntryServer, ...]] = attrs.field(factory=dict)
    """Result of `live_servers` by service, until an entry of the service changes."""

    def record_store_recovery(self, now: float) -> None:
        """Record that the store recovered from an outage."""
        self._store_recovered_at = now

    def begin_era(self, now: float, doubt_s: float) -> None:
        """Record that the store came back from an older copy of itself.

        Entries that are missing in the copy are written again. Until ``doubt_s``
        seconds have passed, an entry of a server that was removed or leaving counts as
        leaving, unless the server has started again.
        """
        self.record_store_recovery(now)
        leaving = [
            server
            for server in self._servers.values()
            if server.state == ServerState.LEAVING
        ]
        self._gone |= {
            server.name: server.started_at_ms
            for server in (*self._departed.values(), *leaving)
        }
        self._doubt_until = now + doubt_s

    def replace(self, servers: Iterable[EntryServer], now: float) -> None:
        """Apply a complete listing; servers missing from it are passed to `remove`."""
        listed = {server.name: server for server in servers}
        for name in list(self._servers):
            if name not in listed:
                self.remove(name, now)
        for server in listed.values():
            self.put(server)

    def put(self, server: EntryServer) -> None:
        """Add or update an entry, unless a newer server uses the same address."""
        other = self._servers.get(self._name_by_address.get(server.address, ""))
        if other is not None and other.name != server.name:
            if _started_before(server, other):
                return
            if _started_before(other, server):
                self._delete(other.name)
        self._doubted.pop(server.name, None)
        is_gone = self._gone.get(server.name) == server.started_at_ms
        if is_gone and server.state == ServerState.LIVE:
            self._doubted[server.name] = server
            server = attrs.evolve(server, state=ServerState.LEAVING)
        before = self._servers.get(server.name)
        if before is not None:
            self._live.pop(before.service, None)
        self._live.pop(server.service, None)
        self._departed.pop(server.name, None)
        self._servers[server.name] = server
        self._name_by_address[server.address] = server.name
        self._grace_ends_at.pop(server.name, None)

    def remove(self, name: str, now: float) -> None:
        """Remove a server, or start its grace period after a store recovery."""
        server = self._servers.get(name)
        if server is None or name in self._grace_ends_at:
            return
        until = self._store_recovered_at + EXPIRY_GRACE_S
        if now < until and server.state == ServerState.LIVE:
            self._grace_ends_at[name] = until
            return
        self._delete(name)

    def expire(self, now: float) -> list[str]:
        """Remove servers whose grace period has ended and return their names."""
        names = [name for name, until in self._grace_ends_at.items() if until <= now]
        for name in names:
            self._delete(name)
        return names

    def end_doubts(self, now: float) -> list[str]:
        """Use the entries that have outlived the doubt, and return their names."""
        if now < self._doubt_until or not self._gone:
            return []
        self._gone.clear()
        doubted, self._doubted = self._doubted, {}
        for server in doubted.values():
            self.put(server)
        return list(doubted)

    def doubted(self) -> set[str]:
        """Return the servers whose entries are in doubt."""
        return set(self._doubted)

    def is_near_removal(self, name: str, now: float) -> bool:
        """Return whether a grace period is too close to its end for new work.

        This is checked on every use, because `expire` runs only periodically.
        """
        until = self._grace_ends_at.get(name)
        return until is not None and now >= until - PLACEMENT_MARGIN_S

    def get(self, name: str) -> EntryServer | None:
        """Return the server with a name, or None if it is unknown."""
        return self._servers.get(name)

    def last_known(self, name: str) -> EntryServer | None:
        """Return the last entry of a server, also after its removal.

        A server may still answer requests after the removal of its entry, and the entry
        may be written again with the same start time.
        """
        return self._servers.get(name) or self._departed.get(name)

    def near_removal(self, now: float) -> set[str]:
        """Return the servers for which `is_near_removal` is true."""
        return {name for name in self._grace_ends_at if self.is_near_removal(name, now)}

    def live_servers(self, service: str) -> tuple[EntryServer, ...]:
        """Return the servers of a service that accept new work."""
        servers = self._live.get(service)
        if servers is None:
            servers = tuple(
                server
                for server in self._servers.values()
                if server.service == service and server.state == ServerState.LIVE
            )
            if servers:
                self._live[service] = servers
        return servers

    def all(self) -> list[EntryServer]:
        """Return all known servers in any state."""
        return list(self._servers.values())

    def _delete(self, name: str) -> None:
        self._grace_ends_at.pop(name, None)
        server = self._servers.pop(name, None)
        if server is None:
            return
        self._live.pop(server.service, None)
        if self._name_by_address.get(server.address) == name:
            del self._name_by_address[server.address]
        self._doubted.pop(name, None)
        self._departed[name] = server
        while len(self._departed) > MAX_DEPARTED:
            del self._departed[next(iter(self._departed))]


def _started_before(server: EntryServer, other: EntryServer) -> bool:
    """Return whether a server started before another; False if a start is unknown."""
    return 0 < server.started_at_ms < other.started_at_ms
