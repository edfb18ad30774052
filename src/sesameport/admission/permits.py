"""Share the requests that a limited server takes between the hosts of a fleet.

A server in need takes a few requests per second from all hosts together, possibly fewer
than there are hosts. The load that this module answers is that of hosts that each have
a request for it now and then, so fixed shares would leave most of the limit unused. One
host, the issuer, therefore spaces permits evenly and hands them to hosts that ask. A
host that sends without a permit would exceed the limit.

A permit is for one request. It holds from a certain time, at most the horizon ahead,
and expires if it is not used, so that no host can accumulate permits for a burst.

The limits that servers state hold over some seconds. The rate of a cold server holds in
each second, so its permits follow a stricter pacing.
"""

import zlib
from collections.abc import Iterable

import attrs

__all__ = [
    "COLD_PACING",
    "Grant",
    "Pacing",
    "PermitIssuer",
    "PermitStock",
    "choose_issuer",
]

MAX_WAIT_S = 30.0
"""Longest wait that is forecast, seconds."""

RETRY_MARGIN_S = 0.02
"""Addition to the time at which a further permit is free, seconds."""

IDLE_S = 60.0
"""Time without a request for a permit after which a schedule is removed, seconds."""


@attrs.frozen
class Pacing:
    """Set how closely permits follow their schedule.

    Attributes
    ----------
    horizon_s : float
        Longest time ahead from which an issued permit holds, seconds.
    burst_s : float
        Time for which permits that were not issued are kept, seconds.
    lifetime_s : float
        Time for which a permit holds, seconds.
    reissues_unused : bool
        Whether permits that a host returns unused are issued again.
    """

    horizon_s: float
    burst_s: float
    lifetime_s: float
    reissues_unused: bool


LIMIT_PACING = Pacing(1.0, 1.0, 0.5, True)
"""Pacing for limits that servers state, which hold over some seconds."""

COLD_PACING = Pacing(0.5, 0.0, 0.25, False)
"""Pacing for cold servers. In one second they get the permits of 1.25 s at most. Unused
permits issued again would double the rate for up to half a second."""


def choose_issuer(server: str, hosts: Iterable[str]) -> str:
    """Return the host that issues the permits of a server.

    This is rendezvous hashing: each host issues for a few servers, and when a host
    stops only its servers get another issuer.
    """
    return max(hosts, key=lambda host: (zlib.crc32(f"{server} {host}".encode()), host))


@attrs.frozen
class Grant:
    """Represent the reply to a host that asked for permits.

    Attributes
    ----------
    delays : tuple of float
        For each permit, the time from which it holds, seconds from now.
    retry_s : float
        Time after which to ask for more, seconds.
    wait_s : float
        Expected wait of the host's next request for a permit, seconds.
    """

    delays: tuple[float, ...] = ()
    retry_s: float = 0.0
    wait_s: float = 0.0


@attrs.define
class _Schedule:
    next_at: float
    asked_at: float
    unmet: dict[str, tuple[float, int]] = attrs.field(factory=dict)


