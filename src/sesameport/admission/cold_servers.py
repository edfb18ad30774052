"""Track which servers are cold, and derive the rate at which they may get requests.

A server can be cold just after its start or at any other moment. It then takes
``cold_per_s`` requests per second of all hosts together and crashes at rates well above
this. Its entry and its answers state how long it stays cold. After a new start, and
after the end of an evacuation, it is assumed to be cold for the time of its service.

The load that this module answers is that of many hosts that each send a cold server its
usual share. The state lives in each host; hosts report it to each other with its age.
"""

import math
from collections.abc import Iterable

import attrs

from sesameport.admission.permits import COLD_PACING
from sesameport.entry.configuration import EntryService

__all__ = ["ColdBounds", "ColdReport", "ColdServers"]

MAX_COLD_S = 600.0
"""Longest cold time that is believed, seconds. A faulty server may state any number."""

REPORT_TOLERANCE_S = 1.0
"""Difference from which the end of a cold time in another host's report replaces the
known one, seconds. Smaller differences come from delays between hosts, and would add up
while hosts repeat each other's reports."""

FILL_SHARE = 0.95
"""Share of the cold rate that is issued. The rest covers requests that are delayed
between the use of their permit and their arrival."""

PREFILL_S = 1.0
"""Longest time between the placement of a generation, when its permits are used, and
its arrival at the decode engine, seconds. A prefill that takes longer has timed out."""

MAX_STARTS = 4_096
"""Number of servers whose last start is remembered, also after their removal."""


@attrs.frozen
class ColdBounds:
    """Represent what the users allow beyond the cold rate in any second.

    Attributes
    ----------
    overshoot : float
        Factor of the cold rate.
    slack : float
        Requests in addition.
    """

    overshoot: float
    slack: float

    def issue_rate(self, per_s: float, delay_s: float = 0.0) -> float:
        """Return the permits per second to issue for a cold rate.

        A permit is used within its lifetime, and its request arrives up to ``delay_s``
        seconds later. So a window of one second holds at most the permits of a second,
        a lifetime and a delay, and one more for rounding.

        Examples
        --------
        >>> ColdBounds(1.5, 5.0).issue_rate(10.0)
        9.5
        >>> round(ColdBounds(1.5, 5.0).issue_rate(10.0, delay_s=1.0), 2)
        8.44
        >>> ColdBounds(1.0, 0.0).issue_rate(1.0)
        0.0
        """
        allowed = max(0.0, self.overshoot * per_s + self.slack - 1.0)
        window_s = 1.0 + COLD_PACING.lifetime_s + delay_s
        return min(FILL_SHARE * per_s, allowed / window_s)

    def early_share(self) -> float:
        """Return the part of a new share that may be issued before others know of it.

        While hosts disagree on the issuer, the previous one may still issue the whole
        rate.
        """
        share = self.overshoot / (FILL_SHARE * (1.0 + COLD_PACING.lifetime_s)) - 1.0
        return min(1.0, max(0.0, share))


@attrs.frozen
class ColdReport:
    """Report a cold server to other hosts.

    Attributes
    ----------
    server : str
        Id of the server.
    started_at_ms : int
        Start time of its incarnation, Unix milliseconds; 0 if unknown.
    remaining_s : float
        Time for which it stays cold, seconds.
    age_s : float
        Time since this became known, seconds.
    """

    server: str
    started_at_ms: int
    remaining_s: float
    age_s: float


@attrs.define
class _Known:
    """Keep the ends of a server's cold time, as it stated and as it was assumed."""

    at: float = -math.inf
    stated_until: float = -math.inf
    assumed_until: float = -math.inf

    def until(self) -> float:
        return max(self.stated_until, self.assumed_until)


