"""Register a host in the platform's store, and delete expired registrations.

The calls block on the store, so each runs on a thread of its own.
"""

import random
import threading
from collections.abc import Callable

from sesameport.adapters.timers import TimerService
from sesameport.entry.host_directory import HostDirectory
from sesameport.telemetry.logs import get_logger

__all__ = ["HostRegistration"]

CLEANUP_PERIOD_S = 60.0
"""Period at which hosts are listed and expired registrations deleted, seconds."""

REGISTRATION_RETRY_S = 1.0

RECENT_S = 60.0
"""Time after a registration in which the store may forget it when it comes back from an
older copy, seconds. Later ones are written again by the next cleanup at the latest."""

REJOIN_SPREAD_PER_HOST_S = 0.01
"""Time per host over which hosts register again after that, seconds. They then share
the store's calls evenly, and few hosts need not wait."""

log = get_logger("host")


class HostRegistration:
    """Register this host until it succeeds, and clean up periodically.

    Parameters
    ----------
    directory : HostDirectory
        Calls the store.
    timers : TimerService
        Starts the calls.
    find_expired : callable
        Returns the names of the hosts whose registrations this host should delete.
    """

    def __init__(
        self,
        directory: HostDirectory,
        timers: TimerService,
        find_expired: Callable[[], tuple[str, ...]],
    ):
        self._directory = directory
        self._timers = timers
        self._find_expired = find_expired
        self._joined_at: float | None = None
        self._eras = 0
        self._rng = random.Random()

    def begin_era(self) -> None:
        """Register again if the store may have lost the registration."""
        self._eras += 1
        joined_at, now = self._joined_at, self._timers.now()
        if joined_at is not None and now < joined_at + RECENT_S:
            spread_s = REJOIN_SPREAD_PER_HOST_S * self._directory.host_count()
            rejoin_at = now + self._rng.uniform(0.0, spread_s)
            self._timers.call_at("announce", rejoin_at, self._start_registration)

    def start(self) -> None:
        """Start to register and to clean up."""
        self._timers.subscribe("sweep", CLEANUP_PERIOD_S, self._start_cleanup)
        self._timers.call_at("announce", self._timers.now(), self._start_registration)

    def delete_expired(self) -> None:
        """Delete the registrations of expired hosts; see `HostDirectory.clean_up`."""
        self._directory.clean_up(self._find_expired)

    def _start_registration(self, now: float) -> None:
        threading.Thread(target=self._register, name="announce", daemon=True).start()

    def _register(self) -> None:
        has_joined, eras = False, self._eras
        try:
            # An era that begins between the two calls may not have the registration.
            has_joined = self._directory.join() and self._eras == eras
        except Exception as exc:
            log.error("host not registered yet", extra={"reason": repr(exc)})
        if has_joined:
            self._joined_at = self._timers.now()
        else:
            retry_at = self._timers.now() + REGISTRATION_RETRY_S
            self._timers.call_at("announce", retry_at, self._start_registration)

    def _start_cleanup(self, now: float) -> None:
        threading.Thread(target=self.delete_expired, name="sweep", daemon=True).start()
