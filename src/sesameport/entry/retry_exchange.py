"""Exchange what the hosts took from the pool of retries."""

import math
from collections.abc import Callable

from sesameport.admission import FleetUse, WindowedRetryBudget
from sesameport.entry import messages as m

__all__ = ["RetryExchange"]

REPEAT_S = 2.0
"""Time after which a count is reported again, seconds, as a message may be lost."""


class RetryExchange:
    """Report the pooled retries of one host, and record those of others.

    It is not thread-safe. Each retry from the pool is reported at once, and the count
    again when retries leave the window, for new hosts and every `REPEAT_S`. A host that
    took none sends nothing.

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
        self._reported_at = -math.inf
        budget.on_pooled = self._report

    def apply(self, message: m.RetryReport, now: float) -> None:
        """Record what another host took."""
        self._budget.pool.apply_report(message.host, message.taken, now)

    def repeat(self, hosts: int, are_new: bool, now: float) -> None:
        """Count the hosts that report, and report a count that has changed."""
        pool = self._budget.pool
        pool.set_heard(len(self._use.hosts()))
        pool.expire(now)
        own = pool.own(now)
        is_due = are_new or now >= self._reported_at + REPEAT_S
        if own != self._reported or (own and is_due):
            self._report(now)

    def _report(self, now: float) -> None:
        self._reported, self._reported_at = self._budget.pool.own(now), now
        self._publish(m.RetryReport(self._host, self._reported))
