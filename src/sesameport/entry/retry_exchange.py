"""Exchange what the hosts took from the pool of retries."""

from collections.abc import Callable

from sesameport.admission import FleetUse, WindowedRetryBudget
from sesameport.entry import messages as m

__all__ = ["RetryExchange"]


class RetryExchange:
    """Report the pooled retries of one host, and record those of others.

    It is not thread-safe. Each retry from the pool is reported at once, and the count
    again when retries leave the window. Without a report nothing is sent.

    Parameters
    ----------
    host : str
        Name of this host.
    budget : WindowedRetryBudget
        Budget whose pool the hosts share.
    use : FleetUse
        Knows the hosts that report.
    publish : callable
        Sends a `RetryReport` to the other hosts.
    """

    def __init__(
        self,
        host: str,
        budget: WindowedRetryBudget,
        use: FleetUse,
        publish: Callable[[m.RetryReport], None],
    ):
        self._host = host
        self._budget = budget
        self._use = use
        self._publish = publish
        self._reported: dict[str, int] = {}
        budget.on_pooled = self._report

    def apply(self, message: m.RetryReport, now: float) -> None:
        """Record what another host took."""
        self._budget.pool.apply_report(message.host, message.taken, now)

    def repeat(self, hosts: int, are_new: bool, now: float) -> None:
        """Count the hosts that report, and report a count that has changed."""
        pool = self._budget.pool
        pool.set_heard(len(self._use.hosts()))
        pool.expire(now)
        if pool.own(now) != self._reported:
            self._report(now)

    def _report(self, now: float) -> None:
        self._reported = self._budget.pool.own(now)
        self._publish(m.RetryReport(self._host, self._reported))
