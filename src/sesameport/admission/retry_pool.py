"""Share a part of the fleet's retry budget between the hosts that need it.

Each host may use an equal part of the budget without asking anyone. In a fleet of a
hundred hosts that is one or two retries in ten seconds, while the callers of the few
hosts that hold requests of a failed server need many and the budget of the fleet is
nearly unused. The load that this module answers is that of failures that concern few
hosts. A part of the budget is therefore a pool that any host may use. Hosts report what
they took from it. Retries that other hosts take at the same moment are not known yet,
so only a part of the pool is used, and a host that hears of only a part of the fleet
uses only that part of it.
"""

import collections
import math
from collections.abc import Mapping

import attrs

__all__ = ["POOL_SHARE", "STARTING_S", "RetryPool"]

POOL_SHARE = 0.75
"""Fraction of the fleet's slack that is pooled. The rest is divided equally. Failures
concern few hosts, so an equal part is mostly unused."""

USED_POOL_SHARE = 0.66
"""Fraction of the pool up to which hosts take retries. The equal parts and twice this
much stay within the slack, because the pool may be used twice: by hosts that have
just been cut off from each other, or that do not know yet what others took."""

STARTING_S = 2.0
"""Time after its start from which a host takes retries, seconds. The other hosts report
what they took as soon as they hear of it."""


@attrs.define
class RetryPool:
    """Track what all hosts took from the pool; not thread-safe.

    Attributes
    ----------
    window_s : float
        Time for which a retry counts, seconds.
    usable_from : float
        Monotonic time from which this host takes retries, seconds; see `STARTING_S`.

    Examples
    --------
    >>> pool = RetryPool(window_s=10.0)
    >>> pool.set_heard(1)
    >>> pool.apply_report("h2", {"llm": 3}, now=0.0)
    >>> pool.try_take("llm", pooled=10.0, hosts=2, now=1.0)
    True
    >>> pool.taken("llm", now=1.0), pool.try_take("llm", 4.0, hosts=2, now=1.0)
    (4, False)
    """

    window_s: float
    usable_from: float = -math.inf
    _own: dict[str, collections.deque] = attrs.field(factory=dict)
    _reports: dict[str, tuple[float, Mapping[str, int]]] = attrs.field(factory=dict)
    _heard: int = 0

    def set_heard(self, hosts: int) -> None:
        """Set the number of other hosts that report to this one."""
        self._heard = hosts

    def try_take(
        self, service: str, pooled: float, hosts: int, now: float, count: int = 1
    ) -> bool:
        """Take retries; return False if the pool of ``pooled`` retries lacks them.

        ``hosts`` is the number of hosts of the fleet, including this one.
        """
        if now < self.usable_from:
            return False
        known = (self._heard + 1) / max(self._heard + 1, hosts)
        if self.taken(service, now) + count > USED_POOL_SHARE * known * pooled:
            return False
        taken = self._own.setdefault(service, collections.deque())
        taken.extend([now] * count)
        return True

    def taken(self, service: str, now: float) -> int:
        """Return the known retries of all hosts in the last window."""
        total = len(self._recent(service, now))
        for at, counts in self._reports.values():
            if now - at < self.window_s:
                total += counts.get(service, 0)
        return total

    def apply_report(self, host: str, counts: Mapping[str, int], now: float) -> None:
        """Replace what another host took in its last window."""
        self._reports[host] = now, dict(counts)

    def own(self, now: float) -> dict[str, int]:
        """Return what this host took in the last window, by service."""
        counts = {name: len(self._recent(name, now)) for name in list(self._own)}
        return {name: count for name, count in counts.items() if count}

    def expire(self, now: float) -> None:
        """Forget reports that are older than the window."""
        for host, (at, _) in list(self._reports.items()):
            if now - at >= self.window_s:
                del self._reports[host]

    def _recent(self, service: str, now: float) -> collections.deque:
        times = self._own.get(service, collections.deque())
        while times and times[0] <= now - self.window_s:
            times.popleft()
        return times
