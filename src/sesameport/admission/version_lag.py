"""Decide when to read again what other hosts know and this host does not.

A watch of the store whose answer is lost ends only with its timeout of 25 s. Other
hosts have the change by then, and their reports name its version.
"""

import attrs

__all__ = ["VersionLag"]

FIRST_WAIT_S = 0.8
"""Time after the first report of a newer version until it is read again, seconds. A
change reaches hosts within about 0.5 s of each other, and must be in force in 2 s."""

MAX_WAIT_S = 30.0
"""Longest time between two attempts, seconds; the wait doubles with each."""


@attrs.define
class VersionLag:
    """Track the newest version that other hosts report; not thread-safe.

    Examples
    --------
    >>> lag = VersionLag()
    >>> lag.record(7, now=10.0)
    >>> lag.should_read(6, now=10.5), lag.should_read(6, now=10.9)
    (False, True)
    >>> lag.should_read(6, now=11.0), lag.should_read(7, now=20.0)
    (False, False)
    """

    newest: int = 0
    _read_at: float = 0.0
    _wait_s: float = FIRST_WAIT_S

    def record(self, version: int, now: float) -> None:
        """Record a version that another host reports."""
        if version <= self.newest:
            return
        self.newest = version
        self._wait_s = FIRST_WAIT_S
        self._read_at = now + FIRST_WAIT_S

    def should_read(self, version: int, now: float) -> bool:
        """Return whether a host with a version should read it again now."""
        if version >= self.newest or now < self._read_at:
            return False
        self._wait_s = min(MAX_WAIT_S, 2.0 * self._wait_s)
        self._read_at = now + self._wait_s
        return True
