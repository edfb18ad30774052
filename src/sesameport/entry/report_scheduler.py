"""Limit the rate at which a host reports to the other hosts.

In a burst, generations wait, start and end many times a second on every host, and each
report is sent to every other host. Without a limit, reports would saturate the slowest
links (5 Mbit/s). A change after a quiet interval is reported immediately, because other
hosts place requests by it. Further changes are combined in one report after an interval
that grows with the number of hosts. So does the interval of the complete reports that a
host sends without a change.
"""

import attrs

__all__ = ["ReportScheduler"]

MIN_INTERVAL_PER_HOST_S = 0.002
"""Shortest time between two reports per receiving host, seconds. The resulting 500
messages of about 260 bytes a second use a fifth of a 5 Mbit/s link."""

MIN_COMPLETE_INTERVAL_S = 1.0
MAX_COMPLETE_INTERVAL_S = 2.5
COMPLETE_INTERVAL_PER_HOST_S = 0.01
"""Bounds of the time between two complete reports, and that time per receiving host,
seconds. In a large fleet most reports that a host receives tell of no change."""

EXPIRY_INTERVALS = 3.0
"""Number of intervals without a complete report after which a host's use is removed."""


@attrs.define
class ReportScheduler:
    """Decide when the next report is sent.

    Attributes
    ----------
    hosts : int
        Number of hosts that receive each report.
    is_due : bool
        Whether a change has not been reported yet.
    """

    hosts: int = 1
    is_due: bool = False
    _sent_at: float = float("-inf")

    def interval_s(self) -> float:
        """Return the shortest time between two reports, seconds."""
        return MIN_INTERVAL_PER_HOST_S * self.hosts

    def complete_interval_s(self) -> float:
        """Return the time between two complete reports, seconds."""
        interval_s = COMPLETE_INTERVAL_PER_HOST_S * self.hosts
        interval_s = max(MIN_COMPLETE_INTERVAL_S, interval_s)
        return min(MAX_COMPLETE_INTERVAL_S, interval_s)

    def expiry_s(self) -> float:
        """Return the time without a report after which a host's use is removed."""
        return EXPIRY_INTERVALS * self.complete_interval_s()

    def schedule_change(self, now: float) -> float | None:
        """Return when to report a change; None if a report is already scheduled.

        Examples
        --------
        >>> scheduler = ReportScheduler(hosts=100)
        >>> scheduler.schedule_change(5.0)
        5.0
        >>> scheduler.record_sent(5.0)
        >>> scheduler.schedule_change(5.01), scheduler.schedule_change(5.02)
        (5.2, None)
        """
        if self.is_due:
            return None
        self.is_due = True
        return max(now, self._sent_at + self.interval_s())

    def record_sent(self, now: float) -> None:
        """Record that a report with all changes up to now was sent."""
        self._sent_at = now
        self.is_due = False
