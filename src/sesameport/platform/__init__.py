"""Translate between the users' platform and the project.

Only this package knows the platform's names. It decodes the wire formats into types
of ``sesameport.entry`` and encodes what the project sends.
"""

from result import Result

from sesameport.adapters.cancellable_socket import Account, ReadInterrupt
from sesameport.entry.configuration import EntryConfiguration
from sesameport.entry.requests import EntryRequest
from sesameport.entry.server_notices import OnNotice
from sesameport.entry.servers import EntryServer
from sesameport.entry.store_era import StoreEra
from sesameport.platform import callers, configuration, evacuations, servers
from sesameport.platform.engines import ReplicaClient
from sesameport.platform.orders import ReplicaOrderClient
from sesameport.platform.settings import is_platform_settings, load_platform_settings
from sesameport.platform.store import ObjectStoreClient

__all__ = ["HttpPlatformAdapter", "is_platform_settings", "load_platform_settings"]

_READINESS_CHECK = ("GET", "/v1/ready")
"""Method and path of the load balancer's readiness check."""


class HttpPlatformAdapter:
    """Provide an entry host with the platform's clients and decoders.

    This class implements the protocol ``PlatformAdapter`` of ``sesameport.entry``.
    """

    configuration_kind = configuration.CONFIGURATION_KIND
    configuration_name = configuration.CONFIGURATION_NAME
    server_kind = servers.SERVER_KIND
    evacuation_kind = evacuations.EVACUATION_KIND

    def create_store_client(
        self, address: str, account: Account, era: StoreEra
    ) -> ObjectStoreClient:
        """Return a client of the object store at an address."""
        return ObjectStoreClient(address, account=account, era=era)

    def create_server_client(
        self,
        on_notice: OnNotice,
        account: Account,
        buffer_bytes: int = 0,
        interrupt: ReadInterrupt | None = None,
    ) -> ReplicaClient:
        """Return a client that sends requests to replicas."""
        return ReplicaClient(on_notice, account, buffer_bytes, interrupt)

    def create_order_client(self, on_notice: OnNotice) -> ReplicaOrderClient:
        """Return a client that sends orders to replicas."""
        return ReplicaOrderClient(on_notice)

    def decode_configuration(self, value: bytes) -> Result[EntryConfiguration, str]:
        """Return a stored configuration, or an Err with the reason."""
        return configuration.decode_configuration(value)

    def decode_server(self, name: str, value: bytes) -> Result[EntryServer, str]:
        """Return the server of a registration, or an Err with the reason."""
        return servers.decode_server(name, value)

    def decode_evacuation(self, name: str, value: bytes) -> Result[str, str]:
        """Return the data centre of an evacuation, or an Err with the reason."""
        return evacuations.decode_evacuation(name, value)

    def decode_request(
        self, method: str, target: str, headers, body: bytes, now: float
    ) -> Result[EntryRequest, str]:
        """Return a caller's decoded request, or an Err with the reason."""
        return callers.decode_request(method, target, headers, body, now)

    def stated_wait_s(self, headers) -> float:
        """Return how long a caller waits according to its headers, seconds."""
        return callers.stated_wait_s(headers)

    def extract_key(self, headers) -> str:
        """Return the API key in a caller's headers."""
        return callers.extract_key(headers)

    def is_readiness_check(self, method: str, target: str) -> bool:
        """Return whether a request is the load balancer's readiness check."""
        return (method, target.partition("?")[0]) == _READINESS_CHECK
