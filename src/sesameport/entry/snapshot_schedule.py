"""Decide when a host sends snapshots to others and requests them from others."""

import math

import attrs

__all__ = ["SnapshotSchedule"]

MIN_SNAPSHOT_INTERVAL_S = 0.5
"""Shortest time between two snapshots of a host, seconds."""

SNAPSHOT_PERIOD_S = 2.0
"""Period at which a host that cannot reach the store requests snapshots, seconds. Hosts
that started later did not receive its earlier requests."""

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

    def take_request(self, now: float) -> bool:
        """Return whether to request snapshots now, and record the request."""
        if now - self._own_request_at < SNAPSHOT_PERIOD_S:
            return False
        self._own_request_at = now
        return True
