"""Answer questions about the servers and hosts that one host knows."""

from sesameport.entry import messages as m
from sesameport.entry.admission_controller import AdmissionController
from sesameport.entry.host_addresses import HostAddresses

__all__ = ["FleetQueries"]


class FleetQueries:
    """Answer the queries that the entry actor gets; not thread-safe.

    Parameters
    ----------
    host : str
        Name of this host.
    admission : AdmissionController
        Holds the servers and their use.
    addresses : HostAddresses
        Holds the other hosts.
    """

    def __init__(
        self, host: str, admission: AdmissionController, addresses: HostAddresses
    ):
        self._host = host
        self._admission = admission
        self._addresses = addresses

    def counts(self, message: m.GetFleetCounts, now: float) -> m.FleetCounts:
        """Return the numbers of known servers and of hosts that report."""
        admission = self._admission
        return m.FleetCounts(len(admission.registry.all()), len(admission.use.hosts()))

    def usable_servers(self, message: m.GetUsableServers, now: float) -> tuple:
        """Return the names of the servers that may get new requests."""
        services = {server.service for server in self._admission.registry.all()}
        return tuple(
            server.name
            for service in services
            for server in self._admission.monitor.usable_servers(service, now)
        )

    def expired_hosts(self, message: m.GetExpiredHosts, now: float) -> tuple[str, ...]:
        """Return the hosts to delete, if this host is the first by name."""
        if min([self._host, *self._admission.use.hosts()]) != self._host:
            return ()
        return self._addresses.expired(now)
