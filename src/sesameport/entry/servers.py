"""Define the registration of a backend server."""

import attrs

from sesameport.domain import ServerRole, ServerState

__all__ = ["EntryServer"]

_DECODE_ROLES = (ServerRole.DECODE, ServerRole.BOTH)
_PREFILL_ROLES = (ServerRole.PREFILL, ServerRole.BOTH)


@attrs.frozen
class EntryServer:
    """Represent one registered backend server.

    Attributes
    ----------
    name : str
        Id of the server.
    service : str
        Service that it belongs to.
    address : str
        ``IP:port`` of the server; another server may reuse it later.
    data_centre : str
        Name of its data centre.
    role : ServerRole
        Whether it runs prefills, decodes or both.
    state : ServerState
        Whether it accepts new requests.
    slots : int
        Number of requests that it runs concurrently.
    started_at_ms : int
        Start time of this incarnation, Unix milliseconds; 0 if unknown.
    cold_remaining_s : float
        Time for which it stated to stay cold when it wrote the entry, seconds. It is
        not compared, because a countdown is no change of the entry.
    """

    name: str
    service: str
    address: str
    data_centre: str
    role: ServerRole
    state: ServerState = ServerState.LIVE
    slots: int = 1
    started_at_ms: int = 0
    cold_remaining_s: float = attrs.field(default=0.0, eq=False)

    def is_plain(self) -> bool:
        """Return whether the server belongs to a plain service."""
        return self.role == ServerRole.PLAIN

    def can_decode(self) -> bool:
        """Return whether the server can decode."""
        return self.role in _DECODE_ROLES

    def can_prefill(self) -> bool:
        """Return whether the server can run prefills for other servers."""
        return self.role in _PREFILL_ROLES
