"""Release what a prefill has reserved."""

from sesameport.admission import Placement
from sesameport.entry import messages as m

__all__ = ["PrefillReservation"]


class PrefillReservation:
    """Report the end of a prefill to the actor, once.

    Each admitted generation has one. Whoever runs the generation ends it in any case,
    because hosts add up the reservations of an engine, and one without an end would
    count for as long as the process runs.

    Parameters
    ----------
    actor : pykka.ActorRef
        The entry actor.
    placement : Placement
        Engines of the generation. Without a prefill server, the decode server runs the
        prefill, and the first event of its response shows that it has ended.
    """

    def __init__(self, actor, placement: Placement):
        self._actor = actor
        self._placement = placement
        self._is_open = True

    def end(self, seconds: float = 0.0, succeeded: bool = False) -> None:
        """Release the reservation, unless that is done."""
        if self._is_open:
            self._is_open = False
            ended = m.PrefillEnded(self._placement, seconds, succeeded)
            self._actor.tell(ended)
