"""Send the reports of one host when its state changes and periodically.

A complete report names the charges of all workspaces. The reports between two complete
ones name the workspaces charged since the last complete one, because the charges would
be most of a report and every report is sent to every other host. A receiver that missed
one of these learns of its charges from the next.
"""

import time
from collections.abc import Callable

from sesameport.entry import messages as m
from sesameport.entry.admission_controller import AdmissionController
from sesameport.entry.report_scheduler import ReportScheduler

__all__ = ["ReportSender"]


class ReportSender:
    """Build and publish reports at the rate of a `ReportScheduler`.

    Parameters
    ----------
    host : str
        Name of this host.
    publish : callable
        Sends a ``HostReport`` to the other hosts.
    call_at : callable
        Schedules a call of `send_due` at a monotonic time.
    """

    def __init__(
        self,
        host: str,
        publish: Callable[[m.HostReport], None],
        call_at: Callable[[float], None],
    ):
        self._host = host
        self._publish = publish
        self._call_at = call_at
        self.scheduler = ReportScheduler()
        self._incarnation = time.time_ns()
        self._sequence = 0
        self._completed_at = float("-inf")
        self._complete_charges: dict[str, float] = {}

    def record_change(self, admission: AdmissionController, now: float) -> None:
        """Report a change now, or schedule its report."""
        at = self.scheduler.schedule_change(now)
        if at is None:
            return
        if at <= now:
            self._send(admission, now, is_complete=False)
            return
        self._call_at(at)

    def send_due(self, admission: AdmissionController, now: float) -> None:
        """Send the scheduled report unless another one was sent meanwhile."""
        if self.scheduler.is_due:
            self._send(admission, now, is_complete=False)

    def send_periodic(self, admission: AdmissionController, now: float) -> None:
        """Send a complete report if its interval has passed."""
        if now - self._completed_at >= self.scheduler.complete_interval_s():
            self._send(admission, now, is_complete=True)

    def _send(
        self, admission: AdmissionController, now: float, is_complete: bool
    ) -> None:
        self.scheduler.record_sent(now)
        charges = admission.quota.charged()
        if is_complete:
            self._completed_at = now
            self._complete_charges = charges
        else:
            charges = {
                name: total
                for name, total in charges.items()
                if total != self._complete_charges.get(name)
            }
        self._sequence += 1
        configuration = admission.configuration
        self._publish(
            m.HostReport(
                self._host,
                self._incarnation,
                self._sequence,
                dict(admission.use.local),
                charges,
                configuration.version if configuration else 0,
                admission.health.pauses(now),
                admission.report_waiting_tokens(now),
                admission.health.unreachable(now),
                is_complete,
            )
        )
