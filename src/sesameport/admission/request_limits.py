"""Combine the rates of requests that a server takes into one limit.

A server may state a limit in its answers, and a cold server takes a cold rate. The
smaller of the two applies.
"""

from collections.abc import Callable

import attrs

from sesameport.admission.cold_servers import ColdServers
from sesameport.admission.server_health import ServerHealth
from sesameport.admission.server_notices import ServerNotices

__all__ = ["RequestLimits"]

COLD_COST = 100.0
"""Cost multiplier of a cold engine. It exceeds the ratio of the costs of any two
engines that have room, so that a cold engine is chosen only if no other has."""


@attrs.frozen
class RequestLimits:
    """Look up the limits of servers.

    Attributes
    ----------
    notices : ServerNotices
        Limits that servers state.
    cold : ColdServers
        Cold servers and their rates.

    Examples
    --------
    >>> RequestLimits(ServerNotices(), ColdServers()).limit_of("s1", 0.0) is None
    True
    """

    notices: ServerNotices
    cold: ColdServers

    def limit_of(self, server: str, now: float) -> float | None:
        """Return the requests per second that a server takes, None without a limit."""
        stated = self.notices.limit_of(server)
        cold = self.cold.rate_of(server, now)
        if stated is None or cold is None:
            return cold if stated is None else stated
        return min(stated, cold)

    def is_cold(self, server: str, now: float) -> bool:
        """Return whether a cold rate applies to a server."""
        return self.cold.rate_of(server, now) is not None

    def has_limits(self, now: float) -> bool:
        """Return whether any server has a limit."""
        return bool(self.notices.limited()) or bool(self.cold.cold(now))

    def stated_age_s(self, server: str, now: float) -> float:
        """Return the time since a server stated its limit, 0 without one, seconds."""
        if self.notices.limit_of(server) is None:
            return 0.0
        return self.notices.age_s(server, now)

    def cost_factor(self, health: ServerHealth, now: float) -> Callable[[str], float]:
        """Return a function of the cost multiplier of an engine."""

        def factor(server: str) -> float:
            cost = health.cost_factor(server)
            return COLD_COST * cost if self.is_cold(server, now) else cost

        return factor
