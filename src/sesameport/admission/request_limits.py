"""Combine the rates of requests that a server takes into one limit.

A server may state a limit in its answers, and a cold server takes a cold rate. The
smaller of the two applies.
"""

import attrs

from sesameport.admission.cold_servers import ColdServers
from sesameport.admission.server_notices import ServerNotices

__all__ = ["RequestLimits"]


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
