"""Choose the servers of plain requests."""

import math
from collections.abc import Callable, Iterable, Mapping

from sesameport.admission.fleet_use import FleetUse
from sesameport.domain import ServerRole
from sesameport.entry.servers import EntryServer

__all__ = ["choose_plain_server"]


def choose_plain_server(
    data_centre: str,
    servers: Iterable[EntryServer],
    use: FleetUse,
    cost_factor: Callable[[str], float],
    excluded: frozenset[str] = frozenset(),
    time_factors: Mapping[str, float] | None = None,
) -> EntryServer | None:
    """Return the plain server with the shortest expected response time, or None.

    ``time_factors`` has the service times of servers that differ from the typical one,
    as multiples of it. The response time is the service time multiplied by the requests
    per slot. While a server has free slots, an even load decides between equal times.
    """
    best, best_cost = None, math.inf
    factors = time_factors or {}
    for server in servers:
        if server.role != ServerRole.PLAIN or server.name in excluded:
            continue
        load = (use.total_for(server.name).active_requests + 1) / server.slots
        factor = factors.get(server.name, 1.0)
        cost = factor * load if load >= 1.0 else factor - 1.0 + load
        if server.data_centre != data_centre:
            cost *= 1.1
        cost *= cost_factor(server.name)
        if cost < best_cost:
            best, best_cost = server, cost
    return best
