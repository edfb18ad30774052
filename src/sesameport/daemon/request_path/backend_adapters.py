"""Create and cache one adapter per backend server."""

import threading

from sesameport.adapters import (
    BulkheadEngine,
    BulkheadPlainService,
    Bulkheads,
    HttpEngine,
    HttpPlainService,
)
from sesameport.daemon.fleet.configuration_snapshot import ConfigurationPublisher

__all__ = ["BackendAdapters"]


class BackendAdapters:
    """Create and cache the adapters of backend servers.

    Parameters
    ----------
    configuration : ConfigurationPublisher
        Current backend servers.
    idle_timeout_s : float
        Longest time without data from an engine before a call fails, seconds.
    bulkheads : Bulkheads, optional
        Concurrency limits of calls to each server.
    """

    def __init__(
        self,
        configuration: ConfigurationPublisher,
        idle_timeout_s: float,
        bulkheads: Bulkheads | None = None,
    ):
        self.bulkheads = bulkheads or Bulkheads()
        self._configuration = configuration
        self._idle_timeout_s = idle_timeout_s
        self._lock = threading.Lock()
        self._engines: dict[tuple[str, str], BulkheadEngine] = {}
        self._plain_services: dict[tuple[str, str], BulkheadPlainService] = {}

    def find_engine(self, name: str) -> BulkheadEngine | None:
        """Return the adapter of an engine, or None if the server is not listed."""
        return self._find(name, self._engines, self._new_engine)

    def find_plain_service(self, name: str) -> BulkheadPlainService | None:
        """Return the adapter of a plain server, or None if it is not listed."""
        return self._find(name, self._plain_services, self._new_plain_service)

    def _new_engine(self, server) -> BulkheadEngine:
        engine = HttpEngine(server.name, server.address, self._idle_timeout_s)
        return BulkheadEngine(engine, self._find_bulkheads(server))

    def _new_plain_service(self, server) -> BulkheadPlainService:
        service = HttpPlainService(server.address)
        return BulkheadPlainService(service, self._find_bulkheads(server))

    def _find_bulkheads(self, server):
        return self.bulkheads.for_server(
            server.data_centre, server.service, server.server_class
        )

    def _find(self, name, adapters, create_adapter):
        server = self._configuration.current.find_server(name)
        if server is None:
            return None
        key = (name, server.address)
        with self._lock:
            if key not in adapters:
                adapters[key] = create_adapter(server)
            return adapters[key]
