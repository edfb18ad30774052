"""Limit the rate of one host's platform calls."""

import threading
from collections.abc import Callable

from result import Err, Result

from sesameport.fleet.pacing import CallPacer
from sesameport.interfaces import Platform, PlatformError, PlatformErrorKind

__all__ = ["PacedPlatform"]

_UNREACHABLE_KINDS = (PlatformErrorKind.UNAVAILABLE, PlatformErrorKind.UNKNOWN)


class PacedPlatform:
    """Forward calls within the rate budget; satisfies ``interfaces.Platform``.

    A call above the budget, or between two probe calls of an outage, is not sent and
    fails immediately with ``UNAVAILABLE``. Callers retry it at their own period, so
    after an outage the calls of the whole fleet stay within the rate that `CallPacer`
    admits.

    Parameters
    ----------
    platform : Platform
        Client that sends the calls.
    pacer : CallPacer
        Rate budget of this host.
    clock : callable
        Function that returns the monotonic time, seconds.

    Attributes
    ----------
    is_reachable : bool
        Whether the platform answered the latest call that was sent.
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
        """Set the number of live hosts that share the fleet's call rate."""
        with self._lock:
            self._pacer.set_host_count(hosts)

    def get(self, kind, name):
        """Read one object."""
        return self._call(self._platform.get, kind, name)

    def list(self, kind):
        """Read all objects of one kind."""
        return self._call(self._platform.list, kind)

    def create(self, kind, name, value):
        """Create an object unless one with this name exists."""
        return self._call(self._platform.create, kind, name, value)

    def update(self, kind, name, value, version):
        """Replace an object if its current version equals the given one."""
        return self._call(self._platform.update, kind, name, value, version)

    def delete(self, kind, name, version):
        """Replace an object by a tombstone if its version equals the given one."""
        return self._call(self._platform.delete, kind, name, version)

    def watch(self, kind, version, timeout_s):
        """Wait for changes to objects of one kind after a version."""
        return self._call(self._platform.watch, kind, version, timeout_s)

    def hosts(self):
        """Read the list of hosts and backend servers, which may be out of date."""
        return self._call(self._platform.hosts)

    def _call(self, method, *args) -> Result:
        with self._lock:
            is_admitted = self._pacer.admit(self._clock())
        if not is_admitted:
            error = PlatformError(PlatformErrorKind.UNAVAILABLE, "call budget")
            return Err(error)
        result = method(*args)
        is_reachable = (
            result.is_ok() or result.unwrap_err().kind not in _UNREACHABLE_KINDS
        )
        with self._lock:
            if is_reachable:
                self._pacer.record_success(self._clock())
            else:
                self._pacer.record_failure(self._clock())
            self.is_reachable = is_reachable
        return result
