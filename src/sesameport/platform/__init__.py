"""Translate between the users' platform and the project.

Nothing outside this package knows the platform's names. Its modules decode the wire
into types of ``sesameport.entry`` and encode what the project sends.
"""

from result import Result

from sesameport.entry.configuration import EntryConfiguration
from sesameport.entry.requests import EntryRequest
from sesameport.entry.servers import EntryServer
from sesameport.platform import callers, configuration, servers
from sesameport.platform.engines import ReplicaCalls
from sesameport.platform.orders import ReplicaOrders
from sesameport.platform.settings import is_platform_settings, load_platform_settings
from sesameport.platform.store import ObjectStore

__all__ = ["PlatformWire", "is_platform_settings", "load_platform_settings"]

_READY = ("GET", "/v1/ready")


class PlatformWire:
    """Bundle the translations; satisfies ``entry.host.Wire``."""

    configuration_kind = configuration.CONFIGURATION_KIND
    configuration_name = configuration.CONFIGURATION_NAME
    server_kind = servers.SERVER_KIND

    def store(self, address: str) -> ObjectStore:
        """Return a client of the store."""
        return ObjectStore(address)

    def calls(self) -> ReplicaCalls:
        """Return a client of replicas."""
        return ReplicaCalls()

    def orders(self) -> ReplicaOrders:
        """Return access to the orders of replicas."""
        return ReplicaOrders()

    def decode_configuration(self, value: bytes) -> Result[EntryConfiguration, str]:
        """Read a stored configuration."""
        return configuration.decode_configuration(value)

    def decode_server(self, name: str, value: bytes) -> Result[EntryServer, str]:
        """Read the entry of a replica."""
        return servers.decode_server(name, value)

    def decode_request(
        self, method: str, target: str, headers, body: bytes, now: float
    ) -> Result[EntryRequest, str]:
        """Read a caller's request."""
        return callers.decode_request(method, target, headers, body, now)

    def extract_key(self, headers) -> str:
        """Return the key that a caller presents."""
        return callers.extract_key(headers)

    def is_readiness_check(self, method: str, target: str) -> bool:
        """Tell whether a request is the balancer's question."""
        return (method, target.partition("?")[0]) == _READY
