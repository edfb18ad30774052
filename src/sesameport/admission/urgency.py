"""Decide which services have callers of different ranks.

The rank of a request is the priority of its workspace or its route, 0 to 9 with 0
first. Engines admit and preempt by the rank. A service is ranked if its callers have
different ranks.
"""

from sesameport.entry.configuration import EntryConfiguration, EntryRoute

__all__ = ["MAX_RANK", "clamp_rank", "ranked_services", "ranks_by_service"]

MAX_RANK = 9
"""Least urgent rank. Engines accept the priorities 0 to 9."""


def clamp_rank(priority: int) -> int:
    """Return the rank of a priority; values outside 0 to 9 count as the nearest."""
    return min(MAX_RANK, max(0, priority))


def ranked_services(configuration: EntryConfiguration) -> frozenset[str]:
    """Return the services whose callers have different ranks."""
    ranks = ranks_by_service(configuration)
    return frozenset(service for service, found in ranks.items() if len(found) > 1)


def ranks_by_service(configuration: EntryConfiguration) -> dict[str, frozenset[int]]:
    """Return the ranks that the callers of each service may have."""
    ranks: dict[str, frozenset[int]] = {}
    for route in configuration.routes:
        found = _ranks_of(route, configuration)
        for share in route.shares:
            if share.weight <= 0 and len(route.shares) > 1:
                continue
            ranks[share.service] = ranks.get(share.service, frozenset()) | found
    return ranks


def _ranks_of(route: EntryRoute, configuration: EntryConfiguration) -> frozenset[int]:
    """Return the ranks that the callers of a route may have."""
    if route.is_open or not configuration.workspaces:
        return frozenset({clamp_rank(route.priority)})
    return frozenset(
        clamp_rank(route.priority if workspace.priority is None else workspace.priority)
        for workspace in configuration.workspaces
    )
