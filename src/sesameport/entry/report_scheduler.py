"""Bound how often a host reports to all the others.

Load: a burst in which drafts wait, place and end many times a second on every host. A
report goes to each other host, so without a bound the hosts with the slowest links
(5 Mbit/s) spend them on reports. A change after a pause is told at once, since other
hosts place by it; further ones are told together after an interval that grows with the
number of hosts.
"""

import attrs

__all__ = ["ReportScheduler"]

MIN_INTERVAL_PER_HOST_S = 0.0015
"""Shortest time between two reports, for each host that gets them, seconds: 670
messages of about 370 bytes a second take less than half of a 5 Mbit/s link."""


@attrs.define
class ReportScheduler:
    """Decide when the next report is sent.

    Attributes
    ----------
    hosts : int
        Hosts that get each report.
    is_due : bool
        Whether a change was not reported yet.
    """

    hosts: int = 1
    is_due: bool = False
    _sent_at: float = float("-inf")

    def interval_s(self) -> float:
        """Return the shortest time between two reports, seconds."""
        return MIN_INTERVAL_PER_HOST_S * self.hosts

    def schedule_change(self, now: float) -> float | None:
        """Return when to report a change; None if a later report is on its way.

        Examples
        --------
        >>> pacer = ReportScheduler(hosts=100)
        >>> pacer.schedule_change(5.0)
        5.0
        >>> pacer.record_sent(5.0)
        >>> pacer.schedule_change(5.01), pacer.schedule_change(5.02)
        (5.15, None)
        """
        if self.is_due:
            return None
        self.is_due = True
        return max(now, self._sent_at + self.interval_s())

    def record_sent(self, now: float) -> None:
        """Note that a report with everything up to now was sent."""
        self._sent_at = now
        self.is_due = False
