"""Request permits for engines that name limits, and forecast the wait for them."""

from sesameport.admission import Placement, Shortage
from sesameport.entry.permit_exchange import PermitExchange, PermitWait
from sesameport.entry.server_monitor import ServerMonitor
from sesameport.entry.servers import EntryServer

__all__ = ["PLACE_AGAIN_S", "GenerationLimits"]

PLACE_AGAIN_S = 0.02
"""Time after which a request that can be placed is placed, seconds, if it waited for a
permit that was denied."""

MAX_PREFILL_PERMIT_WAIT_S = 0.15
"""Time after which a decode engine runs a prefill although a permit for a prefill
engine may still come, seconds."""


class GenerationLimits:
    """Apply the limits of engines to generations that wait; not thread-safe.

    A generation needs a permit for its decode engine and one for its prefill engine if
    these name limits.

    Parameters
    ----------
    monitor : ServerMonitor
        Usable servers.
    permits : PermitExchange
        Permits of this host.
    """

    def __init__(self, monitor: ServerMonitor, permits: PermitExchange):
        self._monitor = monitor
        self._permits = permits

    def ask(self, service: str, short: set[Shortage], need: int, now: float) -> None:
        """Request permits for ``need`` waiting generations that lack a resource.

        Where all engines of a role name limits, one permit is requested in advance for
        the next generation.
        """
        for shortage, servers in self._by_role(service, now):
            if shortage not in short:
                self._permits.ask(servers, 1, now)
                continue
            limited = [
                server.name
                for server in servers
                if self._permits.is_limited(server.name, now)
            ]
            self._permits.ask_limited(limited, need, now)

    def wait_for(self, service: str, rank: int, now: float) -> PermitWait | None:
        """Return the wait of a generation for permits.

        ``rank`` is the number of generations that are served before it on this host.
        Return None if an engine of each role has no limit, or if it is not known.
        """
        waits = [
            self._permits.wait_for(servers, rank, now)
            for _, servers in self._by_role(service, now)
        ]
        known = [wait for wait in waits if wait is not None]
        return max(known, key=lambda wait: wait.seconds, default=None)

    def decode_wait_for(self, service: str, rank: int, now: float) -> PermitWait | None:
        """Return the wait for a permit of a limited decode engine.

        Return None without such an engine, or if the wait is not known.
        """
        return self._permits.wait_for(self._limited_decode(service, now), rank, now)

    def should_wait(self, placement: Placement, waited_s: float, now: float) -> bool:
        """Return whether a request should wait for a permit of a prefill engine.

        Otherwise a decode engine runs its prefill, which takes longer and stalls the
        streams there.
        """
        if placement.prefill is not None or placement.is_prefilled:
            return False
        if waited_s >= MAX_PREFILL_PERMIT_WAIT_S:
            return False
        prefill = self._limited_prefill(placement.decode.service, now)
        if not prefill:
            return False
        wait = self._permits.wait_for(prefill, 0, now)
        return wait is None or wait.is_reserved

    def has_permit(self, service: str, now: float) -> bool:
        """Return whether this host has a permit for a decode engine now."""
        return any(
            self._permits.may_send(server.name, now)
            for server in self._limited_decode(service, now)
        )

    def may_get_permit(self, service: str, now: float) -> bool:
        """Return whether a permit may serve a request for which no memory is free."""
        return bool(self._limited_decode(service, now)) or bool(
            self._limited_prefill(service, now)
        )

    def _limited_prefill(self, service: str, now: float) -> list[EntryServer]:
        """Return the usable prefill engines if all of them name limits."""
        if not self._permits.has_limits(now):
            return []
        usable = self._monitor.usable_servers(service, now)
        prefill = [server for server in usable if server.can_prefill()]
        if all(self._permits.is_limited(server.name, now) for server in prefill):
            return prefill
        return []

    def _limited_decode(self, service: str, now: float) -> list[EntryServer]:
        if not self._permits.has_limits(now):
            return []
        return [
            server
            for server in self._monitor.decode_servers(service, now)
            if self._permits.is_limited(server.name, now)
        ]

    def _by_role(
        self, service: str, now: float
    ) -> list[tuple[Shortage, list[EntryServer]]]:
        """Return pairs of a shortage and the usable servers that would end it."""
        if not self._permits.has_limits(now):
            return []
        usable = self._monitor.usable_servers(service, now)
        decode = [server for server in usable if server.can_decode()]
        prefill = [server for server in usable if server.can_prefill()]
        return [(Shortage.MEMORY, decode), (Shortage.PREFILL_SERVER, prefill)]
