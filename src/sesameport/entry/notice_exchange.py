"""Record what servers say of themselves, and exchange it between hosts.

A host immediately reports changes that its own answers show. `Trickle` repeats all
notices for hosts that start, that were cut off or that missed a message. Without a
notice nothing is sent, and nothing depends on the platform's store.
"""

import random
from collections.abc import Callable

from sesameport.admission import ServerNotices, ServerRegistry, Trickle
from sesameport.entry import messages as m
from sesameport.telemetry.logs import get_logger

__all__ = ["NoticeExchange"]

MIN_INTERVAL_S = 0.05
MIN_INTERVAL_PER_HOST_S = 0.005
"""The shortest time between two messages about changes is the greater of the minimum
and the product with the number of hosts, seconds. `Trickle` reports later changes."""

log = get_logger("entry")


class NoticeExchange:
    """Keep the notices of servers up to date at one host; not thread-safe.

    Parameters
    ----------
    registry : ServerRegistry
        Registered servers.
    notices : ServerNotices
        Notices that the exchange changes.
    publish : callable
        Sends `NoticeReports` to the other hosts.
    metrics : Metrics
        Gauge of the servers that name a limit.
    """

    def __init__(
        self,
        registry: ServerRegistry,
        notices: ServerNotices,
        publish: Callable[[m.NoticeReports], None],
        metrics,
    ):
        self._registry = registry
        self._notices = notices
        self._publish = publish
        self._metrics = metrics
        self._trickle = Trickle(random.Random())
        self._sent_at = float("-inf")

    def record(self, message: m.ServerNoticed, now: float) -> bool:
        """Record the notice of an answer; return whether it changed.

        A server goes on answering after the removal of its entry, which may come back.
        """
        name, started_at_ms = message.server, self._find_start(message.server)
        if started_at_ms is None:
            return False
        if message.notice.pause_s > 0:
            pause_s = round(message.notice.pause_s, 3)
            log.info(
                "server asks for a pause", extra={"server": name, "pause_s": pause_s}
            )
        before = self._state(name)
        changed = self._notices.record(name, started_at_ms, message.notice, now)
        if not changed:
            return False
        self._log_change(name, before, "answer")
        interval_s = max(MIN_INTERVAL_S, MIN_INTERVAL_PER_HOST_S * self._trickle.hosts)
        if now - self._sent_at >= interval_s:
            self._send(now)
        self._trickle.reset(now)
        return True

    def apply_reports(self, message: m.NoticeReports, now: float) -> bool:
        """Merge the notices of another host; return whether one changed here."""
        changed, differs = False, False
        named = set()
        for report in message.reports:
            named.add(report.server)
            started_at_ms = self._find_start(report.server, report.started_at_ms)
            if started_at_ms is None:
                continue
            before = self._state(report.server)
            if self._notices.merge(report, started_at_ms, now):
                differs = True
            if self._state(report.server) != before:
                changed = True
                self._log_change(report.server, before, "host")
        if differs or not named.issuperset(self._notices.current()):
            self._trickle.reset(now)
        else:
            self._trickle.record_equal()
        return changed

    def repeat(self, hosts: int, are_new: bool, now: float) -> None:
        """Repeat the notices if it is time; sooner if there are new hosts."""
        self._notices.expire(now)
        self._trickle.hosts = max(1, hosts)
        if not self._notices:
            return
        if are_new or not self._trickle.is_running():
            self._trickle.reset(now)
        if self._trickle.take_send(now):
            self._send(now)

    def _find_start(self, name: str, stated: int = 0) -> int | None:
        """Return the last known start time of a server, Unix milliseconds.

        It is the stated one if the server is not known. Return None if the server could
        not be told from its next start, because it has no entry and no start time.
        """
        server = self._registry.last_known(name)
        started_at_ms = server.started_at_ms if server is not None else stated
        if started_at_ms == 0 and self._registry.get(name) is None:
            return None
        return started_at_ms

    def _send(self, now: float) -> None:
        self._sent_at = now
        self._publish(m.NoticeReports(tuple(self._notices.reports(now))))

    def _state(self, server: str) -> tuple[float | None, bool]:
        return self._notices.limit_of(server), self._notices.is_leaving(server)

    def _log_change(
        self, server: str, before: tuple[float | None, bool], source: str
    ) -> None:
        limit_before, was_leaving = before
        limit, is_leaving = self._state(server)
        fields = {"server": server, "source": source}
        if limit != limit_before:
            event = "server limit ended" if limit is None else "server limit named"
            limits = {"limit_per_s": limit, "before": limit_before}
            log.warning(event, extra={**fields, **limits})
        if is_leaving != was_leaving:
            event = "server says it leaves" if is_leaving else "server stays"
            log.info(event, extra=fields)
        self._metrics.set(
            "sesameport_entry_limited_servers", len(self._notices.limited())
        )
