"""Track what the attempts of one request hold on servers and in the router."""

import attrs

from sesameport.requests.actions import (
    Action,
    CancelHold,
    CloseHold,
    DecodeEnded,
    OpenHold,
    PrefillEnded,
)
from sesameport.routing import Placement

__all__ = ["OpenHolds", "RouterShares"]


@attrs.define
class OpenHolds:
    """Hold the pairs of server and attempt that may hold something."""

    _open: dict[tuple[str, str], None] = attrs.field(factory=dict)

    def open(self, server: str, attempt_id: str) -> list[Action]:
        """Record a hold before the call that takes it."""
        self._open[server, attempt_id] = None
        return [OpenHold(server, attempt_id)]

    def close(self, server: str, attempt_id: str) -> list[Action]:
        """Record that the server released the hold by itself."""
        if (server, attempt_id) not in self._open:
            return []
        del self._open[server, attempt_id]
        return [CloseHold(server, attempt_id)]

    def cancel(self, server: str, attempt_id: str) -> list[Action]:
        """Turn one open hold into a cancel."""
        if (server, attempt_id) not in self._open:
            return []
        del self._open[server, attempt_id]
        return [CancelHold(server, attempt_id)]

    def cancel_all(self) -> list[Action]:
        """Turn every open hold into a cancel."""
        actions: list[Action] = [CancelHold(*pair) for pair in self._open]
        self._open.clear()
        return actions


@attrs.define
class RouterShares:
    """Release the router's prefill share and decode slot exactly once each."""

    placement: Placement | None = None
    _prefill: bool = False
    _decode: bool = False

    def take(self, placement: Placement) -> None:
        """Record a placement that counts a prefill share and a decode slot."""
        self.placement = placement
        self._prefill = self._decode = True

    def take_decode(self, placement: Placement) -> None:
        """Record a placement that counts a decode slot only."""
        self.placement = placement
        self._decode = True

    def end_prefill(self) -> list[Action]:
        """Release the prefill share if it is still taken."""
        if not self._prefill:
            return []
        self._prefill = False
        return [PrefillEnded(self.placement)]

    def end_decode(self) -> list[Action]:
        """Release the decode slot if it is still taken."""
        if not self._decode:
            return []
        self._decode = False
        return [DecodeEnded(self.placement)]

    def end_both(self) -> list[Action]:
        """Release everything that is still taken."""
        return self.end_prefill() + self.end_decode()
