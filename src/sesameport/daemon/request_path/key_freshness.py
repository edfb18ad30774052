"""Decide from the age of the configuration whether keys can be accepted."""

from collections.abc import Callable

from sesameport.daemon.views.fleet_view import FleetView
from sesameport.documents import Settings
from sesameport.fleet.keys import is_configuration_usable

__all__ = ["KeyFreshnessPolicy"]


class KeyFreshnessPolicy:
    """Decide whether a host's configuration is fresh enough to accept keys.

    Older configurations count only while no data centre can reach the platform,
    because then no operator can have withdrawn a key.

    Parameters
    ----------
    cfg : Settings
        Settings with the data centres and the staleness bound.
    read_view : callable
        Returns the newest fleet view.
    clock : callable
        Returns the monotonic time, seconds.
    """

    def __init__(
        self,
        cfg: Settings,
        read_view: Callable[[], FleetView],
        clock: Callable[[], float],
    ):
        self._data_centre = cfg.host.data_centre
        self._data_centres = tuple(centre.name for centre in cfg.data_centres)
        self._staleness_s = cfg.fleet.key_staleness_s
        self._read_view = read_view
        self._clock = clock

    def can_accept_keys(self) -> bool:
        """Return whether keys can be accepted now."""
        view, now = self._read_view(), self._clock()
        age_s = view.freshness_age(now)
        if age_s <= self._staleness_s:
            return True
        return is_configuration_usable(
            age_s,
            self._staleness_s,
            self._data_centre,
            self._data_centres,
            view.platform_evidence(now),
        )
