"""Find the route, workspace and service of a request in one configuration."""

import hashlib

import attrs

from sesameport.entry.contracts import (
    EntryConfiguration,
    EntryRoute,
    EntryWorkspace,
)

__all__ = ["RouteTable"]


@attrs.define
class RouteTable:
    """Index one configuration by host, path and key.

    Examples
    --------
    >>> from sesameport.entry.contracts import EntryConfiguration
    >>> RouteTable.of(EntryConfiguration(1)).find_route("a.example", "/x/1") is None
    True
    """

    configuration: EntryConfiguration
    _by_host: dict[str, list[EntryRoute]]
    _by_key: dict[str, EntryWorkspace]

    @classmethod
    def of(cls, configuration: EntryConfiguration) -> "RouteTable":
        """Build the index; the longest prefix of a host comes first."""
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
        return cls(configuration, by_host, by_key)

    def find_route(self, host: str, target: str) -> EntryRoute | None:
        """Return the route with the longest prefix of the target's path."""
        name = host.lower()
        routes = self._by_host.get(name) or self._by_host.get(name.partition(":")[0])
        path = target.partition("?")[0]
        for route in routes or ():
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_workspace(self, digest: str) -> EntryWorkspace | None:
        """Return the workspace that holds the key of a digest."""
        return self._by_key.get(digest)

    def needs_key(self, route: EntryRoute) -> bool:
        """Tell whether a route's callers have to present a key."""
        return bool(self.configuration.workspaces) and not route.is_open

    def choose_service(self, route: EntryRoute, request_id: str) -> str:
        """Choose the service of a request by the route's weights.

        The choice follows from the request's id, so that every host makes the same.
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
