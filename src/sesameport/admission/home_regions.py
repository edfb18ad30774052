"""Restrict requests to the servers of their home regions.

A route and a workspace may each name the regions in which their requests, the KV caches
of these and their resumed streams may be. The settings of a host map data centres to
regions. A data centre without a region is in none of them.
"""

from collections.abc import Iterable, Mapping

from sesameport.entry.servers import EntryServer

__all__ = ["combine_regions", "filter_by_region"]


def combine_regions(
    route_regions: tuple[str, ...], workspace_regions: tuple[str, ...]
) -> frozenset[str] | None:
    """Return the regions that a route and a workspace both allow.

    An empty tuple restricts nothing. Return None if neither restricts anything.

    Examples
    --------
    >>> combine_regions(("north", "south"), ("south", "west"))
    frozenset({'south'})
    >>> combine_regions((), ()) is None
    True
    """
    if not route_regions and not workspace_regions:
        return None
    if not route_regions or not workspace_regions:
        return frozenset(route_regions or workspace_regions)
    return frozenset(route_regions) & frozenset(workspace_regions)


def filter_by_region(
    servers: Iterable[EntryServer],
    allowed: frozenset[str] | None,
    regions: Mapping[str, str],
) -> list[EntryServer]:
    """Return the servers in the allowed regions, all of them if ``allowed`` is None.

    ``regions`` has the region of each data centre.
    """
    if allowed is None:
        return list(servers)
    return [server for server in servers if regions.get(server.data_centre) in allowed]
