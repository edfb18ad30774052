"""Report the end of a prefill that a decode server runs itself."""

from sesameport.admission import Placement
from sesameport.entry import messages as m

__all__ = ["LocalPrefill"]


class LocalPrefill:
    """Report to the actor once that a decode server has run the prefill itself.

    The first event of its response shows that the prefill has ended.
    """

    def __init__(self, actor, placement: Placement):
        self._actor = actor
        self._placement = placement
        self._is_open = placement.prefill is None and not placement.is_prefilled

    def report_end(self, succeeded: bool) -> None:
        """Release the decode server for the next local prefill."""
        if self._is_open:
            self._is_open = False
            self._actor.tell(m.PrefillEnded(self._placement, 0.0, succeeded))
