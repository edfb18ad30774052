"""Record which servers are cold, and exchange it between hosts.

A host learns of a cold server from its entry, from an answer, from a new start during
traffic or from the end of an evacuation, and reports it immediately. `Trickle` repeats
all reports for hosts that start, that were cut off or that missed a message. Without a
cold server nothing is sent, and nothing depends on the platform's store.
"""

import random
from collections.abc import Callable

import attrs

from sesameport.admission import ColdBounds, ColdServers, ServerRegistry, Trickle
from sesameport.entry import messages as m
from sesameport.entry.servers import EntryServer
from sesameport.entry.settings import FleetBounds
from sesameport.telemetry.logs import get_logger

__all__ = ["ColdExchange", "cold_bounds"]

START_S = 3.0
"""Time after the start in which servers that are first seen are cold only if they say
so, seconds. This host may have missed how long they have been running."""

MIN_INTERVAL_S = 0.05
MIN_INTERVAL_PER_HOST_S = 0.005
"""The shortest time between two messages about changes is the greater of the minimum
and the product with the number of hosts, seconds. `Trickle` reports later changes."""

log = get_logger("entry")


def cold_bounds(bounds: FleetBounds) -> ColdBounds | None:
    """Return the bounds for cold servers, or None where none counts as cold."""
    if bounds.cold_overshoot is None:
        return None
    return ColdBounds(bounds.cold_overshoot, bounds.cold_slack or 0.0)


class ColdExchange:
    """Keep the cold servers of one host up to date; not thread-safe.

    Parameters
    ----------
    registry : ServerRegistry
        Registered servers.
    cold : ColdServers
        Cold servers that the exchange changes.
    publish : callable
        Sends `ColdReports` to the other hosts.
    wake_at : callable
        Schedules a placement of waiting requests at a monotonic time.
    metrics : Metrics
        Gauge of the cold servers.
    started_at : float
        Monotonic time at which the host started, seconds.
    """

    def __init__(
        self,
        registry: ServerRegistry,
        cold: ColdServers,
        publish: Callable[[m.ColdReports], None],
        wake_at: Callable[[float], None],
        metrics,
        started_at: float,
    ):
        self._registry = registry
        self._cold = cold
        self._publish = publish
        self._wake_at = wake_at
        self._metrics = metrics
        self._started_until = started_at + START_S
        self._has_listing = False
        self._trickle = Trickle(random.Random())
        self._sent_at = float("-inf")
        self._logged: set[str] = set()

    def record_entry(self, server: EntryServer, now: float) -> None:
        """Record an entry, also one that says only that the server is still cold.

        A server that is first seen while this host starts is cold only if its entry
        says so, and so is one of the first listing.
        """
        is_new = self._cold.track(server.name, server.service, server.started_at_ms)
        if server.cold_remaining_s > 0.0:
            self._cold.record(
                server.name, server.started_at_ms, server.cold_remaining_s, now
            )
            self._apply_change("entry", now)
            return
        known = self._registry.get(server.name)
        is_starting = not self._has_listing or now < self._started_until
        if is_new and not (known is None and is_starting):
            self._cold.assume_started(server.name, now)
            self._apply_change("start", now)

    def record_listing(self) -> None:
        """Record that a complete listing was applied."""
        self._has_listing = True

    def record_answer(self, name: str, remaining_s: float, now: float) -> None:
        """Record the cold time in an answer of a server, with or without an entry."""
        server = self._registry.last_known(name)
        if server is not None and remaining_s > 0.0:
            self._cold.record(name, server.started_at_ms, remaining_s, now)
            self._apply_change("answer", now)

    def on_evacuation_ended(self, data_centre: str, now: float) -> None:
        """Count all servers of a data centre as cold for their service's cold time."""
        for server in self._registry.all():
            if server.data_centre == data_centre:
                self._cold.assume_started(server.name, now)
        self._apply_change("evacuation", now)

    def apply_reports(self, message: m.ColdReports, now: float) -> None:
        """Merge the cold servers of another host."""
        differs = False
        for report in message.reports:
            differs = self._cold.merge(report, now) or differs
        named = {report.server for report in message.reports}
        if differs or not named.issuperset(self._cold.cold(now)):
            self._trickle.reset(now)
        else:
            self._trickle.record_equal()
        self._log_changes("host", now)

    def current_entries(self, now: float) -> tuple[EntryServer, ...]:
        """Return the registered servers with their present cold times.

        The time in an entry is that of its writing. A host that got it again and again
        in snapshots would never count the server as warm.
        """
        return tuple(
            attrs.evolve(
                server, cold_remaining_s=self._cold.remaining_s(server.name, now)
            )
            if server.cold_remaining_s > 0.0 or server.name in self._logged
            else server
            for server in self._registry.all()
        )

    def apply_bounds(self, bounds: FleetBounds) -> None:
        """Apply changed bounds."""
        self._cold.bounds = cold_bounds(bounds)

    def repeat(self, hosts: int, are_new: bool, now: float) -> None:
        """Repeat the reports if it is time; sooner if there are new hosts."""
        self._cold.expire(now)
        self._log_changes("configuration", now)
        self._trickle.hosts = max(1, hosts)
        if not self._logged:
            return
        if are_new or not self._trickle.is_running():
            self._trickle.reset(now)
        if self._trickle.take_send(now):
            self._send(now)

    def _apply_change(self, source: str, now: float) -> None:
        """Log servers that have become cold, and report them at once."""
        if not self._log_changes(source, now):
            return
        interval_s = max(MIN_INTERVAL_S, MIN_INTERVAL_PER_HOST_S * self._trickle.hosts)
        if now - self._sent_at >= interval_s:
            self._send(now)
        self._trickle.reset(now)

    def _send(self, now: float) -> None:
        self._sent_at = now
        self._publish(m.ColdReports(tuple(self._cold.reports(now))))

    def _log_changes(self, source: str, now: float) -> bool:
        """Log which servers became cold or warm; return whether one became cold."""
        cold = set(self._cold.cold(now))
        began, ended = sorted(cold - self._logged), sorted(self._logged - cold)
        for name in began:
            remaining_s = self._cold.remaining_s(name, now)
            log.info(
                "server cold",
                extra={
                    "server": name,
                    "source": source,
                    "remaining_s": round(remaining_s, 2),
                    "limit_per_s": self._cold.rate_of(name, now),
                },
            )
            self._wake_at(now + remaining_s)
        for name in ended:
            log.info("server no longer cold", extra={"server": name})
        if began or ended:
            self._logged = cold
            self._metrics.set("sesameport_entry_cold_servers", len(cold))
        return bool(began)
