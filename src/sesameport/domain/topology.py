"""Define the topology of a deployment: data centres, hosts, servers and links."""

import enum

import attrs

__all__ = [
    "BackendServer",
    "DataCentre",
    "Host",
    "Link",
    "ServerRole",
    "ServerState",
]


class ServerRole(enum.StrEnum):
    """Enumerate the roles of backend servers."""

    PREFILL = "prefill"
    DECODE = "decode"
    BOTH = "both"
    PLAIN = "plain"


class ServerState(enum.StrEnum):
    """Enumerate the states that the platform lists for hosts and backend servers."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class DataCentre:
    """Represent a data centre and its region."""

    name: str
    region: str


@attrs.frozen
class Host:
    """Represent an entry host, which runs one daemon.

    Attributes
    ----------
    name : str
        Name of the host, unique in the deployment.
    data_centre : str
        Name of its data centre.
    caller_address : str
        ``IP:port`` at which callers connect.
    peer_address : str
        ``IP:port`` at which other hosts connect.
    peer_public_key : str
        CURVE public key in Z85; empty if connections between hosts are not encrypted.
    state : ServerState
        State in the platform's list.
    status_address : str
        ``IP:port`` of the status interface; empty if operators cannot reach it.
    """

    name: str
    data_centre: str
    caller_address: str = ""
    peer_address: str = ""
    peer_public_key: str = ""
    state: ServerState = ServerState.LIVE
    status_address: str = ""


@attrs.frozen
class BackendServer:
    """Represent a backend server.

    Attributes
    ----------
    name : str
        Name of the server, unique in the deployment.
    service : str
        Name of the service that the server runs.
    server_class : str
        Name of its server class in the service document.
    data_centre : str
        Name of its data centre.
    address : str
        ``IP:port`` at which it accepts requests.
    role : ServerRole
        Current role.
    state : ServerState
        State in the platform's list.
    """

    name: str
    service: str
    server_class: str
    data_centre: str
    address: str
    role: ServerRole
    state: ServerState = ServerState.LIVE

    def can_prefill(self) -> bool:
        """Return whether the server runs prefills."""
        return self.role in (ServerRole.PREFILL, ServerRole.BOTH)

    def can_decode(self) -> bool:
        """Return whether the server runs decodes."""
        return self.role in (ServerRole.DECODE, ServerRole.BOTH)


@attrs.frozen
class Link:
    """Represent the link for KV transfers from one data centre to another.

    ``bytes_per_s`` is its bandwidth in bytes per second.
    """

    source: str
    target: str
    bytes_per_s: float