class ColdServers:
    """Hold the cold servers that one host knows.

    Only one thread changes it; others may read `rate_of`.

    Examples
    --------
    >>> cold = ColdServers(ColdBounds(1.5, 5.0))
    >>> cold.configure([EntryService("desk", cold_start_s=15.0, cold_per_s=2.0)])
    >>> cold.track("s1", "desk", 7)
    True
    >>> cold.record("s1", 7, 4.0, now=10.0)
    >>> cold.rate_of("s1", 13.9), cold.rate_of("s1", 14.0)
    (2.0, None)
    """

    def __init__(self, bounds: ColdBounds | None = None):
        self.bounds = bounds
        self._services: dict[str, EntryService] = {}
        self._starts: dict[str, tuple[str, int]] = {}
        self._known: dict[str, _Known] = {}

    def configure(self, services: Iterable[EntryService]) -> None:
        """Set the services; one with a cold rate of 0 has no cold servers."""
        self._services = {
            service.name: service for service in services if service.cold_per_s > 0
        }

    def track(self, server: str, service: str, started_at_ms: int) -> bool:
        """Record the present start of a server; return whether it is a new one.

        A server whose entry expires and returns with the same start time has not
        started again.
        """
        known = self._starts.pop(server, None)
        self._starts[server] = (service, started_at_ms)
        while len(self._starts) > MAX_STARTS:
            del self._starts[next(iter(self._starts))]
        if known is not None and known[1] == started_at_ms:
            return False
        self._known.pop(server, None)
        return True

    def record(
        self, server: str, started_at_ms: int, remaining_s: float, now: float
    ) -> None:
        """Record that a server states to be cold for some more seconds.

        A statement of an earlier incarnation has no effect. One of 0 has none either:
        it may be older than what is known, and a cold time ends by itself.
        """
        if remaining_s <= 0.0 or not self._is_present(server, started_at_ms):
            return
        known = self._known.setdefault(server, _Known())
        known.at = now
        known.stated_until = now + min(MAX_COLD_S, remaining_s)

    def assume(self, server: str, seconds: float, now: float) -> None:
        """Count a server as cold for some seconds, whatever shorter time it states."""
        if seconds <= 0.0:
            return
        known = self._known.setdefault(server, _Known())
        known.at = now
        known.assumed_until = max(known.assumed_until, now + min(MAX_COLD_S, seconds))

    def assume_started(self, server: str, now: float) -> None:
        """Count a server as cold for the cold time of its service."""
        service = self._service_of(server)
        if service is not None:
            self.assume(server, service.cold_start_s, now)

    def merge(self, report: ColdReport, now: float) -> bool:
        """Apply another host's report if it is newer; return whether it differed."""
        if not self._is_present(report.server, report.started_at_ms):
            return False
        until = now + min(MAX_COLD_S, report.remaining_s)
        known = self._known.get(report.server)
        before = known.until() if known is not None else now
        if abs(until - before) <= REPORT_TOLERANCE_S:
            return False
        at = now - report.age_s
        if known is not None and at <= known.at:
            return True
        if known is None:
            known = self._known[report.server] = _Known()
        known.at, known.stated_until = at, until
        return True

    def rate_of(self, server: str, now: float) -> float | None:
        """Return the requests per second that a cold server takes, None for others."""
        known = self._known.get(server)
        if known is None or now >= known.until() or self.bounds is None:
            return None
        service = self._service_of(server)
        return service.cold_per_s if service is not None else None

    def issue_rate(self, server: str, per_s: float) -> float:
        """Return the permits per second to issue for a server with a cold rate."""
        if self.bounds is None:
            return 0.0
        service = self._service_of(server)
        has_prefill = service is not None and service.engine is not None
        return self.bounds.issue_rate(per_s, PREFILL_S if has_prefill else 0.0)

    def remaining_s(self, server: str, now: float) -> float:
        """Return the time for which a server stays cold, 0 for others, seconds."""
        if self.rate_of(server, now) is None:
            return 0.0
        return self._known[server].until() - now

    def cold(self, now: float) -> list[str]:
        """Return the servers that are cold."""
        return [name for name in self._known if self.rate_of(name, now) is not None]

    def reports(self, now: float) -> list[ColdReport]:
        """Return what other hosts should know."""
        return [
            ColdReport(
                name,
                self._starts[name][1],
                self._known[name].until() - now,
                now - self._known[name].at,
            )
            for name in self.cold(now)
        ]

    def expire(self, now: float) -> None:
        """Forget the cold times that have ended."""
        for name, known in list(self._known.items()):
            if now >= known.until():
                del self._known[name]

    def _service_of(self, server: str) -> EntryService | None:
        """Return the service of a server if it has a cold rate."""
        return self._services.get(self._starts.get(server, ("", 0))[0])

    def _is_present(self, server: str, started_at_ms: int) -> bool:
        """Return whether a start time is that of the present incarnation."""
        present = self._starts.get(server)
        return present is not None and (
            started_at_ms == present[1] or 0 in (started_at_ms, present[1])
        )
