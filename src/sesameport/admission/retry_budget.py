"""Limit the retries of the whole fleet to a fraction of its requests.

When many servers fail at once, every host would retry its requests. Each host limits
its retries to the fraction of its own requests plus an equal part of the fleet's slack.
The total then stays within the fleet's budget without any communication between hosts.

In a large fleet an equal part is less than the retries that the failure of one server
costs a host. Most of the slack is then a pool that the hosts share; see ``RetryPool``.
The fraction of its own requests remains with each host.
"""

import collections
from collections.abc import Callable

import attrs

from sesameport.admission.retry_pool import POOL_SHARE, RetryPool

__all__ = ["WindowedRetryBudget"]

USABLE_FRACTION = 0.8
"""Fraction of the budget that is used. The limit is checked against arrivals at the
servers, and a retry may arrive in a later window than its first attempt."""

MIN_EQUAL_SLACK = 12.0
"""Part of the slack, in retries, below which hosts share a pool. The failure of a
server breaks off about four requests of one host, a further attempt of a stream takes
two retries, and a second lost response one more."""


@attrs.define
class _Window:
    requests: collections.deque = attrs.field(factory=collections.deque)
    retries: collections.deque = attrs.field(factory=collections.deque)

    def expire(self, before: float) -> None:
        """Remove entries older than the given time."""
        for times in (self.requests, self.retries):
            while times and times[0] < before:
                times.popleft()


@attrs.define
class WindowedRetryBudget:
    """Count the requests and retries of one host by service.

    Attributes
    ----------
    ratio, window_s, slack : float
        Budget of the fleet: at most ``ratio * requests + slack`` retries in a window
        of ``window_s`` seconds.
    hosts : int
        Number of hosts that share the slack.
    pool : RetryPool
        What the hosts of a large fleet took from their common part of the budget.
    on_pooled : callable
        Called with the current time after each retry from the pool.
    """

    ratio: float
    window_s: float
    slack: float
    hosts: int = 1
    _windows: dict[str, _Window] = attrs.field(factory=dict)
    pool: RetryPool = attrs.field(
        default=attrs.Factory(lambda self: RetryPool(self.window_s), takes_self=True)
    )

    on_pooled: Callable[[float], None] = lambda now: None

    def update_limits(self, ratio: float, window_s: float, slack: float) -> None:
        """Change the budget; retries that were already made still count."""
        self.ratio, self.window_s, self.slack = ratio, window_s, slack
        self.pool.window_s = window_s

    def has_pool(self) -> bool:
        """Return whether the fleet is so large that hosts share a pool."""
        return self.hosts > 1 and self.slack / self.hosts < MIN_EQUAL_SLACK

    def record_request(self, service: str, now: float) -> None:
        """Count a new request from a caller."""
        window = self._windows.setdefault(service, _Window())
        window.expire(now - self.window_s)
        window.requests.append(now)

    def spend(self, service: str, now: float, count: int = 1) -> bool:
        """Spend some retries; return False, and spend none, if they exceed the budget.

        Examples
        --------
        >>> budget = WindowedRetryBudget(ratio=0.2, window_s=10.0, slack=5.0)
        >>> budget.spend("desk", 0.0, 3), budget.spend("desk", 0.0, 2)
        (True, False)
        >>> budget.spend("desk", 0.0, 1), budget.spend("desk", 0.0, 0)
        (True, True)
        """
        if count == 0:
            return True
        window = self._windows.setdefault(service, _Window())
        window.expire(now - self.window_s)
        equal_slack = self.slack / max(1, self.hosts)
        if self.has_pool():
            equal_slack *= 1.0 - POOL_SHARE
        allowed = self.ratio * len(window.requests) + equal_slack
        if len(window.retries) + count > USABLE_FRACTION * allowed:
            return self._take_pooled(service, count, now)
        window.retries.extend([now] * count)
        return True

    def _take_pooled(self, service: str, count: int, now: float) -> bool:
        """Take retries from the pool, which is a part of the slack only.

        The requests of other hosts are not known here.
        """
        if not self.has_pool():
            return False
        pooled = USABLE_FRACTION * POOL_SHARE * self.slack
        if not self.pool.try_take(service, pooled, self.hosts, now, count):
            return False
        self.on_pooled(now)
        return True
