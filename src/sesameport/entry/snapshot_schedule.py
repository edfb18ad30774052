"""Decide when a host sends snapshots to others and requests them from others."""

import math

import attrs

__all__ = ["SnapshotSchedule"]

MIN_SNAPSHOT_INTERVAL_S = 0.5
"""Shortest time between two snapshots of a host, seconds."""

SNAPSHOT_BYTES_PER_S = 100_000
"""Bytes per second of the snapshots of a host that have the configuration. A host
without the store gets those of three hosts, half of a link of 5 Mbit/s. While versions
of a large configuration follow each other, it would get more than the link carries."""

SNAPSHOT_PERIOD_S = 2.0
SETTLED_PERIOD_S = 4.0
"""Period at which a host that cannot reach the store requests snapshots, seconds, and
the period after a snapshot of a host that can. Hosts that started later did not receive
its earlier requests. Each request is answered with whole configurations, which may take
seconds on a link of 5 Mbit/s; changes are sent without a request."""

SNAPSHOT_REQUEST_LIFETIME_S = 5.0
"""Time after a request for which changes are published as snapshots, seconds."""


@attrs.define
class SnapshotSchedule:
    """Limit the snapshots that a host sends, and repeat its own requests.

    Examples
    --------
    >>> schedule = SnapshotSchedule()
    >>> schedule.take_send(1.0)
    False
    >>> schedule.record_peer_request(1.0)
    >>> schedule.take_send(1.0), schedule.record_change(1.2), schedule.take_send(1.2)
    (True, True, False)
    """

    _is_due: bool = False
    _sent_at: float = -math.inf
    _peer_request_at: float = -math.inf
    _own_request_at: float = -math.inf
    _has_current: bool = False
    _full_at: float = -math.inf
    _full_version: int = -1
    _full_interval_s: float = 0.0

    def record_peer_request(self, now: float) -> None:
        """Record that another host requested a snapshot."""
        self._is_due = True
        self._peer_request_at = now

    def record_change(self, now: float) -> bool:
        """Record a change; return whether a host requested snapshots recently."""
        if now - self._peer_request_at >= SNAPSHOT_REQUEST_LIFETIME_S:
            return False
        self._is_due = True
        return True

    def take_send(self, now: float) -> bool:
        """Return whether to send a snapshot now, and record that it is sent."""
        if not self._is_due or now - self._sent_at < MIN_SNAPSHOT_INTERVAL_S:
            return False
        self._is_due = False
        self._sent_at = now
        return True

    def take_configuration(self, version: int, now: float) -> bool:
        """Return whether the snapshot that is sent now has the configuration.

        Without a new version or request, all who want it have it. After a large one,
        the next waits and the snapshots in between are sent without it.

        Examples
        --------
        >>> schedule = SnapshotSchedule()
        >>> schedule.take_configuration(7, 1.0), schedule.take_configuration(7, 2.0)
        (True, False)
        >>> schedule.record_peer_request(3.0)
        >>> schedule.take_configuration(7, 3.5)
        True
        >>> schedule.record_size(500_000)
        >>> schedule.take_configuration(8, 8.4), schedule.take_configuration(8, 8.5)
        (False, True)
        """
        if version == self._full_version and self._peer_request_at <= self._full_at:
            return False
        if now - self._full_at < self._full_interval_s:
            self._is_due = True
            return False
        self._full_version, self._full_at = version, now
        return True

    def record_size(self, size: int) -> None:
        """Record the size of a snapshot with the configuration, bytes."""
        self._full_interval_s = size / SNAPSHOT_BYTES_PER_S

    def record_snapshot(self, is_current: bool) -> None:
        """Record a snapshot of another host; it is current if that has the store."""
        self._has_current |= is_current

    def take_request(self, now: float) -> bool:
        """Return whether to request snapshots now, and record the request."""
        period_s = SETTLED_PERIOD_S if self._has_current else SNAPSHOT_PERIOD_S
        if now - self._own_request_at < period_s:
            return False
        self._own_request_at, self._has_current = now, False
        return True
