"""Keep what backend servers said of themselves in their last answers.

A server in need names a limit in each answer, and one that is about to stop says so.
Hosts report these notices to each other, because not every host gets such an answer.
The load that this module answers is that of all hosts on such a server. The newest
answer takes precedence; reports contain its age, because the clocks of hosts differ.
"""

from collections.abc import Iterable

import attrs

from sesameport.entry.server_notices import NO_NOTICE, ServerNotice

__all__ = ["NoticeReport", "ServerNotices"]

LIMIT_CHANGE_RATIO = 0.1
"""Relative change of a limit from which it is reported immediately."""

ENDED_LIFETIME_S = 60.0
"""Time for which a withdrawn notice is stored, seconds. During this time an older
report of another host cannot restore it."""

NOTICE_LIFETIME_S = 600.0
"""Time without an answer after which a notice is forgotten, seconds."""


@attrs.frozen
class NoticeReport:
    """Report the last notice of a server to other hosts.

    Attributes
    ----------
    server : str
        Id of the server.
    started_at_ms : int
        Start time of its incarnation, Unix milliseconds; 0 if unknown.
    notice : ServerNotice
        What its last answer said.
    age_s : float
        Time since that answer, seconds.
    """

    server: str
    started_at_ms: int
    notice: ServerNotice
    age_s: float


MAX_PAUSE_S = 3_600.0
"""Longest pause that a server can ask a host for, seconds. A faulty server may name any
number."""


@attrs.define
class _Known:
    started_at_ms: int
    notice: ServerNotice
    at: float


@attrs.define
class ServerNotices:
    """Hold the newest notice of each server; not thread-safe.

    Examples
    --------
    >>> notices = ServerNotices()
    >>> notices.record("s1", 0, ServerNotice(limit_per_s=2.0), now=1.0)
    True
    >>> notices.limit_of("s1"), notices.limit_of("s2")
    (2.0, None)
    """

    _known: dict[str, _Known] = attrs.field(factory=dict)
    _pauses: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return len(self._known)

    def __contains__(self, server: str) -> bool:
        return server in self._known

    def record(
        self, server: str, started_at_ms: int, notice: ServerNotice, now: float
    ) -> bool:
        """Record the notice of an answer; return whether other hosts must know.

        A pause concerns this host only. `ColdServers` keeps the cold time. A server
        that leaves does so until its next start: a later answer without that notice may
        be one that was overtaken.
        """
        notice = attrs.evolve(notice, cold_remaining_s=0.0)
        if notice.pause_s > 0:
            until = now + min(MAX_PAUSE_S, notice.pause_s)
            until = max(until, self.paused_until(server))
            self._pauses[server] = (started_at_ms, until)
            notice = attrs.evolve(notice, pause_s=0.0)
        known = self._known.get(server)
        before = known.notice if known else NO_NOTICE
        if known is None and notice == NO_NOTICE:
            return False
        if before.is_leaving:
            notice = attrs.evolve(notice, is_leaving=True)
        self._known[server] = _Known(started_at_ms, notice, now)
        return _differs(before, notice)

    def merge(
        self,
        report: NoticeReport,
        started_at_ms: int,
        now: float,
    ) -> bool:
        """Apply another host's report if it is newer; return whether it differed.

        ``started_at_ms`` is the start of the server's present incarnation. A report of
        an earlier one has no effect.
        """
        if started_at_ms and report.started_at_ms not in (0, started_at_ms):
            return False
        known = self._known.get(report.server)
        at = now - report.age_s
        before = known.notice if known else NO_NOTICE
        leaves = before.is_leaving or report.notice.is_leaving
        if known is not None and at <= known.at:
            known.notice = attrs.evolve(known.notice, is_leaving=leaves)
        elif known is not None or report.notice != NO_NOTICE:
            notice = attrs.evolve(report.notice, is_leaving=leaves)
            self._known[report.server] = _Known(started_at_ms, notice, at)
        return _differs(before, report.notice)

    def reports(self, now: float) -> list[NoticeReport]:
        """Return what other hosts should know."""
        return [
            NoticeReport(name, known.started_at_ms, known.notice, now - known.at)
            for name, known in self._known.items()
        ]

    def limit_of(self, server: str) -> float | None:
        """Return the requests per second that a server takes, None without a limit."""
        known = self._known.get(server)
        return known.notice.limit_per_s if known else None

    def is_leaving(self, server: str) -> bool:
        """Return whether a server said that it is about to stop."""
        known = self._known.get(server)
        return known is not None and known.notice.is_leaving

    def paused_until(self, server: str) -> float:
        """Return the time until which a server wants nothing from this host."""
        return self._pauses.get(server, (0, 0.0))[1]

    def takes_requests(self, server: str, now: float) -> bool:
        """Return whether a server takes new requests of this host, within its limit."""
        return now >= self.paused_until(server) and not self.is_leaving(server)

    def refusing(self, servers: Iterable[str], now: float) -> set[str]:
        """Return the servers among some that take no new requests of this host."""
        return {
            server
            for server in servers
            if (server in self._known or server in self._pauses)
            and not self.takes_requests(server, now)
        }

    def age_s(self, server: str, now: float) -> float:
        """Return the time since the last known answer of a server with a notice."""
        return now - self._known[server].at

    def limited(self) -> list[str]:
        """Return the servers that name a limit."""
        return [name for name in self._known if self.limit_of(name) is not None]

    def current(self) -> list[str]:
        """Return the servers whose last answer said something of them."""
        return [
            name for name, known in self._known.items() if known.notice != NO_NOTICE
        ]

    def begin_incarnation(self, server: str, started_at_ms: int) -> None:
        """Forget what a server said before its present start.

        What it said is kept when its entry is removed, because entries also expire
        while the store is away; see `end_entry` for servers without a start time.
        """
        known = self._known.get(server)
        if known is not None and known.started_at_ms != started_at_ms:
            del self._known[server]
        if self._pauses.get(server, (started_at_ms, 0.0))[0] != started_at_ms:
            del self._pauses[server]

    def end_entry(self, server: str) -> None:
        """Forget what a server said whose entry is removed, if its start is unknown.

        Its next start could not be distinguished from this one.
        """
        known = self._known.get(server)
        if known is not None and known.started_at_ms == 0:
            del self._known[server]

    def expire(self, now: float) -> None:
        """Forget notices that are too old, and pauses that have ended."""
        for name, (_, until) in list(self._pauses.items()):
            if until <= now:
                del self._pauses[name]
        for name, known in list(self._known.items()):
            ended = known.notice == NO_NOTICE
            lifetime_s = ENDED_LIFETIME_S if ended else NOTICE_LIFETIME_S
            if now - known.at > lifetime_s:
                del self._known[name]


def _differs(before: ServerNotice, after: ServerNotice) -> bool:
    """Return whether two notices differ enough for an immediate report."""
    if before == after:
        return False
    if attrs.evolve(before, limit_per_s=None) != attrs.evolve(after, limit_per_s=None):
        return True
    if before.limit_per_s is None or after.limit_per_s is None:
        return True
    change = abs(after.limit_per_s - before.limit_per_s)
    return change > LIMIT_CHANGE_RATIO * before.limit_per_s
