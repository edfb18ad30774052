"""Track the resources that one request holds on servers and in the router."""

import attrs

from sesameport.requests.actions import (
    Action,
    CancelHold,
    CloseHold,
    OpenHold,
    ReleaseDecodeSlot,
    ReleasePrefillShare,
)
from sesameport.routing import Placement

__all__ = ["OpenHolds", "RouterReservations"]


@attrs.define
class OpenHolds:
    """Track the attempts of one request that may hold resources on a server."""

    _open: dict[tuple[str, str], None] = attrs.field(factory=dict)

    def open(self, server: str, attempt_id: str) -> list[Action]:
        """Add a hold and return the action to perform before its call is sent."""
        self._open[server, attempt_id] = None
        return [OpenHold(server, attempt_id)]

    def close(self, server: str, attempt_id: str) -> list[Action]:
        """Remove a hold that the server has released and return the action for it."""
        if (server, attempt_id) not in self._open:
            return []
        del self._open[server, attempt_id]
        return [CloseHold(server, attempt_id)]

    def cancel(self, server: str, attempt_id: str) -> list[Action]:
        """Remove an open hold and return the action that cancels it."""
        if (server, attempt_id) not in self._open:
            return []
        del self._open[server, attempt_id]
        return [CancelHold(server, attempt_id)]

    def cancel_all(self) -> list[Action]:
        """Remove all open holds and return the actions that cancel them."""
        actions: list[Action] = [CancelHold(*pair) for pair in self._open]
        self._open.clear()
        return actions


@attrs.define
class RouterReservations:
    """Release the router's prefill share and decode slot exactly once each."""

    placement: Placement | None = None
    _has_prefill_share: bool = False
    _has_decode_slot: bool = False

    def record_placement(self, placement: Placement) -> None:
        """Record a placement that reserves a prefill share and a decode slot."""
        self.placement = placement
        self._has_prefill_share = self._has_decode_slot = True

    def record_decode_placement(self, placement: Placement) -> None:
        """Record a placement that reserves only a decode slot."""
        self.placement = placement
        self._has_decode_slot = True

    def release_prefill_share(self) -> list[Action]:
        """Return the action that releases the prefill share, if still reserved."""
        if not self._has_prefill_share:
            return []
        self._has_prefill_share = False
        return [ReleasePrefillShare(self.placement)]

    def release_decode_slot(self) -> list[Action]:
        """Return the action that releases the decode slot, if still reserved."""
        if not self._has_decode_slot:
            return []
        self._has_decode_slot = False
        return [ReleaseDecodeSlot(self.placement)]

    def release_all(self) -> list[Action]:
        """Return the actions that release what is still reserved."""
        return self.release_prefill_share() + self.release_decode_slot()
