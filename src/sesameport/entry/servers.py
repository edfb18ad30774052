"""Describe a backend server as it registered itself."""

import attrs

from sesameport.world import ServerRole, ServerState

__all__ = ["EntryServer"]


@attrs.frozen
class EntryServer:
    """Describe one registered backend server.

    Attributes
    ----------
    name : str
        Id of the server.
    service : str
        Service that it belongs to.
    address : str
        ``IP:port`` at which it answers; may be used again after the server ended.
    data_centre : str
        Name of its data centre.
    role : ServerRole
        Work that it does.
    state : ServerState
        Whether it takes new work.
    slots : int
        Requests that it runs at once.
    started_at_ms : int
        Start of this incarnation, Unix milliseconds; 0 when it is not known.
    """

    name: str
    service: str
    address: str
    data_centre: str
    role: ServerRole
    state: ServerState = ServerState.LIVE
    slots: int = 1
    started_at_ms: int = 0

    def can_decode(self) -> bool:
        """Tell whether the server runs generations."""
        return self.role in (ServerRole.DECODE, ServerRole.BOTH)

    def can_prefill(self) -> bool:
        """Tell whether the server reads prompts for others."""
        return self.role in (ServerRole.PREFILL, ServerRole.BOTH)
