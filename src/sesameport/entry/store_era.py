"""Know which era of the platform's store is in force.

The store may come back from an older copy of itself. What was written since the copy is
then gone, leases too, and revisions are given out again. Each time its era rises by
one, and all its answers state the era. A revision, or a record that a host wrote,
therefore holds only together with the era in which it was read or written.
"""

import math
import threading
import time
from collections.abc import Callable

from sesameport.telemetry.logs import get_logger

__all__ = ["OnEra", "StoreEra", "boottime_s"]

OnEra = Callable[[int, bool], None]
"""Called with a new era, and whether it is that of the first answer of the store. Only
a later one shows that the store has lost something."""

LOWER_ERA_AFTER_S = 15.0
"""Time after the last answer of the era in force from which answers to new calls with a
lower era are believed, seconds. Late answers belong to calls that began before."""

log = get_logger("store")


def boottime_s() -> float:
    """Return a clock that advances while the machine is suspended, seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class StoreEra:
    """Hold the era that the answers of the store state; thread-safe.

    A store that states no era has the era 0.

    Parameters
    ----------
    clock : callable
        Returns a time that also advances while the machine is suspended, seconds.

    Examples
    --------
    >>> era = StoreEra()
    >>> era.accept(3, called_at=boottime_s()), era.current
    (True, 3)
    >>> era.accept(2, called_at=boottime_s()), era.current
    (False, 3)
    """

    def __init__(self, clock: Callable[[], float] = boottime_s):
        self._clock = clock
        self._lock = threading.RLock()
        self._current = self._highest = 0
        self._since = -math.inf
        self._confirmed_at = -math.inf
        self._subscribers: list[OnEra] = []

    @property
    def current(self) -> int:
        """Return the era in force, 0 if the store states none."""
        return self._current

    @property
    def highest(self) -> int:
        """Return the highest era that was ever in force at this host."""
        return self._highest

    @property
    def since(self) -> float:
        """Return when this host first saw the era in force, by the clock, seconds.

        It is minus infinity without an era, as such a store forgets nothing.
        """
        return self._since

    def now(self) -> float:
        """Return the time of the clock, seconds."""
        return self._clock()

    def subscribe(self, on_era: OnEra) -> None:
        """Call a function for each new era, in the order of the subscriptions.

        It is called on the thread of an answer, before this answer is handled, and must
        not wait for the store.
        """
        self._subscribers.append(on_era)

    def accept(self, era: int, called_at: float) -> bool:
        """Record the era of an answer; return whether the answer still holds.

        Parameters
        ----------
        era : int
            Era that the answer states, 0 without one.
        called_at : float
            Time by the clock at which the call began, seconds.
        """
        with self._lock:
            if era < self._current:
                if called_at < self._confirmed_at + LOWER_ERA_AFTER_S:
                    log.info(
                        "answer of an earlier era dropped",
                        extra={"era": era, "newest": self._current},
                    )
                    return False
            elif era == self._current:
                self._confirmed_at = self._clock()
                return True
            is_first = self._confirmed_at == -math.inf
            before, self._current = self._current, era
            self._highest = max(self._highest, era)
            self._since = self._confirmed_at = self._clock()
            log.warning("store era", extra={"era": era, "before": before})
            for on_era in self._subscribers:
                on_era(era, is_first)
            return True
