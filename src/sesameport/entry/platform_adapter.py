"""Define the interface between an entry host and the users' platform."""

from typing import Protocol

from result import Result

from sesameport.adapters.cancellable_socket import Account, ReadInterrupt
from sesameport.entry.configuration import EntryConfiguration
from sesameport.entry.requests import EntryRequest, ServerClient
from sesameport.entry.role_controller import EngineOrderClient
from sesameport.entry.server_notices import OnNotice
from sesameport.entry.servers import EntryServer
from sesameport.entry.store_era import StoreEra
from sesameport.interfaces import Platform

__all__ = ["PlatformAdapter"]


class PlatformAdapter(Protocol):
    """Adapt a users' platform to the router; see ``sesameport.platform``."""

    configuration_kind: str
    configuration_name: str
    server_kind: str
    evacuation_kind: str

    def create_store_client(
        self, address: str, account: Account, era: StoreEra
    ) -> Platform:
        """Return a client of the store that records the era of each response.

        The responses are charged to the account.
        """
        ...

    def create_server_client(
        self,
        on_notice: OnNotice,
        account: Account,
        buffer_bytes: int = 0,
        interrupt: ReadInterrupt | None = None,
    ) -> ServerClient:
        """Return a client that calls ``on_notice`` for each answer of a server.

        ``buffer_bytes`` is the size of the receive buffer of each connection, and
        ``interrupt`` ends calls that wait for an answer when the process ends.
        """
        ...

    def create_order_client(self, on_notice: OnNotice) -> EngineOrderClient:
        """Return a client that calls ``on_notice`` for each answer of an engine."""
        ...

    def decode_configuration(self, value: bytes) -> Result[EntryConfiguration, str]:
        """Return the stored configuration, or an Err with the reason."""
        ...

    def decode_server(self, name: str, value: bytes) -> Result[EntryServer, str]:
        """Return the entry of a server, or an Err with the reason."""
        ...

    def decode_evacuation(self, name: str, value: bytes) -> Result[str, str]:
        """Return the evacuated data centre, or an Err with the reason."""
        ...

    def decode_request(
        self, method: str, target: str, headers, body: bytes, now: float
    ) -> Result[EntryRequest, str]:
        """Return a caller's request, or an Err with the reason."""
        ...

    def stated_wait_s(self, headers) -> float:
        """Return how long a caller waits according to its headers, seconds."""
        ...

    def extract_key(self, headers) -> str:
        """Return the API key in the headers of a request."""
        ...

    def is_readiness_check(self, method: str, target: str) -> bool:
        """Return whether a request is the load balancer's readiness check."""
        ...