@attrs.define
class PermitIssuer:
    """Issue the permits of some servers; not thread-safe.

    A new schedule begins empty, because another host may have issued permits until now.
    Permits that were not issued, or that a host returns unused, are issued later, at
    most those of a second.

    Examples
    --------
    >>> issuer = PermitIssuer()
    >>> issuer.issue("s1", "h1", count=1, rate=2.0, now=0.0).delays
    (0.5,)
    >>> issuer.issue("s1", "h2", count=1, rate=2.0, now=0.7).delays
    (0.3,)
    >>> issuer.issue("s1", "h2", count=3, rate=2.0, now=9.0).delays
    (0.0, 0.0, 0.0)
    """

    _schedules: dict[str, _Schedule] = attrs.field(factory=dict)

    def issue(
        self,
        server: str,
        host: str,
        count: int,
        rate: float,
        now: float,
        unused: int = 0,
        pacing: Pacing = LIMIT_PACING,
        phase: float = 0.0,
    ) -> Grant:
        """Return permits for a host, fewer than ``count`` if the limit is used up.

        ``rate`` is the number of permits per second, and ``unused`` the number of
        earlier permits that expired at the host. After a time without requests, the
        next permit holds ``phase`` intervals later. Hosts that issue parts of a limit
        without contact would otherwise all issue one at the same time.
        """
        if rate <= 0.0:
            return Grant((), MAX_WAIT_S, MAX_WAIT_S)
        interval_s = 1.0 / rate
        schedule = self._schedules.get(server)
        if schedule is None:
            self._remove_idle(now)
            first_at = now + (1.0 + phase) * interval_s
            schedule = self._schedules[server] = _Schedule(first_at, now)
        schedule.asked_at = now
        # A limit that was raised ends the long intervals of the previous one.
        latest_s = pacing.horizon_s + (1.0 + phase) * interval_s
        schedule.next_at = min(schedule.next_at, now + latest_s)
        if pacing.reissues_unused:
            schedule.next_at -= unused * interval_s
        if schedule.next_at < now - pacing.burst_s:
            schedule.next_at = now - pacing.burst_s + phase * interval_s
        delays = []
        while len(delays) < count:
            delay_s = max(0.0, schedule.next_at - now)
            if delay_s > pacing.horizon_s:
                break
            delays.append(round(delay_s, 4))
            schedule.next_at += interval_s
        recent_s = pacing.horizon_s + interval_s
        waiting = self._count_unmet(schedule, host, now, recent_s)
        schedule.unmet[host] = (now, count - len(delays))
        free_s = max(0.0, schedule.next_at - now)
        wait_s = min(MAX_WAIT_S, free_s + waiting * interval_s)
        retry_s = max(0.0, free_s - pacing.horizon_s) + RETRY_MARGIN_S
        return Grant(tuple(delays), min(MAX_WAIT_S, retry_s), wait_s)

    def _count_unmet(
        self, schedule: _Schedule, host: str, now: float, recent_s: float
    ) -> int:
        """Return how many permits the other hosts still want."""
        for name in [n for n, (at, _) in schedule.unmet.items() if now - at > recent_s]:
            del schedule.unmet[name]
        return sum(count for name, (_, count) in schedule.unmet.items() if name != host)

    def _remove_idle(self, now: float) -> None:
        for server, schedule in list(self._schedules.items()):
            if now - max(schedule.asked_at, schedule.next_at) > IDLE_S:
                del self._schedules[server]


@attrs.frozen(order=True)
class _Permit:
    holds_from: float
    ends_at: float
    is_cold: bool = False


@attrs.define
class PermitStock:
    """Hold the permits of one host; not thread-safe.

    A cold server takes only permits that were issued for a cold server.
    """

    _permits: dict[str, list[_Permit]] = attrs.field(factory=dict)
    _unused: dict[str, int] = attrs.field(factory=dict)

    def add(
        self,
        server: str,
        delays: Iterable[float],
        now: float,
        asked_at: float | None = None,
    ) -> None:
        """Add permits that hold after the given times, seconds from now.

        Permits for a cold server have ``asked_at``, the time of their request. They
        were issued between that time and now, and end so early that they hold within
        their lifetime at the issuer.
        """
        permits = self._current(server, now)
        for delay in delays:
            permit = _Permit(now + delay, now + delay + LIMIT_PACING.lifetime_s)
            if asked_at is not None:
                ends_at = asked_at + delay + COLD_PACING.lifetime_s
                permit = _Permit(now + delay, ends_at, True)
            permits.append(permit)
        permits.sort()

    def starts(self, server: str, now: float, is_cold: bool = False) -> list[float]:
        """Return the times from which permits hold, those that hold now included."""
        return [
            permit.holds_from
            for permit in self._current(server, now)
            if permit.is_cold or not is_cold
        ]

    def take(self, server: str, now: float, is_cold: bool = False) -> bool:
        """Use up a permit that holds now; return False if there is none."""
        permits = self._current(server, now)
        for permit in permits:
            if permit.holds_from > now:
                return False
            if permit.is_cold or not is_cold:
                permits.remove(permit)
                return True
        return False

    def pop_unused(self, server: str, now: float) -> int:
        """Return the permits that have expired since the last call."""
        self._current(server, now)
        return self._unused.pop(server, 0)

    def _current(self, server: str, now: float) -> list[_Permit]:
        """Return the permits of a server without those that expired."""
        permits = self._permits.setdefault(server, [])
        current = [permit for permit in permits if now < permit.ends_at]
        expired = len(permits) - len(current)
        if expired:
            self._unused[server] = self._unused.get(server, 0) + expired
            permits[:] = current
        return permits
