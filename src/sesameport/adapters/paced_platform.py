"""Bound the platform calls of one host."""

import threading
from collections.abc import Callable

from result import Err, Result

from sesameport.fleet.pacing import CallPacer
from sesameport.interfaces import Platform, PlatformError, PlatformErrorKind

__all__ = ["PacedPlatform"]

_UNREACHED = (PlatformErrorKind.UNAVAILABLE, PlatformErrorKind.UNKNOWN)


class PacedPlatform:
    """Pass calls on within the budget of this host; satisfies ``interfaces.Platform``.

    A call beyond the budget, or between two trials of an outage, fails at once as
    ``UNAVAILABLE``: it was not made. Callers repeat it at their own period, so after an
    outage the calls of the fleet stay within the rate that `CallPacer` admits.

    Parameters
    ----------
    platform : Platform
        Makes the calls.
    pacer : CallPacer
        Budget of this host.
    clock : callable
        Returns the monotonic time, seconds.
    """

    def __init__(
        self, platform: Platform, pacer: CallPacer, clock: Callable[[], float]
    ):
        self._platform = platform
        self._pacer = pacer
        self._clock = clock
        self._lock = threading.Lock()
        self.is_reachable = False

    def set_host_count(self, hosts: int) -> None:
        """Set the number of live hosts, among which the fleet's rate is divided."""
        with self._lock:
            self._pacer.set_host_count(hosts)

    def get(self, kind, name):
        """Read one object."""
        return self._call(self._platform.get, kind, name)

    def list(self, kind):
        """Read all objects of one kind."""
        return self._call(self._platform.list, kind)

    def create(self, kind, name, value):
        """Create an object if none of this name exists."""
        return self._call(self._platform.create, kind, name, value)

    def update(self, kind, name, value, version):
        """Replace an object if it still has the given version."""
        return self._call(self._platform.update, kind, name, value, version)

    def delete(self, kind, name, version):
        """Turn an object into a tombstone if it still has the given version."""
        return self._call(self._platform.delete, kind, name, version)

    def watch(self, kind, version, timeout_s):
        """Wait for changes of one kind after a version."""
        return self._call(self._platform.watch, kind, version, timeout_s)

    def hosts(self):
        """Read the lagging list of hosts and backend servers."""
        return self._call(self._platform.hosts)

    def _call(self, method, *args) -> Result:
        with self._lock:
            admitted = self._pacer.admit(self._clock())
        if not admitted:
            error = PlatformError(PlatformErrorKind.UNAVAILABLE, "call budget")
            return Err(error)
        answer = method(*args)
        reached = answer.is_ok() or answer.unwrap_err().kind not in _UNREACHED
        with self._lock:
            if reached:
                self._pacer.record_success(self._clock())
            else:
                self._pacer.record_failure(self._clock())
            self.is_reachable = reached
        return answer
