"""Describe the places of a deployment: data centres, hosts, servers and links."""

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
    """Name the work that a backend server does."""

    PREFILL = "prefill"
    DECODE = "decode"
    BOTH = "both"
    PLAIN = "plain"


class ServerState(enum.StrEnum):
    """Name the state in which the platform lists a host or backend server."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class DataCentre:
    """Describe a data centre and the region it belongs to."""

    name: str
    region: str


@attrs.frozen
class Host:
    """Describe one entry host, which runs one daemon.

    Attributes
    ----------
    name : str
        Name of the host, unique in the deployment.
    data_centre : str
        Name of its data centre.
    caller_address : str
        ``IP:port`` of the caller interface.
    peer_address : str
        ``IP:port`` of the link to other hosts.
    peer_public_key : str
        CURVE public key, Z85 text. Empty when the link is not encrypted.
    state : ServerState
        State in the platform's list.
    status_address : str
        ``IP:port`` of the status interface. Empty when operators do not reach it.
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
    """Describe one backend server.

    Attributes
    ----------
    name : str
        Name of the server, unique in the deployment.
    service : str
        Service document that the server belongs to.
    server_class : str
        Name of a class in that document.
    data_centre : str
        Name of its data centre.
    address : str
        ``IP:port`` at which it answers.
    role : ServerRole
        Work that it does now.
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
        """Tell whether the server runs prefills."""
        return self.role in (ServerRole.PREFILL, ServerRole.BOTH)

    def can_decode(self) -> bool:
        """Tell whether the server runs decodes."""
        return self.role in (ServerRole.DECODE, ServerRole.BOTH)


@attrs.frozen
class Link:
    """Describe the KV transfer link between two data centres, in bytes per second."""

    source: str
    target: str
    bytes_per_s: float
