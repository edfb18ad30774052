"""Plan leases of decode memory and avoid engines that refused one."""

from sesameport.admission import (
    FleetUse,
    GenerationRequest,
    LeasePolicy,
    Placement,
    RefusedMemory,
    plan_lease,
)
from sesameport.entry import messages as m
from sesameport.entry.configuration import EngineProfile
from sesameport.entry.permit_exchange import PermitExchange
from sesameport.entry.servers import EntryServer

__all__ = ["LeasePlanner"]


class LeasePlanner:
    """Plan the leases of one host; not thread-safe.

    Parameters
    ----------
    use : FleetUse
        Use of each engine by all hosts.
    permits : PermitExchange
        Knows the engines that have a limit of requests, also those that are cold. They
        get no calls for leases, because each of these would count against the limit.
    policy : LeasePolicy
        Thresholds and times.
    """

    def __init__(
        self,
        use: FleetUse,
        permits: PermitExchange,
        policy: LeasePolicy | None = None,
    ):
        self._use = use
        self._permits = permits
        self._policy = policy or LeasePolicy()
        self._refused = RefusedMemory(self._policy)

    def plan(
        self, placement: Placement, engine: EngineProfile, now: float
    ) -> Placement:
        """Return a placement with its lease; see ``plan_lease``."""
        if self._permits.is_limited(placement.decode.name, now):
            return placement
        return plan_lease(placement, engine, self._use, self._policy)

    def usable(
        self, servers: list[EntryServer], req: GenerationRequest, now: float
    ) -> list[EntryServer]:
        """Return the servers that did not refuse as much memory a moment ago."""
        if not self._refused:
            return servers
        needed = req.prompt_tokens + self._policy.first_tokens
        return [
            server for server in servers if self._refused.fits(server.name, needed, now)
        ]

    def record_refusal(self, message: m.MemoryRefused, now: float) -> float:
        """Record that an engine refused a lease; return when to place again."""
        return self._refused.record(message.server, message.kv_tokens, now)
