"""Look up the route, workspace and service of a request."""

import hashlib

import attrs

from sesameport.admission.urgency import clamp_rank, ranked_services
from sesameport.entry.configuration import (
    EntryConfiguration,
    EntryRoute,
    EntryWorkspace,
    RequestKind,
)

__all__ = ["RouteTable"]


@attrs.define
class RouteTable:
    """Index a configuration by host, path prefix and key digest.

    Examples
    --------
    >>> from sesameport.entry.configuration import EntryConfiguration
    >>> table = RouteTable.from_configuration(EntryConfiguration(1))
    >>> table.find_route("a.example", "/x/1") is None
    True
    """

    configuration: EntryConfiguration
    _by_host: dict[str, list[EntryRoute]]
    _by_key: dict[str, EntryWorkspace]
    _ranked: frozenset[str] = frozenset()

    @classmethod
    def from_configuration(cls, configuration: EntryConfiguration) -> "RouteTable":
        """Build the index, with the routes of a host sorted by longest prefix."""
        by_host: dict[str, list[EntryRoute]] = {}
        for route in configuration.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))
        by_key = {
            digest: workspace
            for workspace in configuration.workspaces
            for digest in workspace.key_digests
        }
        return cls(configuration, by_host, by_key, ranked_services(configuration))

    def find_route(self, host: str, target: str) -> EntryRoute | None:
        """Return the route with the longest matching path prefix, or None."""
        name = host.lower()
        routes = self._by_host.get(name) or self._by_host.get(name.partition(":")[0])
        path = target.partition("?")[0]
        for route in routes or ():
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_workspace(self, digest: str) -> EntryWorkspace | None:
        """Return the workspace of a key digest, or None."""
        return self._by_key.get(digest)

    def needs_key(self, route: EntryRoute) -> bool:
        """Return whether callers of a route must present a key."""
        return bool(self.configuration.workspaces) and not route.is_open

    def rank(self, route: EntryRoute, service: str, priority: int) -> int | None:
        """Return the rank that calls to engines state, or None.

        Calls state ranks only where the callers of a service have different
        ones.
        """
        if route.kind != RequestKind.STREAM or service not in self._ranked:
            return None
        return clamp_rank(priority)

    def choose_service(self, route: EntryRoute, request_id: str) -> str:
        """Choose the service of a request by the weights of the route.

        The choice is a hash of the request id, so every host makes the same choice.
        """
        if len(route.shares) == 1:
            return route.shares[0].service
        total = sum(share.weight for share in route.shares)
        digest = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
        point = int.from_bytes(digest) / 2**64 * total
        for share in route.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return next(
            share.service for share in reversed(route.shares) if share.weight > 0
        )
