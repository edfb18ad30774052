"""Decide when to read again what other hosts know and this host does not.

A watch of the store whose answer is lost ends only with its timeout of 25 s. Other
hosts have the change by then, and their reports name its version.
"""

import math

import attrs

__all__ = ["VersionLag"]

FIRST_WAIT_S = 0.8
"""Time after the first report of a newer version until it is read again, seconds. A
change reaches hosts within about 0.5 s of each other, and must be in force in 2 s."""

RETRY_S = 0.5
"""Time after which an unanswered read is repeated, seconds; it doubles with each. With
`FIRST_WAIT_S`, three reads begin within 2.3 s of the first report, so that two lost
answers fit into a bound of 3 s, and one into a bound of 2 s."""

MAX_WAIT_S = 30.0
"""Longest time between two attempts, seconds. It also applies to a version that an
answered read did not bring, and to its reporter: the report is wrong, or the version
cannot be used here."""

MAX_VERSIONS = 64
"""Number of versions that are waited for at the same time."""


@attrs.define
class VersionLag:
    """Track the newer versions that other hosts report; not thread-safe.

    Each version has a deadline of its own, so that versions that follow each other do
    not postpone the read.

    Examples
    --------
    >>> lag = VersionLag()
    >>> lag.record(7, now=10.0)
    >>> lag.should_read(6, now=10.5), lag.should_read(6, now=10.9)
    (False, True)
    >>> lag.should_read(6, now=11.0), lag.should_read(7, now=20.0)
    (False, False)
    """

    _known: int = 0
    _due: dict[int, float] = attrs.field(factory=dict)
    _reporters: dict[int, str] = attrs.field(factory=dict)
    _distrusted: dict[str, float] = attrs.field(factory=dict)
    _asked: frozenset[int] = frozenset()
    _read_at: float = -math.inf
    _retry_s: float = RETRY_S

    @property
    def newest(self) -> int:
        """Return the newest version that is waited for, 0 without one."""
        return max(self._due, default=0)

    def record(self, version: int, now: float, host: str = "") -> None:
        """Record a version that another host reports."""
        if version <= self._known:
            return
        due = max(now + FIRST_WAIT_S, self._distrusted.get(host, -math.inf))
        before = self._due.get(version)
        if before is not None and (version in self._asked or due >= before):
            return
        if before is None and len(self._due) >= MAX_VERSIONS:
            self._forget(max(self._due, key=self._due.__getitem__))
        self._due[version], self._reporters[version] = due, host

    def should_read(self, version: int, now: float) -> bool:
        """Return whether a host with a version should read again now."""
        if version > self._known:
            self._retry_s = RETRY_S
        self._known = version
        for old in [old for old in self._due if old <= version]:
            self._forget(old)
        if now < self._read_at + RETRY_S or not self._is_due(now):
            return False
        for wanted, due in self._due.items():
            self._due[wanted] = max(due, now + self._retry_s)
        # A response may be that of the earliest read without one, so it is judged by
        # the versions that were waited for then.
        if not self._asked:
            self._asked = frozenset(self._due)
        self._read_at = now
        self._retry_s = min(MAX_WAIT_S, 2.0 * self._retry_s)
        return True

    def record_answer(self, version: int, now: float) -> None:
        """Record that the store answered the last read and left the host at a version.

        Versions that it did not bring are not read again soon.
        """
        self._retry_s = RETRY_S
        until = self._read_at + MAX_WAIT_S
        for wanted in self._asked & self._due.keys():
            if wanted > version:
                self._due[wanted] = until
                self._distrusted[self._reporters[wanted]] = until
        self._asked = frozenset()
        self._distrusted = {
            host: until for host, until in self._distrusted.items() if until > now
        }

    def _is_due(self, now: float) -> bool:
        return any(due <= now for due in self._due.values())

    def _forget(self, version: int) -> None:
        del self._due[version]
        del self._reporters[version]
