"""Report which bounds were reached, and by whom."""

import threading
from collections.abc import Callable

from sesameport.telemetry.logs import get_logger

__all__ = ["LimitReporter"]

MAX_LOGGED = 1_024
"""Pairs of an address and a bound that are remembered as logged. When there are more,
all are forgotten, so that memory stays bounded."""

log = get_logger("limits")


class LimitReporter:
    """Count each refusal, and log the first one of an address; thread-safe.

    Parameters
    ----------
    count : callable
        Called with the name of the bound at each refusal.
    """

    def __init__(self, count: Callable[[str], None]):
        self._count = count
        self._lock = threading.Lock()
        self._logged: set[tuple[str, str]] = set()

    @classmethod
    def for_metrics(
        cls, metrics, name: str = "sesameport_entry_limit_refusals_total"
    ) -> "LimitReporter":
        """Return a reporter that counts in the named metric of a process."""
        return cls(lambda bound: metrics.count(name, bound=bound))

    def report(self, address: str | None, bound: str) -> None:
        """Report that a client reached a bound."""
        self._count(bound)
        key = (address or "", bound)
        with self._lock:
            if key in self._logged:
                return
            if len(self._logged) >= MAX_LOGGED:
                self._logged.clear()
            self._logged.add(key)
        log.warning("limit reached", extra={"address": key[0], "bound": bound})
